//! The limits and time spans of a takeover.

use crate::Nanos;

/// Limits and time spans of one [`Takeover`](crate::Takeover).
#[derive(Clone, Debug)]
pub struct Rules {
    /// How long a lease lasts. Its safety rests on clocks that drift less than `drift_ppm`.
    pub lease: Nanos,
    /// The greatest drift of a clock, in millionths.
    pub drift_ppm: u64,
    /// In-flight requests with backups, at most; further ones are served without backups and counted.
    pub max_owned: usize,
    /// Records kept for other sidecars, at most; further ones are rejected.
    pub max_replicas: usize,
    /// Total bytes of requests and answers in those records, as of the last wake-up. Beyond it new records are
    /// rejected, and of an answer only the fact that it was served is kept.
    pub max_replica_bytes: usize,
    /// How long a record stays after its deadline, so that a client that retries finds its answer.
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
