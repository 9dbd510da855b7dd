//! Which instances send to the build on trial, and how much more than its size says.
//!
//! A thin share at each of many instances tells none of them enough, and a bad build stays. So a sample of
//! them takes the trial's attempts, each as many more as the cap and its memory leave room for, the rest
//! none: as many reach the pods, and fewer instances hear more. Inputs: rank, build and number of instances,
//! so that all agree without a word. Harm: where the rank is wrong, too many or too few send to the build.

use super::{Bounds, MAX_APPLICATION_ERROR_SHARE};
use crate::exposure::Exposure;
use crate::interface::Nanos;
use crate::retry::RetryBudget;
use crate::router::Router;
use crate::selection::GOLDEN_RATIO;
use crate::voting;

/// Instances that are sampled in for each vote that a rejection needs, at least.
const MIN_SAMPLED_PER_VOTE: f64 = 2.0;

impl Router {
    pub(crate) fn update_sampling(&mut self, now: Nanos) {
        let instances = self.position.instances;
        let needed = self.voting.settings.rollback_quorum;
        let build = self.sequential_test.build;
        let share = self.pods.size_share(build);
        let part = self.sampled_fraction(now, share);
        let draw = self.position.rank + build as usize * instances;
        let sampled_in = (draw as f64 * GOLDEN_RATIO).fract() < part;
        let factor = ((1.0 - share) / (part - share).max(1e-9)).max(1.0);
        self.sequential_test.oversampling = sampled_in as u8 as f64 * factor;
        let deciding_instances = ((instances as f64 * part) as usize).max(needed);
        self.sequential_test.bounds = Bounds::new(deciding_instances, needed);
    }

    /// The part of the instances that sends to the build on trial, whose pods are `share` of the fleet's
    /// size.
    fn sampled_fraction(&mut self, now: Nanos, share: f64) -> f64 {
        let instances = self.position.instances;
        let needed = self.voting.settings.rollback_quorum;
        let cap = self
            .cap(self.sequential_test.build)
            .filter(|_| self.on_trial() && needed > 1 && share > 0.0);
        let room = cap.map(|cap| Exposure::INITIAL_FRACTION * self.exposure.share(now, cap));
        let part = room.map_or(1.0, |room| {
            share / room.clamp(share, MAX_APPLICATION_ERROR_SHARE.max(share))
        });
        // Whoever has evidence enough without the others' share keeps its own.
        let outcomes = share
            * self.retry_budget.requests(now) as f64
            * voting::MIN_RUNNING_TIME_TO_ADVANCE as f64
            / RetryBudget::WINDOW as f64;
        let least = (outcomes / voting::MIN_OUTCOMES_TO_ADVANCE as f64)
            .max(MIN_SAMPLED_PER_VOTE * needed as f64 / instances as f64);
        part.max(least.min(1.0))
    }
}
