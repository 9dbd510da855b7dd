//! Plays what an engine was told through one again and compares what it does, record by record.

use crate::file::{Reader, TraceError};
use crate::record::{Record, Source, What};
use havenplank::interface::Nanos;
use havenplank_sidecar::engine::{Effect, Engine, EngineSettings};
use havenplank_sidecar::events::Event;
use std::collections::HashMap;
use std::io::{Read, Seek};

/// Different log texts of an anonymised trace that are remembered.
const TEXTS: usize = 1 << 16;

/// A sidecar wakes every few seconds, so no clock of one jumps so far; the module would count every slice of it.
const JUMP: Nanos = 86_400_000_000_000;

/// What came out of a replay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    pub hits: u64,
    /// Things that the engine did or said and that were compared.
    pub compared: u64,
    pub records: u64,
    pub differs: Option<Difference>,
    /// Time on the source's clock at which records are missing; it was not played past that.
    pub stopped: Option<Nanos>,
}

/// The first thing done otherwise.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// Counted from 0 over the records of this source.
    pub record: u64,
    pub at: Nanos,
    pub recorded: String,
    pub now: String,
}

/// One source's engine, played again.
pub struct Replay {
    engine: Engine,
    groups: usize,
    source: usize,
    until: Nanos,
    /// Log texts of an anonymised trace are stand-ins: the same for the same text.
    veiled: Option<HashMap<String, String>>,
    last: Nanos,
    pub outcome: Outcome,
}

impl Replay {
    /// # Errors
    /// A source that cannot be played: sampled, cut, or not from its beginning.
    pub fn new(source: &Source, number: usize, anonymised: bool) -> Result<Replay, TraceError> {
        let name = &source.terms.name;
        if source.part != 0 || !source.whole {
            let why = if source.share < 1.0 {
                "holds a sample of hits"
            } else {
                "does not hold the beginning"
            };
            let why = format!("{name}: cannot be played again, as the trace {why}");
            return Err(TraceError::Unfit(why));
        }
        let EngineSettings {
            route_classes: groups,
            exposure,
            position: place,
            zones,
            ..
        } = &source.terms;
        let whole = !groups.is_empty() && !exposure.caps.is_empty() && exposure.window > 0;
        if !whole || place.instances == 0 || place.zone >= zones.len() {
            return Err(TraceError::Unfit(format!(
                "{name}: the greeting's terms are no sidecar's settings"
            )));
        }
        Ok(Replay {
            groups: groups.len(),
            engine: Engine::new(source.began, source.seed, &source.terms),
            source: number,
            until: source.until,
            veiled: anonymised.then(Default::default),
            last: source.began,
            outcome: Outcome::default(),
        })
    }

    /// Whether there is no use in going on.
    pub fn is_over(&self) -> bool {
        self.outcome.differs.is_some() || self.outcome.stopped.is_some()
    }

    fn compare(
        &mut self,
        at: Nanos,
        recorded: impl std::fmt::Debug + PartialEq,
        now: impl std::fmt::Debug,
        same: bool,
    ) {
        self.outcome.compared += 1;
        if !same {
            let (recorded, now) = (format!("{recorded:?}"), format!("{now:?}"));
            let record = self.outcome.records;
            self.outcome.differs = Some(Difference {
                record,
                at,
                recorded,
                now,
            });
        }
    }

    /// Whether a call names nothing that these settings lack: a file may hold what no sidecar was told.
    fn fits(&self, told: &Event) -> bool {
        match told {
            Event::RequestArrived {
                attributes: asked, ..
            } => asked.route_class < self.groups,
            Event::TallyReported(tally) => tally.group < self.groups,
            Event::FaultReported {
                pod,
                route_class: group,
                ..
            } => *group < self.groups && self.engine.pod_name(*pod).is_some(),
            _ => true,
        }
    }

    /// Plays one record; those of other sources are passed over.
    pub fn record(&mut self, record: Record) {
        if record.source != self.source || self.is_over() {
            return;
        }
        let at = record.own;
        if at < self.last || at - self.last > JUMP {
            self.compare(
                at,
                record,
                "a clock that goes back or stands still for a day",
                false,
            );
            return;
        }
        self.last = at;
        if at >= self.until {
            self.outcome.stopped = Some(at);
            return;
        }
        match record.what {
            What::Event(told) if !self.fits(&told) => {
                self.compare(at, told, "no such path group or pod", false);
            }
            What::Event(told) => {
                self.outcome.hits += matches!(told, Event::RequestArrived { .. }) as u64;
                let said = match &told {
                    Event::SendPermission { allowed: may, .. } => Some(*may),
                    Event::AttemptEnded {
                        delivered: passed, ..
                    } => Some(*passed),
                    _ => None,
                };
                let given = match &told {
                    Event::EndpointsListed {
                        pod_ids: given,
                        complete: whole,
                        pods,
                    } => Some((given.clone(), *whole, pods.clone())),
                    _ => None,
                };
                if let Some((given, whole, pods)) = given {
                    let now = self.engine.update_endpoints(at, whole, pods);
                    let same = given == now;
                    self.compare(at, given, now, same);
                } else {
                    let shown = said.map(|_| told.clone());
                    let now = self.engine.replay(at, told);
                    if let Some(shown) = shown {
                        self.compare(at, shown, now, said == now);
                    }
                }
            }
            What::Effect(effect) => {
                let now = self.engine.next_effect();
                let same = now.as_ref().is_some_and(|now| self.same(&effect, now));
                self.compare(at, effect, now, same);
            }
            What::Lost { .. } => self.outcome.stopped = Some(at),
        }
        self.outcome.records += 1;
    }

    fn same(&mut self, recorded: &Effect, now: &Effect) -> bool {
        if let (Some(veiled), Effect::Log(recorded), Effect::Log(now)) =
            (&mut self.veiled, recorded, now)
        {
            // Votes are few; in a trace of weeks the comparison begins anew rather than grow.
            if veiled.len() >= TEXTS {
                veiled.clear();
            }
            return veiled
                .entry(now.clone())
                .or_insert_with(|| recorded.clone())
                == recorded;
        }
        recorded == now
    }

    /// The source's file of the present part is done, and another goes on; its number of the source there.
    pub fn goes_on(&mut self, source: usize, until: Nanos) {
        (self.source, self.until) = (source, until);
    }

    /// The end. Of a trace that was `closed`, what the engine would have done besides is a difference, too.
    pub fn finish(mut self, closed: bool) -> Outcome {
        let at = self.last;
        if closed && self.until == Nanos::MAX && !self.is_over() {
            if let Some(more) = self.engine.next_effect() {
                self.compare(at, "nothing more", more, false);
            }
        }
        self.outcome
    }
}

/// What came out of playing files: by source, its name and outcome; then where a file is damaged.
pub type Played = (Vec<(String, Outcome)>, Option<TraceError>);

/// Plays all sources of all files, the parts of a life in order. Holds a block, and an engine for each source.
///
/// # Errors
/// A source that cannot be played, or parts out of order.
pub fn replay<R: Read + Seek>(readers: Vec<Reader<R>>) -> Result<Played, TraceError> {
    struct Life {
        life: u64,
        name: String,
        part: u64,
        closed: bool,
        replay: Replay,
    }
    let mut lives: Vec<Life> = Vec::new();
    let mut damaged = None;
    for mut reader in readers {
        let mut here = Vec::new();
        for (number, source) in reader.head.sources.iter().enumerate() {
            let name = &source.terms.name;
            let known = lives
                .iter()
                .position(|life| life.life == source.life && life.name == *name);
            if let Some(at) = known.filter(|at| lives[*at].part + 1 == source.part) {
                lives[at].part += 1;
                lives[at].replay.goes_on(number, source.until);
                here.push(at);
            } else {
                let replay = Replay::new(source, number, reader.head.anonymised)?;
                here.push(lives.len());
                let (life, name) = (source.life, name.clone());
                lives.push(Life {
                    life,
                    name,
                    part: source.part,
                    closed: false,
                    replay,
                });
            }
        }
        let closed = reader.rebuilt.is_none();
        loop {
            match reader.record() {
                Ok(Some(record)) => lives[here[record.source]].replay.record(record),
                Ok(None) => break,
                Err(error) => {
                    damaged = damaged.or(Some(error));
                    break;
                }
            }
        }
        here.iter()
            .for_each(|at| lives[*at].closed = closed && damaged.is_none());
        if damaged.is_some() {
            break;
        }
    }
    let outcomes = lives
        .into_iter()
        .map(|life| (life.name, life.replay.finish(life.closed)));
    Ok((outcomes.collect(), damaged))
}
