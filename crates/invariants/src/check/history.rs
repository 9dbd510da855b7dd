//! The requests and pods of the ledger entries read so far.

use super::error::EntryError;
use super::Arrival;
use crate::ledger::{Answer, ClassRules, RuleParameters, SlowStart};
use havenplank::interface::{Build, Nanos};
use std::collections::HashMap;

/// One incarnation of a pod.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PodIncarnation {
    pub(super) name: String,
    pub(super) incarnation: u64,
}

impl PodIncarnation {
    pub(super) fn new(name: &str, incarnation: u64) -> PodIncarnation {
        PodIncarnation {
            name: name.to_string(),
            incarnation,
        }
    }
}

pub(super) struct Pod {
    pub(super) build: Build,
    pub(super) zone: String,
    pub(super) cell: i64,
    pub(super) started: Nanos,
    pub(super) slow_start: SlowStart,
}

/// A request that a client sent to a sidecar, with its attempts and its answer. The ledger's number of it is `ask`.
pub(super) struct Request {
    pub(super) at: Nanos,
    /// The number of the client's operation, which all its retries share.
    pub(super) operation: u64,
    pub(super) sidecar: String,
    pub(super) class: usize,
    pub(super) key: u64,
    /// How long the client waits from when it sends the request.
    pub(super) remaining: Nanos,
    pub(super) answered: Option<FirstAnswer>,
    /// In the order in which pods received them.
    pub(super) attempts: Vec<Attempt>,
}

#[derive(Clone, Copy)]
pub(super) struct FirstAnswer {
    pub(super) at: Nanos,
    pub(super) answer: Answer,
}

pub(super) struct Attempt {
    pub(super) at: Nanos,
    pub(super) pod: PodIncarnation,
    /// Whether the pod proved that it did not process the attempt.
    pub(super) unprocessed: bool,
}

impl Request {
    /// The first attempt that may have run.
    pub(super) fn first_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| !attempt.unprocessed)
    }
}

/// What the rules look up in common.
pub(super) struct History {
    pub(super) parameters: RuleParameters,
    pub(super) requests: HashMap<u64, Request>,
    pub(super) pods: HashMap<PodIncarnation, Pod>,
}

impl History {
    pub(super) fn new(parameters: RuleParameters) -> History {
        History {
            parameters,
            requests: HashMap::new(),
            pods: HashMap::new(),
        }
    }

    pub(super) fn class(&self, request: &Request) -> &ClassRules {
        &self.parameters.classes[request.class]
    }

    pub(super) fn request(&self, ask: u64, event: &'static str) -> Result<&Request, EntryError> {
        self.requests
            .get(&ask)
            .ok_or(EntryError::UnknownRequest { event, ask })
    }

    pub(super) fn pod(
        &self,
        pod: &PodIncarnation,
        event: &'static str,
    ) -> Result<&Pod, EntryError> {
        self.pods.get(pod).ok_or_else(|| EntryError::UnknownPod {
            event,
            pod: pod.name.clone(),
            incarnation: pod.incarnation,
        })
    }

    /// Records an answer; returns the earlier one if the request already had one.
    pub(super) fn note_answer(
        &mut self,
        ask: u64,
        at: Nanos,
        answer: Answer,
    ) -> Result<Option<FirstAnswer>, EntryError> {
        let event = "an answer";
        let request = self.requests.get_mut(&ask);
        let request = request.ok_or(EntryError::UnknownRequest { event, ask })?;
        let before = request.answered;
        request.answered.get_or_insert(FirstAnswer { at, answer });
        Ok(before)
    }

    pub(super) fn note_attempt(&mut self, arrival: &Arrival) {
        if let Some(request) = self.requests.get_mut(&arrival.ask) {
            request.attempts.push(Attempt {
                at: arrival.at,
                pod: arrival.pod.clone(),
                unprocessed: false,
            });
        }
    }

    /// Records that a pod proved that it did not process its latest attempt of a request.
    pub(super) fn mark_unprocessed(
        &mut self,
        ask: u64,
        pod: &PodIncarnation,
    ) -> Result<(), EntryError> {
        let event = "the rejection of an attempt";
        let request = self.requests.get_mut(&ask);
        let request = request.ok_or(EntryError::UnknownRequest { event, ask })?;
        let mut latest_first = request.attempts.iter_mut().rev();
        let attempt = latest_first.find(|attempt| attempt.pod == *pod);
        let attempt = attempt.ok_or_else(|| EntryError::NeverArrived {
            ask,
            pod: pod.name.clone(),
            incarnation: pod.incarnation,
        })?;
        attempt.unprocessed = true;
        Ok(())
    }
}
