//! The owner's side: requests in flight here, the leases that allow acting on them, and their replication.

use super::claim::RequiredAcks;
use super::leases::RENEWALS_PER_LEASE;
use super::{Effect, Takeover};
use crate::message::Message;
use crate::record::{Attempt, AttemptState, Outcome, Record, RequestId};
use crate::Nanos;
use havenplank_membership::member::MemberId;
use std::collections::{BTreeMap, BTreeSet};

/// A backup's latest acknowledgement of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
pub(super) struct Ack {
    pub(super) version: u32,
    pub(super) epoch: u32,
}

/// An attempt that the backups have yet to acknowledge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingAttempt {
    /// Its place among the attempts of the record.
    pub(super) index: usize,
    /// The version of the record that first lists it.
    pub(super) version: u32,
}

/// A request that this sidecar claims or owns.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct OwnedRequest {
    pub(super) record: Record,
    /// When the record last changed: its time spans count from then.
    pub(super) as_of: Nanos,
    /// By name, what the backups have acknowledged.
    pub(super) acks: BTreeMap<String, Ack>,
    /// The claim's time-out; none once the claim has succeeded.
    pub(super) claim_until: Option<Nanos>,
    /// How many backups must acknowledge the claim.
    pub(super) required: RequiredAcks,
    /// Backups that reported another owner.
    pub(super) refused: BTreeSet<String>,
    /// Attempts not yet written.
    pub(super) pending_attempts: Vec<PendingAttempt>,
    /// When the record is first sent to the backups.
    pub(super) announce_at: Nanos,
    /// When an unacknowledged record is sent again, and how often it was.
    pub(super) retry_at: Nanos,
    pub(super) retries: u32,
}

/// The first retry of what a client waits for comes after the lease divided by this; each further one takes twice as long.
const FIRST_RETRIES_PER_LEASE: Nanos = 24;
/// How often that doubles, at most.
const MAX_DOUBLINGS: u32 = 3;
/// The version of a record that is sent first.
pub(super) const FIRST_VERSION: u32 = 1;
/// How often an outcome is sent again to backups that do not acknowledge it.
const MAX_OUTCOME_RETRIES: u32 = 8;

impl Takeover {
    /// Whether an attempt of this request may be written now; to be asked right before the write. The window between the
    /// two is harmless: a non-idempotent attempt that may have run is never sent again, and of a keyed one the pods
    /// drop the repeat.
    pub fn may_send(&self, now: Nanos, request: RequestId) -> bool {
        self.owned.get(&request).is_some_and(|owned| {
            owned.claim_until.is_none()
                && owned.record.outcome.is_none()
                && self.is_stored(now, owned, FIRST_VERSION)
        })
    }

    /// Records an attempt that is about to go to a pod and returns its index. [`Effect::AttemptReady`] tells when it may.
    pub fn begin_attempt(&mut self, now: Nanos, request: RequestId, pod: &str) -> Option<usize> {
        let owned = self.owned.get_mut(&request)?;
        owned.change(now, |record| {
            record.attempts.push(Attempt {
                pod: pod.to_string(),
                age: 0,
                state: AttemptState::InFlight,
            })
        });
        let index = owned.record.attempts.len() - 1;
        owned.pending_attempts.push(PendingAttempt {
            index,
            version: owned.record.version,
        });
        self.replicate(now, request);
        Some(index)
    }

    /// Records how an attempt ended.
    pub fn end_attempt(
        &mut self,
        now: Nanos,
        request: RequestId,
        index: usize,
        state: AttemptState,
    ) {
        let Some(owned) = self.owned.get_mut(&request) else {
            return;
        };
        owned.change(now, |record| {
            if let Some(attempt) = record.attempts.get_mut(index) {
                attempt.state = state;
            }
        });
        self.replicate(now, request);
    }

    /// Records the final outcome.
    pub fn finish(&mut self, now: Nanos, request: RequestId, outcome: Outcome) {
        let Some(owned) = self.owned.get_mut(&request) else {
            return;
        };
        if now < owned.announce_at {
            // No backup knows of it.
            self.owned.remove(&request);
            return;
        }
        owned.change(now, |record| record.outcome = Some(outcome));
        owned.pending_attempts.clear();
        self.replicate(now, request);
    }

    /// Sends the record to the backups that have not acknowledged this version.
    pub(super) fn replicate(&mut self, now: Nanos, request: RequestId) {
        let (lease, own_lease) = (self.rules.lease, self.own_lease(now));
        let Some(owned) = self.owned.get_mut(&request) else {
            return;
        };
        if now < owned.announce_at {
            owned.retry_at = owned.announce_at;
            return;
        }
        owned.retry_at = now + owned.retry_delay(lease);
        let record = owned.record.advanced_by(now - owned.as_of);
        for backup in owned.backups_without_version(record.version) {
            if backup == self.me {
                // This sidecar is a backup itself: stored at once. Only `on_request_vote` here can vote against it.
                let ack = Ack {
                    version: record.version,
                    epoch: own_lease.epoch,
                };
                owned.acks.insert(backup.name.clone(), ack);
                self.leases.insert(backup.name, own_lease);
            } else {
                self.effects.push_back(Effect::Send {
                    to: backup,
                    message: Message::Store {
                        record: record.clone(),
                        sent_at: now,
                    },
                });
            }
        }
        self.advance(now, request);
    }

    /// Does what the acknowledgements so far allow: the claim succeeds, attempts may go, the request is finished.
    pub(super) fn advance(&mut self, now: Nanos, request: RequestId) {
        let Some(owned) = self.owned.get(&request) else {
            return;
        };
        let is_claimed = owned.claim_until.is_some() && self.has_required_acks(now, owned);
        let ready: Vec<usize> = owned
            .pending_attempts
            .iter()
            .filter(|attempt| self.is_stored(now, owned, attempt.version))
            .map(|attempt| attempt.index)
            .collect();
        let is_finished = owned.record.outcome.is_some() && owned.is_stored_everywhere();
        let Some(owned) = self.owned.get_mut(&request) else {
            return;
        };
        owned
            .pending_attempts
            .retain(|attempt| !ready.contains(&attempt.index));
        if is_claimed {
            owned.claim_until = None;
            // Replicated with the next change, which is the first attempt.
            owned.change(now, |record| record.confirmed = true);
            self.effects.push_back(Effect::Claimed(request));
        }
        for index in ready {
            self.effects.push_back(Effect::AttemptReady(request, index));
        }
        if is_finished {
            self.retire(now, request);
        }
    }

    fn has_required_acks(&self, now: Nanos, owned: &OwnedRequest) -> bool {
        let required = match owned.required {
            RequiredAcks::All => owned.record.backups.len(),
            RequiredAcks::Majority => owned.record.majority(),
        };
        self.count_leased_backups(now, owned, FIRST_VERSION) >= required
    }

    /// Whether a majority of the backups hold this version and have granted a lease.
    fn is_stored(&self, now: Nanos, owned: &OwnedRequest, version: u32) -> bool {
        self.count_leased_backups(now, owned, version) >= owned.record.majority()
    }

    /// Retries each request that is due.
    pub(super) fn retry_owned(&mut self, now: Nanos) {
        let due: Vec<RequestId> = self
            .owned
            .iter()
            .filter(|(_, owned)| owned.retry_at <= now)
            .map(|(request, _)| *request)
            .collect();
        due.into_iter().for_each(|request| self.retry(now, request));
    }

    /// Sends an unacknowledged record again, or ends a claim that took too long.
    fn retry(&mut self, now: Nanos, request: RequestId) {
        let Some(owned) = self.owned.get_mut(&request) else {
            return;
        };
        owned.retries += 1;
        let over = now.saturating_sub(owned.as_of)
            > owned.record.remaining.saturating_add(self.rules.retention);
        if over || (owned.record.outcome.is_some() && owned.retries > MAX_OUTCOME_RETRIES) {
            self.retire(now, request);
            return;
        }
        match owned.claim_until {
            Some(until) if now >= until => self.give_up(now, request),
            _ => self.replicate(now, request),
        }
    }

    /// A backup acknowledges a record.
    pub(super) fn on_stored(
        &mut self,
        now: Nanos,
        from: &MemberId,
        request: RequestId,
        term: u32,
        ack: Ack,
    ) {
        let Some(owned) = self
            .owned
            .get_mut(&request)
            .filter(|owned| owned.record.term == term)
        else {
            return;
        };
        if !owned.record.backups.contains(from) {
            return;
        }
        let known = owned.acks.entry(from.name.clone()).or_default();
        if (ack.epoch, ack.version) > (known.epoch, known.version) {
            *known = ack;
        }
        self.advance(now, request);
    }

    /// Moves a request that is no longer owned here to the records kept for others. If it was taken over here, the other
    /// backups' majorities count on that record; if it arrived here, a later claim may choose this sidecar as a backup,
    /// and it may be the only one of that majority to know the request.
    pub(super) fn retire(&mut self, now: Nanos, request: RequestId) -> Option<Record> {
        let owned = self.owned.remove(&request)?;
        let record = owned.record.advanced_by(now - owned.as_of);
        self.insert_replica(now, record.clone(), record.term, self.me.clone());
        Some(record)
    }

    /// Gives a request up to another owner and waits for its outcome.
    pub(super) fn lose(&mut self, now: Nanos, request: RequestId) {
        let Some(record) = self.retire(now, request) else {
            return;
        };
        self.effects.push_back(Effect::OwnershipLost(request));
        let Record {
            digest,
            backups,
            remaining,
            ..
        } = record;
        self.await_outcome(now, request, digest, remaining, backups);
    }
}

impl OwnedRequest {
    /// A request whose record is sent at once and that needs no claim.
    pub(super) fn new(now: Nanos, record: Record) -> OwnedRequest {
        OwnedRequest {
            record,
            as_of: now,
            acks: BTreeMap::new(),
            claim_until: None,
            required: RequiredAcks::Majority,
            refused: BTreeSet::new(),
            pending_attempts: Vec::new(),
            announce_at: now,
            retry_at: now,
            retries: 0,
        }
    }

    /// When to send an unacknowledged record again. What a client waits for is sent again soon, then with exponential
    /// backoff.
    fn retry_delay(&self, lease: Nanos) -> Nanos {
        let is_waited_for = self.claim_until.is_some() || !self.pending_attempts.is_empty();
        if is_waited_for {
            (lease / FIRST_RETRIES_PER_LEASE) << self.retries.min(MAX_DOUBLINGS)
        } else {
            lease / RENEWALS_PER_LEASE
        }
    }

    /// Returns the backups that have not acknowledged this version of the record.
    fn backups_without_version(&self, version: u32) -> Vec<MemberId> {
        let lacks_version = |backup: &&MemberId| {
            let ack = self.acks.get(&backup.name);
            ack.is_none_or(|ack| ack.version < version)
        };
        let backups = self.record.backups.iter();
        backups.filter(lacks_version).cloned().collect()
    }

    /// Whether each backup has acknowledged the present version.
    fn is_stored_everywhere(&self) -> bool {
        self.backups_without_version(self.record.version).is_empty()
    }

    /// Changes the record and raises its version.
    pub(super) fn change(&mut self, now: Nanos, change: impl FnOnce(&mut Record)) {
        self.record = self.record.advanced_by(now - self.as_of);
        self.as_of = now;
        change(&mut self.record);
        self.record.version += 1;
        self.retries = 0;
    }
}
