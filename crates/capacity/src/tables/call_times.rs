//! Times of many like calls.

use crate::error::CapacityError;
use hdrhistogram::Histogram;
use std::time::Duration;

const NS_PER_US: f64 = 1e3;
/// The longest time that is recorded as it is: a minute.
const MAX_RECORDED_NS: u64 = 60_000_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Times of many like calls, and what ticks took meanwhile.
pub struct CallTimes {
    each_ns: Histogram<u64>,
    /// Time that ticks took.
    pub(super) ticks: Duration,
    /// Simulated time in which they took it.
    pub(super) span: Duration,
}

impl CallTimes {
    pub(super) fn new() -> Result<CallTimes, CapacityError> {
        let each_ns = Histogram::new_with_bounds(1, MAX_RECORDED_NS, SIGNIFICANT_DIGITS)?;
        Ok(CallTimes {
            each_ns,
            ticks: Duration::ZERO,
            span: Duration::ZERO,
        })
    }

    pub(super) fn record(&mut self, spent: Duration) {
        self.each_ns.saturating_record(spent.as_nanos() as u64);
    }

    /// The time within which this share of the calls ended, in microseconds.
    pub(super) fn us(&self, quantile: f64) -> f64 {
        self.each_ns.value_at_quantile(quantile) as f64 / NS_PER_US
    }

    /// The share of a core that ticks took.
    pub(super) fn tick_share_of_core(&self) -> f64 {
        self.ticks.as_secs_f64() / self.span.as_secs_f64().max(f64::MIN_POSITIVE)
    }
}
