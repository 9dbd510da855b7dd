//! Sidecar processes for tests and benches of takeover: a group of sidecars that are connected by relays on loopback,
//! pods that count how often each request ran, and clients that retry.

use crate::relay::Relays;
use bytes::Bytes;
use havenplank::interface::PodState;
use havenplank_line_protocol::endpoint_list::{encode_cached, ListedEndpoint};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use rustix::process::{kill_process, Pid, Signal};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Limit on each step of a test, far longer than any step takes.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(60);
const POD_COUNT: u16 = 4;

fn other_error(what: impl Into<String>) -> io::Error {
    io::Error::other(what.into())
}

/// Pods that count how often each request ran, by the name in its `x-order` header.
///
/// A repeat of a keyed request does not run again and gets the same answer, as its idempotency requires of pods.
pub struct Pods {
    /// Bounded by the requests that a test sends.
    run_counts: RefCell<HashMap<String, usize>>,
    /// How long a request takes.
    pub work: Cell<Duration>,
}

impl Pods {
    async fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let name = request
            .headers()
            .get("x-order")
            .and_then(|name| name.to_str().ok())
            .map(str::to_string);
        let keyed = request.uri().path() == "/tagged";
        let body = request
            .into_body()
            .collect()
            .await
            .map(|body| body.to_bytes())
            .unwrap_or_default();
        if let Some(name) = &name {
            let mut counts = self.run_counts.borrow_mut();
            let count = counts.entry(name.clone()).or_default();
            *count += (!keyed || *count == 0) as usize;
        }
        sleep(self.work.get()).await;
        let name = name.unwrap_or_default();
        Ok(Response::new(Full::new(
            format!("{name} done, {} bytes", body.len()).into(),
        )))
    }

    /// Pods that have run no request yet.
    pub fn new(work: Duration) -> Rc<Pods> {
        Rc::new(Pods {
            run_counts: RefCell::default(),
            work: Cell::new(work),
        })
    }

    /// Starts one more pod; all pods share the counts.
    ///
    /// # Errors
    /// No socket can be bound.
    pub async fn start(self: &Rc<Self>) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (at, pods) = (listener.local_addr()?, self.clone());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                let pods = pods.clone();
                let service = service_fn(move |request| pods.clone().answer(request));
                let served = hyper::server::conn::http1::Builder::new();
                spawn_local(served.serve_connection(TokioIo::new(stream), service));
            }
        });
        Ok(at)
    }

    /// How often the request of this name ran.
    pub fn run_count(&self, name: &str) -> usize {
        self.run_counts.borrow().get(name).copied().unwrap_or(0)
    }
}

/// A process of the program; killed when dropped.
pub struct Sidecar {
    process: Child,
    log: Receiver<String>,
    log_lines: Vec<String>,
    /// The address for requests.
    pub listen: SocketAddr,
    /// The address of the admin interface.
    pub admin: SocketAddr,
}

impl Sidecar {
    /// Starts the program with these arguments.
    ///
    /// # Errors
    /// The process cannot be started.
    pub fn spawn(program: &Path, arguments: &[String]) -> io::Result<Sidecar> {
        let mut command = Command::new(program);
        command
            .args(arguments)
            .env("NO_COLOR", "1")
            .stderr(Stdio::piped());
        let mut process = command.spawn()?;
        let (lines, log) = channel();
        let stderr = BufReader::new(
            process
                .stderr
                .take()
                .ok_or(other_error("the process has no standard error"))?,
        );
        std::thread::spawn(move || {
            stderr
                .lines()
                .map_while(Result::ok)
                .all(|line| lines.send(line).is_ok())
        });
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        Ok(Sidecar {
            process,
            log,
            log_lines: Vec::new(),
            listen: unset,
            admin: unset,
        })
    }

    /// Waits until the process ends, and returns its exit code.
    ///
    /// # Errors
    /// The process does not end within [`STEP_TIMEOUT`].
    pub async fn exit_code(&mut self) -> io::Result<Option<i32>> {
        self.wait_for_exit().await?;
        Ok(self.process.wait()?.code())
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    /// The process has ended.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid =
            Pid::from_raw(self.process.id() as i32).ok_or(other_error("the process has no id"))?;
        Ok(kill_process(pid, signal)?)
    }

    /// The id of the process.
    pub fn pid(&self) -> u32 {
        self.process.id()
    }

    /// Number of lines in its log so far that contain `what`.
    pub fn count_log_lines(&mut self, what: &str) -> usize {
        while let Ok(line) = self.log.try_recv() {
            self.log_lines.push(line);
        }
        self.log_lines
            .iter()
            .filter(|line| line.contains(what))
            .count()
    }

    /// Waits until `times` lines of its log contain `what`.
    ///
    /// # Errors
    /// The lines do not come within [`STEP_TIMEOUT`], or the process ends before.
    pub async fn wait_for_log(&mut self, what: &str, times: usize) -> io::Result<()> {
        let began = Instant::now();
        while self.count_log_lines(what) < times {
            if began.elapsed() > STEP_TIMEOUT {
                return Err(other_error(format!(
                    "log lines with {what:?} did not come within {STEP_TIMEOUT:?}:\n{}",
                    self.log_lines.join("\n")
                )));
            }
            if self.process.try_wait()?.is_some() {
                return Err(other_error(format!(
                    "the process ended before log lines with {what:?}:\n{}",
                    self.log_lines.join("\n")
                )));
            }
            sleep(Duration::from_millis(2)).await;
        }
        Ok(())
    }

    /// Waits until the process ends, and returns how long that took.
    ///
    /// # Errors
    /// The process does not end within [`STEP_TIMEOUT`].
    pub async fn wait_for_exit(&mut self) -> io::Result<Duration> {
        let began = Instant::now();
        while self.process.try_wait()?.is_none() {
            if began.elapsed() > STEP_TIMEOUT {
                return Err(other_error("the process did not end in time"));
            }
            sleep(Duration::from_millis(2)).await;
        }
        Ok(began.elapsed())
    }

    /// The address that follows `name` in the first log line that contains `what`.
    ///
    /// # Errors
    /// No log line contains `what`, or no address follows `name`.
    pub fn logged_address(&self, what: &str, name: &str) -> io::Result<SocketAddr> {
        let line = self
            .log_lines
            .iter()
            .find(|line| line.contains(what))
            .ok_or(other_error(what))?;
        let text = line
            .split(name)
            .nth(1)
            .and_then(|rest| rest.split_whitespace().next());
        text.and_then(|text| text.trim_matches('"').parse().ok())
            .ok_or(other_error(format!(
                "no address after {name} in the log line: {line}"
            )))
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        if std::thread::panicking() {
            self.count_log_lines("");
            eprintln!("--\n{}", self.log_lines.join("\n"));
        }
    }
}

/// A group of sidecar processes with takeover, and their pods.
pub struct SidecarGroup {
    program: PathBuf,
    folder: PathBuf,
    /// The pods that all sidecars forward to.
    pub pods: Rc<Pods>,
    /// The relays between the sidecars; `None` where they connect directly.
    pub relays: Option<Relays>,
    /// Address of the member that others contact first.
    seed: String,
    /// The sidecars, by number.
    pub sidecars: Vec<Sidecar>,
}

impl SidecarGroup {
    /// Starts `count` sidecars, and waits until each has seen all others join. Needs a `LocalSet` or `LocalRuntime`.
    ///
    /// # Errors
    /// A socket cannot be bound, a process cannot be started, or a sidecar does not see the others in time.
    pub async fn start(
        program: &Path,
        folder: &Path,
        count: usize,
        relayed: bool,
    ) -> io::Result<SidecarGroup> {
        let pods = Pods::new(Duration::from_millis(400));
        let mut listed = Vec::new();
        for n in 0..POD_COUNT {
            listed.push(ListedEndpoint {
                name: format!("pod-{n}"),
                address: pods.start().await?,
                state: PodState::Running,
                build: 1,
                incarnation: 1,
                age: 600_000_000_000,
                zone: format!("room-{}", 1 + n % 2),
                machine: "any".to_string(),
                cell: 0,
                size: 1.0,
            });
        }
        std::fs::write(folder.join("keys"), "0123456789abcdef".repeat(4))?;
        std::fs::write(folder.join("pods"), encode_cached(&listed))?;
        let relays = if relayed {
            Some(Relays::bind(count, 7).await?)
        } else {
            None
        };
        let seed = relays
            .as_ref()
            .map_or(String::new(), |relays| relays.address(0).to_string());
        let (program, folder) = (program.to_path_buf(), folder.to_path_buf());
        let mut group = SidecarGroup {
            program,
            folder,
            pods,
            relays,
            seed,
            sidecars: Vec::new(),
        };
        for id in 0..count {
            let sidecar = group.launch(id).await?;
            group.sidecars.push(sidecar);
        }
        for sidecar in &mut group.sidecars {
            sidecar.wait_for_log("member joined", count - 1).await?;
        }
        Ok(group)
    }

    fn settings(&self, id: usize) -> String {
        let advertise = self
            .relays
            .as_ref()
            .map(|relays| format!("advertise = \"{}\",", relays.address(id)));
        let meet = Some(&self.seed).filter(|seed| !seed.is_empty());
        let (zone, folder) = (1 + id % 2, self.folder.display());
        let times = "target_latency = \"3s\", client_timeout = \"8s\"";
        format!(
            r#"
sidecar(name = "s-{id}", instances = 8, rank = {rank}, zones = ["room-1", "room-2"], zone = "room-{zone}",
    listen = "127.0.0.1:0", admin = "127.0.0.1:0")
path_group(name = "tagged", paths = ["/tagged"], kind = "tagged", repeat_window = "30s",
    {times}, guard = "before-forward")
path_group(name = "mutating", paths = ["/mutating"], kind = "mutating", {times}, guard = "before-forward")
path_group(name = "off", paths = ["/off"], kind = "repeatable", {times})
path_group(name = "behind", paths = ["/behind"], kind = "repeatable", {times}, guard = "behind")
path_group(name = "before", paths = ["/before"], kind = "repeatable", {times}, guard = "before-forward")
limits(answer_margin = "20ms")
pods(drain_grace = "500ms", cold_share = 0.3, warm_up = "1s", fall_multiple = 3.0, fall_window = "2s")
exposure(window = "6s", caps = [0.1, 1.0])
votes(control = "any", life = "6s")
nodes(address = "127.0.0.1:1", keep = "{folder}/pods")
desk(address = "127.0.0.1:1")
fellowship(listen = "127.0.0.1:0", {advertise} {meet} keys = "{folder}/keys", period = "200ms")
takeover()
"#,
            rank = id % 8,
            advertise = advertise.unwrap_or_default(),
            meet = meet
                .map(|meet| format!("meet = [\"{meet}\"],"))
                .unwrap_or_default(),
        )
    }

    /// Starts or restarts the sidecar of this number, and waits until it listens.
    ///
    /// # Errors
    /// The process cannot be started, or ends before it listens.
    pub async fn launch(&mut self, id: usize) -> io::Result<Sidecar> {
        let file = self.folder.join(format!("s-{id}.star"));
        std::fs::write(&file, self.settings(id))?;
        let mut sidecar =
            Sidecar::spawn(&self.program, &["serve".into(), file.display().to_string()])?;
        sidecar.wait_for_log("admin=", 1).await?;
        (sidecar.listen, sidecar.admin) = (
            sidecar.logged_address("admin=", "listen=")?,
            sidecar.logged_address("admin=", "admin=")?,
        );
        let member = sidecar.logged_address("fellowship", "listen=")?;
        match &self.relays {
            Some(relays) => relays.set_target(id, member),
            None if self.seed.is_empty() => self.seed = member.to_string(),
            None => {}
        }
        Ok(sidecar)
    }

    /// Sends keyed and non-idempotent requests in turn to one sidecar, and returns once each of them runs at a pod.
    ///
    /// # Errors
    /// A request does not reach a pod in time.
    pub async fn start_requests(
        &self,
        id: usize,
        count: usize,
        round: usize,
    ) -> io::Result<Vec<PendingRequest>> {
        let mut requests = Vec::new();
        for n in 0..count {
            let path = ["/tagged", "/mutating"][n % 2];
            let (name, at) = (
                format!("{}-{id}-{n}-{round}", &path[1..]),
                self.sidecars[id].listen,
            );
            let sent = name.clone();
            let answer =
                spawn_local(async move { send_with_key(at, path, &sent, vec![7; 20]).await });
            requests.push(PendingRequest { name, path, answer });
        }
        let began = Instant::now();
        while requests
            .iter()
            .any(|request| self.pods.run_count(&request.name) == 0)
        {
            if began.elapsed() > STEP_TIMEOUT {
                return Err(other_error("not all requests reached a pod in time"));
            }
            sleep(Duration::from_millis(2)).await;
        }
        Ok(requests)
    }
}

/// A request that a client has sent and waits for.
pub struct PendingRequest {
    /// The name of the request, which is also its idempotency key.
    pub name: String,
    /// The path of its route class.
    pub path: &'static str,
    /// The status and the body of the answer; `None` where the connection broke before it.
    pub answer: tokio::task::JoinHandle<Option<(u16, String)>>,
}

/// Sends a request with its name as its idempotency key, and returns the status and the body of the answer.
///
/// Returns `None` where the connection broke, or nothing came within [`STEP_TIMEOUT`].
pub async fn send_with_key(
    at: SocketAddr,
    path: &str,
    name: &str,
    body: Vec<u8>,
) -> Option<(u16, String)> {
    let request = Request::post(path)
        .header("host", "search")
        .header("x-order", name)
        .header("idempotency-key", format!("\"{name}\""))
        .body(Full::new(Bytes::from(body)))
        .ok()?;
    send(at, request).await
}

/// Sends a request without a key and a body, and returns the same as [`send_with_key`].
pub async fn send_without_key(at: SocketAddr, path: &str, name: &str) -> Option<(u16, String)> {
    let request = Request::post(path)
        .header("host", "search")
        .header("x-order", name)
        .body(Full::default());
    send(at, request.ok()?).await
}

/// The state that a sidecar reports on its admin address, as JSON.
pub async fn state(admin: SocketAddr) -> Option<serde_json::Value> {
    let request = Request::builder()
        .method(Method::GET)
        .uri("/state")
        .header("host", "sidecar");
    let (_, text) = send(admin, request.body(Full::default()).ok()?).await?;
    serde_json::from_str(&text).ok()
}

async fn send(at: SocketAddr, request: Request<Full<Bytes>>) -> Option<(u16, String)> {
    let stream = TcpStream::connect(at).await.ok()?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .ok()?;
    spawn_local(connection);
    let answer = timeout(STEP_TIMEOUT, sender.send_request(request))
        .await
        .ok()?
        .ok()?;
    let status = answer.status().as_u16();
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
