//! The messages between the owner of a request, its backups and waiting sidecars.
//!
//! They travel as `postcard`, which encodes fields and variants by position: their order is part of the protocol.

use crate::record::{Outcome, Record, RequestId};
use crate::Nanos;
use havenplank_membership::member::MemberId;
use serde::{Deserialize, Serialize};

/// What sidecars send to each other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// To a backup: keep this record, or this newer version of it.
    Store {
        /// The record.
        record: Record,
        /// When the first sender sent its message, on its own clock; returned unchanged.
        sent_at: Nanos,
    },
    /// The record is kept.
    Stored {
        /// The request.
        request: RequestId,
        /// The term that this is about.
        term: u32,
        /// The version of the record.
        version: u32,
        /// When the first sender sent its message, on its own clock; returned unchanged.
        sent_at: Nanos,
        /// The backup's epoch for the receiver.
        epoch: u32,
    },
    /// Another sidecar owns the request, by a later term or an earlier claim.
    Owned {
        /// The request.
        request: RequestId,
        /// The term that this is about.
        term: u32,
        /// Its owner.
        owner: MemberId,
        /// Whether the key belongs to a different request.
        key_reused: bool,
    },
    /// No room for another record.
    OutOfCapacity {
        /// The request.
        request: RequestId,
    },
    /// To a backup: renew the lease on all requests that it keeps for the sender.
    RenewLease {
        /// When the first sender sent its message, on its own clock; returned unchanged.
        sent_at: Nanos,
    },
    /// The lease is renewed.
    LeaseRenewed {
        /// When the first sender sent its message, on its own clock; returned unchanged.
        sent_at: Nanos,
        /// The backup's epoch for the receiver.
        epoch: u32,
    },
    /// The sender stands as the owner of the request in this term.
    RequestVote {
        /// The request.
        request: RequestId,
        /// The term that this is about.
        term: u32,
        /// When the first sender sent its message, on its own clock; returned unchanged.
        sent_at: Nanos,
    },
    /// A vote for the candidate, with the record that the voter keeps.
    VoteGranted {
        /// The record.
        record: Record,
        /// The term that this is about.
        term: u32,
        /// When the first sender sent its message, on its own clock; returned unchanged.
        sent_at: Nanos,
        /// The backup's epoch for the receiver.
        epoch: u32,
    },
    /// To a backup: report the outcome when it is known.
    AwaitOutcome {
        /// The request.
        request: RequestId,
        /// The digest of the request that is waited for.
        digest: u64,
    },
    /// The final outcome.
    Finished {
        /// The request.
        request: RequestId,
        /// The term that this is about.
        term: u32,
        /// The outcome.
        outcome: Outcome,
    },
    /// The request is not known here.
    UnknownRequest {
        /// The request.
        request: RequestId,
    },
    /// A claim is given up; no attempt was made.
    Release {
        /// The request.
        request: RequestId,
        /// The term that this is about.
        term: u32,
    },
}
