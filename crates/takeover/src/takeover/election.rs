//! Elections of a new owner once a granted lease has expired: candidacy, votes and their count.

use super::backup::{refusal, Candidacy, Replica};
use super::owner::OwnedRequest;
use super::{Effect, Takeover};
use crate::message::Message;
use crate::record::{AttemptState, Record, RequestId};
use crate::Nanos;
use havenplank_membership::member::MemberId;
use std::collections::BTreeMap;

/// Divides the lease: the quotient is the longest random delay before a candidacy and the shortest pause between two;
/// the longest pause is a lease.
const JITTER_DIVISOR: Nanos = 4;

impl Takeover {
    /// When this backup may next stand as a candidate for a request.
    pub(super) fn election_due(&self, replica: &Replica) -> Nanos {
        if replica.record.outcome.is_some() || !replica.record.backups.contains(&self.me) {
            return Nanos::MAX;
        }
        // An unconfirmed claim may have been given up by an owner that lives and renews its lease for other requests.
        let promised = self.granted.get(&replica.owner).copied().unwrap_or(0);
        if replica.record.confirmed {
            replica.try_at.max(promised)
        } else {
            replica.try_at
        }
    }

    /// Prepares a candidacy for each request whose owner's lease has expired.
    pub(super) fn hold_elections(&mut self, now: Nanos) {
        let due: Vec<RequestId> = self
            .replicas
            .iter()
            .filter(|(_, replica)| self.election_due(replica) <= now)
            .map(|(request, _)| *request)
            .collect();
        due.into_iter()
            .for_each(|request| self.prepare_candidacy(now, request));
    }

    /// Draws the random delay before a candidacy or, once that is over, asks for votes. Drops a replica that was never
    /// confirmed.
    fn prepare_candidacy(&mut self, now: Nanos, request: RequestId) {
        let lease = self.rules.lease;
        let pause = self.random.rand_range(lease / JITTER_DIVISOR..lease + 1);
        let Some(replica) = self.replicas.get_mut(&request) else {
            return;
        };
        if !replica.record.confirmed {
            // No attempt of it had to be known here, and another claim may follow.
            return self.drop_replica(request);
        }
        // All leases expire at once, and two simultaneous candidates both lose.
        if replica.candidacy.is_none() {
            let jitter = self.random.rand_range(0..lease / JITTER_DIVISOR + 1);
            replica.candidacy = Some(Candidacy {
                term: replica.term,
                votes: BTreeMap::new(),
            });
            replica.try_at = now + jitter;
            return;
        }
        replica.try_at = now + pause;
        self.request_votes(now, request);
    }

    /// Votes for ourselves in the next term, and asks the other backups for their votes.
    fn request_votes(&mut self, now: Nanos, request: RequestId) {
        let Some(replica) = self.replicas.get_mut(&request) else {
            return;
        };
        let term = replica.term.saturating_add(1);
        replica.term = term;
        let previous = std::mem::replace(&mut replica.owner, self.me.clone());
        let record = replica.record.advanced_by(now - replica.as_of);
        replica.candidacy = Some(Candidacy {
            term,
            votes: BTreeMap::from([(self.me.name.clone(), record.clone())]),
        });
        self.withdraw_from(&previous);
        for backup in record.backups.iter().filter(|backup| **backup != self.me) {
            self.effects.push_back(Effect::Send {
                to: backup.clone(),
                message: Message::RequestVote {
                    request,
                    term,
                    sent_at: now,
                },
            });
        }
        self.count_votes(now, request);
    }

    /// Another backup asks for a vote.
    pub(super) fn on_request_vote(
        &mut self,
        now: Nanos,
        from: &MemberId,
        request: RequestId,
        term: u32,
        sent_at: Nanos,
    ) {
        let backs_up =
            |record: &Record| record.backups.contains(from) && record.backups.contains(&self.me);
        let known = self.owned.get(&request).map(|owned| &owned.record);
        let known = known.or(self.replicas.get(&request).map(|replica| &replica.record));
        // An unknown request may have been known and forgotten. If such backups voted, a majority could form that does
        // not know the last attempt.
        if !known.is_some_and(backs_up) {
            return;
        }
        if self.yield_to_candidate(now, from, request, term) {
            self.vote_for(now, from, request, term, sent_at);
        }
    }

    /// Gives up a request that is owned here, unless this sidecar may still act on it or the candidate's term is not later.
    fn yield_to_candidate(
        &mut self,
        now: Nanos,
        from: &MemberId,
        request: RequestId,
        term: u32,
    ) -> bool {
        let Some(owned) = self.owned.get(&request) else {
            return true;
        };
        let record = &owned.record;
        if term <= record.term || record.outcome.is_some() {
            let refusal = refusal(record, record.term, &record.owner, record.digest);
            self.send(from, refusal);
            return false;
        }
        if self.may_send(now, request) {
            return false;
        }
        self.retire(now, request);
        self.effects.push_back(Effect::OwnershipLost(request));
        true
    }

    /// Votes for a candidate of a later term, unless the owner's lease still stands.
    fn vote_for(
        &mut self,
        now: Nanos,
        from: &MemberId,
        request: RequestId,
        term: u32,
        sent_at: Nanos,
    ) {
        let Some(replica) = self.replicas.get_mut(&request) else {
            return;
        };
        if let Some(outcome) = replica.record.outcome.clone() {
            let term = replica.term;
            return self.send(
                from,
                Message::Finished {
                    request,
                    term,
                    outcome,
                },
            );
        }
        let is_granted = self
            .granted
            .get(&replica.owner)
            .is_some_and(|until| now < *until);
        if term <= replica.term || (is_granted && replica.owner != *from) {
            return;
        }
        let previous = std::mem::replace(&mut replica.owner, from.clone());
        replica.term = term;
        replica.candidacy = None;
        let record = replica.record.advanced_by(now - replica.as_of);
        self.withdraw_from(&previous);
        let epoch = self.grant_lease(now, from);
        self.send(
            from,
            Message::VoteGranted {
                record,
                term,
                sent_at,
                epoch,
            },
        );
    }

    /// Another backup votes for this candidate.
    pub(super) fn on_vote_granted(
        &mut self,
        now: Nanos,
        from: &MemberId,
        record: Record,
        term: u32,
        (sent_at, epoch): (Nanos, u32),
    ) {
        let request = record.request;
        let Some(replica) = self
            .replicas
            .get_mut(&request)
            .filter(|replica| replica.term == term && replica.owner == self.me)
        else {
            return;
        };
        if !replica.record.backups.contains(from) {
            return;
        }
        let candidacy = replica.candidacy.as_mut();
        if let Some(candidacy) = candidacy.filter(|candidacy| candidacy.term == term) {
            candidacy.votes.insert(from.name.clone(), record);
        }
        self.extend_lease(now, from, sent_at, epoch);
        self.count_votes(now, request);
    }

    /// Takes the request over once a majority has voted for this candidate.
    fn count_votes(&mut self, now: Nanos, request: RequestId) {
        let Some(replica) = self.replicas.get(&request) else {
            return;
        };
        let Some(candidacy) = replica.candidacy.as_ref() else {
            return;
        };
        if candidacy.votes.len() < replica.record.majority() {
            return;
        }
        let term = candidacy.term;
        let newest = candidacy
            .votes
            .values()
            .max_by_key(|record| (record.term, record.version));
        let Some(mut record) = newest.cloned() else {
            return;
        };
        self.replicas.remove(&request);
        (record.term, record.version, record.owner) =
            (term, record.version.saturating_add(1), self.me.clone());
        // An attempt that was in flight when the owner was lost may have run.
        for attempt in &mut record.attempts {
            if attempt.state == AttemptState::InFlight {
                attempt.state = AttemptState::MayHaveRun;
            }
        }
        self.taken_over += 1;
        self.waiting.remove(&request);
        self.effects.push_back(Effect::TakenOver(record.clone()));
        // Sidecars that wait for the outcome here ask again by themselves.
        self.own(now, OwnedRequest::new(now, record));
    }
}
