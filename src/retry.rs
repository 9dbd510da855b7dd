//! Retries: whether another attempt is safe, worthwhile and within budget, and which answer the client gets
//! otherwise.
//!
//! Inputs: the idempotency of the route class, what may have run and when, the attempts so far, the time left
//! and the budget. Retries are limited in proportion to requests, so that a failing fleet does not get several
//! times the load. Risk: once the budget is used up, single failures become errors.

use crate::exposure::WINDOW_SLICES;
use crate::interface::{AttemptEnd, DedupScope, Idempotency, Nanos};
use crate::request::InFlightRequest;
use crate::router::Router;
use crate::time::SECOND;
use crate::window::SlidingWindow;

/// The limit on retries, as a fraction of the requests received.
const BUDGET_FRACTION: f64 = 0.2;
/// The factor of the budget for a retry after an attempt that never ran: such an attempt cost the pods little.
const NEVER_RAN_FACTOR: f64 = 2.0;

/// The requests received and the retries granted over one window. A granted retry counts even where no pod is left
/// for it.
pub(crate) struct RetryBudget {
    requests: SlidingWindow,
    retries: SlidingWindow,
}

impl RetryBudget {
    /// The window over which requests and retries are counted.
    pub(crate) const WINDOW: Nanos = 10 * SECOND;

    pub(crate) fn new() -> RetryBudget {
        RetryBudget {
            requests: SlidingWindow::new(RetryBudget::WINDOW, WINDOW_SLICES),
            retries: SlidingWindow::new(RetryBudget::WINDOW, WINDOW_SLICES),
        }
    }

    pub(crate) fn record_request(&mut self, now: Nanos) {
        self.requests.add(now);
    }

    pub(crate) fn record_retry(&mut self, now: Nanos) {
        self.retries.add(now);
    }

    /// Returns the requests received within the window.
    pub(crate) fn requests(&mut self, now: Nanos) -> u32 {
        self.requests.upper_bound(now)
    }

    /// Whether the budget allows a retry. `ran` is whether the attempt before it may have run.
    fn allows_retry(&mut self, now: Nanos, ran: bool) -> bool {
        let factor = if ran { 1.0 } else { NEVER_RAN_FACTOR };
        let limit = BUDGET_FRACTION * factor * self.requests(now) as f64 + 1.0;
        (self.retries.upper_bound(now) as f64) < limit
    }

    /// Whether the budget allows a hedged attempt.
    pub(crate) fn allows_hedge(&mut self, now: Nanos) -> bool {
        let limit = BUDGET_FRACTION * self.requests(now) as f64;
        (self.retries.upper_bound(now) as f64) < limit
    }
}

impl Router {
    /// Whether a request may not run again or has had all its attempts.
    pub(crate) fn is_exhausted(&self, request: &InFlightRequest) -> bool {
        self.may_not_repeat(request)
            || request.tried.len() >= self.attempt_settings.max_attempts as usize
    }

    fn may_not_repeat(&self, request: &InFlightRequest) -> bool {
        let idempotency = self.route_classes[request.class].idempotency;
        idempotency == Idempotency::NonIdempotent && request.possible_run.is_some()
    }

    /// Whether a request is retried after an attempt that ended in `end`.
    pub(crate) fn may_retry(
        &mut self,
        now: Nanos,
        request: &InFlightRequest,
        end: AttemptEnd,
    ) -> bool {
        let late_weight = self.route_classes[request.class].late_weight;
        let answer_has_no_value = now >= request.objective_deadline && late_weight <= 0.0;
        !answer_has_no_value
            && !self.may_not_repeat(request)
            && self.retry_budget.allows_retry(now, !end.never_ran())
    }

    /// Returns the timeout of an attempt. A timeout before the latency objective would do the work twice exactly
    /// when pods are slow; hung pods are detected by their silence instead.
    pub(crate) fn attempt_timeout(&self, now: Nanos, request: &InFlightRequest) -> Nanos {
        let rules = self.route_classes[request.class];
        let remaining = request.deadline - now;
        match rules.idempotency {
            Idempotency::NonIdempotent => remaining,
            Idempotency::Idempotent | Idempotency::Keyed => remaining.min(rules.latency_objective),
        }
    }

    /// Whether a later retry by the client is harmless. If so, the request is rejected, otherwise it is failed.
    pub(crate) fn is_client_retry_harmless(&self, now: Nanos, request: &InFlightRequest) -> bool {
        let rules = self.route_classes[request.class];
        let Some(run) = request.possible_run else {
            return true;
        };
        let retried_at = now + self.attempt_settings.max_retry_after;
        match rules.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed => {
                retried_at < run.at + rules.dedup_window && rules.dedup_scope == DedupScope::All
            }
            Idempotency::NonIdempotent => false,
        }
    }
}
