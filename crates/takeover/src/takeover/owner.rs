//! The owner's side: requests in flight here, the leases that allow acting on them, and their replication.

use super::claim::RequiredAcks;
use super::{Effect, Takeover};
use crate::record::{Attempt, AttemptState, Message, Outcome, Record, RequestId};
use crate::Nanos;
use havenplank_membership::member::MemberId;
use std::collections::{BTreeMap, BTreeSet};

/// A backup's latest acknowledgement of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
pub(super) struct Ack {
    pub(super) version: u32,
    pub(super) epoch: u32,
}

/// A request that this sidecar claims or owns.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct OwnedRequest {
    pub(super) record: Record,
    pub(super) as_of: Nanos,
    pub(super) acks: BTreeMap<String, Ack>,
    /// The claim's time-out; none once the claim has succeeded.
    pub(super) claim_until: Option<Nanos>,
    /// How many backups must acknowledge the claim.
    pub(super) required: RequiredAcks,
    /// Backups that reported another owner.
    pub(super) refused: BTreeSet<String>,
    /// Attempts not yet written, each with the version of the record that first lists it.
    pub(super) pending_attempts: Vec<(usize, u32)>,
    /// When the record is first sent to the backups.
    pub(super) announce_at: Nanos,
    /// When an unacknowledged record is sent again, and how often it was.
    pub(super) retry_at: Nanos,
    pub(super) retries: u32,
}

impl Takeover {
    /// Whether an attempt of this request may be written now; to be asked right before the write. The window between the
    /// two is harmless: a non-idempotent attempt that may have run is never sent again, and of a keyed one the pods
    /// drop the repeat.
    pub fn may_send(&self, now: Nanos, request: RequestId) -> bool {
        self.owned.get(&request).is_some_and(|owned| {
            owned.claim_until.is_none()
                && owned.record.outcome.is_none()
                && self.leased_backups(now, owned, 1) >= owned.record.majority()
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
        owned.pending_attempts.push((index, owned.record.version));
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

    /// The number of backups that hold at least this version and whose lease is valid. This sidecar counts as a backup
    /// like any other: its own lease expires, too, unless the event loop runs.
    fn leased_backups(&self, now: Nanos, owned: &OwnedRequest, version: u32) -> usize {
        let is_leased = |backup: &&MemberId| {
            let ack = owned.acks.get(&backup.name);
            let lease = self.leases.get(&backup.name);
            ack.zip(lease).is_some_and(|(ack, (until, epoch))| {
                ack.version >= version && ack.epoch == *epoch && now < *until
            })
        };
        owned.record.backups.iter().filter(is_leased).count()
    }

    /// Sends the record to the backups that have not acknowledged this version.
    pub(super) fn replicate(&mut self, now: Nanos, request: RequestId) {
        let Some(owned) = self.owned.get_mut(&request) else {
            return;
        };
        // What a client waits for is sent again soon, then with exponential backoff.
        let waited = owned.claim_until.is_some() || !owned.pending_attempts.is_empty();
        let soon = (self.rules.lease / 24) << owned.retries.min(3);
        let retry_at = now + if waited { soon } else { self.rules.lease / 3 };
        if now < owned.announce_at {
            owned.retry_at = owned.announce_at;
            return;
        }
        owned.retry_at = retry_at;
        let record = owned.record.later(now - owned.as_of);
        let knows = |life: &MemberId, owned: &OwnedRequest| {
            owned
                .acks
                .get(&life.name)
                .is_some_and(|a| a.version >= record.version)
        };
        let (own, rest): (Vec<MemberId>, Vec<MemberId>) = record
            .backups
            .iter()
            .filter(|life| !knows(life, owned))
            .cloned()
            .partition(|life| *life == self.me);
        for backup in own {
            // This sidecar is a backup itself: stored at once. Only `on_request_vote` here can vote against it.
            let epoch = 0;
            let ack = Ack {
                version: record.version,
                epoch,
            };
            owned.acks.insert(backup.name.clone(), ack);
            self.leases
                .insert(backup.name, (now + self.rules.lease, epoch));
        }
        for backup in rest {
            self.send(
                &backup,
                Message::Store {
                    record: record.clone(),
                    stamp: now,
                },
            );
        }
        self.advance(now, request);
    }

    /// Does what the acknowledgements so far allow: the claim succeeds, attempts may go, the request is finished.
    pub(super) fn advance(&mut self, now: Nanos, request: RequestId) {
        let Some(owned) = self.owned.get(&request) else {
            return;
        };
        let majority = owned.record.majority();
        let version_known = |version| self.leased_backups(now, owned, version) >= majority;
        let all = owned.record.backups.len();
        let claimed = match owned.required {
            RequiredAcks::All => self.leased_backups(now, owned, 1) >= all,
            RequiredAcks::Majority => version_known(1),
        };
        let taken = owned.claim_until.is_some() && claimed;
        let go: Vec<usize> = owned
            .pending_attempts
            .iter()
            .filter(|(_, v)| version_known(*v))
            .map(|(nth, _)| *nth)
            .collect();
        let told = owned.record.outcome.is_some() && {
            let version = owned.record.version;
            owned.record.backups.iter().all(|g| {
                owned
                    .acks
                    .get(&g.name)
                    .is_some_and(|ack| ack.version >= version)
            })
        };
        let Some(owned) = self.owned.get_mut(&request) else {
            return;
        };
        owned.pending_attempts.retain(|(nth, _)| !go.contains(nth));
        if taken {
            owned.claim_until = None;
            // Replicated with the next change, which is the first attempt.
            owned.change(now, |record| record.confirmed = true);
            self.effects.push_back(Effect::Claimed(request));
        }
        self.effects
            .extend(go.into_iter().map(|nth| Effect::AttemptReady(request, nth)));
        if told {
            self.retire(now, request);
        }
    }

    /// Asks the backups of all open requests to renew their leases.
    pub(super) fn renew_leases(&mut self, now: Nanos) {
        if now < self.renew_at {
            return;
        }
        self.renew_at = now + self.rules.lease / 3;
        let open = self
            .owned
            .values()
            .filter(|owned| owned.record.outcome.is_none() && now >= owned.announce_at);
        let backups: BTreeSet<MemberId> = open
            .flat_map(|owned| owned.record.backups.iter().cloned())
            .collect();
        for backup in backups {
            if backup == self.me {
                self.leases.insert(backup.name, (now + self.rules.lease, 0));
            } else {
                self.send(&backup, Message::RenewLease { stamp: now });
            }
        }
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
        if over || (owned.record.outcome.is_some() && owned.retries > 8) {
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
        (request, term, version): (RequestId, u32, u32),
        (stamp, epoch): (Nanos, u32),
    ) {
        self.extend_lease(now, from, stamp, epoch);
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
        let ack = owned.acks.entry(from.name.clone()).or_default();
        if (epoch, version) > (ack.epoch, ack.version) {
            *ack = Ack { version, epoch };
        }
        self.advance(now, request);
    }

    /// Extends a lease. It counts from when it was asked for, shortened by the drift of two clocks.
    pub(super) fn extend_lease(&mut self, now: Nanos, from: &MemberId, stamp: Nanos, epoch: u32) {
        if stamp > now {
            return;
        }
        let drift = self.rules.lease / 1_000_000 * 2 * self.rules.drift_ppm;
        let until = stamp + self.rules.lease.saturating_sub(drift);
        let lease = self.leases.entry(from.name.clone()).or_default();
        if epoch < lease.1 {
            return;
        }
        let new_epoch = epoch > lease.1;
        *lease = if new_epoch {
            (until, epoch)
        } else {
            (lease.0.max(until), epoch)
        };
        if new_epoch {
            // Its records of our requests must be sent anew: it may have voted for another owner.
            let backs_up = |owned: &OwnedRequest| {
                owned.record.backups.contains(from) && owned.acks.contains_key(&from.name)
            };
            let requests: Vec<RequestId> = self
                .owned
                .iter()
                .filter(|(_, owned)| backs_up(owned))
                .map(|(request, _)| *request)
                .collect();
            for request in requests {
                if let Some(owned) = self
                    .owned
                    .get_mut(&request)
                    .filter(|h| h.acks[&from.name].epoch < epoch)
                {
                    owned.acks.remove(&from.name);
                    self.replicate(now, request);
                }
            }
        }
    }

    /// Moves a request that is no longer owned here to the records kept for others. If it was taken over here, the other
    /// backups' majorities count on that record; if it arrived here, a later claim may choose this sidecar as a backup,
    /// and it may be the only one of that majority to know the request.
    pub(super) fn retire(&mut self, now: Nanos, request: RequestId) -> Option<Record> {
        let owned = self.owned.remove(&request)?;
        let record = owned.record.later(now - owned.as_of);
        self.insert_replica(now, record.clone(), record.term, self.me.clone());
        Some(record)
    }

    /// Gives a request up to another owner and waits for its outcome.
    pub(super) fn lose(&mut self, now: Nanos, request: RequestId) {
        let Some(record) = self.retire(now, request) else {
            return;
        };
        self.effects.push_back(Effect::Lost(request));
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
    /// Changes the record and raises its version.
    pub(super) fn change(&mut self, now: Nanos, change: impl FnOnce(&mut Record)) {
        self.record = self.record.later(now - self.as_of);
        self.as_of = now;
        change(&mut self.record);
        self.record.version += 1;
        self.retries = 0;
    }
}
