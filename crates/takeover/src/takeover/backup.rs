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
    /// When the record was received. Its time spans are relative to this time.
    pub(super) as_of: Nanos,
    /// The latest term that this sidecar voted in; the term of the record before any vote.
    pub(super) term: u32,
    /// The owner that this sidecar voted for in that term; the owner of the record before any vote.
    pub(super) owner: MemberId,
    /// Sidecars to notify of the outcome.
    pub(super) waiters: Vec<MemberId>,
    /// The candidacy of this sidecar, if there is one.
    pub(super) candidacy: Option<Candidacy>,
    /// When this sidecar may next become a candidate.
    pub(super) next_candidacy_at: Nanos,
    /// When the record is dropped.
    pub(super) drop_at: Nanos,
}

/// A candidacy of this sidecar for the ownership of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Candidacy {
    pub(super) term: u32,
    /// The records of the backups that voted for this sidecar, by backup name.
    pub(super) votes: BTreeMap<String, Record>,
}

impl Takeover {
    /// Stores the newest record of an owner, unless a later term or an outcome known here rules it out.
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

    /// Returns whether the record may be stored. If this sidecar owns the request, it gives the request up to a record
    /// of a later term and refuses any other record.
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
        // Either the other backups agreed on a later term, or the client retried after a rejection by this sidecar.
        // Both end the term of this sidecar.
        match owned.record.outcome {
            Some(_) => drop(self.move_to_replicas(now, record.request)),
            None => self.lose_ownership(now, record.request),
        }
        true
    }

    /// Stores a record and returns true. Refuses a record of an earlier term, of a finished request or without room for
    /// it, and returns false.
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
        if replica.is_finished_for(&record) || !replica.accepts_owner(from, record.term) {
            let refusal = refusal(&replica.record, replica.term, &replica.owner, record.digest);
            self.send(from, refusal);
            return false;
        }
        self.update_replica(now, from, record);
        true
    }

    /// Accepts the owner in its term, and replaces the record if the owner's record is newer.
    fn update_replica(&mut self, now: Nanos, from: &MemberId, record: Record) {
        let drop_at = now
            .saturating_add(record.remaining)
            .saturating_add(self.rules.retention);
        let Some(replica) = self.replicas.get_mut(&record.request) else {
            return;
        };
        let previous_owner = std::mem::replace(&mut replica.owner, from.clone());
        replica.term = record.term;
        if !replica.record.confirmed {
            replica.next_candidacy_at = now + self.rules.lease;
        }
        if (record.term, record.version) > (replica.record.term, replica.record.version) {
            self.replica_bytes += record.byte_len();
            (replica.record, replica.as_of, replica.drop_at) = (record, now, drop_at);
        }
        if previous_owner != *from {
            self.begin_epoch_for(&previous_owner);
        }
    }

    /// Reports the outcome of a record, if it has one, to the sidecars and clients that wait for it.
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

    /// Drops the record of a claim that was abandoned before any attempt.
    pub(super) fn on_release(&mut self, from: &MemberId, request: RequestId, term: u32) {
        let is_released = |replica: &Replica| {
            replica.owner == *from && replica.term == term && replica.record.attempts.is_empty()
        };
        if self.replicas.get(&request).is_some_and(is_released) {
            self.replicas.remove(&request);
        }
    }

    /// Drops the records whose retention has ended.
    pub(super) fn drop_expired(&mut self, now: Nanos) {
        let expired: Vec<RequestId> = self
            .replicas
            .iter()
            .filter(|(_, replica)| now >= replica.drop_at)
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
        let drop_at = now
            .saturating_add(record.remaining)
            .saturating_add(self.rules.retention);
        let request = record.request;
        self.replica_bytes += record.byte_len();
        let next_candidacy_at = if record.confirmed {
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
                next_candidacy_at,
                drop_at,
            },
        );
    }

    /// Drops a record. Its owner may rely on the record, so dropping an unfinished one counts as a vote against the
    /// owner.
    pub(super) fn drop_replica(&mut self, request: RequestId) {
        if let Some(replica) = self
            .replicas
            .remove(&request)
            .filter(|replica| replica.record.outcome.is_none())
        {
            self.begin_epoch_for(&replica.owner);
        }
    }
}

impl Replica {
    /// Returns whether the outcome known here ends the request that this record still shows as unfinished. That happens
    /// when a client's retry reaches a backup, or when a takeover and the outcome cross in transit. A new claim in a
    /// later term is not ended: it may follow an outcome that allows a retry.
    fn is_finished_for(&self, record: &Record) -> bool {
        let is_retry = self.record.allows_retry_of(record.digest)
            && !record.confirmed
            && record.term > self.term;
        let same_request = self.record.digest == record.digest;
        self.record.outcome.is_some() && record.outcome.is_none() && same_request && !is_retry
    }

    /// Returns whether to accept this sidecar as the owner in this term.
    fn accepts_owner(&self, owner: &MemberId, term: u32) -> bool {
        term > self.term || (term == self.term && self.owner == *owner)
    }
}

/// Returns the refusal of another owner's record: the outcome, if it is known and the request is the same; otherwise
/// the owner.
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
