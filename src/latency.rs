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
const TRUSTED_AFTER: u32 = 30;
/// The latency objective is this many times the mean that is assumed at first.
const OBJECTIVE_TO_MEAN: f64 = 6.0;
/// The ninth decile that is assumed at first, and the greatest, as multiples of the mean.
const INITIAL_NINTH_DECILE: f64 = 2.5;
const MAX_NINTH_DECILE: f64 = 5.0;
/// What the ninth decile moves up for a slow answer and down for another, as parts of a step.
const STEP_UP: f64 = 0.9;
const STEP_DOWN: f64 = -0.1;
/// A step of the ninth decile against the mean, by requests taken.
const STEP_RATE: LearningRate = LearningRate {
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
    class.latency_objective as f64 / OBJECTIVE_TO_MEAN
}

/// How an attempt's latency compares to what was learnt.
pub(crate) struct Pace {
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
    ) -> Pace {
        let requests = self.requests as f64;
        let learns = !self.on_trial() || self.requests < TRUSTED_AFTER;
        let answered = outcome.end == AttemptEnd::Served;
        let informative =
            (answered || outcome.end == AttemptEnd::TimedOut) && attempt.evenly_loaded;
        let machine = attempt.endpoint.machine_type;
        let latency = self.route_classes.latency_mut(class);
        if latency.ninth_decile.len() <= machine {
            let initial = INITIAL_NINTH_DECILE * latency.mean;
            latency.ninth_decile.resize(machine + 1, initial);
        }
        let took = outcome.took as f64;
        let ninth_decile = &mut latency.ninth_decile[machine];
        let slow = informative && took > *ninth_decile;
        if answered {
            latency.mean += (took - latency.mean) * MEAN_RATE.after(requests);
        }
        if informative && learns {
            let step = latency.mean * STEP_RATE.after(requests);
            let moved = *ninth_decile + step * if slow { STEP_UP } else { STEP_DOWN };
            *ninth_decile = moved.min(MAX_NINTH_DECILE * latency.mean);
        }
        let ratio = took / latency.mean.max(1.0);
        Pace { slow, ratio }
    }
}
