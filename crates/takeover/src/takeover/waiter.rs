//! Handles clients that retried: waits for the outcome of a request that another sidecar owns, and reports outcomes to
//! the sidecars that wait for them.

use super::{Effect, Takeover};
use crate::message::Message;
use crate::record::{Outcome, Record, RequestId};
use crate::Nanos;
use havenplank_membership::member::MemberId;
use std::collections::BTreeSet;

/// The maximum number of sidecars that one backup notifies of an outcome. Further sidecars have to poll again.
const MAX_WAITERS: usize = 8;

/// A request whose outcome is awaited here.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Waiting {
    pub(super) digest: u64,
    pub(super) backups: Vec<MemberId>,
    /// The names of the backups that do not know the request.
    pub(super) unknown_to: BTreeSet<String>,
    /// When a backup last reported the request as in flight.
    pub(super) last_reported: Nanos,
    /// When the backups are polled again.
    pub(super) retry_at: Nanos,
    /// The client's deadline, at which the entry is removed.
    pub(super) drop_at: Nanos,
}

impl Takeover {
    /// Joins a request that another sidecar owns, and waits for its outcome.
    pub(super) fn join(
        &mut self,
        now: Nanos,
        request: RequestId,
        digest: u64,
        remaining: Nanos,
        backups: Vec<MemberId>,
    ) {
        self.effects.push_back(Effect::Joined(request));
        self.await_outcome(now, request, digest, remaining, backups);
    }

    /// Waits for the outcome until the client's deadline.
    pub(super) fn await_outcome(
        &mut self,
        now: Nanos,
        request: RequestId,
        digest: u64,
        remaining: Nanos,
        backups: Vec<MemberId>,
    ) {
        let waiting = Waiting {
            digest,
            backups,
            unknown_to: BTreeSet::new(),
            last_reported: now,
            retry_at: now,
            drop_at: now.saturating_add(remaining),
        };
        self.waiting.insert(request, waiting);
        self.poll_backups(now, request);
    }

    /// Polls the backups for each outcome whose retry is due, and removes the requests whose clients no longer wait.
    pub(super) fn retry_waiting(&mut self, now: Nanos) {
        let due: Vec<RequestId> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.retry_at <= now)
            .map(|(request, _)| *request)
            .collect();
        due.into_iter()
            .for_each(|request| self.poll_backups(now, request));
        self.waiting.retain(|_, waiting| now < waiting.drop_at);
    }

    /// Polls the backups for the outcome. Reports the request as unknown if no backup has reported it for one lease
    /// duration.
    fn poll_backups(&mut self, now: Nanos, request: RequestId) {
        let retry_at = now + self.rules.lease / 3;
        let Some(waiting) = self.waiting.get_mut(&request) else {
            return;
        };
        if now > waiting.last_reported + self.rules.lease {
            // Waiting for a reply from every backup might never end: some backups may be lost and never answer.
            self.waiting.remove(&request);
            return self.effects.push_back(Effect::Unknown(request));
        }
        waiting.retry_at = retry_at;
        let digest = waiting.digest;
        let backups: Vec<MemberId> = waiting
            .backups
            .iter()
            .filter(|backup| **backup != self.me)
            .cloned()
            .collect();
        for backup in backups {
            self.send(&backup, Message::AwaitOutcome { request, digest });
        }
    }

    /// Replies to a sidecar that waits for the outcome of a request, and remembers that sidecar if the outcome is not
    /// known yet.
    pub(super) fn on_await_outcome(&mut self, from: &MemberId, request: RequestId, digest: u64) {
        if let Some(owned) = self.owned.get(&request) {
            let record = &owned.record;
            let report = outcome_or_owner(record, record.term, &record.owner, digest);
            return self.send(from, report);
        }
        let Some(replica) = self.replicas.get_mut(&request) else {
            return self.send(from, Message::UnknownRequest { request });
        };
        let report = outcome_or_owner(&replica.record, replica.term, &replica.owner, digest);
        let is_open = matches!(report, Message::Owned { .. });
        let has_room = replica.waiters.len() < MAX_WAITERS;
        if is_open && has_room && !replica.waiters.contains(from) {
            replica.waiters.push(from.clone());
        }
        self.send(from, report);
    }

    /// Handles the report of a final outcome.
    pub(super) fn on_finished(
        &mut self,
        now: Nanos,
        request: RequestId,
        term: u32,
        outcome: Outcome,
    ) {
        self.finish_replica(request, term, &outcome);
        let owned = self.owned.get(&request);
        // The outcome ends a request that is still unfinished here: either its claim came too late, or this sidecar
        // owns it and only has to pass the outcome to its backups.
        let is_open = owned.is_some_and(|owned| owned.record.outcome.is_none());
        if is_open {
            self.apply_reported_outcome(now, request, term, outcome);
        } else {
            self.finish_waiting(request, outcome);
        }
    }

    /// Stores the outcome in the record kept here. An outcome that allows a retry does not end a later term, because
    /// the request of that term may be in flight. A candidacy of this sidecar is the exception: its request is not in
    /// flight yet.
    fn finish_replica(&mut self, request: RequestId, term: u32, outcome: &Outcome) {
        let Some(replica) = self.replicas.get_mut(&request) else {
            return;
        };
        let is_own_candidacy =
            replica.owner == self.me && replica.candidacy.is_some() && term >= replica.record.term;
        if !outcome.allows_retry() || term == replica.term || is_own_candidacy {
            replica.record.outcome.get_or_insert(outcome.clone());
            replica.candidacy = None;
        }
    }

    /// Ends an unfinished request here that another sidecar has finished. After an outcome that allows a retry, a claim
    /// continues in a later term than the one with that outcome.
    fn apply_reported_outcome(
        &mut self,
        now: Nanos,
        request: RequestId,
        term: u32,
        outcome: Outcome,
    ) {
        let Some(owned) = self.owned.get_mut(&request) else {
            return;
        };
        let is_claim = owned.claim_deadline.is_some();
        if outcome.allows_retry() && term < owned.record.term {
            return;
        }
        if outcome.allows_retry() && is_claim {
            owned.record.term = term.saturating_add(1);
            owned.acks.clear();
            owned.refused_by.clear();
            return self.replicate(now, request);
        }
        if is_claim {
            self.owned.remove(&request);
        } else {
            self.finish(now, request, outcome.clone());
        }
        self.effects.push_back(Effect::Finished(request, outcome));
    }

    /// Passes the outcome to the clients that wait for it here.
    pub(super) fn finish_waiting(&mut self, request: RequestId, outcome: Outcome) {
        if self.waiting.remove(&request).is_some() {
            self.effects.push_back(Effect::Finished(request, outcome));
        }
    }

    /// Handles the report of a backup that does not know an awaited request. Reports the request as unknown once no
    /// backup knows it.
    pub(super) fn on_unknown_request(&mut self, from: &MemberId, request: RequestId) {
        let Some(waiting) = self.waiting.get_mut(&request) else {
            return;
        };
        waiting.unknown_to.insert(from.name.clone());
        if waiting
            .backups
            .iter()
            .all(|backup| *backup == self.me || waiting.unknown_to.contains(&backup.name))
        {
            self.waiting.remove(&request);
            self.effects.push_back(Effect::Unknown(request));
        }
    }
}

/// Returns the reply to a waiting sidecar: the outcome, if it is known and the request is the same; otherwise the
/// owner.
fn outcome_or_owner(record: &Record, term: u32, owner: &MemberId, digest: u64) -> Message {
    let request = record.request;
    match record.outcome.clone().filter(|_| record.digest == digest) {
        Some(outcome) => Message::Finished {
            request,
            term,
            outcome,
        },
        None => Message::Owned {
            request,
            term,
            owner: owner.clone(),
            key_reused: false,
        },
    }
}
