//! A process of `havenplank platform` between pods on threads of the test.
#![allow(dead_code, reason = "each test file uses only some of these items")]

use havenplank_emulator::scripted::{configuration, entry, header};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener as StdTcpListener};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

pub const MS: Duration = Duration::from_millis(1);
pub const KIB: usize = 1 << 10;
/// The limit on any body of the protocol.
pub const BODY_BYTES: usize = 64 * KIB;
pub const MEMORY_MB: usize = 32;
pub const CLIENT_TIME_MS: u64 = 3000;
pub const DESCRIPTORS: usize = 1024;
/// What pods send nevertheless.
const LARGE_RESPONSE_BYTES: usize = 400 * KIB;
/// Pods that listen. A longer list names each several times.
pub const PODS: usize = 14;

/// Returns the head of a request.
pub fn head(line: &str, id: &str, fields: &str) -> String {
    format!("{line} HTTP/1.1\r\nhost: h\r\nx-correlation-id: {id}\r\nx-time-left-ms: {CLIENT_TIME_MS}\r\n{fields}\r\n")
}

/// Runs work that may spawn local tasks on this thread.
pub fn run_locally(work: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(work));
}

/// Starts pods on a thread of their own, which runs as long as the test process, and returns their addresses.
pub fn start_pods(work: Duration) -> Vec<SocketAddr> {
    let listeners: Vec<StdTcpListener> = (0..PODS)
        .map(|_| StdTcpListener::bind("127.0.0.1:0").expect("a port"))
        .collect();
    let addresses = listeners
        .iter()
        .map(|listener| listener.local_addr().expect("an address"));
    let addresses = addresses.collect();
    thread::spawn(move || {
        run_locally(async move {
            for listener in listeners {
                listener.set_nonblocking(true).expect("a mode");
                let listener = TcpListener::from_std(listener).expect("a listener");
                spawn_local(run_pod(listener, work));
            }
            std::future::pending::<()>().await;
        });
    });
    addresses
}

async fn run_pod(listener: TcpListener, work: Duration) {
    while let Ok((stream, _)) = listener.accept().await {
        spawn_local(async move {
            // The sidecar may close the connection at any time.
            let _ = serve_pod_connection(stream, work).await;
        });
    }
}

async fn serve_pod_connection(stream: TcpStream, work: Duration) -> std::io::Result<()> {
    let mut stream = tokio::io::BufStream::new(stream);
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await?);
        }
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let body_bytes = header(&head, "content-length").map_or(Ok(0), str::parse);
        let mut body = vec![0; body_bytes.unwrap_or(0)];
        stream.read_exact(&mut body).await?;
        sleep(work).await;
        stream.write_all(pod_response(&head).as_bytes()).await?;
        stream.flush().await?;
    }
}

fn pod_response(head: &str) -> String {
    let sized = |bytes: usize| {
        let body = "y".repeat(bytes);
        format!("HTTP/1.1 200 OK\r\ncontent-length: {bytes}\r\n\r\n{body}")
    };
    if head.contains("/small") {
        sized(2)
    } else if head.contains("/read/large") {
        sized(LARGE_RESPONSE_BYTES)
    } else if head.contains("/read/chunked") {
        let chunks = format!("1000\r\n{}\r\n", "y".repeat(0x1000)).repeat(16);
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunks}0\r\n\r\n")
    } else if head.contains("/read/endless") {
        format!("HTTP/1.1 200 OK\r\nx-long: {}", "h".repeat(16_000))
    } else {
        sized(BODY_BYTES)
    }
}

fn config(pods: &[SocketAddr], listed: usize, discovery: SocketAddr) -> Value {
    let addresses = pods.iter().cycle().take(listed).enumerate();
    let entries: Vec<Value> = addresses
        .map(|(n, address)| entry(&format!("p{n}"), *address, 7, "active"))
        .collect();
    let mut config = configuration(discovery, discovery, &entries);
    config["limits"] = json!({"memory_mb": MEMORY_MB, "sockets": DESCRIPTORS, "cores": 1.0});
    for class in config["settings"]["classes"]
        .as_array_mut()
        .expect("classes")
    {
        class["onTimeNs"] = json!(2_000_000_000u64);
        class["giveUpNs"] = json!(3_000_000_000u64);
    }
    config
}

/// A process of `havenplank platform`, killed when it is dropped.
pub struct Sidecar {
    process: Child,
    pub address: SocketAddr,
    /// Neither discovery nor the control plane ever answers here.
    _services: StdTcpListener,
    _folder: tempfile::TempDir,
}

impl Sidecar {
    /// Starts a sidecar with a list of so many pods.
    pub fn start(pods: &[SocketAddr], listed: usize) -> Sidecar {
        let services = StdTcpListener::bind("127.0.0.1:0").expect("a port");
        let config = config(pods, listed, services.local_addr().expect("an address"));
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("config.json");
        std::fs::write(&file, config.to_string()).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_havenplank"));
        command
            .arg("platform")
            .env("PROXY_CONFIG", &file)
            .stderr(Stdio::piped());
        let mut process = command.spawn().expect("the program starts");
        let mut log = BufReader::new(process.stderr.take().expect("standard error")).lines();
        let listening = log.find_map(|line| {
            let line = line.expect("text");
            let (_, rest) = line.split_once(" listen=")?;
            rest.split(' ').next()?.parse().ok()
        });
        // A full pipe would hold up the sidecar.
        thread::spawn(move || log.for_each(drop));
        Sidecar {
            process,
            address: listening.expect("a line with the address"),
            _services: services,
            _folder: folder,
        }
    }

    /// Makes the process read its configuration again.
    pub fn reload(&self) {
        let pid = Pid::from_child(&self.process);
        kill_process(pid, Signal::HUP).expect("the sidecar runs");
    }

    /// Returns the number of file descriptors that the process has open.
    pub fn descriptors(&self) -> usize {
        let folder = std::fs::read_dir(format!("/proc/{}/fd", self.process.id()));
        folder.expect("the sidecar runs").count()
    }

    /// Returns the memory of the process that no file backs, in bytes. Fails if the process has ended.
    pub fn anonymous_bytes(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.id()));
        let status = status.expect("a status");
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"));
        let line = line.expect("the sidecar runs");
        let kib: usize = line
            .trim()
            .trim_end_matches("kB")
            .trim()
            .parse()
            .expect("a number");
        kib * KIB
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
