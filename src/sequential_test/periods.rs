//! Alternating periods with and without the trial: whether a build slows the pods of all builds.
//!
//! If a build slows all pods alike, the test finds no difference between builds. So it compares periods of time:
//! while the pods of the earlier build are slower than before the trial, the build on trial gets no requests in
//! every other period. All instances derive the periods from the start of the stage, so they act together; the
//! change at a single instance would have no visible effect. Inputs: slow answers of the earlier build's pods.
//! Risk: another slowdown with the same rhythm makes a good build look bad.

use super::{SequentialTest, SLOW_ODDS_RATIO};
use crate::interface::Nanos;
use crate::learning_rate::LearningRate;
use crate::router::Router;
use crate::time::SECOND;

/// The periods begin to alternate once answers of the earlier build's pods are slow this many times as often as in the
/// baseline.
const SLOWDOWN_FACTOR: f64 = 1.35;
/// The lowest baseline for the fraction of slow answers.
const MIN_BASELINE_SLOW_FRACTION: f64 = 0.1;
/// The weight of the latest update, once a second, in the baseline.
const BASELINE_LEARNING_RATE: f64 = 0.2;
/// The weight of the latest answer in the fraction of slow answers: the fraction covers the answers of a few seconds,
/// but at least eight answers.
const SLOW_FRACTION_RATE: LearningRate = LearningRate {
    numerator: 3.0,
    min: 0.002,
    max: 0.12,
};
/// The duration of a period.
const PERIOD: Nanos = 4 * SECOND;
/// From the start of a period, the time during which answers still show the effect of the period before.
const SETTLING_TIME: Nanos = 2 * SECOND;
/// The limit on what one round adds to the sum, as a fraction of the upper bound: no round decides alone.
const MAX_ROUND_FRACTION: f64 = 0.6;

/// A period, counted from the start of the stage. The build on trial gets no requests in odd periods.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
struct Period {
    stage_began: Nanos,
    index: u64,
}

impl Period {
    fn withholds(self) -> bool {
        self.index % 2 == 1
    }
}

/// Counts of answers of the earlier build's pods.
#[derive(Clone, Copy, Default)]
struct AnswerCounts {
    all: f64,
    slow: f64,
}

/// The counts of a round: a period with the share of the build on trial, and one with the share withheld.
#[derive(Clone, Copy, Default)]
struct Round {
    with_share: AnswerCounts,
    withheld: AnswerCounts,
}

/// The state of the alternating periods.
#[derive(Default)]
pub(crate) struct AlternatingPeriods {
    /// The periods alternate at the moment.
    pub(crate) active: bool,
    /// This instance sends nothing to the build on trial in this period.
    pub(crate) withheld: bool,
    /// The sum of the test that compares the periods.
    pub(crate) sum: f64,
    period: Period,
    round: Round,
    /// The running fraction of slow answers among those of the earlier build's pods.
    slow_fraction: f64,
    /// The same fraction outside trials.
    baseline_slow_fraction: f64,
}

impl AlternatingPeriods {
    /// Resets what was recorded of another build.
    pub(crate) fn restart(&mut self) {
        self.sum = 0.0;
        self.withheld = false;
        self.active = false;
        self.round = Round::default();
    }

    /// Updates the baseline. Must be called only while no build is on trial.
    pub(crate) fn learn_baseline(&mut self) {
        self.baseline_slow_fraction +=
            (self.slow_fraction - self.baseline_slow_fraction) * BASELINE_LEARNING_RATE;
    }

    fn slower_than_baseline(&self) -> bool {
        self.slow_fraction
            > SLOWDOWN_FACTOR * self.baseline_slow_fraction.max(MIN_BASELINE_SLOW_FRACTION)
    }
}

/// An answer of an earlier build's pod, or a rejection by the concurrency limit in its place.
pub(super) struct PeriodAnswer {
    pub(super) sent_at: Nanos,
    pub(super) slow: bool,
    /// The requests received within the window of the retry budget.
    pub(super) requests: u32,
}

impl SequentialTest {
    /// Updates the period from the current time. `stage_began` is `None` where periods do not alternate. If several
    /// instances must agree (`shared_verdict`), an instance also counts rounds in which only other instances withheld
    /// the share.
    fn advance_periods(&mut self, now: Nanos, stage_began: Option<Nanos>, shared_verdict: bool) {
        self.periods.active &= stage_began.is_some();
        let period = stage_began.map_or(Period::default(), |stage_began| Period {
            stage_began,
            index: now.saturating_sub(stage_began) / PERIOD,
        });
        if period == self.periods.period {
            return;
        }
        self.periods.period = period;
        if period.withholds() {
            let should_alternate = self.periods.active || self.periods.slower_than_baseline();
            self.periods.active = should_alternate && self.share.long.on_trial.upper_bound(now) > 0;
        } else {
            self.close_round(shared_verdict);
        }
        self.periods.active &= self.periods.sum > self.bounds.accept;
        self.periods.withheld = self.periods.active && period.withholds();
    }

    /// Adds the finished round to the sum.
    fn close_round(&mut self, shared_verdict: bool) {
        let round = std::mem::take(&mut self.periods.round);
        let (with_share, withheld) = (round.with_share, round.withheld);
        let share = with_share.all / (with_share.all + withheld.all).max(1.0);
        let max_added = self.bounds.reject * MAX_ROUND_FRACTION;
        let added_with_share = self.log_likelihood_ratio(share, self.build, SLOW_ODDS_RATIO);
        let added_withheld =
            self.log_likelihood_ratio(share, self.build.wrapping_sub(1), SLOW_ODDS_RATIO);
        let added = with_share.slow * added_with_share + withheld.slow * added_withheld;
        let counts = self.periods.withheld || shared_verdict;
        let added = added.clamp(-max_added, max_added) * counts as u8 as f64;
        self.periods.sum = (self.periods.sum + added).max(self.bounds.accept);
    }

    /// Counts an answer of an earlier build's pod in the current period.
    pub(super) fn record_earlier_answer(&mut self, answer: &PeriodAnswer) {
        let learning_rate = SLOW_FRACTION_RATE.after(answer.requests as f64);
        let periods = &mut self.periods;
        let slow = answer.slow as u8 as f64;
        periods.slow_fraction += (slow - periods.slow_fraction) * learning_rate;
        let period = periods.period;
        if answer.sent_at < period.stage_began + period.index * PERIOD + SETTLING_TIME {
            return;
        }
        let counts = if period.withholds() {
            &mut periods.round.withheld
        } else {
            &mut periods.round.with_share
        };
        counts.all += 1.0;
        counts.slow += slow;
    }
}

impl Router {
    /// Updates the period of the announced stage while its build is on trial beside the earlier one.
    pub(crate) fn update_periods(&mut self, now: Nanos) {
        let alternates = self.on_trial() && self.exposure.settings.blue_green;
        let trial = self.announced.filter(|_| alternates);
        let stage_began = trial.map(|announced| announced.began);
        let shared_verdict = self.voting.settings.rollback_quorum > 1;
        self.sequential_test
            .advance_periods(now, stage_began, shared_verdict);
    }

    /// Counts a request that the concurrency limit rejected as a slow answer, as it would have been one. Otherwise the
    /// limit would hide a build that slows every pod.
    pub(crate) fn record_rejection(&mut self, now: Nanos) {
        let answer = PeriodAnswer {
            sent_at: now,
            slow: true,
            requests: self.retry_budget.requests(now),
        };
        self.sequential_test.record_earlier_answer(&answer);
    }
}
