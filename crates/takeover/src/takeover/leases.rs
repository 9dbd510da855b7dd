//! Leases, on both sides, and the epochs that end them early.
//!
//! An owner may act while more than half of a request's backups have granted it a lease. A backup that votes against an
//! owner raises its epoch for that owner; a lease counts only for records stored in the same epoch. These time spans
//! belong to the promise that holds while clocks drift less than stated.

use super::owner::{Ack, OwnedRequest};
use super::Takeover;
use crate::message::Message;
use crate::record::RequestId;
use crate::Nanos;
use havenplank_membership::member::MemberId;
use std::collections::BTreeSet;

/// Leases are renewed so many times within their duration.
pub(super) const RENEWALS_PER_LEASE: Nanos = 3;
/// The epoch of the lease that a sidecar grants to itself.
pub(super) const OWN_EPOCH: u32 = 0;
const MILLION: Nanos = 1_000_000;
/// The clocks that a lease depends on: the owner's and the backup's.
const CLOCKS: Nanos = 2;

/// A lease that a backup granted to this sidecar.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Lease {
    /// Until when it lasts, on our clock.
    pub(super) until: Nanos,
    /// The backup's epoch for us when it granted the lease.
    pub(super) epoch: u32,
}

impl Takeover {
    /// The number of backups that hold at least this version and whose lease is valid. This sidecar counts as a backup
    /// like any other: its own lease expires, too, unless the event loop runs.
    pub(super) fn count_leased_backups(
        &self,
        now: Nanos,
        owned: &OwnedRequest,
        version: u32,
    ) -> usize {
        let is_leased = |backup: &&MemberId| {
            let ack = owned.acks.get(&backup.name);
            let lease = self.leases.get(&backup.name);
            ack.zip(lease).is_some_and(|(ack, lease)| {
                ack.version >= version && ack.epoch == lease.epoch && now < lease.until
            })
        };
        owned.record.backups.iter().filter(is_leased).count()
    }

    /// Asks the backups of all open requests to renew their leases.
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
                self.leases.insert(backup.name, lease);
            } else {
                self.send(&backup, Message::RenewLease { sent_at: now });
            }
        }
    }

    /// Extends a lease. It counts from when it was asked for, shortened by the drift of two clocks.
    pub(super) fn extend_lease(&mut self, now: Nanos, from: &MemberId, sent_at: Nanos, epoch: u32) {
        if sent_at > now {
            return;
        }
        let drift = self.rules.lease / MILLION * CLOCKS * self.rules.drift_ppm;
        let until = sent_at + self.rules.lease.saturating_sub(drift);
        let lease = self.leases.entry(from.name.clone()).or_default();
        if epoch > lease.epoch {
            *lease = Lease { until, epoch };
            self.replicate_anew(now, from, epoch);
        } else if epoch == lease.epoch {
            lease.until = lease.until.max(until);
        }
    }

    /// Sends our records to a backup again that has begun a new epoch: it may have voted for another owner.
    fn replicate_anew(&mut self, now: Nanos, backup: &MemberId, epoch: u32) {
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

    /// The lease of this sidecar as a backup of its own request. It expires, too, unless the event loop runs.
    pub(super) fn own_lease(&self, now: Nanos) -> Lease {
        Lease {
            until: now + self.rules.lease,
            epoch: OWN_EPOCH,
        }
    }

    /// Renews the lease of an owner for which records are kept.
    pub(super) fn on_renew_lease(&mut self, now: Nanos, from: &MemberId, sent_at: Nanos) {
        if self.replicas.values().any(|replica| replica.owner == *from) {
            let epoch = self.grant_lease(now, from);
            self.send(from, Message::LeaseRenewed { sent_at, epoch });
        }
    }

    /// Grants an owner another lease, and returns its epoch.
    pub(super) fn grant_lease(&mut self, now: Nanos, owner: &MemberId) -> u32 {
        let until = now + self.rules.lease;
        let promised = self.granted.entry(owner.clone()).or_default();
        *promised = (*promised).max(until);
        self.epoch(owner)
    }

    fn epoch(&mut self, owner: &MemberId) -> u32 {
        *self.epochs.entry(owner.clone()).or_insert(self.withdrawals)
    }

    /// Starts a new epoch for an owner: what it was acknowledged before counts no more for its requests.
    pub(super) fn withdraw_from(&mut self, owner: &MemberId) {
        self.withdrawals += 1;
        self.epochs.insert(owner.clone(), self.withdrawals);
        self.granted.entry(owner.clone()).or_default();
    }

    /// Forgets leases, granted or held, that no record or request needs any more.
    pub(super) fn prune_leases(&mut self, now: Nanos) {
        let replicas = &self.replicas;
        let is_owner = |owner: &MemberId| replicas.values().any(|replica| replica.owner == *owner);
        self.granted
            .retain(|owner, until| now < *until || is_owner(owner));
        self.epochs
            .retain(|owner, _| self.granted.contains_key(owner));
        let backs_up = |name: &String, owned: &OwnedRequest| {
            owned
                .record
                .backups
                .iter()
                .any(|backup| backup.name == *name)
        };
        let owned = &self.owned;
        self.leases
            .retain(|name, _| owned.values().any(|owned| backs_up(name, owned)));
    }
}
