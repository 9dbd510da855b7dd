//! Decides how long an idle connection to a pod is worth keeping, learnt from how its next request went.
//!
//! Free of I/O; time is handed in. The settings say when a pod closes an idle connection at the latest. What lies
//! between may forget it sooner and say nothing, so that the next request ends in a reset, which may have run. Resets
//! that have nothing to do with idle time come after any idle time alike, so idle times are compared: a range of them
//! where clearly more break than in shorter ones is not waited for. The test is `tests/idle_timeout.rs`.

use std::time::{Duration, Instant};

/// Rest of a connection before its next request. A second response may come some milliseconds behind the one that it
/// repeats (0.9 to 5.2 ms were seen), and the next request would be given it: nothing in it tells whose it is, and a
/// look before the write does not see what is on its way.
const MIN_REST: Duration = Duration::from_millis(25);
/// Part of the pod's own limit that counts: the pod closes at its limit, maybe just as a request is written.
const PART_OF_POD_LIMIT: f64 = 0.7;
/// Idle times are counted in ranges, each twice as long as the one before, the second from here on.
const FIRST_RANGE: Duration = Duration::from_millis(1);
/// Number of ranges; the last one has no end.
const RANGES: usize = 18;
/// Factor by which counts decay in a second, so that longer idle times are tried again after some minutes.
const DECAY_PER_SECOND: f64 = 0.98;
/// Requests that a range, and the shorter ones together, must have seen to be compared.
const MIN_SAMPLES: f64 = 8.0;
/// Requests at which the counts of a range are halved, so that recent ones weigh more.
const MAX_SAMPLES: f64 = 200.0;
/// A range is given up where its share of breaks exceeds this multiple of the shorter ones' share ...
const BREAK_RATIO: f64 = 1.5;
/// ... and this much more.
const BREAK_MARGIN: f64 = 0.1;

/// Returns whether a connection that was idle so long may carry its next request.
pub fn has_rested(idle: Duration) -> bool {
    idle >= MIN_REST
}

/// How the next request on a kept connection went.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reuse {
    /// Something of a response came.
    Answered,
    /// The connection ended before any byte of a response.
    Broken,
}

/// Requests on connections that had been idle for a range of times.
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

    fn broken_share(self) -> f64 {
        self.broken / f64::max(self.used, 1.0)
    }
}

/// The idle time-out and what it is learnt from: a fixed number of counts.
pub struct IdleTimeout {
    longest: Duration,
    ranges: [RangeCounts; RANGES],
    decayed_at: Instant,
}

impl IdleTimeout {
    /// Starts with nothing learnt. `pod_limit` is the idle time after which a pod closes a connection at the latest.
    pub fn new(now: Instant, pod_limit: Duration) -> IdleTimeout {
        IdleTimeout {
            longest: pod_limit.mul_f64(PART_OF_POD_LIMIT),
            ranges: [RangeCounts::default(); RANGES],
            decayed_at: now,
        }
    }

    /// Learns from a request that went out on a connection that had been idle so long.
    pub fn record(&mut self, now: Instant, idle: Duration, reuse: Reuse) {
        self.decay(now);
        let range = &mut self.ranges[range_of(idle)];
        if range.used >= MAX_SAMPLES {
            *range = range.scaled(0.5);
        }
        range.used += 1.0;
        if reuse == Reuse::Broken {
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

    /// Returns the idle time after which a connection is closed rather than used.
    pub fn current(&self) -> Duration {
        let mut shorter = RangeCounts::default();
        for (index, range) in self.ranges.iter().enumerate() {
            if breaks_more(*range, shorter) {
                return self.longest.min(FIRST_RANGE * (1 << index));
            }
            shorter.add(*range);
        }
        self.longest
    }
}

fn breaks_more(range: RangeCounts, shorter: RangeCounts) -> bool {
    let comparable = range.used >= MIN_SAMPLES && shorter.used >= MIN_SAMPLES;
    let usual = shorter.broken_share();
    comparable && range.broken / range.used > BREAK_RATIO * usual + BREAK_MARGIN
}

fn range_of(idle: Duration) -> usize {
    let ratio = idle.as_secs_f64() / FIRST_RANGE.as_secs_f64();
    let octave = ratio.max(1.0).log2() as usize;
    octave.min(RANGES - 1)
}
