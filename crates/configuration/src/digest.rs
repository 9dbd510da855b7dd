//! Digests of sets of records, to find out whether two sets are equal without comparing their records.

use crate::record::Record;
use serde::{Deserialize, Serialize};
use std::fmt;

const LANES: usize = 4;
const LANE_BYTES: usize = 8;

/// The sum of the hashes of all records of a set; the order of the records does not matter.
///
/// Each record's canonical bytes (postcard) are hashed with blake3; the 256 bits are added as four lanes of 64 bits,
/// each wrapping. The sum can be updated with each change and depends only on the records in the set. Two different
/// sets have equal sums by accident with a probability of 2^-256. An attacker who chooses many records could find a
/// collision with much less work than for blake3 itself, so the digest does not prove who wrote a configuration: that
/// is ensured by the key that secures the messages between peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest([u64; LANES]);

impl Digest {
    /// Adds a record.
    pub fn add(&mut self, record: &Record) {
        self.add_all(&Digest::of(record));
    }

    /// Removes a record that was added before.
    pub fn remove(&mut self, record: &Record) {
        self.remove_all(&Digest::of(record));
    }

    /// Adds all records of another set.
    pub fn add_all(&mut self, other: &Digest) {
        for (lane, added) in self.0.iter_mut().zip(other.0) {
            *lane = lane.wrapping_add(added);
        }
    }

    /// Removes all records of a set that was added before.
    pub fn remove_all(&mut self, other: &Digest) {
        for (lane, removed) in self.0.iter_mut().zip(other.0) {
            *lane = lane.wrapping_sub(removed);
        }
    }

    /// Returns the digest of a set with only this record.
    fn of(record: &Record) -> Digest {
        let mut hasher = blake3::Hasher::new();
        // This cannot fail: the hasher accepts every byte and postcard can encode every field of a record.
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
