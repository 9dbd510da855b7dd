//! The replicated record of one voter.

use crate::member::MemberId;
use serde::{Deserialize, Serialize};

/// The record of a voter or former voter. Only the sidecar itself raises the counters of its record. Two records merge
/// to the newer one, so that the result depends neither on their order nor on repeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterRecord {
    /// The name and incarnation of the voter.
    pub id: MemberId,
    /// How often the voter has rejoined after an eviction. Only the voter itself raises this number.
    pub rejoins: u32,
    /// Whether it is a voter: it has neither left nor been evicted.
    pub is_voter: bool,
}

impl VoterRecord {
    /// Returns the record of a sidecar that has just started.
    pub(super) fn starting(id: MemberId) -> VoterRecord {
        VoterRecord {
            id,
            rejoins: 0,
            is_voter: true,
        }
    }

    /// Whether this record replaces the known one: it has a later incarnation or rejoin, or the same ones and says that
    /// the voter has left or was evicted.
    pub(super) fn is_newer_than(&self, known: &VoterRecord) -> bool {
        let order =
            |record: &VoterRecord| (record.id.incarnation, record.rejoins, !record.is_voter);
        order(self) > order(known)
    }
}
