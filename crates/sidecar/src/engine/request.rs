//! The properties of a request that decisions depend on, and its state until its last attempt has ended.

use crate::route_slots::Slot;
use havenplank::interface::{
    AttemptOutcome, Callback, Endpoint, IncomingRequest, Nanos, PodId, PriorAttempt, RequestId,
    RouteClassId,
};

/// The properties of a request, as read from its client, that decisions depend on.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestAttributes {
    /// The route class that the request belongs to.
    pub route_class: RouteClassId,
    /// The index of the tenant that sent it; `None` for an unknown tenant.
    pub tenant: Option<usize>,
    /// Hash of the request's idempotency key; 0 for no key.
    pub key: u64,
    /// Time until its client stops waiting, in nanoseconds.
    pub remaining: Nanos,
    /// The client's estimate of the processing time on a pod, in nanoseconds.
    pub cost_hint: Option<Nanos>,
    /// Whether its client has sent the request before.
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

/// An attempt that the engine has requested and that has not ended.
pub(super) struct AttemptInFlight {
    pub(super) pod: PodId,
    /// The pod's endpoint when it was chosen, to detect that the pod has changed since.
    pub(super) chosen_endpoint: Option<Endpoint>,
    pub(super) chosen_at: Nanos,
    pub(super) on_done: Callback<AttemptOutcome>,
}

/// A request that waits for its final response or has attempts in flight.
pub(super) struct InFlightRequest {
    pub(super) route_class: RouteClassId,
    /// Prevents the index of the route class from being given to another route before the request has ended.
    _slot: Option<Slot>,
    pub(super) key: u64,
    pub(super) deadline: Nanos,
    pub(super) awaits_answer: bool,
    /// When the pod was chosen for the earliest attempt that has ended and may have run.
    first_possible_run: Option<Nanos>,
    attempts: Vec<Option<AttemptInFlight>>,
}

impl InFlightRequest {
    /// Creates a request that arrives at `now`, with the attempts that other sidecars have sent for it.
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
            first_possible_run: may_have_run
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

    /// Returns whether the engine ever requested an attempt with this number.
    pub(super) fn has_attempt(&self, number: u32) -> bool {
        (number as usize) < self.attempts.len()
    }

    /// Returns the attempt with this number, unless it has ended.
    pub(super) fn attempt(&self, number: u32) -> Option<&AttemptInFlight> {
        self.attempts.get(number as usize)?.as_ref()
    }

    /// Removes and returns an attempt that has ended.
    pub(super) fn take_attempt(&mut self, number: u32) -> Option<AttemptInFlight> {
        self.attempts.get_mut(number as usize)?.take()
    }

    /// Returns when the earliest attempt before this one that may have run was chosen; an attempt in flight counts too.
    pub(super) fn first_possible_run_before(&self, number: u32) -> Option<Nanos> {
        let in_flight = self.attempts[..number as usize].iter().flatten();
        let chosen_at = in_flight.map(|attempt| attempt.chosen_at);
        chosen_at.chain(self.first_possible_run).min()
    }

    /// Records that an attempt chosen at this time has ended and may have run.
    pub(super) fn record_possible_run(&mut self, chosen_at: Nanos) {
        let first = self
            .first_possible_run
            .map_or(chosen_at, |ran| ran.min(chosen_at));
        self.first_possible_run = Some(first);
    }

    /// Returns the number of attempts in flight.
    pub(super) fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().flatten().count()
    }

    /// Returns whether the request is answered and all its attempts have ended.
    pub(super) fn is_finished(&self) -> bool {
        !self.awaits_answer && self.attempts.iter().all(Option::is_none)
    }
}
