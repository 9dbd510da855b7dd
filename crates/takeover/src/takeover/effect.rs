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
    /// Another sidecar owns the request. [`Effect::Finished`] or [`Effect::Unknown`] follows, unless the client's
    /// deadline passes first.
    Joined(RequestId),
    /// Too few backups can be reached or have room, or this sidecar owns too many requests already: the request is
    /// served without backups.
    Unprotected(RequestId),
    /// Too few backups can be reached or have room, or this sidecar owns too many requests already, and the request may
    /// be in flight elsewhere and must not run twice: reject it. No attempt was sent to a pod.
    Uncertain(RequestId),
    /// The idempotency key belongs to a different request, which is in flight or finished: reject this one.
    KeyReused(RequestId),
    /// This sidecar now owns the request: finish it, taking its earlier attempts into account.
    TakenOver(Record),
    /// This sidecar no longer owns the request: send nothing more for it. If this sidecar waits for the outcome of
    /// another owner, [`Effect::Finished`] or [`Effect::Unknown`] follows, unless the client's deadline passes first.
    /// After a vote for a candidate it does not wait.
    OwnershipLost(RequestId),
    /// The final outcome of a request that this sidecar waited for.
    Finished(RequestId, Outcome),
    /// None of the backups knows the request any more.
    Unknown(RequestId),
}
