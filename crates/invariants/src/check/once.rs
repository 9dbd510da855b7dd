//! Rule `once`: what may do harm twice does not run twice.

use super::error::EntryError;
use super::history::{Attempt, History, Pod, Request};
use super::verdict::Verdict;
use super::Arrival;
use crate::ledger::{Answer, Figures, Group};
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

    /// Checks that a request that may have run is rejected only where its client may send it again: rejecting says that
    /// a retry is harmless.
    pub(super) fn check_rejection(
        &mut self,
        ask: u64,
        request: &Request,
        retry_at: Nanos,
        figures: &Figures,
    ) {
        let rejected = request
            .answered
            .filter(|first| first.answer == Answer::Bounced);
        let Some((rejected, first)) = rejected.zip(request.first_run()) else {
            return;
        };
        let class = &figures.groups[request.class];
        let is_harmless = class.is(Idempotency::Idempotent)
            || (class.is(Idempotency::Keyed)
                && class.scoped(DedupScope::All)
                && retry_at < first.at + class.dedup_window + figures.transit);
        if !is_harmless {
            let what = format!("ask {ask} ({}): bounced, but it may have run", class.name);
            self.verdict.report(rejected.at, what);
        }
    }

    /// Checks a further attempt of a request: that the pod drops it as a repeat, where the first one may have run.
    pub(super) fn check_attempt(
        &mut self,
        arrival: &Arrival,
        request: &Request,
        pod: &Pod,
        history: &History,
    ) -> Result<(), EntryError> {
        let class = history.class(request);
        if class.is(Idempotency::Idempotent) {
            return Ok(());
        }
        self.verdict.tested += 1;
        let Some(first) = request.first_run() else {
            return Ok(());
        };
        let first_pod = history.pod(&first.pod, "an attempt")?;
        let drops_repeats = share_keys(class, first_pod, pod);
        self.check_repeat(arrival, class, first, drops_repeats, &history.figures);
        Ok(())
    }

    fn check_repeat(
        &mut self,
        arrival: &Arrival,
        class: &Group,
        first: &Attempt,
        drops_repeats: bool,
        figures: &Figures,
    ) {
        let window = class.dedup_window.max(1);
        let since = arrival.at.saturating_sub(first.at);
        if class.is(Idempotency::Keyed) {
            self.verdict.approach(since as f64 / window as f64);
        }
        let is_dropped = drops_repeats && since <= window + figures.transit;
        if class.is(Idempotency::NonIdempotent) || !is_dropped {
            let Arrival { at, ask, pod, .. } = arrival;
            let (name, since_us) = (&class.name, since / NS_PER_US);
            let what = format!(
                "ask {ask} ({name}): again at {} {since_us} us later",
                pod.pod
            );
            self.verdict.report(*at, what);
        }
    }

    /// Checks that a non-idempotent request takes effect once. Clients send such a request again only after it was
    /// rejected, so that one effect is all it may have.
    pub(super) fn check_effect(
        &mut self,
        at: Nanos,
        request: &Request,
        pod: &str,
        history: &History,
    ) {
        let class = history.class(request);
        if class.is(Idempotency::NonIdempotent) && !self.took_effect.insert(request.hit) {
            let what = format!("hit {}: took effect again, at {pod}", request.hit);
            self.verdict.report(at, what);
        }
    }
}

/// Whether one pod knows the idempotency keys that another has seen.
fn share_keys(class: &Group, one: &Pod, other: &Pod) -> bool {
    class.scoped(DedupScope::All)
        || (class.scoped(DedupScope::Zone) && one.zone == other.zone)
        || (class.scoped(DedupScope::Cell) && one.cell == other.cell)
}
