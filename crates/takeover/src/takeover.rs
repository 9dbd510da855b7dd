//! The state machine that decides who may act on a request: its owner, a backup that has taken it over, or neither.
//!
//! An owner may act while more than half of the request's backups have granted it a lease. The owner counts a lease
//! from when it asked for the lease, and the backup counts it from when that message arrived, each on its own monotonic
//! clock. A backup whose grant has expired may ask the other backups for their votes. A majority must agree, and each
//! backup votes once per term. Any two majorities share a backup, so a request never has two acting owners, even if
//! messages are lost, repeated or late or sidecars are paused, as long as clocks drift by less than
//! [`Rules::drift_ppm`]. Liveness needs a majority: a takeover begins only while more than half of the backups can
//! reach each other. A backup that reaches no other backup keeps the record and waits.
//!
//! A backup that votes against an owner raises its epoch for that owner. A lease counts only for records stored in the
//! same epoch, so renewing a lease never restores the ownership of a request whose backup has voted against the owner.

mod backup;
mod claim;
mod effect;
mod election;
mod leases;
mod owner;
mod waiter;

pub use claim::{IncomingRequest, RequiredAcks};
pub use effect::Effect;

use crate::message::Message;
use crate::record::{Record, RequestId};
use crate::{Nanos, Rules};
use backup::Replica;
use havenplank_membership::member::MemberId;
use leases::Lease;
use oorandom::Rand64;
use owner::{Ack, OwnedRequest};
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};
use waiter::Waiting;

/// The number of entries in each table of a [`Takeover`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Requests that this sidecar owns or claims.
    pub owned: usize,
    /// Records kept for other sidecars.
    pub replicas: usize,
    /// Requests whose outcome this sidecar waits for.
    pub waiting: usize,
}

/// The in-flight requests of one sidecar, the records it keeps for others, and the requests whose outcome its clients
/// await.
#[derive(Clone)]
pub struct Takeover {
    me: MemberId,
    rules: Rules,
    /// Requests that this sidecar owns or claims. An entry is removed when all backups have stored the outcome, or
    /// [`Rules::retention`] after the deadline.
    owned: BTreeMap<RequestId, OwnedRequest>,
    /// Records kept for other owners, removed [`Rules::retention`] after the deadline. Requests that were in flight
    /// here move to this table, so it holds at most [`Rules::max_replicas`] plus [`Rules::max_owned`] entries.
    replicas: BTreeMap<RequestId, Replica>,
    /// Requests whose outcome this sidecar waits for. An entry is removed with the outcome or at the client's deadline.
    /// There is at most one entry per waiting client, and the listener bounds the number of clients.
    waiting: BTreeMap<RequestId, Waiting>,
    /// By owner: the time until which this sidecar takes over none of its requests. An entry is removed once that time
    /// has passed and no record is kept for that owner.
    granted_until: BTreeMap<MemberId, Nanos>,
    /// By owner: the value of `latest_epoch` when this sidecar last voted against that owner. An owner without an entry
    /// has the current value, so an entry that was removed and added again never shows an earlier epoch. Removed with
    /// the owner's entry in `granted_until`.
    epochs: BTreeMap<MemberId, u32>,
    /// The number of epochs begun so far, counted over all owners.
    latest_epoch: u32,
    /// By backup: the lease that it granted to this sidecar, with its epoch. Removed with the last request that it
    /// backs up.
    held_leases: BTreeMap<String, Lease>,
    renew_at: Nanos,
    random: Rand64,
    effects: VecDeque<Effect>,
    /// Bytes of all records kept: summed at each wake-up, plus the records stored since then.
    replica_bytes: usize,
    /// The number of claims that failed because too few backups acknowledged them or [`Rules::max_owned`] was reached.
    pub unprotected: u64,
    /// The number of records that were rejected for lack of room.
    pub rejected_records: u64,
    /// The number of requests taken over from lost owners.
    pub taken_over: u64,
}

/// Hashes all that decisions depend on, so that a search recognises a state it has seen. The random source is left out:
/// it only sets the random delays of candidacies.
impl Hash for Takeover {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (
            &self.me,
            &self.owned,
            &self.replicas,
            &self.waiting,
            &self.effects,
        )
            .hash(hasher);
        (
            &self.granted_until,
            &self.epochs,
            self.latest_epoch,
            &self.held_leases,
            self.renew_at,
        )
            .hash(hasher);
    }
}

impl Takeover {
    /// Creates an empty state machine. `seed` only sets the random delays of candidacies.
    pub fn new(now: Nanos, seed: u64, me: MemberId, rules: Rules) -> Takeover {
        Takeover {
            me,
            rules,
            owned: BTreeMap::new(),
            replicas: BTreeMap::new(),
            waiting: BTreeMap::new(),
            granted_until: BTreeMap::new(),
            epochs: BTreeMap::new(),
            latest_epoch: 0,
            held_leases: BTreeMap::new(),
            renew_at: now,
            random: Rand64::new(seed as u128),
            effects: VecDeque::new(),
            replica_bytes: 0,
            unprotected: 0,
            rejected_records: 0,
            taken_over: 0,
        }
    }

    /// Returns the next effect for the caller to carry out, if any.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Returns when [`Takeover::wake`] is due next.
    pub fn next_wake(&self) -> Option<Nanos> {
        let owned = self.owned.values().map(|owned| owned.retry_at);
        let renew = (!self.owned.is_empty()).then_some(self.renew_at);
        let replica = self
            .replicas
            .values()
            .map(|replica| self.election_due(replica).min(replica.drop_at));
        let waiting = self
            .waiting
            .values()
            .map(|waiting| waiting.retry_at.min(waiting.drop_at));
        owned.chain(renew).chain(replica).chain(waiting).min()
    }

    /// Returns the sizes of the tables.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes {
            owned: self.owned.len(),
            replicas: self.replicas.len(),
            waiting: self.waiting.len(),
        }
    }

    /// Returns the record that this sidecar keeps for the owner of the request.
    pub fn replica(&self, request: RequestId) -> Option<&Record> {
        self.replicas.get(&request).map(|replica| &replica.record)
    }

    /// Handles a message from another sidecar.
    pub fn receive(&mut self, now: Nanos, from: &MemberId, message: Message) {
        match message {
            Message::Store { record, sent_at } if record.owner == *from => {
                self.on_store(now, from, record, sent_at)
            }
            Message::Stored {
                request,
                term,
                version,
                sent_at,
                epoch,
            } => {
                self.extend_lease(now, from, sent_at, epoch);
                self.on_stored(now, from, request, term, Ack { version, epoch });
            }
            Message::Owned {
                request,
                term,
                owner,
                key_reused,
            } => self.on_owned(now, from, request, term, &owner, key_reused),
            Message::OutOfCapacity { request } => self.on_out_of_capacity(now, from, request),
            Message::RenewLease { sent_at } => self.on_renew_lease(now, from, sent_at),
            Message::LeaseRenewed { sent_at, epoch } => {
                self.extend_lease(now, from, sent_at, epoch)
            }
            Message::RequestVote {
                request,
                term,
                sent_at,
            } => self.on_request_vote(now, from, request, term, sent_at),
            Message::VoteGranted {
                record,
                term,
                sent_at,
                epoch,
            } => self.on_vote_granted(now, from, record, term, (sent_at, epoch)),
            Message::AwaitOutcome { request, digest } => {
                self.on_await_outcome(from, request, digest)
            }
            Message::Finished {
                request,
                term,
                outcome,
            } => self.on_finished(now, request, term, outcome),
            Message::UnknownRequest { request } => self.on_unknown_request(from, request),
            Message::Release { request, term } => self.on_release(from, request, term),
            // A record is accepted from its owner only.
            Message::Store { .. } => {}
        }
    }

    /// Runs all timers that are due.
    pub fn wake(&mut self, now: Nanos) {
        self.renew_leases(now);
        self.replica_bytes = self
            .replicas
            .values()
            .map(|replica| replica.record.byte_len())
            .sum();
        self.retry_owned(now);
        self.retry_waiting(now);
        self.drop_expired(now);
        self.run_due_elections(now);
        self.prune_leases(now);
    }

    fn send(&mut self, to: &MemberId, message: Message) {
        self.effects.push_back(Effect::Send {
            to: to.clone(),
            message,
        });
    }
}
