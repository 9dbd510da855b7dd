//! The settings of the replication, with defaults for a fleet of 1,600 sidecars.

use super::budget::Budget;
use super::Nanos;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;

/// The settings of the replication in one process.
#[derive(Clone, Debug)]
pub struct ReplicationSettings {
    /// Peers of the own region to which a new version is announced.
    pub same_region_fan_out: usize,
    /// Peers of other regions to which a new version is announced.
    pub other_region_fan_out: usize,
    /// Time between two pulls from a random peer, in nanoseconds.
    pub pull_period: Nanos,
    /// Time within which a pull or a chunk request must be answered, in nanoseconds.
    pub answer_timeout: Nanos,
    /// Shortest delay before another peer is pulled after a useless answer, in nanoseconds; the longest is twice as
    /// long.
    pub retry_delay: Nanos,
    /// Long-term rate at which deltas, manifests and chunks are fetched, in bytes per second.
    pub fetch_bytes_per_s: u64,
    /// Bytes that may be requested at once.
    pub fetch_burst_bytes: u64,
    /// Bytes that a process that starts without a configuration may request at once, one time.
    pub initial_fetch_burst_bytes: u64,
    /// Long-term rate at which deltas, manifests and chunks are served to peers, in bytes per second.
    pub serve_bytes_per_s: u64,
    /// Bytes that may be served to peers at once.
    pub serve_burst_bytes: u64,
    /// Sources of a transfer that may fail in a row; one more failure ends the transfer.
    pub max_source_failures: u32,
    /// Maximum number of deltas kept to serve peers.
    pub max_history_deltas: usize,
    /// Maximum size of the deltas kept to serve peers, in encoded bytes.
    pub max_history_bytes: usize,
    /// Time from a publication to the writer's first polling round, in nanoseconds. It doubles after each round in
    /// which some peers are behind.
    pub initial_poll_interval: Nanos,
    /// Longest time between two polling rounds, in nanoseconds.
    pub max_poll_interval: Nanos,
    /// About how many parts an aggregator splits its interval into.
    pub poll_branches: usize,
    /// Time within which a polling round ends, in nanoseconds.
    pub round_timeout: Nanos,
    /// Delay before a rejected version is first offered to the host again, in nanoseconds. It doubles with each offer.
    pub initial_offer_backoff: Nanos,
    /// Longest delay between two offers, in nanoseconds.
    pub max_offer_backoff: Nanos,
}

impl ReplicationSettings {
    pub(super) fn fetch_budget(&self, now: Nanos, is_empty: bool) -> Budget {
        let initial = match is_empty {
            true => self.initial_fetch_burst_bytes,
            false => self.fetch_burst_bytes,
        };
        Budget::new(now, self.fetch_bytes_per_s, self.fetch_burst_bytes, initial)
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
