//! `havenplank bench`: what the sidecar costs beside a bare proxy, and what it does past its maximum.
//!
//! Pods, bare proxy and sidecar are child processes, so that each one's CPU time and memory are its own; the
//! load is an open loop on this thread, and a hit's time runs from when it was due, not from when it was sent.

use crate::write_json;
use anyhow::{bail, Context};
use bytes::Bytes;
use havenplank::port::PodState;
use havenplank_feeds::lines::hello;
use havenplank_feeds::nodes::{self, Listed};
use havenplank_stand::bare::{self, HOLD};
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::Request;
use hyper_util::rt::TokioIo;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, LocalOptions};
use tokio::task::{spawn_local, JoinSet, LocalSet};
use tokio::time::{sleep, sleep_until, Instant};

const PODS: usize = 4;
/// Hits that a small pod serves at once; with 20 ms a hit four of them do 1,000 a second.
const SLOTS: usize = 5;
/// Long times, so that hits may wait as long as a measurement of memory needs.
const SETTINGS: &str = r#"
sidecar(name = "bench", instances = 1, zones = ["z"], zone = "z", listen = "127.0.0.1:0", admin = "127.0.0.1:0")
path_group(name = "all", paths = ["/*"], kind = "repeatable", target_latency = given("target", "60s"), client_timeout = "120s")
limits(connections = 30000, hits = 30000)
pods(drain_grace = "500ms", cold_share = 0.3, warm_up = "5s", fall_multiple = 3, fall_window = "2s",
     connections = 20000, connect_time = "5s")
exposure(window = "6s", free = 3, caps = [0.5, 1])
votes(control = "any", life = "6s")
nodes(address = given("nodes", ""))
desk(address = given("nodes", ""))
trace(folder = given("trace", "") or None)
"#;

/// Runs one of the measured parts in this process, for the bench that started it.
pub fn part(kind: &str, pods: Vec<SocketAddr>) -> anyhow::Result<u8> {
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default())?;
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        println!("{}", listener.local_addr()?);
        match kind {
            "pod" => bare::pod(listener, None).await,
            "small-pod" => bare::pod(listener, Some(SLOTS)).await,
            "bare" if !pods.is_empty() => bare::proxy(listener, pods).await,
            _ => bail!("part {kind:?}: expected pod, or bare with pods"),
        }
        Ok(0)
    })
}

/// A child process that is ended with the bench.
struct Part {
    child: Child,
    at: SocketAddr,
}

impl Drop for Part {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn part_of(args: &[&str]) -> anyhow::Result<Part> {
    let program = std::env::current_exe()?;
    let mut child = Command::new(program).args(["bench-part"]).args(args).stdout(Stdio::piped()).spawn()?;
    let mut line = String::new();
    BufReader::new(child.stdout.take().context("its output")?).read_line(&mut line)?;
    let at = line.trim().parse().with_context(|| format!("{args:?} said {line:?}"))?;
    Ok(Part { child, at })
}

/// A sidecar whose list names these pods, as a child process.
fn sidecar(
    pods: &[Part],
    nodes: SocketAddr,
    target: &str,
    trace: Option<&Path>,
    folder: &Path,
) -> anyhow::Result<Part> {
    let settings = folder.join("bench.star");
    std::fs::write(&settings, SETTINGS)?;
    let program = std::env::current_exe()?;
    let trace = trace.map(|folder| folder.display().to_string()).unwrap_or_default();
    let mut command = Command::new(program);
    command.args(["--log-format", "json", "serve"]).arg(&settings).args(["--seed", "1"]);
    for (name, value) in [("nodes", nodes.to_string()), ("target", target.to_string()), ("trace", trace)] {
        command.args(["--given", &format!("{name}={value}")]);
    }
    let mut child = command.stderr(Stdio::piped()).spawn()?;
    let mut lines = BufReader::new(child.stderr.take().context("its log")?).lines();
    let at = loop {
        let line = lines.next().context("the sidecar ended before it listened")??;
        let said: serde_json::Value = serde_json::from_str(&line).context("its log")?;
        if said["fields"]["message"] == "listening" {
            break said["fields"]["listen"].as_str().unwrap_or_default().parse()?;
        }
    };
    // Whatever it says later must not fill its pipe.
    std::thread::spawn(move || lines.for_each(drop));
    debug_assert!(!pods.is_empty());
    Ok(Part { child, at })
}

/// The node list's service for the bench: one list for whoever comes.
async fn list(listener: TcpListener, pods: Vec<SocketAddr>) {
    let listed = |(n, address): (usize, &SocketAddr)| Listed {
        name: format!("pod-{n}"),
        address: *address,
        state: PodState::Running,
        build: 1,
        life: 1,
        age: 0,
        zone: "z".to_string(),
        machine: "m".to_string(),
        cell: 0,
        size: 1.0,
    };
    let pods: Vec<Listed> = pods.iter().enumerate().map(listed).collect();
    let mut text = hello(nodes::FEED, None);
    nodes::tell_list(&mut text, 1, true, &pods);
    let mut open = Vec::new();
    while let Ok((mut stream, _)) = listener.accept().await {
        let _ = stream.write_all(text.as_bytes()).await;
        open.push(stream);
    }
}

/// CPU time of a process, over all its threads, in nanoseconds.
fn cpu_ns(part: &Part) -> anyhow::Result<u64> {
    let mut sum = 0;
    for task in std::fs::read_dir(format!("/proc/{}/task", part.child.id()))? {
        let text = std::fs::read_to_string(task?.path().join("schedstat"))?;
        let ns = text.split(' ').next().and_then(|ns| ns.parse::<u64>().ok());
        sum += ns.context("schedstat: expected a number first")?;
    }
    Ok(sum)
}

/// Bytes of all files of a folder.
fn size_of(folder: &Path) -> anyhow::Result<u64> {
    let mut sum = 0;
    for file in std::fs::read_dir(folder)? {
        sum += file?.metadata()?.len();
    }
    Ok(sum)
}

/// Memory that a process holds, in bytes.
fn memory(part: &Part) -> anyhow::Result<u64> {
    let text = std::fs::read_to_string(format!("/proc/{}/status", part.child.id()))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).context("status: no VmRSS")?;
    let kb: u64 = line.trim().trim_end_matches(" kB").parse().context("VmRSS: expected kB")?;
    Ok(kb * 1024)
}

type Sender = SendRequest<Empty<Bytes>>;

/// Connections to one target, and what came back.
struct Load {
    at: SocketAddr,
    idle: RefCell<Vec<Sender>>,
    took_us: RefCell<Histogram<u64>>,
    delivered: Cell<u64>,
    bounced: Cell<u64>,
    failed: Cell<u64>,
}

impl Load {
    fn new(at: SocketAddr) -> anyhow::Result<Rc<Load>> {
        let took_us = RefCell::new(Histogram::new_with_bounds(1, 600_000_000, 3)?);
        let (delivered, bounced, failed) = (Cell::new(0), Cell::new(0), Cell::new(0));
        Ok(Rc::new(Load { at, idle: RefCell::default(), took_us, delivered, bounced, failed }))
    }

    async fn sender(&self) -> anyhow::Result<Sender> {
        let kept = self.idle.borrow_mut().pop();
        if let Some(mut sender) = kept {
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let stream = TcpStream::connect(self.at).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        spawn_local(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }

    async fn hit(&self, due: Instant, hold_ms: u64) {
        let asked = async {
            let mut sender = self.sender().await?;
            let request = Request::get("/x").header("host", "h").header(HOLD, hold_ms).body(Empty::new())?;
            let response = sender.send_request(request).await?;
            let status = response.status().as_u16();
            response.into_body().collect().await?;
            self.idle.borrow_mut().push(sender);
            Ok::<u16, anyhow::Error>(status)
        };
        let count = match asked.await {
            Ok(200) => {
                let _ = self.took_us.borrow_mut().record(due.elapsed().as_micros() as u64);
                &self.delivered
            }
            Ok(503) => &self.bounced,
            _ => &self.failed,
        };
        count.set(count.get() + 1);
    }

    /// Asks at a steady rate for a while, whatever comes back, and waits for the last.
    async fn open_loop(self: &Rc<Self>, rate: f64, length: Duration, hold_ms: u64) {
        let (began, mut out) = (Instant::now(), JoinSet::new());
        let count = (rate * length.as_secs_f64()) as u64;
        for n in 0..count {
            let due = began + Duration::from_secs_f64(n as f64 / rate);
            if due > Instant::now() {
                sleep_until(due).await;
            } else if n % 64 == 0 {
                tokio::task::yield_now().await;
            }
            let load = self.clone();
            out.spawn_local(async move { load.hit(due, hold_ms).await });
            while out.try_join_next().is_some() {}
        }
        while out.join_next().await.is_some() {}
    }
}

/// One target at one rate over all rounds.
struct Row {
    name: &'static str,
    load: Rc<Load>,
    cpu_ns: u64,
}

pub fn bench(what: &str, seconds: u64, rounds: u64, json: Option<&Path>) -> anyhow::Result<u8> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let folder = tempfile::tempdir()?;
    runtime.block_on(LocalSet::new().run_until(async {
        let kind = if what == "flood" { "small-pod" } else { "pod" };
        let pods: Vec<Part> = (0..PODS).map(|_| part_of(&[kind])).collect::<anyhow::Result<_>>()?;
        let addresses: Vec<SocketAddr> = pods.iter().map(|pod| pod.at).collect();
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let nodes = listener.local_addr()?;
        spawn_local(list(listener, addresses.clone()));
        let names: Vec<String> = addresses.iter().map(ToString::to_string).collect();
        let mut args = vec!["bare"];
        args.extend(names.iter().map(String::as_str));
        let bare = part_of(&args)?;
        let measured = match what {
            "proxy" => {
                let sidecar = sidecar(&pods, nodes, "60s", None, folder.path())?;
                let mut measured = Vec::new();
                for rate in [1_000.0, 8_000.0] {
                    let parts = [("straight", &pods[0]), ("bare", &bare), ("sidecar", &sidecar)];
                    measured.push(turns(rate, seconds, rounds, parts).await?);
                }
                println!();
                let memory = in_flights(&bare, &sidecar).await?;
                json!({ "rates": measured, "memory": memory })
            }
            "trace" => {
                let traces = folder.path().join("traces");
                let without = sidecar(&pods, nodes, "60s", None, folder.path())?;
                let recording = sidecar(&pods, nodes, "60s", Some(&traces), folder.path())?;
                let mut measured = Vec::new();
                for rate in [1_000.0, 8_000.0] {
                    let parts = [("straight", &pods[0]), ("without", &without), ("recording", &recording)];
                    let before = size_of(&traces)?;
                    let mut turn = turns(rate, seconds, rounds, parts).await?;
                    // The turn's hits, and those of the second that warmed up.
                    let hits = rate * (seconds * rounds + 1) as f64;
                    let bytes = (size_of(&traces)? - before) as f64 / hits;
                    println!("bytes_a_hit {bytes:.1}");
                    turn["bytes_a_hit"] = json!(bytes);
                    measured.push(turn);
                }
                json!({ "rates": measured })
            }
            "memory" => {
                let sidecar = sidecar(&pods, nodes, "60s", None, folder.path())?;
                json!({ "memory": in_flights(&bare, &sidecar).await? })
            }
            "flood" => {
                let sidecar = sidecar(&pods, nodes, "400ms", None, folder.path())?;
                flood(&sidecar, seconds).await?
            }
            _ => bail!("bench {what:?}: expected proxy, trace, trace-file, memory or flood"),
        };
        if let Some(file) = json {
            write_json(file, &measured)?;
        }
        Ok(0)
    }))
}

/// Straight to a pod, and by two ways that are compared, in turns: a machine that slows meanwhile slows all
/// three.
async fn turns(
    rate: f64,
    seconds: u64,
    rounds: u64,
    parts: [(&'static str, &Part); 3],
) -> anyhow::Result<serde_json::Value> {
    let mut rows = Vec::new();
    for (name, part) in parts {
        // Connections and the limit's room are there before it counts.
        let warm = Load::new(part.at)?;
        warm.open_loop(rate, Duration::from_secs(1), 0).await;
        let load = Load::new(part.at)?;
        load.idle.swap(&warm.idle);
        rows.push(Row { name, load, cpu_ns: 0 });
    }
    for _ in 0..rounds {
        for ((_, part), row) in parts.iter().zip(&mut rows) {
            let before = cpu_ns(part)?;
            row.load.open_loop(rate, Duration::from_secs(seconds), 0).await;
            row.cpu_ns += cpu_ns(part)? - before;
        }
    }
    println!("\n{rate} hits/s, {rounds} rounds of {seconds} s each");
    println!("through      p50 us   p99 us  cpu us a hit  delivered  bounced  failed");
    let us = |row: &Row, quantile| row.load.took_us.borrow().value_at_quantile(quantile);
    let cpu = |row: &Row| row.cpu_ns as f64 / 1e3 / row.load.delivered.get().max(1) as f64;
    for row in &rows {
        let Row { name, load, .. } = row;
        println!(
            "{name:<10} {:>8} {:>8} {:>13.1} {:>10} {:>8} {:>7}",
            us(row, 0.5),
            us(row, 0.99),
            cpu(row),
            load.delivered.get(),
            load.bounced.get(),
            load.failed.get()
        );
    }
    let added = |row: &Row, quantile| us(row, quantile) as i64 - us(&rows[0], quantile) as i64;
    let ratio = cpu(&rows[2]) / cpu(&rows[1]).max(1e-9);
    let (p50, p99) = (added(&rows[2], 0.5), added(&rows[2], 0.99));
    let other = rows[1].name;
    let (other_p50, other_p99) = (added(&rows[1], 0.5), added(&rows[1], 0.99));
    println!(
        "added_p50_us {p50} ({other} {other_p50})  added_p99_us {p99} ({other} {other_p99})  cpu_ratio {ratio:.3}"
    );
    Ok(json!({
        "rate_per_s": rate, "measured": rows[2].name, "beside": other, "added_p50_us": p50, "added_p99_us": p99,
        "beside_added_p50_us": other_p50, "beside_added_p99_us": other_p99, "cpu_ratio": ratio,
        "beside_cpu_us": cpu(&rows[1]), "cpu_us": cpu(&rows[2]), "bounced": rows[2].load.bounced.get(),
        "failed": rows[2].load.failed.get(),
    }))
}

async fn in_flights(bare: &Part, sidecar: &Part) -> anyhow::Result<Vec<serde_json::Value>> {
    Ok(vec![in_flight("bare", bare).await?, in_flight("sidecar", sidecar).await?])
}

/// Memory a hit that waits; 9,000 take 18,000 descriptors of a proxy, which is about what a process may have.
/// The sidecar lets more in only as answers prove that there is room, so the count
/// climbs with them.
async fn in_flight(name: &str, part: &Part) -> anyhow::Result<serde_json::Value> {
    const HOLD_MS: u64 = 500;
    const WAITS_MS: u64 = 8_000;
    let load = Load::new(part.at)?;
    load.open_loop(100.0, Duration::from_secs(1), 0).await;
    let before = memory(part)?;
    let out = Rc::new(Cell::new(0u64));
    let mut measured = Vec::new();
    for wanted in [1_000u64, 9_000] {
        let began = Instant::now();
        let mut tasks = JoinSet::new();
        loop {
            // Less than what the limit may hold by now, lest the ramp be bounced; the bare proxy gets the same.
            let holds = ((60.0 + 0.2 * load.delivered.get() as f64) * 0.7) as u64;
            if holds >= wanted {
                break;
            }
            for _ in out.get()..holds {
                let (load, out) = (load.clone(), out.clone());
                out.set(out.get() + 1);
                tasks.spawn_local(async move {
                    load.hit(Instant::now(), HOLD_MS).await;
                    out.set(out.get() - 1);
                });
            }
            while tasks.try_join_next().is_some() {}
            if began.elapsed() > Duration::from_secs(180) {
                bail!("{name}: room for {holds} of {wanted} hits after 180 s");
            }
            sleep(Duration::from_millis(10)).await;
        }
        while tasks.join_next().await.is_some() {}
        for n in 0..wanted {
            let (load, out) = (load.clone(), out.clone());
            out.set(out.get() + 1);
            tasks.spawn_local(async move {
                load.hit(Instant::now(), WAITS_MS).await;
                out.set(out.get() - 1);
            });
            // No faster than connections are accepted.
            if n % 50 == 0 {
                sleep(Duration::from_millis(5)).await;
            }
        }
        sleep(Duration::from_millis(1_000)).await;
        let held = out.get();
        let bytes = memory(part)?.saturating_sub(before) / held.max(1);
        println!("{name:<8} {held:>6} hits in flight: bytes_in_flight {bytes}");
        measured.push(json!({ "through": name, "hits_in_flight": held, "bytes_in_flight": bytes }));
        while tasks.join_next().await.is_some() {}
    }
    println!("{name:<8} bounced {} failed {}", load.bounced.get(), load.failed.get());
    Ok(json!(measured))
}

/// Three times what it delivers, for a while: what is delivered, what bounced, and the memory meanwhile.
async fn flood(sidecar: &Part, seconds: u64) -> anyhow::Result<serde_json::Value> {
    // Pods that take 20 ms, and a closed loop of more than they can hold, tell what can be done.
    const HOLD_MS: u64 = 20;
    let length = Duration::from_secs(seconds);
    let before = memory(sidecar)?;
    let load = Load::new(sidecar.at)?;
    let mut clients = JoinSet::new();
    let until = Instant::now() + length;
    for _ in 0..100 {
        let load = load.clone();
        clients.spawn_local(async move {
            while Instant::now() < until {
                let bounced = load.bounced.get();
                load.hit(Instant::now(), HOLD_MS).await;
                if load.bounced.get() > bounced {
                    sleep(Duration::from_millis(20)).await;
                }
            }
        });
    }
    while clients.join_next().await.is_some() {}
    let most = load.delivered.get() as f64 / length.as_secs_f64();
    let flooded = Load::new(sidecar.at)?;
    flooded.idle.swap(&load.idle);
    let peak = Rc::new(Cell::new(0u64));
    let asked = flooded.clone();
    let mut flood = spawn_local(async move { asked.open_loop(3.0 * most, length, HOLD_MS).await });
    loop {
        tokio::select! {
            _ = &mut flood => break,
            () = sleep(Duration::from_millis(100)) => peak.set(peak.get().max(memory(sidecar)?)),
        }
    }
    let took = |quantile| flooded.took_us.borrow().value_at_quantile(quantile);
    sleep(Duration::from_secs(2)).await;
    let after = memory(sidecar)?;
    let (delivered, bounced, failed) = (flooded.delivered.get(), flooded.bounced.get(), flooded.failed.get());
    println!("it can do {most:.0} hits/s; asked for {:.0}/s over {seconds} s:", 3.0 * most);
    println!(
        "delivered {delivered}, bounced {bounced}, failed {failed}, p50 {} us, p99 {} us",
        took(0.5),
        took(0.99)
    );
    println!("memory_bytes before {before}, during {}, after {after}", peak.get());
    Ok(json!({
        "can_do_per_s": most, "asked_per_s": 3.0 * most, "delivered": delivered, "bounced": bounced,
        "failed": failed, "took_p50_us": took(0.5), "took_p99_us": took(0.99),
        "memory_before_bytes": before, "memory_peak_bytes": peak.get(), "memory_after_bytes": after,
    }))
}
