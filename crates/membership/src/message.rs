//! The messages of the membership protocol.
//!
//! They travel as `postcard`, which encodes fields and variants by position: their order is part of the protocol.

use crate::member::{Member, MemberId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What members say to each other about the membership. A `nonce` is drawn at random for each ping, so that nobody can
/// answer a ping that it has not received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A stranger, or one that is thought dead, asks to be pinged.
    Join {
        /// Who sends this.
        sender: Member,
    },
    /// Asks for an [`Message::Ack`].
    Ping {
        /// Returned with the answer.
        nonce: u64,
        /// Who sends this.
        sender: Member,
        /// Updates of other members.
        updates: Vec<Member>,
    },
    /// The answer to a ping.
    Ack {
        /// That of the ping.
        nonce: u64,
        /// Who sends this.
        sender: Member,
        /// Updates of other members; first the target, where this passes on the answer to a
        /// [`Message::PingRequest`].
        updates: Vec<Member>,
    },
    /// Asks the receiver to ping the target for the sender.
    PingRequest {
        /// That of the sender's own ping.
        nonce: u64,
        /// Who is to be pinged.
        target: MemberId,
        /// Where the target is reached.
        address: SocketAddr,
    },
    /// The target of a ping request has not answered the receiver of that request either, which is there itself.
    Nack {
        /// That of the ping request.
        nonce: u64,
    },
    /// Asks for a part of the member table.
    TableRequest {
        /// The part begins behind this name.
        after: String,
    },
    /// A part of the member table, by name.
    Table {
        /// The members of this part.
        members: Vec<Member>,
        /// Whether there are more behind the last one.
        more: bool,
    },
}
