//! A member and what is known of it: identity, address, zone and state.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The longest name of a member or of a zone, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Identifies one incarnation of a member: its name, and a number that grows with each start under that name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// The name of the sidecar, the same after a restart; 1 to [`MAX_NAME_BYTES`] bytes.
    pub name: String,
    /// The number of the start: the wall clock's milliseconds, raised where other members know a later one.
    pub incarnation: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    Alive,
    /// By whom, so that independent suspicions can be told apart.
    Suspected(String),
    Dead,
    /// It said so itself: final for its life.
    Left,
}

/// What is known of one fellow, as it travels.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub id: MemberId,
    /// Where it is reached, as it says itself: what lies between may show another address.
    pub address: SocketAddr,
    pub zone: String,
    /// Raised by the fellow itself, to refute what is said of it.
    pub refutations: u32,
    pub state: MemberState,
}

impl Member {
    pub(crate) fn is_alive(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspected(_))
    }

    /// Whether this says more than `known` of the same life.
    pub(crate) fn overrides(&self, known: &Member) -> bool {
        use MemberState::{Alive, Dead, Left, Suspected};
        match (&self.state, &known.state) {
            (_, Left) => false,
            (Left, _) => true,
            (Dead, Dead) | (Alive, _) => self.refutations > known.refutations,
            (Dead, _) | (Suspected(_), Alive) => self.refutations >= known.refutations,
            (Suspected(_), _) => self.refutations > known.refutations,
        }
    }
}
