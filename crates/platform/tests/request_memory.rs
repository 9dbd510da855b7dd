//! The memory of request bodies, on sockets. The tests read the memory of this process, so they run one after the other
//! in one test function.

mod common;

use common::{request, run_test, Rig, OK};
use havenplank_emulator::scripted::Connection;
use serde_json::json;
use std::time::{Duration, Instant};
use tokio::time::sleep;

const MS: Duration = Duration::from_millis(1);
const KIB: usize = 1 << 10;
const BODY_BYTES: usize = 64 * KIB;
const SEGMENT_BYTES: usize = 1460;
const MEMORY_MB: usize = 48;
const CLIENTS: usize = 200;

/// Returns a complete request of a keyed class with the longest body that the protocol permits.
fn request_with_body(id: usize) -> String {
    let body = "x".repeat(BODY_BYTES);
    let key = format!("idempotency-key: key-{id}\r\n");
    request("POST /mark/a", &format!("i{id}"), &key, &body)
}

/// Returns the memory of this process that no file backs.
fn anonymous_kib() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"))
        .expect("a field");
    line.trim().trim_end_matches("kB").trim().parse().unwrap()
}

/// Sends all but the last byte of a request on each connection, a segment at a time, and returns the most memory that
/// this process used meanwhile.
async fn send_in_segments(clients: &mut [Connection]) -> usize {
    let requests: Vec<String> = (0..clients.len()).map(request_with_body).collect();
    let length = requests[0].len() - 1;
    let mut peak = 0;
    for at in (0..length).step_by(SEGMENT_BYTES) {
        for (client, request) in clients.iter_mut().zip(&requests) {
            let end = (at + SEGMENT_BYTES).min(length);
            client.send(&request[at..end]).await.unwrap();
        }
        // The sidecar shares this thread: it reads these segments before the next ones are sent.
        sleep(MS).await;
        peak = peak.max(anonymous_kib());
    }
    peak
}

async fn connect(rig: &Rig, count: usize) -> Vec<Connection> {
    let mut clients = Vec::new();
    for _ in 0..count {
        clients.push(rig.client().await);
    }
    clients
}

/// 200 bodies of 64 KiB in segments took the sidecar over a limit of 48 MB, and the platform killed it.
async fn bodies_in_segments_stay_within_the_memory_limit() {
    let rig = Rig::new(|config| {
        config["limits"] = json!({"memory_mb": MEMORY_MB, "sockets": 672, "cores": 1.0});
    })
    .await;
    let mut clients = connect(&rig, CLIENTS).await;
    let peak = send_in_segments(&mut clients).await;
    assert!(peak < MEMORY_MB * KIB, "{peak} KiB of this process");
}

/// Bodies beyond their part of the memory, a quarter, were read regardless of it: the next request waits for memory, is
/// rejected after half of its time if it gets none, and is served if it does.
async fn a_request_without_memory_for_its_body_waits_and_is_then_rejected() {
    let rig = Rig::new(|config| {
        config["limits"] = json!({"memory_mb": 16, "sockets": 672, "cores": 1.0});
    })
    .await;
    let fitting = 16 * KIB * KIB / 4 / BODY_BYTES;
    let mut holders = connect(&rig, fitting).await;
    send_in_segments(&mut holders).await;
    let mut client = rig.client().await;
    let began = Instant::now();
    client.send(request_with_body(1000)).await.unwrap();
    let (status, _, _) = client.answer().await.unwrap();
    assert_eq!(status, 503);
    let took = began.elapsed();
    assert!((400 * MS..800 * MS).contains(&took), "{took:?} of 800 ms");
    let mut client = rig.client().await;
    client.send(request_with_body(1001)).await.unwrap();
    sleep(50 * MS).await;
    drop(holders);
    let mut pod = rig.pod.accept().await.unwrap();
    assert_eq!(pod.message().await.unwrap().1.len(), BODY_BYTES);
    pod.send(OK).await.unwrap();
    assert_eq!(client.answer().await.unwrap().0, 200);
}

#[test]
fn the_bodies_of_requests_stay_within_the_memory_limit() {
    run_test(async {
        bodies_in_segments_stay_within_the_memory_limit().await;
        a_request_without_memory_for_its_body_waits_and_is_then_rejected().await;
    });
}
