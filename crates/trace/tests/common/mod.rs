//! A small world in virtual time around one engine, recorded in memory.

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
/// When the world began, in nanoseconds since 1970.
pub const BASE: Nanos = 1_700_000_000 * S;

pub fn engine_settings(name: &str) -> EngineSettings {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/site.star");
    let given = Given::from([("name".to_string(), name.to_string())]);
    EngineSettings::from(&load(&file, &given).unwrap_or_else(|problems| panic!("{problems}")))
}

/// One life of one sidecar.
#[derive(Clone)]
pub struct SidecarRun {
    pub name: String,
    pub seed: u64,
    /// Since the world began.
    pub starts: Nanos,
    pub lasts: Nanos,
    /// By how much its clock is ahead, and how much faster it goes.
    pub skew: i64,
    pub drift: f64,
    /// Longest that shared events take to be heard.
    pub notice: Nanos,
    pub limits: Limits,
}

impl SidecarRun {
    pub fn new(name: &str, seed: u64, lasts: Nanos) -> SidecarRun {
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
            starts: 0,
            lasts,
            skew: 0,
            drift: 0.0,
            notice: 0,
            limits,
        }
    }

    pub fn own(&self, time: Nanos) -> Nanos {
        let since = time - self.starts;
        EPOCH + (since as f64 * (1.0 + self.drift)) as Nanos
    }

    pub fn source(&self) -> Source {
        let wall_start = (BASE + self.starts).wrapping_add_signed(self.skew);
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

/// Files in memory, in the order opened.
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

/// The shared event of a number, which all sidecars hear of: a pod leaves or comes back, or a stage begins.
pub enum Event {
    Pod(ListedEndpoint),
    Stage(Stage),
}

pub const EVENT: Nanos = 350 * MS;

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

/// Lives through `life`, its engine recorded by `recorder`.
pub fn run_engine(run: &SidecarRun, recorder: Recorder) {
    let mut engine =
        Engine::new(EPOCH, run.seed, &engine_settings(&run.name)).with_observer(Box::new(recorder));
    let mut chance = Rand64::new(run.seed as u128);
    engine.start(EPOCH);
    let mut first: Vec<ListedEndpoint> = (0..12).map(|n| pod(n, PodState::Running, 1, 1)).collect();
    first.extend((12..16).map(|n| pod(n, PodState::Running, 2, 1)));
    engine.update_endpoints(EPOCH, true, first);
    let mut heard = run.starts.div_ceil(EVENT);
    let mut due = heard * EVENT + chance.rand_range(0..run.notice + 1);
    let mut out: Vec<(Nanos, u64, u32, AttemptEnd, Nanos)> = Vec::new();
    let step = MS;
    for tick in 0..run.lasts / step {
        let time = run.starts + tick * step + chance.rand_range(0..step / 2);
        let now = run.own(time);
        if engine.next_timer().is_some_and(|at| at <= now) {
            engine.run_timers(now);
        }
        while due <= time {
            match event(heard) {
                Event::Pod(pod) => drop(engine.update_endpoints(now, false, vec![pod])),
                Event::Stage(stage) => engine.update_stage(now, stage),
            }
            heard += 1;
            due = heard * EVENT + chance.rand_range(0..run.notice + 1);
        }
        if tick % 5 == 0 {
            let group = (tick / 5 % 3) as usize;
            let (tenant, key) = (Some((tick % 2) as usize), chance.rand_range(1..40) << 20);
            let left = [2 * S, 3 * S, 3 * S][group] - 20 * MS - chance.rand_range(20_000..60_000);
            engine.handle_request(
                now,
                RequestAttributes {
                    route_class: group,
                    tenant,
                    key,
                    remaining: left,
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
        while let Some(at) = out.iter().position(|(due, ..)| *due <= time) {
            let (_, hit, nth, end, sent) = out.remove(at);
            let load = LoadReport {
                in_flight: Some((hit % 4) as f64),
                cpu_utilization: Some(0.333),
                ..LoadReport::default()
            };
            engine.attempt_ended(now, hit, nth, end, now - sent + 30_000, Some(load));
        }
        while let Some(effect) = engine.next_effect() {
            match effect {
                Effect::SendAttempt {
                    request: hit,
                    attempt: nth,
                    pod,
                    ..
                } => {
                    let may = engine.may_send(now, hit, nth);
                    let fails = chance.rand_range(0..100) < if pod >= 12 { 30 } else { 2 };
                    let end = match (may, fails) {
                        (false, _) => AttemptEnd::NotSent,
                        (_, true) => AttemptEnd::Failed,
                        _ => AttemptEnd::Served,
                    };
                    out.push((
                        time + chance.rand_range(8 * MS..50 * MS),
                        hit,
                        nth,
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
                Effect::HealthCheck { check: probe, .. } => {
                    engine.health_check_ended(
                        now,
                        probe,
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

pub fn finish(writing: WriterHandle) {
    assert!(writing.wait(Duration::from_secs(60)), "all is written");
}

/// The files of a life, in memory.
pub fn files(run: &SidecarRun) -> Vec<Vec<u8>> {
    let memory = Memory::default();
    let (recorder, writing) =
        Recorder::start(run.source(), run.limits.clone(), Box::new(memory.clone()));
    run_engine(run, recorder);
    finish(writing);
    let files = std::mem::take(&mut *memory.0.lock().unwrap());
    files
}

/// The only file of a life.
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
