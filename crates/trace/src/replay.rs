//! Replays recorded events through an engine and compares every decision with the recorded one.

use crate::file::{Reader, TraceError};
use crate::record::{Payload, Record, Source};
use havenplank::interface::Nanos;
use havenplank_sidecar::engine::{Effect, Engine, EngineSettings};
use havenplank_sidecar::events::Event;
use std::collections::HashMap;
use std::io::{Read, Seek};

/// The number of log texts of an anonymised trace whose pseudonyms are remembered; at this number all are forgotten and
/// collected again.
const MAX_PSEUDONYMS: usize = 1 << 16;

/// The longest time between two records, one day. A sidecar's timers fire every few seconds, so a longer time is an
/// error, and the engine would iterate over all its windows in that time.
const MAX_CLOCK_STEP: Nanos = 86_400_000_000_000;

/// The result of a replay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Requests that arrived.
    pub requests: u64,
    /// Decisions that were compared.
    pub compared: u64,
    /// Records that were replayed.
    pub records: u64,
    /// The first decision that differs from the recorded one, if any.
    pub first_difference: Option<Difference>,
    /// Time on the source's clock, in nanoseconds, from which on records are missing; the replay ended there.
    pub stopped_at: Option<Nanos>,
}

/// The first decision that differs from the recorded one.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The number of the record, counted from 0 over the records of this source.
    pub record: u64,
    /// Time on the source's clock, in nanoseconds.
    pub at: Nanos,
    /// The recorded decision.
    pub recorded: String,
    /// The decision of the engine in the replay.
    pub replayed: String,
}

/// Replays one source.
pub struct Replay {
    engine: Engine,
    route_classes: usize,
    source: usize,
    records_end: Nanos,
    /// Pseudonyms by log text, for an anonymised trace.
    pseudonyms: Option<HashMap<String, String>>,
    last_time: Nanos,
    /// The result so far.
    pub outcome: Outcome,
}

impl Replay {
    /// Creates an engine with the source's settings; `number` is the source's index in its file.
    ///
    /// # Errors
    /// The source cannot be replayed: it is a sample, it lacks its beginning, or its settings are not valid.
    pub fn new(source: &Source, number: usize, anonymised: bool) -> Result<Replay, TraceError> {
        let name = &source.settings.name;
        if source.part != 0 || !source.is_complete {
            let message = if source.sample_share < 1.0 {
                "holds only a sample of the requests"
            } else {
                "lacks the beginning"
            };
            let message = format!("{name}: cannot be replayed, because the trace {message}");
            return Err(TraceError::Unusable(message));
        }
        let EngineSettings {
            route_classes,
            exposure,
            position,
            zones,
            ..
        } = &source.settings;
        let is_complete =
            !route_classes.is_empty() && !exposure.caps.is_empty() && exposure.window > 0;
        if !is_complete || position.instances == 0 || position.zone >= zones.len() {
            return Err(TraceError::Unusable(format!(
                "{name}: the settings in the head are not valid settings of a sidecar"
            )));
        }
        Ok(Replay {
            route_classes: route_classes.len(),
            engine: Engine::new(source.engine_start, source.seed, &source.settings),
            source: number,
            records_end: source.records_end,
            pseudonyms: anonymised.then(Default::default),
            last_time: source.engine_start,
            outcome: Outcome::default(),
        })
    }

    /// Whether the replay has ended, by a difference or by missing records.
    pub fn is_over(&self) -> bool {
        self.outcome.first_difference.is_some() || self.outcome.stopped_at.is_some()
    }

    fn compare(
        &mut self,
        at: Nanos,
        recorded: impl std::fmt::Debug + PartialEq,
        replayed: impl std::fmt::Debug,
        same: bool,
    ) {
        self.outcome.compared += 1;
        if !same {
            let (recorded, replayed) = (format!("{recorded:?}"), format!("{replayed:?}"));
            let record = self.outcome.records;
            self.outcome.first_difference = Some(Difference {
                record,
                at,
                recorded,
                replayed,
            });
        }
    }

    /// Whether the route classes and pods that an event names exist: a file may hold any number.
    fn is_valid(&self, event: &Event) -> bool {
        match event {
            Event::RequestArrived { attributes, .. } => attributes.route_class < self.route_classes,
            Event::TallyReported(tally) => tally.class < self.route_classes,
            Event::FaultReported {
                pod, route_class, ..
            } => *route_class < self.route_classes && self.engine.pod_name(*pod).is_some(),
            _ => true,
        }
    }

    /// Replays one record; those of other sources are skipped.
    pub fn record(&mut self, record: Record) {
        if record.source != self.source || self.is_over() {
            return;
        }
        let at = record.engine_time;
        if at < self.last_time || at - self.last_time > MAX_CLOCK_STEP {
            let problem = "the time goes back or advances by more than a day";
            self.compare(at, record, problem, false);
            return;
        }
        self.last_time = at;
        if at >= self.records_end {
            self.outcome.stopped_at = Some(at);
            return;
        }
        match record.payload {
            Payload::Event(event) => self.event(at, event),
            Payload::Effect(effect) => self.effect(at, effect),
            Payload::Lost { .. } => self.outcome.stopped_at = Some(at),
        }
        self.outcome.records += 1;
    }

    /// Passes an event to the engine and compares what the engine returns.
    fn event(&mut self, at: Nanos, event: Event) {
        if !self.is_valid(&event) {
            self.compare(at, event, "no such route class or pod", false);
            return;
        }
        if matches!(event, Event::RequestArrived { .. }) {
            self.outcome.requests += 1;
        }
        match event {
            Event::EndpointsListed {
                complete,
                pods,
                pod_ids,
            } => {
                let replayed = self.engine.update_endpoints(at, complete, pods);
                let is_same = pod_ids == replayed;
                self.compare(at, pod_ids, replayed, is_same);
            }
            Event::SendPermission {
                allowed: recorded, ..
            }
            | Event::AttemptEnded {
                delivered: recorded,
                ..
            } => {
                let replayed = self.engine.replay(at, event.clone());
                self.compare(at, event, replayed, Some(recorded) == replayed);
            }
            _ => {
                self.engine.replay(at, event);
            }
        }
    }

    /// Compares a recorded effect with the next one that the engine requests.
    fn effect(&mut self, at: Nanos, effect: Effect) {
        let replayed = self.engine.next_effect();
        let is_same = replayed
            .as_ref()
            .is_some_and(|replayed| self.is_same_effect(&effect, replayed));
        self.compare(at, effect, replayed, is_same);
    }

    /// Whether two effects are the same. In an anonymised trace, log texts are the same where equal texts have equal
    /// pseudonyms.
    fn is_same_effect(&mut self, recorded: &Effect, replayed: &Effect) -> bool {
        if let (Some(pseudonyms), Effect::Log(recorded), Effect::Log(replayed)) =
            (&mut self.pseudonyms, recorded, replayed)
        {
            if pseudonyms.len() >= MAX_PSEUDONYMS {
                pseudonyms.clear();
            }
            return pseudonyms
                .entry(replayed.clone())
                .or_insert_with(|| recorded.clone())
                == recorded;
        }
        recorded == replayed
    }

    /// Continues with the next part. `source` is the index of the source in the file of the part; `records_end` is the
    /// time from which on its records are missing.
    pub fn continue_with(&mut self, source: usize, records_end: Nanos) {
        (self.source, self.records_end) = (source, records_end);
    }

    /// Ends the replay. Where the trace was closed, an effect that the engine still requests is a difference as well.
    pub fn finish(mut self, is_closed: bool) -> Outcome {
        let at = self.last_time;
        if is_closed && self.records_end == Nanos::MAX && !self.is_over() {
            if let Some(effect) = self.engine.next_effect() {
                self.compare(at, "no further effect", effect, false);
            }
        }
        self.outcome
    }
}

/// The result of replaying files: the name and the outcome of each source, and the damage that ended the replay.
pub type ReplayResult = (Vec<(String, Outcome)>, Option<TraceError>);

/// One process of a sidecar, whose records may be in several files, the parts.
struct Incarnation {
    id: u64,
    name: String,
    /// The part that was replayed last.
    part: u64,
    /// Whether the writer closed the file of that part.
    is_closed: bool,
    replay: Replay,
}

/// Replays all sources of all files, the parts of an incarnation in order. Keeps one block and an engine for each
/// source in memory.
///
/// # Errors
/// A source cannot be replayed, or the parts are not in order.
pub fn replay<R: Read + Seek>(readers: Vec<Reader<R>>) -> Result<ReplayResult, TraceError> {
    let mut incarnations: Vec<Incarnation> = Vec::new();
    let mut damage = None;
    for mut reader in readers {
        let incarnation_indices = find_or_start(&mut incarnations, &reader)?;
        damage = replay_file(&mut incarnations, &incarnation_indices, &mut reader);
        let is_closed = reader.index_error.is_none() && damage.is_none();
        for index in incarnation_indices {
            incarnations[index].is_closed = is_closed;
        }
        if damage.is_some() {
            break;
        }
    }
    let outcomes = incarnations.into_iter().map(|incarnation| {
        let outcome = incarnation.replay.finish(incarnation.is_closed);
        (incarnation.name, outcome)
    });
    Ok((outcomes.collect(), damage))
}

/// Returns for each source of a file the index of its incarnation, which starts with this part or continues an
/// earlier one.
fn find_or_start<R: Read + Seek>(
    incarnations: &mut Vec<Incarnation>,
    reader: &Reader<R>,
) -> Result<Vec<usize>, TraceError> {
    let mut indices = Vec::new();
    for (number, source) in reader.head.sources.iter().enumerate() {
        let name = &source.settings.name;
        let known = incarnations
            .iter()
            .position(|known| known.id == source.incarnation && known.name == *name)
            .filter(|index| incarnations[*index].part + 1 == source.part);
        if let Some(index) = known {
            incarnations[index].part += 1;
            incarnations[index]
                .replay
                .continue_with(number, source.records_end);
            indices.push(index);
            continue;
        }
        let replay = Replay::new(source, number, reader.head.anonymised)?;
        indices.push(incarnations.len());
        incarnations.push(Incarnation {
            id: source.incarnation,
            name: name.clone(),
            part: source.part,
            is_closed: false,
            replay,
        });
    }
    Ok(indices)
}

/// Replays the records of one file; returns the damage that ended it, if there is any.
fn replay_file<R: Read + Seek>(
    incarnations: &mut [Incarnation],
    incarnation_indices: &[usize],
    reader: &mut Reader<R>,
) -> Option<TraceError> {
    loop {
        match reader.record() {
            Ok(Some(record)) => {
                let index = incarnation_indices[record.source];
                incarnations[index].replay.record(record);
            }
            Ok(None) => return None,
            Err(error) => return Some(error),
        }
    }
}
