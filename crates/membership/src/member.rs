//! A member and what is known of it: identity, address, zone and state.
//!
//! These types travel as `postcard`, which encodes fields and variants by position: their order is part of the protocol.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The longest name of a member or of a zone, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Identifies one incarnation of a member: its name, and a number that grows with each start under that name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// The name of the sidecar, the same after a restart; 1 to [`MAX_NAME_BYTES`] bytes. It is empty in the address of a
    /// message whose sender knows no name.
    pub name: String,
    /// The number of the start: the wall clock's milliseconds, raised where other members know a later one.
    pub incarnation: u64,
}

/// What is known of whether a member is there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer this member, whose name keeps independent suspicions apart.
    Suspected(String),
    /// It was suspected and did not refute that in time.
    Dead,
    /// It said that it leaves: final for its incarnation.
    Left,
}

/// A member as it is known and as updates describe it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Which incarnation of which member this is.
    pub id: MemberId,
    /// Where it is reached, as it says itself: a relay between may show another address.
    pub address: SocketAddr,
    /// The zone that it runs in; empty where it has none.
    pub zone: String,
    /// How often it refuted what was said of this incarnation; it alone raises this number. SWIM calls it the
    /// incarnation number.
    pub refutations: u32,
    /// Whether it is there.
    pub state: MemberState,
}

impl Member {
    /// Whether the member counts as there: alive, or suspected at most.
    pub(crate) fn is_alive(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspected(_))
    }

    /// Whether the member is suspected and not yet dead.
    pub(crate) fn is_suspected(&self) -> bool {
        matches!(self.state, MemberState::Suspected(_))
    }

    /// Whether this update says more than what is `known` of the same incarnation, by SWIM's order of states.
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
