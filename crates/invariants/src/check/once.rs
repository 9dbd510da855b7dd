//! Rule `once`: a request that is not idempotent does not run twice.

use super::error::EntryError;
use super::history::{Attempt, History, Pod, Request};
use super::verdict::Verdict;
use super::Arrival;
use crate::ledger::{Answer, ClassRules, RuleParameters};
use havenplank::interface::{DedupScope, Idempotency, Nanos};
use std::collections::HashSet;

const NS_PER_US: Nanos = 1_000;

pub(super) struct OnceRule {
    pub(super) verdict: Verdict,
    /// Non-idempotent requests that took effect.
    took_effect: HashSet<u64>,
}

impl OnceRule {
    pub(super) fn new() -> OnceRule {
        OnceRule {
            verdict: Verdict::new("once"),
            took_effect: HashSet::new(),
        }
    }

    /// Checks that a request that may have run is rejected only where its client may send it again, since a rejection
    /// says that a retry is harmless.
    pub(super) fn check_rejection(
        &mut self,
        ask: u64,
        request: &Request,
        retry_at: Nanos,
        parameters: &RuleParameters,
    ) {
        let rejected = request
            .answered
            .filter(|first| first.answer == Answer::Bounced);
        let Some((rejected, first)) = rejected.zip(request.first_run()) else {
            return;
        };
        let class = &parameters.classes[request.class];
        let is_harmless = class.has_idempotency(Idempotency::Idempotent)
            || (class.has_idempotency(Idempotency::Keyed)
                && class.has_scope(DedupScope::All)
                && retry_at < first.at + class.dedup_window + parameters.transit);
        if !is_harmless {
            let what = format!("ask {ask} ({}): bounced, but it may have run", class.name);
            self.verdict.report(rejected.at, what);
        }
    }

    /// Checks that the pod drops a further attempt of a request as a repeat, if the first attempt may have run.
    pub(super) fn check_attempt(
        &mut self,
        arrival: &Arrival,
        request: &Request,
        pod: &Pod,
        history: &History,
    ) -> Result<(), EntryError> {
        let class = history.class(request);
        if class.has_idempotency(Idempotency::Idempotent) {
            return Ok(());
        }
        self.verdict.tested += 1;
        let Some(first) = request.first_run() else {
            return Ok(());
        };
        let first_pod = history.pod(&first.pod, "an attempt")?;
        let drops_repeats = share_keys(class, first_pod, pod);
        self.check_repeat(arrival, class, first, drops_repeats, &history.parameters);
        Ok(())
    }

    fn check_repeat(
        &mut self,
        arrival: &Arrival,
        class: &ClassRules,
        first: &Attempt,
        drops_repeats: bool,
        parameters: &RuleParameters,
    ) {
        let window = class.dedup_window.max(1);
        let since = arrival.at.saturating_sub(first.at);
        if class.has_idempotency(Idempotency::Keyed) {
            self.verdict.approach(since as f64 / window as f64);
        }
        let is_dropped = drops_repeats && since <= window + parameters.transit;
        if class.has_idempotency(Idempotency::NonIdempotent) || !is_dropped {
            let Arrival { at, ask, pod, .. } = arrival;
            let (name, since_us) = (&class.name, since / NS_PER_US);
            let what = format!(
                "ask {ask} ({name}): again at {} {since_us} us later",
                pod.name
            );
            self.verdict.report(*at, what);
        }
    }

    /// Checks that a non-idempotent request takes effect once. Clients retry such a request only after a rejection, so
    /// a second effect is always a fault.
    pub(super) fn check_effect(
        &mut self,
        at: Nanos,
        request: &Request,
        pod: &str,
        history: &History,
    ) {
        let class = history.class(request);
        if class.has_idempotency(Idempotency::NonIdempotent)
            && !self.took_effect.insert(request.operation)
        {
            let what = format!("hit {}: took effect again, at {pod}", request.operation);
            self.verdict.report(at, what);
        }
    }
}

/// Whether two pods share the idempotency keys of this class.
fn share_keys(class: &ClassRules, one: &Pod, other: &Pod) -> bool {
    class.has_scope(DedupScope::All)
        || (class.has_scope(DedupScope::Zone) && one.zone == other.zone)
        || (class.has_scope(DedupScope::Cell) && one.cell == other.cell)
}
