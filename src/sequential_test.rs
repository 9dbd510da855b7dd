//! Wald's sequential probability ratio test: whether the build on trial does worse than the earlier build.
//!
//! Inputs: how this instance's own attempts end, by build. Each event adds a log-likelihood ratio to a sum. A good
//! build is expected to have the same share of the failures as of the attempts. A sum above the upper bound rejects
//! the build, one below the lower bound accepts it. Risks: a false rejection rolls back a good build, a false
//! acceptance leaves a bad build in place; the bounds balance the two.

pub(crate) mod evidence;
mod periods;
mod sampling;

use crate::binomial::largest_error_rate;
use crate::exposure::WINDOW_SLICES;
use crate::interface::{Build, Nanos};
use crate::time::{MILLISECOND, SECOND};
use crate::window::SlidingWindow;
use periods::AlternatingPeriods;
use std::cmp::Ordering;

/// Alpha: the highest rate of false rejections, for the verdict of all instances on a release.
const ALPHA: f64 = 0.01;
/// Beta: the highest rate of bad builds that are accepted.
const BETA: f64 = 0.1;
/// How many times as likely a lost connection or a timeout is on a bad build as on a good one. Connections and queues
/// cause such failures, too.
const TRANSPORT_FAILURE_ODDS_RATIO: f64 = 2.0;
/// How many times as likely an error or a wrong answer is on a bad build as on a good one. Good builds produce hardly
/// any of them, so fewer may decide.
const APPLICATION_ERROR_ODDS_RATIO: f64 = 4.0;
/// How many times as likely a slow answer is on a bad build as on a good one. Good builds differ in speed, too.
const SLOW_ODDS_RATIO: f64 = 5.0;
/// The share of attempts above which slow answers of a build do not count: its pods may be slow because they are
/// busier.
const MAX_SLOW_SHARE: f64 = 0.35;
/// The highest share of attempts with which application errors of the build on trial are tested. Above it, errors of
/// the earlier build are added at its learnt rate, as if it had the rest of the attempts.
const MAX_APPLICATION_ERROR_SHARE: f64 = 0.25;
/// The lowest rate of application errors per attempt that is assumed of a good build.
const MIN_APPLICATION_ERROR_RATE: f64 = 0.002;
/// The weight of the latest attempt in the learnt rate of application errors.
const APPLICATION_ERROR_LEARNING_RATE: f64 = 0.02;

/// The bounds that the sums are compared with.
#[derive(Clone, Copy)]
pub(crate) struct Bounds {
    /// Below this bound the build is accepted.
    pub(crate) accept: f64,
    /// Above this bound the build is rejected.
    pub(crate) reject: f64,
}

impl Bounds {
    /// Returns Wald's bounds for one of `instances` where `needed` of them must agree on a rejection. Alpha applies to
    /// the common verdict. So each instance gets the error rate with which `needed` false rejections together are no
    /// more likely than alpha. This rate is at least alpha / (1 + ln(instances)), which limits its reduction where any
    /// one instance decides, and at most beta, where many must agree.
    pub(crate) fn new(instances: usize, needed: usize) -> Bounds {
        let error_rate = largest_error_rate(instances, needed, ALPHA, BETA);
        let alpha = error_rate.clamp(ALPHA / (1.0 + (instances as f64).ln()), BETA);
        Bounds {
            accept: (BETA / (1.0 - alpha)).ln(),
            reject: ((1.0 - BETA) / alpha).ln(),
        }
    }
}

/// The share of the build on trial in the attempts that ended. Attempts are counted at their end because failures are
/// known only then, and because attempts that a draining pod rejected could not have failed. With a count at sending, a
/// quickly growing share would look like too many failures of the build.
struct TrialShare {
    long: BuildCounts,
    short: BuildCounts,
}

/// The attempts that ended within one time span.
struct BuildCounts {
    on_trial: SlidingWindow,
    all: SlidingWindow,
}

impl BuildCounts {
    fn new(span: Nanos) -> BuildCounts {
        BuildCounts {
            on_trial: SlidingWindow::new(span, WINDOW_SLICES),
            all: SlidingWindow::new(span, WINDOW_SLICES),
        }
    }
}

impl TrialShare {
    const LONG_SPAN: Nanos = 5 * SECOND;
    const SHORT_SPAN: Nanos = 1500 * MILLISECOND;
    /// Attempts added to the count of the short span, so that a few attempts give only a low share.
    const SHORT_PRIOR: f64 = 5.0;

    fn new() -> TrialShare {
        TrialShare {
            long: BuildCounts::new(TrialShare::LONG_SPAN),
            short: BuildCounts::new(TrialShare::SHORT_SPAN),
        }
    }

    /// Returns the higher one of the shares over the long and the short span. At the start of a stage the share
    /// jumps. The long span alone would show too low a share then, and so too many failures for it.
    fn estimate(&mut self, now: Nanos) -> f64 {
        let long_trial = self.long.on_trial.upper_bound(now) as f64;
        let long_all = self.long.all.upper_bound(now) as f64;
        let short_trial = self.short.on_trial.upper_bound(now) as f64;
        let short_all = self.short.all.upper_bound(now) as f64;
        (long_trial / long_all.max(1.0)).max(short_trial / (short_all + TrialShare::SHORT_PRIOR))
    }

    fn count(&mut self, now: Nanos, on_trial: bool) {
        for counts in [&mut self.long, &mut self.short] {
            counts.all.add(now);
            if on_trial {
                counts.on_trial.add(now);
            }
        }
    }

    fn forget_trial(&mut self) {
        for counts in [&mut self.long, &mut self.short] {
            counts.on_trial = counts.on_trial.emptied();
        }
    }
}

/// The test on one build and stage.
pub(crate) struct SequentialTest {
    pub(crate) bounds: Bounds,
    /// The build on trial: the newest one that the control plane announced.
    pub(crate) build: Build,
    /// The factor by which the weight of the build's pods is raised when this instance draws pods at random; 0 where
    /// the instance is not in the sample that sends to the build.
    pub(crate) oversampling: f64,
    /// The attempts to the build that ended in this stage.
    pub(crate) outcomes: u32,
    /// The sum over failures.
    pub(crate) failure_sum: f64,
    /// The sum over slow answers.
    pub(crate) slow_sum: f64,
    pub(crate) periods: AlternatingPeriods,
    share: TrialShare,
    /// The learnt rate of application errors per attempt to earlier builds.
    application_error_rate: f64,
}

impl SequentialTest {
    pub(crate) fn new(bounds: Bounds) -> SequentialTest {
        SequentialTest {
            bounds,
            build: 0,
            oversampling: 1.0,
            outcomes: 0,
            failure_sum: 0.0,
            slow_sum: 0.0,
            periods: AlternatingPeriods::default(),
            share: TrialShare::new(),
            application_error_rate: MIN_APPLICATION_ERROR_RATE,
        }
    }

    /// Returns the highest of the sums. Where the upper bound is below that of a single instance, the sum of slow
    /// answers is scaled down so that it must reach the bound of a single instance: many instances see the same slow
    /// pods.
    fn max_sum(&self) -> f64 {
        let single = Bounds::new(1, 1).reject;
        self.failure_sum
            .max(self.periods.sum)
            .max(self.slow_sum * (self.bounds.reject / single).min(1.0))
    }

    pub(crate) fn rejects(&self) -> bool {
        self.max_sum() > self.bounds.reject
    }

    pub(crate) fn accepts(&self) -> bool {
        self.failure_sum < self.bounds.accept
    }

    /// Whether a sum is above half of the upper bound.
    pub(crate) fn in_doubt(&self) -> bool {
        self.max_sum().max(self.slow_sum) > self.bounds.reject / 2.0
    }

    /// Begins a stage. Positive sums, which are evidence against the build, are kept, except that of slow answers: a
    /// low rate of wrong answers does not reach the bound within one stage. Negative sums are reset: more traffic
    /// may reveal more failures.
    pub(crate) fn restart(&mut self, build: Build) {
        if build != self.build {
            self.share.forget_trial();
            self.failure_sum = 0.0;
            self.periods.restart();
        }
        self.build = build;
        self.failure_sum = self.failure_sum.max(0.0);
        self.slow_sum = 0.0;
        self.outcomes = 0;
        self.periods.sum = self.periods.sum.max(0.0);
    }

    /// Counts an attempt that ended. `application_error` is an error or a wrong answer, caused by the pod itself.
    ///
    /// Once the build on trial has most of the load, its share is close to 1 and its failures add almost nothing. So
    /// for application errors the earlier build keeps most of the share: missing attempts to it are added, with
    /// errors at its learnt rate. Risk: if clients begin to send requests that fail after the earlier build's last
    /// answer, the errors count against a good build.
    fn record_attempt_end(&mut self, now: Nanos, build: Build, application_error: bool) {
        if build < self.build {
            let error = application_error as u8 as f64;
            let change = (error - self.application_error_rate) * APPLICATION_ERROR_LEARNING_RATE;
            self.application_error_rate =
                (self.application_error_rate + change).max(MIN_APPLICATION_ERROR_RATE);
        }
        self.share.count(now, build == self.build);
        if build == self.build {
            self.outcomes = self.outcomes.saturating_add(1);
            let share = self.share.estimate(now);
            let missing_attempts =
                (1.0 / MAX_APPLICATION_ERROR_SHARE - 1.0 / share.max(1e-9)).max(0.0);
            let earlier = build.wrapping_sub(1);
            let added = self.log_likelihood_ratio(
                MAX_APPLICATION_ERROR_SHARE,
                earlier,
                APPLICATION_ERROR_ODDS_RATIO,
            );
            self.failure_sum += self.application_error_rate * missing_attempts * added;
        }
    }

    /// Records a failure and returns what it added to the sum.
    pub(crate) fn record_failure(
        &mut self,
        now: Nanos,
        build: Build,
        application_error: bool,
    ) -> f64 {
        let (max_share, odds_ratio) = if application_error {
            (MAX_APPLICATION_ERROR_SHARE, APPLICATION_ERROR_ODDS_RATIO)
        } else {
            (1.0, TRANSPORT_FAILURE_ODDS_RATIO)
        };
        let share = self.share.estimate(now).min(max_share);
        let added = self.log_likelihood_ratio(share, build, odds_ratio);
        self.failure_sum = (self.failure_sum + added).max(self.floor());
        added
    }

    /// Records an answer among the slowest tenth and returns what it added to the sum of slow answers. A slow build may
    /// cause no failures at all, so the sum of failures cannot detect it. Risk: a good build whose pods are busier than
    /// those of the earlier one looks slow, so nothing is added once the build has about a third of the load.
    fn record_slow_answer(&mut self, now: Nanos, build: Build) -> f64 {
        let share = self.share.estimate(now);
        let added = if share <= MAX_SLOW_SHARE {
            self.log_likelihood_ratio(share, build, SLOW_ODDS_RATIO)
        } else {
            0.0
        };
        self.slow_sum = (self.slow_sum + added).max(self.floor());
        added
    }

    /// Returns the lowest value of a sum. A sum further below the lower bound would need too many events to rise again.
    fn floor(&self) -> f64 {
        2.0 * self.bounds.accept
    }

    /// Returns what one event on `build` adds to a sum if a good build on trial is expected to have the share
    /// `share` of such events.
    fn log_likelihood_ratio(&self, share: f64, build: Build, odds_ratio: f64) -> f64 {
        let share_if_bad = odds_ratio * share / (1.0 + (odds_ratio - 1.0) * share);
        match build.cmp(&self.build) {
            Ordering::Less if share < 1.0 => ((1.0 - share_if_bad) / (1.0 - share)).ln(),
            Ordering::Equal if share > 0.0 => (share_if_bad / share).ln(),
            _ => 0.0,
        }
    }
}
