//! What peers tell each other of the membership, and what a sidecar tells its own parts of it.

use crate::member::{Member, MemberId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What fellows say to each other about the fellowship.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A stranger, or one thought gone, asks to be asked.
    Join {
        me: Member,
    },
    Ping {
        nonce: u64,
        me: Member,
        about: Vec<Member>,
    },
    Ack {
        nonce: u64,
        me: Member,
        about: Vec<Member>,
    },
    /// Ping this one for me.
    PingRequest {
        nonce: u64,
        id: MemberId,
        address: SocketAddr,
    },
    /// It has not answered me either, so far; I am here.
    Nack {
        nonce: u64,
    },
    /// A piece of the table: the names behind this one.
    TableRequest {
        after: String,
    },
    Table {
        about: Vec<Member>,
        more: bool,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    Joined(MemberId),
    Suspected(MemberId),
    Refuted(MemberId),
    Lost(MemberId),
    Left(MemberId),
    /// Our name was known under a later life than ours, from before a start with a clock set back: ours is higher now.
    IncarnationRaised(MemberId),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Send {
        to: MemberId,
        address: SocketAddr,
        message: Message,
    },
    Event(MemberEvent),
    /// Nothing is known of this name any more.
    Forget(String),
}
