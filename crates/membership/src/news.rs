//! What peers tell each other of the membership, and what a sidecar tells its own parts of it.

use crate::wire::Life;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    Lives,
    /// By whom, so that independent suspicions can be told apart.
    Suspected(String),
    Gone,
    /// It said so itself: final for its life.
    Left,
}

/// What is known of one fellow, as it travels.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    pub who: Life,
    /// Where it is reached, as it says itself: what lies between may show another address.
    pub at: SocketAddr,
    pub zone: String,
    /// Raised by the fellow itself, to refute what is said of it.
    pub round: u32,
    pub state: State,
}

impl News {
    pub(crate) fn is_there(&self) -> bool {
        matches!(self.state, State::Lives | State::Suspected(_))
    }

    /// Whether this says more than `known` of the same life.
    pub(crate) fn overrides(&self, known: &News) -> bool {
        use State::{Gone, Left, Lives, Suspected};
        match (&self.state, &known.state) {
            (_, Left) => false,
            (Left, _) => true,
            (Gone, Gone) | (Lives, _) => self.round > known.round,
            (Gone, _) | (Suspected(_), Lives) => self.round >= known.round,
            (Suspected(_), _) => self.round > known.round,
        }
    }
}

/// What fellows say to each other about the fellowship.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Talk {
    /// A stranger, or one thought gone, asks to be asked.
    Hello {
        me: News,
    },
    Ping {
        nonce: u64,
        me: News,
        about: Vec<News>,
    },
    Ack {
        nonce: u64,
        me: News,
        about: Vec<News>,
    },
    /// Ping this one for me.
    Ask {
        nonce: u64,
        who: Life,
        at: SocketAddr,
    },
    /// It has not answered me either, so far; I am here.
    Nack {
        nonce: u64,
    },
    /// A piece of the table: the names behind this one.
    Want {
        after: String,
    },
    Table {
        about: Vec<News>,
        more: bool,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    Joined(Life),
    Suspected(Life),
    Cleared(Life),
    Lost(Life),
    Left(Life),
    /// Our name was known under a later life than ours, from before a start with a clock set back: ours is higher now.
    Reborn(Life),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Say {
        to: Life,
        at: SocketAddr,
        talk: Talk,
    },
    Told(Event),
    /// Nothing is known of this name any more.
    Forgot(String),
}
