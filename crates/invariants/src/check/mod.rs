//! The verdict on each of the five rules, from a ledger in order of time.
//!
//! [`History`] is what all rules look up; each rule has a module with the state that it alone needs.

mod answered;
mod cold;
mod drains;
mod error;
mod exposed;
mod history;
mod once;
mod verdict;

pub use self::error::{CheckError, EntryError};
pub use self::verdict::{Case, Verdict};

use self::answered::AnsweredRule;
use self::cold::ColdRule;
use self::drains::DrainRule;
use self::exposed::{ExposureRule, SentAttempt};
use self::history::{History, Pod, PodLife, Request};
use self::once::OnceRule;
use crate::ledger::{Entry, Figures, Seen};
use havenplank::interface::Nanos;

/// Checks a ledger that is in order of time and returns the verdicts on the rules `answered`, `once`, `drains`, `cold` and
/// `exposed`.
///
/// # Errors
/// A ledger without figures, or one that names what it never introduced.
pub fn check(entries: &[Entry]) -> Result<Vec<Verdict>, CheckError> {
    let figures = entries.iter().find_map(|entry| match &entry.seen {
        Seen::Figures(figures) => Some(figures.clone()),
        _ => None,
    });
    let mut checker = Checker::new(figures.ok_or(CheckError::NoFigures)?);
    for entry in entries {
        checker.read(entry).map_err(|source| CheckError::Entry {
            at: entry.at,
            source,
        })?;
    }
    let end = entries.last().map_or(0, |entry| entry.at);
    Ok(checker.finish(end))
}

/// The rules and the history that they share.
struct Checker {
    history: History,
    answered: AnsweredRule,
    once: OnceRule,
    drains: DrainRule,
    cold: ColdRule,
    exposed: ExposureRule,
}

/// An attempt as a pod read it.
struct Arrival<'a> {
    at: Nanos,
    ask: u64,
    sidecar: &'a str,
    pod: PodLife,
    /// Nanoseconds of one core.
    work: Nanos,
}

impl Checker {
    fn new(figures: Figures) -> Checker {
        Checker {
            history: History::new(figures),
            answered: AnsweredRule::new(),
            once: OnceRule::new(),
            drains: DrainRule::new(),
            cold: ColdRule::new(),
            exposed: ExposureRule::new(),
        }
    }

    fn finish(mut self, end: Nanos) -> Vec<Verdict> {
        self.answered.check_unanswered(&self.history, end);
        vec![
            self.answered.verdict,
            self.once.verdict,
            self.drains.verdict,
            self.cold.verdict,
            self.exposed.verdict,
        ]
    }

    fn read(&mut self, entry: &Entry) -> Result<(), EntryError> {
        let at = entry.at;
        match &entry.seen {
            Seen::Figures(_) => Ok(()),
            Seen::SidecarUp { .. } | Seen::SidecarKilled { .. } | Seen::SidecarStops { .. } => {
                self.read_sidecar(at, &entry.seen);
                Ok(())
            }
            Seen::Asked { .. } => self.read_asked(at, &entry.seen),
            Seen::Answered { .. } => self.read_answered(at, &entry.seen),
            Seen::PodUp { .. } | Seen::PodFell { .. } => {
                self.read_pod(at, &entry.seen);
                Ok(())
            }
            Seen::Arrived {
                ask,
                sidecar,
                pod,
                life,
                work,
            } => self.read_arrival(&Arrival {
                at,
                ask: *ask,
                sidecar,
                pod: PodLife::new(pod, *life),
                work: *work,
            }),
            Seen::Unseen { ask, pod, life } => self
                .history
                .mark_unprocessed(*ask, &PodLife::new(pod, *life)),
            Seen::Ran { ask, pod, .. } => {
                let request = self.history.request(*ask, "an effect")?;
                self.once.check_effect(at, request, pod, &self.history);
                Ok(())
            }
            Seen::Gave { ask, pod, life } => self.read_success(at, *ask, &PodLife::new(pod, *life)),
            Seen::Told { .. } | Seen::News { .. } => {
                self.read_notice(at, &entry.seen);
                Ok(())
            }
        }
    }

    fn read_sidecar(&mut self, at: Nanos, seen: &Seen) {
        match seen {
            Seen::SidecarUp { sidecar } => {
                self.drains.forget_notices(sidecar);
                self.exposed.forget_notices(sidecar);
            }
            Seen::SidecarKilled { sidecar } => self.answered.note_kill(at, sidecar),
            Seen::SidecarStops { sidecar } => self.answered.note_stop(at, sidecar),
            _ => {}
        }
    }

    fn read_asked(&mut self, at: Nanos, seen: &Seen) -> Result<(), EntryError> {
        let Seen::Asked {
            ask,
            hit,
            sidecar,
            group,
            key,
            left,
        } = seen
        else {
            return Ok(());
        };
        let figures = &self.history.figures;
        if *group >= figures.groups.len() {
            return Err(EntryError::UnknownClass { class: *group });
        }
        self.exposed.note_request(at, sidecar, *group, figures);
        let request = Request {
            at,
            hit: *hit,
            sidecar: sidecar.clone(),
            class: *group,
            key: *key,
            remaining: *left,
            answered: None,
            attempts: Vec::new(),
        };
        self.history.requests.insert(*ask, request);
        Ok(())
    }

    fn read_answered(&mut self, at: Nanos, seen: &Seen) -> Result<(), EntryError> {
        let Seen::Answered {
            ask,
            answer,
            retry_after,
        } = seen
        else {
            return Ok(());
        };
        let first = self.history.note_answer(*ask, at, *answer)?;
        if let Some(first) = first {
            self.answered
                .report_second_answer(at, *ask, *answer, first.answer);
            return Ok(());
        }
        let request = self.history.request(*ask, "an answer")?;
        let figures = &self.history.figures;
        self.once
            .check_rejection(*ask, request, at + retry_after, figures);
        self.answered.check_answer(*ask, request, figures);
        Ok(())
    }

    fn read_pod(&mut self, at: Nanos, seen: &Seen) {
        match seen {
            Seen::PodUp {
                pod,
                life,
                build,
                zone,
                cell,
                cold,
            } => {
                let place = PodLife::new(pod, *life);
                self.cold.forget_work(&place);
                let started = Pod {
                    build: *build,
                    zone: zone.clone(),
                    cell: *cell,
                    started: at,
                    cold: *cold,
                };
                self.history.pods.insert(place, started);
            }
            Seen::PodFell { pod, life } => self.cold.report_overload(at, pod, *life),
            _ => {}
        }
    }

    fn read_arrival(&mut self, arrival: &Arrival) -> Result<(), EntryError> {
        let history = &self.history;
        let request = history.request(arrival.ask, "an attempt")?;
        let pod = history.pod(&arrival.pod, "an attempt")?;
        let figures = &history.figures;
        self.answered.check_attempt(arrival, request, figures);
        self.once.check_attempt(arrival, request, pod, history)?;
        self.drains.check_attempt(arrival, figures);
        self.cold.check_attempt(arrival, pod, figures);
        let sent = SentAttempt {
            at: arrival.at,
            ask: arrival.ask,
            sidecar: arrival.sidecar,
            build: pod.build,
            class: request.class,
            key: request.key,
        };
        self.exposed.check_attempt(&sent, figures);
        self.history.note_attempt(arrival);
        Ok(())
    }

    fn read_success(&mut self, at: Nanos, ask: u64, pod: &PodLife) -> Result<(), EntryError> {
        if !self.history.figures.exposure.sticky_keys {
            return Ok(());
        }
        let request = self.history.request(ask, "a response")?;
        let build = self.history.pod(pod, "a response")?.build;
        self.exposed.note_success(at, request, build);
        Ok(())
    }

    fn read_notice(&mut self, at: Nanos, seen: &Seen) {
        match seen {
            Seen::Told {
                sidecar,
                pod,
                life,
                state,
            } => {
                let place = PodLife::new(pod, *life);
                let is_running = state == "running";
                self.drains.note_state(at, sidecar, &place, is_running);
                let build = self.history.pods.get(&place).map(|pod| pod.build);
                if let Some(build) = build.filter(|_| is_running) {
                    self.exposed.note_running(sidecar, build);
                }
            }
            Seen::News { .. } => self.exposed.note_stage(at, seen, &self.history.figures),
            _ => {}
        }
    }
}
