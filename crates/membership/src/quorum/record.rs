//! The replicated record of one voter.

use crate::member::MemberId;
use serde::{Deserialize, Serialize};

/// One who is a voter, or was. Each sidecar raises its own record alone, and records merge by the newer, so that any
/// order and any repeats give the same.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterRecord {
    /// Which incarnation it is.
    pub id: MemberId,
    /// Raised by itself alone, to become a voter again after it was evicted.
    pub rejoins: u32,
    /// Whether it is a voter: it has neither left nor been evicted.
    pub is_voter: bool,
}

impl VoterRecord {
    /// The record of a sidecar that starts.
    pub(super) fn starting(id: MemberId) -> VoterRecord {
        VoterRecord {
            id,
            rejoins: 0,
            is_voter: true,
        }
    }

    /// Whether this record replaces the known one: by a later incarnation or rejoin, or as the voter has gone.
    pub(super) fn is_newer_than(&self, known: &VoterRecord) -> bool {
        let order =
            |record: &VoterRecord| (record.id.incarnation, record.rejoins, !record.is_voter);
        order(self) > order(known)
    }
}
