//! What a sidecar tells others of its view, in one datagram.

use super::record::VoterRecord;
use serde::{Deserialize, Serialize};

/// Records in a view, at most. The rest goes by digest, or with a later view.
pub(super) const MAX_RECORDS: usize = 12;
/// Names of missing voters, and eviction votes, in a view, at most.
pub(super) const MAX_NAMES: usize = 8;

/// A sidecar's view of who votes and who is there. The order of the fields is part of the protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// A digest of all voters.
    pub voters_digest: u64,
    /// A digest of the voters that are alive by its membership.
    pub alive_digest: u64,
    /// The names of the first voters that are not alive.
    pub missing: Vec<String>,
    /// How many voters are not alive.
    pub missing_count: u32,
    /// Voters that it would evict.
    pub evictions: Vec<EvictionVote>,
    /// Its own record; while the voters differ, or that is not known, also a part of the table, another one each time.
    pub records: Vec<VoterRecord>,
}

/// A vote to evict a voter that has long been missed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvictionVote {
    /// The voter's name.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// The number of its rejoins, so that a vote does not count against a later one.
    pub rejoins: u32,
}

/// What a view says of its sender's tables, in short.
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
