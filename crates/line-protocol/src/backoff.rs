//! Backoff with jitter between attempts to connect.

use oorandom::Rand64;
use std::time::Duration;

/// Delays before the next attempt: each lies between half and the whole of a span that doubles up to a bound, so that
/// the many clients of a service that comes back do not all come at once.
pub struct Backoff {
    random: Rand64,
    first: Duration,
    longest: Duration,
    /// The span of the previous delay; none right after a good connection.
    previous: Option<Duration>,
}

impl Backoff {
    /// Spans start at `first` and grow to `longest`; the jitter is drawn from `seed`.
    pub fn new(seed: u64, first: Duration, longest: Duration) -> Backoff {
        Backoff {
            random: Rand64::new(seed as u128),
            first,
            longest,
            previous: Some(first),
        }
    }

    /// Makes the next span short again, after a connection that proved good.
    pub fn reset(&mut self) {
        self.previous = None;
    }

    /// Returns how long to wait before the next attempt, and doubles the span for the one after it.
    pub fn next_delay(&mut self) -> Duration {
        let doubled = |previous: Duration| (previous * 2).min(self.longest);
        let span = self.previous.map_or(self.first, doubled);
        self.previous = Some(span);
        span.mul_f64(0.5 + 0.5 * self.random.rand_float())
    }
}
