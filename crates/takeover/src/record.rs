//! The replicated record of an in-flight request.
//!
//! All types are encoded with `postcard`, which writes fields and variants by position: their order is part of the
//! protocol.

use crate::Nanos;
use havenplank_membership::member::MemberId;
use serde::{Deserialize, Serialize};

/// Identifies a request: a hash of the client's idempotency key, or of a unique value if the client sent no key.
pub type RequestId = u128;

/// How an attempt ended, as far as known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AttemptState {
    /// About to be written to the pod, or written without a known result: the pod may have run it.
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
    /// The time since the attempt was recorded, right before it was written to the pod.
    pub age: Nanos,
    /// How it ended, as far as known.
    pub state: AttemptState,
}

/// The final outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// Served, with the encoded answer. The answer is empty if it was too long or the backup had no room for it.
    Served(Vec<u8>),
    /// Rejected: the request had no effect, or the pods discard a repeat of it.
    Rejected,
    /// The request failed.
    Failed {
        /// Whether the client may retry, because the pods discard a repeat of a request that may have run.
        retryable: bool,
    },
}

impl Outcome {
    /// Returns whether a new request with the same key may begin, because the answer says that the client may retry.
    pub fn allows_retry(&self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::Failed { retryable: true }
        )
    }
}

/// What the owner of a request and its backups know about the request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The request.
    pub request: RequestId,
    /// The sidecar that may act on the request.
    pub owner: MemberId,
    /// Increases with each change of owner.
    pub term: u32,
    /// Increases with each change that the owner of this term makes to the record.
    pub version: u32,
    /// Whether the owner knows that a majority of the backups have stored the record. Until then, the owner may still
    /// serve the request without backups, so no other sidecar may take the request over.
    pub confirmed: bool,
    /// The backups, which stay the same for as long as the record exists.
    pub backups: Vec<MemberId>,
    /// A hash of the request, which reveals a different request with the same idempotency key.
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
    /// Returns the record with its time spans moved on by `elapsed`. Records hold time spans rather than points in
    /// time, because no two clocks agree.
    pub fn advanced_by(&self, elapsed: Nanos) -> Record {
        let mut record = self.clone();
        record.remaining = record.remaining.saturating_sub(elapsed);
        record
            .attempts
            .iter_mut()
            .for_each(|attempt| attempt.age = attempt.age.saturating_add(elapsed));
        record
    }

    /// Returns the size of the request and of its answer, in bytes.
    pub fn byte_len(&self) -> usize {
        let answer = match &self.outcome {
            Some(Outcome::Served(answer)) => answer.len(),
            _ => 0,
        };
        self.payload.len() + answer
    }

    /// Returns whether the same request may be claimed again, because the answer says that the client may retry.
    pub fn allows_retry_of(&self, digest: u64) -> bool {
        self.digest == digest && self.outcome.as_ref().is_some_and(Outcome::allows_retry)
    }

    /// Returns the smallest number of backups that is a majority: more than half.
    pub fn majority(&self) -> usize {
        self.backups.len() / 2 + 1
    }
}
