//! Clients that close their connection, and what becomes of the requests that they sent on it.

mod common;

use common::{get, let_sidecar_run, request, run_test, Rig, HEALTH, OK, OK_CLOSE};
use havenplank_emulator::scripted::Connection;
use serde_json::{json, Value};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::time::sleep;

const MS: Duration = Duration::from_millis(1);
/// Within what a socket holds.
const MUCH_BYTES: usize = 60_000;
/// More than a socket holds, so that the close waits in the client's system.
const VERY_MUCH_BYTES: usize = 200_000;
/// Of 64 MB: nothing is left for clients and for bodies of requests, and something for responses.
const SHORT_MEMORY_BYTES: usize = 45_000_000;

/// Sets client timeouts that do not run out during a test.
fn set_long_timeouts(config: &mut Value) {
    for class in config["settings"]["classes"].as_array_mut().unwrap() {
        (class["onTimeNs"], class["giveUpNs"]) = (json!(8_000_000_000u64), json!(9_000_000_000u64));
    }
}

fn long_get(id: &str) -> String {
    get(id).replace("800", "8000")
}

/// Sends a request, much behind it, and closes once the sidecar has had time to read ahead. Returns the connection on
/// which the pod has the first request.
async fn leave_with_much_unread(rig: &Rig, behind: &str) -> Connection {
    let (mut client, pod) = rig.request(&long_get("i1")).await;
    client.send(behind).await.unwrap();
    let_sidecar_run(rig).await;
    drop(client);
    pod
}

/// A client closed with over 16 KiB unread: its close was not seen, its request went on, and the next one behind it was
/// sent to a pod after that.
#[test]
fn a_client_that_closes_with_much_unread_ends_its_request_and_sends_no_further_one() {
    run_test(async {
        let requests: String = (0..1000).map(|n| long_get(&format!("next-{n}"))).collect();
        let behind = [
            &requests[..MUCH_BYTES],
            &"x".repeat(MUCH_BYTES),
            &"\r\n".repeat(MUCH_BYTES / 2),
        ];
        for behind in behind {
            let rig = Rig::new(set_long_timeouts).await;
            let mut pod = leave_with_much_unread(&rig, behind).await;
            let began = Instant::now();
            assert!(pod.closes_in_time().await);
            let took = began.elapsed();
            // Attempts begun over 0.1 s after the close break a rule.
            assert!(took < 100 * MS, "{took:?} after {behind:.20}");
            sleep(100 * MS).await;
            assert!(rig.pod.has_no_pending_connection().await, "sent on");
        }
    });
}

/// The same with a client that resets its connection, as it does if it leaves before it has read its responses.
#[test]
fn a_client_that_resets_with_much_unread_ends_its_request() {
    run_test(async {
        let rig = Rig::new(set_long_timeouts).await;
        let client = std::net::TcpStream::connect(rig.address).unwrap();
        client.set_nonblocking(true).unwrap();
        let client = tokio::net::TcpStream::from_std(client).unwrap();
        socket2::SockRef::from(&client)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
        let mut client = Connection::from(client);
        client.send(long_get("i1")).await.unwrap();
        let mut pod = rig.pod.accept().await.unwrap();
        pod.message().await.unwrap();
        client.send("x".repeat(MUCH_BYTES)).await.unwrap();
        let_sidecar_run(&rig).await;
        drop(client);
        let began = Instant::now();
        assert!(pod.closes_in_time().await);
        assert!(began.elapsed() < 100 * MS, "{:?}", began.elapsed());
    });
}

/// What was left in the socket while a request was served is read afterwards.
#[test]
fn requests_behind_much_that_is_unread_are_served_in_order() {
    run_test(async {
        let rig = Rig::new(set_long_timeouts).await;
        let count = MUCH_BYTES / HEALTH.len();
        let (mut client, mut pod) = rig.request(&long_get("i1")).await;
        client.send(HEALTH.repeat(count)).await.unwrap();
        client.send(long_get("last")).await.unwrap();
        let_sidecar_run(&rig).await;
        pod.send(OK_CLOSE).await.unwrap();
        for _ in 0..=count {
            assert_eq!(client.answer().await.unwrap().0, 200);
        }
        pod = rig.pod.accept().await.unwrap();
        assert!(pod.message().await.unwrap().0.contains("last"));
        pod.send(OK).await.unwrap();
        assert_eq!(client.answer().await.unwrap().0, 200);
    });
}

/// The socket of the sidecar was full, so the close waited in the client's system, which nothing reports.
#[test]
fn a_client_that_closes_with_more_unread_than_the_socket_holds_ends_its_request() {
    run_test(async {
        let rig = Rig::new(set_long_timeouts).await;
        let mut pod = leave_with_much_unread(&rig, &"x".repeat(VERY_MUCH_BYTES)).await;
        let began = Instant::now();
        assert!(pod.closes_in_time().await);
        assert!(began.elapsed() < 100 * MS, "{:?}", began.elapsed());
    });
}

/// With memory short next to nothing is read ahead: a client that has sent more gets an error at once, as nobody could
/// tell any more whether it is there; one that has sent an empty line too many is served.
#[test]
fn with_memory_short_a_client_that_sends_much_behind_its_request_gets_an_error() {
    run_test(async {
        let rig = Rig::with_allocated(|| SHORT_MEMORY_BYTES, set_long_timeouts).await;
        let (mut client, mut pod) = rig.request(&long_get("i1")).await;
        client.send("\r\n").await.unwrap();
        let_sidecar_run(&rig).await;
        pod.send(OK_CLOSE).await.unwrap();
        assert_eq!(client.answer().await.unwrap().0, 200);

        let (mut client, mut pod) = rig.request(&long_get("i2")).await;
        client.send("x".repeat(MUCH_BYTES)).await.unwrap();
        assert!(pod.closes_in_time().await);
        assert_eq!(client.answer().await.unwrap().0, 502);
        assert!(client.closes_in_time().await);
    });
}

static ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(SHORT_MEMORY_BYTES);

/// While a body waits for memory nothing of its connection is read, so a close behind it is not seen.
#[test]
fn a_request_whose_client_closes_while_its_body_waits_for_memory_is_not_sent() {
    run_test(async {
        let allocated_bytes = || ALLOCATED_BYTES.load(Ordering::Relaxed);
        let rig = Rig::with_allocated(allocated_bytes, set_long_timeouts).await;
        let body = "b".repeat(MUCH_BYTES);
        let post = request("POST /write/a", "i1", "", &body).replace("800", "8000");
        let client = rig.client().await;
        let stream = client.into_std().unwrap();
        let sent = post + &"x".repeat(VERY_MUCH_BYTES);
        // Written as far as the sockets take it, which is past the body.
        stream.set_nonblocking(true).unwrap();
        let mut written = 0;
        while written < sent.len() {
            match std::io::Write::write(&mut &stream, &sent.as_bytes()[written..]) {
                Ok(more) => written += more,
                Err(_) => sleep(MS).await,
            }
        }
        let_sidecar_run(&rig).await;
        drop(stream);
        sleep(200 * MS).await;
        ALLOCATED_BYTES.store(0, Ordering::Relaxed);
        sleep(300 * MS).await;
        assert!(rig.pod.has_no_pending_connection().await, "sent");
    });
}
