//! Child processes of the benches: pods, bare proxy and sidecar, and the node list that the sidecar follows.

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

/// Requests that a small pod serves at once; with 20 ms a request four of them do 1,000 a second.
const SMALL_POD_SLOTS: usize = 5;
const ANY_PORT: &str = "127.0.0.1:0";

/// Runs a measured part in this process, for the bench that started it, and prints the addresses it listens on.
pub fn part(kind: &str, addresses: Vec<SocketAddr>) -> anyhow::Result<u8> {
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

/// A child process that is ended with the bench.
pub struct Process {
    child: Child,
    /// The first address that it listens on.
    pub address: SocketAddr,
    /// All addresses that it listens on.
    pub addresses: Vec<SocketAddr>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Starts this program as a measured part.
    pub fn part(args: &[&str]) -> anyhow::Result<Process> {
        let program = std::env::current_exe()?;
        let mut child = Command::new(program)
            .args(["bench-part"])
            .args(args)
            .stdout(Stdio::piped())
            .spawn()?;
        let mut line = String::new();
        BufReader::new(child.stdout.take().context("its output")?).read_line(&mut line)?;
        let addresses: Vec<SocketAddr> = line
            .split_whitespace()
            .map(|address| {
                address
                    .parse()
                    .with_context(|| format!("a part said {line:?}"))
            })
            .collect::<anyhow::Result<_>>()?;
        let address = *addresses
            .first()
            .context("a part ended before it listened")?;
        Ok(Process {
            child,
            address,
            addresses,
        })
    }

    /// Starts a sidecar with this settings script, and waits until it listens.
    pub fn sidecar(
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
        let mut lines = BufReader::new(child.stderr.take().context("its log")?).lines();
        let address = loop {
            let line = lines
                .next()
                .context("the sidecar ended before it listened")??;
            let entry: serde_json::Value = serde_json::from_str(&line).context("its log")?;
            if entry["fields"]["message"] == "listening" {
                break entry["fields"]["listen"]
                    .as_str()
                    .unwrap_or_default()
                    .parse()?;
            }
        };
        // Whatever it logs later must not fill its pipe.
        std::thread::spawn(move || lines.for_each(drop));
        Ok(Process {
            child,
            address,
            addresses: vec![address],
        })
    }

    /// CPU time over all threads, in nanoseconds.
    pub fn cpu_ns(&self) -> anyhow::Result<u64> {
        let mut sum = 0;
        for task in std::fs::read_dir(format!("/proc/{}/task", self.child.id()))? {
            let text = std::fs::read_to_string(task?.path().join("schedstat"))?;
            let ns = text.split(' ').next().and_then(|ns| ns.parse::<u64>().ok());
            sum += ns.context("schedstat: expected a number first")?;
        }
        Ok(sum)
    }

    /// Open files and sockets.
    pub fn open_descriptors(&self) -> anyhow::Result<usize> {
        Ok(std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))?.count())
    }

    /// Resident memory, in bytes.
    pub fn resident_bytes(&self) -> anyhow::Result<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .context("status: no VmRSS")?;
        let kb: u64 = line
            .trim()
            .trim_end_matches(" kB")
            .parse()
            .context("VmRSS: expected kB")?;
        Ok(kb * 1024)
    }
}

/// Running pods of one zone at these addresses.
pub fn listed(addresses: &[SocketAddr]) -> Vec<ListedEndpoint> {
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

/// Stands in for service discovery: sends the same list to every follower and keeps its connection open.
pub async fn serve_node_list(listener: TcpListener, pods: Vec<ListedEndpoint>) {
    let mut text = greeting(endpoint_list::PROTOCOL, None);
    endpoint_list::write_list(&mut text, 1, true, &pods);
    let mut open = Vec::new();
    while let Ok((mut stream, _)) = listener.accept().await {
        let _ = stream.write_all(text.as_bytes()).await;
        open.push(stream);
    }
}
