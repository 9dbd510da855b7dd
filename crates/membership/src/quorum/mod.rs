//! The quorum state: whether a sidecar is part of a majority of the fleet. It follows from which voters there are, how
//! many of them the sidecar reaches, and whether they agree with it. No I/O; the time is an argument.
//!
//! Membership tells which members are probably alive now. It forgets dead members, so either side of a network
//! partition soon looks like a complete fleet to itself. The voter table keeps them: a sidecar that was a member once
//! is a voter until it leaves, or until more than half of all voters have missed it for [`Rules::eviction_delay`]
//! (`eviction`). So a minority cannot shrink its voter table until it makes up a majority of that table.
//!
//! docs/membership.md distinguishes three kinds of promise. The quorum state makes none of the first kind, which is
//! safety: it says what a sidecar knows, and leases say what the sidecar may do.

mod dispute;
mod eviction;
mod presence;
mod record;
mod rules;
mod state;
mod view;
mod view_handling;
mod voter;
mod voter_table;

pub use dispute::Dispute;
pub use record::VoterRecord;
pub use rules::Rules;
pub use state::{QuorumState, StateChange};
pub use view::{EvictionVote, View};

use crate::member::{MemberId, MAX_NAME_BYTES};
use crate::Nanos;
use state::DampedState;
use voter::Voter;
use voter_table::VoterTable;

/// The voters as one sidecar knows them, and the quorum state that follows.
pub struct Quorum {
    me: VoterRecord,
    rules: Rules,
    /// Voters that left or were evicted stay in the table for [`Rules::eviction_delay`]; [`Rules::max_voters`] bounds
    /// it.
    voters: VoterTable,
    state: DampedState,
    /// The last name in the part of the table that was sent last; the next part begins after it. Empty if the next part
    /// is the first one.
    last_sent_name: String,
    /// How often a new voter was rejected because the table was full.
    pub rejected_voters: u64,
}

impl Quorum {
    /// Makes a quorum whose only voter is this sidecar.
    pub fn new(now: Nanos, me: MemberId, rules: Rules) -> Quorum {
        Quorum {
            me: VoterRecord::starting(me),
            rules,
            voters: VoterTable::default(),
            state: DampedState::new(now),
            last_sent_name: String::new(),
            rejected_voters: 0,
        }
    }

    /// Returns the current state.
    pub fn state(&self) -> QuorumState {
        self.state.state()
    }

    /// Returns when the current state was entered.
    pub fn state_since(&self) -> Nanos {
        self.state.since()
    }

    /// Returns the number of voters, including this sidecar.
    pub fn voter_count(&self) -> usize {
        1 + self.voters.count_voters()
    }

    /// Returns the number of table rows visited so far: a measure of work that is the same on every machine.
    pub fn rows_visited(&self) -> u64 {
        self.voters.rows_visited()
    }

    /// Returns the names of the voters that are not reached.
    pub fn unreached(&self, now: Nanos) -> impl Iterator<Item = &str> {
        self.voters_to_check()
            .filter(move |voter| !self.is_reached(now, voter))
            .map(Voter::name)
    }

    /// Returns the names of the voters that are alive here and whose views report that they do not reach us.
    pub fn voters_missing_us(&self, now: Nanos) -> impl Iterator<Item = &str> {
        self.voters_to_check()
            .filter(move |voter| voter.is_alive && self.misses_us(now, voter))
            .map(Voter::name)
    }

    /// Returns the names of the living voters that have returned too often or too recently to count as reached.
    pub fn flapping(&self, now: Nanos) -> impl Iterator<Item = &str> {
        self.voters_to_check()
            .filter(move |voter| voter.is_alive && !self.is_steady(now, voter))
            .map(Voter::name)
    }

    /// Updates the state, and returns the change, if any.
    pub fn update(&mut self, now: Nanos) -> Option<StateChange> {
        self.evict(now);
        self.expire(now);
        self.drop_settled_disagreements();
        let observed = self.assess(now);
        self.state.observe(now, observed, self.rules.recovery_delay)
    }

    /// Returns the state that follows from what is known now, without the delay before a better state is entered.
    fn assess(&self, now: Nanos) -> QuorumState {
        let unreached = self
            .voters_to_check()
            .filter(|voter| voter.is_alive && !self.is_reached(now, voter))
            .count();
        let reached = 1 + self.voters.count_alive() - unreached;
        if reached == 1 {
            QuorumState::Alone
        } else if 2 * reached <= self.voter_count() {
            QuorumState::Few
        } else if self.is_any_in_dispute(now) {
            QuorumState::Disputed
        } else {
            QuorumState::Agreed
        }
    }

    /// Returns the voters that need a check in each period; all others are alive and agree with us.
    fn voters_to_check(&self) -> impl Iterator<Item = &Voter> {
        self.voters.to_check().filter(|voter| voter.record.is_voter)
    }

    /// Adopts our own later incarnation, after other members knew our name under a later one.
    pub fn set_own_id(&mut self, id: &MemberId) {
        self.me = VoterRecord::starting(id.clone());
        self.voters.drop_cached_digests();
    }

    /// Records that a voter has left.
    pub fn record_leave(&mut self, now: Nanos, id: &MemberId) {
        let record = self.voters.get(&id.name).map(|voter| voter.record.clone());
        if let Some(record) = record.filter(|record| record.id == *id) {
            let departed = VoterRecord {
                is_voter: false,
                ..record
            };
            self.merge(now, departed);
        }
    }

    /// Merges a record that was received or derived here. A record that is not newer than the known one has no effect.
    fn merge(&mut self, now: Nanos, record: VoterRecord) {
        let name = &record.id.name;
        if *name == self.me.id.name {
            return self.rejoin(&record);
        }
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return;
        }
        match self.voters.get(name) {
            Some(known) if record.is_newer_than(&known.record) => self.replace(now, record),
            Some(_) => {}
            None if self.voters.len() >= self.rules.max_voters => self.rejected_voters += 1,
            None => self.voters.insert(Voter::new(now, record)),
        }
    }

    /// Becomes a voter again if the record says that we were evicted, since we are running.
    fn rejoin(&mut self, received: &VoterRecord) {
        let is_eviction = received.id.incarnation == self.me.id.incarnation
            && !received.is_voter
            && received.rejoins >= self.me.rejoins;
        if is_eviction {
            self.me.rejoins = received.rejoins.saturating_add(1);
            self.voters.drop_cached_digests();
        }
    }

    fn replace(&mut self, now: Nanos, record: VoterRecord) {
        let name = record.id.name.clone();
        self.voters.update(&name, |voter| {
            if voter.record.id != record.id {
                // A start after a leave does not count as a flap.
                if !voter.record.is_voter {
                    voter.flaps = 0;
                }
                voter.is_alive = false;
            }
            if voter.record.is_voter != record.is_voter {
                voter.status_since = now;
            }
            voter.eviction_votes.clear();
            voter.record = record;
        });
    }
}
