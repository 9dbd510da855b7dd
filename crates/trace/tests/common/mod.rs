//! Runs one engine with simulated clients, pods and services in virtual time, and records it in memory.

#![allow(dead_code, clippy::unwrap_used)]

use havenplank::interface::*;
use havenplank_line_protocol::control_plane::ClassTally;
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use havenplank_settings::{load, Given};
use havenplank_sidecar::engine::{Effect, Engine, EngineSettings, RequestAttributes, EPOCH};
use havenplank_trace::file::Reader;
use havenplank_trace::recorder::{FileStore, Limits, Recorder, WriterHandle};
use havenplank_trace::{Record, Source};
use oorandom::Rand64;
use std::io::{self, Cursor, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub const MS: Nanos = 1_000_000;
pub const S: Nanos = 1_000 * MS;
/// Start of the simulation, in nanoseconds since 1970.
pub const SIMULATION_START: Nanos = 1_700_000_000 * S;

pub fn engine_settings(name: &str) -> EngineSettings {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/site.star");
    let given = Given::from([("name".to_string(), name.to_string())]);
    EngineSettings::from(&load(&file, &given).unwrap_or_else(|problems| panic!("{problems}")))
}

/// One incarnation of one sidecar in the simulation.
#[derive(Clone)]
pub struct SidecarRun {
    pub name: String,
    pub seed: u64,
    /// Start, in nanoseconds since the start of the simulation.
    pub start: Nanos,
    /// Duration in nanoseconds.
    pub duration: Nanos,
    /// How far the clock is ahead at the start, in nanoseconds.
    pub skew: i64,
    /// How much faster than real time the clock runs, in nanoseconds per nanosecond.
    pub drift: f64,
    /// The longest delay until the sidecar receives a shared event, in nanoseconds.
    pub max_notice_delay: Nanos,
    pub limits: Limits,
}

impl SidecarRun {
    pub fn new(name: &str, seed: u64, duration: Nanos) -> SidecarRun {
        let limits = Limits {
            sample_share: 1.0,
            queue_bytes: 64 << 20,
            max_request_duration: 3 * S,
            file_bytes: u64::MAX,
            file_age: u64::MAX,
        };
        SidecarRun {
            name: name.to_string(),
            seed,
            start: 0,
            duration,
            skew: 0,
            drift: 0.0,
            max_notice_delay: 0,
            limits,
        }
    }

    pub fn engine_time(&self, time: Nanos) -> Nanos {
        let since_start = time - self.start;
        EPOCH + (since_start as f64 * (1.0 + self.drift)) as Nanos
    }

    pub fn source(&self) -> Source {
        let wall_start = (SIMULATION_START + self.start).wrapping_add_signed(self.skew);
        let (settings, incarnation) = (engine_settings(&self.name), self.seed ^ 0x5eed);
        Source {
            settings,
            seed: self.seed,
            incarnation,
            part: 0,
            engine_start: EPOCH,
            wall_start,
            sample_share: 1.0,
            is_complete: true,
            records_end: u64::MAX,
        }
    }
}

/// A store that keeps the files in memory, in the order in which they were created.
#[derive(Clone, Default)]
pub struct Memory(pub Arc<Mutex<Vec<Vec<u8>>>>);

struct MemoryFile(Memory, usize);

impl Write for MemoryFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 .0.lock().unwrap()[self.1].extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl FileStore for Memory {
    fn open(&mut self, _part: u64) -> io::Result<Box<dyn Write + Send>> {
        let mut files = self.0.lock().unwrap();
        files.push(Vec::new());
        Ok(Box::new(MemoryFile(self.clone(), files.len() - 1)))
    }
}

pub fn pod(n: u64, state: PodState, build: Build, incarnation: u64) -> ListedEndpoint {
    ListedEndpoint {
        name: format!("searchnode{n}.krakow.example.org"),
        address: ([10, 20, 30, n as u8], 4000 + n as u16).into(),
        state,
        build,
        incarnation,
        age: if build == 1 { 0 } else { 10 * S },
        zone: format!("serverhall-{}", n % 2 + 1),
        machine: "three-core".to_string(),
        cell: n as i64 / 4,
        size: 3.0,
    }
}

/// An event that all sidecars receive: a pod disappears or comes back, or a stage begins.
pub enum Event {
    Pod(ListedEndpoint),
    Stage(Stage),
}

/// Interval between two shared events.
pub const EVENT_INTERVAL: Nanos = 350 * MS;

/// Returns the shared event number `k`.
pub fn event(k: u64) -> Event {
    if k % 8 == 3 {
        let stage = (k / 8 % 4) as usize;
        let build = 2 + (k / 32) as Build;
        return Event::Stage(Stage {
            build,
            stage,
            phase: Phase::Trial,
            cap: [0.136, 0.425, 1.0, 1.0][stage],
            age: 0,
        });
    }
    let n = k % 6;
    match k / 6 % 2 {
        0 => Event::Pod(pod(n, PodState::Gone, 1, 1 + k / 12)),
        _ => Event::Pod(pod(n, PodState::Running, 1, 2 + k / 12)),
    }
}

/// Simulates a run of an engine that is observed by `recorder`.
pub fn run_engine(run: &SidecarRun, recorder: Recorder) {
    let mut engine =
        Engine::new(EPOCH, run.seed, &engine_settings(&run.name)).with_observer(Box::new(recorder));
    let mut random = Rand64::new(run.seed as u128);
    engine.start(EPOCH);
    let mut first: Vec<ListedEndpoint> = (0..12).map(|n| pod(n, PodState::Running, 1, 1)).collect();
    first.extend((12..16).map(|n| pod(n, PodState::Running, 2, 1)));
    engine.update_endpoints(EPOCH, true, first);
    let mut next_event = run.start.div_ceil(EVENT_INTERVAL);
    let mut due = next_event * EVENT_INTERVAL + random.rand_range(0..run.max_notice_delay + 1);
    let mut in_flight: Vec<(Nanos, u64, u32, AttemptEnd, Nanos)> = Vec::new();
    let step = MS;
    for tick in 0..run.duration / step {
        let time = run.start + tick * step + random.rand_range(0..step / 2);
        let now = run.engine_time(time);
        if engine.next_timer().is_some_and(|at| at <= now) {
            engine.run_timers(now);
        }
        while due <= time {
            match event(next_event) {
                Event::Pod(pod) => drop(engine.update_endpoints(now, false, vec![pod])),
                Event::Stage(stage) => engine.update_stage(now, stage),
            }
            next_event += 1;
            due = next_event * EVENT_INTERVAL + random.rand_range(0..run.max_notice_delay + 1);
        }
        if tick % 5 == 0 {
            let class = (tick / 5 % 3) as usize;
            let (tenant, key) = (Some((tick % 2) as usize), random.rand_range(1..40) << 20);
            let remaining =
                [2 * S, 3 * S, 3 * S][class] - 20 * MS - random.rand_range(20_000..60_000);
            engine.handle_request(
                now,
                RequestAttributes {
                    route_class: class,
                    tenant,
                    key,
                    remaining,
                    cost_hint: None,
                    is_retry: false,
                },
            );
        }
        if tick % 400 == 7 {
            let tally = ClassTally {
                build: 1,
                class: "query".to_string(),
                count: 40,
                failed: 1,
                mean_latency: 30 * MS,
                age: S,
            };
            engine.update_tally(now, &tally);
            engine.report_fault(now, "searchnode13.krakow.example.org", "query", S);
        }
        while let Some(at) = in_flight.iter().position(|(due, ..)| *due <= time) {
            let (_, request, attempt, end, sent) = in_flight.remove(at);
            let load = LoadReport {
                in_flight: Some((request % 4) as f64),
                cpu_utilization: Some(0.333),
                ..LoadReport::default()
            };
            engine.attempt_ended(now, request, attempt, end, now - sent + 30_000, Some(load));
        }
        while let Some(effect) = engine.next_effect() {
            match effect {
                Effect::SendAttempt {
                    request,
                    attempt,
                    pod,
                    ..
                } => {
                    let allowed = engine.may_send(now, request, attempt);
                    let fails = random.rand_range(0..100) < if pod >= 12 { 30 } else { 2 };
                    let end = match (allowed, fails) {
                        (false, _) => AttemptEnd::NotSent,
                        (_, true) => AttemptEnd::Failed,
                        _ => AttemptEnd::Served,
                    };
                    in_flight.push((
                        time + random.rand_range(8 * MS..50 * MS),
                        request,
                        attempt,
                        end,
                        now,
                    ));
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
                Effect::HealthCheck { check, .. } => {
                    engine.health_check_ended(
                        now,
                        check,
                        HealthCheckResult {
                            end: AttemptEnd::Served,
                            took: MS,
                            load: None,
                        },
                    );
                }
                _ => {}
            }
        }
    }
}

pub fn finish(writer_handle: WriterHandle) {
    assert!(
        writer_handle.wait(Duration::from_secs(60)),
        "all records are written"
    );
}

/// Returns the files of a run.
pub fn files(run: &SidecarRun) -> Vec<Vec<u8>> {
    let memory = Memory::default();
    let (recorder, writer_handle) =
        Recorder::start(run.source(), run.limits.clone(), Box::new(memory.clone()));
    run_engine(run, recorder);
    finish(writer_handle);
    let files = std::mem::take(&mut *memory.0.lock().unwrap());
    files
}

/// Returns the only file of a run.
pub fn file(run: &SidecarRun) -> Vec<u8> {
    let mut files = files(run);
    assert_eq!(files.len(), 1);
    files.remove(0)
}

pub fn open(bytes: &[u8]) -> Reader<Cursor<Vec<u8>>> {
    Reader::open(Cursor::new(bytes.to_vec())).unwrap_or_else(|error| panic!("{error}"))
}

pub fn all(bytes: &[u8]) -> Vec<Record> {
    let mut reader = open(bytes);
    std::iter::from_fn(|| reader.record().unwrap_or_else(|error| panic!("{error}"))).collect()
}
