//! Which answers are slow, against what was learnt outside trials.
//!
//! Inputs: latencies by route class and machine type, as a new build starts on few pods. Hedging and the
//! sequential test go by the result. Harm: what is learnt from few requests lags behind a change of the load.

use crate::interface::{AttemptEnd, AttemptOutcome, RouteClass, RouteClassId};
use crate::learning_rate::LearningRate;
use crate::pod_table::Pod;
use crate::request::Attempt;
use crate::router::Router;

/// Requests after which an instance trusts what it learnt of the time before a trial.
const MIN_BASELINE_REQUESTS: u32 = 30;
/// The latency objective is this many times the mean that is assumed at first.
const OBJECTIVE_TO_INITIAL_MEAN: f64 = 6.0;
/// The ninth decile that is assumed at first, and the greatest, as multiples of the mean.
const INITIAL_P90_TO_MEAN: f64 = 2.5;
const MAX_P90_TO_MEAN: f64 = 5.0;
/// What the ninth decile moves up for a slow answer and down for another, as parts of a step.
const P90_STEP_UP: f64 = 0.9;
const P90_STEP_DOWN: f64 = -0.1;
/// A step of the ninth decile against the mean, by requests taken.
const P90_STEP_RATE: LearningRate = LearningRate {
    numerator: 20.0,
    min: 0.02,
    max: 0.5,
};
/// The weight of the latest answer in the mean, by requests taken.
const MEAN_RATE: LearningRate = LearningRate {
    numerator: 2.0,
    min: 0.01,
    max: 0.2,
};

/// The mean latency assumed of a class of which nothing is learnt yet, in nanoseconds.
pub(crate) fn initial_mean(class: &RouteClass) -> f64 {
    class.latency_objective as f64 / OBJECTIVE_TO_INITIAL_MEAN
}

/// How an attempt's latency compares to what was learnt.
pub(crate) struct RelativeLatency {
    /// It is among the slowest tenth of its route class and machine type.
    pub(crate) slow: bool,
    /// Against the mean of its route class.
    pub(crate) ratio: f64,
}

impl Router {
    /// Whether no more attempts of this instance are in flight at a pod than the mean of its subsets.
    pub(crate) fn is_evenly_loaded(&self, pod: &Pod) -> bool {
        let withheld = self.sequential_test.periods.withheld;
        let without = withheld.then_some(self.sequential_test.build);
        let pods = self.pods.subset_size_without(without);
        pod.in_flight * pods as u32 <= self.limit.in_flight
    }

    /// Compares an attempt's latency to what was learnt, then learns from it.
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
