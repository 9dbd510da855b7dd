//! `havenplank bench`: what the sidecar costs beside a bare proxy, and what it does past its maximum.
//!
//! Pods, bare proxy and sidecar are child processes, so that each one's CPU time and memory are its own.

pub mod load;
pub mod processes;

pub use processes::part;

use crate::{bench_capacity, bench_takeover, bench_trace, write_json};
use anyhow::bail;
use load::Load;
use processes::{serve_node_list, Process};
use serde_json::json;
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::task::{spawn_local, JoinSet, LocalSet};
use tokio::time::{sleep, Instant};

const PODS: usize = 4;
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

/// A sidecar of the bench's own settings, as a child process.
fn sidecar(
    nodes: SocketAddr,
    target: &str,
    trace: Option<&Path>,
    folder: &Path,
) -> anyhow::Result<Process> {
    let trace = trace
        .map(|folder| folder.display().to_string())
        .unwrap_or_default();
    let given = [
        ("nodes", nodes.to_string()),
        ("target", target.to_string()),
        ("trace", trace),
    ];
    Process::sidecar(SETTINGS, &given, folder)
}

/// Bytes of all files of a folder.
fn size_of(folder: &Path) -> anyhow::Result<u64> {
    let mut sum = 0;
    for file in std::fs::read_dir(folder)? {
        sum += file?.metadata()?.len();
    }
    Ok(sum)
}

/// One target at one rate over all rounds.
struct Row {
    name: &'static str,
    load: Rc<Load>,
    cpu_ns: u64,
}

/// Arguments of `havenplank bench`.
#[derive(clap::Args)]
pub struct BenchArgs {
    #[arg(value_name = "BENCH")]
    bench: String,
    /// Scale tests to run, of `capacity`; may be repeated, all of them where it is left out.
    #[arg(long, value_enum, value_name = "PART")]
    what: Vec<bench_capacity::Part>,
    /// Smaller sizes of `capacity`, in a minute or two.
    #[arg(long)]
    quick: bool,
    /// Length of each measured turn.
    #[arg(long, default_value_t = 4)]
    seconds: u64,
    #[arg(long, default_value_t = 3)]
    rounds: u64,
    /// Requests of the long recording.
    #[arg(long, default_value_t = 1_000_000)]
    hits: u64,
    /// Sidecars killed, one after the other.
    #[arg(long, default_value_t = 200)]
    kills: usize,
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

/// Runs the bench that the arguments name.
///
/// # Errors
/// An unknown bench, processes that cannot be started, and a failed measurement.
pub fn run(args: BenchArgs) -> anyhow::Result<u8> {
    let json = args.json.as_deref();
    match args.bench.as_str() {
        "capacity" => bench_capacity::bench(&args.what, args.quick, json),
        "trace-file" => bench_trace::bench(args.hits, json),
        "takeover" => bench_takeover::bench(args.seconds, args.kills, json),
        "growth" => bench_takeover::growth(args.seconds, json),
        other => bench(other, args.seconds, args.rounds, json),
    }
}

fn bench(what: &str, seconds: u64, rounds: u64, json: Option<&Path>) -> anyhow::Result<u8> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let folder = tempfile::tempdir()?;
    runtime.block_on(LocalSet::new().run_until(async {
        let kind = if what == "flood" { "small-pod" } else { "pod" };
        let pods: Vec<Process> = (0..PODS).map(|_| Process::part(&[kind])).collect::<anyhow::Result<_>>()?;
        let addresses: Vec<SocketAddr> = pods.iter().map(|pod| pod.address).collect();
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let nodes = listener.local_addr()?;
        spawn_local(serve_node_list(listener, processes::listed(&addresses)));
        let names: Vec<String> = addresses.iter().map(ToString::to_string).collect();
        let mut args = vec!["bare"];
        args.extend(names.iter().map(String::as_str));
        let bare = Process::part(&args)?;
        let measured = match what {
            "proxy" => {
                let sidecar = sidecar(nodes, "60s", None, folder.path())?;
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
                let without = sidecar(nodes, "60s", None, folder.path())?;
                let recording = sidecar(nodes, "60s", Some(&traces), folder.path())?;
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
                let sidecar = sidecar(nodes, "60s", None, folder.path())?;
                json!({ "memory": in_flights(&bare, &sidecar).await? })
            }
            "flood" => {
                let sidecar = sidecar(nodes, "400ms", None, folder.path())?;
                flood(&sidecar, seconds).await?
            }
            _ => bail!("bench {what:?}: expected proxy, trace, trace-file, memory, flood, takeover, growth or capacity"),
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
    parts: [(&'static str, &Process); 3],
) -> anyhow::Result<serde_json::Value> {
    let mut rows = Vec::new();
    for (name, part) in parts {
        // Connections and the limit's room are there before it counts.
        let warm = Load::new(part.address)?;
        warm.open_loop(rate, Duration::from_secs(1), 0).await;
        let load = Load::new(part.address)?;
        load.take_connections(&warm);
        rows.push(Row {
            name,
            load,
            cpu_ns: 0,
        });
    }
    for _ in 0..rounds {
        for ((_, part), row) in parts.iter().zip(&mut rows) {
            let before = part.cpu_ns()?;
            row.load
                .open_loop(rate, Duration::from_secs(seconds), 0)
                .await;
            row.cpu_ns += part.cpu_ns()? - before;
        }
    }
    println!("\n{rate} hits/s, {rounds} rounds of {seconds} s each");
    println!("through      p50 us   p99 us  cpu us a hit  delivered  bounced  failed");
    let us = |row: &Row, quantile| row.load.quantile_us(quantile);
    let cpu = |row: &Row| row.cpu_ns as f64 / 1e3 / row.load.succeeded.get().max(1) as f64;
    for row in &rows {
        let Row { name, load, .. } = row;
        println!(
            "{name:<10} {:>8} {:>8} {:>13.1} {:>10} {:>8} {:>7}",
            us(row, 0.5),
            us(row, 0.99),
            cpu(row),
            load.succeeded.get(),
            load.rejected.get(),
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
        "beside_cpu_us": cpu(&rows[1]), "cpu_us": cpu(&rows[2]), "bounced": rows[2].load.rejected.get(),
        "failed": rows[2].load.failed.get(),
    }))
}

async fn in_flights(bare: &Process, sidecar: &Process) -> anyhow::Result<Vec<serde_json::Value>> {
    Ok(vec![
        in_flight("bare", bare).await?,
        in_flight("sidecar", sidecar).await?,
    ])
}

/// Memory a hit that waits; 9,000 take 18,000 descriptors of a proxy, which is about what a process may have.
/// The sidecar lets more in only as answers prove that there is room, so the count
/// climbs with them.
async fn in_flight(name: &str, part: &Process) -> anyhow::Result<serde_json::Value> {
    const HOLD_MS: u64 = 500;
    const WAITS_MS: u64 = 8_000;
    let load = Load::new(part.address)?;
    load.open_loop(100.0, Duration::from_secs(1), 0).await;
    let before = part.resident_bytes()?;
    let out = Rc::new(Cell::new(0u64));
    let mut measured = Vec::new();
    for wanted in [1_000u64, 9_000] {
        let began = Instant::now();
        let mut tasks = JoinSet::new();
        loop {
            // Less than what the limit may hold by now, lest the ramp be bounced; the bare proxy gets the same.
            let holds = ((60.0 + 0.2 * load.succeeded.get() as f64) * 0.7) as u64;
            if holds >= wanted {
                break;
            }
            for _ in out.get()..holds {
                let (load, out) = (load.clone(), out.clone());
                out.set(out.get() + 1);
                tasks.spawn_local(async move {
                    load.request(Instant::now(), HOLD_MS).await;
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
                load.request(Instant::now(), WAITS_MS).await;
                out.set(out.get() - 1);
            });
            // No faster than connections are accepted.
            if n % 50 == 0 {
                sleep(Duration::from_millis(5)).await;
            }
        }
        sleep(Duration::from_millis(1_000)).await;
        let held = out.get();
        let bytes = part.resident_bytes()?.saturating_sub(before) / held.max(1);
        println!("{name:<8} {held:>6} hits in flight: bytes_in_flight {bytes}");
        measured.push(json!({ "through": name, "hits_in_flight": held, "bytes_in_flight": bytes }));
        while tasks.join_next().await.is_some() {}
    }
    println!(
        "{name:<8} bounced {} failed {}",
        load.rejected.get(),
        load.failed.get()
    );
    Ok(json!(measured))
}

/// Three times what it delivers, for a while: what is delivered, what bounced, and the memory meanwhile.
async fn flood(sidecar: &Process, seconds: u64) -> anyhow::Result<serde_json::Value> {
    // Pods that take 20 ms, and a closed loop of more than they can hold, tell what can be done.
    const HOLD_MS: u64 = 20;
    let length = Duration::from_secs(seconds);
    let before = sidecar.resident_bytes()?;
    let load = Load::new(sidecar.address)?;
    let mut clients = JoinSet::new();
    let until = Instant::now() + length;
    for _ in 0..100 {
        let load = load.clone();
        clients.spawn_local(async move {
            while Instant::now() < until {
                let bounced = load.rejected.get();
                load.request(Instant::now(), HOLD_MS).await;
                if load.rejected.get() > bounced {
                    sleep(Duration::from_millis(20)).await;
                }
            }
        });
    }
    while clients.join_next().await.is_some() {}
    let most = load.succeeded.get() as f64 / length.as_secs_f64();
    let flooded = Load::new(sidecar.address)?;
    flooded.take_connections(&load);
    let peak = Rc::new(Cell::new(0u64));
    let asked = flooded.clone();
    let mut flood = spawn_local(async move { asked.open_loop(3.0 * most, length, HOLD_MS).await });
    loop {
        tokio::select! {
            _ = &mut flood => break,
            () = sleep(Duration::from_millis(100)) => peak.set(peak.get().max(sidecar.resident_bytes()?)),
        }
    }
    let took = |quantile| flooded.quantile_us(quantile);
    sleep(Duration::from_secs(2)).await;
    let after = sidecar.resident_bytes()?;
    let (delivered, bounced, failed) = (
        flooded.succeeded.get(),
        flooded.rejected.get(),
        flooded.failed.get(),
    );
    println!(
        "it can do {most:.0} hits/s; asked for {:.0}/s over {seconds} s:",
        3.0 * most
    );
    println!(
        "delivered {delivered}, bounced {bounced}, failed {failed}, p50 {} us, p99 {} us",
        took(0.5),
        took(0.99)
    );
    println!(
        "memory_bytes before {before}, during {}, after {after}",
        peak.get()
    );
    Ok(json!({
        "can_do_per_s": most, "asked_per_s": 3.0 * most, "delivered": delivered, "bounced": bounced,
        "failed": failed, "took_p50_us": took(0.5), "took_p99_us": took(0.99),
        "memory_before_bytes": before, "memory_peak_bytes": peak.get(), "memory_after_bytes": after,
    }))
}
