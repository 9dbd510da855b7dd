//! The replicated record of an in-flight request, and the messages between its owner, its backups and waiting sidecars.
//!
//! All types travel as `postcard`, which encodes fields and variants by position: their order is part of the protocol.

use crate::Nanos;
use havenplank_membership::member::MemberId;
use serde::{Deserialize, Serialize};

/// Identifies a request: a hash of the client's idempotency key, or of a unique value where it sent none.
pub type RequestId = u128;

/// How an attempt ended, as far as known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AttemptState {
    /// About to be written, or written with no known end: it may have run.
    InFlight,
    /// The pod provably did not run it.
    NeverRan,
    /// The pod may have run it.
    MayHaveRun,
}

/// One attempt to run a request on a pod.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// The name of the pod.
    pub pod: String,
    /// How long ago it was about to be written.
    pub age: Nanos,
    pub state: AttemptState,
}

/// The final outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// Served, with the encoded answer; empty if that was too long to be kept.
    Served(Vec<u8>),
    /// Rejected: it had no effect, or the pods drop a repeat.
    Rejected,
    /// Failed. `retryable`: the pods drop a repeat of what may have run.
    Failed { retryable: bool },
}

impl Outcome {
    /// Whether a new request under the same key may begin, as the client was told that it may retry.
    pub fn reopens(&self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::Failed { retryable: true }
        )
    }
}

/// What the owner of a request and its backups know of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Record {
    pub request: RequestId,
    /// The sidecar that may act on the request.
    pub owner: MemberId,
    /// Grows with each change of owner.
    pub term: u32,
    /// Grows with each change that the owner of this term makes.
    pub version: u32,
    /// Whether the owner knows that a majority of the backups keep the record. Until then it may still serve the
    /// request without backups, so nobody else may take over.
    pub confirmed: bool,
    /// The backups, the same from beginning to end.
    pub backups: Vec<MemberId>,
    /// A hash of the request, which reveals a different request under the same key.
    pub digest: u64,
    /// The encoded request.
    pub payload: Vec<u8>,
    /// The time left until the client's deadline.
    pub remaining: Nanos,
    /// The attempts, oldest first.
    pub attempts: Vec<Attempt>,
    /// The final outcome, once known.
    pub outcome: Option<Outcome>,
}

impl Record {
    /// The record as of a later moment. Only time spans travel, as no two clocks agree.
    pub fn later(&self, by: Nanos) -> Record {
        let mut record = self.clone();
        record.remaining = record.remaining.saturating_sub(by);
        record
            .attempts
            .iter_mut()
            .for_each(|attempt| attempt.age = attempt.age.saturating_add(by));
        record
    }

    /// The bytes of the request and of its answer.
    pub fn weight(&self) -> usize {
        let answer = match &self.outcome {
            Some(Outcome::Served(answer)) => answer.len(),
            _ => 0,
        };
        self.payload.len() + answer
    }

    /// Whether a claim of the same request may begin anew, as the client was told that it may retry.
    pub fn reopens_for(&self, digest: u64) -> bool {
        self.digest == digest && self.outcome.as_ref().is_some_and(Outcome::reopens)
    }

    /// The number of backups that is more than half of them.
    pub fn majority(&self) -> usize {
        self.backups.len() / 2 + 1
    }
}

/// What sidecars send to each other. A `stamp` is a time of the first sender's own clock, returned unchanged.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// To a backup: keep this record, or this newer version of it.
    Store { record: Record, stamp: Nanos },
    /// The record is kept.
    Stored {
        request: RequestId,
        term: u32,
        version: u32,
        stamp: Nanos,
        epoch: u32,
    },
    /// Another sidecar owns the request, by a later term or an earlier claim. `differs`: the key belongs to a different
    /// request.
    Owned {
        request: RequestId,
        term: u32,
        by: MemberId,
        differs: bool,
    },
    /// No room for another record.
    Full { request: RequestId },
    /// To a backup: renew the lease on all requests that it keeps for the sender.
    RenewLease { stamp: Nanos },
    /// The lease is renewed.
    LeaseRenewed { stamp: Nanos, epoch: u32 },
    /// The sender stands as the owner of the request in this term.
    RequestVote {
        request: RequestId,
        term: u32,
        stamp: Nanos,
    },
    /// A vote for the candidate, with the record that the voter keeps.
    VoteGranted {
        record: Record,
        term: u32,
        stamp: Nanos,
        epoch: u32,
    },
    /// To a backup: report the outcome when it is known.
    AwaitOutcome { request: RequestId, digest: u64 },
    /// The final outcome.
    Finished {
        request: RequestId,
        term: u32,
        outcome: Outcome,
    },
    /// The request is not known here.
    Unknown { request: RequestId },
    /// A claim is given up; no attempt was made.
    Release { request: RequestId, term: u32 },
}
