//! `havenplank bench takeover`: measures the cost of backing up requests at other sidecars, the time until another
//! sidecar takes over the requests of a killed one, and the number of takeovers without a lost sidecar.

use crate::write_json;
use anyhow::Context;
use bytes::Bytes;
use havenplank_emulator::relay::NetworkFaults;
use havenplank_emulator::sidecar_processes::{send_with_key, state, SidecarGroup};
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::Request;
use hyper_util::rt::TokioIo;
use rustix::process::Signal;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, JoinSet, LocalSet};
use tokio::time::{sleep, sleep_until, Instant};

/// Requests per second over all sidecars.
const RATE: f64 = 1_000.0;
const SIDECARS: usize = 4;
/// Values of a path group's `guard`: no backup, one made while the attempt runs, one made before the attempt.
const MODES: [&str; 3] = ["off", "behind", "before"];
/// Maximum number of idle connections to one sidecar; further ones are closed.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Keep-alive connections to one sidecar.
struct ConnectionPool {
    address: SocketAddr,
    idle: RefCell<Vec<SendRequest<Full<Bytes>>>>,
}

impl ConnectionPool {
    /// Sends a request with an idempotency key, and waits for its response.
    async fn send(&self, path: &str, name: &str) -> anyhow::Result<()> {
        let idle = self.idle.borrow_mut().pop();
        let mut sender = match idle {
            Some(sender) => sender,
            None => {
                let stream = TcpStream::connect(self.address).await?;
                stream.set_nodelay(true)?;
                let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
                spawn_local(connection);
                sender
            }
        };
        let request = Request::post(path)
            .header("host", "bench")
            .header("idempotency-key", format!("\"{name}\""));
        sender.ready().await?;
        let answer = sender
            .send_request(request.body(Full::from(vec![7; 200]))?)
            .await?;
        let status = answer.status();
        answer.into_body().collect().await?;
        anyhow::ensure!(
            status.is_success(),
            "a sidecar answered with status {status}; expected success"
        );
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(sender);
        }
        Ok(())
    }
}

/// Returns the CPU time of a process so far, in ms. The system counts it in hundredths of a second.
fn cpu_ms(pid: u32) -> anyhow::Result<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let fields: Vec<&str> = text
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks = |at: usize| {
        fields
            .get(at)
            .and_then(|field| field.parse::<u64>().ok())
            .context("stat: expected the CPU times in fields 14 and 15")
    };
    Ok((ticks(11)? + ticks(12)?) * 10)
}

/// Returns the CPU time of all sidecars in ms, the bytes sent between them, and the number of requests taken over.
async fn totals(group: &SidecarGroup) -> anyhow::Result<(u64, u64, u64)> {
    let (mut cpu, mut bytes, mut taken) = (0, 0, 0);
    for sidecar in &group.sidecars {
        let state = state(sidecar.admin)
            .await
            .context("a sidecar did not report its state")?;
        let count = |section: &str, name: &str| state[section][name].as_u64().unwrap_or_default();
        cpu += cpu_ms(sidecar.pid())?;
        bytes += count("fellowship", "sent_bytes");
        taken += count("takeover", "taken_over");
    }
    Ok((cpu, bytes, taken))
}

/// Sends requests to one path at `RATE` for `length`. Returns the latencies in microseconds, each counted from the time
/// at which the request was due, and the number of failed requests.
async fn send_load(
    pools: &[Rc<ConnectionPool>],
    path: &'static str,
    length: Duration,
    round: u64,
) -> anyhow::Result<(Histogram<u64>, u64)> {
    let (times, failed) = (
        Rc::new(RefCell::new(Histogram::<u64>::new(3)?)),
        Rc::new(Cell::new(0)),
    );
    let (started, count) = (Instant::now(), (length.as_secs_f64() * RATE) as u64);
    let mut in_flight = JoinSet::new();
    for n in 0..count {
        let due = started + Duration::from_secs_f64(n as f64 / RATE);
        sleep_until(due).await;
        let pool = pools[n as usize % pools.len()].clone();
        let (times, failed) = (times.clone(), failed.clone());
        in_flight.spawn_local(async move {
            match pool.send(path, &format!("{path}-{round}-{n}")).await {
                Ok(()) => drop(times.borrow_mut().record(due.elapsed().as_micros() as u64)),
                Err(_) => failed.set(failed.get() + 1),
            }
        });
        while in_flight.try_join_next().is_some() {}
    }
    while in_flight.join_next().await.is_some() {}
    let times = times.borrow().clone();
    Ok((times, failed.get()))
}

/// Returns a connection pool for each sidecar.
fn connection_pools(group: &SidecarGroup) -> Vec<Rc<ConnectionPool>> {
    let pool = |address| {
        Rc::new(ConnectionPool {
            address,
            idle: RefCell::default(),
        })
    };
    group
        .sidecars
        .iter()
        .map(|sidecar| pool(sidecar.listen))
        .collect()
}

/// Measures the three backup modes in turns, on the same processes.
async fn measure_cost(group: &SidecarGroup, seconds: u64) -> anyhow::Result<Value> {
    const ROUNDS: u64 = 3;
    let pools = connection_pools(group);
    for path in ["/off", "/behind", "/before"] {
        send_load(&pools, path, Duration::from_secs(1), u64::MAX).await?;
    }
    let mut totals_by_mode = [
        (Histogram::<u64>::new(3)?, 0, 0, 0),
        (Histogram::new(3)?, 0, 0, 0),
        (Histogram::new(3)?, 0, 0, 0),
    ];
    for round in 0..ROUNDS {
        for (path, total) in ["/off", "/behind", "/before"]
            .into_iter()
            .zip(&mut totals_by_mode)
        {
            let before = totals(group).await?;
            let (times, failed) =
                send_load(&pools, path, Duration::from_secs(seconds), round).await?;
            let after = totals(group).await?;
            total.0.add(times)?;
            total.1 += after.0 - before.0;
            total.2 += after.1 - before.1;
            total.3 += failed;
        }
    }
    println!(
        "{:>8} {:>9} {:>9} {:>12} {:>14} {:>11}",
        "guard", "p50 us", "p99 us", "CPU us/hit", "bytes/hit", "undelivered"
    );
    let mut rows = Vec::new();
    for (mode, (times, cpu, bytes, failed)) in MODES.into_iter().zip(&totals_by_mode) {
        let requests = times.len().max(1) as f64;
        let (p50, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
        let (cpu, bytes) = (*cpu as f64 * 1_000.0 / requests, *bytes as f64 / requests);
        println!("{mode:>8} {p50:>9} {p99:>9} {cpu:>12.1} {bytes:>14.0} {failed:>11}");
        rows.push(json!({
            "guard": mode, "hits": times.len(), "p50_us": p50, "p99_us": p99, "cpu_us_a_hit": cpu,
            "bytes_a_hit": bytes, "undelivered": failed,
        }));
    }
    Ok(json!(rows))
}

/// Kills sidecars with requests in flight. Measures the time from the kill to the first takeover, and to the response
/// that the client gets when it retries.
async fn measure_kills(group: &mut SidecarGroup, kill_count: usize) -> anyhow::Result<Value> {
    group.pods.work.set(Duration::from_millis(300));
    let (mut takeover_ms, mut response_ms) = (Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?);
    let (mut ran_twice, mut unanswered) = (0, 0);
    for round in 0..kill_count {
        let id = 1 + round % (SIDECARS - 1);
        let pending = group.start_requests(id, 4, round).await?;
        let count = |group: &mut SidecarGroup| -> usize {
            let others = (0..SIDECARS).filter(|other| *other != id);
            others
                .map(|other| group.sidecars[other].count_log_lines("request taken over"))
                .sum()
        };
        let before = count(group);
        group.sidecars[id].signal(Signal::KILL)?;
        let killed = Instant::now();
        let mut retries = JoinSet::new();
        let mut names = Vec::new();
        for (n, request) in pending.into_iter().enumerate() {
            let address = group.sidecars[(id + 1 + n % (SIDECARS - 1)) % SIDECARS].listen;
            names.push(request.name.clone());
            retries.spawn_local(async move {
                request.answer.await.ok();
                let answer = send_with_key(address, request.path, &request.name, vec![7; 20]).await;
                (answer.map(|(status, _)| status), killed.elapsed())
            });
        }
        while count(group) == before {
            anyhow::ensure!(
                killed.elapsed() < Duration::from_secs(20),
                "round {round}: no sidecar took over within 20 s of the kill"
            );
            sleep(Duration::from_millis(1)).await;
        }
        takeover_ms.record(killed.elapsed().as_millis() as u64)?;
        while let Some(answer) = retries.join_next().await {
            let (status, took) = answer?;
            match status {
                Some(_) => response_ms.record(took.as_millis() as u64)?,
                None => unanswered += 1,
            }
        }
        ran_twice += names
            .iter()
            .filter(|name| group.pods.run_count(name) > 1)
            .count();
        let joined: Vec<usize> = group
            .sidecars
            .iter_mut()
            .map(|sidecar| sidecar.count_log_lines("member joined"))
            .collect();
        group.sidecars[id] = group.launch(id).await?;
        group.sidecars[id]
            .wait_for_log("member joined", SIDECARS - 1)
            .await?;
        for other in (0..SIDECARS).filter(|other| *other != id) {
            group.sidecars[other]
                .wait_for_log("member joined", joined[other] + 1)
                .await?;
        }
    }
    let quantiles = |times: &Histogram<u64>| {
        (
            times.value_at_quantile(0.5),
            times.value_at_quantile(0.99),
            times.max(),
        )
    };
    println!("\n{kill_count} kills of a sidecar with 4 requests in flight of 300 ms each; ms from the kill:");
    println!(
        "  to the first takeover       p50 {} p99 {} max {}",
        quantiles(&takeover_ms).0,
        quantiles(&takeover_ms).1,
        quantiles(&takeover_ms).2
    );
    println!(
        "  to the client's response    p50 {} p99 {} max {}",
        quantiles(&response_ms).0,
        quantiles(&response_ms).1,
        quantiles(&response_ms).2
    );
    println!(
        "  requests that ran twice {ran_twice}, clients without a response {unanswered}, of {}",
        4 * kill_count
    );
    let figures = |(p50, p99, max)| json!({"p50_ms": p50, "p99_ms": p99, "most_ms": max});
    Ok(json!({
        "kills": kill_count, "first_takeover": figures(quantiles(&takeover_ms)), "answer": figures(quantiles(&response_ms)),
        "effects_twice": ran_twice, "unanswered": unanswered,
    }))
}

/// Counts takeovers while no sidecar is lost: under lost datagrams, and while one sidecar process is paused for 1 s.
async fn measure_unneeded_takeovers(
    group: &mut SidecarGroup,
    seconds: u64,
) -> anyhow::Result<Value> {
    group.pods.work.set(Duration::from_millis(20));
    let mut rows = Vec::new();
    let faults = [
        ("10% lost", 0.1, false),
        ("30% lost", 0.3, false),
        ("a stall of 1 s", 0.0, true),
    ];
    for (round, (what, loss, pauses)) in (900..).zip(faults) {
        if let Some(relays) = &group.relays {
            relays.set_faults(NetworkFaults {
                loss,
                ..NetworkFaults::default()
            });
        }
        let (pools, before) = (connection_pools(group), totals(group).await?);
        let pause = async {
            if pauses {
                sleep(Duration::from_millis(500)).await;
                group.sidecars[1].signal(Signal::STOP)?;
                sleep(Duration::from_secs(1)).await;
                group.sidecars[1].signal(Signal::CONT)?;
            }
            std::io::Result::Ok(())
        };
        let (loaded, paused) = tokio::join!(
            send_load(&pools, "/before", Duration::from_secs(seconds), round),
            pause
        );
        paused?;
        let (times, failed) = loaded?;
        sleep(Duration::from_secs(2)).await;
        let after = totals(group).await?;
        let (taken, hits) = (after.2 - before.2, times.len() + failed);
        let (p50, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
        println!(
            "{what}: {taken} taken over of {hits} requests, {failed} not delivered, p50 {p50} us, p99 {p99} us"
        );
        rows.push(json!({"what": what, "hits": hits, "taken_over": taken, "undelivered": failed, "p50_us": p50, "p99_us": p99}));
    }
    Ok(json!(rows))
}

/// Measures groups of several sizes: the bytes that each idle sidecar sends to the others, the bytes sent per request
/// with a backup at 100 requests/s over all sidecars, and the time until all sidecars know that one was killed.
///
/// # Errors
/// Processes that cannot be started, failed requests, and a loss that is not known to all sidecars within 30 s.
pub fn growth(seconds: u64, json: Option<&Path>) -> anyhow::Result<u8> {
    const SIZES: [usize; 5] = [3, 8, 16, 32, 64];
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let program = std::env::current_exe()?;
    println!(
        "{:>8} {:>16} {:>18} {:>16} {:>16}",
        "sidecars", "idle bytes/s each", "bytes per request", "loss known p50 ms", "by all ms"
    );
    let measured = runtime.block_on(LocalSet::new().run_until(async {
        let mut rows = Vec::new();
        for size in SIZES {
            let folder = tempfile::tempdir()?;
            let mut group = SidecarGroup::start(&program, folder.path(), size, true).await?;
            group.pods.work.set(Duration::ZERO);
            // Waits until the messages of the start have been sent.
            sleep(Duration::from_secs(3)).await;
            let before = totals(&group).await?;
            sleep(Duration::from_secs(seconds)).await;
            let idle_bytes = totals(&group).await?.1 - before.1;
            let before = totals(&group).await?;
            let (started, pools) = (Instant::now(), connection_pools(&group));
            for n in 0..100 * seconds {
                sleep_until(started + Duration::from_millis(10 * n)).await;
                pools[n as usize % size].send("/before", &format!("growth-{size}-{n}")).await?;
            }
            let backup_bytes = (totals(&group).await?.1 - before.1).saturating_sub(idle_bytes);
            let losses_before: Vec<usize> =
                group.sidecars.iter_mut().map(|sidecar| sidecar.count_log_lines("member lost")).collect();
            group.sidecars[size - 1].signal(Signal::KILL)?;
            let (killed, mut known_after_ms) = (Instant::now(), vec![None; size - 1]);
            while known_after_ms.iter().any(Option::is_none) {
                anyhow::ensure!(
                    killed.elapsed() < Duration::from_secs(30),
                    "{size} sidecars: the loss of one was not known to all others within 30 s"
                );
                for (id, elapsed_ms) in known_after_ms.iter_mut().enumerate().filter(|(_, ms)| ms.is_none()) {
                    if group.sidecars[id].count_log_lines("member lost") > losses_before[id] {
                        *elapsed_ms = Some(killed.elapsed().as_millis() as u64);
                    }
                }
                sleep(Duration::from_millis(2)).await;
            }
            let mut known_after_ms: Vec<u64> = known_after_ms.into_iter().flatten().collect();
            known_after_ms.sort_unstable();
            let (p50, all) = (known_after_ms[known_after_ms.len() / 2], known_after_ms[known_after_ms.len() - 1]);
            let idle = idle_bytes as f64 / (seconds * size as u64) as f64;
            let per_request = backup_bytes as f64 / (100 * seconds) as f64;
            println!("{size:>8} {idle:>16.0} {per_request:>18.0} {p50:>16} {all:>16}");
            rows.push(json!({
                "sidecars": size, "idle_bytes_s_each": idle, "bytes_a_hit": per_request, "loss_heard_p50_ms": p50,
                "loss_heard_by_all_ms": all,
            }));
        }
        anyhow::Ok(json!(rows))
    }))?;
    if let Some(file) = json {
        write_json(file, &measured)?;
    }
    Ok(0)
}

/// Runs the takeover bench and prints its figures.
///
/// # Errors
/// Processes that cannot be started, failed requests, and takeovers that do not happen within 20 s of a kill.
pub fn bench(seconds: u64, kill_count: usize, json: Option<&Path>) -> anyhow::Result<u8> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let program = std::env::current_exe()?;
    let measured = runtime.block_on(LocalSet::new().run_until(async {
        let (first, second) = (tempfile::tempdir()?, tempfile::tempdir()?);
        println!("{SIDECARS} sidecars, {RATE} requests/s, 3 turns of {seconds} s each");
        let group = SidecarGroup::start(&program, first.path(), SIDECARS, false).await?;
        group.pods.work.set(Duration::ZERO);
        let cost = measure_cost(&group, seconds).await?;
        drop(group);
        let mut group = SidecarGroup::start(&program, second.path(), SIDECARS, true).await?;
        let kills = measure_kills(&mut group, kill_count).await?;
        println!();
        let unneeded = measure_unneeded_takeovers(&mut group, seconds).await?;
        anyhow::Ok(json!({ "cost": cost, "kills": kills, "unneeded": unneeded }))
    }))?;
    if let Some(file) = json {
        write_json(file, &measured)?;
    }
    Ok(0)
}
