//! Requests and pods as the ledger has introduced them so far.

use super::error::EntryError;
use super::Arrival;
use crate::ledger::{Answer, Cold, Figures, Group};
use havenplank::interface::{Build, Nanos};
use std::collections::HashMap;

/// One start of a pod.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PodLife {
    pub(super) pod: String,
    pub(super) life: u64,
}

impl PodLife {
    pub(super) fn new(pod: &str, life: u64) -> PodLife {
        PodLife {
            pod: pod.to_string(),
            life,
        }
    }
}

pub(super) struct Pod {
    pub(super) build: Build,
    pub(super) zone: String,
    pub(super) cell: i64,
    pub(super) started: Nanos,
    pub(super) cold: Cold,
}

/// What a client sent to a sidecar once, and what came of it.
pub(super) struct Request {
    pub(super) at: Nanos,
    /// The same for all that the client sends for one purpose.
    pub(super) hit: u64,
    pub(super) sidecar: String,
    pub(super) class: usize,
    pub(super) key: u64,
    /// How long the client still waits when it sends.
    pub(super) remaining: Nanos,
    pub(super) answered: Option<FirstAnswer>,
    /// In the order that pods read them.
    pub(super) attempts: Vec<Attempt>,
}

#[derive(Clone, Copy)]
pub(super) struct FirstAnswer {
    pub(super) at: Nanos,
    pub(super) answer: Answer,
}

pub(super) struct Attempt {
    pub(super) at: Nanos,
    pub(super) pod: PodLife,
    /// The pod proved that it did not process it.
    pub(super) unprocessed: bool,
}

impl Request {
    /// The first attempt that may have run.
    pub(super) fn first_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| !attempt.unprocessed)
    }
}

/// All that rules look up.
pub(super) struct History {
    pub(super) figures: Figures,
    pub(super) requests: HashMap<u64, Request>,
    pub(super) pods: HashMap<PodLife, Pod>,
}

impl History {
    pub(super) fn new(figures: Figures) -> History {
        History {
            figures,
            requests: HashMap::new(),
            pods: HashMap::new(),
        }
    }

    pub(super) fn class(&self, request: &Request) -> &Group {
        &self.figures.groups[request.class]
    }

    pub(super) fn request(&self, ask: u64, event: &'static str) -> Result<&Request, EntryError> {
        self.requests
            .get(&ask)
            .ok_or(EntryError::UnknownRequest { event, ask })
    }

    pub(super) fn pod(&self, place: &PodLife, event: &'static str) -> Result<&Pod, EntryError> {
        self.pods.get(place).ok_or_else(|| EntryError::UnknownPod {
            event,
            pod: place.pod.clone(),
            life: place.life,
        })
    }

    /// Takes note of an answer; returns the first one where the request had one before.
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

    /// Takes note that a pod proved that it did not process its latest attempt of a request.
    pub(super) fn mark_unprocessed(&mut self, ask: u64, place: &PodLife) -> Result<(), EntryError> {
        let event = "an attempt turned away";
        let request = self.requests.get_mut(&ask);
        let request = request.ok_or(EntryError::UnknownRequest { event, ask })?;
        let mut latest_first = request.attempts.iter_mut().rev();
        let attempt = latest_first.find(|attempt| attempt.pod == *place);
        let attempt = attempt.ok_or_else(|| EntryError::NeverArrived {
            ask,
            pod: place.pod.clone(),
            life: place.life,
        })?;
        attempt.unprocessed = true;
        Ok(())
    }
}
