//! A sidecar on loopback sockets amid scripted peers that do what peers should not.

mod common;

use common::{
    complete_list, get, listed, read_message, read_response, with_sidecar, ScriptedPod, NEVER_RAN,
    OK,
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
            let asked = sidecar.spawn_request(get(path, ""));
            let mut first = pod.accept().await;
            read_message(&mut first).await.expect("an attempt");
            first.write_all(OK).await.expect("answered");
            assert_eq!(asked.await.expect("done").0, 200);
            let asked = sidecar.spawn_request(get(path, ""));
            read_message(&mut first)
                .await
                .expect("an attempt on the idle connection");
            drop(first);
            if status == 502 {
                assert!(
                    pod.is_left_alone().await,
                    "a non-idempotent request that may have run is not retried"
                );
            } else {
                let mut second = pod.accept().await;
                read_message(&mut second).await.expect("a retry");
                second.write_all(OK).await.expect("answered");
            }
            assert_eq!(asked.await.expect("done").0, status, "{path}");
        }
    });
}

#[test]
fn a_non_idempotent_request_is_sent_again_where_its_connection_closed_while_idle() {
    with_sidecar(8, |sidecar| async move {
        let pod = sidecar.start_pod().await;
        for _ in 0..3 {
            let asked = sidecar.spawn_request(get("/write", ""));
            let mut stream = pod.accept().await;
            read_message(&mut stream).await.expect("an attempt");
            stream.write_all(OK).await.expect("answered");
            assert_eq!(asked.await.expect("done").0, 200);
            drop(stream);
        }
    });
}

#[test]
fn rejects_what_a_pod_proves_never_ran_and_fails_what_may_have_run() {
    with_sidecar(8, |sidecar| async move {
        let pod = sidecar.start_pod().await;
        for (reply, status) in [
            (NEVER_RAN, 503),
            (b"HTTP/1.1 500 E\r\ncontent-length: 0\r\n\r\n", 502),
        ] {
            let asked = sidecar.spawn_request(get("/write", ""));
            // Every attempt of it is answered alike: those that never ran may be several.
            let served = async {
                let mut stream = pod.accept().await;
                while read_message(&mut stream).await.is_some() {
                    stream.write_all(reply).await.expect("answered");
                }
            };
            let (got, text) = tokio::select! {
                asked = asked => asked.expect("done"),
                () = served => panic!("the sidecar closed a good connection"),
            };
            assert_eq!(got, status, "{text}");
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
            "the next response is the next request's"
        );
    });
}

#[test]
fn a_deadline_is_never_extended_and_one_too_short_is_answered_at_once() {
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
        assert!(pod.is_left_alone().await, "no time for an attempt");
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
fn clients_that_close_half_close_or_pipeline_get_what_they_wait_for() {
    with_sidecar(8, |sidecar| async move {
        let pod = sidecar.start_pod().await;
        let mut gone = sidecar.connect().await;
        gone.write_all(&get("/write", "")).await.expect("written");
        let mut stream = pod.accept().await;
        read_message(&mut stream).await.expect("an attempt");
        drop(gone);
        stream.write_all(OK).await.expect("answered");
        sidecar.wait_for_state("\"hits_in_flight\":0").await;

        let mut half = sidecar.connect().await;
        half.write_all(&get("/write", "")).await.expect("written");
        half.shutdown().await.expect("half closed");
        read_message(&mut stream).await.expect("an attempt");
        stream.write_all(OK).await.expect("answered");
        assert_eq!(read_response(&mut half).await.0, 200);

        let mut both = sidecar.connect().await;
        both.write_all(&[get("/write", "n: 1\r\n"), get("/write", "n: 2\r\n")].concat())
            .await
            .expect("written");
        for n in 1..=2 {
            let attempt = read_message(&mut stream).await.expect("an attempt");
            assert!(attempt.contains(&format!("n: {n}\r\n")), "{attempt}");
            stream
                .write_all(format!("HTTP/1.1 20{n} Y\r\ncontent-length: 0\r\n\r\n").as_bytes())
                .await
                .expect("ok");
            assert_eq!(read_response(&mut both).await.0, 200 + n);
        }
    });
}

#[test]
fn malformed_requests_are_refused_and_nothing_is_forwarded() {
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
            let (got, text) = sidecar.request(&bytes).await;
            assert_eq!(got, status, "{} {text}", String::from_utf8_lossy(&bytes));
        }
        let mut drip = sidecar.connect().await;
        drip.write_all(b"GET /read HTTP/1.1\r\nho")
            .await
            .expect("written");
        let ended = timeout(Duration::from_secs(3), drip.read_to_end(&mut Vec::new())).await;
        assert!(ended.is_ok(), "a head that never ends is cut off");
        assert!(pod.is_left_alone().await, "nothing of it was forwarded");
    });
}

#[test]
fn an_attempt_is_framed_once_and_carries_no_hop_by_hop_header() {
    with_sidecar(8, |sidecar| async move {
        let pod = sidecar.start_pod().await;
        let asked = spawn_local({
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
        for gone in [
            "x-hop",
            "\r\nte:",
            "keep-alive",
            "transfer-encoding",
            "content-length: 4",
        ] {
            assert!(!attempt.contains(gone), "{gone} in {attempt}");
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
            b"HTTP/1.1 200 OK\r\nconnection: x-own\r\nx-own: 1\r\nx-pod: liar\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(reply).await.expect("answered");
        let (status, text) = asked.await.expect("done");
        assert!(
            status == 200 && !text.contains("x-own") && text.contains("x-pod: p\r\n"),
            "{text}"
        );
    });
}

#[test]
fn an_attempt_that_waited_is_not_sent_once_its_pod_drains_or_its_build_is_withdrawn() {
    for stage_is_withdrawn in [false, true] {
        with_sidecar(1, |sidecar| async move {
            let (old, new) = (ScriptedPod::start().await, ScriptedPod::start().await);
            let build = if stage_is_withdrawn { 2 } else { 1 };
            let pods = |state| {
                let mut pods = vec![listed("new", new.address(), state, build)];
                if stage_is_withdrawn {
                    pods.push(listed("old", old.address(), PodState::Draining, 1));
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
            let ask = |path: &'static str| {
                let sidecar = sidecar.clone();
                spawn_local(async move { sidecar.request(&get(path, "")).await })
            };
            // No free attempts in the first window: requests taken make room for the two that matter.
            if stage_is_withdrawn {
                for _ in 0..8 {
                    sidecar.request(&get("/read", "grpc-timeout: 1m\r\n")).await;
                }
            }
            let first = ask("/read");
            let mut stream = new.accept().await;
            read_message(&mut stream).await.expect("the first attempt");
            let second = ask("/write");
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
            assert_eq!(status, 503, "never sent, so a retry is harmless: {text}");
            let more = timeout(Duration::from_millis(100), read_message(&mut stream)).await;
            assert!(
                !matches!(more, Ok(Some(_))),
                "nothing new to a pod that may not have it"
            );
        });
    }
}

#[test]
fn endpoint_lists_that_move_drop_or_garble_pods_lose_no_request() {
    with_sidecar(8, |sidecar| async move {
        let (old, new) = (ScriptedPod::start().await, ScriptedPod::start().await);
        let many: Vec<ListedEndpoint> = (0..999)
            .map(|n| listed(&format!("d-{n}"), old.address(), PodState::Draining, 1))
            .chain([listed("p", old.address(), PodState::Running, 1)])
            .collect();
        sidecar.wait_for_state("\"pods_running\":0").await;
        sidecar.set_endpoints(1, &many).await;
        let ask = || {
            let sidecar = sidecar.clone();
            spawn_local(async move { sidecar.request(&get("/read", "")).await.0 })
        };
        let first = ask();
        let mut stream = old.accept().await;
        read_message(&mut stream)
            .await
            .expect("an attempt to the old address");
        // The same name with another address, and nobody else: the old attempt goes on to its end.
        sidecar
            .set_endpoints(2, &[listed("p", new.address(), PodState::Running, 2)])
            .await;
        let second = ask();
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
        // A line that is none ends the feed; the list stays in force, and the feed comes back.
        *sidecar.discovery.on_connect.borrow_mut() = complete_list(1, &[]);
        sidecar
            .discovery
            .push("changes 3 1\npod p nowhere running\n".to_string());
        let third = ask();
        read_message(&mut moved)
            .await
            .expect("the last list stays in force");
        moved.write_all(OK).await.expect("answered");
        assert_eq!(third.await.expect("done"), 200);
        sidecar.wait_for_state("\"pods_running\":0").await;
        assert_eq!(
            sidecar.request(&get("/read", "")).await.0,
            503,
            "no pods: rejected at once"
        );
    });
}

#[test]
fn a_shutdown_answers_every_request_that_was_taken() {
    with_sidecar(256, |sidecar| async move {
        let pod = sidecar.start_pod().await;
        // Connected one after the other, as a queue of connections may be shorter than 200.
        let mut asked = Vec::new();
        for _ in 0..200 {
            let mut stream = sidecar.connect().await;
            asked.push(spawn_local(async move {
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
            .expect("no new requests once it stops");
        let attempts = held.len();
        for stream in &mut held {
            stream.write_all(OK).await.expect("answered");
        }
        let mut counts = std::collections::BTreeMap::new();
        for asked in asked {
            *counts.entry(asked.await.expect("done")).or_insert(0) += 1;
        }
        assert_eq!(counts.get(&200), Some(&attempts), "{counts:?}");
        assert_eq!(counts.get(&503), Some(&(200 - attempts)), "{counts:?}");
        sidecar.wait_for_end().await;
    });
}

#[test]
fn no_bytes_from_peers_make_it_panic_or_lose_a_request() {
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
                    let mut peer = TcpStream::connect(at).await.expect("it still listens");
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
            "the request that was taken has its response"
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
        // Over the 4 KiB that are held back, so that it is passed on as it comes; a head may take 300 ms.
        let part = "y".repeat(5_000);
        let head = "HTTP/1.1 200 OK\r\ncontent-length: 10000\r\n\r\n";
        from.write_all(format!("{head}{part}").as_bytes())
            .await
            .unwrap();
        let mut first = [0; 4_000];
        client.read_exact(&mut first).await.unwrap();
        sleep(Duration::from_millis(450)).await;
        from.write_all(part.as_bytes()).await.unwrap();
        let mut text = first.to_vec();
        while !String::from_utf8_lossy(&text).ends_with(&(part.clone() + &part)) {
            let read = timeout(Duration::from_secs(5), client.read_buf(&mut text))
                .await
                .expect("in time");
            assert!(read.unwrap() > 0, "cut after {}", text.len());
        }
    });
}

#[test]
fn a_shutdown_answers_what_lies_in_the_accept_queue() {
    with_sidecar(64, |sidecar| async move {
        // The runtime does not turn between these and the stop.
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
