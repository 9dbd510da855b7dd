//! The times of many calls of the same kind.

use crate::error::CapacityError;
use hdrhistogram::Histogram;
use std::time::Duration;

const NS_PER_US: f64 = 1e3;
/// The longest time that is recorded exactly, one minute. A longer time is recorded as this one.
const MAX_RECORDED_NS: u64 = 60_000_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// The times of many calls of the same kind, and the time that the engine's ticks took between the calls.
pub struct CallTimes {
    /// The times of the calls, in nanoseconds.
    calls_ns: Histogram<u64>,
    /// Processor time of the ticks.
    pub(super) tick_time: Duration,
    /// The virtual time in which these ticks ran.
    pub(super) virtual_time: Duration,
}

impl CallTimes {
    pub(super) fn new() -> Result<CallTimes, CapacityError> {
        let calls_ns = Histogram::new_with_bounds(1, MAX_RECORDED_NS, SIGNIFICANT_DIGITS)?;
        Ok(CallTimes {
            calls_ns,
            tick_time: Duration::ZERO,
            virtual_time: Duration::ZERO,
        })
    }

    pub(super) fn record(&mut self, spent: Duration) {
        self.calls_ns.saturating_record(spent.as_nanos() as u64);
    }

    /// Returns a quantile of the times of the calls, in microseconds.
    pub(super) fn quantile_us(&self, quantile: f64) -> f64 {
        self.calls_ns.value_at_quantile(quantile) as f64 / NS_PER_US
    }

    /// Returns the share of a core that the ticks used.
    pub(super) fn tick_share_of_core(&self) -> f64 {
        self.tick_time.as_secs_f64() / self.virtual_time.as_secs_f64().max(f64::MIN_POSITIVE)
    }
}
