//! Crossings of requests, answers and signals, each held open by scripted peers on loopback. The table of all of
//! them stands in `docs/crossings.md`, those of the list in `lists.rs`.

mod common;

use common::{get, request, rested, test, turns, Rig, HEALTH, OK, OK_CLOSE};
use havenplank_emulator::scripted::{header, Talk};
use havenplank_platform::Command;
use serde_json::{json, Value};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};
use tokio::task::yield_now;
use tokio::time::sleep;

const MS: Duration = Duration::from_millis(1);

/// Clients that wait so long, for what would be over before a crossing is.
fn patient(whole: &mut Value) {
    for group in whole["settings"]["classes"].as_array_mut().unwrap() {
        (group["onTimeNs"], group["giveUpNs"]) = (json!(8_000_000_000u64), json!(9_000_000_000u64));
    }
}

/// A connection that the runtime under test has not heard of when this returns.
fn unheard(rig: &Rig) -> TcpStream {
    TcpStream::connect(rig.at).expect("a listener")
}

fn whole_answer(mut stream: TcpStream) -> std::io::Result<String> {
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

async fn off_thread<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    tokio::task::spawn_blocking(work).await.expect("no panic")
}

/// SIGTERM against accept: what the system has accepted when the listener closes is answered, not reset.
#[test]
fn a_stop_answers_what_lies_in_the_accept_queue_when_the_listener_closes() {
    test(async {
        let rig = Rig::new(|whole| whole["limits"]["sockets"] = json!(2048)).await;
        rig.commands.send(Command::Stop).await.ok().unwrap();
        let stopped = Instant::now();
        sleep(550 * MS).await;
        // The runtime stands still past the 0.6 s after which no more are taken, and turns once for the timer.
        std::thread::sleep((700 * MS).saturating_sub(stopped.elapsed()));
        yield_now().await;
        // Before it turns again: the system accepts these, and nobody has heard of them.
        let late: Vec<TcpStream> = (0..100)
            .map(|_| {
                let mut stream = unheard(&rig);
                stream.write_all(HEALTH.as_bytes()).unwrap();
                stream
            })
            .collect();
        let answers = off_thread(|| {
            late.into_iter()
                .map(whole_answer)
                .collect::<std::io::Result<Vec<_>>>()
        })
        .await;
        let answers = answers.expect("none is reset");
        assert!(answers
            .iter()
            .all(|answer| answer.starts_with("HTTP/1.1 503 ")));
        rig.ended.await.unwrap();
    });
}

/// A client that has asked for more than the sockets between hold and reads none of it yet.
async fn slow_reader(rig: &Rig, body: &str) -> TcpStream {
    let mut slow = unheard(rig);
    slow.write_all(get("slow").replace("800", "8000").as_bytes())
        .unwrap();
    let mut pod = rig.pod.accept().await.unwrap();
    pod.message().await.unwrap();
    pod.say(format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    ))
    .await
    .unwrap();
    // Its first byte is here, so it was handed over; the rest does not fit.
    let peeked = slow.try_clone().unwrap();
    off_thread(move || peeked.peek(&mut [0]).unwrap()).await;
    slow
}

async fn reads_whole(mut slow: TcpStream, body: String) {
    let read = off_thread(move || {
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

fn large() -> String {
    "y".repeat(12_000_000) + "end"
}

fn roomy(whole: &mut Value) {
    patient(whole);
    whole["limits"]["memory_mb"] = json!(1024);
}

/// A full listener against an answer that is handed over and not yet written.
#[test]
fn an_answer_not_yet_written_is_not_evicted_for_newcomers() {
    test(async {
        let rig = Rig::new(roomy).await;
        let slow = slow_reader(&rig, &large()).await;
        let mut silent = Vec::new();
        for _ in 0..40 {
            silent.push(rig.client().await);
        }
        let mut client = rig.client().await;
        client.say(HEALTH).await.unwrap();
        assert_eq!(client.answer().await.unwrap().0, 200);
        reads_whole(slow, large()).await;
    });
}

/// The idle time-out and SIGTERM against an answer that is handed over and not yet written.
#[test]
fn an_answer_not_yet_written_outlives_idle_time_and_a_stop() {
    test(async {
        for stop in [false, true] {
            let rig = Rig::new(roomy).await;
            let slow = slow_reader(&rig, &large()).await;
            if stop {
                rig.commands.send(Command::Stop).await.ok().unwrap();
            }
            // An idle connection closes after 2 s.
            sleep(2300 * MS).await;
            reads_whole(slow, large()).await;
            if stop {
                rig.ended.await.unwrap();
            }
        }
    });
}

/// One that never reads its answer holds its place until half a second past its time, no longer.
#[test]
fn an_answer_that_nobody_reads_gives_its_place_up() {
    test(async {
        let rig = Rig::new(|whole| {
            roomy(whole);
            whole["settings"]["classes"][0]["giveUpNs"] = json!(1_000_000_000u64);
        })
        .await;
        let slow = slow_reader(&rig, &large()).await;
        rig.commands.send(Command::Stop).await.ok().unwrap();
        let began = Instant::now();
        rig.ended.await.unwrap();
        assert!(began.elapsed() < 2500 * MS, "{:?}", began.elapsed());
        drop(slow);
    });
}

/// SIGTERM against a request of which half was read, the first on its connection and a later one.
#[test]
fn a_request_half_read_at_a_stop_is_answered() {
    test(async {
        for kept in [false, true] {
            let rig = Rig::new(|_| {}).await;
            let mut client = rig.client().await;
            if kept {
                client.say(HEALTH).await.unwrap();
                assert_eq!(client.answer().await.unwrap().0, 200);
            }
            let bytes = get("i1");
            client.say(&bytes[..20]).await.unwrap();
            // Answered in turn: what came before it was read.
            let mut other = rig.client().await;
            other.say(HEALTH).await.unwrap();
            assert_eq!(other.answer().await.unwrap().0, 200);
            rig.commands.send(Command::Stop).await.ok().unwrap();
            assert!(other.ends().await, "the stop was heard");
            client.say(&bytes[20..]).await.unwrap();
            let mut pod = rig.pod.accept().await.unwrap();
            pod.message().await.unwrap();
            pod.say(OK).await.unwrap();
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

/// SIGTERM against a request that lies in the socket of an idle connection: the runtime hears of both at once.
#[test]
fn a_request_that_came_before_the_stop_was_heard_is_answered() {
    test(async {
        for _ in 0..20 {
            let rig = Rig::new(|_| {}).await;
            let (mut client, mut pod) = rig.request(&get("i1")).await;
            pod.say(OK).await.unwrap();
            assert_eq!(client.answer().await.unwrap().0, 200);
            rested().await;
            // No await that turns the runtime between the two.
            client.say(get("i2")).await.unwrap();
            rig.commands.try_send(Command::Stop).ok().unwrap();
            pod.message().await.unwrap();
            pod.say(OK).await.unwrap();
            assert_eq!(client.answer().await.unwrap().0, 200);
        }
    });
}

/// A full listener against a request that lies in the socket of the connection that would go.
#[test]
fn a_request_that_just_came_is_not_evicted() {
    test(async {
        let rig = Rig::new(|_| {}).await;
        let mut kept = Vec::new();
        for n in 0..16 {
            let mut client = rig.client().await;
            if n == 0 {
                client.say(HEALTH).await.unwrap();
                assert_eq!(client.answer().await.unwrap().0, 200);
            }
            kept.push(client);
        }
        // None of the others has been silent for long enough to go first.
        let mut newcomer = unheard(&rig);
        kept[0].say(get("i1")).await.unwrap();
        let mut pod = rig.pod.accept().await.unwrap();
        pod.message().await.unwrap();
        pod.say(OK).await.unwrap();
        assert_eq!(kept[0].answer().await.unwrap().0, 200);
        newcomer.write_all(HEALTH.as_bytes()).unwrap();
        let mut byte = [0];
        assert_eq!(
            off_thread(move || newcomer.read(&mut byte).unwrap()).await,
            1
        );
    });
}

fn post(class: &str, id: &str) -> String {
    request(&format!("POST /{class}"), id, "idempotency-key: k\r\n", "x")
}

/// The same id again, its first client closed but not heard to have: the second is read first.
#[test]
fn a_request_sent_again_after_its_connection_ended_is_not_taken_for_another_clients() {
    test(async {
        // Idempotent: the first is ended, the second served.
        let rig = Rig::new(|_| {}).await;
        let (first, mut pod) = rig.request(&get("same")).await;
        let mut second = rig.client().await;
        second.say(HEALTH).await.unwrap();
        assert_eq!(second.answer().await.unwrap().0, 200);
        second.say(get("same")).await.unwrap();
        drop(first);
        assert!(pod.ends().await);
        let mut pod = rig.pod.accept().await.unwrap();
        pod.message().await.unwrap();
        pod.say(OK_CLOSE).await.unwrap();
        assert_eq!(second.answer().await.unwrap().0, 200);
        // Not idempotent and sent on: it may have run, and does not run again.
        for class in ["mark", "write"] {
            let (first, mut pod) = rig.request(&post(class, class)).await;
            let mut second = rig.client().await;
            second.say(HEALTH).await.unwrap();
            assert_eq!(second.answer().await.unwrap().0, 200);
            second.say(post(class, class)).await.unwrap();
            drop(first);
            assert_eq!(second.answer().await.unwrap().0, 502, "{class}");
            assert!(pod.ends().await);
            assert!(rig.pod.is_alone().await, "{class} sent on again");
        }
        // Not idempotent and not yet whole: nothing was sent on, so the second is served.
        let mut first = rig.client().await;
        let whole = post("write", "half");
        first.say(&whole[..whole.len() - 1]).await.unwrap();
        let mut second = rig.client().await;
        second.say(HEALTH).await.unwrap();
        assert_eq!(second.answer().await.unwrap().0, 200);
        second.say(&whole).await.unwrap();
        drop(first);
        let mut pod = rig.pod.accept().await.unwrap();
        pod.message().await.unwrap();
        pod.say(OK).await.unwrap();
        assert_eq!(second.answer().await.unwrap().0, 200);
    });
}

/// A client that closes behind bytes that nobody reads while its request is in flight.
#[test]
fn a_client_that_closes_behind_leftover_bytes_is_gone() {
    test(async {
        for behind in ["\r\n", "GET /read HTTP/1.1\r\n", &"x".repeat(9000)] {
            let rig = Rig::new(patient).await;
            let (mut client, mut pod) = rig.request(&get("i1").replace("800", "8000")).await;
            client.say(behind).await.unwrap();
            // Read by now, so that its close comes by itself.
            let mut other = rig.client().await;
            other.say(HEALTH).await.unwrap();
            assert_eq!(other.answer().await.unwrap().0, 200);
            drop(client);
            let began = Instant::now();
            assert!(pod.ends().await);
            assert!(
                began.elapsed() < 300 * MS,
                "{:?} behind {behind:.9}",
                began.elapsed()
            );
        }
    });
}

/// The next request may stand right behind the one in flight; it is served in its turn.
#[test]
fn bytes_behind_a_request_are_the_next_one() {
    test(async {
        let rig = Rig::new(|_| {}).await;
        let (mut client, mut pod) = rig.request(&get("i1")).await;
        for n in 2..5 {
            let next = get(&format!("i{n}"));
            client.say(&next[..10]).await.unwrap();
            client.say(&next[10..]).await.unwrap();
            pod.say(OK).await.unwrap();
            assert_eq!(client.answer().await.unwrap().0, 200);
            // The first connection rests still.
            pod = rig.pod.accept().await.unwrap();
            let (head, _) = pod.message().await.unwrap();
            assert_eq!(header(&head, "x-correlation-id"), Some(&*format!("i{n}")));
        }
    });
}

/// A kept connection that the pod closes just as a request is written: it may have run.
#[test]
fn a_kept_connection_reset_under_a_request_counts_as_may_have_run() {
    test(async {
        for (class, asked_again) in [("read", true), ("write", false)] {
            let rig = Rig::new(|_| {}).await;
            let (mut client, mut pod) = rig.request(&get("i0")).await;
            pod.say(OK).await.unwrap();
            assert_eq!(client.answer().await.unwrap().0, 200);
            rested().await;
            client
                .say(if class == "read" {
                    get("i1")
                } else {
                    post(class, "i1")
                })
                .await
                .unwrap();
            // Read to the last byte on the kept connection, then no answer.
            pod.message().await.unwrap();
            drop(pod);
            if asked_again {
                let mut pod = rig.pod.accept().await.unwrap();
                pod.message().await.unwrap();
                pod.say(OK).await.unwrap();
            }
            let (status, ..) = client.answer().await.unwrap();
            assert_eq!(status, if asked_again { 200 } else { 502 }, "{class}");
            assert!(rig.pod.is_alone().await, "{class}: sent on again");
        }
    });
}

/// A close of an idle connection while a request is on its way: the client gets a close and no reset, by which it
/// knows that nothing was read.
#[test]
fn an_idle_connection_closes_without_a_reset() {
    test(async {
        let rig = Rig::new(|_| {}).await;
        let mut client = unheard(&rig);
        client.write_all(HEALTH.as_bytes()).unwrap();
        let mut heard = client.try_clone().unwrap();
        off_thread(move || heard.read(&mut [0; 4096]).unwrap()).await;
        rig.commands.send(Command::Stop).await.ok().unwrap();
        let mut heard = client.try_clone().unwrap();
        let end = off_thread(move || heard.read(&mut [0; 16])).await;
        assert_eq!(end.unwrap(), 0);
        client.write_all(get("i1").as_bytes()).unwrap();
        client.shutdown(Shutdown::Write).unwrap();
        let end = off_thread(move || client.read(&mut [0; 16])).await;
        assert!(
            !end.as_ref()
                .is_err_and(|error| error.kind() == ErrorKind::ConnectionReset),
            "{end:?}"
        );
        rig.ended.await.unwrap();
    });
}

/// A pod's second answer, some milliseconds behind the one it repeats, against the next request to that pod.
#[test]
fn a_second_answer_that_comes_late_is_never_the_next_requests() {
    test(async {
        for late in [0, 1, 5, 20] {
            let rig = Rig::new(|_| {}).await;
            let (mut client, mut pod) = rig.request(&get("i1")).await;
            pod.say(OK).await.unwrap();
            assert_eq!(client.answer().await.unwrap().2, "ok");
            // On its way to the pod before the second answer is on its way back.
            client.say(get("i2")).await.unwrap();
            let second = async {
                sleep(late * MS).await;
                // Its connection may be closed by now.
                let _ = pod.say(OK.replace("ok", "no")).await;
                std::future::pending::<()>().await
            };
            let served = async {
                let mut other = rig.pod.accept().await.unwrap();
                other.message().await.unwrap();
                other.say(OK).await.unwrap();
                std::future::pending::<()>().await
            };
            tokio::select! {
                answer = client.answer() => assert_eq!(answer.unwrap().2, "ok", "{late} ms late"),
                () = second => {}
                () = served => {}
            }
        }
    });
}

/// A pod whose accept queue is full, so that connects to it hang until it is emptied.
struct Busy {
    listener: std::net::TcpListener,
    fill: Vec<TcpStream>,
}

impl Busy {
    fn new() -> Busy {
        use socket2::{Domain, Socket, Type};
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket
            .bind(&std::net::SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        socket.listen(0).unwrap();
        let listener: std::net::TcpListener = socket.into();
        let (at, mut fill) = (listener.local_addr().unwrap(), Vec::new());
        while let Ok(one) = TcpStream::connect_timeout(&at, 100 * MS) {
            fill.push(one);
        }
        Busy { listener, fill }
    }

    /// The whole of the queue, and then what connects.
    fn emptied(self) -> tokio::net::TcpListener {
        for _ in &self.fill {
            self.listener.accept().unwrap();
        }
        self.listener.set_nonblocking(true).unwrap();
        tokio::net::TcpListener::from_std(self.listener).unwrap()
    }

    /// A request that waits for its connection there, with time enough for it.
    async fn waiting(&self) -> (Rig, Talk) {
        let at = self.listener.local_addr().unwrap();
        let rig = Rig::new(|whole| {
            patient(whole);
            whole["known"]["hosts"][0]["dial"] = json!(at.to_string());
            whole["settings"]["limits"]["dialTimeoutNs"] = json!(4_000_000_000u64);
        })
        .await;
        let mut client = rig.client().await;
        client.say(get("i1").replace("800", "8000")).await.unwrap();
        turns(&rig).await;
        (rig, client)
    }
}

/// A client that closes while its request waits for a connection: nothing is sent on.
#[test]
fn a_client_gone_while_its_request_waits_for_a_connection_is_not_sent_on() {
    test(async {
        let pod = Busy::new();
        let (rig, client) = pod.waiting().await;
        drop(client);
        turns(&rig).await;
        let pod = pod.emptied();
        // A connect that still hung would be tried again by the system after a second.
        let sent = async {
            let (stream, _) = pod.accept().await.unwrap();
            stream.readable().await.unwrap();
            stream.try_read(&mut [0; 16]).unwrap_or(0)
        };
        let sent = tokio::time::timeout(2500 * MS, sent).await;
        assert!(!sent.is_ok_and(|bytes| bytes > 0), "sent on");
    });
}

/// SIGTERM while a request waits for a connection: it is sent on and answered.
#[test]
fn a_request_that_waits_for_a_connection_at_a_stop_is_answered() {
    test(async {
        let pod = Busy::new();
        let (rig, mut client) = pod.waiting().await;
        rig.commands.send(Command::Stop).await.ok().unwrap();
        sleep(700 * MS).await;
        let pod = pod.emptied();
        let (stream, _) = pod.accept().await.unwrap();
        let mut stream = Talk::from(stream);
        stream.message().await.unwrap();
        stream.say(OK).await.unwrap();
        let (status, head, _) = client.answer().await.unwrap();
        assert_eq!((status, header(&head, "connection")), (200, Some("close")));
        rig.ended.await.unwrap();
    });
}

/// The same id again in the turn in which the first is answered and its client has closed: it has run.
#[test]
fn a_request_sent_again_as_its_first_is_answered_does_not_run_twice() {
    test(async {
        for class in ["mark", "write"] {
            let rig = Rig::new(|_| {}).await;
            let (first, mut pod) = rig.request(&post(class, "same")).await;
            let mut second = rig.client().await;
            second.say(HEALTH).await.unwrap();
            assert_eq!(second.answer().await.unwrap().0, 200);
            // The runtime turns after all three: the answer is read first, then the second, then the close.
            pod.say(OK).await.unwrap();
            second.say(post(class, "same")).await.unwrap();
            drop(first);
            assert_eq!(second.answer().await.unwrap().0, 502, "{class}");
            assert!(rig.pod.is_alone().await, "{class} sent on again");
        }
    });
}
