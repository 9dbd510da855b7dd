//! A token bucket that limits the bytes of transfers.

use super::Nanos;

const SECOND: Nanos = 1_000_000_000;

/// A token bucket of bytes. It may go into debt by one message, because the size of an answer is known only once it has
/// arrived. Nothing further is requested until the debt is paid, so the rate holds over time.
#[derive(Clone, Debug)]
pub struct Budget {
    bytes_per_s: u64,
    burst: i64,
    available: i64,
    refilled_at: Nanos,
}

impl Budget {
    /// Returns a budget of which `initial` bytes may be used at once, even if that exceeds `burst`.
    pub fn new(now: Nanos, bytes_per_s: u64, burst: u64, initial: u64) -> Budget {
        Budget {
            bytes_per_s: bytes_per_s.max(1),
            burst: to_signed(burst),
            available: to_signed(initial),
            refilled_at: now,
        }
    }

    /// Returns how many bytes may be used now; 0 while the budget is in debt.
    pub fn available(&mut self, now: Nanos) -> u64 {
        self.refill(now);
        u64::try_from(self.available).unwrap_or(0)
    }

    pub fn spend(&mut self, now: Nanos, bytes: usize) {
        self.refill(now);
        self.available = self.available.saturating_sub(to_signed(bytes as u64));
    }

    /// Returns when at least one byte is available.
    pub fn ready_at(&self) -> Nanos {
        let debt = u64::try_from(1 - self.available).unwrap_or(0);
        self.refilled_at
            .saturating_add(debt.saturating_mul(SECOND).div_ceil(self.bytes_per_s))
    }

    fn refill(&mut self, now: Nanos) {
        let elapsed = now.saturating_sub(self.refilled_at);
        let gained_bytes =
            (u128::from(elapsed) * u128::from(self.bytes_per_s) / u128::from(SECOND)) as u64;
        if self.available >= self.burst {
            self.refilled_at = now.max(self.refilled_at);
        } else if gained_bytes > 0 {
            // Only the time that yielded whole bytes is consumed, so that many short refills add up to the full rate.
            let used_time =
                u128::from(gained_bytes) * u128::from(SECOND) / u128::from(self.bytes_per_s);
            self.refilled_at = self.refilled_at.saturating_add(used_time as u64);
            self.available = self
                .available
                .saturating_add(to_signed(gained_bytes))
                .min(self.burst);
        }
    }
}

fn to_signed(bytes: u64) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX)
}

#[cfg(test)]
#[path = "../../tests/unit/budget.rs"]
mod tests;
