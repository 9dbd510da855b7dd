//! The trial share by alternating periods: whether a build slows the pods of all builds.
//!
//! A build that slows every pod alike leaves the test nothing to compare, so time does: while the earlier
//! pods are slower than before the trial, the build's share is withheld in every other period of a clock that
//! all instances know from the stage's start, as one alone moves nothing. Inputs: slow answers of earlier
//! pods. Harm: a sound build is blamed while another slowdown keeps the same rhythm.

use super::{SequentialTest, SLOW_ODDS_RATIO};
use crate::interface::Nanos;
use crate::learning_rate::LearningRate;
use crate::router::Router;
use crate::time::SECOND;

/// How many times as often as usual the earlier pods must be slow for the periods to begin.
const SLOWDOWN_FACTOR: f64 = 1.35;
/// The part of slow answers that is usual, at least.
const MIN_BASELINE_SLOW_FRACTION: f64 = 0.1;
/// The weight of the latest second in the usual part.
const BASELINE_LEARNING_RATE: f64 = 0.2;
/// The weight of the latest answer in the slow part: a few seconds' answers count, but no fewer than eight.
const SLOW_FRACTION_RATE: LearningRate = LearningRate {
    numerator: 3.0,
    min: 0.002,
    max: 0.12,
};
const PERIOD: Nanos = 4 * SECOND;
/// From a period's start, answers that tell of the one before.
const SETTLING_TIME: Nanos = 2 * SECOND;
/// The part of the upper bound that one round may add: no round decides alone.
const MAX_ROUND_FRACTION: f64 = 0.6;

/// A period of the stage's clock; the share is withheld in odd ones.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
struct Period {
    trial_began: Nanos,
    index: u64,
}

impl Period {
    fn withholds(self) -> bool {
        self.index % 2 == 1
    }
}

/// Answers of the earlier build's pods.
#[derive(Clone, Copy, Default)]
struct AnswerCounts {
    all: f64,
    slow: f64,
}

/// A round of two periods.
#[derive(Clone, Copy, Default)]
struct Round {
    with_share: AnswerCounts,
    withheld: AnswerCounts,
}

/// The state of the alternating periods.
#[derive(Default)]
pub(crate) struct AlternatingPeriods {
    /// Periods alternate at present.
    pub(crate) active: bool,
    /// The share is withheld in this period.
    pub(crate) withheld: bool,
    pub(crate) sum: f64,
    period: Period,
    round: Round,
    /// The part of slow answers among the earlier pods' of late.
    slow_fraction: f64,
    /// The same outside trials.
    baseline_slow_fraction: f64,
}

impl AlternatingPeriods {
    /// Forgets what was seen of another build.
    pub(crate) fn restart(&mut self) {
        self.sum = 0.0;
        self.withheld = false;
        self.active = false;
        self.round = Round::default();
    }

    /// Learns how often answers are slow outside trials.
    pub(crate) fn learn_baseline(&mut self) {
        self.baseline_slow_fraction +=
            (self.slow_fraction - self.baseline_slow_fraction) * BASELINE_LEARNING_RATE;
    }

    fn slower_than_baseline(&self) -> bool {
        self.slow_fraction
            > SLOWDOWN_FACTOR * self.baseline_slow_fraction.max(MIN_BASELINE_SLOW_FRACTION)
    }
}

/// An answer of an earlier build's pod, or a rejection in place of one.
pub(super) struct PeriodAnswer {
    pub(super) sent_at: Nanos,
    pub(super) slow: bool,
    /// Requests taken within the retry budget's window.
    pub(super) requests: u32,
}

impl SequentialTest {
    /// Follows the clock. `trial_began`: none where periods do not alternate. Where several instances must
    /// agree (`shared_verdict`), one weighs rounds in which only others withheld the share, too.
    fn advance_periods(&mut self, now: Nanos, trial_began: Option<Nanos>, shared_verdict: bool) {
        self.periods.active &= trial_began.is_some();
        let period = trial_began.map_or(Period::default(), |trial_began| Period {
            trial_began,
            index: now.saturating_sub(trial_began) / PERIOD,
        });
        if period == self.periods.period {
            return;
        }
        self.periods.period = period;
        if period.withholds() {
            let wanted = self.periods.active || self.periods.slower_than_baseline();
            self.periods.active = wanted && self.share.long.on_trial.upper_bound(now) > 0;
        } else {
            self.close_round(shared_verdict);
        }
        self.periods.active &= self.periods.sum > self.bounds.accept;
        self.periods.withheld = self.periods.active && period.withholds();
    }

    fn close_round(&mut self, shared_verdict: bool) {
        let round = std::mem::take(&mut self.periods.round);
        let (with_share, withheld) = (round.with_share, round.withheld);
        let share = with_share.all / (with_share.all + withheld.all).max(1.0);
        let limit = self.bounds.reject * MAX_ROUND_FRACTION;
        let slow_with = self.log_likelihood_ratio(share, self.build, SLOW_ODDS_RATIO);
        let slow_without =
            self.log_likelihood_ratio(share, self.build.wrapping_sub(1), SLOW_ODDS_RATIO);
        let added = with_share.slow * slow_with + withheld.slow * slow_without;
        let counts = self.periods.withheld || shared_verdict;
        let added = added.clamp(-limit, limit) * counts as u8 as f64;
        self.periods.sum = (self.periods.sum + added).max(self.bounds.accept);
    }

    /// Counts an answer of an earlier build's pod in its period.
    pub(super) fn record_earlier_answer(&mut self, answer: &PeriodAnswer) {
        let learning_rate = SLOW_FRACTION_RATE.after(answer.requests as f64);
        let periods = &mut self.periods;
        let slow = answer.slow as u8 as f64;
        periods.slow_fraction += (slow - periods.slow_fraction) * learning_rate;
        let period = periods.period;
        if answer.sent_at < period.trial_began + period.index * PERIOD + SETTLING_TIME {
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
    /// Follows the clock of the announced stage while its build is on trial beside the earlier one.
    pub(crate) fn update_periods(&mut self, now: Nanos) {
        let alternates = self.on_trial() && self.exposure.settings.blue_green;
        let trial = self.announced.filter(|_| alternates);
        let trial_began = trial.map(|announced| announced.began);
        let shared_verdict = self.voting.settings.rollback_quorum > 1;
        self.sequential_test
            .advance_periods(now, trial_began, shared_verdict);
    }

    /// Counts a request that the concurrency limit rejected as a slow answer, which it would have been: the
    /// limit must not hide a build that slows every pod.
    pub(crate) fn record_rejection(&mut self, now: Nanos) {
        let answer = PeriodAnswer {
            sent_at: now,
            slow: true,
            requests: self.retry_budget.requests(now),
        };
        self.sequential_test.record_earlier_answer(&answer);
    }
}
