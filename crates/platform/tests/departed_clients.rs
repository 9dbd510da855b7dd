//! Clients that close their connection, and what becomes of the requests that they sent on it.

mod common;

use common::{get, let_sidecar_run, run_test, Rig, HEALTH, OK, OK_CLOSE};
use havenplank_emulator::scripted::Connection;
use serde_json::{json, Value};
use std::time::{Duration, Instant};
use tokio::time::sleep;

const MS: Duration = Duration::from_millis(1);
/// More than the sidecar reads ahead behind a request in flight, and within what its socket holds.
const MUCH_BYTES: usize = 60_000;

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
