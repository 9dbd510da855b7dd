//! Eviction: a voter that more than half of all voters have missed for [`Rules::eviction_delay`] stops being a voter.
//!
//! The missing voters count among all voters, so that of two sides of a partition at most one can evict the other. The
//! drawback: if more than half of the voters have stopped permanently, no voter can be evicted, and the state stays at
//! [`QuorumState::Few`] until enough of them are started again.
//!
//! [`Rules::eviction_delay`]: super::Rules::eviction_delay
//! [`QuorumState::Few`]: super::QuorumState::Few

use super::record::VoterRecord;
use super::view::EvictionVote;
use super::voter::Voter;
use super::Quorum;
use crate::Nanos;

impl Quorum {
    /// Evicts the voters that we and enough other voters have missed for the eviction delay.
    pub(super) fn evict(&mut self, now: Nanos) {
        let evicted: Vec<VoterRecord> = self
            .voters_to_check()
            .filter(|voter| self.is_long_missed(now, voter))
            .filter(|voter| 2 * (1 + self.count_eviction_votes(now, voter)) > self.voter_count())
            .map(|voter| VoterRecord {
                is_voter: false,
                ..voter.record.clone()
            })
            .collect();
        for record in evicted {
            self.merge(now, record);
        }
    }

    /// Counts the recent votes of other sidecars that are voters themselves.
    fn count_eviction_votes(&self, now: Nanos, voter: &Voter) -> usize {
        let is_voter = |name: &str| {
            let voter = self.voters.get(name);
            voter.is_some_and(|voter| voter.record.is_voter)
        };
        voter
            .eviction_votes
            .iter()
            .filter(|(name, at)| is_voter(name) && !self.is_outdated(now, **at))
            .count()
    }

    pub(super) fn is_long_missed(&self, now: Nanos, voter: &Voter) -> bool {
        !voter.is_alive && now.saturating_sub(voter.status_since) >= self.rules.eviction_delay
    }

    /// Returns the eviction votes of this sidecar.
    pub(super) fn own_eviction_votes(&self, now: Nanos) -> impl Iterator<Item = EvictionVote> + '_ {
        self.voters_to_check()
            .filter(move |voter| self.is_long_missed(now, voter))
            .map(|voter| EvictionVote {
                name: voter.name().to_string(),
                incarnation: voter.record.id.incarnation,
                rejoins: voter.record.rejoins,
            })
    }

    /// Records another sidecar's vote, if it is against the incarnation and rejoin that are missing here as well.
    pub(super) fn receive_eviction_vote(&mut self, now: Nanos, from: &str, vote: &EvictionVote) {
        let vote_applies = |voter: &Voter| {
            !voter.is_alive
                && voter.record.id.incarnation == vote.incarnation
                && voter.record.rejoins == vote.rejoins
        };
        if self.voters.get(&vote.name).is_some_and(vote_applies) {
            self.voters.update(&vote.name, |voter| {
                voter.eviction_votes.insert(from.to_string(), now);
            });
        }
    }

    /// Removes former voters after the eviction delay, and drops votes and views that are too old to count.
    pub(super) fn expire(&mut self, now: Nanos) {
        for name in self.voters.names_to_check() {
            let Some(voter) = self.voters.get(&name) else {
                continue;
            };
            let is_expired = !voter.record.is_voter
                && now.saturating_sub(voter.status_since) >= self.rules.eviction_delay;
            let has_outdated_votes = voter
                .eviction_votes
                .values()
                .any(|at| self.is_outdated(now, *at));
            if is_expired {
                self.voters.remove(&name);
            } else if has_outdated_votes {
                self.drop_outdated_votes(now, &name);
            }
        }
        while let Some(name) = self
            .voters
            .oldest_view_if(|received_at| self.is_outdated(now, received_at))
        {
            self.voters.update(&name, |voter| {
                voter.received = None;
                voter.disagreement = None;
            });
        }
    }

    fn drop_outdated_votes(&mut self, now: Nanos, name: &str) {
        let lifetime = self.rules.statement_lifetime;
        self.voters.update(name, |voter| {
            voter
                .eviction_votes
                .retain(|_, at| now.saturating_sub(*at) < lifetime);
        });
    }
}
