//! Correlation ids that come again once their first request has ended. While it is in flight: `races.rs`.

mod common;

use common::{get, let_sidecar_run, request, run_test, Rig, OK};

fn post(class: &str, id: &str) -> String {
    request(&format!("POST /{class}"), id, "idempotency-key: k\r\n", "x")
}

/// An id came again after its client had left: the sidecar had forgotten it with the first request, and it ran twice.
#[test]
fn an_id_that_comes_again_after_its_client_has_left_does_not_run_twice() {
    run_test(async {
        for class in ["mark", "write"] {
            let rig = Rig::new(|_| {}).await;
            let (first, mut pod) = rig.request(&post(class, "same")).await;
            drop(first);
            // The attempt is closed: the sidecar has seen the client leave.
            assert!(pod.closes_in_time().await);
            let mut second = rig.client().await;
            second.send(post(class, "same")).await.unwrap();
            assert_eq!(second.answer().await.unwrap().0, 502, "{class}");
            assert!(
                rig.pod.has_no_pending_connection().await,
                "{class} ran twice"
            );
        }
    });
}

/// The same id after its response: the client may have left without reading that.
#[test]
fn an_id_that_comes_again_after_its_response_does_not_run_twice() {
    run_test(async {
        let rig = Rig::new(|_| {}).await;
        let (mut first, mut pod) = rig.request(&post("write", "same")).await;
        pod.send(OK).await.unwrap();
        assert_eq!(first.answer().await.unwrap().0, 200);
        drop(first);
        let mut second = rig.client().await;
        second.send(post("write", "same")).await.unwrap();
        assert_eq!(second.answer().await.unwrap().0, 502);
        assert!(rig.pod.has_no_pending_connection().await, "ran twice");
    });
}

/// A request that is idempotent, or that was sent to no pod, is served when its id comes again.
#[test]
fn an_id_of_a_request_that_cannot_have_run_may_come_again() {
    run_test(async {
        let rig = Rig::new(|_| {}).await;
        let (first, mut pod) = rig.request(&get("read")).await;
        drop(first);
        assert!(pod.closes_in_time().await);
        let (_second, mut pod) = rig.request(&get("read")).await;
        pod.send(OK).await.unwrap();
        let bytes = post("write", "half");
        let mut first = rig.client().await;
        first.send(&bytes[..bytes.len() - 1]).await.unwrap();
        let_sidecar_run(&rig).await;
        drop(first);
        let_sidecar_run(&rig).await;
        let (mut second, mut pod) = rig.request(&bytes).await;
        pod.send(OK).await.unwrap();
        assert_eq!(second.answer().await.unwrap().0, 200);
    });
}
