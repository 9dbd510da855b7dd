//! Decides how long an idle connection to a pod is kept, from the outcomes of earlier requests on reused connections.
//!
//! Free of I/O; the caller passes in times. The settings state when a pod closes an idle connection at the latest. A
//! device on the path may drop it sooner without notice; the next request then ends in a reset and may have run. Resets
//! with other causes are equally likely after any idle time, so ranges of idle times are compared: connections are
//! closed before their idle time reaches a range with clearly more resets than shorter ones. Tests:
//! `tests/idle_timeout.rs`.

use std::time::{Duration, Instant};

/// Shortest idle time before a connection is reused. A pod may send a response a second time, some milliseconds after
/// the first (0.9 to 5.2 ms were seen). It would be taken for the response to the next request: it does not identify
/// its request, and a check of the socket before the write does not see bytes still in transit.
const MIN_IDLE_BEFORE_REUSE: Duration = Duration::from_millis(25);
/// Fraction of the pod's own limit that is used: the pod closes at its limit, possibly while a request is written.
const POD_LIMIT_FRACTION: f64 = 0.7;
/// Start of the first range of idle times, which also counts shorter ones. Each range starts at twice the idle time of
/// the one before.
const FIRST_RANGE_START: Duration = Duration::from_millis(1);
/// Number of ranges; the last one is unbounded.
const RANGES: usize = 18;
/// Factor by which counts decay each second, so that longer idle times are tried again after some minutes.
const DECAY_PER_SECOND: f64 = 0.98;
/// Requests that a range, and all shorter ranges together, must have counted to be compared.
const MIN_SAMPLES: f64 = 8.0;
/// Requests at which the counts of a range are halved, so that recent ones have more weight.
const MAX_SAMPLES: f64 = 200.0;
/// A range is avoided if its fraction of broken connections exceeds that of the shorter ranges times this ratio ...
const BREAK_RATIO: f64 = 1.5;
/// ... plus this margin.
const BREAK_MARGIN: f64 = 0.1;

/// Returns whether a connection that was idle for this time may be reused.
pub fn may_reuse_after(idle: Duration) -> bool {
    idle >= MIN_IDLE_BEFORE_REUSE
}

/// How a request on a reused connection ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReuseOutcome {
    /// At least one byte of a response was received.
    Answered,
    /// The connection ended before any byte of a response.
    Broken,
}

/// Counts of requests on reused connections, for one range of idle times.
#[derive(Clone, Copy, Default)]
struct RangeCounts {
    used: f64,
    broken: f64,
}

impl RangeCounts {
    fn scaled(self, factor: f64) -> RangeCounts {
        RangeCounts {
            used: self.used * factor,
            broken: self.broken * factor,
        }
    }

    fn add(&mut self, other: RangeCounts) {
        self.used += other.used;
        self.broken += other.broken;
    }

    fn broken_fraction(self) -> f64 {
        self.broken / f64::max(self.used, 1.0)
    }
}

/// The idle timeout, and the counts that it is derived from.
pub struct IdleTimeout {
    max_timeout: Duration,
    ranges: [RangeCounts; RANGES],
    decayed_at: Instant,
}

impl IdleTimeout {
    /// Starts without counts. `pod_limit` is the idle time after which a pod closes a connection at the latest.
    pub fn new(now: Instant, pod_limit: Duration) -> IdleTimeout {
        IdleTimeout {
            max_timeout: pod_limit.mul_f64(POD_LIMIT_FRACTION),
            ranges: [RangeCounts::default(); RANGES],
            decayed_at: now,
        }
    }

    /// Counts a request on a connection that had been idle for `idle`.
    pub fn record(&mut self, now: Instant, idle: Duration, outcome: ReuseOutcome) {
        self.decay(now);
        let range = &mut self.ranges[range_index(idle)];
        if range.used >= MAX_SAMPLES {
            *range = range.scaled(0.5);
        }
        range.used += 1.0;
        if outcome == ReuseOutcome::Broken {
            range.broken += 1.0;
        }
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.decayed_at);
        if elapsed < Duration::from_secs(1) {
            return;
        }
        let factor = DECAY_PER_SECOND.powf(elapsed.as_secs_f64());
        for range in &mut self.ranges {
            *range = range.scaled(factor);
        }
        self.decayed_at = now;
    }

    /// Returns the idle time from which a connection is closed rather than reused.
    pub fn current(&self) -> Duration {
        let mut shorter = RangeCounts::default();
        for (index, range) in self.ranges.iter().enumerate() {
            if breaks_more_often(*range, shorter) {
                return self.max_timeout.min(FIRST_RANGE_START * (1 << index));
            }
            shorter.add(*range);
        }
        self.max_timeout
    }
}

fn breaks_more_often(range: RangeCounts, shorter: RangeCounts) -> bool {
    let comparable = range.used >= MIN_SAMPLES && shorter.used >= MIN_SAMPLES;
    let usual = shorter.broken_fraction();
    comparable && range.broken / range.used > BREAK_RATIO * usual + BREAK_MARGIN
}

fn range_index(idle: Duration) -> usize {
    let ratio = idle.as_secs_f64() / FIRST_RANGE_START.as_secs_f64();
    let index = ratio.max(1.0).log2() as usize;
    index.min(RANGES - 1)
}
