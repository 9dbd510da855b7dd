//! Which voters are there and count as reached.
//!
//! A voter counts as reached if it is alive by membership, does not say that it misses us, and is steady: each time that
//! it comes back it has to stay longer before it counts again.

use super::record::VoterRecord;
use super::voter::Voter;
use super::Quorum;
use crate::member::MemberId;
use crate::Nanos;
use std::collections::BTreeMap;

/// How often a voter may have come and gone and still make its wait longer.
const MAX_FLAPS: u32 = 6;
/// A flap is forgiven after this many times the wait that it causes.
const FORGIVENESS_WAITS: Nanos = 8;

impl Quorum {
    /// Notes who is alive, by membership: all of them.
    pub fn set_alive<'a>(&mut self, now: Nanos, alive: impl Iterator<Item = &'a MemberId>) {
        let alive: BTreeMap<&str, &MemberId> = alive.map(|id| (id.name.as_str(), id)).collect();
        for id in alive.values() {
            self.meet(now, id);
        }
        for name in self.voters.names() {
            self.set_presence(now, &name, alive.get(name.as_str()).copied());
        }
        self.forgive_flaps(now);
    }

    /// Notes what membership says of some names: which incarnation of it is alive, if any.
    pub fn update_alive<'a>(
        &mut self,
        now: Nanos,
        changed: impl Iterator<Item = (&'a str, Option<&'a MemberId>)>,
    ) {
        for (name, id) in changed {
            if let Some(id) = id {
                self.meet(now, id);
            }
            self.set_presence(now, name, id);
        }
        self.forgive_flaps(now);
    }

    /// One that is alive is a voter, unless its record says otherwise.
    fn meet(&mut self, now: Nanos, id: &MemberId) {
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
            voter.since = now;
        });
    }

    /// Drops the eviction votes against voters that are alive, and forgives a flap of those that have been steady for far
    /// longer than they had to be.
    fn forgive_flaps(&mut self, now: Nanos) {
        for name in self.voters.notable_names() {
            let Some(voter) = self.voters.get(&name).filter(|voter| voter.is_alive) else {
                continue;
            };
            let wait = self.steady_after(voter);
            let steady_for = now.saturating_sub(voter.since);
            let is_forgiven = voter.flaps > 0 && steady_for > FORGIVENESS_WAITS * wait;
            if !is_forgiven && voter.eviction_votes.is_empty() {
                continue;
            }
            self.voters.update(&name, |voter| {
                voter.eviction_votes.clear();
                if is_forgiven {
                    voter.flaps -= 1;
                    voter.since = now - wait;
                }
            });
        }
    }

    pub(super) fn is_reached(&self, now: Nanos, voter: &Voter) -> bool {
        voter.is_alive && self.is_steady(now, voter) && !self.misses_us(now, voter)
    }

    pub(super) fn is_steady(&self, now: Nanos, voter: &Voter) -> bool {
        now.saturating_sub(voter.since) >= self.steady_after(voter)
    }

    /// How long a voter must stay after it came back: twice as long with each flap, and one delay less.
    fn steady_after(&self, voter: &Voter) -> Nanos {
        self.rules.recovery_delay * ((1 << voter.flaps) - 1)
    }

    pub(super) fn misses_us(&self, now: Nanos, voter: &Voter) -> bool {
        voter
            .misses_us_at
            .is_some_and(|at| !self.is_outdated(now, at))
    }

    /// Whether something was said too long ago to count.
    pub(super) fn is_outdated(&self, now: Nanos, said_at: Nanos) -> bool {
        now.saturating_sub(said_at) >= self.rules.statement_lifetime
    }
}
