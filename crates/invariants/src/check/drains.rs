//! Rule `drains`: a pod that was announced as draining or gone gets no new attempts after the grace period.

use super::history::PodIncarnation;
use super::verdict::Verdict;
use super::Arrival;
use crate::ledger::RuleParameters;
use havenplank::interface::Nanos;
use std::collections::HashMap;

const NS_PER_US: Nanos = 1_000;

/// The pod states that service discovery sent a sidecar since the sidecar's start.
#[derive(Default)]
struct Notices {
    /// When the sidecar was first notified that a pod takes no new attempts.
    closed: HashMap<PodIncarnation, Nanos>,
    /// The last announced incarnation of each pod.
    incarnations: HashMap<String, u64>,
}

pub(super) struct DrainRule {
    pub(super) verdict: Verdict,
    sidecars: HashMap<String, Notices>,
}

impl DrainRule {
    pub(super) fn new() -> DrainRule {
        DrainRule {
            verdict: Verdict::new("drains"),
            sidecars: HashMap::new(),
        }
    }

    /// Forgets the notices that a sidecar received, as its restart does.
    pub(super) fn forget_notices(&mut self, sidecar: &str) {
        self.sidecars.remove(sidecar);
    }

    /// Records that a sidecar was notified of a pod's state.
    pub(super) fn note_state(
        &mut self,
        at: Nanos,
        sidecar: &str,
        pod: &PodIncarnation,
        is_running: bool,
    ) {
        let notices = self.sidecars.entry(sidecar.to_string()).or_default();
        let before = notices
            .incarnations
            .insert(pod.name.clone(), pod.incarnation);
        if let Some(before) = before.filter(|before| *before != pod.incarnation) {
            // The address belongs to the new incarnation, so an attempt to the one before goes to a pod that is gone.
            let gone = PodIncarnation::new(&pod.name, before);
            notices.closed.entry(gone).or_insert(at);
        }
        if is_running {
            notices.closed.remove(pod);
        } else {
            // The notice itself counts as a test: the rule holds when no attempt follows it.
            self.verdict.tested += 1;
            notices.closed.entry(pod.clone()).or_insert(at);
        }
    }

    /// Checks that an attempt does not go to a pod that was announced as closed for longer than the grace period.
    pub(super) fn check_attempt(&mut self, arrival: &Arrival, parameters: &RuleParameters) {
        let Arrival {
            at,
            ask,
            sidecar,
            pod,
            ..
        } = arrival;
        let notices = self.sidecars.get(*sidecar);
        let Some(closed) = notices.and_then(|notices| notices.closed.get(pod)) else {
            return;
        };
        let (since, limit) = (
            at.saturating_sub(*closed),
            parameters.drain_grace + parameters.transit,
        );
        self.verdict.test(since as f64 / limit.max(1) as f64);
        if since > limit {
            let (name, since_us) = (&pod.name, since / NS_PER_US);
            let what = format!("ask {ask}: {sidecar} to {name} {since_us} us after it was told");
            self.verdict.report(*at, what);
        }
    }
}
