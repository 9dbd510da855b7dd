//! Admission: a limit on the attempts in flight that follows latency.
//!
//! Inputs: which answers take too large a part of their latency objective. What a queue would make late is
//! rejected on arrival, those of the lowest priority first. Covers overload, lost pods and slow fleets alike.
//! Harm: where many requests are heavy by nature, the limit is lower than the pods could bear.

use crate::interface::{AttemptEnd, Nanos, RouteClassId};
use crate::request::EndedAttempt;
use crate::router::Router;

const INITIAL_LIMIT: f64 = 60.0;
const MIN_LIMIT: f64 = 4.0;
/// The part of the limit that requests of no priority may use.
const LOWEST_PRIORITY_PART: f64 = 0.75;
/// The part of its latency objective after which an answer is late.
const LATE_AFTER: f64 = 0.45;
/// The weight of the latest answer in the late part.
const LATE_LEARNING_RATE: f64 = 0.03;
/// The part of late answers above which the limit is reduced, and by which factor.
const MAX_LATE_PART: f64 = 0.25;
const REDUCTION: f64 = 0.9;
/// The limit is reduced once in this part of a latency objective, at most.
const REDUCTIONS_PER_OBJECTIVE: Nanos = 4;
/// What an answer in time adds while more than half of the limit is in use.
const INCREASE: f64 = 0.2;

/// The concurrency limit.
pub(crate) struct ConcurrencyLimit {
    /// Attempts in flight from this instance.
    pub(crate) in_flight: u32,
    /// The part of late answers, of late.
    pub(crate) late_part: f64,
    limit: f64,
    reduced_at: Nanos,
}

impl ConcurrencyLimit {
    /// The part of late answers above which lateness tells of load, not of a build.
    pub(crate) const CROWDED: f64 = 0.33;

    pub(crate) fn new() -> ConcurrencyLimit {
        ConcurrencyLimit {
            in_flight: 0,
            late_part: 0.0,
            limit: INITIAL_LIMIT,
            reduced_at: 0,
        }
    }

    /// Whether a request is admitted; `priority` is from 0 to 1, the highest weight in force.
    fn admits(&self, priority: f64) -> bool {
        let part = LOWEST_PRIORITY_PART + (1.0 - LOWEST_PRIORITY_PART) * priority;
        (self.in_flight as f64) < self.limit * part
    }

    /// Takes in an attempt that ended. One of a silent pod tells nothing of the load.
    pub(crate) fn record_end(&mut self, now: Nanos, ended: &EndedAttempt) {
        let objective = ended.latency_objective;
        let answered = ended.outcome.end == AttemptEnd::Served;
        let took = if ended.pod_silent {
            0
        } else {
            ended.outcome.took
        };
        let late = took as f64 > LATE_AFTER * objective as f64;
        self.late_part += (late as u8 as f64 - self.late_part) * LATE_LEARNING_RATE;
        let reducible = now.saturating_sub(self.reduced_at) > objective / REDUCTIONS_PER_OBJECTIVE;
        if late && self.late_part > MAX_LATE_PART && reducible {
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
        self.limit.admits(priority)
    }
}
