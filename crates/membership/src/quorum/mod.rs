//! The quorum state: what a sidecar may believe of its own place. Who votes, how many of those it reaches, whether they
//! see the same. No I/O; the time is an argument.
//!
//! Membership says who is likely there now; it forgets the dead, so that any part of the fleet looks like a whole. The
//! voters do not: who met the others once is a voter until it leaves, or until more than half of all voters have missed
//! it for a stated time (`eviction`). So no minority shrinks its world until it is a majority.
//!
//! Of the three promises (docs/membership.md) this is none of the first kind: it says what a sidecar knows, and leases
//! say what it may do.

mod dispute;
mod eviction;
mod presence;
mod record;
mod rules;
mod state;
mod view;
mod views;
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

/// The voters as one sidecar sees them, and the state that follows.
pub struct Quorum {
    me: VoterRecord,
    rules: Rules,
    /// Those that left or were evicted stay for [`Rules::eviction_delay`]; [`Rules::max_voters`] bounds it.
    voters: VoterTable,
    state: DampedState,
    /// The name behind which the next part of the table is sent.
    sent_until: String,
    /// Voters that were turned away as the table was full.
    pub rejected_voters: u64,
}

impl Quorum {
    /// Makes a quorum of one voter, which is alone.
    pub fn new(now: Nanos, me: MemberId, rules: Rules) -> Quorum {
        Quorum {
            me: VoterRecord::starting(me),
            rules,
            voters: VoterTable::default(),
            state: DampedState::new(now),
            sent_until: String::new(),
            rejected_voters: 0,
        }
    }

    /// Returns the state in force.
    pub fn state(&self) -> QuorumState {
        self.state.state()
    }

    /// Returns since when that state is in force.
    pub fn state_since(&self) -> Nanos {
        self.state.since()
    }

    /// Returns the number of voters, this one among them.
    pub fn voter_count(&self) -> usize {
        1 + self.voters.count_voters()
    }

    /// Returns the rows of the table visited so far: a measure of work that is the same on every machine.
    pub fn rows_visited(&self) -> u64 {
        self.voters.rows_visited()
    }

    /// Returns the names of the voters that are not reached.
    pub fn unreached(&self, now: Nanos) -> impl Iterator<Item = &str> {
        self.notable_voters()
            .filter(move |voter| !self.is_reached(now, voter))
            .map(Voter::name)
    }

    /// Returns the names of the voters that we reach and that say that they do not reach us.
    pub fn voters_missing_us(&self, now: Nanos) -> impl Iterator<Item = &str> {
        self.notable_voters()
            .filter(move |voter| voter.is_alive && self.misses_us(now, voter))
            .map(Voter::name)
    }

    /// Returns the names of the voters that came back too often or too lately to count.
    pub fn flapping(&self, now: Nanos) -> impl Iterator<Item = &str> {
        self.notable_voters()
            .filter(move |voter| voter.is_alive && !self.is_steady(now, voter))
            .map(Voter::name)
    }

    /// Judges the state anew, and returns a change.
    pub fn update(&mut self, now: Nanos) -> Option<StateChange> {
        self.evict(now);
        self.expire(now);
        self.drop_settled_disagreements();
        let seen = self.assess(now);
        self.state.observe(now, seen, self.rules.recovery_delay)
    }

    /// The state that what is known now amounts to.
    fn assess(&self, now: Nanos) -> QuorumState {
        let unreached = self
            .notable_voters()
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

    /// The voters of which there is something to see; of all others, everything is as it should be.
    fn notable_voters(&self) -> impl Iterator<Item = &Voter> {
        self.voters.notable().filter(|voter| voter.record.is_voter)
    }

    /// Takes our own later incarnation: our name was known under a later one.
    pub fn set_own_id(&mut self, id: &MemberId) {
        self.me = VoterRecord::starting(id.clone());
        self.voters.forget_voters_digest();
    }

    /// Notes that a voter has left.
    pub fn record_leave(&mut self, now: Nanos, id: &MemberId) {
        let record = self.voters.get(&id.name).map(|voter| voter.record.clone());
        if let Some(record) = record.filter(|record| record.id == *id) {
            let gone = VoterRecord {
                is_voter: false,
                ..record
            };
            self.merge(now, gone);
        }
    }

    /// Merges a record that was received or concluded; an older one changes nothing.
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

    /// Becomes a voter again, if we were evicted: we are here.
    fn rejoin(&mut self, received: &VoterRecord) {
        let is_eviction = received.id.incarnation == self.me.id.incarnation
            && !received.is_voter
            && received.rejoins >= self.me.rejoins;
        if is_eviction {
            self.me.rejoins = received.rejoins.saturating_add(1);
            self.voters.forget_voters_digest();
        }
    }

    fn replace(&mut self, now: Nanos, record: VoterRecord) {
        let name = record.id.name.clone();
        self.voters.update(&name, |voter| {
            if voter.record.id != record.id {
                // A start after a leave is no coming and going.
                if !voter.record.is_voter {
                    voter.flaps = 0;
                }
                voter.is_alive = false;
            }
            if voter.record.is_voter != record.is_voter {
                voter.since = now;
            }
            voter.eviction_votes.clear();
            voter.record = record;
        });
    }
}
