//! A voter and what this sidecar knows of it.

use super::record::VoterRecord;
use super::view::{Digests, View};
use crate::Nanos;
use std::collections::BTreeMap;

/// A difference between a peer's view and ours.
#[derive(Clone, Copy, Debug)]
pub(super) struct Disagreement {
    /// When the first differing view was received.
    pub since: Nanos,
    /// Whether a later view still differed, received [`Rules::dispute_delay`](super::Rules::dispute_delay) or more
    /// after the first.
    pub is_confirmed: bool,
}

/// A view and when it was received.
#[derive(Clone, Debug)]
pub(super) struct ReceivedView {
    pub at: Nanos,
    pub view: View,
}

/// A voter, or one that has left or was evicted.
#[derive(Clone, Debug)]
pub(super) struct Voter {
    pub record: VoterRecord,
    /// Whether the incarnation of its record is alive according to membership.
    pub is_alive: bool,
    /// Since when it has been alive, or missing, or not a voter. Moved forward when a flap is forgiven.
    pub status_since: Nanos,
    /// How often it went missing, less the flaps that were forgiven.
    pub flaps: u32,
    /// When its last view was received, if that view reports that it does not reach us.
    pub misses_us_at: Option<Nanos>,
    /// The difference between its view and ours, if any.
    pub disagreement: Option<Disagreement>,
    /// The last view received from it.
    pub received: Option<ReceivedView>,
    /// The digests of the view that we last sent to it.
    pub sent: Option<Digests>,
    /// The names of the sidecars that vote to evict it, and when each vote was last received. A vote is removed after
    /// [`Rules::statement_lifetime`](super::Rules::statement_lifetime), and all votes once the voter is alive.
    pub eviction_votes: BTreeMap<String, Nanos>,
}

impl Voter {
    pub fn new(now: Nanos, record: VoterRecord) -> Voter {
        Voter {
            record,
            is_alive: false,
            status_since: now,
            flaps: 0,
            misses_us_at: None,
            disagreement: None,
            received: None,
            sent: None,
            eviction_votes: BTreeMap::new(),
        }
    }

    pub fn name(&self) -> &str {
        &self.record.id.name
    }

    /// Whether the voter needs a check in each period: it is not alive, not a voter, flapping or in disagreement, or
    /// the passage of time may change how it counts.
    pub fn needs_check(&self) -> bool {
        let is_steady_voter = self.is_alive && self.record.is_voter && self.flaps == 0;
        !is_steady_voter
            || self.misses_us_at.is_some()
            || self.disagreement.is_some()
            || !self.eviction_votes.is_empty()
    }

    /// Drops what its views said, because it is not alive any more.
    pub fn forget_statements(&mut self) {
        self.received = None;
        self.disagreement = None;
        self.misses_us_at = None;
    }
}
