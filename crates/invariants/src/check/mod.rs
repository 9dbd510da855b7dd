//! The verdict on each of the five rules, from a ledger in order of time.
//!
//! [`History`] holds the state that all rules share; the module of each rule holds the rest.

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
use self::history::{History, Pod, PodIncarnation, Request};
use self::once::OnceRule;
use crate::ledger::{Entry, LedgerEvent, RuleParameters};
use havenplank::interface::Nanos;

/// Checks a ledger that is in order of time, and returns the verdicts on the rules `answered`, `once`, `drains`, `cold`
/// and `exposed`.
///
/// # Errors
/// The ledger has no parameters, or names a request, a class or a pod that no earlier entry introduced.
pub fn check(entries: &[Entry]) -> Result<Vec<Verdict>, CheckError> {
    let parameters = entries.iter().find_map(|entry| match &entry.event {
        LedgerEvent::Parameters(parameters) => Some(parameters.clone()),
        _ => None,
    });
    let mut checker = Checker::new(parameters.ok_or(CheckError::NoParameters)?);
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

/// An attempt that a pod received.
struct Arrival<'a> {
    at: Nanos,
    /// The number of the request.
    ask: u64,
    sidecar: &'a str,
    pod: PodIncarnation,
    /// The work that it needs, in nanoseconds of one core.
    work: Nanos,
}

impl Checker {
    fn new(parameters: RuleParameters) -> Checker {
        Checker {
            history: History::new(parameters),
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
        match &entry.event {
            LedgerEvent::Parameters(_) => Ok(()),
            LedgerEvent::SidecarStarted { .. }
            | LedgerEvent::SidecarKilled { .. }
            | LedgerEvent::SidecarStopRequested { .. } => {
                self.read_sidecar(at, &entry.event);
                Ok(())
            }
            LedgerEvent::RequestSent { .. } => self.read_request(at, &entry.event),
            LedgerEvent::Answered { .. } => self.read_answer(at, &entry.event),
            LedgerEvent::PodStarted { .. } | LedgerEvent::PodOverloaded { .. } => {
                self.read_pod(at, &entry.event);
                Ok(())
            }
            LedgerEvent::Arrived {
                ask,
                sidecar,
                pod,
                incarnation,
                work,
            } => self.read_arrival(&Arrival {
                at,
                ask: *ask,
                sidecar,
                pod: PodIncarnation::new(pod, *incarnation),
                work: *work,
            }),
            LedgerEvent::Unprocessed {
                ask,
                pod,
                incarnation,
            } => self
                .history
                .mark_unprocessed(*ask, &PodIncarnation::new(pod, *incarnation)),
            LedgerEvent::TookEffect { ask, pod, .. } => {
                let request = self.history.request(*ask, "an effect")?;
                self.once.check_effect(at, request, pod, &self.history);
                Ok(())
            }
            LedgerEvent::Succeeded {
                ask,
                pod,
                incarnation,
            } => self.read_success(at, *ask, &PodIncarnation::new(pod, *incarnation)),
            LedgerEvent::EndpointAnnounced { .. } | LedgerEvent::StageAnnounced { .. } => {
                self.read_notice(at, &entry.event);
                Ok(())
            }
        }
    }

    fn read_sidecar(&mut self, at: Nanos, event: &LedgerEvent) {
        match event {
            LedgerEvent::SidecarStarted { sidecar } => {
                self.drains.forget_notices(sidecar);
                self.exposed.forget_notices(sidecar);
            }
            LedgerEvent::SidecarKilled { sidecar } => self.answered.note_kill(at, sidecar),
            LedgerEvent::SidecarStopRequested { sidecar } => self.answered.note_stop(at, sidecar),
            _ => {}
        }
    }

    fn read_request(&mut self, at: Nanos, event: &LedgerEvent) -> Result<(), EntryError> {
        let LedgerEvent::RequestSent {
            ask,
            operation,
            sidecar,
            class,
            key,
            remaining,
        } = event
        else {
            return Ok(());
        };
        let parameters = &self.history.parameters;
        if *class >= parameters.classes.len() {
            return Err(EntryError::UnknownClass { class: *class });
        }
        self.exposed.note_request(at, sidecar, *class, parameters);
        let request = Request {
            at,
            operation: *operation,
            sidecar: sidecar.clone(),
            class: *class,
            key: *key,
            remaining: *remaining,
            answered: None,
            attempts: Vec::new(),
        };
        self.history.requests.insert(*ask, request);
        Ok(())
    }

    fn read_answer(&mut self, at: Nanos, event: &LedgerEvent) -> Result<(), EntryError> {
        let LedgerEvent::Answered {
            ask,
            answer,
            retry_after,
        } = event
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
        let parameters = &self.history.parameters;
        self.once
            .check_rejection(*ask, request, at + retry_after, parameters);
        self.answered.check_answer(*ask, request, parameters);
        Ok(())
    }

    fn read_pod(&mut self, at: Nanos, event: &LedgerEvent) {
        match event {
            LedgerEvent::PodStarted {
                pod,
                incarnation,
                build,
                zone,
                cell,
                slow_start,
            } => {
                let pod = PodIncarnation::new(pod, *incarnation);
                self.cold.forget_work(&pod);
                let started = Pod {
                    build: *build,
                    zone: zone.clone(),
                    cell: *cell,
                    started: at,
                    slow_start: *slow_start,
                };
                self.history.pods.insert(pod, started);
            }
            LedgerEvent::PodOverloaded { pod, incarnation } => {
                self.cold.report_overload(at, pod, *incarnation)
            }
            _ => {}
        }
    }

    fn read_arrival(&mut self, arrival: &Arrival) -> Result<(), EntryError> {
        let history = &self.history;
        let request = history.request(arrival.ask, "an attempt")?;
        let pod = history.pod(&arrival.pod, "an attempt")?;
        let parameters = &history.parameters;
        self.answered.check_attempt(arrival, request, parameters);
        self.once.check_attempt(arrival, request, pod, history)?;
        self.drains.check_attempt(arrival, parameters);
        self.cold.check_attempt(arrival, pod, parameters);
        let sent = SentAttempt {
            at: arrival.at,
            ask: arrival.ask,
            sidecar: arrival.sidecar,
            build: pod.build,
            class: request.class,
            key: request.key,
        };
        self.exposed.check_attempt(&sent, parameters);
        self.history.note_attempt(arrival);
        Ok(())
    }

    fn read_success(
        &mut self,
        at: Nanos,
        ask: u64,
        pod: &PodIncarnation,
    ) -> Result<(), EntryError> {
        if !self.history.parameters.exposure.sticky_keys {
            return Ok(());
        }
        let request = self.history.request(ask, "a response")?;
        let build = self.history.pod(pod, "a response")?.build;
        self.exposed.note_success(at, request, build);
        Ok(())
    }

    fn read_notice(&mut self, at: Nanos, event: &LedgerEvent) {
        match event {
            LedgerEvent::EndpointAnnounced {
                sidecar,
                pod,
                incarnation,
                state,
            } => {
                let pod = PodIncarnation::new(pod, *incarnation);
                let is_running = state == "running";
                self.drains.note_state(at, sidecar, &pod, is_running);
                let build = self.history.pods.get(&pod).map(|pod| pod.build);
                if let Some(build) = build.filter(|_| is_running) {
                    self.exposed.note_running(sidecar, build);
                }
            }
            LedgerEvent::StageAnnounced { .. } => {
                self.exposed.note_stage(at, event, &self.history.parameters)
            }
            _ => {}
        }
    }
}
