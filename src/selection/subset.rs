//! Deterministic subsets: which pods of each group this instance sends to.
//!
//! Hundreds of instances that each open connections to every pod cost the pods more than their requests do.
//! So each keeps to a stretch of every group; all instances order a group alike, and an instance's rank tells
//! where its stretch begins. A stretch goes on past unhealthy pods, and a cold pod counts for its part.
//! Inputs: rank, number of instances, pods, attempts in flight. Harm: where ranks collide, some pods get more
//! than others.

use super::GOLDEN_RATIO;
use crate::interface::{FleetPosition, Nanos};
use crate::outlier::OutlierDetector;
use crate::pod_table::{PodGroup, PodTable};
use crate::slow_start::SlowStart;

/// Instances that send to each pod, at least: what so many alike send it strays by their root, a fifth.
const MIN_INSTANCES_PER_POD: f64 = 25.0;
/// Healthy pods of a group in a subset, at least: of fewer the sequential test hears too little.
const MIN_SUBSET_SIZE: f64 = 4.0;
/// Attempts in flight from one instance to each pod of its subset, at most: its bursts must not fill one.
const MAX_IN_FLIGHT_PER_POD: f64 = 0.125;
/// The weight of the latest request in the mean number of attempts in flight.
const IN_FLIGHT_LEARNING_RATE: f64 = 0.02;

/// What the size of the subsets follows.
#[derive(Default)]
pub(crate) struct Subsetting {
    /// Attempts in flight from here that a request found of late, in the mean.
    mean_in_flight: f64,
}

impl Subsetting {
    pub(crate) fn record_in_flight(&mut self, in_flight: u32) {
        self.mean_in_flight += (in_flight as f64 - self.mean_in_flight) * IN_FLIGHT_LEARNING_RATE;
    }

    /// Chooses the subset of each group anew.
    pub(crate) fn update(
        &self,
        now: Nanos,
        position: &FleetPosition,
        pods: &mut PodTable,
        outlier: &OutlierDetector,
        slow_start: &SlowStart,
    ) {
        let all = pods.count as f64;
        let shared = MIN_INSTANCES_PER_POD * all / position.instances.max(1) as f64;
        let wanted = shared.max(self.mean_in_flight / MAX_IN_FLIGHT_PER_POD);
        let start = (position.rank as f64 * GOLDEN_RATIO).fract();
        let mut groups = std::mem::take(&mut pods.groups);
        for group in &mut groups {
            let enough = (wanted * group.pods.len() as f64 / all).max(MIN_SUBSET_SIZE);
            fill(group, enough, start, |id| {
                // One whose ejection has merely run out has yet to show that it is healthy.
                let healthy = pods.get(id).filter(|pod| {
                    !OutlierDetector::has_failed(pod) && outlier.is_healthy(now, pod)
                });
                healthy.map_or(0.0, |pod| slow_start.warmth(now, &pod.endpoint))
            });
        }
        pods.groups = groups;
    }
}

/// Fills a group's subset until its pods carry `enough`; `start` is from 0 to 1 of the ring.
fn fill(group: &mut PodGroup, enough: f64, start: f64, carries: impl Fn(usize) -> f64) {
    let count = group.pods.len();
    let (order, first) = if enough < count as f64 {
        (&group.ring, (start * count as f64) as usize)
    } else {
        (&group.pods, 0)
    };
    group.subset.clear();
    let mut carried = 0.0;
    for id in (0..count).map(|step| order[(first + step) % count]) {
        if carried >= enough {
            break;
        }
        group.subset.push(id);
        carried += carries(id);
    }
}
