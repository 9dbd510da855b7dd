//! Work in hand over processes of the program: sidecars killed and paused in the middle of hits, fellows reached through
//! relays on loopback, pods that count what ran.

use bytes::Bytes;
use havenplank::port::PodState;
use havenplank_feeds::nodes::{keep, Listed};
use havenplank_stand::relay::Relays;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::convert::Infallible;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};

/// No step takes nearly as long; a test that waits so long has failed.
const PATIENCE: Duration = Duration::from_secs(60);
/// Long enough that a kill or a pause finds hits in the middle.
const WORK: Duration = Duration::from_millis(400);

/// How often each hit ran at a pod, by the name that the test gave it. A tagged one that comes again is dropped there
/// and answered with what it was answered before, as its kind says of pods.
#[derive(Default)]
struct Pods {
    ran: RefCell<HashMap<String, usize>>,
}

impl Pods {
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let name = request.headers()["x-order"].to_str().expect("a name").to_string();
        let tagged = request.uri().path() == "/tagged";
        let body = request.into_body().collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        let known = self.ran.borrow().get(&name).copied().unwrap_or(0);
        if !tagged || known == 0 {
            self.ran.borrow_mut().insert(name.clone(), known + 1);
        }
        sleep(WORK).await;
        Ok(Response::new(Full::new(format!("{name} done, {} bytes", body.len()).into())))
    }

    async fn start(self: &Rc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (at, pods) = (listener.local_addr().expect("its address"), self.clone());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let pods = pods.clone();
                let service = service_fn(move |request| pods.clone().answer(request));
                let served = hyper::server::conn::http1::Builder::new();
                spawn_local(served.serve_connection(TokioIo::new(stream), service));
            }
        });
        at
    }

    fn ran(&self, name: &str) -> usize {
        self.ran.borrow().get(name).copied().unwrap_or(0)
    }
}

struct Sidecar {
    process: Child,
    log: Receiver<String>,
    told: Vec<String>,
    /// Where it takes hits.
    at: SocketAddr,
}

impl Sidecar {
    fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.process.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().expect("a shell").success());
    }

    fn read(&mut self) {
        while let Ok(line) = self.log.try_recv() {
            self.told.push(line);
        }
    }

    async fn until(&mut self, what: &str, times: usize) {
        let began = Instant::now();
        while self.told.iter().filter(|line| line.contains(what)).count() < times {
            self.read();
            let ended = self.process.try_wait().expect("its state");
            assert!(began.elapsed() < PATIENCE && ended.is_none(), "never came: {what}, {ended:?}");
            sleep(Duration::from_millis(5)).await;
        }
    }

    fn said(&mut self, what: &str) -> usize {
        self.read();
        self.told.iter().filter(|line| line.contains(what)).count()
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        if std::thread::panicking() {
            self.read();
            eprintln!("--\n{}", self.told.join("\n"));
        }
    }
}

struct Group {
    folder: PathBuf,
    pods: Rc<Pods>,
    relays: Option<Relays>,
    /// Where a fellow is met first.
    first: String,
    sidecars: Vec<Sidecar>,
}

impl Group {
    async fn start(folder: &Path, many: usize, relayed: bool) -> Group {
        let pods = Rc::new(Pods::default());
        let mut listed = Vec::new();
        for n in 0..4 {
            listed.push(Listed {
                name: format!("pod-{n}"),
                address: pods.start().await,
                state: PodState::Running,
                build: 1,
                life: 1,
                age: 600_000_000_000,
                zone: format!("room-{}", 1 + n % 2),
                machine: "any".to_string(),
                cell: 0,
                size: 1.0,
            });
        }
        std::fs::write(folder.join("keys"), "0123456789abcdef".repeat(4)).expect("written");
        std::fs::write(folder.join("pods"), keep(&listed)).expect("written");
        let relays = if relayed { Some(Relays::bind(many, 7).await.expect("relays")) } else { None };
        let first = relays.as_ref().map_or(String::new(), |relays| relays.at(0).to_string());
        let mut group = Group { folder: folder.to_path_buf(), pods, relays, first, sidecars: Vec::new() };
        for id in 0..many {
            let sidecar = group.launch(id).await;
            group.sidecars.push(sidecar);
        }
        for sidecar in &mut group.sidecars {
            sidecar.until("fellow joined", many - 1).await;
        }
        group
    }

    async fn launch(&mut self, id: usize) -> Sidecar {
        let advertise = self.relays.as_ref().map(|relays| format!("advertise = \"{}\",", relays.at(id)));
        let meet = Some(&self.first).filter(|first| !first.is_empty());
        let settings = format!(
            r#"
sidecar(name = "s-{id}", instances = 8, rank = {id}, zones = ["room-1", "room-2"], zone = "room-{zone}",
    listen = "127.0.0.1:0", admin = "127.0.0.1:0")
path_group(name = "tagged", paths = ["/tagged"], kind = "tagged", repeat_window = "30s",
    target_latency = "3s", client_timeout = "8s", guard = "before-forward")
path_group(name = "mutating", paths = ["/mutating"], kind = "mutating",
    target_latency = "3s", client_timeout = "8s", guard = "before-forward")
path_group(name = "query", paths = ["/query"], kind = "repeatable",
    target_latency = "3s", client_timeout = "8s", guard = "behind")
limits(answer_margin = "20ms")
pods(drain_grace = "500ms", cold_share = 0.3, warm_up = "1s", fall_multiple = 3.0, fall_window = "2s")
exposure(window = "6s", caps = [0.1, 1.0])
votes(control = "any", life = "6s")
nodes(address = "127.0.0.1:1", keep = "{folder}/pods")
desk(address = "127.0.0.1:1")
takeover(listen = "127.0.0.1:0", {advertise} {meet} keys = "{folder}/keys", period = "200ms")
"#,
            zone = 1 + id % 2,
            folder = self.folder.display(),
            advertise = advertise.unwrap_or_default(),
            meet = meet.map(|meet| format!("meet = [\"{meet}\"],")).unwrap_or_default(),
        );
        let file = self.folder.join(format!("s-{id}.star"));
        std::fs::write(&file, settings).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_havenplank"));
        command.arg("serve").arg(&file).env("NO_COLOR", "1").stderr(Stdio::piped());
        let mut process = command.spawn().expect("the program starts");
        let (lines, log) = channel();
        let from = BufReader::new(process.stderr.take().expect("its log"));
        std::thread::spawn(move || from.lines().map_while(Result::ok).all(|line| lines.send(line).is_ok()));
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut sidecar = Sidecar { process, log, told: Vec::new(), at: nowhere };
        sidecar.until("admin=", 1).await;
        let address = |line: &str| {
            let text = line.split("listen=").nth(1).and_then(|rest| rest.split_whitespace().next());
            text.and_then(|text| text.trim_matches('"').parse::<SocketAddr>().ok()).expect("an address")
        };
        let line = |what: &str| sidecar.told.iter().find(|line| line.contains(what)).expect("that line");
        let (at, fellow) = (address(line("admin=")), address(line("work in hand is guarded")));
        match &self.relays {
            Some(relays) => relays.serves(id, fellow),
            None if self.first.is_empty() => self.first = fellow.to_string(),
            None => {}
        }
        sidecar.at = at;
        sidecar
    }
}

/// Sends one hit; `None` where the connection broke before its answer.
async fn ask(at: SocketAddr, path: &str, name: &str, body: Vec<u8>) -> Option<(u16, String)> {
    let stream = TcpStream::connect(at).await.ok()?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(connection);
    let request = Request::post(path)
        .header("host", "search")
        .header("x-order", name)
        .header("idempotency-key", format!("\"{name}\""))
        .body(Full::new(Bytes::from(body)))
        .expect("a hit");
    let answer = timeout(PATIENCE, sender.send_request(request)).await.expect("an answer in time").ok()?;
    let status = answer.status().as_u16();
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

fn test(work: impl AsyncFnOnce(&Path)) {
    let folder = tempfile::tempdir().expect("a folder");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(work(folder.path())));
}

/// Hits of both kinds at one sidecar, in the middle of their work; `None` in place of an answer where it broke off.
async fn begun(
    group: &Group,
    id: usize,
    many: usize,
) -> Vec<(String, tokio::task::JoinHandle<Option<(u16, String)>>)> {
    let mut asked = Vec::new();
    for n in 0..many {
        let path = ["/tagged", "/mutating"][n % 2];
        let (name, at) = (format!("{}-{id}-{n}", &path[1..]), group.sidecars[id].at);
        let sent = name.clone();
        asked.push((name, spawn_local(async move { ask(at, path, &sent, vec![7; 20]).await })));
    }
    let began = Instant::now();
    while asked.iter().any(|(name, _)| group.pods.ran(name) == 0) {
        assert!(began.elapsed() < PATIENCE, "not all hits reached a pod");
        sleep(Duration::from_millis(2)).await;
    }
    asked
}

fn path_of(name: &str) -> &'static str {
    if name.starts_with("tagged") {
        "/tagged"
    } else {
        "/mutating"
    }
}

#[test]
fn work_of_a_killed_sidecar_is_finished_by_another_and_its_client_finds_the_answer_anywhere() {
    test(async |folder| {
        let mut group = Group::start(folder, 4, true).await;
        let asked = begun(&group, 0, 16).await;
        group.sidecars[0].signal("KILL");
        let mut back = Vec::new();
        for (n, (name, answer)) in asked.into_iter().enumerate() {
            assert_eq!(answer.await.expect("a task"), None, "{name}: its sidecar was killed in the middle");
            // Some come back before the loss is noticed, some later, each to another sidecar.
            let at = group.sidecars[1 + n % 3].at;
            let after = Duration::from_millis(n as u64 % 4 * 400);
            back.push((
                name.clone(),
                spawn_local(async move {
                    sleep(after).await;
                    ask(at, path_of(&name), &name, vec![7; 20]).await.expect("an answer")
                }),
            ));
        }
        for (name, answer) in back {
            let (status, body) = answer.await.expect("a task");
            assert_eq!(group.pods.ran(&name), 1, "{name} ran once");
            match path_of(&name) {
                "/tagged" => assert_eq!((status, body), (200, format!("{name} done, 20 bytes"))),
                // It ran, and nobody may run it again, so that all that can be said is that it may have.
                _ => assert_eq!(status, 502, "{name}: {body}"),
            }
        }
        let taken: usize =
            group.sidecars[1..].iter_mut().map(|sidecar| sidecar.said("work taken over")).sum();
        assert_eq!(taken, 16, "each once");
    });
}

#[test]
fn a_paused_sidecar_finds_its_right_lost_and_its_clients_get_the_answer_of_who_took_over() {
    test(async |folder| {
        let mut group = Group::start(folder, 4, true).await;
        let asked = begun(&group, 2, 8).await;
        group.sidecars[2].signal("STOP");
        for id in [0, 1, 3] {
            let began = Instant::now();
            let total = |group: &mut Group| -> usize {
                [0, 1, 3].iter().map(|id| group.sidecars[*id].said("work finished")).sum()
            };
            while total(&mut group) < 8 {
                assert!(began.elapsed() < PATIENCE, "{id}: not all was finished by the others");
                sleep(Duration::from_millis(5)).await;
            }
        }
        group.sidecars[2].signal("CONT");
        for (name, answer) in asked {
            let answer = answer.await.expect("a task").expect("an answer");
            assert_eq!(group.pods.ran(&name), 1, "{name} ran once");
            // What the pods had answered lay in its sockets when it woke, and is as good.
            assert!(answer.0 == 200 || path_of(&name) == "/mutating", "{name}: {answer:?}");
        }
    });
}

#[test]
fn a_client_that_comes_back_joins_the_work_and_another_hit_under_its_key_is_refused() {
    test(async |folder| {
        // Without relays, and with hits that no datagram takes.
        let group = Group::start(folder, 4, false).await;
        for path in ["/tagged", "/mutating"] {
            let name = format!("{}-twice", &path[1..]);
            let all = (0..4).map(|id| {
                let (at, name) = (group.sidecars[id].at, name.clone());
                spawn_local(async move {
                    sleep(Duration::from_millis(id as u64 * 60)).await;
                    ask(at, path, &name, vec![7; 20_000]).await
                })
            });
            for answer in all.collect::<Vec<_>>() {
                let wanted = (200, format!("{name} done, 20000 bytes"));
                assert_eq!(answer.await.expect("a task"), Some(wanted));
            }
            assert_eq!(group.pods.ran(&name), 1);
            let other = ask(group.sidecars[3].at, path, &name, vec![8; 20_000]).await.expect("an answer");
            assert_eq!(other.0, 422, "{other:?}");
        }
        let at = group.sidecars[0].at;
        assert_eq!(ask(at, "/query", "query", Vec::new()).await.map(|answer| answer.0), Some(200));
    });
}
