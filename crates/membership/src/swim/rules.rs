//! The limits and durations of the membership protocol.

use crate::Nanos;

const NS_PER_MS: Nanos = 1_000_000;

/// Limits and durations of one [`Membership`](super::Membership).
///
/// All timeouts belong to the promise of progress alone, not to safety: they determine how soon a member is noticed or
/// declared dead, never who may act.
#[derive(Clone, Debug)]
pub struct Rules {
    /// The protocol period, in which one member is probed.
    pub period: Nanos,
    /// Time limit for the answer to a direct ping; less than half of the period.
    pub ping_timeout: Nanos,
    /// The number of members that are asked to ping a target that does not answer.
    pub indirect_probes: usize,
    /// Limit on the known members, including dead ones. Above it the member that has been dead longest is forgotten; if
    /// none is dead, the new member is rejected and counted.
    pub max_members: usize,
    /// How long a dead member stays known, so that old updates do not bring it back.
    pub dead_retention: Nanos,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            period: 500 * NS_PER_MS,
            ping_timeout: 150 * NS_PER_MS,
            indirect_probes: 3,
            max_members: 4_096,
            dead_retention: 600_000 * NS_PER_MS,
        }
    }
}
