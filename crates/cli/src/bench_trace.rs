//! `havenplank bench trace-file`: records an engine in virtual time, and measures the recording and the trace tools.

use crate::write_json;
use anyhow::{bail, Context};
use havenplank::interface::*;
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use havenplank_settings::{load, Given};
use havenplank_sidecar::engine::{Effect, Engine, EngineSettings, RequestAttributes, EPOCH};
use havenplank_trace::recorder::{Folder, Limits, Recorder};
use havenplank_trace::{cut, json_view, replay, Reader, Source};
use oorandom::Rand64;
use serde_json::json;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::fs::File;
use std::io::{BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MILLISECOND;
/// Mean rate of the recorded requests, per second.
const RATE: u64 = 2_000;
const PODS: u64 = 16;
/// Number of requests whose records are also written as JSON lines, to compare the sizes.
const REQUESTS_AS_JSON: u64 = 100_000;
/// Settings of the recorded engine.
const SETTINGS: &str = r#"
sidecar(name = "bench", instances = 1, zones = ["z"], zone = "z", listen = "127.0.0.1:0", admin = "127.0.0.1:0",
        customers = ["editors", "builds", "web"])
path_group(name = "query", paths = ["/q"], kind = "repeatable", target_latency = "800ms", client_timeout = "2s")
path_group(name = "reindex", paths = ["/r"], kind = "tagged", repeat_window = "6s", target_latency = "1s", client_timeout = "3s")
path_group(name = "rename", paths = ["/n"], kind = "mutating", target_latency = "1s", client_timeout = "3s")
pods(drain_grace = "500ms", cold_share = 0.3, warm_up = "5s", fall_multiple = 3, fall_window = "2s")
exposure(window = "6s", free = 3, caps = [0.1, 0.5, 1])
votes(control = "any", life = "6s")
nodes(address = "127.0.0.1:1")
desk(address = "127.0.0.1:1")
"#;

/// Returns the list of pods; with `release`, the last two run build 2.
fn pods(release: bool) -> Vec<ListedEndpoint> {
    let pod = |n| ListedEndpoint {
        name: format!("pod-{n}"),
        address: ([127, 0, 0, 1], 4_000 + n as u16).into(),
        state: PodState::Running,
        build: if release && n >= PODS - 2 { 2 } else { 1 },
        incarnation: 1,
        age: 0,
        zone: "z".to_string(),
        machine: "m".to_string(),
        cell: 0,
        size: 4.0,
    };
    (0..PODS).map(pod).collect()
}

/// Records an engine that handles this many requests and returns the path of the trace. One in 50 attempts fails, every
/// response reports the load of its pod, and the keys have a Zipf-like distribution.
fn record_trace(
    settings: &EngineSettings,
    requests: u64,
    folder: &Path,
) -> anyhow::Result<PathBuf> {
    let records_end = u64::MAX;
    let (settings, wall_start) = (settings.clone(), 1_700_000_000 * SECOND);
    let mut engine = Engine::new(EPOCH, 1, &settings);
    let source = Source {
        settings,
        seed: 1,
        incarnation: 1,
        part: 0,
        engine_start: EPOCH,
        wall_start,
        sample_share: 1.0,
        is_complete: true,
        records_end,
    };
    let limits = Limits {
        sample_share: 1.0,
        queue_bytes: 1 << 30,
        max_request_duration: 3 * SECOND,
        file_bytes: u64::MAX,
        file_age: u64::MAX,
    };
    let trace_folder = Folder::new(folder, "bench", wall_start, u64::MAX)?;
    let (recorder, writing) = Recorder::start(source, limits, Box::new(trace_folder));
    engine = engine.with_observer(Box::new(recorder));
    engine.start(EPOCH);
    engine.update_endpoints(EPOCH, true, pods(true));
    engine.update_stage(
        EPOCH,
        Stage {
            build: 2,
            stage: 1,
            phase: Phase::Trial,
            cap: 0.5,
            age: SECOND,
        },
    );
    let mut rng = Rand64::new(1);
    // Time of the end, request, attempt number, and time of sending.
    let mut due: BinaryHeap<Reverse<(Nanos, RequestId, u32, Nanos)>> = BinaryHeap::new();
    let (mut now, mut next) = (EPOCH, EPOCH);
    let mut started_requests = 0;
    while started_requests < requests || !due.is_empty() {
        let wake = engine.next_timer().unwrap_or(Nanos::MAX);
        let end = due.peek().map_or(Nanos::MAX, |Reverse((at, ..))| *at);
        let next_request = if started_requests < requests {
            next
        } else {
            Nanos::MAX
        };
        now = now.max(wake.min(end).min(next_request));
        if wake <= now {
            engine.run_timers(now);
        } else if end <= now {
            if let Some(Reverse((_, request_id, attempt_number, sent))) = due.pop() {
                let end = if rng.rand_range(0..50) == 0 {
                    AttemptEnd::Failed
                } else {
                    AttemptEnd::Served
                };
                let busy = rng.rand_range(0..1000) as f64 / 1000.0;
                let load = LoadReport {
                    in_flight: Some((busy * 8.0).round()),
                    cpu_utilization: Some(busy),
                    ..LoadReport::default()
                };
                engine.attempt_ended(
                    now,
                    request_id,
                    attempt_number,
                    end,
                    now - sent + rng.rand_range(20_000..90_000),
                    Some(load),
                );
            }
        } else {
            started_requests += 1;
            next += rng.rand_range(0..2 * SECOND / RATE);
            let class = [0, 0, 0, 1, 2][rng.rand_range(0..5) as usize];
            let key =
                ((rng.rand_float() * 10.0).exp() as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let left = [2 * SECOND, 3 * SECOND, 3 * SECOND][class]
                - 20 * MILLISECOND
                - rng.rand_range(20_000..70_000);
            let tenant = Some(rng.rand_range(0..3) as usize);
            engine.handle_request(
                now,
                RequestAttributes {
                    route_class: class,
                    tenant,
                    key,
                    remaining: left,
                    cost_hint: None,
                    is_retry: false,
                },
            );
        }
        while let Some(effect) = engine.next_effect() {
            match effect {
                Effect::SendAttempt {
                    request: request_id,
                    attempt: attempt_number,
                    ..
                } => {
                    let sent = now;
                    now += rng.rand_range(5_000..40_000);
                    engine.may_send(now, request_id, attempt_number);
                    due.push(Reverse((
                        now + rng.rand_range(8 * MILLISECOND..50 * MILLISECOND),
                        request_id,
                        attempt_number,
                        sent,
                    )));
                }
                Effect::CastVote { id: vote, .. } => {
                    engine.vote_answered(
                        now,
                        vote,
                        VoteReply {
                            receipt: VoteReceipt::Counted,
                            stage: None,
                        },
                    );
                }
                _ => {}
            }
        }
    }
    drop(engine);
    if !writing.wait(Duration::from_secs(600)) {
        bail!("the trace was not written within 600 s");
    }
    let file = std::fs::read_dir(folder)?
        .next()
        .context("the recording left no trace file")??;
    Ok(file.path())
}

fn open(file: &Path) -> anyhow::Result<Reader<BufReader<File>>> {
    Ok(Reader::open(BufReader::new(File::open(file)?))?)
}

/// Runs this program with these arguments. Returns its run time and its peak resident memory in bytes.
fn run_child(args: &[&str]) -> anyhow::Result<(Duration, u64)> {
    let started = Instant::now();
    let mut child = Command::new(std::env::current_exe()?)
        .args(args)
        .stdout(Stdio::null())
        .spawn()?;
    let mut peak_bytes = 0;
    loop {
        if let Some(status) = child.try_wait()? {
            if !status.success() {
                bail!("{args:?}: {status}");
            }
            return Ok((started.elapsed(), peak_bytes));
        }
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .unwrap_or_default();
        let kb: u64 = line.trim().trim_end_matches(" kB").parse().unwrap_or(0);
        peak_bytes = peak_bytes.max(kb * 1024);
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Records a trace of this many requests, prints its size and the cost of the tools, and writes them as JSON.
///
/// # Errors
/// Files that cannot be written or read, and tools that fail.
pub fn bench(requests: u64, json: Option<&Path>) -> anyhow::Result<u8> {
    let folder = tempfile::tempdir()?;
    let settings = folder.path().join("bench.star");
    std::fs::write(&settings, SETTINGS)?;
    let terms = EngineSettings::from(&load(&settings, &Given::new())?);
    let traces = folder.path().join("traces");
    let started = Instant::now();
    let file = record_trace(&terms, requests, &traces)?;
    let bytes = std::fs::metadata(&file)?.len();
    println!(
        "{requests} requests recorded in {:.1} s of decisions: {bytes} bytes",
        started.elapsed().as_secs_f64()
    );
    println!("bytes_a_hit {:.1}", bytes as f64 / requests as f64);

    let mut reader = open(&file)?;
    let mut lines = zstd::Encoder::new(Vec::new(), 3)?;
    let (mut compared, mut at) = (0, 0);
    while let Some(record) = reader.record()? {
        compared += record.is_arrival() as u64;
        if compared > REQUESTS_AS_JSON {
            break;
        }
        at = reader.next_block();
        writeln!(lines, "{}", json_view::line(&record, &reader.head))?;
    }
    let as_json = lines.finish()?.len() as f64 / compared.clamp(1, REQUESTS_AS_JSON) as f64;
    println!(
        "as JSON lines compressed with zstd: bytes_a_hit {as_json:.1}, over the first {at} blocks"
    );

    let (started, mut records) = (Instant::now(), 0u64);
    let mut reader = open(&file)?;
    let open_time = started.elapsed();
    while reader.record()?.is_some() {
        records += 1;
    }
    let read_time = started.elapsed();
    let (first, last) = reader.span().context("the trace has no records")?;
    let from = first + (last - first) / 2;
    let started = Instant::now();
    let (cut_result, _) = cut::cut(&mut open(&file)?, Vec::new(), from, from + 10 * SECOND)?;
    let cut_time = started.elapsed();
    println!(
        "opened in {:.2} ms; 10 s cut ({} requests) in {:.1} ms; {records} records read in {:.2} s",
        open_time.as_secs_f64() * 1e3,
        cut_result.requests,
        cut_time.as_secs_f64() * 1e3,
        read_time.as_secs_f64()
    );

    let path = file.display().to_string();
    let out = folder.path().join("cut.hpt").display().to_string();
    let (_, cut_memory) = run_child(&[
        "trace", "cut", &path, "--from", "60s", "--to", "120s", "-o", &out,
    ])?;
    let (summarise_time, memory) = run_child(&["trace", "summarise", &path])?;
    println!(
        "summarised in {:.1} s with {memory} bytes of memory; 60 s cut with {cut_memory} bytes of memory",
        summarise_time.as_secs_f64()
    );

    let started = Instant::now();
    let (outcomes, _) = replay::replay(vec![open(&file)?])?;
    let replay_s = started.elapsed().as_secs_f64();
    let outcome = &outcomes.first().context("the trace has no source")?.1;
    let per_s = outcome.requests as f64 / replay_s;
    let identical = outcome.first_difference.is_none() && outcome.requests == requests;
    println!("replayed in {replay_s:.1} s, {per_s:.0} requests/s, identical: {identical}");
    if let Some(file) = json {
        let value = json!({
            "hits": requests, "records": records, "bytes": bytes, "bytes_a_hit": bytes as f64 / requests as f64,
            "json_bytes_a_hit": as_json, "open_ms": open_time.as_secs_f64() * 1e3,
            "cut_10s_ms": cut_time.as_secs_f64() * 1e3, "read_all_s": read_time.as_secs_f64(),
            "summarise_s": summarise_time.as_secs_f64(), "summarise_bytes": memory, "cut_bytes": cut_memory,
            "replay_hits_per_s": per_s, "identical": identical,
        });
        write_json(file, &value)?;
    }
    Ok(if identical { 0 } else { crate::BROKEN })
}
