//! Rule `cold`: a pod that warms up is not given more than it bears.

use super::history::{Pod, PodLife};
use super::verdict::Verdict;
use super::Arrival;
use crate::ledger::Figures;
use havenplank::interface::Nanos;
use std::collections::{HashMap, VecDeque};

const NS_PER_SECOND: f64 = 1e9;

struct Work {
    at: Nanos,
    /// Nanoseconds of one core.
    amount: Nanos,
}

/// Work that reached a pod within the last window.
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
    recent: HashMap<PodLife, RecentWork>,
}

impl ColdRule {
    pub(super) fn new() -> ColdRule {
        ColdRule {
            verdict: Verdict::new("cold"),
            recent: HashMap::new(),
        }
    }

    /// Forgets the work of a pod that starts.
    pub(super) fn forget_work(&mut self, place: &PodLife) {
        self.recent.remove(place);
    }

    pub(super) fn report_overload(&mut self, at: Nanos, pod: &str, life: u64) {
        let what = format!("{pod} (life {life}) was pushed over while cold");
        self.verdict.report(at, what);
    }

    /// Checks that the work of the last window is within the multiple of the pod's capacity at its age.
    pub(super) fn check_attempt(&mut self, arrival: &Arrival, pod: &Pod, figures: &Figures) {
        let (at, window) = (arrival.at, figures.overload_window);
        let recent = self.recent.entry(arrival.pod.clone()).or_default();
        let amount = arrival.work;
        recent.add(Work { at, amount }, window);
        let age = at.saturating_sub(pod.started);
        if age >= pod.cold.warm_up {
            return;
        }
        let capacity = figures.overload_multiple * pod.cold.at(age);
        let budget = capacity * window as f64 / NS_PER_SECOND;
        let share = recent.sum / budget.max(1.0);
        self.verdict.test(share);
        if recent.sum > budget {
            let what = format!(
                "{}: {share:.2} times what a cold pod bears",
                arrival.pod.pod
            );
            self.verdict.report(at, what);
        }
    }
}
