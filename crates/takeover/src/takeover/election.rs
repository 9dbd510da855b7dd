//! Elections of a new owner once a granted lease has expired: candidacies, votes and the counting of votes.

use super::backup::{refusal, Candidacy, Replica};
use super::owner::OwnedRequest;
use super::{Effect, Takeover};
use crate::message::Message;
use crate::record::{AttemptState, Record, RequestId};
use crate::Nanos;
use havenplank_membership::member::MemberId;
use std::collections::BTreeMap;

/// Divides the lease duration. The quotient is both the longest random delay before a candidacy and the shortest pause
/// between two candidacies. The longest pause is one lease duration.
const JITTER_DIVISOR: Nanos = 4;

impl Takeover {
    /// Returns when this backup may next become a candidate for a request.
    pub(super) fn election_due(&self, replica: &Replica) -> Nanos {
        if replica.record.outcome.is_some() || !replica.record.backups.contains(&self.me) {
            return Nanos::MAX;
        }
        // A running owner may have abandoned an unconfirmed claim and still renew its lease for other requests, so the
        // lease is ignored for an unconfirmed record.
        let granted_until = self.granted_until.get(&replica.owner).copied().unwrap_or(0);
        if replica.record.confirmed {
            replica.next_candidacy_at.max(granted_until)
        } else {
            replica.next_candidacy_at
        }
    }

    /// Prepares a candidacy for each request whose owner's lease has expired.
    pub(super) fn run_due_elections(&mut self, now: Nanos) {
        let due: Vec<RequestId> = self
            .replicas
            .iter()
            .filter(|(_, replica)| self.election_due(replica) <= now)
            .map(|(request, _)| *request)
            .collect();
        due.into_iter()
            .for_each(|request| self.prepare_candidacy(now, request));
    }

    /// Draws the random delay before a candidacy or, after that delay, asks for votes. Drops a replica that was never
    /// confirmed.
    fn prepare_candidacy(&mut self, now: Nanos, request: RequestId) {
        let lease = self.rules.lease;
        let pause = self.random.rand_range(lease / JITTER_DIVISOR..lease + 1);
        let Some(replica) = self.replicas.get_mut(&request) else {
            return;
        };
        if !replica.record.confirmed {
            // An unconfirmed record lists no attempt that this backup must know of, and another claim may follow.
            return self.drop_replica(request);
        }
        // A random delay is needed because all leases expire at once, and two simultaneous candidates both lose.
        if replica.candidacy.is_none() {
            let jitter = self.random.rand_range(0..lease / JITTER_DIVISOR + 1);
            replica.candidacy = Some(Candidacy {
                term: replica.term,
                votes: BTreeMap::new(),
            });
            replica.next_candidacy_at = now + jitter;
            return;
        }
        replica.next_candidacy_at = now + pause;
        self.request_votes(now, request);
    }

    /// Votes for this sidecar in the next term, and asks the other backups for their votes.
    fn request_votes(&mut self, now: Nanos, request: RequestId) {
        let Some(replica) = self.replicas.get_mut(&request) else {
            return;
        };
        let term = replica.term.saturating_add(1);
        replica.term = term;
        let previous_owner = std::mem::replace(&mut replica.owner, self.me.clone());
        let record = replica.record.advanced_by(now - replica.as_of);
        replica.candidacy = Some(Candidacy {
            term,
            votes: BTreeMap::from([(self.me.name.clone(), record.clone())]),
        });
        self.begin_epoch_for(&previous_owner);
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

    /// Handles the request of another backup for a vote.
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
        // A request that is unknown here may have been known and dropped. If such backups voted, a majority could form
        // that does not know the last attempt.
        if !known.is_some_and(backs_up) {
            return;
        }
        if self.yield_to_candidate(now, from, request, term) {
            self.vote_for(now, from, request, term, sent_at);
        }
    }

    /// Returns whether this sidecar may vote for the candidate. If this sidecar owns the request, it gives the request
    /// up, unless it may still act on the request or the candidate's term is not later.
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
        self.move_to_replicas(now, request);
        self.effects.push_back(Effect::OwnershipLost(request));
        true
    }

    /// Votes for a candidate of a later term, unless the owner's lease is still valid.
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
            .granted_until
            .get(&replica.owner)
            .is_some_and(|expires_at| now < *expires_at);
        if term <= replica.term || (is_granted && replica.owner != *from) {
            return;
        }
        let previous_owner = std::mem::replace(&mut replica.owner, from.clone());
        replica.term = term;
        replica.candidacy = None;
        let record = replica.record.advanced_by(now - replica.as_of);
        self.begin_epoch_for(&previous_owner);
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

    /// Handles a vote for this sidecar.
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

    /// Takes over the request once a majority has voted for this sidecar.
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
        // The list of sidecars that wait for the outcome is not kept: they poll again on their own.
        self.add_owned(now, OwnedRequest::new(now, record));
    }
}
