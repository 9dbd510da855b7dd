//! A voter with what this sidecar knows of it.

use super::record::VoterRecord;
use super::view::{Digests, View};
use crate::Nanos;
use std::collections::BTreeMap;

/// A difference between a peer's view and ours.
#[derive(Clone, Copy, Debug)]
pub(super) struct Disagreement {
    /// When the first view that differed was received.
    pub since: Nanos,
    /// Whether a later view, received [`Rules::dispute_delay`](super::Rules::dispute_delay) or more after the first, differed
    /// still.
    pub is_confirmed: bool,
}

/// A view and when it was received.
#[derive(Clone, Debug)]
pub(super) struct ReceivedView {
    pub at: Nanos,
    pub view: View,
}

/// One who is a voter, or was.
#[derive(Clone, Debug)]
pub(super) struct Voter {
    pub record: VoterRecord,
    /// Whether the incarnation of its record is alive by membership.
    pub is_alive: bool,
    /// Since when it is alive, or is missed.
    pub since: Nanos,
    /// How often it came and went, less what was forgiven.
    pub flaps: u32,
    /// When it last said that it does not reach us; none where it reaches us.
    pub misses_us_at: Option<Nanos>,
    /// Whether its view differs from ours.
    pub disagreement: Option<Disagreement>,
    /// Its last view.
    pub received: Option<ReceivedView>,
    /// The digests of the view that we sent it last.
    pub sent: Option<Digests>,
    /// The names of those who would evict it, and when they last said so. An entry is removed after
    /// [`Rules::statement_lifetime`](super::Rules::statement_lifetime), all of them once the voter is alive.
    pub eviction_votes: BTreeMap<String, Nanos>,
}

impl Voter {
    pub fn new(now: Nanos, record: VoterRecord) -> Voter {
        Voter {
            record,
            is_alive: false,
            since: now,
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

    /// Whether it is not as it should be, or time alone may change what it counts for.
    pub fn is_notable(&self) -> bool {
        let is_as_it_should_be = self.is_alive && self.record.is_voter && self.flaps == 0;
        !is_as_it_should_be
            || self.misses_us_at.is_some()
            || self.disagreement.is_some()
            || !self.eviction_votes.is_empty()
    }

    /// Forgets what it said: it is not there any more.
    pub fn forget_statements(&mut self) {
        self.received = None;
        self.disagreement = None;
        self.misses_us_at = None;
    }
}
