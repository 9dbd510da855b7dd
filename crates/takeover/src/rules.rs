//! The limits and time spans of a takeover.

use crate::Nanos;

/// Limits and time spans of one [`Takeover`](crate::Takeover).
#[derive(Clone, Debug)]
pub struct Rules {
    /// How long a lease lasts. A request has at most one acting owner only while clocks drift by less than `drift_ppm`.
    pub lease: Nanos,
    /// The greatest drift of a clock, in millionths (parts per million).
    pub drift_ppm: u64,
    /// The maximum number of in-flight requests with backups. Further requests are served without backups and counted.
    pub max_owned: usize,
    /// The maximum number of records kept for other sidecars. Further records are rejected.
    pub max_replicas: usize,
    /// The limit on the total bytes of requests and answers in those records: the sum at the last wake-up, plus the
    /// records stored since then. Above the limit, new records are rejected, and an outcome is kept without the content
    /// of its answer.
    pub max_replica_bytes: usize,
    /// How long a record is kept after its deadline, so that a client that retries still gets its answer.
    pub retention: Nanos,
}

impl Default for Rules {
    fn default() -> Rules {
        let ms = 1_000_000;
        Rules {
            lease: 600 * ms,
            drift_ppm: 10_000,
            max_owned: 20_000,
            max_replicas: 60_000,
            max_replica_bytes: 256 << 20,
            retention: 5_000 * ms,
        }
    }
}
