//! Child processes of the benches (pods, bare proxy and sidecar), and the endpoint list that the sidecar watches.

use anyhow::{bail, Context};
use havenplank::interface::PodState;
use havenplank_emulator::baseline;
use havenplank_line_protocol::codec::greeting;
use havenplank_line_protocol::endpoint_list::{self, ListedEndpoint};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, LocalOptions};
use tokio::task::JoinSet;

/// Requests that a small pod serves at the same time. At 20 ms per request, four such pods serve 1,000 requests/s.
const SMALL_POD_SLOTS: usize = 5;
const ANY_PORT: &str = "127.0.0.1:0";

/// Runs pods or a bare proxy in this process, for the bench that started it. Prints the addresses on which they listen.
///
/// # Errors
/// An unknown kind, and addresses that cannot be bound.
pub fn run_part(kind: &str, addresses: Vec<SocketAddr>) -> anyhow::Result<u8> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build_local(LocalOptions::default())?;
    runtime.block_on(async {
        if kind == "pods" {
            return serve_pods(&addresses).await;
        }
        let listener = TcpListener::bind(ANY_PORT).await?;
        println!("{}", listener.local_addr()?);
        match kind {
            "pod" => baseline::pod(listener, None).await,
            "small-pod" => baseline::pod(listener, Some(SMALL_POD_SLOTS)).await,
            "bare" if !addresses.is_empty() => baseline::proxy(listener, addresses).await,
            _ => bail!(
                "part {kind:?}: expected pod, small-pod, pods with addresses, or bare with pods"
            ),
        }
        Ok(0)
    })
}

/// Serves one pod on each address.
async fn serve_pods(addresses: &[SocketAddr]) -> anyhow::Result<u8> {
    let mut pods = JoinSet::new();
    let mut bound = Vec::new();
    for address in addresses {
        let listener = TcpListener::bind(address)
            .await
            .with_context(|| address.to_string())?;
        bound.push(listener.local_addr()?.to_string());
        pods.spawn_local(baseline::pod(listener, None));
    }
    println!("{}", bound.join(" "));
    while pods.join_next().await.is_some() {}
    Ok(0)
}

/// A child process. Dropping the value kills the process.
pub struct Process {
    child: Child,
    /// The first address on which the process listens.
    pub address: SocketAddr,
    /// All addresses on which the process listens.
    pub addresses: Vec<SocketAddr>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Starts this program as pods or as a bare proxy, and waits until the process listens.
    pub fn start_part(args: &[&str]) -> anyhow::Result<Process> {
        let program = std::env::current_exe()?;
        let mut child = Command::new(program)
            .args(["bench-part"])
            .args(args)
            .stdout(Stdio::piped())
            .spawn()?;
        let mut line = String::new();
        BufReader::new(
            child
                .stdout
                .take()
                .context("a part has no standard output")?,
        )
        .read_line(&mut line)?;
        let addresses: Vec<SocketAddr> = line
            .split_whitespace()
            .map(|address| {
                address
                    .parse()
                    .with_context(|| format!("a part printed {line:?}; expected addresses"))
            })
            .collect::<anyhow::Result<_>>()?;
        let address = *addresses
            .first()
            .context("a part printed no address; expected at least one")?;
        Ok(Process {
            child,
            address,
            addresses,
        })
    }

    /// Starts a sidecar with this settings script, and waits until it listens.
    pub fn start_sidecar(
        settings: &str,
        given: &[(&str, String)],
        folder: &Path,
    ) -> anyhow::Result<Process> {
        let file = folder.join("bench.star");
        std::fs::write(&file, settings)?;
        let mut command = Command::new(std::env::current_exe()?);
        command
            .args(["--log-format", "json", "serve"])
            .arg(&file)
            .args(["--seed", "1"]);
        for (name, value) in given {
            command.args(["--given", &format!("{name}={value}")]);
        }
        let mut child = command.stderr(Stdio::piped()).spawn()?;
        let mut lines = BufReader::new(
            child
                .stderr
                .take()
                .context("the sidecar has no standard error")?,
        )
        .lines();
        let address = loop {
            let line = lines
                .next()
                .context("the sidecar ended before it listened")??;
            let entry: serde_json::Value =
                serde_json::from_str(&line).context("log of the sidecar")?;
            if entry["fields"]["message"] == "listening" {
                break entry["fields"]["listen"]
                    .as_str()
                    .unwrap_or_default()
                    .parse()?;
            }
        };
        // Later log lines are read and dropped: a full pipe would block the sidecar.
        std::thread::spawn(move || lines.for_each(drop));
        Ok(Process {
            child,
            address,
            addresses: vec![address],
        })
    }

    /// Returns the CPU time of all threads so far, in nanoseconds.
    pub fn cpu_ns(&self) -> anyhow::Result<u64> {
        let mut sum = 0;
        for task in std::fs::read_dir(format!("/proc/{}/task", self.child.id()))? {
            let text = std::fs::read_to_string(task?.path().join("schedstat"))?;
            let ns = text.split(' ').next().and_then(|ns| ns.parse::<u64>().ok());
            sum += ns.context("schedstat: expected a number in the first field")?;
        }
        Ok(sum)
    }

    /// Returns the number of open files and sockets.
    pub fn open_descriptors(&self) -> anyhow::Result<usize> {
        Ok(std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))?.count())
    }

    /// Returns the resident memory, in bytes.
    pub fn resident_bytes(&self) -> anyhow::Result<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .context("status: found no line VmRSS")?;
        let kb: u64 = line
            .trim()
            .trim_end_matches(" kB")
            .parse()
            .context("VmRSS: expected a number of kB")?;
        Ok(kb * 1024)
    }
}

/// Returns a list of running pods of one zone at these addresses.
pub fn listed_pods(addresses: &[SocketAddr]) -> Vec<ListedEndpoint> {
    let pod = |(number, address): (usize, &SocketAddr)| ListedEndpoint {
        name: format!("pod-{number}"),
        address: *address,
        state: PodState::Running,
        build: 1,
        incarnation: 1,
        age: 0,
        zone: "z".to_string(),
        machine: "m".to_string(),
        cell: 0,
        size: 1.0,
    };
    addresses.iter().enumerate().map(pod).collect()
}

/// Emulates service discovery: sends the same list to every client and keeps the connection open.
pub async fn serve_endpoint_list(listener: TcpListener, pods: Vec<ListedEndpoint>) {
    let mut text = greeting(endpoint_list::PROTOCOL, None);
    endpoint_list::write_list(&mut text, 1, true, &pods);
    let mut connections = Vec::new();
    while let Ok((mut stream, _)) = listener.accept().await {
        let _ = stream.write_all(text.as_bytes()).await;
        connections.push(stream);
    }
}
