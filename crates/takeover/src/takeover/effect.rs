//! What the state machine asks its caller to do.

use crate::message::Message;
use crate::record::{Outcome, Record, RequestId};
use havenplank_membership::member::MemberId;

/// What the caller has to carry out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Send this message.
    Send {
        /// Its receiver.
        to: MemberId,
        /// The message.
        message: Message,
    },
    /// More than half of the backups have the request: it may begin.
    Claimed(RequestId),
    /// They know of the attempt with this index. Ask [`Takeover::may_send`](crate::Takeover::may_send) right before the write.
    AttemptReady(RequestId, usize),
    /// Another sidecar owns the request; its answer will follow.
    Joined(RequestId),
    /// Too few backups can be reached or have room: the request is served without them.
    Unprotected(RequestId),
    /// The same, for a request that may be in flight elsewhere and must not run twice: reject it; nothing was sent.
    Uncertain(RequestId),
    /// A different request under the same idempotency key is in flight.
    KeyReused(RequestId),
    /// This sidecar owns the request now: finish it, considering its earlier attempts.
    TakenOver(Record),
    /// Another sidecar owns the request now: send nothing more for it. Its answer will follow.
    OwnershipLost(RequestId),
    /// The final outcome of a request that was waited for here.
    Finished(RequestId, Outcome),
    /// None of its backups knows the request any more.
    Unknown(RequestId),
}
