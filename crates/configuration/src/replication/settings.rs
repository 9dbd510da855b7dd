//! Numbers that a host may set, with defaults for 1,600 sidecars.

use super::Nanos;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;

#[derive(Clone, Debug)]
pub struct ReplicationSettings {
    /// Peers told of a new version in the own region, and in others.
    pub same_region_fan_out: usize,
    pub other_region_fan_out: usize,
    /// One random peer is asked what it has in each.
    pub pull_period: Nanos,
    /// How long the answer to a pull or to a wanted chunk may take.
    pub answer: Nanos,
    /// Wait before another is asked where the answer was of no use; twice as much at most.
    pub retry: Nanos,
    /// What is asked for at most: steadily, at once, and at once by a process that starts with no configuration.
    pub fetch_bytes_per_s: u64,
    pub fetch_burst_bytes: u64,
    pub fetch_start_bytes: u64,
    /// What is given to others at most.
    pub serve_bytes_per_s: u64,
    pub serve_burst_bytes: u64,
    /// Sources tried in a row for one transfer before it is begun anew.
    pub max_source_failures: u32,
    /// Deltas kept for others, and their encoded bytes.
    pub max_history_deltas: usize,
    pub max_history_bytes: usize,
    /// Wait of the writer after a publication before it polls, twice as much each time that some are behind, and the
    /// longest wait.
    pub initial_poll_interval: Nanos,
    pub max_poll_interval: Nanos,
    /// Intervals into which a head splits its own.
    pub poll_branches: usize,
    /// How long a whole round may take.
    pub round_timeout: Nanos,
    /// Wait before a rejected version is offered to the host again, twice as much each time, and the longest wait.
    pub initial_offer_backoff: Nanos,
    pub max_offer_backoff: Nanos,
}

impl Default for ReplicationSettings {
    fn default() -> ReplicationSettings {
        ReplicationSettings {
            same_region_fan_out: 2,
            other_region_fan_out: 2,
            pull_period: 500 * MS,
            answer: 500 * MS,
            retry: 100 * MS,
            fetch_bytes_per_s: 8_000,
            fetch_burst_bytes: 96 << 10,
            fetch_start_bytes: 4 << 20,
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
