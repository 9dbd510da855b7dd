//! Which answers are slow, compared with the latencies learnt outside trials.
//!
//! Inputs: latencies by route class and by machine type, as a new build starts on a few pods, whose machine types
//! may differ from those of the other pods. Hedging and the sequential test use the result. Risk: with few requests
//! the learnt latencies lag behind a change of the load.

use crate::interface::{AttemptEnd, AttemptOutcome, RouteClass, RouteClassId};
use crate::learning_rate::LearningRate;
use crate::pod_table::Pod;
use crate::request::Attempt;
use crate::router::Router;

/// After this many requests the learnt 90th percentiles are a reliable baseline, so a trial no longer changes them.
const MIN_BASELINE_REQUESTS: u32 = 30;
/// The ratio of the latency objective to the mean that is assumed at first.
const OBJECTIVE_TO_INITIAL_MEAN: f64 = 6.0;
/// The 90th percentile that is assumed at first, as a multiple of the mean.
const INITIAL_P90_TO_MEAN: f64 = 2.5;
/// The greatest 90th percentile, as a multiple of the mean.
const MAX_P90_TO_MEAN: f64 = 5.0;
/// The change of the 90th percentile for a slow answer, as a fraction of a step. With 0.9 up and 0.1 down the estimate
/// is stable where one answer in ten is slow.
const P90_STEP_UP: f64 = 0.9;
/// The change for any other answer.
const P90_STEP_DOWN: f64 = -0.1;
/// The size of a step of the 90th percentile, relative to the mean, by the number of requests received.
const P90_STEP_RATE: LearningRate = LearningRate {
    numerator: 20.0,
    min: 0.02,
    max: 0.5,
};
/// The weight of the latest answer in the mean, by the number of requests received.
const MEAN_RATE: LearningRate = LearningRate {
    numerator: 2.0,
    min: 0.01,
    max: 0.2,
};

/// Returns the mean latency assumed of a class before anything is learnt, in nanoseconds.
pub(crate) fn initial_mean(class: &RouteClass) -> f64 {
    class.latency_objective as f64 / OBJECTIVE_TO_INITIAL_MEAN
}

/// The latency of an attempt, compared with the learnt latencies.
pub(crate) struct RelativeLatency {
    /// The attempt took longer than the 90th percentile of its route class and machine type.
    pub(crate) slow: bool,
    /// The latency, relative to the mean of the route class.
    pub(crate) ratio: f64,
}

impl Router {
    /// Whether this instance has no more attempts in flight at a pod than at the pods of its subsets on average.
    pub(crate) fn is_evenly_loaded(&self, pod: &Pod) -> bool {
        let withheld = self.sequential_test.periods.withheld;
        let excluded_build = withheld.then_some(self.sequential_test.build);
        let pod_count = self.pods.subset_size_without(excluded_build);
        pod.in_flight * pod_count as u32 <= self.concurrency_limit.in_flight
    }

    /// Compares the latency of an attempt with the learnt latencies, then updates them.
    pub(crate) fn learn_latency(
        &mut self,
        class: RouteClassId,
        attempt: &Attempt,
        outcome: &AttemptOutcome,
    ) -> RelativeLatency {
        let requests = self.requests as f64;
        let updates_baseline = !self.on_trial() || self.requests < MIN_BASELINE_REQUESTS;
        let answered = outcome.end == AttemptEnd::Served;
        let informative =
            (answered || outcome.end == AttemptEnd::TimedOut) && attempt.evenly_loaded;
        let machine_type = attempt.endpoint.machine_type;
        let latency = self.route_classes.latency_mut(class);
        if latency.p90.len() <= machine_type {
            let initial = INITIAL_P90_TO_MEAN * latency.mean;
            latency.p90.resize(machine_type + 1, initial);
        }
        let took = outcome.took as f64;
        let p90 = &mut latency.p90[machine_type];
        let slow = informative && took > *p90;
        if answered {
            latency.mean += (took - latency.mean) * MEAN_RATE.after(requests);
        }
        if informative && updates_baseline {
            let step = latency.mean * P90_STEP_RATE.after(requests);
            let moved = *p90 + step * if slow { P90_STEP_UP } else { P90_STEP_DOWN };
            *p90 = moved.min(MAX_P90_TO_MEAN * latency.mean);
        }
        let ratio = took / latency.mean.max(1.0);
        RelativeLatency { slow, ratio }
    }
}
