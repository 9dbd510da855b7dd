//! `havenplank bench takeover`: what it costs that sidecars guard each other's work, how soon another goes on when one
//! is killed, and how often one goes on though none was lost.

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

/// Hits a second over all sidecars.
const RATE: f64 = 1_000.0;
const SIDECARS: usize = 4;
const MODES: [&str; 3] = ["off", "behind", "before"];
/// Connections to one sidecar that wait for the next hit, at most; a further one closes.
const IDLE: usize = 64;

/// Keep-alive connections to one sidecar.
struct Door {
    at: SocketAddr,
    idle: RefCell<Vec<SendRequest<Full<Bytes>>>>,
}

impl Door {
    async fn ask(&self, path: &str, name: &str) -> anyhow::Result<()> {
        let free = self.idle.borrow_mut().pop();
        let mut sender = match free {
            Some(sender) => sender,
            None => {
                let stream = TcpStream::connect(self.at).await?;
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
        anyhow::ensure!(status.is_success(), "a sidecar answered {status}");
        let mut idle = self.idle.borrow_mut();
        if idle.len() < IDLE {
            idle.push(sender);
        }
        Ok(())
    }
}

/// Processor time of a process so far, in ms: whole hundredths of a second, as the system counts it.
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
            .context("its times")
    };
    Ok((ticks(11)? + ticks(12)?) * 10)
}

/// Processor ms of all sidecars, bytes sent between them, and pieces of work taken over.
async fn sums(group: &SidecarGroup) -> anyhow::Result<(u64, u64, u64)> {
    let (mut cpu, mut bytes, mut taken) = (0, 0, 0);
    for sidecar in &group.sidecars {
        let state = state(sidecar.admin).await.context("its state")?;
        let count = |part: &str, name: &str| state[part][name].as_u64().unwrap_or_default();
        cpu += cpu_ms(sidecar.pid())?;
        bytes += count("fellowship", "sent_bytes");
        taken += count("takeover", "taken_over");
    }
    Ok((cpu, bytes, taken))
}

/// An open loop on one path for so long; times in microseconds from when a hit was due.
async fn load(
    doors: &[Rc<Door>],
    path: &'static str,
    length: Duration,
    round: u64,
) -> anyhow::Result<(Histogram<u64>, u64)> {
    let (times, failed) = (
        Rc::new(RefCell::new(Histogram::<u64>::new(3)?)),
        Rc::new(Cell::new(0)),
    );
    let (began, many) = (Instant::now(), (length.as_secs_f64() * RATE) as u64);
    let mut asked = JoinSet::new();
    for n in 0..many {
        let due = began + Duration::from_secs_f64(n as f64 / RATE);
        sleep_until(due).await;
        let door = doors[n as usize % doors.len()].clone();
        let (times, failed) = (times.clone(), failed.clone());
        asked.spawn_local(async move {
            match door.ask(path, &format!("{path}-{round}-{n}")).await {
                Ok(()) => drop(times.borrow_mut().record(due.elapsed().as_micros() as u64)),
                Err(_) => failed.set(failed.get() + 1),
            }
        });
        while asked.try_join_next().is_some() {}
    }
    while asked.join_next().await.is_some() {}
    let times = times.borrow().clone();
    Ok((times, failed.get()))
}

fn doors(group: &SidecarGroup) -> Vec<Rc<Door>> {
    let door = |at| {
        Rc::new(Door {
            at,
            idle: RefCell::default(),
        })
    };
    group
        .sidecars
        .iter()
        .map(|sidecar| door(sidecar.listen))
        .collect()
}

/// The three ways by turns, on one run of the same processes.
async fn cost(group: &SidecarGroup, seconds: u64) -> anyhow::Result<Value> {
    const ROUNDS: u64 = 3;
    let doors = doors(group);
    for path in ["/off", "/behind", "/before"] {
        load(&doors, path, Duration::from_secs(1), u64::MAX).await?;
    }
    let mut sums_of = [
        (Histogram::<u64>::new(3)?, 0, 0, 0),
        (Histogram::new(3)?, 0, 0, 0),
        (Histogram::new(3)?, 0, 0, 0),
    ];
    for round in 0..ROUNDS {
        for (path, sum) in ["/off", "/behind", "/before"].into_iter().zip(&mut sums_of) {
            let before = sums(group).await?;
            let (times, failed) = load(&doors, path, Duration::from_secs(seconds), round).await?;
            let after = sums(group).await?;
            sum.0.add(times)?;
            sum.1 += after.0 - before.0;
            sum.2 += after.1 - before.1;
            sum.3 += failed;
        }
    }
    println!(
        "{:>8} {:>9} {:>9} {:>12} {:>14} {:>11}",
        "guard", "p50 us", "p99 us", "CPU us/hit", "bytes/hit", "undelivered"
    );
    let mut rows = Vec::new();
    for (mode, (times, cpu, bytes, failed)) in MODES.into_iter().zip(&sums_of) {
        let hits = times.len().max(1) as f64;
        let (p50, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
        let (cpu, bytes) = (*cpu as f64 * 1_000.0 / hits, *bytes as f64 / hits);
        println!("{mode:>8} {p50:>9} {p99:>9} {cpu:>12.1} {bytes:>14.0} {failed:>11}");
        rows.push(json!({
            "guard": mode, "hits": times.len(), "p50_us": p50, "p99_us": p99, "cpu_us_a_hit": cpu,
            "bytes_a_hit": bytes, "undelivered": failed,
        }));
    }
    Ok(json!(rows))
}

/// From the kill of a sidecar in the middle of its work to the first takeover of it, and to the client's answer.
async fn kills(group: &mut SidecarGroup, many: usize) -> anyhow::Result<Value> {
    group.pods.work.set(Duration::from_millis(300));
    let (mut begins, mut answers) = (Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?);
    let (mut twice, mut unanswered) = (0, 0);
    for round in 0..many {
        let id = 1 + round % (SIDECARS - 1);
        let asked = group.start_requests(id, 4, round).await?;
        let count = |group: &mut SidecarGroup| -> usize {
            let others = (0..SIDECARS).filter(|other| *other != id);
            others
                .map(|other| group.sidecars[other].count_log_lines("request taken over"))
                .sum()
        };
        let before = count(group);
        group.sidecars[id].signal(Signal::KILL)?;
        let killed = Instant::now();
        let mut back = JoinSet::new();
        let mut names = Vec::new();
        for (n, asked) in asked.into_iter().enumerate() {
            let at = group.sidecars[(id + 1 + n % (SIDECARS - 1)) % SIDECARS].listen;
            names.push(asked.name.clone());
            back.spawn_local(async move {
                asked.answer.await.ok();
                let answer = send_with_key(at, asked.path, &asked.name, vec![7; 20]).await;
                (answer.map(|(status, _)| status), killed.elapsed())
            });
        }
        while count(group) == before {
            anyhow::ensure!(
                killed.elapsed() < Duration::from_secs(20),
                "nobody took over in round {round}"
            );
            sleep(Duration::from_millis(1)).await;
        }
        begins.record(killed.elapsed().as_millis() as u64)?;
        while let Some(answer) = back.join_next().await {
            let (status, took) = answer?;
            match status {
                Some(_) => answers.record(took.as_millis() as u64)?,
                None => unanswered += 1,
            }
        }
        twice += names
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
    let of = |times: &Histogram<u64>| {
        (
            times.value_at_quantile(0.5),
            times.value_at_quantile(0.99),
            times.max(),
        )
    };
    println!("\n{many} kills of a sidecar with 4 hits in the middle of 300 ms of work; ms from the kill:");
    println!(
        "  to the first takeover    p50 {} p99 {} most {}",
        of(&begins).0,
        of(&begins).1,
        of(&begins).2
    );
    println!(
        "  to the client's answer   p50 {} p99 {} most {}",
        of(&answers).0,
        of(&answers).1,
        of(&answers).2
    );
    println!(
        "  effects twice {twice}, clients without an answer {unanswered}, of {}",
        4 * many
    );
    let figures = |(p50, p99, most)| json!({"p50_ms": p50, "p99_ms": p99, "most_ms": most});
    Ok(json!({
        "kills": many, "first_takeover": figures(of(&begins)), "answer": figures(of(&answers)),
        "effects_twice": twice, "unanswered": unanswered,
    }))
}

/// Takeovers though nobody was lost, under lost datagrams and while a sidecar's process stands still for a second.
async fn unneeded(group: &mut SidecarGroup, seconds: u64) -> anyhow::Result<Value> {
    group.pods.work.set(Duration::from_millis(20));
    let mut rows = Vec::new();
    let troubles = [
        ("10% lost", 0.1, false),
        ("30% lost", 0.3, false),
        ("a stall of 1 s", 0.0, true),
    ];
    for (round, (what, loss, stalls)) in (900..).zip(troubles) {
        if let Some(relays) = &group.relays {
            relays.set_faults(NetworkFaults {
                loss,
                ..NetworkFaults::default()
            });
        }
        let (doors, before) = (doors(group), sums(group).await?);
        let stall = async {
            if stalls {
                sleep(Duration::from_millis(500)).await;
                group.sidecars[1].signal(Signal::STOP)?;
                sleep(Duration::from_secs(1)).await;
                group.sidecars[1].signal(Signal::CONT)?;
            }
            std::io::Result::Ok(())
        };
        let (loaded, stalled) = tokio::join!(
            load(&doors, "/before", Duration::from_secs(seconds), round),
            stall
        );
        stalled?;
        let (times, failed) = loaded?;
        sleep(Duration::from_secs(2)).await;
        let after = sums(group).await?;
        let (taken, hits) = (after.2 - before.2, times.len() + failed);
        let (p50, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
        println!(
            "{what}: {taken} taken over of {hits} hits, {failed} not delivered, p50 {p50} us, p99 {p99} us"
        );
        rows.push(json!({"what": what, "hits": hits, "taken_over": taken, "undelivered": failed, "p50_us": p50, "p99_us": p99}));
    }
    Ok(json!(rows))
}

/// What each sidecar sends for the fellowship while nothing happens, by their number, and how soon all have heard of one
/// that was killed. With hits guarded the same at each size: 100 a second over all.
pub fn growth(seconds: u64, json: Option<&Path>) -> anyhow::Result<u8> {
    const SIZES: [usize; 5] = [3, 8, 16, 32, 64];
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let program = std::env::current_exe()?;
    println!(
        "{:>8} {:>16} {:>18} {:>16} {:>16}",
        "sidecars", "idle bytes/s each", "hits bytes a hit", "loss heard p50 ms", "by all ms"
    );
    let measured = runtime.block_on(LocalSet::new().run_until(async {
        let mut rows = Vec::new();
        for size in SIZES {
            let folder = tempfile::tempdir()?;
            let mut group = SidecarGroup::start(&program, folder.path(), size, true).await?;
            group.pods.work.set(Duration::ZERO);
            // What is said at the start is over by then.
            sleep(Duration::from_secs(3)).await;
            let before = sums(&group).await?;
            sleep(Duration::from_secs(seconds)).await;
            let quiet = sums(&group).await?.1 - before.1;
            let before = sums(&group).await?;
            let (began, doors) = (Instant::now(), doors(&group));
            for n in 0..100 * seconds {
                sleep_until(began + Duration::from_millis(10 * n)).await;
                doors[n as usize % size].ask("/before", &format!("growth-{size}-{n}")).await?;
            }
            let guarding = (sums(&group).await?.1 - before.1).saturating_sub(quiet);
            let lost: Vec<usize> =
                group.sidecars.iter_mut().map(|sidecar| sidecar.count_log_lines("member lost")).collect();
            group.sidecars[size - 1].signal(Signal::KILL)?;
            let (killed, mut heard) = (Instant::now(), vec![None; size - 1]);
            while heard.iter().any(Option::is_none) {
                anyhow::ensure!(
                    killed.elapsed() < Duration::from_secs(30),
                    "not all of {size} heard of a loss"
                );
                for (id, heard) in heard.iter_mut().enumerate().filter(|(_, heard)| heard.is_none()) {
                    if group.sidecars[id].count_log_lines("member lost") > lost[id] {
                        *heard = Some(killed.elapsed().as_millis() as u64);
                    }
                }
                sleep(Duration::from_millis(2)).await;
            }
            let mut heard: Vec<u64> = heard.into_iter().flatten().collect();
            heard.sort_unstable();
            let (p50, all) = (heard[heard.len() / 2], heard[heard.len() - 1]);
            let idle = quiet as f64 / (seconds * size as u64) as f64;
            let a_hit = guarding as f64 / (100 * seconds) as f64;
            println!("{size:>8} {idle:>16.0} {a_hit:>18.0} {p50:>16} {all:>16}");
            rows.push(json!({
                "sidecars": size, "idle_bytes_s_each": idle, "bytes_a_hit": a_hit, "loss_heard_p50_ms": p50,
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

pub fn bench(seconds: u64, many: usize, json: Option<&Path>) -> anyhow::Result<u8> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let program = std::env::current_exe()?;
    let measured = runtime.block_on(LocalSet::new().run_until(async {
        let (first, second) = (tempfile::tempdir()?, tempfile::tempdir()?);
        println!("{SIDECARS} sidecars, {RATE} hits a second, 3 turns of {seconds} s each");
        let group = SidecarGroup::start(&program, first.path(), SIDECARS, false).await?;
        group.pods.work.set(Duration::ZERO);
        let cost = cost(&group, seconds).await?;
        drop(group);
        let mut group = SidecarGroup::start(&program, second.path(), SIDECARS, true).await?;
        let kills = kills(&mut group, many).await?;
        println!();
        let unneeded = unneeded(&mut group, seconds).await?;
        anyhow::Ok(json!({ "cost": cost, "kills": kills, "unneeded": unneeded }))
    }))?;
    if let Some(file) = json {
        write_json(file, &measured)?;
    }
    Ok(0)
}
