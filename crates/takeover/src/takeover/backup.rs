//! The backup's side: records kept for other sidecars, the leases granted to their owners, and the owners' epochs.

use super::Takeover;
use crate::message::Message;
use crate::record::{Outcome, Record, RequestId};
use crate::Nanos;
use havenplank_membership::member::MemberId;
use std::collections::BTreeMap;

/// The record of a request, kept for its owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Replica {
    pub(super) record: Record,
    /// When the record was received: its time spans count from then.
    pub(super) as_of: Nanos,
    /// The latest term that this sidecar voted in, and for whom; the record's own term and owner before any vote.
    pub(super) term: u32,
    pub(super) owner: MemberId,
    /// Sidecars to tell of the outcome.
    pub(super) waiters: Vec<MemberId>,
    /// This sidecar's own candidacy, if it stands.
    pub(super) candidacy: Option<Candidacy>,
    /// When this sidecar may next stand as a candidate.
    pub(super) try_at: Nanos,
    /// When the record is dropped.
    pub(super) forget: Nanos,
}

/// A candidacy of this sidecar for a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Candidacy {
    pub(super) term: u32,
    /// By name, the records of the backups that voted for it.
    pub(super) votes: BTreeMap<String, Record>,
}

impl Takeover {
    /// Stores an owner's newest record, unless something that is known here stands against it.
    pub(super) fn on_store(
        &mut self,
        now: Nanos,
        from: &MemberId,
        mut record: Record,
        sent_at: Nanos,
    ) {
        let (request, term, version) = (record.request, record.term, record.version);
        if let Some(Outcome::Served(answer)) = record.outcome.as_mut().filter(|_| self.is_full()) {
            answer.clear();
        }
        if !self.yield_to_record(now, from, &record) || !self.accept_record(now, from, record) {
            return;
        }
        let epoch = self.grant_lease(now, from);
        self.send(
            from,
            Message::Stored {
                request,
                term,
                version,
                sent_at,
                epoch,
            },
        );
        self.report_outcome(request, term);
    }

    /// Gives up a request that is owned here to a record of a later term. Refuses any other record and returns false.
    fn yield_to_record(&mut self, now: Nanos, from: &MemberId, record: &Record) -> bool {
        let Some(owned) = self.owned.get(&record.request) else {
            return true;
        };
        if record.term <= owned.record.term {
            let refusal = refusal(
                &owned.record,
                owned.record.term,
                &owned.record.owner,
                record.digest,
            );
            self.send(from, refusal);
            return false;
        }
        // A later term was agreed on without this sidecar or follows its rejection: its own term is over.
        match owned.record.outcome {
            Some(_) => drop(self.retire(now, record.request)),
            None => self.lose(now, record.request),
        }
        true
    }

    /// Keeps a record. Refuses one of an earlier term or of a finished request, and one without room for it, and
    /// returns false.
    fn accept_record(&mut self, now: Nanos, from: &MemberId, record: Record) -> bool {
        let request = record.request;
        let Some(replica) = self.replicas.get(&request) else {
            if self.is_full() {
                self.rejected_records += 1;
                self.send(from, Message::OutOfCapacity { request });
                return false;
            }
            let term = record.term;
            self.insert_replica(now, record, term, from.clone());
            return true;
        };
        if replica.is_finished_for(&record) || !replica.follows(from, record.term) {
            let refusal = refusal(&replica.record, replica.term, &replica.owner, record.digest);
            self.send(from, refusal);
            return false;
        }
        self.update_replica(now, from, record);
        true
    }

    /// Follows an owner in its term, and replaces the record if the owner's is newer.
    fn update_replica(&mut self, now: Nanos, from: &MemberId, record: Record) {
        let forget = now
            .saturating_add(record.remaining)
            .saturating_add(self.rules.retention);
        let Some(replica) = self.replicas.get_mut(&record.request) else {
            return;
        };
        let previous = std::mem::replace(&mut replica.owner, from.clone());
        replica.term = record.term;
        if !replica.record.confirmed {
            replica.try_at = now + self.rules.lease;
        }
        if (record.term, record.version) > (replica.record.term, replica.record.version) {
            self.replica_bytes += record.byte_len();
            (replica.record, replica.as_of, replica.forget) = (record, now, forget);
        }
        if previous != *from {
            self.withdraw_from(&previous);
        }
    }

    /// Tells those that wait for the outcome of a record, if it has one.
    fn report_outcome(&mut self, request: RequestId, term: u32) {
        let Some(replica) = self.replicas.get_mut(&request) else {
            return;
        };
        let Some(outcome) = replica.record.outcome.clone() else {
            return;
        };
        for waiter in std::mem::take(&mut replica.waiters) {
            self.send(
                &waiter,
                Message::Finished {
                    request,
                    term,
                    outcome: outcome.clone(),
                },
            );
        }
        self.finish_waiting(request, outcome);
    }

    /// Drops the record of a claim that was given up before any attempt.
    pub(super) fn on_release(&mut self, from: &MemberId, request: RequestId, term: u32) {
        let is_released = |replica: &Replica| {
            replica.owner == *from && replica.term == term && replica.record.attempts.is_empty()
        };
        if self.replicas.get(&request).is_some_and(is_released) {
            self.replicas.remove(&request);
        }
    }

    /// Drops the records whose retention is over.
    pub(super) fn drop_expired(&mut self, now: Nanos) {
        let expired: Vec<RequestId> = self
            .replicas
            .iter()
            .filter(|(_, replica)| now >= replica.forget)
            .map(|(request, _)| *request)
            .collect();
        expired
            .into_iter()
            .for_each(|request| self.drop_replica(request));
    }

    fn is_full(&self) -> bool {
        self.replicas.len() >= self.rules.max_replicas
            || self.replica_bytes >= self.rules.max_replica_bytes
    }

    pub(super) fn insert_replica(
        &mut self,
        now: Nanos,
        record: Record,
        term: u32,
        owner: MemberId,
    ) {
        let forget = now
            .saturating_add(record.remaining)
            .saturating_add(self.rules.retention);
        let request = record.request;
        self.replica_bytes += record.byte_len();
        let try_at = if record.confirmed {
            now
        } else {
            now + self.rules.lease
        };
        self.replicas.insert(
            request,
            Replica {
                record,
                as_of: now,
                term,
                owner,
                waiters: Vec::new(),
                candidacy: None,
                try_at,
                forget,
            },
        );
    }

    /// Drops a record. Its owner may rely on it, so this counts as a vote against the owner.
    pub(super) fn drop_replica(&mut self, request: RequestId) {
        if let Some(replica) = self
            .replicas
            .remove(&request)
            .filter(|replica| replica.record.outcome.is_none())
        {
            self.withdraw_from(&replica.owner);
        }
    }
}

impl Replica {
    /// Whether the outcome known here ends the request that this record still shows as open: a retry that reached a
    /// backup, or a takeover that crossed the outcome. A new claim in a later term may follow an allowed retry.
    fn is_finished_for(&self, record: &Record) -> bool {
        let is_retry = self.record.allows_retry_of(record.digest)
            && !record.confirmed
            && record.term > self.term;
        let same_request = self.record.digest == record.digest;
        self.record.outcome.is_some() && record.outcome.is_none() && same_request && !is_retry
    }

    /// Whether an owner in this term is the one to follow.
    fn follows(&self, owner: &MemberId, term: u32) -> bool {
        term > self.term || (term == self.term && self.owner == *owner)
    }
}

/// The refusal of another owner's record: the outcome, if it is known and the request is the same, else the owner.
pub(super) fn refusal(record: &Record, term: u32, owner: &MemberId, digest: u64) -> Message {
    let request = record.request;
    let key_reused = record.digest != digest;
    match record.outcome.clone().filter(|_| !key_reused) {
        Some(outcome) => Message::Finished {
            request,
            term,
            outcome,
        },
        None => Message::Owned {
            request,
            term,
            owner: owner.clone(),
            key_reused,
        },
    }
}
