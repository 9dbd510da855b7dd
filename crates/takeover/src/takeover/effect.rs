//! The actions and events that the state machine hands to its caller.

use crate::message::Message;
use crate::record::{Outcome, Record, RequestId};
use havenplank_membership::member::MemberId;

/// An action for the caller to carry out, or an event for it to handle.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Send this message.
    Send {
        /// The receiver.
        to: MemberId,
        /// The message.
        message: Message,
    },
    /// As many backups as required have stored the record: the request may begin.
    Claimed(RequestId),
    /// More than half of the backups have stored the attempt with this index. Call
    /// [`Takeover::may_send`](crate::Takeover::may_send) right before the write.
    AttemptReady(RequestId, usize),
    /// Another sidecar owns the request. Its answer will follow.
    Joined(RequestId),
    /// Too few backups can be reached or have room: the request is served without backups.
    Unprotected(RequestId),
    /// Too few backups can be reached or have room, and the request may be in flight elsewhere and must not run twice:
    /// reject it. Nothing was sent.
    Uncertain(RequestId),
    /// A different request with the same idempotency key is in flight.
    KeyReused(RequestId),
    /// This sidecar now owns the request: finish it, taking its earlier attempts into account.
    TakenOver(Record),
    /// Another sidecar now owns the request: send nothing more for it. Its answer will follow.
    OwnershipLost(RequestId),
    /// The final outcome of a request that this sidecar waited for.
    Finished(RequestId, Outcome),
    /// None of the backups knows the request any more.
    Unknown(RequestId),
}
