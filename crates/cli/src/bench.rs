//! `havenplank bench`: measures the cost of the sidecar compared with a bare proxy, and its behaviour under overload.
//!
//! Pods, bare proxy and sidecar are child processes, so that CPU time and memory are measured for each of them.

pub mod load;
pub mod processes;

pub use processes::run_part;

use crate::{bench_capacity, bench_takeover, bench_trace, write_json};
use anyhow::bail;
use load::Load;
use processes::{serve_endpoint_list, Process};
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

/// Number of pod processes.
const PODS: usize = 4;
/// Settings of the measured sidecar. The time-outs are long, since requests wait while memory is measured.
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

/// Starts a sidecar with `SETTINGS` as a child process.
fn start_sidecar(
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
    Process::start_sidecar(SETTINGS, &given, folder)
}

/// Returns the total size of the files in a folder, in bytes.
fn folder_bytes(folder: &Path) -> anyhow::Result<u64> {
    let mut sum = 0;
    for file in std::fs::read_dir(folder)? {
        sum += file?.metadata()?.len();
    }
    Ok(sum)
}

/// Measurements of one target at one rate over all rounds.
struct Row {
    name: &'static str,
    load: Rc<Load>,
    cpu_ns: u64,
}

/// Arguments of `havenplank bench`.
#[derive(clap::Args)]
pub struct BenchArgs {
    /// Bench to run, one of those in the description.
    #[arg(value_name = "BENCH")]
    bench: String,
    /// Scale test that `capacity` runs; may be repeated. By default all of them run.
    #[arg(long, value_enum, value_name = "PART")]
    what: Vec<bench_capacity::ScaleTest>,
    /// Run `capacity` at smaller sizes, which takes a minute or two.
    #[arg(long)]
    quick: bool,
    /// Length of each measured turn, in seconds.
    #[arg(long, default_value_t = 4)]
    seconds: u64,
    /// Number of rounds, in each of which every target has one turn.
    #[arg(long, default_value_t = 3)]
    rounds: u64,
    /// Number of requests in the recording of `trace-file`.
    #[arg(long = "hits", value_name = "HITS", default_value_t = 1_000_000)]
    requests: u64,
    /// Number of sidecars that `takeover` kills, one after the other.
    #[arg(long, default_value_t = 200)]
    kills: usize,
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

/// Runs the bench that the arguments select.
///
/// # Errors
/// An unknown bench, processes that cannot be started, and a failed measurement.
pub fn run(args: BenchArgs) -> anyhow::Result<u8> {
    let json = args.json.as_deref();
    match args.bench.as_str() {
        "capacity" => bench_capacity::bench(&args.what, args.quick, json),
        "trace-file" => bench_trace::bench(args.requests, json),
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
        let pods: Vec<Process> = (0..PODS).map(|_| Process::start_part(&[kind])).collect::<anyhow::Result<_>>()?;
        let addresses: Vec<SocketAddr> = pods.iter().map(|pod| pod.address).collect();
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let nodes = listener.local_addr()?;
        spawn_local(serve_endpoint_list(listener, processes::listed_pods(&addresses)));
        let names: Vec<String> = addresses.iter().map(ToString::to_string).collect();
        let mut args = vec!["bare"];
        args.extend(names.iter().map(String::as_str));
        let bare = Process::start_part(&args)?;
        let measured = match what {
            "proxy" => {
                let sidecar = start_sidecar(nodes, "60s", None, folder.path())?;
                let mut measured = Vec::new();
                for rate in [1_000.0, 8_000.0] {
                    let targets = [("straight", &pods[0]), ("bare", &bare), ("sidecar", &sidecar)];
                    measured.push(measure_in_turns(rate, seconds, rounds, targets).await?);
                }
                println!();
                let memory = measure_memory_of_both(&bare, &sidecar).await?;
                json!({ "rates": measured, "memory": memory })
            }
            "trace" => {
                let traces = folder.path().join("traces");
                let without = start_sidecar(nodes, "60s", None, folder.path())?;
                let recording = start_sidecar(nodes, "60s", Some(&traces), folder.path())?;
                let mut measured = Vec::new();
                for rate in [1_000.0, 8_000.0] {
                    let targets = [("straight", &pods[0]), ("without", &without), ("recording", &recording)];
                    let before = folder_bytes(&traces)?;
                    let mut turn = measure_in_turns(rate, seconds, rounds, targets).await?;
                    // The requests of the turns, and those of the one-second warm-up.
                    let requests = rate * (seconds * rounds + 1) as f64;
                    let bytes = (folder_bytes(&traces)? - before) as f64 / requests;
                    println!("bytes_a_hit {bytes:.1}");
                    turn["bytes_a_hit"] = json!(bytes);
                    measured.push(turn);
                }
                json!({ "rates": measured })
            }
            "memory" => {
                let sidecar = start_sidecar(nodes, "60s", None, folder.path())?;
                json!({ "memory": measure_memory_of_both(&bare, &sidecar).await? })
            }
            "flood" => {
                let sidecar = start_sidecar(nodes, "400ms", None, folder.path())?;
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

/// Measures a pod without a proxy, and two proxies that are compared. The three take turns, so that a machine that
/// slows down in between slows all three.
async fn measure_in_turns(
    rate: f64,
    seconds: u64,
    rounds: u64,
    targets: [(&'static str, &Process); 3],
) -> anyhow::Result<serde_json::Value> {
    let mut rows = Vec::new();
    for (name, process) in targets {
        // Before the measurement, the warm-up opens connections and lets the admission limit grow.
        let warm_up = Load::new(process.address)?;
        warm_up.open_loop(rate, Duration::from_secs(1), 0).await;
        let load = Load::new(process.address)?;
        load.take_connections(&warm_up);
        rows.push(Row {
            name,
            load,
            cpu_ns: 0,
        });
    }
    for _ in 0..rounds {
        for ((_, process), row) in targets.iter().zip(&mut rows) {
            let before = process.cpu_ns()?;
            row.load
                .open_loop(rate, Duration::from_secs(seconds), 0)
                .await;
            row.cpu_ns += process.cpu_ns()? - before;
        }
    }
    println!("\n{rate} requests/s, {rounds} rounds of {seconds} s each");
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

/// Measures the memory per request in flight of both proxies.
async fn measure_memory_of_both(
    bare: &Process,
    sidecar: &Process,
) -> anyhow::Result<Vec<serde_json::Value>> {
    Ok(vec![
        measure_memory("bare", bare).await?,
        measure_memory("sidecar", sidecar).await?,
    ])
}

/// Measures the memory per request in flight. 9,000 requests take 18,000 descriptors of a proxy, which is about the
/// limit of a process. The sidecar's admission limit grows only with successful responses, so the number of requests in
/// flight is raised in step with them.
async fn measure_memory(name: &str, process: &Process) -> anyhow::Result<serde_json::Value> {
    const HOLD_MS: u64 = 500;
    const LONG_HOLD_MS: u64 = 8_000;
    let load = Load::new(process.address)?;
    load.open_loop(100.0, Duration::from_secs(1), 0).await;
    let before = process.resident_bytes()?;
    let in_flight = Rc::new(Cell::new(0u64));
    let mut measured = Vec::new();
    for target_count in [1_000u64, 9_000] {
        let started = Instant::now();
        let mut tasks = JoinSet::new();
        loop {
            // Stays below the probable admission limit, so that the sidecar rejects none of these requests. The bare
            // proxy gets the same load.
            let allowed = ((60.0 + 0.2 * load.succeeded.get() as f64) * 0.7) as u64;
            if allowed >= target_count {
                break;
            }
            for _ in in_flight.get()..allowed {
                let (load, in_flight) = (load.clone(), in_flight.clone());
                in_flight.set(in_flight.get() + 1);
                tasks.spawn_local(async move {
                    load.request(Instant::now(), HOLD_MS).await;
                    in_flight.set(in_flight.get() - 1);
                });
            }
            while tasks.try_join_next().is_some() {}
            if started.elapsed() > Duration::from_secs(180) {
                bail!("{name}: ramp at {allowed} requests in flight after 180 s; expected {target_count}");
            }
            sleep(Duration::from_millis(10)).await;
        }
        while tasks.join_next().await.is_some() {}
        for n in 0..target_count {
            let (load, in_flight) = (load.clone(), in_flight.clone());
            in_flight.set(in_flight.get() + 1);
            tasks.spawn_local(async move {
                load.request(Instant::now(), LONG_HOLD_MS).await;
                in_flight.set(in_flight.get() - 1);
            });
            // Pauses let the proxy accept the new connections.
            if n % 50 == 0 {
                sleep(Duration::from_millis(5)).await;
            }
        }
        sleep(Duration::from_millis(1_000)).await;
        let held = in_flight.get();
        let bytes = process.resident_bytes()?.saturating_sub(before) / held.max(1);
        println!("{name:<8} {held:>6} requests in flight: bytes_in_flight {bytes}");
        measured.push(json!({ "through": name, "hits_in_flight": held, "bytes_in_flight": bytes }));
        while tasks.join_next().await.is_some() {}
    }
    println!(
        "{name:<8} rejected {} failed {}",
        load.rejected.get(),
        load.failed.get()
    );
    Ok(json!(measured))
}

/// Finds the highest rate that the sidecar delivers, then sends three times as much. Reports the counts of responses,
/// their latency and the memory of the sidecar.
async fn flood(sidecar: &Process, seconds: u64) -> anyhow::Result<serde_json::Value> {
    // Pods hold a request for 20 ms. A closed loop of more clients than the pods have slots finds the highest rate.
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
                let rejected = load.rejected.get();
                load.request(Instant::now(), HOLD_MS).await;
                if load.rejected.get() > rejected {
                    sleep(Duration::from_millis(20)).await;
                }
            }
        });
    }
    while clients.join_next().await.is_some() {}
    let max_rate = load.succeeded.get() as f64 / length.as_secs_f64();
    let overload = Load::new(sidecar.address)?;
    overload.take_connections(&load);
    let peak = Rc::new(Cell::new(0u64));
    let sender = overload.clone();
    let mut flood =
        spawn_local(async move { sender.open_loop(3.0 * max_rate, length, HOLD_MS).await });
    loop {
        tokio::select! {
            _ = &mut flood => break,
            () = sleep(Duration::from_millis(100)) => peak.set(peak.get().max(sidecar.resident_bytes()?)),
        }
    }
    let took = |quantile| overload.quantile_us(quantile);
    sleep(Duration::from_secs(2)).await;
    let after = sidecar.resident_bytes()?;
    let (delivered, bounced, failed) = (
        overload.succeeded.get(),
        overload.rejected.get(),
        overload.failed.get(),
    );
    println!(
        "highest rate {max_rate:.0} requests/s; sent {:.0} requests/s for {seconds} s:",
        3.0 * max_rate
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
        "can_do_per_s": max_rate, "asked_per_s": 3.0 * max_rate, "delivered": delivered, "bounced": bounced,
        "failed": failed, "took_p50_us": took(0.5), "took_p99_us": took(0.99),
        "memory_before_bytes": before, "memory_peak_bytes": peak.get(), "memory_after_bytes": after,
    }))
}
