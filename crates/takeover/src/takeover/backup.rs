//! The backup's side: records kept for other sidecars, the leases granted to their owners, and the owners' epochs.

use super::Takeover;
use crate::record::{Message, Outcome, Record, RequestId};
use crate::Ns;
use havenplank_fellows::wire::Life;
use std::collections::BTreeMap;

/// The record of a request, kept for its owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Replica {
    pub(super) record: Record,
    pub(super) as_of: Ns,
    /// The latest term that this sidecar voted in, and for whom; the record's own term and owner before any vote.
    pub(super) term: u32,
    pub(super) owner: Life,
    pub(super) waiters: Vec<Life>,
    /// This sidecar's own candidacy: its term, and the records of the backups that voted for it.
    pub(super) votes: Option<(u32, BTreeMap<String, Record>)>,
    pub(super) try_at: Ns,
    pub(super) forget: Ns,
}

impl Takeover {
    /// Grants an owner another lease, and returns its epoch.
    pub(super) fn grant_lease(&mut self, now: Ns, owner: &Life) -> u32 {
        let until = now + self.rules.lease;
        let promised = self.granted.entry(owner.clone()).or_default();
        *promised = (*promised).max(until);
        self.epoch(owner)
    }

    fn epoch(&mut self, owner: &Life) -> u32 {
        *self.epochs.entry(owner.clone()).or_insert(self.withdrawals)
    }

    /// Stores an owner's newest record.
    pub(super) fn on_store(&mut self, now: Ns, from: &Life, mut record: Record, stamp: Ns) {
        let (request, term, version) = (record.request, record.term, record.version);
        if let Some(Outcome::Served(answer)) = record.outcome.as_mut().filter(|_| self.is_full()) {
            answer.clear();
        }
        if let Some(owned) = self.owned.get(&request) {
            let (by, own) = (owned.record.owner.clone(), owned.record.term);
            let (differs, outcome) = (owned.record.digest != record.digest, owned.record.outcome.clone());
            if term <= own {
                return match outcome.filter(|_| !differs) {
                    Some(outcome) => self.send(from, Message::Finished { request, term: own, outcome }),
                    None => self.send(from, Message::Owned { request, term: own, by, differs }),
                };
            }
            // A later term was agreed on without this sidecar or follows its rejection: its own term is over.
            match outcome {
                Some(_) => drop(self.retire(now, request)),
                None => self.lose(now, request),
            }
        }
        let forget = now.saturating_add(record.remaining).saturating_add(self.rules.retention);
        let full = self.is_full();
        match self.replicas.get_mut(&request) {
            Some(Replica { record: Record { outcome: Some(outcome), digest, .. }, term: own, .. })
                if record.outcome.is_none()
                    && record.digest == *digest
                    && !(outcome.reopens() && !record.confirmed && term > *own) =>
            {
                // A retry reached a backup that knows the outcome, or a takeover crossed the outcome.
                let (outcome, term) = (outcome.clone(), *own);
                return self.send(from, Message::Finished { request, term, outcome });
            }
            Some(replica) if term > replica.term || (term == replica.term && replica.owner == *from) => {
                let old = std::mem::replace(&mut replica.owner, from.clone());
                replica.term = term;
                if !replica.record.confirmed {
                    replica.try_at = now + self.rules.lease;
                }
                let newer = (term, version) > (replica.record.term, replica.record.version);
                if newer {
                    self.replica_bytes += record.weight();
                    (replica.record, replica.as_of, replica.forget) = (record, now, forget);
                }
                if old != *from {
                    self.withdraw_from(&old);
                }
            }
            Some(replica) => {
                let (own, by) = (replica.term, replica.owner.clone());
                let (differs, outcome) =
                    (replica.record.digest != record.digest, replica.record.outcome.clone());
                return match outcome.filter(|_| !differs) {
                    Some(outcome) => self.send(from, Message::Finished { request, term: own, outcome }),
                    None => self.send(from, Message::Owned { request, term: own, by, differs }),
                };
            }
            None if full => {
                self.rejected_records += 1;
                return self.send(from, Message::Full { request });
            }
            None => {
                self.insert_replica(now, record, term, from.clone());
            }
        }
        let epoch = self.grant_lease(now, from);
        self.send(from, Message::Stored { request, term, version, stamp, epoch });
        if let Some(replica) =
            self.replicas.get_mut(&request).filter(|replica| replica.record.outcome.is_some())
        {
            let (waiters, outcome) = (std::mem::take(&mut replica.waiters), replica.record.outcome.clone());
            for waiter in waiters {
                let outcome = outcome.clone().unwrap_or(Outcome::Failed { retryable: false });
                self.send(&waiter, Message::Finished { request, term, outcome });
            }
            self.finish_waiting(request, outcome);
        }
    }

    fn is_full(&self) -> bool {
        self.replicas.len() >= self.rules.max_replicas || self.replica_bytes >= self.rules.max_replica_bytes
    }

    pub(super) fn insert_replica(&mut self, now: Ns, record: Record, term: u32, owner: Life) {
        let forget = now.saturating_add(record.remaining).saturating_add(self.rules.retention);
        let request = record.request;
        self.replica_bytes += record.weight();
        let (waiters, votes) = (Vec::new(), None);
        let try_at = if record.confirmed { now } else { now + self.rules.lease };
        self.replicas
            .insert(request, Replica { record, as_of: now, term, owner, waiters, votes, try_at, forget });
    }

    /// Drops a record. Its owner may rely on it, so this counts as a vote against the owner.
    pub(super) fn drop_replica(&mut self, request: RequestId) {
        if let Some(replica) =
            self.replicas.remove(&request).filter(|replica| replica.record.outcome.is_none())
        {
            self.withdraw_from(&replica.owner);
        }
    }

    /// Starts a new epoch for an owner: what it was acknowledged before counts no more for its requests.
    pub(super) fn withdraw_from(&mut self, owner: &Life) {
        self.withdrawals += 1;
        self.epochs.insert(owner.clone(), self.withdrawals);
        self.granted.entry(owner.clone()).or_default();
    }
}
