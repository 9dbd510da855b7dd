//! Sidecars that guard each other's work, as processes of the program: their fellowship through relays on loopback, pods
//! that count what ran, and clients that come back.

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

/// No step takes nearly as long; what takes so long never comes.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(60);
const PODS: u16 = 4;

fn wrong(what: impl Into<String>) -> io::Error {
    io::Error::other(what.into())
}

/// How often each hit ran at a pod, by the name in its `x-order`. A tagged one that comes again is dropped there and
/// answered as before, as its kind says of pods. One row a name: for as many hits as a test sends.
pub struct Pods {
    ran: RefCell<HashMap<String, usize>>,
    /// How long a hit takes.
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
        let tagged = request.uri().path() == "/tagged";
        let body = request
            .into_body()
            .collect()
            .await
            .map(|body| body.to_bytes())
            .unwrap_or_default();
        if let Some(name) = &name {
            let mut ran = self.ran.borrow_mut();
            let times = ran.entry(name.clone()).or_default();
            *times += (!tagged || *times == 0) as usize;
        }
        sleep(self.work.get()).await;
        let name = name.unwrap_or_default();
        Ok(Response::new(Full::new(
            format!("{name} done, {} bytes", body.len()).into(),
        )))
    }

    /// None that ran anything yet.
    pub fn new(work: Duration) -> Rc<Pods> {
        Rc::new(Pods {
            ran: RefCell::default(),
            work: Cell::new(work),
        })
    }

    /// Starts one more pod; all count together.
    ///
    /// # Errors
    /// No address to be had.
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

    pub fn run_count(&self, name: &str) -> usize {
        self.ran.borrow().get(name).copied().unwrap_or(0)
    }
}

/// One process of the program; it ends with this.
pub struct Sidecar {
    process: Child,
    log: Receiver<String>,
    told: Vec<String>,
    /// Where it takes hits, and where operators look.
    pub listen: SocketAddr,
    pub admin: SocketAddr,
}

impl Sidecar {
    /// Starts the program with these arguments.
    ///
    /// # Errors
    /// No process to be had.
    pub fn spawn(program: &Path, arguments: &[String]) -> io::Result<Sidecar> {
        let mut command = Command::new(program);
        command
            .args(arguments)
            .env("NO_COLOR", "1")
            .stderr(Stdio::piped());
        let mut process = command.spawn()?;
        let (lines, log) = channel();
        let from = BufReader::new(process.stderr.take().ok_or(wrong("no log"))?);
        std::thread::spawn(move || {
            from.lines()
                .map_while(Result::ok)
                .all(|line| lines.send(line).is_ok())
        });
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        Ok(Sidecar {
            process,
            log,
            told: Vec::new(),
            listen: nowhere,
            admin: nowhere,
        })
    }

    /// Its exit status, once it is over.
    ///
    /// # Errors
    /// It never is.
    pub async fn exit_code(&mut self) -> io::Result<Option<i32>> {
        self.wait_for_exit().await?;
        Ok(self.process.wait()?.code())
    }

    /// # Errors
    /// A process that is gone.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = Pid::from_raw(self.process.id() as i32).ok_or(wrong("no process"))?;
        Ok(kill_process(pid, signal)?)
    }

    pub fn pid(&self) -> u32 {
        self.process.id()
    }

    /// How many lines of its log hold this.
    pub fn count_log_lines(&mut self, what: &str) -> usize {
        while let Ok(line) = self.log.try_recv() {
            self.told.push(line);
        }
        self.told.iter().filter(|line| line.contains(what)).count()
    }

    /// Waits until its log holds this so often.
    ///
    /// # Errors
    /// It never came, or the process ended.
    pub async fn wait_for_log(&mut self, what: &str, times: usize) -> io::Result<()> {
        let began = Instant::now();
        while self.count_log_lines(what) < times {
            if began.elapsed() > STEP_TIMEOUT {
                return Err(wrong(format!(
                    "never came: {what}\n{}",
                    self.told.join("\n")
                )));
            }
            if self.process.try_wait()?.is_some() {
                return Err(wrong(format!(
                    "ended before: {what}\n{}",
                    self.told.join("\n")
                )));
            }
            sleep(Duration::from_millis(2)).await;
        }
        Ok(())
    }

    /// Waits until the process is over.
    ///
    /// # Errors
    /// It never is.
    pub async fn wait_for_exit(&mut self) -> io::Result<Duration> {
        let began = Instant::now();
        while self.process.try_wait()?.is_none() {
            if began.elapsed() > STEP_TIMEOUT {
                return Err(wrong("a process that never ends"));
            }
            sleep(Duration::from_millis(2)).await;
        }
        Ok(began.elapsed())
    }

    /// The address after this in the first line of the log that holds `what`.
    ///
    /// # Errors
    /// No such line, or none with an address.
    pub fn logged_address(&self, what: &str, name: &str) -> io::Result<SocketAddr> {
        let line = self
            .told
            .iter()
            .find(|line| line.contains(what))
            .ok_or(wrong(what))?;
        let text = line
            .split(name)
            .nth(1)
            .and_then(|rest| rest.split_whitespace().next());
        text.and_then(|text| text.trim_matches('"').parse().ok())
            .ok_or(wrong(format!("{name} in {line}")))
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        if std::thread::panicking() {
            self.count_log_lines("");
            eprintln!("--\n{}", self.told.join("\n"));
        }
    }
}

pub struct SidecarGroup {
    program: PathBuf,
    folder: PathBuf,
    pub pods: Rc<Pods>,
    /// What the network between fellows does; `None` where they reach each other straight.
    pub relays: Option<Relays>,
    /// Where a fellow is met first.
    first: String,
    pub sidecars: Vec<Sidecar>,
}

impl SidecarGroup {
    /// Starts so many sidecars, and waits until all know each other. Needs a `LocalSet` or `LocalRuntime`.
    ///
    /// # Errors
    /// No sockets, no processes, or sidecars that never meet.
    pub async fn start(
        program: &Path,
        folder: &Path,
        many: usize,
        relayed: bool,
    ) -> io::Result<SidecarGroup> {
        let pods = Pods::new(Duration::from_millis(400));
        let mut listed = Vec::new();
        for n in 0..PODS {
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
            Some(Relays::bind(many, 7).await?)
        } else {
            None
        };
        let first = relays
            .as_ref()
            .map_or(String::new(), |relays| relays.address(0).to_string());
        let (program, folder) = (program.to_path_buf(), folder.to_path_buf());
        let mut group = SidecarGroup {
            program,
            folder,
            pods,
            relays,
            first,
            sidecars: Vec::new(),
        };
        for id in 0..many {
            let sidecar = group.launch(id).await?;
            group.sidecars.push(sidecar);
        }
        for sidecar in &mut group.sidecars {
            sidecar.wait_for_log("member joined", many - 1).await?;
        }
        Ok(group)
    }

    fn settings(&self, id: usize) -> String {
        let advertise = self
            .relays
            .as_ref()
            .map(|relays| format!("advertise = \"{}\",", relays.address(id)));
        let meet = Some(&self.first).filter(|first| !first.is_empty());
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

    /// Starts a sidecar of this number, be it for the first time or after its end.
    ///
    /// # Errors
    /// No process, or one that ends at once.
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
        let fellow = sidecar.logged_address("fellowship", "listen=")?;
        match &self.relays {
            Some(relays) => relays.set_target(id, fellow),
            None if self.first.is_empty() => self.first = fellow.to_string(),
            None => {}
        }
        Ok(sidecar)
    }

    /// Hits of both guarded kinds at one sidecar, by turns, each in the middle of its work at a pod.
    ///
    /// # Errors
    /// Hits that never reach a pod.
    pub async fn start_requests(
        &self,
        id: usize,
        many: usize,
        round: usize,
    ) -> io::Result<Vec<PendingRequest>> {
        let mut asked = Vec::new();
        for n in 0..many {
            let path = ["/tagged", "/mutating"][n % 2];
            let (name, at) = (
                format!("{}-{id}-{n}-{round}", &path[1..]),
                self.sidecars[id].listen,
            );
            let sent = name.clone();
            let answer =
                spawn_local(async move { send_with_key(at, path, &sent, vec![7; 20]).await });
            asked.push(PendingRequest { name, path, answer });
        }
        let began = Instant::now();
        while asked
            .iter()
            .any(|asked| self.pods.run_count(&asked.name) == 0)
        {
            if began.elapsed() > STEP_TIMEOUT {
                return Err(wrong("not all hits reached a pod"));
            }
            sleep(Duration::from_millis(2)).await;
        }
        Ok(asked)
    }
}

/// A hit on its way.
pub struct PendingRequest {
    pub name: String,
    pub path: &'static str,
    pub answer: tokio::task::JoinHandle<Option<(u16, String)>>,
}

/// One hit with this name as its key; `None` where the connection broke before its answer.
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

/// One request without a key and a body.
pub async fn send_without_key(at: SocketAddr, path: &str, name: &str) -> Option<(u16, String)> {
    let request = Request::post(path)
        .header("host", "search")
        .header("x-order", name)
        .body(Full::default());
    send(at, request.ok()?).await
}

/// What an operator sees of a sidecar.
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
