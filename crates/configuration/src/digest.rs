//! Tells sets of records apart without comparing them.

use crate::record::Record;
use serde::{Deserialize, Serialize};
use std::fmt;

const LANES: usize = 4;
const LANE_BYTES: usize = 8;

/// The sum of the hashes of all records of a set, whatever their order.
///
/// Each record's canonical bytes (postcard) are hashed with blake3; the 256 bits are added as four lanes of 64 bits,
/// each wrapping. A sum can be kept up to date with each change and belongs to the set alone. Two different sets that
/// come about by accident have equal sums with a chance of 2^-256. Someone who chooses many records could find a
/// collision with much less work than for blake3 itself, so the digest proves no origin: that a configuration comes
/// from its writer rests on the key under which peers talk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest([u64; LANES]);

impl Digest {
    /// Counts a record in.
    pub fn add(&mut self, record: &Record) {
        self.add_all(&Digest::of(record));
    }

    /// Takes out a record that was counted in.
    pub fn remove(&mut self, record: &Record) {
        self.remove_all(&Digest::of(record));
    }

    /// Counts in all records of another set.
    pub fn add_all(&mut self, other: &Digest) {
        for (lane, more) in self.0.iter_mut().zip(other.0) {
            *lane = lane.wrapping_add(more);
        }
    }

    /// Takes out all records of a set that was counted in.
    pub fn remove_all(&mut self, other: &Digest) {
        for (lane, less) in self.0.iter_mut().zip(other.0) {
            *lane = lane.wrapping_sub(less);
        }
    }

    /// The digest of one record alone.
    fn of(record: &Record) -> Digest {
        let mut hasher = blake3::Hasher::new();
        // A hasher takes every byte and a record has no part that postcard refuses.
        let written = postcard::to_io(record, &mut hasher);
        debug_assert!(written.is_ok(), "a record always has canonical bytes");
        let hash = hasher.finalize();
        let mut lanes = [0; LANES];
        for (lane, bytes) in lanes
            .iter_mut()
            .zip(hash.as_bytes().chunks_exact(LANE_BYTES))
        {
            *lane = bytes
                .iter()
                .rev()
                .fold(0, |value, byte| value << 8 | u64::from(*byte));
        }
        Digest(lanes)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|lane| write!(f, "{lane:016x}"))
    }
}
