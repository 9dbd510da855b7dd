//! The owner's side: requests that this sidecar owns or claims, whether it may act on them, and the replication of
//! their records.

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
    /// The index in the list of attempts of the record.
    pub(super) index: usize,
    /// The first version of the record that lists the attempt.
    pub(super) version: u32,
}

/// A request that this sidecar claims or owns.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct OwnedRequest {
    pub(super) record: Record,
    /// When the record last changed. Its time spans are relative to this time.
    pub(super) as_of: Nanos,
    /// The latest acknowledgement of each backup, by backup name.
    pub(super) acks: BTreeMap<String, Ack>,
    /// When the claim times out; `None` once the claim has succeeded.
    pub(super) claim_deadline: Option<Nanos>,
    /// How many backups must acknowledge the claim.
    pub(super) required: RequiredAcks,
    /// Names of the backups that reported another owner.
    pub(super) refused_by: BTreeSet<String>,
    /// Attempts that wait for acknowledgements and are not written yet.
    pub(super) pending_attempts: Vec<PendingAttempt>,
    /// When the record is first sent to the backups.
    pub(super) announce_at: Nanos,
    /// When an unacknowledged record is sent again.
    pub(super) retry_at: Nanos,
    /// How often the record was sent again since its last change.
    pub(super) retries: u32,
}

/// While a client waits, the first retry comes after the lease duration divided by this. Each further retry takes twice
/// as long.
const FIRST_RETRY_DIVISOR: Nanos = 24;
/// The maximum number of times that the retry delay doubles.
const MAX_RETRY_DOUBLINGS: u32 = 3;
/// The version of a record when it is first sent.
pub(super) const FIRST_VERSION: u32 = 1;
/// The maximum number of times that an outcome is sent again to backups that do not acknowledge it.
const MAX_OUTCOME_RETRIES: u32 = 8;

impl Takeover {
    /// Returns whether an attempt of this request may be written now. Call it right before the write. The window
    /// between the check and the write is harmless: a non-idempotent attempt that may have run is never sent again, and
    /// the pods discard the repeat of an attempt with an idempotency key.
    pub fn may_send(&self, now: Nanos, request: RequestId) -> bool {
        self.owned.get(&request).is_some_and(|owned| {
            owned.claim_deadline.is_none()
                && owned.record.outcome.is_none()
                && self.is_stored_by_majority(now, owned, FIRST_VERSION)
        })
    }

    /// Records an attempt that is about to go to a pod and returns its index. [`Effect::AttemptReady`] reports when the
    /// attempt may be written.
    pub fn begin_attempt(&mut self, now: Nanos, request: RequestId, pod: &str) -> Option<usize> {
        let owned = self.owned.get_mut(&request)?;
        owned.update_record(now, |record| {
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
        owned.update_record(now, |record| {
            if let Some(attempt) = record.attempts.get_mut(index) {
                attempt.state = state;
            }
        });
        self.replicate(now, request);
    }

    /// Records the final outcome and sends it to the backups.
    pub fn finish(&mut self, now: Nanos, request: RequestId, outcome: Outcome) {
        let Some(owned) = self.owned.get_mut(&request) else {
            return;
        };
        if now < owned.announce_at {
            // The record was not sent to any backup yet.
            self.owned.remove(&request);
            return;
        }
        owned.update_record(now, |record| record.outcome = Some(outcome));
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
                // This sidecar is a backup of the request itself, so the record counts as stored at once. Only
                // `on_request_vote` of this sidecar can vote against it.
                let ack = Ack {
                    version: record.version,
                    epoch: own_lease.epoch,
                };
                owned.acks.insert(backup.name.clone(), ack);
                self.held_leases.insert(backup.name, own_lease);
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
        self.apply_acks(now, request);
    }

    /// Does what the acknowledgements so far allow: the claim succeeds, attempts may be written, or the finished
    /// request is moved to the replicas.
    pub(super) fn apply_acks(&mut self, now: Nanos, request: RequestId) {
        let Some(owned) = self.owned.get(&request) else {
            return;
        };
        let is_claimed = owned.claim_deadline.is_some() && self.has_required_acks(now, owned);
        let ready: Vec<usize> = owned
            .pending_attempts
            .iter()
            .filter(|attempt| self.is_stored_by_majority(now, owned, attempt.version))
            .map(|attempt| attempt.index)
            .collect();
        let is_finished = owned.record.outcome.is_some() && owned.is_stored_by_all();
        let Some(owned) = self.owned.get_mut(&request) else {
            return;
        };
        owned
            .pending_attempts
            .retain(|attempt| !ready.contains(&attempt.index));
        if is_claimed {
            owned.claim_deadline = None;
            // The confirmation is replicated with the next change, which is the first attempt.
            owned.update_record(now, |record| record.confirmed = true);
            self.effects.push_back(Effect::Claimed(request));
        }
        for index in ready {
            self.effects.push_back(Effect::AttemptReady(request, index));
        }
        if is_finished {
            self.move_to_replicas(now, request);
        }
    }

    fn has_required_acks(&self, now: Nanos, owned: &OwnedRequest) -> bool {
        let required = match owned.required {
            RequiredAcks::All => owned.record.backups.len(),
            RequiredAcks::Majority => owned.record.majority(),
        };
        self.count_leased_backups(now, owned, FIRST_VERSION) >= required
    }

    /// Returns whether a majority of the backups have stored this version and have granted a valid lease.
    fn is_stored_by_majority(&self, now: Nanos, owned: &OwnedRequest, version: u32) -> bool {
        self.count_leased_backups(now, owned, version) >= owned.record.majority()
    }

    /// Retries each request whose retry is due.
    pub(super) fn retry_owned(&mut self, now: Nanos) {
        let due: Vec<RequestId> = self
            .owned
            .iter()
            .filter(|(_, owned)| owned.retry_at <= now)
            .map(|(request, _)| *request)
            .collect();
        due.into_iter().for_each(|request| self.retry(now, request));
    }

    /// Sends an unacknowledged record again, or ends a claim that has timed out. Stops retrying once the retention has
    /// ended or an outcome was sent often enough.
    fn retry(&mut self, now: Nanos, request: RequestId) {
        let Some(owned) = self.owned.get_mut(&request) else {
            return;
        };
        owned.retries += 1;
        let is_expired = now.saturating_sub(owned.as_of)
            > owned.record.remaining.saturating_add(self.rules.retention);
        if is_expired || (owned.record.outcome.is_some() && owned.retries > MAX_OUTCOME_RETRIES) {
            self.move_to_replicas(now, request);
            return;
        }
        match owned.claim_deadline {
            Some(deadline) if now >= deadline => self.abandon_claim(now, request),
            _ => self.replicate(now, request),
        }
    }

    /// Handles the acknowledgement of a record by a backup.
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
        self.apply_acks(now, request);
    }

    /// Moves a request that is no longer owned here to the records kept for others. If this sidecar took the request
    /// over, it is one of the request's backups, and a majority of the backups may depend on its record. If the request
    /// arrived here, a later claim may choose this sidecar as a backup, and this sidecar may be the only one of that
    /// majority that knows the request.
    pub(super) fn move_to_replicas(&mut self, now: Nanos, request: RequestId) -> Option<Record> {
        let owned = self.owned.remove(&request)?;
        let record = owned.record.advanced_by(now - owned.as_of);
        self.insert_replica(now, record.clone(), record.term, self.me.clone());
        Some(record)
    }

    /// Leaves a request to another owner and waits for its outcome.
    pub(super) fn lose_ownership(&mut self, now: Nanos, request: RequestId) {
        let Some(record) = self.move_to_replicas(now, request) else {
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
    /// Creates a request whose record is sent at once and that needs no claim.
    pub(super) fn new(now: Nanos, record: Record) -> OwnedRequest {
        OwnedRequest {
            record,
            as_of: now,
            acks: BTreeMap::new(),
            claim_deadline: None,
            required: RequiredAcks::Majority,
            refused_by: BTreeSet::new(),
            pending_attempts: Vec::new(),
            announce_at: now,
            retry_at: now,
            retries: 0,
        }
    }

    /// Returns the delay before an unacknowledged record is sent again. While a client waits, the record is sent again
    /// soon, and then with exponential backoff.
    fn retry_delay(&self, lease: Nanos) -> Nanos {
        let client_is_waiting = self.claim_deadline.is_some() || !self.pending_attempts.is_empty();
        if client_is_waiting {
            (lease / FIRST_RETRY_DIVISOR) << self.retries.min(MAX_RETRY_DOUBLINGS)
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

    /// Returns whether each backup has acknowledged the current version.
    fn is_stored_by_all(&self) -> bool {
        self.backups_without_version(self.record.version).is_empty()
    }

    /// Changes the record and increases its version.
    pub(super) fn update_record(&mut self, now: Nanos, change: impl FnOnce(&mut Record)) {
        self.record = self.record.advanced_by(now - self.as_of);
        self.as_of = now;
        change(&mut self.record);
        self.record.version += 1;
        self.retries = 0;
    }
}
