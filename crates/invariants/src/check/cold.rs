//! Rule `cold`: a pod that warms up gets no more work than its capacity at that age allows.

use super::history::{Pod, PodIncarnation};
use super::verdict::Verdict;
use super::Arrival;
use crate::ledger::RuleParameters;
use havenplank::interface::Nanos;
use std::collections::{HashMap, VecDeque};

const NS_PER_SECOND: f64 = 1e9;

struct Work {
    at: Nanos,
    /// Nanoseconds of one core.
    amount: Nanos,
}

/// Work that reached a pod within the overload window.
#[derive(Default)]
struct RecentWork {
    attempts: VecDeque<Work>,
    sum: f64,
}

impl RecentWork {
    fn add(&mut self, work: Work, window: Nanos) {
        let at = work.at;
        self.sum += work.amount as f64;
        self.attempts.push_back(work);
        while let Some(old) = self.attempts.pop_front_if(|old| old.at + window < at) {
            self.sum -= old.amount as f64;
        }
    }
}

pub(super) struct ColdRule {
    pub(super) verdict: Verdict,
    recent_work: HashMap<PodIncarnation, RecentWork>,
}

impl ColdRule {
    pub(super) fn new() -> ColdRule {
        ColdRule {
            verdict: Verdict::new("cold"),
            recent_work: HashMap::new(),
        }
    }

    /// Forgets the work of a pod that starts.
    pub(super) fn forget_work(&mut self, pod: &PodIncarnation) {
        self.recent_work.remove(pod);
    }

    pub(super) fn report_overload(&mut self, at: Nanos, pod: &str, incarnation: u64) {
        let what =
            format!("{pod} (incarnation {incarnation}) failed under load while it warmed up");
        self.verdict.report(at, what);
    }

    /// Checks that the work within the overload window is within the allowed multiple of the pod's capacity at its age.
    pub(super) fn check_attempt(
        &mut self,
        arrival: &Arrival,
        pod: &Pod,
        parameters: &RuleParameters,
    ) {
        let (at, window) = (arrival.at, parameters.overload_window);
        let recent = self.recent_work.entry(arrival.pod.clone()).or_default();
        let amount = arrival.work;
        recent.add(Work { at, amount }, window);
        let age = at.saturating_sub(pod.started);
        if age >= pod.slow_start.warm_up {
            return;
        }
        let capacity = parameters.overload_multiple * pod.slow_start.capacity_at(age);
        let budget = capacity * window as f64 / NS_PER_SECOND;
        let share = recent.sum / budget.max(1.0);
        self.verdict.test(share);
        if recent.sum > budget {
            let what = format!(
                "{}: {share:.2} times the work that a warming pod may get",
                arrival.pod.name
            );
            self.verdict.report(at, what);
        }
    }
}
