//! Hedging: when a second attempt is sent while the first has not ended.
//!
//! Inputs: the 90th percentile of the latency, the fraction of late answers, the retry budget and the time left.
//! An answer that is far later than usual while few answers are late waits for a silent connection or pod, not
//! for work. The first attempt continues beside the hedged one, as an expensive request is as expensive at
//! another pod. The hedged attempt never lasts beyond the latency objective. Risk: where many requests are
//! expensive by nature, work is done twice.

use crate::interface::{Endpoint, Idempotency, Nanos};
use crate::request::InFlightRequest;
use crate::router::Router;

/// The delay of a hedged attempt, as a multiple of the 90th percentile of the latency.
const DELAY_TO_P90: f64 = 2.5;
/// The fraction of late answers up to which hedged attempts are sent.
const MAX_LATE_FRACTION: f64 = 0.125;

impl Router {
    /// Returns the delay after which the first attempt of a request is hedged, or `None` where it is not hedged.
    /// `endpoint` is the pod of the first attempt.
    pub(crate) fn hedge_delay(
        &self,
        now: Nanos,
        request: &InFlightRequest,
        endpoint: Option<Endpoint>,
    ) -> Option<Nanos> {
        let machine_type = endpoint.map_or(0, |endpoint| endpoint.machine_type);
        let p90 = self.route_classes.p90(request.class, machine_type);
        let delay = (DELAY_TO_P90 * p90.unwrap_or(0.0)) as Nanos;
        let in_time = now.saturating_add(delay) < request.objective_deadline;
        let idempotency = self.route_classes[request.class].idempotency;
        let may_repeat = idempotency != Idempotency::NonIdempotent;
        let is_first = request.tried.len() == 1;
        let may_hedge =
            self.attempt_settings.hedging && is_first && may_repeat && in_time && delay > 0;
        may_hedge.then_some(delay)
    }

    /// Returns the timeout of a hedged attempt, or `None` where it is no longer to be sent.
    pub(crate) fn hedge_timeout(&mut self, now: Nanos, request: &InFlightRequest) -> Option<Nanos> {
        let only_first_in_flight = request.attempts_in_flight == 1 && request.tried.len() == 1;
        let few_late = self.concurrency_limit.late_fraction <= MAX_LATE_FRACTION
            && self.retry_budget.allows_hedge(now);
        let until = request.objective_deadline.min(request.deadline);
        let remaining = until.saturating_sub(now);
        let may_send =
            only_first_in_flight && few_late && remaining > 0 && !self.is_exhausted(request);
        may_send.then_some(remaining)
    }
}
