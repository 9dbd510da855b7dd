//! A member and what is known of it: identity, address, zone and state.
//!
//! These types are sent in `postcard` encoding, which identifies fields and variants by position: their order is part
//! of the protocol.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The longest name of a member or of a zone, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Identifies one incarnation of a member: its name, and a number that grows with each start under that name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// The name of the sidecar, the same after a restart; 1 to [`MAX_NAME_BYTES`] bytes. It is empty only in the
    /// receiver of a message whose sender does not know the name.
    pub name: String,
    /// The number of the start: the wall clock in milliseconds, raised if other members know a later one.
    pub incarnation: u64,
}

/// Whether a member is alive, as far as is known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers pings.
    Alive,
    /// It did not answer the member of this name. The name keeps independent suspicions apart.
    Suspected(String),
    /// It was suspected and did not refute the suspicion in time.
    Dead,
    /// It announced that it is leaving. This is final for its incarnation.
    Left,
}

/// A member as it is known here, or as an update describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name and incarnation.
    pub id: MemberId,
    /// The address that the member states for itself, since the sender address of its datagrams may be that of a relay.
    pub address: SocketAddr,
    /// The zone that it runs in; empty if it has none.
    pub zone: String,
    /// How often the member refuted a suspicion of this incarnation; only the member itself raises this number. SWIM
    /// calls it the incarnation number.
    pub refutations: u32,
    /// Whether it is alive.
    pub state: MemberState,
}

impl Member {
    /// Whether the member counts as alive. A suspected member does.
    pub(crate) fn is_alive(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspected(_))
    }

    /// Whether the member is suspected and not yet dead.
    pub(crate) fn is_suspected(&self) -> bool {
        matches!(self.state, MemberState::Suspected(_))
    }

    /// Whether this update overrides what is `known` of the same incarnation, by SWIM's order of states.
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
