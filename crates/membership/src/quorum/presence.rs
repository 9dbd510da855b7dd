//! Which voters are alive and count as reached.
//!
//! A voter counts as reached if it is alive according to membership, does not report that it misses us, and is steady:
//! after each return it has to stay longer before it counts again.

use super::record::VoterRecord;
use super::voter::Voter;
use super::Quorum;
use crate::member::MemberId;
use crate::Nanos;
use std::collections::BTreeMap;

/// Limit on the flaps that are counted; further ones do not lengthen the wait of a voter.
const MAX_FLAPS: u32 = 6;
/// A flap is forgiven after the voter has stayed for this many times the wait that the flap causes.
const FORGIVENESS_WAITS: Nanos = 8;

impl Quorum {
    /// Updates all voters from the complete list of the members that are alive according to membership.
    pub fn set_alive<'a>(&mut self, now: Nanos, alive: impl Iterator<Item = &'a MemberId>) {
        let alive: BTreeMap<&str, &MemberId> = alive.map(|id| (id.name.as_str(), id)).collect();
        for id in alive.values() {
            self.add_if_unknown(now, id);
        }
        for name in self.voters.names() {
            self.set_presence(now, &name, alive.get(name.as_str()).copied());
        }
        self.forgive_flaps(now);
    }

    /// Updates the voters of these names: for each name, the incarnation that is alive according to membership, if any.
    pub fn update_alive<'a>(
        &mut self,
        now: Nanos,
        changed: impl Iterator<Item = (&'a str, Option<&'a MemberId>)>,
    ) {
        for (name, id) in changed {
            if let Some(id) = id {
                self.add_if_unknown(now, id);
            }
            self.set_presence(now, name, id);
        }
        self.forgive_flaps(now);
    }

    /// Makes a living member a voter, unless a record of its incarnation or of a later one is known and decides.
    fn add_if_unknown(&mut self, now: Nanos, id: &MemberId) {
        let is_known = self
            .voters
            .get(&id.name)
            .is_some_and(|voter| voter.record.id.incarnation >= id.incarnation);
        if !is_known {
            self.merge(now, VoterRecord::starting(id.clone()));
        }
    }

    fn set_presence(&mut self, now: Nanos, name: &str, id: Option<&MemberId>) {
        let Some(voter) = self.voters.get(name) else {
            return;
        };
        let is_alive = id.is_some_and(|id| *id == voter.record.id);
        if is_alive == voter.is_alive {
            return;
        }
        self.voters.update(name, |voter| {
            if !is_alive {
                voter.flaps = (voter.flaps + 1).min(MAX_FLAPS);
                voter.forget_statements();
            }
            voter.is_alive = is_alive;
            voter.status_since = now;
        });
    }

    /// Drops the eviction votes against voters that are alive, and forgives one flap of each voter that has stayed for
    /// much longer than it had to.
    fn forgive_flaps(&mut self, now: Nanos) {
        for name in self.voters.names_to_check() {
            let Some(voter) = self.voters.get(&name).filter(|voter| voter.is_alive) else {
                continue;
            };
            let wait = self.required_stay(voter);
            let stayed_for = now.saturating_sub(voter.status_since);
            let is_forgiven = voter.flaps > 0 && stayed_for > FORGIVENESS_WAITS * wait;
            if !is_forgiven && voter.eviction_votes.is_empty() {
                continue;
            }
            self.voters.update(&name, |voter| {
                voter.eviction_votes.clear();
                if is_forgiven {
                    voter.flaps -= 1;
                    voter.status_since = now - wait;
                }
            });
        }
    }

    pub(super) fn is_reached(&self, now: Nanos, voter: &Voter) -> bool {
        voter.is_alive && self.is_steady(now, voter) && !self.misses_us(now, voter)
    }

    pub(super) fn is_steady(&self, now: Nanos, voter: &Voter) -> bool {
        now.saturating_sub(voter.status_since) >= self.required_stay(voter)
    }

    /// Returns how long a voter must stay after its return before it counts: the recovery delay times 2^flaps - 1.
    fn required_stay(&self, voter: &Voter) -> Nanos {
        self.rules.recovery_delay * ((1 << voter.flaps) - 1)
    }

    pub(super) fn misses_us(&self, now: Nanos, voter: &Voter) -> bool {
        voter
            .misses_us_at
            .is_some_and(|at| !self.is_outdated(now, at))
    }

    /// Whether a statement that was received at this time is too old to count.
    pub(super) fn is_outdated(&self, now: Nanos, received_at: Nanos) -> bool {
        now.saturating_sub(received_at) >= self.rules.statement_lifetime
    }
}
