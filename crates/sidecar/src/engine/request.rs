//! A request as the decisions see it, and what the engine knows of it until its last attempt has ended.

use crate::route_slots::Slot;
use havenplank::interface::{
    AttemptOutcome, Callback, Endpoint, IncomingRequest, Nanos, PodId, PriorAttempt, RequestId,
    RouteClassId,
};

/// A request as its listener read it: all that the decisions see of it.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestAttributes {
    /// The route class that takes it.
    pub route_class: RouteClassId,
    /// The tenant that sends it, where it is known.
    pub tenant: Option<usize>,
    /// Hash of the key that pods keep state by; 0 for none.
    pub key: u64,
    /// Time left until its client gives up.
    pub remaining: Nanos,
    /// How long it takes a pod, by its client's word.
    pub cost_hint: Option<Nanos>,
    /// Whether its client has sent it before.
    pub is_retry: bool,
}

impl RequestAttributes {
    pub(super) fn into_request(self, id: RequestId) -> IncomingRequest {
        IncomingRequest {
            id,
            class: self.route_class,
            tenant: self.tenant,
            key: self.key,
            remaining: self.remaining,
            cost_hint: self.cost_hint,
            is_retry: self.is_retry,
        }
    }
}

/// An attempt that was handed out and has not ended.
pub(super) struct AttemptInFlight {
    pub(super) pod: PodId,
    /// The pod as it was listed when it was chosen, to tell whether it still is that one.
    pub(super) chosen: Option<Endpoint>,
    pub(super) chosen_at: Nanos,
    pub(super) on_done: Callback<AttemptOutcome>,
}

/// A request that is not answered yet, or has attempts in flight.
pub(super) struct InFlightRequest {
    pub(super) route_class: RouteClassId,
    /// Keeps the index of the route class from another route until the request has ended.
    _slot: Option<Slot>,
    pub(super) key: u64,
    pub(super) deadline: Nanos,
    pub(super) awaits_answer: bool,
    /// When the first attempt was chosen that has ended and may have run.
    first_run: Option<Nanos>,
    attempts: Vec<Option<AttemptInFlight>>,
}

impl InFlightRequest {
    /// Begins a request at `now`, with what other sidecars have sent for it.
    pub(super) fn new(
        now: Nanos,
        attributes: &RequestAttributes,
        slot: Option<Slot>,
        prior_attempts: &[PriorAttempt],
    ) -> InFlightRequest {
        let may_have_run = prior_attempts.iter().filter(|prior| prior.may_have_run);
        InFlightRequest {
            route_class: attributes.route_class,
            _slot: slot,
            key: attributes.key,
            deadline: now.saturating_add(attributes.remaining),
            awaits_answer: true,
            first_run: may_have_run
                .map(|prior| now.saturating_sub(prior.ago))
                .min(),
            attempts: Vec::new(),
        }
    }

    /// Adds an attempt and returns its number.
    pub(super) fn add_attempt(&mut self, attempt: AttemptInFlight) -> u32 {
        let number = self.attempts.len() as u32;
        self.attempts.push(Some(attempt));
        number
    }

    /// Whether an attempt of this number was ever handed out.
    pub(super) fn has_attempt(&self, number: u32) -> bool {
        (number as usize) < self.attempts.len()
    }

    /// The attempt of this number, unless it has ended.
    pub(super) fn attempt(&self, number: u32) -> Option<&AttemptInFlight> {
        self.attempts.get(number as usize)?.as_ref()
    }

    /// Takes an attempt out that has ended.
    pub(super) fn take_attempt(&mut self, number: u32) -> Option<AttemptInFlight> {
        self.attempts.get_mut(number as usize)?.take()
    }

    /// When the first attempt before this one was chosen that may have run; one in flight may run as well.
    pub(super) fn first_run_before(&self, number: u32) -> Option<Nanos> {
        let in_flight = self.attempts[..number as usize].iter().flatten();
        let chosen_at = in_flight.map(|attempt| attempt.chosen_at);
        chosen_at.chain(self.first_run).min()
    }

    /// Notes that an attempt chosen at this time has ended and may have run.
    pub(super) fn may_have_run(&mut self, chosen_at: Nanos) {
        let first = self.first_run.map_or(chosen_at, |ran| ran.min(chosen_at));
        self.first_run = Some(first);
    }

    /// How many attempts have not ended.
    pub(super) fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().flatten().count()
    }

    /// Whether nothing of it is left to wait for.
    pub(super) fn is_over(&self) -> bool {
        !self.awaits_answer && self.attempts.iter().all(Option::is_none)
    }
}
