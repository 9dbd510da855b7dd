//! Exponential backoff with jitter between attempts to connect.

use oorandom::Rand64;
use std::time::Duration;

/// Computes the delay before the next attempt. A base delay doubles with each attempt up to a maximum, and each actual
/// delay is drawn at random between half of the base delay and the full base delay. The jitter keeps the many clients
/// of a restarted service from reconnecting all at the same time.
pub struct Backoff {
    random: Rand64,
    first: Duration,
    max: Duration,
    /// The previous base delay; `None` after a reset, in which case the next one is `first`.
    previous: Option<Duration>,
}

impl Backoff {
    /// Returns a backoff whose base delay doubles up to `max`; `seed` determines the jitter. The first base delay is
    /// twice `first`, and after a [reset](Backoff::reset) it is `first`.
    pub fn new(seed: u64, first: Duration, max: Duration) -> Backoff {
        Backoff {
            random: Rand64::new(seed as u128),
            first,
            max,
            previous: Some(first),
        }
    }

    /// Restarts at `first` as the base delay, after a connection that proved stable.
    pub fn reset(&mut self) {
        self.previous = None;
    }

    /// Returns the delay before the next attempt, and doubles the base delay for the attempt after it.
    pub fn next_delay(&mut self) -> Duration {
        let doubled = |previous: Duration| (previous * 2).min(self.max);
        let base = self.previous.map_or(self.first, doubled);
        self.previous = Some(base);
        base.mul_f64(0.5 + 0.5 * self.random.rand_float())
    }
}
