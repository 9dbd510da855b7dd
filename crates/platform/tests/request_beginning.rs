//! When a request on a kept connection begins: with its own first byte, whatever the requests before it sent.

mod common;

use common::{let_sidecar_run, request, run_test, wait_until_reusable, Rig, OK};
use havenplank_emulator::scripted::{header, Connection};
use havenplank_platform::Command;
use std::time::{Duration, Instant};
use tokio::time::sleep;

const MS: Duration = Duration::from_millis(1);
/// The remaining time that the requests of [`request`] state, in milliseconds.
const REMAINING_MS: u64 = 800;

/// Sends a request whose body arrives in two reads after that of its head, and reads its response. Returns the
/// connections of the client and the pod.
async fn request_in_segments(rig: &Rig) -> (Connection, Connection) {
    let bytes = request("POST /write/a", "i1", "", "body");
    let (head_end, middle) = (bytes.len() - 4, bytes.len() - 2);
    let mut client = rig.client().await;
    for part in [
        &bytes[..head_end],
        &bytes[head_end..middle],
        &bytes[middle..],
    ] {
        client.send(part).await.unwrap();
        let_sidecar_run(rig).await;
    }
    let mut pod = rig.pod.accept().await.unwrap();
    assert_eq!(pod.message().await.unwrap().1, "body");
    pod.send(OK).await.unwrap();
    assert_eq!(client.answer().await.unwrap().0, 200);
    (client, pod)
}

/// A body in a read of its own counted as the beginning of a further request, so the idle connection stayed open at a
/// stop for 2 s: requests that came on it were lost at SIGKILL.
#[test]
fn an_idle_connection_closes_at_a_stop_after_a_body_in_a_later_segment() {
    run_test(async {
        let rig = Rig::new(|_| {}).await;
        let (mut client, _pod) = request_in_segments(&rig).await;
        let_sidecar_run(&rig).await;
        let began = Instant::now();
        rig.commands.send(Command::Stop).await.ok().unwrap();
        assert!(client.closes_in_time().await);
        // Later than 0.7 s after SIGTERM, a request that SIGKILL finds unanswered is lost.
        assert!(began.elapsed() < 700 * MS, "{:?}", began.elapsed());
    });
}

/// The same stale beginning cost the next request on the connection its time: it reached the pod with 55 of 300 ms.
#[test]
fn a_body_in_a_later_segment_costs_the_next_request_no_time() {
    run_test(async {
        let rig = Rig::new(|_| {}).await;
        let (mut client, mut pod) = request_in_segments(&rig).await;
        wait_until_reusable().await;
        sleep(300 * MS).await;
        let sent = Instant::now();
        client
            .send(request("POST /write/a", "i2", "", ""))
            .await
            .unwrap();
        let (head, _) = pod.message().await.unwrap();
        let spent = sent.elapsed().as_millis() as u64;
        let left: u64 = header(&head, "x-time-left-ms").unwrap().parse().unwrap();
        // The settings take 20 ms off for the response.
        assert!(left + spent + 25 >= REMAINING_MS, "{left} ms after {spent}");
        pod.send(OK).await.unwrap();
        assert_eq!(client.answer().await.unwrap().0, 200);
    });
}

/// A request that is partly read is answered at a stop, and its time runs from its own first byte.
#[test]
fn a_further_request_that_is_partly_read_still_counts_as_begun() {
    run_test(async {
        let rig = Rig::new(|_| {}).await;
        let (mut client, mut pod) = request_in_segments(&rig).await;
        wait_until_reusable().await;
        let bytes = request("POST /write/a", "i2", "", "");
        client.send(&bytes[..20]).await.unwrap();
        let_sidecar_run(&rig).await;
        rig.commands.send(Command::Stop).await.ok().unwrap();
        sleep(200 * MS).await;
        client.send(&bytes[20..]).await.unwrap();
        let (head, _) = pod.message().await.unwrap();
        let left: u64 = header(&head, "x-time-left-ms").unwrap().parse().unwrap();
        assert!(left <= REMAINING_MS - 200, "{left} ms");
        pod.send(OK).await.unwrap();
        assert_eq!(client.answer().await.unwrap().0, 200);
        rig.ended.await.unwrap();
    });
}
