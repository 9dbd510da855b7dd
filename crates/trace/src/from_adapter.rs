//! Converts a bench run to a trace, from the lines that the adapter read and wrote on its pipes.

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

/// A request that is unanswered or has attempts in flight.
struct InFlightRequest {
    id: RequestId,
    deadline: Nanos,
    /// Whether the request is unanswered.
    is_open: bool,
    /// For each attempt, whether it is in flight.
    attempts_in_flight: Vec<bool>,
}

/// An adapter instance that converts what it receives to events.
struct RecordingInstance {
    now: Nanos,
    names: Names,
    /// The source of an instance that has just been attached; the caller takes it and assigns the source index.
    new_source: Option<Box<Source>>,
    /// Index of the source in the trace.
    source: usize,
    /// The ids of all pods that were ever listed, by name.
    pods: HashMap<String, PodId>,
    pod_snapshots: Vec<Arc<PodSnapshot>>,
    /// Requests in flight by name; a request is removed once it is answered and its attempts have ended.
    requests: HashMap<String, InFlightRequest>,
    next_request: RequestId,
    /// The last id of a vote or health check: an engine numbers both with one counter.
    call_count: u64,
    /// Ids of the votes without a reply, in the order in which they were cast.
    pending_votes: VecDeque<u64>,
    /// Ids of the health checks without a result, by pod, in the order in which they were sent.
    pending_checks: HashMap<PodId, VecDeque<u64>>,
    /// Events that were not written to the trace yet.
    events: Vec<Event>,
}

impl RecordingInstance {
    /// Returns a record of the current time, with the pod that it names.
    fn record(&self, payload: Payload) -> Record {
        let record = Record {
            at: self.now,
            engine_time: self.now,
            source: self.source,
            payload,
            pod: None,
        };
        let pod = record.pod_id().and_then(|pod| self.pod_snapshots.get(pod));
        Record {
            pod: pod.cloned(),
            ..record
        }
    }

    /// Returns the id of a new vote or health check.
    fn next_call_id(&mut self) -> u64 {
        self.call_count += 1;
        self.call_count
    }

    /// Removes a request that is answered and has no attempts in flight.
    fn remove_if_finished(&mut self, name: &str) {
        if self
            .requests
            .get(name)
            .is_some_and(|pending| !pending.is_open && !pending.attempts_in_flight.contains(&true))
        {
            self.requests.remove(name);
        }
    }

    fn request_id(&self, name: &str) -> RequestId {
        // The replay reports a request id that the engine does not know as a difference.
        self.requests
            .get(name)
            .map_or(RequestId::MAX, |pending| pending.id)
    }

    fn mark_answered(&mut self, name: &str) {
        if let Some(pending) = self.requests.get_mut(name) {
            pending.is_open = false;
        }
        self.remove_if_finished(name);
    }
}

impl InstanceListener for RecordingInstance {
    fn create(now: Nanos, sidecar: u64, seed: u64, setup: Setup) -> RecordingInstance {
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
            new_source: Some(Box::new(source)),
            source: 0,
            pods: HashMap::new(),
            pod_snapshots: Vec::new(),
            requests: HashMap::new(),
            next_request: 0,
            call_count: 0,
            pending_votes: VecDeque::new(),
            pending_checks: HashMap::new(),
            events: Vec::new(),
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
        self.events.push(Event::Started);
    }

    fn update_endpoints(&mut self, complete: bool, listed: &[ListedPod]) {
        let (mut pods, mut pod_ids) = (Vec::new(), Vec::new());
        for ListedPod {
            pod,
            zone,
            machine,
            endpoint,
        } in listed
        {
            let next = self.pod_snapshots.len();
            let id = *self.pods.entry(pod.clone()).or_insert(next);
            let snapshot = Arc::new(PodSnapshot {
                pod: id,
                build: endpoint.build,
                name: pod.clone(),
                zone: zone.clone(),
            });
            match self.pod_snapshots.get_mut(id) {
                Some(known) => *known = snapshot,
                None => self.pod_snapshots.push(snapshot),
            }
            let age = match endpoint.started {
                0 => 0,
                started => self.now.saturating_sub(started).max(1),
            };
            pods.push(ListedEndpoint {
                name: pod.clone(),
                // The bench has no addresses.
                address: SocketAddr::from(([0, 0, 0, 0], 0)),
                state: endpoint.state,
                build: endpoint.build,
                incarnation: endpoint.started,
                age,
                zone: zone.clone(),
                machine: machine.clone(),
                cell: endpoint.cell,
                size: endpoint.size,
            });
            pod_ids.push(Some(id));
        }
        self.events.push(Event::EndpointsListed {
            complete,
            pods,
            pod_ids,
        });
    }

    fn endpoint_watch_failed(&mut self) {
        self.events.push(Event::EndpointWatchFailed);
    }

    fn handle_request(&mut self, name: &str, request: IncomingRequest) {
        let id = self.next_request;
        self.next_request += 1;
        let IncomingRequest {
            class: route_class,
            tenant,
            key,
            remaining,
            cost_hint,
            is_retry,
            ..
        } = request;
        let pending = InFlightRequest {
            id,
            deadline: self.now.saturating_add(remaining),
            is_open: true,
            attempts_in_flight: Vec::new(),
        };
        self.requests.insert(name.to_string(), pending);
        let attributes = RequestAttributes {
            route_class,
            tenant,
            key,
            remaining,
            cost_hint,
            is_retry,
        };
        self.events.push(Event::RequestArrived {
            request: id,
            attributes,
        });
    }

    fn attempt_ended(&mut self, name: &str, attempt: usize, outcome: AttemptOutcome) {
        let Some(pending) = self.requests.get_mut(name) else {
            return;
        };
        let Some(is_in_flight) = pending
            .attempts_in_flight
            .get_mut(attempt)
            .filter(|is_in_flight| **is_in_flight)
        else {
            return;
        };
        *is_in_flight = false;
        let AttemptOutcome {
            end, took, load, ..
        } = outcome;
        let delivered = pending.is_open && end == AttemptEnd::Served;
        pending.is_open &= !delivered;
        let (request, attempt) = (pending.id, attempt as u32);
        self.events.push(Event::AttemptEnded {
            request,
            attempt,
            end,
            took,
            load,
            delivered,
        });
        self.remove_if_finished(name);
    }

    fn client_left(&mut self, name: &str) {
        if let Some(request) = self.requests.get(name).map(|pending| pending.id) {
            self.events.push(Event::ClientLeft { request });
            self.mark_answered(name);
        }
    }

    fn timer_fired(&mut self, id: u64) {
        // An engine numbers its timers from 1, the adapter from 0.
        self.events.push(Event::TimerFired(id.saturating_add(1)));
    }

    fn update_stage(&mut self, stage: Stage) {
        self.events.push(Event::StageChanged(stage));
    }

    fn vote_answered(&mut self, reply: VoteReply) {
        if let Some(vote) = self.pending_votes.pop_front() {
            self.events.push(Event::VoteAnswered { vote, reply });
        }
    }

    fn update_tally(&mut self, tally: Tally) {
        self.events.push(Event::TallyReported(tally));
    }

    fn report_fault(&mut self, pod: &str, route_class: RouteClassId, ago: Nanos) {
        if let Some(pod) = self.pods.get(pod).copied() {
            self.events.push(Event::FaultReported {
                pod,
                route_class,
                ago,
            });
        }
    }

    fn health_checked(&mut self, pod: &str, result: HealthCheckResult) {
        let Some(pod) = self.pods.get(pod) else {
            return;
        };
        if let Some(check) = self
            .pending_checks
            .get_mut(pod)
            .and_then(VecDeque::pop_front)
        {
            self.events.push(Event::HealthCheckEnded { check, result });
        }
    }
}

/// Converts the actions of the instances to effects; actions of stopped instances are skipped.
struct ActionRecorder<'a> {
    session: &'a mut Session<RecordingInstance>,
    effects: Vec<(u64, Effect)>,
}

impl ActionRecorder<'_> {
    fn add_effect(&mut self, sidecar: u64, effect: impl FnOnce(&mut RecordingInstance) -> Effect) {
        if let Some(Some(instance)) = self.session.instances.get_mut(&sidecar) {
            let effect = effect(instance);
            self.effects.push((sidecar, effect));
        }
    }
}

impl ActionListener for ActionRecorder<'_> {
    fn attempt(&mut self, sidecar: u64, request: &str, pod: &str, timeout: Nanos) {
        self.add_effect(sidecar, |instance| {
            let pod = instance.pods.get(pod).copied().unwrap_or(PodId::MAX);
            let Some(pending) = instance.requests.get_mut(request) else {
                return Effect::SendAttempt {
                    request: RequestId::MAX,
                    attempt: 0,
                    pod,
                    timeout,
                };
            };
            pending.attempts_in_flight.push(true);
            Effect::SendAttempt {
                request: pending.id,
                attempt: pending.attempts_in_flight.len() as u32 - 1,
                pod,
                timeout,
            }
        });
    }

    fn cancel(&mut self, sidecar: u64, request: &str, attempt: u32) {
        self.add_effect(sidecar, |instance| Effect::CancelAttempt {
            request: instance.request_id(request),
            attempt,
        });
    }

    fn reject(&mut self, sidecar: u64, request: &str, retry_after: Nanos) {
        self.add_effect(sidecar, |instance| {
            let effect = Effect::Reject {
                request: instance.request_id(request),
                retry_after,
            };
            instance.mark_answered(request);
            effect
        });
    }

    fn fail(&mut self, sidecar: u64, request: &str) {
        self.add_effect(sidecar, |instance| {
            let timed_out = instance
                .requests
                .get(request)
                .is_some_and(|pending| instance.now >= pending.deadline);
            let effect = Effect::Fail {
                request: instance.request_id(request),
                timed_out,
            };
            instance.mark_answered(request);
            effect
        });
    }

    fn vote(&mut self, sidecar: u64, build: Build, stage: usize, vote: Vote) {
        self.add_effect(sidecar, |instance| {
            let id = instance.next_call_id();
            instance.pending_votes.push_back(id);
            Effect::CastVote {
                id,
                build,
                stage,
                vote,
            }
        });
    }

    fn health_check(&mut self, sidecar: u64, pod: &str) {
        self.add_effect(sidecar, |instance| {
            let (check, pod) = (
                instance.next_call_id(),
                instance.pods.get(pod).copied().unwrap_or(PodId::MAX),
            );
            instance
                .pending_checks
                .entry(pod)
                .or_default()
                .push_back(check);
            Effect::HealthCheck { check, pod }
        });
    }

    fn poll_endpoints(&mut self, sidecar: u64) {
        self.add_effect(sidecar, |_| Effect::PollEndpoints);
    }

    fn watch_endpoints(&mut self, sidecar: u64, on: bool) {
        self.add_effect(sidecar, |_| Effect::WatchEndpoints(on));
    }

    fn log(&mut self, sidecar: u64, text: &str) {
        self.add_effect(sidecar, |_| Effect::Log(text.to_string()));
    }
}

fn unusable(error: WireError) -> TraceError {
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
                return Line::parse(self.number, &self.text)
                    .map(Some)
                    .map_err(unusable);
            }
        }
    }
}

/// Returns the source of every incarnation that starts in a run, in order, by a first pass over the adapter's input.
///
/// # Errors
/// A line that does not follow the adapter's protocol.
pub fn sources(input: impl BufRead) -> Result<Vec<Source>, TraceError> {
    let (mut lines, mut session, mut sources) = (
        Lines::new(input),
        Session::<RecordingInstance>::default(),
        Vec::new(),
    );
    while let Some(line) = lines.next()? {
        let sidecar = line.fields().integer("sidecar").ok();
        session.handle_line(line).map_err(unusable)?;
        let instance = sidecar
            .and_then(|sidecar| session.instances.get_mut(&sidecar))
            .and_then(Option::as_mut);
        if let Some(instance) = instance {
            sources.extend(instance.new_source.take().map(|source| *source));
            instance.events.clear();
        }
    }
    Ok(sources)
}

/// Writes the run as a trace, one source for each incarnation. The effects of a batch of input lines come after all
/// events of the batch. Returns the number of records.
///
/// # Errors
/// A line that does not follow the adapter's protocol, or an output that does not answer the batches of the input.
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
        let sidecar = line.fields().integer("sidecar").ok();
        let batch = conversion.session.handle_line(line).map_err(unusable)?;
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

/// The conversion of a bench run to a trace.
struct Conversion<O, W: Write> {
    output: Lines<O>,
    session: Session<RecordingInstance>,
    writer: Writer<W>,
    /// Incarnations that have started; each is a source of the trace.
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
        if instance.new_source.take().is_some() {
            instance.source = self.incarnations;
            self.incarnations += 1;
        }
        for event in std::mem::take(&mut instance.events) {
            self.writer.put(instance.record(Payload::Event(event)))?;
            self.records += 1;
        }
        Ok(())
    }

    /// Reads the output up to the end of its answer to a batch, and writes the effects.
    fn write_answer(&mut self, batch: u64) -> Result<(), TraceError> {
        loop {
            let Some(line) = self.output.next()? else {
                let message = format!("the output ends before its answer to batch {batch}");
                return Err(TraceError::Unusable(message));
            };
            let mut recorder = ActionRecorder {
                session: &mut self.session,
                effects: Vec::new(),
            };
            let answered = actions::decode(&line, &mut recorder).map_err(unusable)?;
            for (sidecar, effect) in recorder.effects {
                if let Some(Some(instance)) = self.session.instances.get(&sidecar) {
                    self.writer.put(instance.record(Payload::Effect(effect)))?;
                    self.records += 1;
                }
            }
            match answered {
                Some(answered) if answered == batch => return Ok(()),
                Some(answered) => {
                    let message =
                        format!("the output answers batch {answered} where the input has {batch}");
                    return Err(TraceError::Unusable(message));
                }
                None => {}
            }
        }
    }
}
