//! A sidecar on loopback sockets, with clients, pods and services that misbehave: closed connections, malformed
//! messages, late responses and shutdown under load.

mod common;

use common::{
    complete_list, get, listed_endpoint, read_message, read_response, with_sidecar, ScriptedPod,
    NEVER_RAN, OK,
};
use havenplank::interface::{Phase, PodState, Stage};
use havenplank_line_protocol::control_plane;
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

#[test]
fn a_request_whose_connection_closes_after_the_write_may_have_run() {
    with_sidecar(8, |sidecar| async move {
        let pod = sidecar.start_pod().await;
        for (path, status) in [("/write", 502), ("/read", 200)] {
            let pending_response = sidecar.spawn_request(get(path, ""));
            let mut first = pod.accept().await;
            read_message(&mut first).await.expect("an attempt");
            first.write_all(OK).await.expect("answered");
            assert_eq!(pending_response.await.expect("done").0, 200);
            let pending_response = sidecar.spawn_request(get(path, ""));
            read_message(&mut first)
                .await
                .expect("an attempt on the idle connection");
            drop(first);
            if status == 502 {
                assert!(
                    pod.gets_no_connection().await,
                    "a non-idempotent request that may have run was retried"
                );
            } else {
                let mut second = pod.accept().await;
                read_message(&mut second).await.expect("a retry");
                second.write_all(OK).await.expect("answered");
            }
            assert_eq!(pending_response.await.expect("done").0, status, "{path}");
        }
    });
}

#[test]
fn sends_a_non_idempotent_request_again_when_its_connection_closed_while_idle() {
    with_sidecar(8, |sidecar| async move {
        let pod = sidecar.start_pod().await;
        for _ in 0..3 {
            let pending_response = sidecar.spawn_request(get("/write", ""));
            let mut stream = pod.accept().await;
            read_message(&mut stream).await.expect("an attempt");
            stream.write_all(OK).await.expect("answered");
            assert_eq!(pending_response.await.expect("done").0, 200);
            drop(stream);
        }
    });
}

#[test]
fn rejects_a_request_that_never_ran_and_fails_one_that_may_have_run() {
    with_sidecar(8, |sidecar| async move {
        let pod = sidecar.start_pod().await;
        for (reply, status) in [
            (NEVER_RAN, 503),
            (b"HTTP/1.1 500 E\r\ncontent-length: 0\r\n\r\n", 502),
        ] {
            let pending_response = sidecar.spawn_request(get("/write", ""));
            // Every attempt gets the same reply; a request that never ran may have several attempts.
            let served = async {
                let mut stream = pod.accept().await;
                while read_message(&mut stream).await.is_some() {
                    stream.write_all(reply).await.expect("answered");
                }
            };
            let (actual, text) = tokio::select! {
                pending_response = pending_response => pending_response.expect("done"),
                () = served => panic!("the sidecar closed a connection that was still usable"),
            };
            assert_eq!(actual, status, "{text}");
            assert_eq!(text.contains("retry-after: "), status == 503, "{text}");
        }
    });
}

#[test]
fn a_late_response_never_answers_the_next_request() {
    with_sidecar(8, |sidecar| async move {
        let pod = sidecar.start_pod().await;
        let mut client = sidecar.connect().await;
        client
            .write_all(&get("/read", "grpc-timeout: 200m\r\n"))
            .await
            .expect("written");
        let mut stream = pod.accept().await;
        read_message(&mut stream).await.expect("an attempt");
        let (status, _) = read_response(&mut client).await;
        assert!(status == 503 || status == 504, "{status}");
        let _ = stream.write_all(OK).await;
        client
            .write_all(&get("/nowhere", ""))
            .await
            .expect("written");
        assert_eq!(
            read_response(&mut client).await.0,
            404,
            "the late response was taken for that of the next request"
        );
    });
}

#[test]
fn a_client_timeout_never_extends_the_deadline_and_a_too_short_one_is_answered_at_once() {
    with_sidecar(8, |sidecar| async move {
        let pod = sidecar.start_pod().await;
        let began = Instant::now();
        let (status, _) = sidecar
            .request(&get("/write", "grpc-timeout: 5m\r\n"))
            .await;
        assert!(
            status == 503 && began.elapsed() < Duration::from_millis(300),
            "{:?}",
            began.elapsed()
        );
        assert!(
            pod.gets_no_connection().await,
            "a request without time for an attempt reached the pod"
        );
        let began = Instant::now();
        let (status, _) = sidecar
            .request(&get("/write", "grpc-timeout: 1H\r\n"))
            .await;
        assert_eq!(status, 504);
        let took = began.elapsed();
        assert!(
            took >= Duration::from_millis(850) && took < Duration::from_millis(1500),
            "{took:?}"
        );
        assert_eq!(
            sidecar
                .request(&get("/read", "grpc-timeout: soon\r\n"))
                .await
                .0,
            400
        );
    });
}

#[test]
fn clients_that_close_half_close_or_pipeline_get_their_responses() {
    with_sidecar(8, |sidecar| async move {
        let pod = sidecar.start_pod().await;
        let mut disconnecting = sidecar.connect().await;
        disconnecting
            .write_all(&get("/write", ""))
            .await
            .expect("written");
        let mut stream = pod.accept().await;
        read_message(&mut stream).await.expect("an attempt");
        drop(disconnecting);
        stream.write_all(OK).await.expect("answered");
        sidecar.wait_for_state("\"hits_in_flight\":0").await;

        // A close cannot be told from a half-close, so an attempt that was sent is still answered, and none begins.
        let mut half_closing = sidecar.connect().await;
        half_closing
            .write_all(&get("/write", ""))
            .await
            .expect("written");
        read_message(&mut stream).await.expect("an attempt");
        half_closing.shutdown().await.expect("half closed");
        sidecar.wait_for_state("\"hits_in_flight\":1").await;
        stream.write_all(OK).await.expect("answered");
        assert_eq!(read_response(&mut half_closing).await.0, 200);

        let mut half_closed = sidecar.connect().await;
        half_closed
            .write_all(&get("/write", ""))
            .await
            .expect("written");
        half_closed.shutdown().await.expect("half closed");
        assert_eq!(read_response(&mut half_closed).await.0, 503);
        let sent = timeout(Duration::from_millis(150), stream.read(&mut [0; 16])).await;
        assert!(sent.is_err(), "sent for a client that has closed: {sent:?}");

        let mut pipelining = sidecar.connect().await;
        pipelining
            .write_all(&[get("/write", "n: 1\r\n"), get("/write", "n: 2\r\n")].concat())
            .await
            .expect("written");
        for n in 1..=2 {
            let attempt = read_message(&mut stream).await.expect("an attempt");
            assert!(attempt.contains(&format!("n: {n}\r\n")), "{attempt}");
            stream
                .write_all(format!("HTTP/1.1 20{n} Y\r\ncontent-length: 0\r\n\r\n").as_bytes())
                .await
                .expect("ok");
            assert_eq!(read_response(&mut pipelining).await.0, 200 + n);
        }
    });
}

#[test]
fn rejects_malformed_requests_without_forwarding_them() {
    with_sidecar(8, |sidecar| async move {
        let pod = sidecar.start_pod().await;
        let post = |rest: &str| {
            format!("POST /mark HTTP/1.1\r\nhost: h\r\nidempotency-key: \"k\"\r\n{rest}")
                .into_bytes()
        };
        let chunk = format!(
            "transfer-encoding: chunked\r\n\r\n800\r\n{}\r\n0\r\n\r\n",
            "x".repeat(0x800)
        );
        for (bytes, status) in [
            (get("/elsewhere", ""), 404),
            (get("/mark", ""), 400),
            (get("/mark", "idempotency-key: bare\r\n"), 400),
            (post("content-length: 5000\r\n\r\n"), 413),
            (post(&chunk), 413),
            (post("content-length: 10\r\n\r\nshort"), 408),
            (b"BREW\r\n\r\n".to_vec(), 400),
        ] {
            let (actual, text) = sidecar.request(&bytes).await;
            assert_eq!(actual, status, "{} {text}", String::from_utf8_lossy(&bytes));
        }
        let mut slow_client = sidecar.connect().await;
        slow_client
            .write_all(b"GET /read HTTP/1.1\r\nho")
            .await
            .expect("written");
        let ended = timeout(
            Duration::from_secs(3),
            slow_client.read_to_end(&mut Vec::new()),
        )
        .await;
        assert!(
            ended.is_ok(),
            "the connection stayed open though its head never ended"
        );
        assert!(
            pod.gets_no_connection().await,
            "a malformed request was forwarded"
        );
    });
}

#[test]
fn an_attempt_is_framed_once_and_carries_no_hop_by_hop_header() {
    with_sidecar(8, |sidecar| async move {
        let pod = sidecar.start_pod().await;
        let pending_response = spawn_local({
            let sidecar = sidecar.clone();
            async move {
                let odd = "POST /read HTTP/1.1\r\nhost: h\r\nconnection: x-hop\r\nx-hop: 1\r\nte: trailers\r\n\
                           keep-alive: 5\r\nx-stays: 1\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n\
                           3\r\nabc\r\n0\r\n\r\n";
                sidecar.request(odd.as_bytes()).await
            }
        });
        let mut stream = pod.accept().await;
        let attempt = read_message(&mut stream).await.expect("an attempt");
        for removed in [
            "x-hop",
            "\r\nte:",
            "keep-alive",
            "transfer-encoding",
            "content-length: 4",
        ] {
            assert!(!attempt.contains(removed), "{removed} in {attempt}");
        }
        for stays in [
            "x-stays: 1",
            "content-length: 3",
            "via: 1.1 s-1",
            "\r\n\r\nabc",
        ] {
            assert!(attempt.contains(stays), "{stays} not in {attempt}");
        }
        let reply =
            b"HTTP/1.1 200 OK\r\nconnection: x-own\r\nx-own: 1\r\nx-pod: forged\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(reply).await.expect("answered");
        let (status, text) = pending_response.await.expect("done");
        assert!(
            status == 200 && !text.contains("x-own") && text.contains("x-pod: p\r\n"),
            "{text}"
        );
    });
}

#[test]
fn a_waiting_attempt_is_not_sent_after_its_pod_drains_or_its_build_is_withdrawn() {
    for stage_is_withdrawn in [false, true] {
        with_sidecar(1, |sidecar| async move {
            let (old, new) = (ScriptedPod::start().await, ScriptedPod::start().await);
            let build = if stage_is_withdrawn { 2 } else { 1 };
            let pods = |state| {
                let mut pods = vec![listed_endpoint("new", new.address(), state, build)];
                if stage_is_withdrawn {
                    pods.push(listed_endpoint("old", old.address(), PodState::Draining, 1));
                }
                pods
            };
            let trial = |cap, phase| {
                let mut text = String::new();
                let stage = Stage {
                    build: 2,
                    stage: 0,
                    phase,
                    cap,
                    age: 1,
                };
                control_plane::write_stage(&mut text, if cap > 0.0 { 1 } else { 2 }, &stage);
                text
            };
            sidecar.wait_for_state("\"pods_running\":0").await;
            sidecar.set_endpoints(1, &pods(PodState::Running)).await;
            if stage_is_withdrawn {
                sidecar.control_plane.push(trial(1.0, Phase::Trial));
                sidecar.wait_for_state("\"cap\":1.0").await;
            }
            let send_request = |path: &'static str| {
                let sidecar = sidecar.clone();
                spawn_local(async move { sidecar.request(&get(path, "")).await })
            };
            // The build on trial has no free attempts in the first window. These requests count towards its share,
            // which allows the two attempts that the test is about.
            if stage_is_withdrawn {
                for _ in 0..8 {
                    sidecar.request(&get("/read", "grpc-timeout: 1m\r\n")).await;
                }
            }
            let first = send_request("/read");
            let mut stream = new.accept().await;
            read_message(&mut stream).await.expect("the first attempt");
            let second = send_request("/write");
            sidecar.wait_for_state("\"hits_in_flight\":2").await;
            match stage_is_withdrawn {
                true => {
                    sidecar.control_plane.push(trial(0.0, Phase::RollingBack));
                    sidecar.wait_for_state("\"cap\":0.0").await;
                }
                false => sidecar.set_endpoints(2, &pods(PodState::Draining)).await,
            }
            stream.write_all(OK).await.expect("answered");
            assert_eq!(first.await.expect("done").0, 200);
            let (status, text) = second.await.expect("done");
            assert_eq!(
                status, 503,
                "an attempt that was never sent must be rejected: {text}"
            );
            let more = timeout(Duration::from_millis(100), read_message(&mut stream)).await;
            assert!(
                !matches!(more, Ok(Some(_))),
                "an attempt reached a pod that must get none"
            );
        });
    }
}

#[test]
fn endpoint_lists_that_move_drop_or_garble_pods_lose_no_request() {
    with_sidecar(8, |sidecar| async move {
        let (old, new) = (ScriptedPod::start().await, ScriptedPod::start().await);
        let many: Vec<ListedEndpoint> = (0..999)
            .map(|n| listed_endpoint(&format!("d-{n}"), old.address(), PodState::Draining, 1))
            .chain([listed_endpoint("p", old.address(), PodState::Running, 1)])
            .collect();
        sidecar.wait_for_state("\"pods_running\":0").await;
        sidecar.set_endpoints(1, &many).await;
        let send_request = || {
            let sidecar = sidecar.clone();
            spawn_local(async move { sidecar.request(&get("/read", "")).await.0 })
        };
        let first = send_request();
        let mut stream = old.accept().await;
        read_message(&mut stream)
            .await
            .expect("an attempt to the old address");
        // The list now holds only the same name with another address. The attempt to the old address continues.
        sidecar
            .set_endpoints(
                2,
                &[listed_endpoint("p", new.address(), PodState::Running, 2)],
            )
            .await;
        let second = send_request();
        let mut moved = new.accept().await;
        read_message(&mut moved)
            .await
            .expect("an attempt to the new address");
        stream.write_all(OK).await.expect("answered");
        moved.write_all(OK).await.expect("answered");
        assert_eq!(
            (first.await.expect("done"), second.await.expect("done")),
            (200, 200)
        );
        // A malformed line ends the subscription. The list stays in force, and the sidecar reconnects.
        *sidecar.discovery.on_connect.borrow_mut() = complete_list(1, &[]);
        sidecar
            .discovery
            .push("changes 3 1\npod p nowhere running\n".to_string());
        let third = send_request();
        read_message(&mut moved)
            .await
            .expect("the last list stays in force");
        moved.write_all(OK).await.expect("answered");
        assert_eq!(third.await.expect("done"), 200);
        sidecar.wait_for_state("\"pods_running\":0").await;
        assert_eq!(
            sidecar.request(&get("/read", "")).await.0,
            503,
            "without pods a request must be rejected at once"
        );
    });
}

#[test]
fn a_shutdown_answers_every_accepted_request() {
    with_sidecar(256, |sidecar| async move {
        let pod = sidecar.start_pod().await;
        // Clients connect one after the other, because the accept queue may hold fewer than 200 connections.
        let mut pending_responses = Vec::new();
        for _ in 0..200 {
            let mut stream = sidecar.connect().await;
            pending_responses.push(spawn_local(async move {
                stream.write_all(&get("/write", "")).await.expect("written");
                read_response(&mut stream).await.0
            }));
        }
        let mut held = vec![pod.accept().await];
        read_message(&mut held[0]).await.expect("an attempt");
        while let Some(mut stream) = pod.accept_within(Duration::from_millis(200)).await {
            read_message(&mut stream).await.expect("an attempt");
            held.push(stream);
        }
        sidecar.stop();
        let refused = async {
            while TcpStream::connect(sidecar.address).await.is_ok() {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(Duration::from_secs(5), refused)
            .await
            .expect("the sidecar must stop accepting connections");
        let attempts = held.len();
        for stream in &mut held {
            stream.write_all(OK).await.expect("answered");
        }
        let mut counts = std::collections::BTreeMap::new();
        for pending_response in pending_responses {
            *counts
                .entry(pending_response.await.expect("done"))
                .or_insert(0) += 1;
        }
        assert_eq!(counts.get(&200), Some(&attempts), "{counts:?}");
        assert_eq!(counts.get(&503), Some(&(200 - attempts)), "{counts:?}");
        sidecar.wait_for_end().await;
    });
}

#[test]
fn random_bytes_from_peers_neither_panic_the_sidecar_nor_lose_a_request() {
    with_sidecar(8, |sidecar| async move {
        let pod = sidecar.start_pod().await;
        let held = sidecar.spawn_request(get("/write", ""));
        let mut stream = pod.accept().await;
        read_message(&mut stream).await.expect("an attempt");
        let any = proptest::collection::vec(any::<u8>(), 0..400);
        let mut runner = TestRunner::deterministic();
        let bytes: Vec<Vec<u8>> = (0..60)
            .map(|_| any.new_tree(&mut runner).expect("a value").current())
            .collect();
        for garbage in bytes {
            for at in [sidecar.address, sidecar.admin] {
                for start in [
                    &b""[..],
                    b"GET /read HTTP/1.1\r\n",
                    b"POST /flagged HTTP/1.1\r\nhost: h\r\n\r\n",
                ] {
                    let mut peer = TcpStream::connect(at)
                        .await
                        .expect("the sidecar still listens");
                    let _ = peer.write_all(&[start, &garbage].concat()).await;
                }
            }
            for service in [&sidecar.control_plane, &sidecar.discovery] {
                service.push(String::from_utf8_lossy(&garbage).into_owned() + "\n");
            }
        }
        stream.write_all(OK).await.expect("answered");
        assert_eq!(
            held.await.expect("done").0,
            200,
            "the accepted request must get its response"
        );
        sidecar.wait_for_state("\"pods_running\":1").await;
    });
}

#[test]
fn a_response_slower_than_the_head_timeout_is_passed_on_completely() {
    with_sidecar(8, |sidecar| async move {
        let pod = sidecar.start_pod().await;
        let mut client = sidecar.connect().await;
        client.write_all(&get("/read", "")).await.unwrap();
        let mut from = pod.accept().await;
        read_message(&mut from).await.unwrap();
        // The body exceeds the 4 KiB that the sidecar buffers, so it is streamed. The head timeout is 300 ms.
        let chunk_text = "y".repeat(5_000);
        let head = "HTTP/1.1 200 OK\r\ncontent-length: 10000\r\n\r\n";
        from.write_all(format!("{head}{chunk_text}").as_bytes())
            .await
            .unwrap();
        let mut first = [0; 4_000];
        client.read_exact(&mut first).await.unwrap();
        sleep(Duration::from_millis(450)).await;
        from.write_all(chunk_text.as_bytes()).await.unwrap();
        let mut text = first.to_vec();
        while !String::from_utf8_lossy(&text).ends_with(&(chunk_text.clone() + &chunk_text)) {
            let read = timeout(Duration::from_secs(5), client.read_buf(&mut text))
                .await
                .expect("in time");
            assert!(read.unwrap() > 0, "cut after {}", text.len());
        }
    });
}

#[test]
fn a_shutdown_answers_requests_in_the_accept_queue() {
    with_sidecar(64, |sidecar| async move {
        // Nothing here awaits before the stop, so the sidecar cannot accept these connections before it.
        let queued: Vec<std::net::TcpStream> = (0..40)
            .map(|_| {
                let mut stream = std::net::TcpStream::connect(sidecar.address).unwrap();
                std::io::Write::write_all(&mut stream, &get("/nowhere", "")).unwrap();
                stream.set_nonblocking(true).unwrap();
                stream
            })
            .collect();
        sidecar.stop();
        for stream in queued {
            let mut stream = TcpStream::from_std(stream).unwrap();
            assert_eq!(read_response(&mut stream).await.0, 404);
        }
    });
}
