//! Retries: whether another attempt is safe, worth it and within budget, and what the client is told else.
//!
//! Inputs: the idempotency of the route class, what may have run and when, attempts so far, time left, and
//! the budget. Retries are bounded by requests taken, lest a sick fleet be asked more. Harm: a budget that is
//! used up turns single failures into errors.

use crate::exposure::WINDOW_SLICES;
use crate::interface::{AttemptEnd, DedupScope, Idempotency, Nanos};
use crate::request::InFlightRequest;
use crate::router::Router;
use crate::time::SECOND;
use crate::window::SlidingWindow;

/// Retries for each request taken, at most.
const BUDGET_PART: f64 = 0.2;
/// How much larger the budget is for a retry after an attempt that never ran: that cost the pods little.
const NEVER_RAN_FACTOR: f64 = 2.0;

/// The requests taken and the retries granted, over one window. A granted one counts even where no pod is left to
/// send it to.
pub(crate) struct RetryBudget {
    requests: SlidingWindow,
    retries: SlidingWindow,
}

impl RetryBudget {
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

    /// Requests taken within the window.
    pub(crate) fn requests(&mut self, now: Nanos) -> u32 {
        self.requests.upper_bound(now)
    }

    /// Whether there is room for a retry after an attempt that ran or not.
    fn allows_retry(&mut self, now: Nanos, ran: bool) -> bool {
        let factor = if ran { 1.0 } else { NEVER_RAN_FACTOR };
        let most = BUDGET_PART * factor * self.requests(now) as f64 + 1.0;
        (self.retries.upper_bound(now) as f64) < most
    }

    /// Whether there is room for a hedged attempt.
    pub(crate) fn allows_hedge(&mut self, now: Nanos) -> bool {
        let most = BUDGET_PART * self.requests(now) as f64;
        (self.retries.upper_bound(now) as f64) < most
    }
}

impl Router {
    /// Whether a request may run no more or has had all its attempts.
    pub(crate) fn is_exhausted(&self, request: &InFlightRequest) -> bool {
        self.may_not_repeat(request)
            || request.tried.len() >= self.attempt_settings.max_attempts as usize
    }

    fn may_not_repeat(&self, request: &InFlightRequest) -> bool {
        let idempotency = self.route_classes[request.class].idempotency;
        idempotency == Idempotency::NonIdempotent && request.possible_run.is_some()
    }

    /// Whether a request whose last attempt ended in `end` is tried again.
    pub(crate) fn may_retry(
        &mut self,
        now: Nanos,
        request: &InFlightRequest,
        end: AttemptEnd,
    ) -> bool {
        let late_weight = self.route_classes[request.class].late_weight;
        let worthless = now >= request.objective_at && late_weight <= 0.0;
        !worthless
            && !self.may_not_repeat(request)
            && self.retry_budget.allows_retry(now, !end.never_ran())
    }

    /// How long an attempt may take. A time-out before the objective would do the work twice just when pods
    /// are slow; hung pods are told by their silence.
    pub(crate) fn attempt_timeout(&self, now: Nanos, request: &InFlightRequest) -> Nanos {
        let rules = self.route_classes[request.class];
        let left = request.deadline - now;
        match rules.idempotency {
            Idempotency::NonIdempotent => left,
            Idempotency::Idempotent | Idempotency::Keyed => left.min(rules.latency_objective),
        }
    }

    /// Whether a client that tries again later can do no harm, so that the request is rejected rather than
    /// failed.
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
