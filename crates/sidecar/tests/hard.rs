//! A sidecar on loopback sockets amid scripted peers that do what peers should not.

use havenplank::interface::{Phase, PodState, Stage};
use havenplank_line_protocol::codec::greeting;
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use havenplank_line_protocol::{control_plane, endpoint_list};
use havenplank_settings::{load, Given, Site};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{broadcast, oneshot};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};

const SCRIPT: &str = r#"
sidecar(name = "s-1", instances = 1, zones = ["z"], zone = "z", listen = "127.0.0.1:0", admin = "127.0.0.1:0")
def group(name, kind, **more):
    path_group(name = name, paths = ["/" + name], kind = kind, target_latency = "400ms", client_timeout = "900ms", **more)
group("read", "repeatable")
group("mark", "tagged", repeat_window = "5s")
group("write", "mutating")
limits(body_bytes = "1KiB", body_time = "200ms", head_time = "300ms", answer_margin = "20ms", answer_bytes = "4KiB")
pods(drain_grace = "500ms", cold_share = 0.3, warm_up = "4s", fall_multiple = 3, fall_window = "2s",
     connections = int(given("connections", "8")), connect_time = "800ms")
exposure(window = "6s", free = 3, caps = [0.5, 1])
votes(control = "any", life = "6s")
nodes(address = given("nodes", ""))
desk(address = given("desk", ""))
"#;

/// A feed's service: greets, says what is said now to whoever comes, then what is pushed.
#[derive(Clone)]
struct Feed {
    at: SocketAddr,
    first: Rc<RefCell<String>>,
    push: broadcast::Sender<String>,
}

impl Feed {
    async fn new(name: &'static str) -> Feed {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (at, (push, _)) = (
            listener.local_addr().expect("an address"),
            broadcast::channel(64),
        );
        let feed = Feed {
            at,
            first: Rc::default(),
            push,
        };
        let own = feed.clone();
        spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (mut more, first) = (own.push.subscribe(), own.first.borrow().clone());
                spawn_local(async move {
                    let _ = stream
                        .write_all((greeting(name, None) + &first).as_bytes())
                        .await;
                    while let Ok(text) = more.recv().await {
                        let _ = stream.write_all(text.as_bytes()).await;
                    }
                });
            }
        });
        feed
    }
}

fn listed(name: &str, address: SocketAddr, state: PodState, build: u32) -> ListedEndpoint {
    let (zone, machine) = ("z".to_string(), "m".to_string());
    let (name, life) = (name.to_string(), address.port() as u64);
    ListedEndpoint {
        name,
        address,
        state,
        build,
        incarnation: life,
        age: 0,
        zone,
        machine,
        cell: 0,
        size: 3.0,
    }
}

/// A pod whose every byte the test decides.
struct RawPod(TcpListener);

impl RawPod {
    async fn new() -> RawPod {
        RawPod(TcpListener::bind("127.0.0.1:0").await.expect("a port"))
    }
    fn at(&self) -> SocketAddr {
        self.0.local_addr().expect("an address")
    }
    async fn accept(&self) -> TcpStream {
        timeout(Duration::from_secs(5), self.0.accept())
            .await
            .expect("a connection in time")
            .expect("one")
            .0
    }
    /// Nothing connects for a while that is long beside what a forward takes on loopback.
    async fn is_left_alone(&self) -> bool {
        timeout(Duration::from_millis(150), self.0.accept())
            .await
            .is_err()
    }
}

/// Reads one message: its head, and the body that its content-length tells.
async fn message(stream: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    loop {
        let whole = String::from_utf8_lossy(&text).to_lowercase();
        if let Some((head, body)) = whole.split_once("\r\n\r\n") {
            let told = head
                .split("content-length: ")
                .nth(1)
                .and_then(|rest| rest.lines().next()?.parse().ok());
            if body.len() >= told.unwrap_or(0) {
                return Some(whole);
            }
        }
        let mut byte = [0];
        match timeout(Duration::from_secs(5), stream.read(&mut byte))
            .await
            .expect("a byte in time")
        {
            Ok(1) => text.push(byte[0]),
            _ => return None,
        }
    }
}

const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const UNSEEN: &[u8] = b"HTTP/1.1 503 No\r\nx-never-ran: 1\r\ncontent-length: 0\r\n\r\n";

fn get(path: &str, headers: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nhost: h\r\n{headers}\r\n").into_bytes()
}

struct Rig {
    at: SocketAddr,
    admin: SocketAddr,
    nodes: Feed,
    desk: Feed,
    stop: RefCell<Option<oneshot::Sender<()>>>,
    ended: RefCell<Option<oneshot::Receiver<()>>>,
}

impl Rig {
    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.at).await.expect("a sidecar")
    }

    /// Sends bytes on a connection of their own and reads the first answer's status and text.
    async fn ask(&self, bytes: &[u8]) -> (u16, String) {
        let mut stream = self.connect().await;
        stream.write_all(bytes).await.expect("written");
        answer(&mut stream).await
    }

    async fn state(&self) -> String {
        let mut stream = TcpStream::connect(self.admin)
            .await
            .expect("an admin listener");
        stream
            .write_all(b"GET /state HTTP/1.1\r\nhost: h\r\n\r\n")
            .await
            .expect("written");
        message(&mut stream).await.expect("a state")
    }

    /// Waits until the operators' view says so.
    async fn until(&self, text: &str) {
        let seen = async {
            while !self.state().await.contains(text) {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(Duration::from_secs(5), seen)
            .await
            .unwrap_or_else(|_| panic!("never saw {text}"));
    }
}

async fn answer(stream: &mut TcpStream) -> (u16, String) {
    let text = message(stream).await.unwrap_or_default();
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0);
    (status, text)
}

fn site(given: &[(&str, String)]) -> Site {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("site.star");
    std::fs::write(&file, SCRIPT).expect("a script");
    let given: Given = given
        .iter()
        .map(|(name, value)| (name.to_string(), value.clone()))
        .collect();
    load(&file, &given).unwrap_or_else(|problems| panic!("{problems}"))
}

/// Runs a test against a sidecar whose list names these pods.
fn rig<F: Future<Output = ()>>(connections: usize, test: impl FnOnce(Rc<Rig>) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(async {
        let (nodes, desk) = (
            Feed::new(endpoint_list::PROTOCOL).await,
            Feed::new(control_plane::PROTOCOL).await,
        );
        let given = [
            ("nodes", nodes.at.to_string()),
            ("desk", desk.at.to_string()),
            ("connections", connections.to_string()),
        ];
        let ((ready, listens), (stop, stopped), (end, ended)) =
            (oneshot::channel(), oneshot::channel(), oneshot::channel());
        let site = site(&given);
        spawn_local(async move {
            let stopped = async { stopped.await.unwrap_or(()) };
            let tell = |at| ready.send(at).unwrap_or(());
            havenplank_sidecar::serve(site, 7, None, tell, stopped)
                .await
                .expect("it serves");
            let _ = end.send(());
        });
        let at = listens.await.expect("it listens");
        let (stop, ended) = (RefCell::new(Some(stop)), RefCell::new(Some(ended)));
        test(Rc::new(Rig {
            at: at.listen,
            admin: at.admin,
            nodes,
            desk,
            stop,
            ended,
        }))
        .await;
    }));
}

fn whole(seq: u64, pods: &[ListedEndpoint]) -> String {
    let mut text = String::new();
    endpoint_list::write_list(&mut text, seq, true, pods);
    text
}

impl Rig {
    async fn list(&self, seq: u64, pods: &[ListedEndpoint]) {
        let text = whole(seq, pods);
        *self.nodes.first.borrow_mut() = whole(1, pods);
        let _ = self.nodes.push.send(text);
        let running = pods
            .iter()
            .filter(|pod| pod.state == PodState::Running)
            .count();
        self.until(&format!("\"pods_running\":{running},")).await;
    }

    /// One pod, listed and running.
    async fn one(&self) -> RawPod {
        let pod = RawPod::new().await;
        self.until("\"pods_running\":0").await;
        *self.nodes.first.borrow_mut() = whole(1, &[listed("p", pod.at(), PodState::Running, 1)]);
        // Whoever connected before is told now, whoever comes later by the greeting.
        let _ = self
            .nodes
            .push
            .send(whole(1, &[listed("p", pod.at(), PodState::Running, 1)]));
        self.until("\"pods_running\":1").await;
        pod
    }
}

#[test]
fn a_connection_that_closes_as_a_hit_is_written_may_have_run() {
    rig(8, |rig| async move {
        let pod = rig.one().await;
        for (path, status) in [("/write", 502), ("/read", 200)] {
            let asked = spawn_local({
                let rig = rig.clone();
                async move { rig.ask(&get(path, "")).await.0 }
            });
            let mut first = pod.accept().await;
            message(&mut first).await.expect("a forward");
            first.write_all(OK).await.expect("answered");
            assert_eq!(asked.await.expect("done"), 200);
            let asked = spawn_local({
                let rig = rig.clone();
                async move { rig.ask(&get(path, "")).await.0 }
            });
            message(&mut first)
                .await
                .expect("a forward on the kept connection");
            drop(first);
            if status == 502 {
                assert!(
                    pod.is_left_alone().await,
                    "a mutating hit that may have run is not forwarded again"
                );
            } else {
                let mut second = pod.accept().await;
                message(&mut second).await.expect("a further forward");
                second.write_all(OK).await.expect("answered");
            }
            assert_eq!(asked.await.expect("done"), status, "{path}");
        }
    });
}

#[test]
fn a_connection_closed_while_idle_costs_a_mutating_hit_nothing() {
    rig(8, |rig| async move {
        let pod = rig.one().await;
        for _ in 0..3 {
            let asked = spawn_local({
                let rig = rig.clone();
                async move { rig.ask(&get("/write", "")).await.0 }
            });
            let mut stream = pod.accept().await;
            message(&mut stream).await.expect("a forward");
            stream.write_all(OK).await.expect("answered");
            assert_eq!(asked.await.expect("done"), 200);
            drop(stream);
        }
    });
}

#[test]
fn what_was_turned_away_unseen_is_bounced_and_what_failed_is_not() {
    rig(8, |rig| async move {
        let pod = rig.one().await;
        for (reply, status) in [
            (UNSEEN, 503),
            (b"HTTP/1.1 500 E\r\ncontent-length: 0\r\n\r\n", 502),
        ] {
            let asked = spawn_local({
                let rig = rig.clone();
                async move { rig.ask(&get("/write", "")).await }
            });
            // Every forward of it is answered alike: those that never ran may be several.
            let served = async {
                let mut stream = pod.accept().await;
                while message(&mut stream).await.is_some() {
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
fn a_late_answer_is_not_a_second_one() {
    rig(8, |rig| async move {
        let pod = rig.one().await;
        let mut client = rig.connect().await;
        client
            .write_all(&get("/read", "grpc-timeout: 200m\r\n"))
            .await
            .expect("written");
        let mut stream = pod.accept().await;
        message(&mut stream).await.expect("a forward");
        let (status, _) = answer(&mut client).await;
        assert!(status == 503 || status == 504, "{status}");
        let _ = stream.write_all(OK).await;
        client
            .write_all(&get("/nowhere", ""))
            .await
            .expect("written");
        assert_eq!(
            answer(&mut client).await.0,
            404,
            "the next answer is the next hit's"
        );
    });
}

#[test]
fn a_time_is_never_stretched_and_one_too_short_is_answered_at_once() {
    rig(8, |rig| async move {
        let pod = rig.one().await;
        let began = Instant::now();
        let (status, _) = rig.ask(&get("/write", "grpc-timeout: 5m\r\n")).await;
        assert!(
            status == 503 && began.elapsed() < Duration::from_millis(300),
            "{:?}",
            began.elapsed()
        );
        assert!(pod.is_left_alone().await, "no time for a forward");
        let began = Instant::now();
        let (status, _) = rig.ask(&get("/write", "grpc-timeout: 1H\r\n")).await;
        assert_eq!(status, 504);
        let took = began.elapsed();
        assert!(
            took >= Duration::from_millis(850) && took < Duration::from_millis(1500),
            "{took:?}"
        );
        assert_eq!(
            rig.ask(&get("/read", "grpc-timeout: soon\r\n")).await.0,
            400
        );
    });
}

#[test]
fn clients_that_close_half_close_or_pipeline() {
    rig(8, |rig| async move {
        let pod = rig.one().await;
        let mut gone = rig.connect().await;
        gone.write_all(&get("/write", "")).await.expect("written");
        let mut stream = pod.accept().await;
        message(&mut stream).await.expect("a forward");
        drop(gone);
        stream.write_all(OK).await.expect("answered");
        rig.until("\"hits_in_flight\":0").await;

        let mut half = rig.connect().await;
        half.write_all(&get("/write", "")).await.expect("written");
        half.shutdown().await.expect("half closed");
        message(&mut stream).await.expect("a forward");
        stream.write_all(OK).await.expect("answered");
        assert_eq!(answer(&mut half).await.0, 200);

        let mut both = rig.connect().await;
        both.write_all(&[get("/write", "n: 1\r\n"), get("/write", "n: 2\r\n")].concat())
            .await
            .expect("written");
        for n in 1..=2 {
            let forward = message(&mut stream).await.expect("a forward");
            assert!(forward.contains(&format!("n: {n}\r\n")), "{forward}");
            stream
                .write_all(format!("HTTP/1.1 20{n} Y\r\ncontent-length: 0\r\n\r\n").as_bytes())
                .await
                .expect("ok");
            assert_eq!(answer(&mut both).await.0, 200 + n);
        }
    });
}

#[test]
fn what_is_no_hit_is_refused_before_it_is_taken() {
    rig(8, |rig| async move {
        let pod = rig.one().await;
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
            let (got, text) = rig.ask(&bytes).await;
            assert_eq!(got, status, "{} {text}", String::from_utf8_lossy(&bytes));
        }
        let mut drip = rig.connect().await;
        drip.write_all(b"GET /read HTTP/1.1\r\nho")
            .await
            .expect("written");
        let ended = timeout(Duration::from_secs(3), drip.read_to_end(&mut Vec::new())).await;
        assert!(ended.is_ok(), "a head that never ends is cut off");
        assert!(pod.is_left_alone().await, "nothing of it was forwarded");
    });
}

#[test]
fn a_forward_is_framed_once_and_leaves_the_hop_behind() {
    rig(8, |rig| async move {
        let pod = rig.one().await;
        let asked = spawn_local({
            let rig = rig.clone();
            async move {
                let odd = "POST /read HTTP/1.1\r\nhost: h\r\nconnection: x-hop\r\nx-hop: 1\r\nte: trailers\r\n\
                           keep-alive: 5\r\nx-stays: 1\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n\
                           3\r\nabc\r\n0\r\n\r\n";
                rig.ask(odd.as_bytes()).await
            }
        });
        let mut stream = pod.accept().await;
        let forward = message(&mut stream).await.expect("a forward");
        for gone in [
            "x-hop",
            "\r\nte:",
            "keep-alive",
            "transfer-encoding",
            "content-length: 4",
        ] {
            assert!(!forward.contains(gone), "{gone} in {forward}");
        }
        for stays in [
            "x-stays: 1",
            "content-length: 3",
            "via: 1.1 s-1",
            "\r\n\r\nabc",
        ] {
            assert!(forward.contains(stays), "{stays} not in {forward}");
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
fn a_pod_that_drains_while_a_forward_waits_for_its_connection_gets_nothing_more() {
    for desk_says_no in [false, true] {
        rig(1, |rig| async move {
            let (old, new) = (RawPod::new().await, RawPod::new().await);
            let build = if desk_says_no { 2 } else { 1 };
            let pods = |state| {
                let mut pods = vec![listed("new", new.at(), state, build)];
                if desk_says_no {
                    pods.push(listed("old", old.at(), PodState::Draining, 1));
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
            rig.until("\"pods_running\":0").await;
            rig.list(1, &pods(PodState::Running)).await;
            if desk_says_no {
                let _ = rig.desk.push.send(trial(1.0, Phase::Trial));
                rig.until("\"cap\":1.0").await;
            }
            let ask = |path: &'static str| {
                let rig = rig.clone();
                spawn_local(async move { rig.ask(&get(path, "")).await })
            };
            // No free forwards in the first window: hits taken make room for the two that matter.
            if desk_says_no {
                for _ in 0..8 {
                    rig.ask(&get("/read", "grpc-timeout: 1m\r\n")).await;
                }
            }
            let first = ask("/read");
            let mut stream = new.accept().await;
            message(&mut stream).await.expect("the first forward");
            let second = ask("/write");
            rig.until("\"hits_in_flight\":2").await;
            match desk_says_no {
                true => {
                    let _ = rig.desk.push.send(trial(0.0, Phase::RollingBack));
                    rig.until("\"cap\":0.0").await;
                }
                false => rig.list(2, &pods(PodState::Draining)).await,
            }
            stream.write_all(OK).await.expect("answered");
            assert_eq!(first.await.expect("done").0, 200);
            let (status, text) = second.await.expect("done");
            assert_eq!(status, 503, "never sent, so a retry is harmless: {text}");
            let more = timeout(Duration::from_millis(100), message(&mut stream)).await;
            assert!(
                !matches!(more, Ok(Some(_))),
                "nothing new to a pod that may not have it"
            );
        });
    }
}

#[test]
fn lists_that_move_drop_or_garble_pods() {
    rig(8, |rig| async move {
        let (old, new) = (RawPod::new().await, RawPod::new().await);
        let many: Vec<ListedEndpoint> = (0..999)
            .map(|n| listed(&format!("d-{n}"), old.at(), PodState::Draining, 1))
            .chain([listed("p", old.at(), PodState::Running, 1)])
            .collect();
        rig.until("\"pods_running\":0").await;
        rig.list(1, &many).await;
        let ask = || {
            let rig = rig.clone();
            spawn_local(async move { rig.ask(&get("/read", "")).await.0 })
        };
        let first = ask();
        let mut stream = old.accept().await;
        message(&mut stream)
            .await
            .expect("a forward to the old address");
        // The same name with another address, and nobody else: the old forward goes on to its end.
        rig.list(2, &[listed("p", new.at(), PodState::Running, 2)])
            .await;
        let second = ask();
        let mut moved = new.accept().await;
        message(&mut moved)
            .await
            .expect("a forward to the new address");
        stream.write_all(OK).await.expect("answered");
        moved.write_all(OK).await.expect("answered");
        assert_eq!(
            (first.await.expect("done"), second.await.expect("done")),
            (200, 200)
        );
        // A line that is none ends the feed; the list stays in force, and the feed comes back.
        *rig.nodes.first.borrow_mut() = whole(1, &[]);
        let _ = rig
            .nodes
            .push
            .send("changes 3 1\npod p nowhere running\n".to_string());
        let third = ask();
        message(&mut moved)
            .await
            .expect("the last list stays in force");
        moved.write_all(OK).await.expect("answered");
        assert_eq!(third.await.expect("done"), 200);
        rig.until("\"pods_running\":0").await;
        assert_eq!(
            rig.ask(&get("/read", "")).await.0,
            503,
            "no pods: bounced at once"
        );
    });
}

#[test]
fn a_stop_answers_all_that_was_taken() {
    rig(256, |rig| async move {
        let pod = rig.one().await;
        // Connected one after the other, as a queue of connections may be shorter than 200.
        let mut asked = Vec::new();
        for _ in 0..200 {
            let mut stream = rig.connect().await;
            asked.push(spawn_local(async move {
                stream.write_all(&get("/write", "")).await.expect("written");
                answer(&mut stream).await.0
            }));
        }
        let mut held = vec![pod.accept().await];
        message(&mut held[0]).await.expect("a forward");
        while let Ok(Ok((mut stream, _))) =
            timeout(Duration::from_millis(200), pod.0.accept()).await
        {
            message(&mut stream).await.expect("a forward");
            held.push(stream);
        }
        let stop = rig.stop.borrow_mut().take().expect("once");
        stop.send(()).expect("told");
        let refused = async {
            while TcpStream::connect(rig.at).await.is_ok() {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(Duration::from_secs(5), refused)
            .await
            .expect("no new hits once it stops");
        let forwards = held.len();
        for stream in &mut held {
            stream.write_all(OK).await.expect("answered");
        }
        let mut counts = std::collections::BTreeMap::new();
        for asked in asked {
            *counts.entry(asked.await.expect("done")).or_insert(0) += 1;
        }
        assert_eq!(counts.get(&200), Some(&forwards), "{counts:?}");
        assert_eq!(counts.get(&503), Some(&(200 - forwards)), "{counts:?}");
        let ended = rig.ended.borrow_mut().take().expect("once");
        timeout(Duration::from_secs(5), ended)
            .await
            .expect("it ends")
            .expect("in order");
    });
}

#[test]
fn no_bytes_make_it_panic_or_lose_a_hit_taken() {
    rig(8, |rig| async move {
        let pod = rig.one().await;
        let held = spawn_local({
            let rig = rig.clone();
            async move { rig.ask(&get("/write", "")).await.0 }
        });
        let mut stream = pod.accept().await;
        message(&mut stream).await.expect("a forward");
        let any = proptest::collection::vec(any::<u8>(), 0..400);
        let mut runner = TestRunner::deterministic();
        let bytes: Vec<Vec<u8>> = (0..60)
            .map(|_| any.new_tree(&mut runner).expect("a value").current())
            .collect();
        for garbage in bytes {
            for at in [rig.at, rig.admin] {
                for start in [
                    &b""[..],
                    b"GET /read HTTP/1.1\r\n",
                    b"POST /flagged HTTP/1.1\r\nhost: h\r\n\r\n",
                ] {
                    let mut peer = TcpStream::connect(at).await.expect("it still listens");
                    let _ = peer.write_all(&[start, &garbage].concat()).await;
                }
            }
            for feed in [&rig.desk, &rig.nodes] {
                let _ = feed
                    .push
                    .send(String::from_utf8_lossy(&garbage).into_owned() + "\n");
            }
        }
        stream.write_all(OK).await.expect("answered");
        assert_eq!(
            held.await.expect("done"),
            200,
            "the hit that was taken has its answer"
        );
        rig.until("\"pods_running\":1").await;
    });
}

#[test]
fn an_answer_that_takes_longer_than_a_head_may_is_passed_on_whole() {
    rig(8, |rig| async move {
        let pod = rig.one().await;
        let mut client = rig.connect().await;
        client.write_all(&get("/read", "")).await.unwrap();
        let mut from = pod.accept().await;
        message(&mut from).await.unwrap();
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
fn a_stop_answers_what_lies_in_the_accept_queue() {
    rig(64, |rig| async move {
        // The runtime does not turn between these and the stop.
        let queued: Vec<std::net::TcpStream> = (0..40)
            .map(|_| {
                let mut stream = std::net::TcpStream::connect(rig.at).unwrap();
                std::io::Write::write_all(&mut stream, &get("/nowhere", "")).unwrap();
                stream.set_nonblocking(true).unwrap();
                stream
            })
            .collect();
        rig.stop.borrow_mut().take().unwrap().send(()).unwrap();
        for stream in queued {
            let mut stream = TcpStream::from_std(stream).unwrap();
            assert_eq!(answer(&mut stream).await.0, 404);
        }
    });
}
