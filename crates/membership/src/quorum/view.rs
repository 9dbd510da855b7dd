//! The view that a sidecar sends to others, in one datagram.

use super::record::VoterRecord;
use serde::{Deserialize, Serialize};

/// Limit on the records in a view. The digest covers the other voters, or a later view carries their records.
pub(super) const MAX_RECORDS: usize = 12;
/// Limit on the names of missing voters in a view, and on its eviction votes.
pub(super) const MAX_NAMES: usize = 8;

/// A sidecar's view of which voters there are and which of them are alive. The order of the fields is part of the
/// protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// A digest of all voters.
    pub voters_digest: u64,
    /// A digest of the voters that are alive according to the membership of the sender.
    pub alive_digest: u64,
    /// The names of the first voters that are not alive.
    pub missing: Vec<String>,
    /// The number of voters that are not alive.
    pub missing_count: u32,
    /// The voters that the sender votes to evict.
    pub evictions: Vec<EvictionVote>,
    /// The sender's own record. While the voters of the receiver differ or are not known, also a part of the voter
    /// table, a different one each time.
    pub records: Vec<VoterRecord>,
}

/// A vote to evict a voter that has been missed for a long time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvictionVote {
    /// The voter's name.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// The number of its rejoins, so that the vote does not count against the voter after its next rejoin.
    pub rejoins: u32,
}

/// The digests of a view: a short form of its sender's tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Digests {
    pub voters: u64,
    pub alive: u64,
}

impl View {
    pub(super) fn digests(&self) -> Digests {
        Digests {
            voters: self.voters_digest,
            alive: self.alive_digest,
        }
    }
}
