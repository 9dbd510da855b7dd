//! Processes of both programs with the same pods.

use havenplank::interface::PodState;
use havenplank_emulator::scripted::{configuration, entry};
use havenplank_line_protocol::endpoint_list::{encode_cached, ListedEndpoint};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const NANOS_PER_MILLI: u64 = 1_000_000;
const OBJECTIVE_MS: u64 = 2500;
const CONNECT_TIMEOUT_MS: u64 = 2400;
const DESCRIPTORS: usize = 384;
/// Sidecars of a group with takeover: one serves the clients, the others are its backups.
const GROUP: usize = 3;
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// The programs that take requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Program {
    Platform,
    Serve,
    /// `serve` with its requests backed up by two other sidecars.
    ServeWithTakeover,
}

/// A process of a program, killed when it is dropped.
pub struct Sidecar {
    process: Child,
    pub address: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
    backups: Vec<Sidecar>,
    /// Neither discovery nor the control plane ever answers here.
    _services: Option<TcpListener>,
    _folder: Option<tempfile::TempDir>,
}

impl Sidecar {
    pub fn start(program: Program, pods: &[SocketAddr], memory_mb: usize) -> Sidecar {
        match program {
            Program::Platform => start_platform(pods, memory_mb),
            Program::Serve => start_serve(pods),
            Program::ServeWithTakeover => start_group(pods),
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.process), signal).expect("the sidecar runs");
    }

    /// Returns the lines of the log so far that contain `text`.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = self.log.lock().expect("no panic");
        log.iter()
            .filter(|line| line.contains(text))
            .cloned()
            .collect()
    }

    /// Waits until the process has ended by itself; false if it has not within `limit`.
    pub fn ends_within(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.process.try_wait().expect("a child").is_some() {
                return true;
            }
            thread::sleep(Duration::from_millis(2));
        }
        false
    }

    /// Kills the process as the platform does.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        self.kill();
        self.backups.clear();
    }
}

fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_havenplank"));
    command
        .args(arguments)
        .env("NO_COLOR", "1")
        .stderr(Stdio::piped());
    command
}

fn spawn(mut command: Command) -> Sidecar {
    let mut process = command.spawn().expect("the program starts");
    let log = collect_log(process.stderr.take().expect("standard error"));
    let address = logged_address(&log, " listening", "listen=");
    Sidecar {
        process,
        address,
        log,
        backups: Vec::new(),
        _services: None,
        _folder: None,
    }
}

fn collect_log(stderr: ChildStderr) -> Arc<Mutex<Vec<String>>> {
    let log = Arc::<Mutex<Vec<String>>>::default();
    let lines = log.clone();
    thread::spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            lines.lock().expect("no panic").push(line);
        }
    });
    log
}

/// Waits for a log line that contains `text` and returns the address behind `name` in it.
fn logged_address(log: &Mutex<Vec<String>>, text: &str, name: &str) -> SocketAddr {
    let until = Instant::now() + START_TIMEOUT;
    loop {
        let lines = log.lock().expect("no panic").clone();
        let found = lines.iter().find_map(|line| {
            let (_, rest) = line.contains(text).then(|| line.split_once(name))??;
            rest.split(' ').next()?.trim_matches('"').parse().ok()
        });
        if let Some(address) = found {
            return address;
        }
        assert!(Instant::now() < until, "no {text} in {lines:?}");
        thread::sleep(Duration::from_millis(2));
    }
}

fn platform_config(pods: &[SocketAddr], services: SocketAddr, memory_mb: usize) -> Value {
    let entries = pods
        .iter()
        .enumerate()
        .map(|(n, address)| entry(&format!("p{n}"), *address, 7, "active"));
    let mut config = configuration(services, services, &entries.collect::<Vec<_>>());
    config["limits"] = json!({"memory_mb": memory_mb, "sockets": DESCRIPTORS, "cores": 1.0});
    config["settings"]["limits"]["dialTimeoutNs"] = json!(CONNECT_TIMEOUT_MS * NANOS_PER_MILLI);
    let classes = config["settings"]["classes"].as_array_mut();
    for class in classes.expect("classes") {
        class["onTimeNs"] = json!(OBJECTIVE_MS * NANOS_PER_MILLI);
        class["giveUpNs"] = json!(super::CLIENT_TIME_MS * NANOS_PER_MILLI);
    }
    config
}

fn start_platform(pods: &[SocketAddr], memory_mb: usize) -> Sidecar {
    let services = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = services.local_addr().expect("an address");
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("config.json");
    let config = platform_config(pods, address, memory_mb);
    std::fs::write(&file, config.to_string()).expect("written");
    let mut command = command(&["platform"]);
    command.env("PROXY_CONFIG", &file);
    let mut sidecar = spawn(command);
    (sidecar._services, sidecar._folder) = (Some(services), Some(folder));
    sidecar
}

fn write_pods(folder: &Path, pods: &[SocketAddr]) {
    let listed = |(n, address): (usize, &SocketAddr)| ListedEndpoint {
        name: format!("p{n}"),
        address: *address,
        state: PodState::Running,
        build: 1,
        incarnation: 1,
        age: 600_000_000_000,
        zone: "z".to_string(),
        machine: "m".to_string(),
        cell: 0,
        size: 1.0,
    };
    let listed: Vec<_> = pods.iter().enumerate().map(listed).collect();
    std::fs::write(folder.join("pods"), encode_cached(&listed)).expect("written");
}

fn serve_settings(folder: &Path, rank: usize, more: &str, guard: &str) -> String {
    let times = format!(
        "target_latency = \"{OBJECTIVE_MS}ms\", client_timeout = \"{}ms\"",
        super::CLIENT_TIME_MS
    );
    format!(
        r#"
sidecar(name = "s-{rank}", instances = {GROUP}, rank = {rank}, zones = ["z"], zone = "z", machines = ["m"],
    listen = "127.0.0.1:0", admin = "127.0.0.1:0")
path_group(name = "read", paths = ["/read/*"], kind = "repeatable", {times}{guard})
path_group(name = "mark", paths = ["/mark/*"], kind = "tagged", repeat_window = "30s", {times}{guard})
path_group(name = "write", paths = ["/write/*"], kind = "mutating", {times}{guard})
limits(answer_margin = "20ms")
pods(drain_grace = "500ms", cold_share = 0.3, warm_up = "1s", fall_multiple = 3.0, fall_window = "2s",
    connect_time = "{CONNECT_TIMEOUT_MS}ms")
exposure(window = "6s", caps = [0.1, 1.0])
votes(control = "any", life = "6s")
nodes(address = "127.0.0.1:1", keep = "{folder}/pods")
desk(address = "127.0.0.1:1")
{more}
"#,
        folder = folder.display()
    )
}

fn spawn_serve(folder: &Path, rank: usize, more: &str, guard: &str) -> Sidecar {
    let file = folder.join(format!("s-{rank}.star"));
    std::fs::write(&file, serve_settings(folder, rank, more, guard)).expect("written");
    spawn(command(&["serve", file.to_str().expect("a path")]))
}

fn start_serve(pods: &[SocketAddr]) -> Sidecar {
    let folder = tempfile::tempdir().expect("a folder");
    write_pods(folder.path(), pods);
    let mut sidecar = spawn_serve(folder.path(), 0, "", "");
    sidecar._folder = Some(folder);
    sidecar
}

fn start_group(pods: &[SocketAddr]) -> Sidecar {
    let folder = tempfile::tempdir().expect("a folder");
    write_pods(folder.path(), pods);
    let keys = folder.path().join("keys");
    std::fs::write(&keys, "0123456789abcdef".repeat(4)).expect("written");
    let keys = keys.display();
    let launch = |rank: usize, meet: String| {
        let more = format!(
            "fellowship(listen = \"127.0.0.1:0\", {meet}keys = \"{keys}\", period = \"200ms\")\ntakeover()"
        );
        spawn_serve(folder.path(), rank, &more, ", guard = \"before-forward\"")
    };
    let mut first = launch(0, String::new());
    let seed = logged_address(&first.log, "fellowship", "listen=");
    let meet = format!("meet = [\"{seed}\"], ");
    let backups = (1..GROUP).map(|rank| launch(rank, meet.clone()));
    first.backups = backups.collect();
    let until = Instant::now() + START_TIMEOUT;
    while first.log_lines("member joined").len() < GROUP - 1 {
        assert!(Instant::now() < until, "{:?}", first.log_lines(""));
        thread::sleep(Duration::from_millis(5));
    }
    first._folder = Some(folder);
    first
}
