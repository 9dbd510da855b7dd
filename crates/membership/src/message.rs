//! The messages of the membership protocol.
//!
//! They are sent in `postcard` encoding, which identifies fields and variants by position: their order is part of the
//! protocol.

use crate::member::{Member, MemberId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A message of the membership protocol. The `nonce` of a ping is drawn at random, so that a ping can be answered only
/// by a sidecar that has received it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the receiver for a ping, which lets the sender become a member. Sent to addresses at which the sender knows
    /// no living member.
    Join {
        /// The sender.
        sender: Member,
    },
    /// Asks for an [`Message::Ack`].
    Ping {
        /// Returned in the answer.
        nonce: u64,
        /// The sender.
        sender: Member,
        /// Updates about other members.
        updates: Vec<Member>,
    },
    /// The answer to a ping.
    Ack {
        /// The nonce of the ping.
        nonce: u64,
        /// The sender.
        sender: Member,
        /// Updates about other members. In an answer that is forwarded for a [`Message::PingRequest`], the first one is
        /// the target.
        updates: Vec<Member>,
    },
    /// Asks the receiver to ping the target on behalf of the sender.
    PingRequest {
        /// The nonce of the sender's own ping.
        nonce: u64,
        /// The member to ping.
        target: MemberId,
        /// The address of the target.
        address: SocketAddr,
    },
    /// Tells the sender of a ping request that the target has not answered so far. It shows that the receiver of the
    /// request is reachable itself.
    Nack {
        /// The nonce of the ping request.
        nonce: u64,
    },
    /// Asks for a part of the member table.
    TableRequest {
        /// The part begins after this name.
        after: String,
    },
    /// A part of the member table, ordered by name.
    Table {
        /// The members of this part.
        members: Vec<Member>,
        /// Whether the table continues after the last of these members.
        more: bool,
    },
}
