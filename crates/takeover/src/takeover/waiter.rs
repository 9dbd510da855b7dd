//! Clients that retried: waiting for the outcome of a request that another sidecar owns, and telling those that wait.

use super::{Effect, Takeover};
use crate::message::Message;
use crate::record::{Outcome, Record, RequestId};
use crate::Nanos;
use havenplank_membership::member::MemberId;
use std::collections::BTreeSet;

/// Sidecars that one backup tells of an outcome, at most; a further one has to ask again.
const MAX_WAITERS: usize = 8;

/// A request whose outcome is awaited here.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Waiting {
    pub(super) digest: u64,
    pub(super) backups: Vec<MemberId>,
    pub(super) unknown_at: BTreeSet<String>,
    /// When a backup last reported it as in flight.
    pub(super) last_known: Nanos,
    pub(super) retry_at: Nanos,
    pub(super) forget: Nanos,
}

impl Takeover {
    /// Joins a request that another sidecar owns.
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
            unknown_at: BTreeSet::new(),
            last_known: now,
            retry_at: now,
            forget: now.saturating_add(remaining),
        };
        self.waiting.insert(request, waiting);
        self.ask_again(now, request);
    }

    /// Asks again for each outcome that is due, and forgets the requests whose clients wait no longer.
    pub(super) fn retry_waiting(&mut self, now: Nanos) {
        let due: Vec<RequestId> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.retry_at <= now)
            .map(|(request, _)| *request)
            .collect();
        due.into_iter()
            .for_each(|request| self.ask_again(now, request));
        self.waiting.retain(|_, waiting| now < waiting.forget);
    }

    /// Asks the backups for the outcome, or gives up when none of them has known the request for a lease.
    fn ask_again(&mut self, now: Nanos, request: RequestId) {
        let retry_at = now + self.rules.lease / 3;
        let Some(waiting) = self.waiting.get_mut(&request) else {
            return;
        };
        if now > waiting.last_known + self.rules.lease {
            // Some backups may be lost and never answer.
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

    /// A sidecar waits for the outcome of a request that this one may know.
    pub(super) fn on_await_outcome(&mut self, from: &MemberId, request: RequestId, digest: u64) {
        if let Some(owned) = self.owned.get(&request) {
            let record = &owned.record;
            let report = progress(record, record.term, &record.owner, digest);
            return self.send(from, report);
        }
        let Some(replica) = self.replicas.get_mut(&request) else {
            return self.send(from, Message::UnknownRequest { request });
        };
        let report = progress(&replica.record, replica.term, &replica.owner, digest);
        let is_open = matches!(report, Message::Owned { .. });
        let has_room = replica.waiters.len() < MAX_WAITERS;
        if is_open && has_room && !replica.waiters.contains(from) {
            replica.waiters.push(from.clone());
        }
        self.send(from, report);
    }

    /// A backup reports the final outcome.
    pub(super) fn on_finished(
        &mut self,
        now: Nanos,
        request: RequestId,
        term: u32,
        outcome: Outcome,
    ) {
        self.finish_replica(request, term, &outcome);
        let owned = self.owned.get(&request);
        // Finished already: a claim comes too late, and an owner only tells its backups.
        let is_open = owned.is_some_and(|owned| owned.record.outcome.is_none());
        if is_open {
            self.finish_elsewhere(now, request, term, outcome);
        } else {
            self.finish_waiting(request, outcome);
        }
    }

    /// Notes the outcome in the record kept here. A rejection does not end a later term, whose request may be in flight.
    /// Our own candidacy is not, yet.
    fn finish_replica(&mut self, request: RequestId, term: u32, outcome: &Outcome) {
        let Some(replica) = self.replicas.get_mut(&request) else {
            return;
        };
        let is_our_candidacy =
            replica.owner == self.me && replica.candidacy.is_some() && term >= replica.record.term;
        if !outcome.allows_retry() || term == replica.term || is_our_candidacy {
            replica.record.outcome.get_or_insert(outcome.clone());
            replica.candidacy = None;
        }
    }

    /// Ends an open request here that another sidecar has finished. A claim that follows an allowed retry goes on in a
    /// later term than the rejected one.
    fn finish_elsewhere(&mut self, now: Nanos, request: RequestId, term: u32, outcome: Outcome) {
        let Some(owned) = self.owned.get_mut(&request) else {
            return;
        };
        let is_claim = owned.claim_until.is_some();
        if outcome.allows_retry() && term < owned.record.term {
            return;
        }
        if outcome.allows_retry() && is_claim {
            owned.record.term = term.saturating_add(1);
            owned.acks.clear();
            owned.refused.clear();
            return self.replicate(now, request);
        }
        if is_claim {
            self.owned.remove(&request);
        } else {
            self.finish(now, request, outcome.clone());
        }
        self.effects.push_back(Effect::Finished(request, outcome));
    }

    /// Passes the outcome to clients that wait for it here.
    pub(super) fn finish_waiting(&mut self, request: RequestId, outcome: Outcome) {
        if self.waiting.remove(&request).is_some() {
            self.effects.push_back(Effect::Finished(request, outcome));
        }
    }

    /// A backup does not know the request that is waited for.
    pub(super) fn on_unknown_request(&mut self, from: &MemberId, request: RequestId) {
        let Some(waiting) = self.waiting.get_mut(&request) else {
            return;
        };
        waiting.unknown_at.insert(from.name.clone());
        if waiting
            .backups
            .iter()
            .all(|backup| *backup == self.me || waiting.unknown_at.contains(&backup.name))
        {
            self.waiting.remove(&request);
            self.effects.push_back(Effect::Unknown(request));
        }
    }
}

/// Returns the answer to a waiting sidecar, the outcome, if it is known and the request is the same, else the owner.
fn progress(record: &Record, term: u32, owner: &MemberId, digest: u64) -> Message {
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
