//! Makes a trace of a bench run from what the adapter read and wrote on its pipes.

use crate::file::{TraceError, Writer};
use crate::record::{Head, Payload, PodSnapshot, Record, Source};
use havenplank::interface::{
    AttemptEnd, AttemptOutcome, Build, HealthCheckResult, IncomingRequest, Nanos, PodId, RequestId,
    RouteClassId, Stage, Tally, Vote, VoteReply,
};
use havenplank_adapter::actions::{self, ActionListener};
use havenplank_adapter::decode::{InstanceListener, ListedPod};
use havenplank_adapter::error::WireError;
use havenplank_adapter::line::Line;
use havenplank_adapter::session::Session;
use havenplank_adapter::setup::{Names, Setup};
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use havenplank_sidecar::engine::{Effect, EngineSettings, RequestAttributes};
use havenplank_sidecar::events::Event;
use std::collections::{HashMap, VecDeque};
use std::io::{BufRead, Write};
use std::net::SocketAddr;
use std::sync::Arc;

/// A request in flight.
struct InFlightRequest {
    id: RequestId,
    deadline: Nanos,
    open: bool,
    out: Vec<bool>,
}

/// An instance that collects what it receives as events.
struct RecordingInstance {
    now: Nanos,
    names: Names,
    /// Taken by whoever numbers the sources.
    fresh: Option<Box<Source>>,
    number: usize,
    /// Pods by name; grows with the pods ever listed.
    pods: HashMap<String, PodId>,
    cards: Vec<Arc<PodSnapshot>>,
    /// Requests in flight by name; a request leaves once it is answered and its attempts have ended.
    requests: HashMap<String, InFlightRequest>,
    next_hit: RequestId,
    /// Votes and health checks are counted together, as an engine counts them.
    calls: u64,
    votes: VecDeque<u64>,
    probes: HashMap<PodId, VecDeque<u64>>,
    told: Vec<Event>,
}

impl RecordingInstance {
    /// Returns a record of now, with the pod that it names.
    fn record(&self, payload: Payload) -> Record {
        let record = Record {
            at: self.now,
            engine_time: self.now,
            source: self.number,
            payload,
            pod: None,
        };
        let pod = record.pod_id().and_then(|pod| self.cards.get(pod));
        Record {
            pod: pod.cloned(),
            ..record
        }
    }

    fn call(&mut self) -> u64 {
        self.calls += 1;
        self.calls
    }

    fn sweep(&mut self, name: &str) {
        if self
            .requests
            .get(name)
            .is_some_and(|held| !held.open && !held.out.contains(&true))
        {
            self.requests.remove(name);
        }
    }

    fn id(&self, name: &str) -> RequestId {
        // The replay reports a request that nobody knows.
        self.requests
            .get(name)
            .map_or(RequestId::MAX, |held| held.id)
    }

    fn close(&mut self, name: &str) {
        if let Some(held) = self.requests.get_mut(name) {
            held.open = false;
        }
        self.sweep(name);
    }
}

impl InstanceListener for RecordingInstance {
    fn attach(now: Nanos, sidecar: u64, seed: u64, setup: Setup) -> RecordingInstance {
        let Setup { names, router } = setup;
        let class_names = names.route_classes.iter().cloned();
        let settings = EngineSettings {
            name: format!("sidecar-{sidecar}"),
            position: router.position,
            zones: names.zones.clone(),
            machines: names.machines.clone(),
            tenants: names.tenants.clone(),
            route_classes: class_names.zip(router.route_classes).collect(),
            attempts: router.attempts,
            pods: router.pods,
            exposure: router.exposure,
            votes: router.votes,
            endpoint_list: router.endpoint_list,
            reuse_pod_ids: false,
        };
        let (incarnation, records_end) = (seed ^ now, Nanos::MAX);
        let source = Source {
            settings,
            seed,
            incarnation,
            part: 0,
            engine_start: now,
            wall_start: now,
            sample_share: 1.0,
            is_complete: true,
            records_end,
        };
        RecordingInstance {
            now,
            names,
            fresh: Some(Box::new(source)),
            number: 0,
            pods: HashMap::new(),
            cards: Vec::new(),
            requests: HashMap::new(),
            next_hit: 0,
            calls: 0,
            votes: VecDeque::new(),
            probes: HashMap::new(),
            told: Vec::new(),
        }
    }

    fn set_time(&mut self, now: Nanos) {
        self.now = now;
    }

    fn names(&self) -> &Names {
        &self.names
    }

    fn knows_pod(&self, pod: &str) -> bool {
        self.pods.contains_key(pod)
    }

    fn start(&mut self) {
        self.told.push(Event::Started);
    }

    fn update_endpoints(&mut self, whole: bool, rows: &[ListedPod]) {
        let (mut pods, mut given) = (Vec::new(), Vec::new());
        for ListedPod {
            pod,
            zone,
            machine,
            endpoint: entry,
        } in rows
        {
            let next = self.cards.len();
            let id = *self.pods.entry(pod.clone()).or_insert(next);
            let card = Arc::new(PodSnapshot {
                pod: id,
                build: entry.build,
                name: pod.clone(),
                zone: zone.clone(),
            });
            match self.cards.get_mut(id) {
                Some(known) => *known = card,
                None => self.cards.push(card),
            }
            let age = match entry.started {
                0 => 0,
                started => self.now.saturating_sub(started).max(1),
            };
            pods.push(ListedEndpoint {
                name: pod.clone(),
                // The bench has none.
                address: SocketAddr::from(([0, 0, 0, 0], 0)),
                state: entry.state,
                build: entry.build,
                incarnation: entry.started,
                age,
                zone: zone.clone(),
                machine: machine.clone(),
                cell: entry.cell,
                size: entry.size,
            });
            given.push(Some(id));
        }
        self.told.push(Event::EndpointsListed {
            complete: whole,
            pods,
            pod_ids: given,
        });
    }

    fn endpoint_watch_failed(&mut self) {
        self.told.push(Event::EndpointWatchFailed);
    }

    fn handle_request(&mut self, name: &str, hit: IncomingRequest) {
        let id = self.next_hit;
        self.next_hit += 1;
        let IncomingRequest {
            class: group,
            tenant,
            key,
            remaining: left,
            cost_hint,
            is_retry: repeat,
            ..
        } = hit;
        let held = InFlightRequest {
            id,
            deadline: self.now.saturating_add(left),
            open: true,
            out: Vec::new(),
        };
        self.requests.insert(name.to_string(), held);
        let asked = RequestAttributes {
            route_class: group,
            tenant,
            key,
            remaining: left,
            cost_hint,
            is_retry: repeat,
        };
        self.told.push(Event::RequestArrived {
            request: id,
            attributes: asked,
        });
    }

    fn attempt_ended(&mut self, name: &str, nth: usize, outcome: AttemptOutcome) {
        let Some(held) = self.requests.get_mut(name) else {
            return;
        };
        let Some(out) = held.out.get_mut(nth).filter(|out| **out) else {
            return;
        };
        *out = false;
        let AttemptOutcome {
            end, took, load, ..
        } = outcome;
        let passed = held.open && end == AttemptEnd::Served;
        held.open &= !passed;
        let (hit, nth) = (held.id, nth as u32);
        self.told.push(Event::AttemptEnded {
            request: hit,
            attempt: nth,
            end,
            took,
            load,
            delivered: passed,
        });
        self.sweep(name);
    }

    fn client_left(&mut self, name: &str) {
        if let Some(hit) = self.requests.get(name).map(|held| held.id) {
            self.told.push(Event::ClientLeft { request: hit });
            self.close(name);
        }
    }

    fn timer_fired(&mut self, id: u64) {
        // An engine counts its wakes from 1, the adapter from 0.
        self.told.push(Event::TimerFired(id.saturating_add(1)));
    }

    fn update_stage(&mut self, stage: Stage) {
        self.told.push(Event::StageChanged(stage));
    }

    fn vote_answered(&mut self, news: VoteReply) {
        if let Some(vote) = self.votes.pop_front() {
            self.told.push(Event::VoteAnswered { vote, reply: news });
        }
    }

    fn update_tally(&mut self, tally: Tally) {
        self.told.push(Event::TallyReported(tally));
    }

    fn report_fault(&mut self, pod: &str, group: RouteClassId, ago: Nanos) {
        if let Some(pod) = self.pods.get(pod).copied() {
            self.told.push(Event::FaultReported {
                pod,
                route_class: group,
                ago,
            });
        }
    }

    fn health_checked(&mut self, pod: &str, end: HealthCheckResult) {
        let Some(pod) = self.pods.get(pod) else {
            return;
        };
        if let Some(probe) = self.probes.get_mut(pod).and_then(VecDeque::pop_front) {
            self.told.push(Event::HealthCheckEnded {
                check: probe,
                result: end,
            });
        }
    }
}

/// Collects what the instances did as effects; actions of stopped instances are skipped.
struct ActionRecorder<'a> {
    wire: &'a mut Session<RecordingInstance>,
    done: Vec<(u64, Effect)>,
}

impl ActionRecorder<'_> {
    fn by(&mut self, sidecar: u64, effect: impl FnOnce(&mut RecordingInstance) -> Effect) {
        if let Some(Some(instance)) = self.wire.instances.get_mut(&sidecar) {
            let effect = effect(instance);
            self.done.push((sidecar, effect));
        }
    }
}

impl ActionListener for ActionRecorder<'_> {
    fn attempt(&mut self, sidecar: u64, hit: &str, pod: &str, time_out: Nanos) {
        self.by(sidecar, |instance| {
            let pod = instance.pods.get(pod).copied().unwrap_or(PodId::MAX);
            let Some(held) = instance.requests.get_mut(hit) else {
                return Effect::SendAttempt {
                    request: RequestId::MAX,
                    attempt: 0,
                    pod,
                    timeout: time_out,
                };
            };
            held.out.push(true);
            Effect::SendAttempt {
                request: held.id,
                attempt: held.out.len() as u32 - 1,
                pod,
                timeout: time_out,
            }
        });
    }

    fn cancel(&mut self, sidecar: u64, hit: &str, nth: u32) {
        self.by(sidecar, |instance| Effect::CancelAttempt {
            request: instance.id(hit),
            attempt: nth,
        });
    }

    fn reject(&mut self, sidecar: u64, hit: &str, retry_after: Nanos) {
        self.by(sidecar, |instance| {
            let bounced = Effect::Reject {
                request: instance.id(hit),
                retry_after,
            };
            instance.close(hit);
            bounced
        });
    }

    fn fail(&mut self, sidecar: u64, hit: &str) {
        self.by(sidecar, |instance| {
            let late = instance
                .requests
                .get(hit)
                .is_some_and(|held| instance.now >= held.deadline);
            let errored = Effect::Fail {
                request: instance.id(hit),
                timed_out: late,
            };
            instance.close(hit);
            errored
        });
    }

    fn vote(&mut self, sidecar: u64, build: Build, stage: usize, voice: Vote) {
        self.by(sidecar, |instance| {
            let vote = instance.call();
            instance.votes.push_back(vote);
            Effect::CastVote {
                id: vote,
                build,
                stage,
                vote: voice,
            }
        });
    }

    fn health_check(&mut self, sidecar: u64, pod: &str) {
        self.by(sidecar, |instance| {
            let (probe, pod) = (
                instance.call(),
                instance.pods.get(pod).copied().unwrap_or(PodId::MAX),
            );
            instance.probes.entry(pod).or_default().push_back(probe);
            Effect::HealthCheck { check: probe, pod }
        });
    }

    fn poll_endpoints(&mut self, sidecar: u64) {
        self.by(sidecar, |_| Effect::PollEndpoints);
    }

    fn watch_endpoints(&mut self, sidecar: u64, on: bool) {
        self.by(sidecar, |_| Effect::WatchEndpoints(on));
    }

    fn log(&mut self, sidecar: u64, text: &str) {
        self.by(sidecar, |_| Effect::Log(text.to_string()));
    }
}

fn unfit(error: WireError) -> TraceError {
    TraceError::Unusable(error.to_string())
}

/// Reads the lines of one pipe and counts them.
struct Lines<I> {
    input: I,
    text: Vec<u8>,
    number: u64,
}

impl<I: BufRead> Lines<I> {
    fn new(input: I) -> Lines<I> {
        Lines {
            input,
            text: Vec::new(),
            number: 0,
        }
    }

    fn next(&mut self) -> Result<Option<Line>, TraceError> {
        loop {
            self.text.clear();
            if self.input.read_until(b'\n', &mut self.text)? == 0 {
                return Ok(None);
            }
            self.number += 1;
            if !self.text.iter().all(u8::is_ascii_whitespace) {
                return Line::read(self.number, &self.text).map(Some).map_err(unfit);
            }
        }
    }
}

/// Returns every incarnation that begins in a run, in order, by a first pass over the adapter's input.
///
/// # Errors
/// A line that does not follow the adapter's protocol.
pub fn sources(input: impl BufRead) -> Result<Vec<Source>, TraceError> {
    let (mut lines, mut wire, mut sources) = (
        Lines::new(input),
        Session::<RecordingInstance>::default(),
        Vec::new(),
    );
    while let Some(line) = lines.next()? {
        let sidecar = line.of().whole("sidecar").ok();
        wire.line(line).map_err(unfit)?;
        let instance = sidecar
            .and_then(|sidecar| wire.instances.get_mut(&sidecar))
            .and_then(Option::as_mut);
        if let Some(instance) = instance {
            sources.extend(instance.fresh.take().map(|source| *source));
            instance.told.clear();
        }
    }
    Ok(sources)
}

/// Writes the run as a trace, one source for each incarnation. Effects of a batch come after all its events. Returns
/// the number of records.
///
/// # Errors
/// A line that does not follow the adapter's protocol, or outputs that do not belong to the inputs.
pub fn write(
    input: impl BufRead,
    output: impl BufRead,
    sources: Vec<Source>,
    trace: impl Write,
) -> Result<u64, TraceError> {
    let mut input = Lines::new(input);
    let mut conversion = Conversion {
        output: Lines::new(output),
        session: Session::default(),
        writer: Writer::new(trace, &Head::new(sources), Vec::new())?,
        incarnations: 0,
        records: 0,
    };
    while let Some(line) = input.next()? {
        let sidecar = line.of().whole("sidecar").ok();
        let batch = conversion.session.line(line).map_err(unfit)?;
        if let Some(sidecar) = sidecar {
            conversion.write_events(sidecar)?;
        }
        if let Some(batch) = batch {
            conversion.write_answer(batch)?;
        }
    }
    conversion.writer.finish()?;
    Ok(conversion.records)
}

/// A bench run on its way into a trace.
struct Conversion<O, W: Write> {
    output: Lines<O>,
    session: Session<RecordingInstance>,
    writer: Writer<W>,
    /// Incarnations that have begun, each a source of the trace.
    incarnations: usize,
    /// Records written.
    records: u64,
}

impl<O: BufRead, W: Write> Conversion<O, W> {
    /// Writes the events that an instance collected.
    fn write_events(&mut self, sidecar: u64) -> Result<(), TraceError> {
        let Some(Some(instance)) = self.session.instances.get_mut(&sidecar) else {
            return Ok(());
        };
        if instance.fresh.take().is_some() {
            instance.number = self.incarnations;
            self.incarnations += 1;
        }
        for event in std::mem::take(&mut instance.told) {
            self.writer.put(instance.record(Payload::Event(event)))?;
            self.records += 1;
        }
        Ok(())
    }

    /// Reads the output up to the end of its answer to a batch, and writes the effects.
    fn write_answer(&mut self, batch: u64) -> Result<(), TraceError> {
        loop {
            let Some(line) = self.output.next()? else {
                let why = format!("the output ends before its answer to batch {batch}");
                return Err(TraceError::Unusable(why));
            };
            let mut recorder = ActionRecorder {
                wire: &mut self.session,
                done: Vec::new(),
            };
            let answered = actions::read(&line, &mut recorder).map_err(unfit)?;
            for (sidecar, effect) in recorder.done {
                if let Some(Some(instance)) = self.session.instances.get(&sidecar) {
                    self.writer.put(instance.record(Payload::Effect(effect)))?;
                    self.records += 1;
                }
            }
            match answered {
                Some(answered) if answered == batch => return Ok(()),
                Some(answered) => {
                    let why =
                        format!("the output answers batch {answered} where the input has {batch}");
                    return Err(TraceError::Unusable(why));
                }
                None => {}
            }
        }
    }
}
