//! Rule `drains`: a pod that is told to be draining or gone gets nothing new after the grace.

use super::history::PodLife;
use super::verdict::Verdict;
use super::Arrival;
use crate::ledger::Figures;
use havenplank::interface::Nanos;
use std::collections::HashMap;

const NS_PER_US: Nanos = 1_000;

/// What service discovery told a sidecar of pods since its start.
#[derive(Default)]
struct Notices {
    /// Since when it knows that nothing new may go there.
    closed: HashMap<PodLife, Nanos>,
    /// The life last told of each pod.
    lives: HashMap<String, u64>,
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

    /// Forgets what a sidecar was told, as a restart does.
    pub(super) fn forget_notices(&mut self, sidecar: &str) {
        self.sidecars.remove(sidecar);
    }

    /// Takes note that a sidecar was told of a pod's state.
    pub(super) fn note_state(
        &mut self,
        at: Nanos,
        sidecar: &str,
        place: &PodLife,
        is_running: bool,
    ) {
        let notices = self.sidecars.entry(sidecar.to_string()).or_default();
        let before = notices.lives.insert(place.pod.clone(), place.life);
        if let Some(before) = before.filter(|before| *before != place.life) {
            // The address belongs to another life now: whoever goes there goes to a gone pod.
            let gone = PodLife::new(&place.pod, before);
            notices.closed.entry(gone).or_insert(at);
        }
        if is_running {
            notices.closed.remove(place);
        } else {
            // The notice is the test: that nothing comes after it is what the rule asks for.
            self.verdict.tested += 1;
            notices.closed.entry(place.clone()).or_insert(at);
        }
    }

    /// Checks that an attempt does not go to a pod that its sidecar knows to be closed for longer than the grace.
    pub(super) fn check_attempt(&mut self, arrival: &Arrival, figures: &Figures) {
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
        let (since, most) = (
            at.saturating_sub(*closed),
            figures.drain_grace + figures.transit,
        );
        self.verdict.test(since as f64 / most.max(1) as f64);
        if since > most {
            let (name, since_us) = (&pod.pod, since / NS_PER_US);
            let what = format!("ask {ask}: {sidecar} to {name} {since_us} us after it was told");
            self.verdict.report(*at, what);
        }
    }
}
