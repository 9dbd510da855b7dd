//! Admission: a limit on the attempts in flight that adapts to latency.
//!
//! Inputs: which answers take too large a fraction of their latency objective. Requests that a queue would make
//! late are rejected on arrival, those of the lowest priority first. This covers overload, lost pods and slow
//! fleets alike. Risk: where many requests are expensive by nature, the limit is lower than the pods could
//! handle.

use crate::interface::{AttemptEnd, Nanos, RouteClassId};
use crate::request::EndedAttempt;
use crate::router::Router;

/// The limit at the start, in attempts in flight.
const INITIAL_LIMIT: f64 = 60.0;
const MIN_LIMIT: f64 = 4.0;
/// The fraction of the limit that requests of priority 0 may use.
const LOWEST_PRIORITY_FRACTION: f64 = 0.75;
/// The fraction of its latency objective after which an answer counts as late.
const LATE_OBJECTIVE_FRACTION: f64 = 0.45;
/// The weight of the latest answer in the fraction of late answers.
const LATE_LEARNING_RATE: f64 = 0.03;
/// The fraction of late answers above which the limit is reduced.
const MAX_LATE_FRACTION: f64 = 0.25;
/// The factor of each reduction of the limit.
const REDUCTION: f64 = 0.9;
/// The greatest number of reductions of the limit within one latency objective.
const REDUCTIONS_PER_OBJECTIVE: Nanos = 4;
/// What an answer in time adds to the limit while more than half of it is in use.
const INCREASE: f64 = 0.2;

/// The adaptive concurrency limit.
pub(crate) struct ConcurrencyLimit {
    /// The attempts in flight from this instance.
    pub(crate) in_flight: u32,
    /// The running fraction of late answers.
    pub(crate) late_fraction: f64,
    limit: f64,
    reduced_at: Nanos,
}

impl ConcurrencyLimit {
    /// The fraction of late answers above which lateness is due to load and says nothing about a build.
    pub(crate) const MAX_INFORMATIVE_LATE_FRACTION: f64 = 0.33;

    pub(crate) fn new() -> ConcurrencyLimit {
        ConcurrencyLimit {
            in_flight: 0,
            late_fraction: 0.0,
            limit: INITIAL_LIMIT,
            reduced_at: 0,
        }
    }

    /// Whether a request is admitted. `priority` is the priority weight of its route class, divided by the greatest
    /// priority weight in force: from 0 to 1.
    fn admits(&self, priority: f64) -> bool {
        let fraction = LOWEST_PRIORITY_FRACTION + (1.0 - LOWEST_PRIORITY_FRACTION) * priority;
        (self.in_flight as f64) < self.limit * fraction
    }

    /// Records an attempt that ended. An attempt at a silent pod says nothing about the load, so it does not count as
    /// late.
    pub(crate) fn record_attempt_end(&mut self, now: Nanos, ended: &EndedAttempt) {
        let objective = ended.latency_objective;
        let answered = ended.outcome.end == AttemptEnd::Served;
        let took = if ended.pod_silent {
            0
        } else {
            ended.outcome.took
        };
        let late = took as f64 > LATE_OBJECTIVE_FRACTION * objective as f64;
        self.late_fraction += (late as u8 as f64 - self.late_fraction) * LATE_LEARNING_RATE;
        let reducible = now.saturating_sub(self.reduced_at) > objective / REDUCTIONS_PER_OBJECTIVE;
        if late && self.late_fraction > MAX_LATE_FRACTION && reducible {
            self.limit = (self.limit.min(self.in_flight as f64) * REDUCTION).max(MIN_LIMIT);
            self.reduced_at = now;
        } else if answered && !late && self.in_flight as f64 > self.limit / 2.0 {
            self.limit += INCREASE;
        }
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}

impl Router {
    /// Whether the limit admits one more request of a class.
    pub(crate) fn admits(&self, class: RouteClassId) -> bool {
        let weight = self.route_classes[class].priority_weight;
        let priority = weight / self.route_classes.max_priority_weight;
        self.concurrency_limit.admits(priority)
    }
}
