//! Leases, granted and held, and the epochs that end them early.
//!
//! An owner may act while more than half of a request's backups have granted it a lease. A backup that votes against an
//! owner raises its epoch for that owner; a lease counts only for records stored in the same epoch. The time spans in
//! this file guarantee that a request has at most one acting owner while clocks drift by less than
//! [`Rules::drift_ppm`](crate::Rules::drift_ppm).

use super::owner::{Ack, OwnedRequest};
use super::Takeover;
use crate::message::Message;
use crate::record::RequestId;
use crate::Nanos;
use havenplank_membership::member::MemberId;
use std::collections::BTreeSet;

/// How many times a lease is renewed within its duration.
pub(super) const RENEWALS_PER_LEASE: Nanos = 3;
/// The epoch of the lease that a sidecar grants to itself.
pub(super) const OWN_EPOCH: u32 = 0;
const PARTS_PER_MILLION: Nanos = 1_000_000;
/// The number of clocks that a lease depends on: the owner's and the backup's.
const CLOCKS_PER_LEASE: Nanos = 2;

/// A lease that a backup granted to this sidecar.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Lease {
    /// When the lease expires, on the clock of this sidecar.
    pub(super) expires_at: Nanos,
    /// The backup's epoch for this sidecar when it granted the lease.
    pub(super) epoch: u32,
}

impl Takeover {
    /// Returns the number of backups that have stored at least this version and whose lease is valid. This sidecar
    /// counts as a backup like any other: its lease to itself also expires unless the event loop runs.
    pub(super) fn count_leased_backups(
        &self,
        now: Nanos,
        owned: &OwnedRequest,
        version: u32,
    ) -> usize {
        let is_leased = |backup: &&MemberId| {
            let ack = owned.acks.get(&backup.name);
            let lease = self.held_leases.get(&backup.name);
            ack.zip(lease).is_some_and(|(ack, lease)| {
                ack.version >= version && ack.epoch == lease.epoch && now < lease.expires_at
            })
        };
        owned.record.backups.iter().filter(is_leased).count()
    }

    /// Asks the backups of all unfinished requests to renew their leases.
    pub(super) fn renew_leases(&mut self, now: Nanos) {
        if now < self.renew_at {
            return;
        }
        self.renew_at = now + self.rules.lease / RENEWALS_PER_LEASE;
        let open = self
            .owned
            .values()
            .filter(|owned| owned.record.outcome.is_none() && now >= owned.announce_at);
        let backups: BTreeSet<MemberId> = open
            .flat_map(|owned| owned.record.backups.iter().cloned())
            .collect();
        for backup in backups {
            if backup == self.me {
                let lease = self.own_lease(now);
                self.held_leases.insert(backup.name, lease);
            } else {
                self.send(&backup, Message::RenewLease { sent_at: now });
            }
        }
    }

    /// Extends a lease that a backup granted. It counts from when this sidecar asked for it, and is shortened by the
    /// drift of two clocks.
    pub(super) fn extend_lease(&mut self, now: Nanos, from: &MemberId, sent_at: Nanos, epoch: u32) {
        if sent_at > now {
            return;
        }
        let drift = self.rules.lease / PARTS_PER_MILLION * CLOCKS_PER_LEASE * self.rules.drift_ppm;
        let expires_at = sent_at + self.rules.lease.saturating_sub(drift);
        let lease = self.held_leases.entry(from.name.clone()).or_default();
        if epoch > lease.epoch {
            *lease = Lease { expires_at, epoch };
            self.replicate_in_new_epoch(now, from, epoch);
        } else if epoch == lease.epoch {
            lease.expires_at = lease.expires_at.max(expires_at);
        }
    }

    /// Sends the records of this sidecar again to a backup that has begun a new epoch, because that backup may have
    /// voted for another owner.
    fn replicate_in_new_epoch(&mut self, now: Nanos, backup: &MemberId, epoch: u32) {
        let acked: Vec<RequestId> = self
            .owned
            .iter()
            .filter(|(_, owned)| owned.record.backups.contains(backup))
            .filter(|(_, owned)| owned.acks.contains_key(&backup.name))
            .map(|(request, _)| *request)
            .collect();
        for request in acked {
            let Some(owned) = self.owned.get_mut(&request) else {
                continue;
            };
            let is_of_old_epoch = |ack: &Ack| ack.epoch < epoch;
            if owned.acks.get(&backup.name).is_some_and(is_of_old_epoch) {
                owned.acks.remove(&backup.name);
                self.replicate(now, request);
            }
        }
    }

    /// Returns the lease of this sidecar as a backup of its own request. It also expires unless the event loop runs.
    pub(super) fn own_lease(&self, now: Nanos) -> Lease {
        Lease {
            expires_at: now + self.rules.lease,
            epoch: OWN_EPOCH,
        }
    }

    /// Renews the lease of an owner if records are kept for it.
    pub(super) fn on_renew_lease(&mut self, now: Nanos, from: &MemberId, sent_at: Nanos) {
        if self.replicas.values().any(|replica| replica.owner == *from) {
            let epoch = self.grant_lease(now, from);
            self.send(from, Message::LeaseRenewed { sent_at, epoch });
        }
    }

    /// Grants an owner a lease or extends it, and returns the epoch for that owner.
    pub(super) fn grant_lease(&mut self, now: Nanos, owner: &MemberId) -> u32 {
        let expires_at = now + self.rules.lease;
        let granted_until = self.granted_until.entry(owner.clone()).or_default();
        *granted_until = (*granted_until).max(expires_at);
        self.epoch_of(owner)
    }

    fn epoch_of(&mut self, owner: &MemberId) -> u32 {
        *self
            .epochs
            .entry(owner.clone())
            .or_insert(self.latest_epoch)
    }

    /// Begins a new epoch for an owner: what was acknowledged to it before no longer counts for its requests.
    pub(super) fn begin_epoch_for(&mut self, owner: &MemberId) {
        self.latest_epoch += 1;
        self.epochs.insert(owner.clone(), self.latest_epoch);
        self.granted_until.entry(owner.clone()).or_default();
    }

    /// Removes leases, granted or held, that no record or request needs any more.
    pub(super) fn prune_leases(&mut self, now: Nanos) {
        let replicas = &self.replicas;
        let is_owner = |owner: &MemberId| replicas.values().any(|replica| replica.owner == *owner);
        self.granted_until
            .retain(|owner, expires_at| now < *expires_at || is_owner(owner));
        self.epochs
            .retain(|owner, _| self.granted_until.contains_key(owner));
        let backs_up = |name: &String, owned: &OwnedRequest| {
            owned
                .record
                .backups
                .iter()
                .any(|backup| backup.name == *name)
        };
        let owned = &self.owned;
        self.held_leases
            .retain(|name, _| owned.values().any(|owned| backs_up(name, owned)));
    }
}
