//! Hedging: when a second attempt goes out beside a first that has not ended.
//!
//! Inputs: what nine in ten answers keep, the part of late answers, the retry budget, the time left. An
//! answer that is far later while few are late waits for a silent connection or pod, not for work. The hedged
//! attempt runs beside the first, as a heavy request is as heavy elsewhere, and never waits past the
//! objective. Harm: where many requests are heavy by nature, work is done twice.

use crate::interface::{Endpoint, Idempotency, Nanos};
use crate::request::InFlightRequest;
use crate::router::Router;

/// The multiple of what nine in ten answers keep after which a hedged attempt goes out.
const DELAY_FACTOR: f64 = 2.5;
/// The part of late answers up to which hedged attempts go out.
const MAX_LATE_PART: f64 = 0.125;

impl Router {
    /// After which time the first attempt of a request is hedged, if at all. `endpoint` is its pod.
    pub(crate) fn hedge_delay(
        &self,
        now: Nanos,
        request: &InFlightRequest,
        endpoint: Option<Endpoint>,
    ) -> Option<Nanos> {
        let machine = endpoint.map_or(0, |endpoint| endpoint.machine_type);
        let usual = self.route_classes.ninth_decile(request.class, machine);
        let delay = (DELAY_FACTOR * usual.unwrap_or(0.0)) as Nanos;
        let in_time = now.saturating_add(delay) < request.objective_at;
        let idempotency = self.route_classes[request.class].idempotency;
        let repeatable = idempotency != Idempotency::NonIdempotent;
        let first = request.tried.len() == 1;
        let hedged = self.attempt_settings.hedging && first && repeatable && in_time && delay > 0;
        hedged.then_some(delay)
    }

    /// How long a hedged attempt may take, or none where it does not go out after all.
    pub(crate) fn hedge_timeout(&mut self, now: Nanos, request: &InFlightRequest) -> Option<Nanos> {
        let alone = request.attempts_in_flight == 1 && request.tried.len() == 1;
        let calm = self.limit.late_part <= MAX_LATE_PART && self.retry_budget.allows_hedge(now);
        let until = request.objective_at.min(request.deadline);
        let left = until.saturating_sub(now);
        let goes_out = alone && calm && left > 0 && !self.is_exhausted(request);
        goes_out.then_some(left)
    }
}
