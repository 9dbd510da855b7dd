//! Lifeguard's local health multiplier: a member that notices that it is slow itself waits longer before it suspects
//! others.

use crate::Nanos;

/// The highest score. Periods and timeouts are multiplied by the score plus 1.
const WORST_SCORE: u32 = 8;

/// How slow this member considers itself, from 0 for healthy to [`WORST_SCORE`].
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    pub fn score(self) -> u32 {
        self.score
    }

    /// Raises the score after signs that this member is slow.
    pub fn degrade(&mut self, by: u32) {
        self.score = (self.score + by).min(WORST_SCORE);
    }

    /// Lowers the score after a probe that was answered in time.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Multiplies a duration by the score plus 1.
    pub fn stretch(self, span: Nanos) -> Nanos {
        span * (1 + Nanos::from(self.score))
    }
}
