//! The limits and spans that a takeover keeps to.

use crate::Ns;

#[derive(Clone, Debug)]
pub struct Rules {
    /// How long a promise lasts. It belongs to what holds while clocks drift less than `drift_ppm`.
    pub lease: Ns,
    /// How fast or slow a clock may run, in millionths.
    pub drift_ppm: u64,
    /// Pieces of work held here with guardians, at most; more are served unguarded and counted.
    pub most_held: usize,
    /// Records kept here for others, at most; more are turned away.
    pub most_kept: usize,
    /// What hits and answers of those records may weigh together, in bytes, as of the last look: beyond it new records
    /// are turned away, and answers that come are not kept, only that they were delivered.
    pub most_bytes: usize,
    /// How long a record stays after its time is up, so that a client that comes back finds its answer.
    pub keep: Ns,
}

impl Default for Rules {
    fn default() -> Rules {
        let ms = 1_000_000;
        Rules {
            lease: 600 * ms,
            drift_ppm: 10_000,
            most_held: 20_000,
            most_kept: 60_000,
            most_bytes: 256 << 20,
            keep: 5_000 * ms,
        }
    }
}
