//! The state machine that decides who may act on a request: its owner, one of its backups, or nobody here.
//!
//! An owner may act while more than half of the request's backups have granted it a lease. A lease counts from when the
//! owner asked for it and is kept by the backup from when the request for it arrived, each on its own monotonic clock.
//! A backup whose grant has expired may ask the other backups for their votes; a majority must agree, and each votes
//! once a term. Any two majorities share a backup, so no request has two acting owners, whatever is lost, repeated,
//! late or paused, while clocks drift less than stated. Liveness needs a majority: a takeover begins only while more
//! than half of the backups can talk; a backup that is alone keeps the record and waits.
//!
//! A backup that votes against an owner raises its epoch for that owner. A lease counts only for records stored in the
//! same epoch, so that a renewal never revives a record that was voted away.

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
    /// Requests in flight here.
    pub owned: usize,
    /// Records kept for other sidecars.
    pub replicas: usize,
    /// Requests whose outcome is awaited here.
    pub waiting: usize,
}

/// The in-flight requests of one sidecar, the records it keeps for others, and the clients that wait for an answer.
#[derive(Clone)]
pub struct Takeover {
    me: MemberId,
    rules: Rules,
    /// Requests in flight here; removed when all backups know the outcome, or [`Rules::retention`] after the deadline.
    owned: BTreeMap<RequestId, OwnedRequest>,
    /// Records of other owners, removed [`Rules::retention`] after the deadline. Requests that were in flight here move
    /// to this table, so it holds at most [`Rules::max_replicas`] and [`Rules::max_owned`] more.
    replicas: BTreeMap<RequestId, Replica>,
    /// Requests whose outcome is awaited here; removed with the outcome or at the client's deadline. At most one entry
    /// a waiting client, whose number the listener bounds.
    waiting: BTreeMap<RequestId, Waiting>,
    /// Until when this sidecar takes over nothing from an owner. Removed with the last record kept for it.
    granted: BTreeMap<MemberId, Nanos>,
    /// For each owner the value of `withdrawals` when this sidecar last voted against it. An owner without an entry has
    /// the current value, so that an entry that was removed and added again never shows an earlier epoch.
    epochs: BTreeMap<MemberId, u32>,
    withdrawals: u32,
    /// By backup: until when its lease to this sidecar lasts, and its epoch. Removed with the last request it backs up.
    leases: BTreeMap<String, Lease>,
    renew_at: Nanos,
    random: Rand64,
    effects: VecDeque<Effect>,
    /// Bytes of all records kept: summed up at each wake-up, with later additions on top.
    replica_bytes: usize,
    /// Claims that found too few backups.
    pub unprotected: u64,
    /// Records that were rejected for lack of room.
    pub rejected_records: u64,
    /// Requests taken over from lost owners.
    pub taken_over: u64,
}

/// For searches that recognise a state: all that decisions depend on except the random source of the retry jitter.
impl Hash for Takeover {
    fn hash<H: Hasher>(&self, to: &mut H) {
        (
            &self.me,
            &self.owned,
            &self.replicas,
            &self.waiting,
            &self.effects,
        )
            .hash(to);
        (
            &self.granted,
            &self.epochs,
            self.withdrawals,
            &self.leases,
            self.renew_at,
        )
            .hash(to);
    }
}

impl Takeover {
    /// An empty state machine; `seed` drives the retry jitter only.
    pub fn new(now: Nanos, seed: u64, me: MemberId, rules: Rules) -> Takeover {
        Takeover {
            me,
            rules,
            owned: BTreeMap::new(),
            replicas: BTreeMap::new(),
            waiting: BTreeMap::new(),
            granted: BTreeMap::new(),
            epochs: BTreeMap::new(),
            withdrawals: 0,
            leases: BTreeMap::new(),
            renew_at: now,
            random: Rand64::new(seed as u128),
            effects: VecDeque::new(),
            replica_bytes: 0,
            unprotected: 0,
            rejected_records: 0,
            taken_over: 0,
        }
    }

    /// The next effect to carry out, if any.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// When [`Takeover::wake`] is due next.
    pub fn next_wake(&self) -> Option<Nanos> {
        let owned = self.owned.values().map(|owned| owned.retry_at);
        let renew = (!self.owned.is_empty()).then_some(self.renew_at);
        let replica = self
            .replicas
            .values()
            .map(|replica| self.election_due(replica).min(replica.forget));
        let waiting = self
            .waiting
            .values()
            .map(|waiting| waiting.retry_at.min(waiting.forget));
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

    /// The record kept here for the request's owner.
    pub fn replica(&self, request: RequestId) -> Option<&Record> {
        self.replicas.get(&request).map(|replica| &replica.record)
    }

    /// Handles a message of another sidecar.
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
            // Only an owner sends its record.
            Message::Store { .. } => {}
        }
    }

    /// Does what is due by now.
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
        self.hold_elections(now);
        self.prune_leases(now);
    }

    fn send(&mut self, to: &MemberId, message: Message) {
        self.effects.push_back(Effect::Send {
            to: to.clone(),
            message,
        });
    }
}
