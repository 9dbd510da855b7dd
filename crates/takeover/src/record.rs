//! The replicated record of an in-flight request.
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
    /// How it ended, as far as known.
    pub state: AttemptState,
}

/// The final outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// Served, with the encoded answer; empty if that was too long to be kept.
    Served(Vec<u8>),
    /// Rejected: it had no effect, or the pods drop a repeat.
    Rejected,
    /// Failed.
    Failed {
        /// Whether the client may retry: the pods drop a repeat of what may have run.
        retryable: bool,
    },
}

impl Outcome {
    /// Whether a new request under the same key may begin, as the client was told that it may retry.
    pub fn allows_retry(&self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::Failed { retryable: true }
        )
    }
}

/// What the owner of a request and its backups know of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The request.
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
    /// Returns the record as of a later moment. Only time spans travel, as no two clocks agree.
    pub fn advanced_by(&self, elapsed: Nanos) -> Record {
        let mut record = self.clone();
        record.remaining = record.remaining.saturating_sub(elapsed);
        record
            .attempts
            .iter_mut()
            .for_each(|attempt| attempt.age = attempt.age.saturating_add(elapsed));
        record
    }

    /// Returns the bytes of the request and of its answer.
    pub fn byte_len(&self) -> usize {
        let answer = match &self.outcome {
            Some(Outcome::Served(answer)) => answer.len(),
            _ => 0,
        };
        self.payload.len() + answer
    }

    /// Whether a claim of the same request may begin anew, as the client was told that it may retry.
    pub fn allows_retry_of(&self, digest: u64) -> bool {
        self.digest == digest && self.outcome.as_ref().is_some_and(Outcome::allows_retry)
    }

    /// Returns the number of backups that is more than half of them.
    pub fn majority(&self) -> usize {
        self.backups.len() / 2 + 1
    }
}
