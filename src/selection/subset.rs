//! Deterministic subsets: which pods of each group this instance sends to.
//!
//! If hundreds of instances each open connections to every pod, the connections cost the pods more than the
//! requests do. So each instance sends to a contiguous range of every group. All instances sort a group alike,
//! and an instance's rank sets where its range begins. The range is extended past unhealthy pods, and a pod that
//! warms up counts by its warmth. Inputs: rank, number of instances, pods, attempts in flight. Risk: where
//! several instances have the same rank, some pods get more requests than others.

use super::INVERSE_GOLDEN_RATIO;
use crate::interface::{FleetPosition, Nanos};
use crate::outlier::OutlierDetector;
use crate::pod_table::{PodGroup, PodTable};
use crate::slow_start::SlowStart;

/// The smallest number of instances that send to each pod. The load from 25 similar instances has a relative standard
/// deviation of 1 / sqrt(25), a fifth.
const MIN_INSTANCES_PER_POD: f64 = 25.0;
/// The smallest number of healthy pods of a group in a subset. Fewer give the sequential test too little evidence.
const MIN_SUBSET_SIZE: f64 = 4.0;
/// The limit on attempts in flight from one instance per pod of its subset, on average: a burst from the instance must
/// not fill a pod.
const MAX_IN_FLIGHT_PER_POD: f64 = 0.125;
/// The weight of the latest request in the mean number of attempts in flight.
const IN_FLIGHT_LEARNING_RATE: f64 = 0.02;

/// The state that the size of the subsets depends on.
#[derive(Default)]
pub(crate) struct Subsetting {
    /// The running mean of this instance's attempts in flight, sampled when a request arrives.
    mean_in_flight: f64,
}

impl Subsetting {
    pub(crate) fn record_in_flight(&mut self, in_flight: u32) {
        self.mean_in_flight += (in_flight as f64 - self.mean_in_flight) * IN_FLIGHT_LEARNING_RATE;
    }

    /// Recomputes the subset of each group.
    pub(crate) fn update(
        &self,
        now: Nanos,
        position: &FleetPosition,
        pods: &mut PodTable,
        outlier: &OutlierDetector,
        slow_start: &SlowStart,
    ) {
        let pod_count = pods.count as f64;
        let min_subset_size = MIN_INSTANCES_PER_POD * pod_count / position.instances.max(1) as f64;
        let subset_size = min_subset_size.max(self.mean_in_flight / MAX_IN_FLIGHT_PER_POD);
        let start = (position.rank as f64 * INVERSE_GOLDEN_RATIO).fract();
        let mut groups = std::mem::take(&mut pods.groups);
        for group in &mut groups {
            let needed = (subset_size * group.pods.len() as f64 / pod_count).max(MIN_SUBSET_SIZE);
            fill(group, needed, start, |id| {
                // A pod whose ejection has expired counts as healthy only once it has answered.
                let healthy = pods.get(id).filter(|pod| {
                    !OutlierDetector::has_failed(pod) && outlier.is_healthy(now, pod)
                });
                healthy.map_or(0.0, |pod| slow_start.warmth(now, &pod.endpoint))
            });
        }
        pods.groups = groups;
    }
}

/// Fills the subset of a group until its pods have the capacity `needed`. `start`, from 0 to 1, is the position in the
/// ring where the subset starts.
fn fill(group: &mut PodGroup, needed: f64, start: f64, capacity_of: impl Fn(usize) -> f64) {
    let count = group.pods.len();
    let (order, first) = if needed < count as f64 {
        (&group.ring, (start * count as f64) as usize)
    } else {
        (&group.pods, 0)
    };
    group.subset.clear();
    let mut capacity = 0.0;
    for id in (0..count).map(|step| order[(first + step) % count]) {
        if capacity >= needed {
            break;
        }
        group.subset.push(id);
        capacity += capacity_of(id);
    }
}
