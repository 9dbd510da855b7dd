//! Wald's sequential test on whether the build on trial does worse than the one before.
//!
//! Inputs: how this instance's own attempts end, by build. Each outcome adds a log-likelihood ratio to a sum;
//! the expected share of failures is the build's share of attempts. A sum above the upper bound speaks
//! against the build, one below the lower bound for it. Harm: a false rejection sends a sound build back, a
//! missed one leaves a bad build in place; the bounds weigh the two.

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

/// The rate of false rejections that a release's verdict may have.
const ALPHA: f64 = 0.01;
/// The rate of bad builds that may pass.
const BETA: f64 = 0.1;
/// How many times likelier a failure is on a bad build, for failures that a connection or a queue can cause,
/// too.
const TRANSPORT_FAILURE_ODDS_RATIO: f64 = 2.0;
/// The same for errors and wrong answers: sound builds make next to none, so the answer may come quicker.
const APPLICATION_ERROR_ODDS_RATIO: f64 = 4.0;
/// The same for slow answers: sound builds differ in speed.
const SLOW_ODDS_RATIO: f64 = 5.0;
/// The share of attempts beyond which slow answers are not judged: the build's pods may be the busier ones.
const MAX_SLOW_SHARE: f64 = 0.35;
/// The share beyond which an earlier build's own failures are taken from memory.
const MAX_APPLICATION_ERROR_SHARE: f64 = 0.25;
/// Own failures an attempt that a sound build makes, at least.
const MIN_APPLICATION_ERROR_RATE: f64 = 0.002;
/// The weight of the latest attempt in the learnt rate of own failures.
const APPLICATION_ERROR_LEARNING_RATE: f64 = 0.02;

/// The bounds of the sums.
#[derive(Clone, Copy)]
pub(crate) struct Bounds {
    /// Below it the build passes.
    pub(crate) accept: f64,
    /// Above it the build is rejected.
    pub(crate) reject: f64,
}

impl Bounds {
    /// Wald's bounds for one of `instances` where `needed` of them must agree. Alpha is that of the verdict,
    /// so each gets the part with which as many false rejections as move a release are no likelier; where any
    /// one decides, less by the logarithm of their number only; where many must agree, up to beta.
    pub(crate) fn new(instances: usize, needed: usize) -> Bounds {
        let part = largest_error_rate(instances, needed, ALPHA, BETA);
        let alpha = part.clamp(ALPHA / (1.0 + (instances as f64).ln()), BETA);
        Bounds {
            accept: (BETA / (1.0 - alpha)).ln(),
            reject: ((1.0 - BETA) / alpha).ln(),
        }
    }
}

/// The build's share of the attempts that ended. Failures come that late, too, and what a draining pod turned
/// away could not have failed; counted at sending, a quickly growing share would look like the build's bad
/// luck.
struct TrialShare {
    long: BuildCounts,
    short: BuildCounts,
}

/// Attempts that ended, over one span.
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
    /// Attempts added to the short span's count, so that few of them tell little.
    const SHORT_PRIOR: f64 = 5.0;

    fn new() -> TrialShare {
        TrialShare {
            long: BuildCounts::new(TrialShare::LONG_SPAN),
            short: BuildCounts::new(TrialShare::SHORT_SPAN),
        }
    }

    /// The higher of a long and a short look: at a stage's start the share leaps, and the long look alone
    /// would blame the build for having more attempts than it counts.
    fn value(&mut self, now: Nanos) -> f64 {
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
    /// The newest build that the control plane announced.
    pub(crate) build: Build,
    /// By how much this instance draws the build on trial more often than its size says; 0 where it is
    /// sampled out.
    pub(crate) oversampling: f64,
    /// Attempts to the build that ended in this stage.
    pub(crate) outcomes: u32,
    pub(crate) failure_sum: f64,
    pub(crate) slow_sum: f64,
    pub(crate) periods: AlternatingPeriods,
    share: TrialShare,
    /// Own failures an attempt to an earlier build, as last learnt.
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

    /// The sum that speaks most against the build. Slowness counts by the bound of alpha itself where that is
    /// higher: many instances see the same slow pods.
    fn worst_sum(&self) -> f64 {
        let single = Bounds::new(1, 1).reject;
        self.failure_sum
            .max(self.periods.sum)
            .max(self.slow_sum * (self.bounds.reject / single).min(1.0))
    }

    pub(crate) fn rejects(&self) -> bool {
        self.worst_sum() > self.bounds.reject
    }

    pub(crate) fn accepts(&self) -> bool {
        self.failure_sum < self.bounds.accept
    }

    /// Whether a sum is more than half way to a rejection.
    pub(crate) fn in_doubt(&self) -> bool {
        self.worst_sum().max(self.slow_sum) > self.bounds.reject / 2.0
    }

    /// Begins a stage. What speaks against a build is carried over, as a low rate of wrong answers never
    /// fills the sum within one stage. What speaks for it is not: more traffic may bring out more.
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

    /// Counts an attempt that ended; `own_failure` is an error or a wrong answer, which a pod makes by
    /// itself.
    ///
    /// Once the build on trial has most of the load, its share nears 1 and the test goes blind. So for own
    /// failures the earlier build keeps most of the share from memory, failing as it last did. Harm: callers
    /// that begin to err after the earlier build's last answer speak against a sound build.
    fn record_attempt_end(&mut self, now: Nanos, build: Build, application_error: bool) {
        if build < self.build {
            let observed = application_error as u8 as f64;
            let learnt = (observed - self.application_error_rate) * APPLICATION_ERROR_LEARNING_RATE;
            self.application_error_rate =
                (self.application_error_rate + learnt).max(MIN_APPLICATION_ERROR_RATE);
        }
        self.share.count(now, build == self.build);
        if build == self.build {
            self.outcomes = self.outcomes.saturating_add(1);
            let share = self.share.value(now);
            let missing = (1.0 / MAX_APPLICATION_ERROR_SHARE - 1.0 / share.max(1e-9)).max(0.0);
            let earlier = build.wrapping_sub(1);
            let step = self.log_likelihood_ratio(
                MAX_APPLICATION_ERROR_SHARE,
                earlier,
                APPLICATION_ERROR_ODDS_RATIO,
            );
            self.failure_sum += self.application_error_rate * missing * step;
        }
    }

    /// Takes in a failure and returns what it added.
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
        let share = self.share.value(now).min(max_share);
        let step = self.log_likelihood_ratio(share, build, odds_ratio);
        self.failure_sum = (self.failure_sum + step).max(self.floor());
        step
    }

    /// Takes in an answer among the slowest tenth and returns what it added: a slow build fails nothing, so
    /// the sum of failures never hears of it. Harm: a sound build that is kept busier than the earlier one
    /// looks slow, so the sum rests once the build has a third of the load.
    fn record_slow_answer(&mut self, now: Nanos, build: Build) -> f64 {
        let share = self.share.value(now);
        let step = if share <= MAX_SLOW_SHARE {
            self.log_likelihood_ratio(share, build, SLOW_ODDS_RATIO)
        } else {
            0.0
        };
        self.slow_sum = (self.slow_sum + step).max(self.floor());
        step
    }

    /// A sum far below the lower bound would take as long to come back.
    fn floor(&self) -> f64 {
        2.0 * self.bounds.accept
    }

    /// What one event on `build` adds to a sum when `share` of such events is expected on the build on trial.
    fn log_likelihood_ratio(&self, share: f64, build: Build, odds_ratio: f64) -> f64 {
        let share_if_bad = odds_ratio * share / (1.0 + (odds_ratio - 1.0) * share);
        match build.cmp(&self.build) {
            Ordering::Less if share < 1.0 => ((1.0 - share_if_bad) / (1.0 - share)).ln(),
            Ordering::Equal if share > 0.0 => (share_if_bad / share).ln(),
            _ => 0.0,
        }
    }
}
