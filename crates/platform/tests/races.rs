//! Races of requests, responses and signals, each reproduced by scripted peers on loopback. `docs/crossings.md` lists
//! all of them; those of the endpoint list are tested in `list_races.rs`.

mod common;

use common::{
    get, let_sidecar_run, request, run_test, wait_until_reusable, Rig, HEALTH, OK, OK_CLOSE,
};
use havenplank_emulator::scripted::{header, Connection};
use havenplank_platform::Command;
use serde_json::{json, Value};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};
use tokio::task::yield_now;
use tokio::time::sleep;

const MS: Duration = Duration::from_millis(1);

/// Sets client timeouts that do not run out during a test.
fn set_long_timeouts(config: &mut Value) {
    for class in config["settings"]["classes"].as_array_mut().unwrap() {
        (class["onTimeNs"], class["giveUpNs"]) = (json!(8_000_000_000u64), json!(9_000_000_000u64));
    }
}

/// Connects without letting the runtime poll: the sidecar has not seen the connection when this returns.
fn connect_without_polling(rig: &Rig) -> TcpStream {
    TcpStream::connect(rig.address).expect("a listener")
}

fn read_to_end(mut stream: TcpStream) -> std::io::Result<String> {
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

async fn on_blocking_thread<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    tokio::task::spawn_blocking(work).await.expect("no panic")
}

/// SIGTERM while connections arrive: those in the accept queue when the listener closes are answered, not reset.
#[test]
fn a_stop_answers_connections_still_in_the_accept_queue_when_the_listener_closes() {
    run_test(async {
        let rig = Rig::new(|config| config["limits"]["sockets"] = json!(2048)).await;
        rig.commands.send(Command::Stop).await.ok().unwrap();
        let stopped = Instant::now();
        sleep(550 * MS).await;
        // Blocks the runtime past the 0.6 s during which connections are accepted, then polls once for the timer.
        std::thread::sleep((700 * MS).saturating_sub(stopped.elapsed()));
        yield_now().await;
        // Before the next poll the kernel accepts these connections, which the sidecar has not seen.
        let late: Vec<TcpStream> = (0..100)
            .map(|_| {
                let mut stream = connect_without_polling(&rig);
                stream.write_all(HEALTH.as_bytes()).unwrap();
                stream
            })
            .collect();
        let answers = on_blocking_thread(|| {
            late.into_iter()
                .map(read_to_end)
                .collect::<std::io::Result<Vec<_>>>()
        })
        .await;
        let answers = answers.expect("no connection is reset");
        assert!(answers
            .iter()
            .all(|answer| answer.starts_with("HTTP/1.1 503 ")));
        rig.ended.await.unwrap();
    });
}

/// Returns a client whose response is larger than the socket buffers and which has read none of it yet.
async fn slow_reader(rig: &Rig, body: &str) -> TcpStream {
    let mut slow = connect_without_polling(rig);
    slow.write_all(get("slow").replace("800", "8000").as_bytes())
        .unwrap();
    let mut pod = rig.pod.accept().await.unwrap();
    pod.message().await.unwrap();
    pod.send(format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    ))
    .await
    .unwrap();
    // The first byte has arrived, so the sidecar has begun to write the response; the rest does not fit.
    let peeked = slow.try_clone().unwrap();
    on_blocking_thread(move || peeked.peek(&mut [0]).unwrap()).await;
    slow
}

async fn assert_reads_complete_response(mut slow: TcpStream, body: String) {
    let read = on_blocking_thread(move || {
        let mut read = vec![0; 1 << 16];
        let mut text = Vec::new();
        slow.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        while !text.ends_with(b"end") {
            match slow.read(&mut read) {
                Ok(0) => break,
                Ok(more) => text.extend_from_slice(&read[..more]),
                Err(error) => panic!("{error} after {} bytes", text.len()),
            }
        }
        text
    })
    .await;
    assert!(
        String::from_utf8(read).unwrap().ends_with(&body),
        "cut short"
    );
}

fn large_body() -> String {
    "y".repeat(12_000_000) + "end"
}

fn set_large_memory(config: &mut Value) {
    set_long_timeouts(config);
    config["limits"]["memory_mb"] = json!(1024);
}

/// A full listener while a response is partly written: its connection is not evicted.
#[test]
fn a_response_not_yet_written_is_not_evicted_for_new_connections() {
    run_test(async {
        let rig = Rig::new(set_large_memory).await;
        let slow = slow_reader(&rig, &large_body()).await;
        let mut silent = Vec::new();
        for _ in 0..40 {
            silent.push(rig.client().await);
        }
        let mut client = rig.client().await;
        client.send(HEALTH).await.unwrap();
        assert_eq!(client.answer().await.unwrap().0, 200);
        assert_reads_complete_response(slow, large_body()).await;
    });
}

/// The idle limit and SIGTERM while a response is partly written: the response is completed.
#[test]
fn a_response_not_yet_written_survives_the_idle_limit_and_a_stop() {
    run_test(async {
        for stop in [false, true] {
            let rig = Rig::new(set_large_memory).await;
            let slow = slow_reader(&rig, &large_body()).await;
            if stop {
                rig.commands.send(Command::Stop).await.ok().unwrap();
            }
            // An idle connection closes after 2 s.
            sleep(2300 * MS).await;
            assert_reads_complete_response(slow, large_body()).await;
            if stop {
                rig.ended.await.unwrap();
            }
        }
    });
}

/// A client that never reads its response is disconnected half a second after the deadline of its request.
#[test]
fn a_client_that_does_not_read_its_response_is_disconnected_after_its_deadline() {
    run_test(async {
        let rig = Rig::new(|config| {
            set_large_memory(config);
            config["settings"]["classes"][0]["giveUpNs"] = json!(1_000_000_000u64);
        })
        .await;
        let slow = slow_reader(&rig, &large_body()).await;
        rig.commands.send(Command::Stop).await.ok().unwrap();
        let began = Instant::now();
        rig.ended.await.unwrap();
        assert!(began.elapsed() < 2500 * MS, "{:?}", began.elapsed());
        drop(slow);
    });
}

/// SIGTERM while a request is partly read, for the first request of a connection and a later one.
#[test]
fn a_request_partly_read_at_a_stop_is_answered() {
    run_test(async {
        for kept in [false, true] {
            let rig = Rig::new(|_| {}).await;
            let mut client = rig.client().await;
            if kept {
                client.send(HEALTH).await.unwrap();
                assert_eq!(client.answer().await.unwrap().0, 200);
            }
            let bytes = get("i1");
            client.send(&bytes[..20]).await.unwrap();
            // Requests are read in order of arrival, so the partial one has been read when this one is answered.
            let mut other = rig.client().await;
            other.send(HEALTH).await.unwrap();
            assert_eq!(other.answer().await.unwrap().0, 200);
            rig.commands.send(Command::Stop).await.ok().unwrap();
            assert!(other.closes_in_time().await, "the stop was processed");
            client.send(&bytes[20..]).await.unwrap();
            let mut pod = rig.pod.accept().await.unwrap();
            pod.message().await.unwrap();
            pod.send(OK).await.unwrap();
            let (status, head, _) = client.answer().await.unwrap();
            assert_eq!(
                (status, header(&head, "connection")),
                (200, Some("close")),
                "kept: {kept}"
            );
            rig.ended.await.unwrap();
        }
    });
}

/// SIGTERM while a request is in the socket of an idle connection: the runtime sees both in the same poll.
#[test]
fn a_request_that_arrived_before_the_stop_was_processed_is_answered() {
    run_test(async {
        for _ in 0..20 {
            let rig = Rig::new(|_| {}).await;
            let (mut client, mut pod) = rig.request(&get("i1")).await;
            pod.send(OK).await.unwrap();
            assert_eq!(client.answer().await.unwrap().0, 200);
            wait_until_reusable().await;
            // There is no await between the two that would let the runtime poll.
            client.send(get("i2")).await.unwrap();
            rig.commands.try_send(Command::Stop).ok().unwrap();
            pod.message().await.unwrap();
            pod.send(OK).await.unwrap();
            assert_eq!(client.answer().await.unwrap().0, 200);
        }
    });
}

/// A full listener while a request is in the socket of the connection that would be evicted.
#[test]
fn a_connection_whose_request_just_arrived_is_not_evicted() {
    run_test(async {
        let rig = Rig::new(|_| {}).await;
        let mut kept = Vec::new();
        for n in 0..16 {
            let mut client = rig.client().await;
            if n == 0 {
                client.send(HEALTH).await.unwrap();
                assert_eq!(client.answer().await.unwrap().0, 200);
            }
            kept.push(client);
        }
        // None of the others has been silent long enough to be evicted first.
        let mut newcomer = connect_without_polling(&rig);
        kept[0].send(get("i1")).await.unwrap();
        let mut pod = rig.pod.accept().await.unwrap();
        pod.message().await.unwrap();
        pod.send(OK).await.unwrap();
        assert_eq!(kept[0].answer().await.unwrap().0, 200);
        newcomer.write_all(HEALTH.as_bytes()).unwrap();
        let mut byte = [0];
        assert_eq!(
            on_blocking_thread(move || newcomer.read(&mut byte).unwrap()).await,
            1
        );
    });
}

fn post(class: &str, id: &str) -> String {
    request(&format!("POST /{class}"), id, "idempotency-key: k\r\n", "x")
}

/// A client resends a request with the same id after its connection ended; the sidecar reads the second request before
/// it notices the close.
#[test]
fn a_request_resent_after_its_connection_ended_is_not_rejected_as_a_duplicate_id() {
    run_test(async {
        // Idempotent: the first request is ended, the second served.
        let rig = Rig::new(|_| {}).await;
        let (first, mut pod) = rig.request(&get("same")).await;
        let mut second = rig.client().await;
        second.send(HEALTH).await.unwrap();
        assert_eq!(second.answer().await.unwrap().0, 200);
        second.send(get("same")).await.unwrap();
        drop(first);
        assert!(pod.closes_in_time().await);
        let mut pod = rig.pod.accept().await.unwrap();
        pod.message().await.unwrap();
        pod.send(OK_CLOSE).await.unwrap();
        assert_eq!(second.answer().await.unwrap().0, 200);
        // Not idempotent and forwarded: the request may have run and is not sent again.
        for class in ["mark", "write"] {
            let (first, mut pod) = rig.request(&post(class, class)).await;
            let mut second = rig.client().await;
            second.send(HEALTH).await.unwrap();
            assert_eq!(second.answer().await.unwrap().0, 200);
            second.send(post(class, class)).await.unwrap();
            drop(first);
            assert_eq!(second.answer().await.unwrap().0, 502, "{class}");
            assert!(pod.closes_in_time().await);
            assert!(
                rig.pod.has_no_pending_connection().await,
                "{class} sent again"
            );
        }
        // Not idempotent and incomplete: nothing was forwarded, so the second request is served.
        let mut first = rig.client().await;
        let bytes = post("write", "half");
        first.send(&bytes[..bytes.len() - 1]).await.unwrap();
        let mut second = rig.client().await;
        second.send(HEALTH).await.unwrap();
        assert_eq!(second.answer().await.unwrap().0, 200);
        second.send(&bytes).await.unwrap();
        drop(first);
        let mut pod = rig.pod.accept().await.unwrap();
        pod.message().await.unwrap();
        pod.send(OK).await.unwrap();
        assert_eq!(second.answer().await.unwrap().0, 200);
    });
}

/// A client sends further bytes while its request is in flight and closes: the sidecar notices the close although the
/// HTTP server does not read those bytes.
#[test]
fn a_client_that_closes_after_unread_bytes_ends_its_attempt() {
    run_test(async {
        for extra_bytes in ["\r\n", "GET /read HTTP/1.1\r\n", &"x".repeat(9000)] {
            let rig = Rig::new(set_long_timeouts).await;
            let (mut client, mut pod) = rig.request(&get("i1").replace("800", "8000")).await;
            client.send(extra_bytes).await.unwrap();
            // The bytes have been received by now, so that the close arrives separately.
            let mut other = rig.client().await;
            other.send(HEALTH).await.unwrap();
            assert_eq!(other.answer().await.unwrap().0, 200);
            drop(client);
            let began = Instant::now();
            assert!(pod.closes_in_time().await);
            assert!(
                began.elapsed() < 300 * MS,
                "{:?} after {extra_bytes:.9}",
                began.elapsed()
            );
        }
    });
}

/// The next request may arrive while one is in flight; it is served after it.
#[test]
fn bytes_after_a_request_are_served_as_the_next_request() {
    run_test(async {
        let rig = Rig::new(|_| {}).await;
        let (mut client, mut pod) = rig.request(&get("i1")).await;
        for n in 2..5 {
            let next = get(&format!("i{n}"));
            client.send(&next[..10]).await.unwrap();
            client.send(&next[10..]).await.unwrap();
            pod.send(OK).await.unwrap();
            assert_eq!(client.answer().await.unwrap().0, 200);
            // The previous connection to the pod may not be reused yet, so a new one is opened.
            pod = rig.pod.accept().await.unwrap();
            let (head, _) = pod.message().await.unwrap();
            assert_eq!(header(&head, "x-correlation-id"), Some(&*format!("i{n}")));
        }
    });
}

/// The pod closes a kept connection after a request was written to it: the request may have run.
#[test]
fn a_request_on_a_kept_connection_that_is_closed_counts_as_may_have_run() {
    run_test(async {
        for (class, sent_again) in [("read", true), ("write", false)] {
            let rig = Rig::new(|_| {}).await;
            let (mut client, mut pod) = rig.request(&get("i0")).await;
            pod.send(OK).await.unwrap();
            assert_eq!(client.answer().await.unwrap().0, 200);
            wait_until_reusable().await;
            client
                .send(if class == "read" {
                    get("i1")
                } else {
                    post(class, "i1")
                })
                .await
                .unwrap();
            // The pod reads the complete request on the kept connection, then closes without a response.
            pod.message().await.unwrap();
            drop(pod);
            if sent_again {
                let mut pod = rig.pod.accept().await.unwrap();
                pod.message().await.unwrap();
                pod.send(OK).await.unwrap();
            }
            let (status, ..) = client.answer().await.unwrap();
            assert_eq!(status, if sent_again { 200 } else { 502 }, "{class}");
            assert!(
                rig.pod.has_no_pending_connection().await,
                "{class}: sent again"
            );
        }
    });
}

/// An idle connection is closed while a request is on its way: the client sees a close and no reset, so it knows that
/// nothing was read.
#[test]
fn an_idle_connection_closes_without_a_reset() {
    run_test(async {
        let rig = Rig::new(|_| {}).await;
        let mut client = connect_without_polling(&rig);
        client.write_all(HEALTH.as_bytes()).unwrap();
        let mut reader = client.try_clone().unwrap();
        on_blocking_thread(move || reader.read(&mut [0; 4096]).unwrap()).await;
        rig.commands.send(Command::Stop).await.ok().unwrap();
        let mut reader = client.try_clone().unwrap();
        let end = on_blocking_thread(move || reader.read(&mut [0; 16])).await;
        assert_eq!(end.unwrap(), 0);
        client.write_all(get("i1").as_bytes()).unwrap();
        client.shutdown(Shutdown::Write).unwrap();
        let end = on_blocking_thread(move || client.read(&mut [0; 16])).await;
        assert!(
            !end.as_ref()
                .is_err_and(|error| error.kind() == ErrorKind::ConnectionReset),
            "{end:?}"
        );
        rig.ended.await.unwrap();
    });
}

/// A pod sends a response a second time, some milliseconds after the first, while the next request to it begins.
#[test]
fn a_late_duplicate_response_is_never_taken_for_the_next_one() {
    run_test(async {
        for delay_ms in [0, 1, 5, 20] {
            let rig = Rig::new(|_| {}).await;
            let (mut client, mut pod) = rig.request(&get("i1")).await;
            pod.send(OK).await.unwrap();
            assert_eq!(client.answer().await.unwrap().2, "ok");
            // The request is sent before the duplicate response is.
            client.send(get("i2")).await.unwrap();
            let second = async {
                sleep(delay_ms * MS).await;
                // The connection may be closed by now.
                let _ = pod.send(OK.replace("ok", "no")).await;
                std::future::pending::<()>().await
            };
            let served = async {
                let mut other = rig.pod.accept().await.unwrap();
                other.message().await.unwrap();
                other.send(OK).await.unwrap();
                std::future::pending::<()>().await
            };
            tokio::select! {
                answer = client.answer() => assert_eq!(answer.unwrap().2, "ok", "{delay_ms} ms late"),
                () = second => {}
                () = served => {}
            }
        }
    });
}

/// A pod whose accept queue is full, so that connecting to it hangs until the queue is drained.
struct PodWithFullQueue {
    listener: std::net::TcpListener,
    queued: Vec<TcpStream>,
}

impl PodWithFullQueue {
    fn new() -> PodWithFullQueue {
        use socket2::{Domain, Socket, Type};
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket
            .bind(&std::net::SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        socket.listen(0).unwrap();
        let listener: std::net::TcpListener = socket.into();
        let (address, mut queued) = (listener.local_addr().unwrap(), Vec::new());
        while let Ok(one) = TcpStream::connect_timeout(&address, 100 * MS) {
            queued.push(one);
        }
        PodWithFullQueue { listener, queued }
    }

    /// Drains the queue and returns the listener for further connections.
    fn drain_queue(self) -> tokio::net::TcpListener {
        for _ in &self.queued {
            self.listener.accept().unwrap();
        }
        self.listener.set_nonblocking(true).unwrap();
        tokio::net::TcpListener::from_std(self.listener).unwrap()
    }

    /// Starts a sidecar and sends a request that waits for its connection to this pod, with a long timeout.
    async fn send_waiting_request(&self) -> (Rig, Connection) {
        let address = self.listener.local_addr().unwrap();
        let rig = Rig::new(|config| {
            set_long_timeouts(config);
            config["known"]["hosts"][0]["dial"] = json!(address.to_string());
            config["settings"]["limits"]["dialTimeoutNs"] = json!(4_000_000_000u64);
        })
        .await;
        let mut client = rig.client().await;
        client.send(get("i1").replace("800", "8000")).await.unwrap();
        let_sidecar_run(&rig).await;
        (rig, client)
    }
}

/// A client closes while its request waits for a connection to the pod: the request is not sent.
#[test]
fn a_request_whose_client_closes_while_it_waits_for_a_connection_is_not_sent() {
    run_test(async {
        let pod = PodWithFullQueue::new();
        let (rig, client) = pod.send_waiting_request().await;
        drop(client);
        let_sidecar_run(&rig).await;
        let pod = pod.drain_queue();
        // The kernel would retry a connect that is still pending after a second.
        let sent = async {
            let (stream, _) = pod.accept().await.unwrap();
            stream.readable().await.unwrap();
            stream.try_read(&mut [0; 16]).unwrap_or(0)
        };
        let sent = tokio::time::timeout(2500 * MS, sent).await;
        assert!(!sent.is_ok_and(|bytes| bytes > 0), "sent");
    });
}

/// SIGTERM while a request waits for a connection to the pod: it is still sent and answered.
#[test]
fn a_request_that_waits_for_a_connection_at_a_stop_is_answered() {
    run_test(async {
        let pod = PodWithFullQueue::new();
        let (rig, mut client) = pod.send_waiting_request().await;
        rig.commands.send(Command::Stop).await.ok().unwrap();
        sleep(700 * MS).await;
        let pod = pod.drain_queue();
        let (stream, _) = pod.accept().await.unwrap();
        let mut stream = Connection::from(stream);
        stream.message().await.unwrap();
        stream.send(OK).await.unwrap();
        let (status, head, _) = client.answer().await.unwrap();
        assert_eq!((status, header(&head, "connection")), (200, Some("close")));
        rig.ended.await.unwrap();
    });
}

/// A request is resent with the same id in the poll in which the first is answered and its client has closed: the first
/// has run, so the second must not.
#[test]
fn a_request_resent_while_the_first_is_answered_does_not_run_twice() {
    run_test(async {
        for class in ["mark", "write"] {
            let rig = Rig::new(|_| {}).await;
            let (first, mut pod) = rig.request(&post(class, "same")).await;
            let mut second = rig.client().await;
            second.send(HEALTH).await.unwrap();
            assert_eq!(second.answer().await.unwrap().0, 200);
            // The runtime polls after all three: it reads the response first, then the second request, then the close.
            pod.send(OK).await.unwrap();
            second.send(post(class, "same")).await.unwrap();
            drop(first);
            assert_eq!(second.answer().await.unwrap().0, 502, "{class}");
            assert!(
                rig.pod.has_no_pending_connection().await,
                "{class} sent again"
            );
        }
    });
}
