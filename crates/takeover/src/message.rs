//! The messages between the owner of a request, its backups and waiting sidecars.
//!
//! The messages are encoded with `postcard`, which writes fields and variants by position: their order is part of the
//! protocol.

use crate::record::{Outcome, Record, RequestId};
use crate::Nanos;
use havenplank_membership::member::MemberId;
use serde::{Deserialize, Serialize};

/// A message between sidecars.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// To a backup: store this record, or this newer version of it.
    Store {
        /// The record.
        record: Record,
        /// When the sender sent this message, on its own clock. The reply returns this value unchanged.
        sent_at: Nanos,
    },
    /// Reply to [`Message::Store`]: the record is stored.
    Stored {
        /// The request.
        request: RequestId,
        /// The term that the message refers to.
        term: u32,
        /// The version of the record.
        version: u32,
        /// The `sent_at` of the message that this one answers, unchanged.
        sent_at: Nanos,
        /// The backup's current epoch for the receiver of this message.
        epoch: u32,
    },
    /// Another sidecar owns the request, through a later term or an earlier claim.
    Owned {
        /// The request.
        request: RequestId,
        /// The term that the message refers to.
        term: u32,
        /// The owner of the request.
        owner: MemberId,
        /// Whether the idempotency key belongs to a different request.
        key_reused: bool,
    },
    /// Reply to [`Message::Store`]: the backup has no room for another record.
    OutOfCapacity {
        /// The request.
        request: RequestId,
    },
    /// To a backup: renew the lease for all requests whose records it keeps for the sender.
    RenewLease {
        /// When the sender sent this message, on its own clock. The reply returns this value unchanged.
        sent_at: Nanos,
    },
    /// Reply to [`Message::RenewLease`]: the lease is renewed.
    LeaseRenewed {
        /// The `sent_at` of the message that this one answers, unchanged.
        sent_at: Nanos,
        /// The backup's current epoch for the receiver of this message.
        epoch: u32,
    },
    /// The sender is a candidate for the ownership of the request in this term.
    RequestVote {
        /// The request.
        request: RequestId,
        /// The term that the message refers to.
        term: u32,
        /// When the sender sent this message, on its own clock. The reply returns this value unchanged.
        sent_at: Nanos,
    },
    /// A vote for the candidate, with the record that the voter keeps.
    VoteGranted {
        /// The record.
        record: Record,
        /// The term that the message refers to.
        term: u32,
        /// The `sent_at` of the message that this one answers, unchanged.
        sent_at: Nanos,
        /// The backup's current epoch for the receiver of this message.
        epoch: u32,
    },
    /// To a backup: report the outcome of the request once it is known.
    AwaitOutcome {
        /// The request.
        request: RequestId,
        /// The digest of the request whose outcome is awaited.
        digest: u64,
    },
    /// The final outcome of the request.
    Finished {
        /// The request.
        request: RequestId,
        /// The term that the message refers to.
        term: u32,
        /// The outcome.
        outcome: Outcome,
    },
    /// The sender has no record of the request.
    UnknownRequest {
        /// The request.
        request: RequestId,
    },
    /// The sender has abandoned its claim and made no attempt.
    Release {
        /// The request.
        request: RequestId,
        /// The term that the message refers to.
        term: u32,
    },
}
