//! Lifeguard's local health multiplier: who notices that it is slow itself waits longer before it blames others.

use crate::Nanos;

/// The worst score. Periods and time-outs are so many times longer, and one more.
const WORST_SCORE: u32 = 8;

/// How slow this member takes itself to be, from 0 for healthy to [`WORST_SCORE`].
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    pub fn score(self) -> u32 {
        self.score
    }

    /// Notes signs of own slowness.
    pub fn degrade(&mut self, by: u32) {
        self.score = (self.score + by).min(WORST_SCORE);
    }

    /// Notes a probe that was answered in time.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Stretches a time span by the score.
    pub fn stretch(self, span: Nanos) -> Nanos {
        span * (1 + Nanos::from(self.score))
    }
}
