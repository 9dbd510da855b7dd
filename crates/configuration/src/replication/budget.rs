//! Bytes that may be used: a steady rate and a burst.

use super::Nanos;

const SECOND: Nanos = 1_000_000_000;

/// A token bucket. It may go into debt by one message, as the size of an answer is known only when it is there; the
/// debt is paid before more is asked for, so the rate holds over time.
#[derive(Clone, Debug)]
pub struct Budget {
    bytes_per_s: u64,
    burst: i64,
    left: i64,
    refilled_at: Nanos,
}

impl Budget {
    /// `first` bytes may be used at once, also where they are more than later bursts.
    pub fn new(now: Nanos, bytes_per_s: u64, burst: u64, first: u64) -> Budget {
        Budget {
            bytes_per_s: bytes_per_s.max(1),
            burst: signed(burst),
            left: signed(first),
            refilled_at: now,
        }
    }

    /// Bytes that may be used now.
    pub fn left(&mut self, now: Nanos) -> u64 {
        self.refill(now);
        u64::try_from(self.left).unwrap_or(0)
    }

    pub fn spend(&mut self, now: Nanos, bytes: usize) {
        self.refill(now);
        self.left = self.left.saturating_sub(signed(bytes as u64));
    }

    /// When something is left again.
    pub fn ready_at(&self) -> Nanos {
        let debt = u64::try_from(1 - self.left).unwrap_or(0);
        self.refilled_at
            .saturating_add(debt.saturating_mul(SECOND).div_ceil(self.bytes_per_s))
    }

    fn refill(&mut self, now: Nanos) {
        let elapsed = now.saturating_sub(self.refilled_at);
        let gained =
            (u128::from(elapsed) * u128::from(self.bytes_per_s) / u128::from(SECOND)) as u64;
        if self.left >= self.burst {
            self.refilled_at = now.max(self.refilled_at);
        } else if gained > 0 {
            // Only the time that made whole bytes, so that many short steps add up.
            let used = u128::from(gained) * u128::from(SECOND) / u128::from(self.bytes_per_s);
            self.refilled_at = self.refilled_at.saturating_add(used as u64);
            self.left = self.left.saturating_add(signed(gained)).min(self.burst);
        }
    }
}

fn signed(bytes: u64) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX)
}

#[cfg(test)]
#[path = "../../tests/unit/budget.rs"]
mod tests;
