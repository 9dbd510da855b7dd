//! Which instances send to the build on trial, and by which factor they raise the weight of its pods.
//!
//! If each of many instances sends a small share of its attempts to the build, none of them gets enough evidence,
//! and a bad build stays. So only a sample of the instances sends to the build, each as much as the cap and
//! [`MAX_APPLICATION_ERROR_SHARE`] allow, and the others send nothing. The pods get the same number of attempts,
//! and fewer instances get more evidence each. Inputs: rank, build and number of instances, so that all instances
//! compute the same sample without communication. Risk: where the rank is wrong, too many or too few instances
//! send to the build.

use super::{Bounds, MAX_APPLICATION_ERROR_SHARE};
use crate::exposure::Exposure;
use crate::interface::Nanos;
use crate::retry::RetryBudget;
use crate::router::Router;
use crate::selection::INVERSE_GOLDEN_RATIO;
use crate::voting;

/// The smallest number of instances in the sample per vote that a rollback needs.
const MIN_SAMPLED_PER_VOTE: f64 = 2.0;

impl Router {
    /// Updates whether this instance sends to the build on trial, the factor for the weight of the build's pods, and
    /// the bounds of the sequential test.
    pub(crate) fn update_sampling(&mut self, now: Nanos) {
        let instances = self.position.instances;
        let needed = self.voting.settings.rollback_quorum;
        let build = self.sequential_test.build;
        let share = self.pods.size_share(build);
        let fraction = self.sampled_fraction(now, share);
        let sequence_number = self.position.rank + build as usize * instances;
        let is_sampled = (sequence_number as f64 * INVERSE_GOLDEN_RATIO).fract() < fraction;
        let factor = ((1.0 - share) / (fraction - share).max(1e-9)).max(1.0);
        self.sequential_test.oversampling = is_sampled as u8 as f64 * factor;
        let deciding_instances = ((instances as f64 * fraction) as usize).max(needed);
        self.sequential_test.bounds = Bounds::new(deciding_instances, needed);
    }

    /// Returns the fraction of the instances that send to the build on trial. `share` is the fraction of
    /// the fleet's size that the pods of the build have.
    fn sampled_fraction(&mut self, now: Nanos, share: f64) -> f64 {
        let instances = self.position.instances;
        let needed = self.voting.settings.rollback_quorum;
        let cap = self
            .cap(self.sequential_test.build)
            .filter(|_| self.on_trial() && needed > 1 && share > 0.0);
        let allowed_share =
            cap.map(|cap| Exposure::INITIAL_FRACTION * self.exposure.share(now, cap));
        let fraction = allowed_share.map_or(1.0, |allowed_share| {
            share / allowed_share.clamp(share, MAX_APPLICATION_ERROR_SHARE.max(share))
        });
        // An instance that gets enough evidence from its own share sends to the build in any case.
        let outcomes = share
            * self.retry_budget.requests(now) as f64
            * voting::MIN_RUNNING_TIME_TO_ADVANCE as f64
            / RetryBudget::WINDOW as f64;
        let min_fraction = (outcomes / voting::MIN_OUTCOMES_TO_ADVANCE as f64)
            .max(MIN_SAMPLED_PER_VOTE * needed as f64 / instances as f64);
        fraction.max(min_fraction.min(1.0))
    }
}
