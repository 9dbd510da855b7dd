//! What a host may set of the replication, with defaults for 1,600 sidecars.

use super::budget::Budget;
use super::Nanos;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;

/// What a host may set of the replication.
#[derive(Clone, Debug)]
pub struct ReplicationSettings {
    /// Peers of the own region that are told of a new version.
    pub same_region_fan_out: usize,
    /// Peers of other regions that are told of a new version.
    pub other_region_fan_out: usize,
    /// One random peer is asked what it holds in each such period, in nanoseconds.
    pub pull_period: Nanos,
    /// How long the answer to a pull or to a wanted chunk may take, in nanoseconds.
    pub answer_timeout: Nanos,
    /// The least wait before another peer is asked where an answer was of no use, in nanoseconds; the longest is twice it.
    pub retry_delay: Nanos,
    /// Bytes a second that are asked for in steady running.
    pub fetch_bytes_per_s: u64,
    /// Bytes that may be asked for at once.
    pub fetch_burst_bytes: u64,
    /// Bytes that may be asked for at once by a process that starts with no configuration.
    pub initial_fetch_burst_bytes: u64,
    /// Bytes a second that are given to others.
    pub serve_bytes_per_s: u64,
    /// Bytes that may be given to others at once.
    pub serve_burst_bytes: u64,
    /// Sources that may fail in a row before a transfer is begun anew.
    pub max_source_failures: u32,
    /// Deltas kept for others.
    pub max_history_deltas: usize,
    /// Encoded bytes of the deltas kept for others.
    pub max_history_bytes: usize,
    /// Wait of the writer after a publication before it polls, in nanoseconds; doubled each time that some are behind.
    pub initial_poll_interval: Nanos,
    /// The longest wait between two polls, in nanoseconds.
    pub max_poll_interval: Nanos,
    /// Intervals into which the head of an interval splits it.
    pub poll_branches: usize,
    /// How long a whole round of a poll may take, in nanoseconds.
    pub round_timeout: Nanos,
    /// Wait before a rejected version is offered to the host again, in nanoseconds; doubled each time.
    pub initial_offer_backoff: Nanos,
    /// The longest wait between two offers, in nanoseconds.
    pub max_offer_backoff: Nanos,
}

impl ReplicationSettings {
    pub(super) fn fetch_budget(&self, now: Nanos, is_empty: bool) -> Budget {
        let at_once = match is_empty {
            true => self.initial_fetch_burst_bytes,
            false => self.fetch_burst_bytes,
        };
        Budget::new(now, self.fetch_bytes_per_s, self.fetch_burst_bytes, at_once)
    }

    pub(super) fn serve_budget(&self, now: Nanos) -> Budget {
        let burst = self.serve_burst_bytes;
        Budget::new(now, self.serve_bytes_per_s, burst, burst)
    }
}

impl Default for ReplicationSettings {
    fn default() -> ReplicationSettings {
        ReplicationSettings {
            same_region_fan_out: 2,
            other_region_fan_out: 2,
            pull_period: 500 * MS,
            answer_timeout: 500 * MS,
            retry_delay: 100 * MS,
            fetch_bytes_per_s: 8_000,
            fetch_burst_bytes: 96 << 10,
            initial_fetch_burst_bytes: 4 << 20,
            serve_bytes_per_s: 8_000,
            serve_burst_bytes: 512 << 10,
            max_source_failures: 8,
            max_history_deltas: 1_024,
            max_history_bytes: 512 << 10,
            initial_poll_interval: SECOND,
            max_poll_interval: 60 * SECOND,
            poll_branches: 16,
            round_timeout: 20 * SECOND,
            initial_offer_backoff: 5 * SECOND,
            max_offer_backoff: 300 * SECOND,
        }
    }
}
