//! The limits and time spans of the membership protocol.

use crate::Nanos;

const NS_PER_MS: Nanos = 1_000_000;

/// Limits and time spans of one [`Membership`](super::Membership).
///
/// All time-outs belong to the promise of progress alone: they say how soon a member is noticed or given up, never who
/// may act.
#[derive(Clone, Debug)]
pub struct Rules {
    /// The protocol period: one member is probed in each.
    pub period: Nanos,
    /// How long the answer to a direct ping may take; under half of the period.
    pub ping_timeout: Nanos,
    /// Members that are asked to ping one that does not answer.
    pub indirect_probes: usize,
    /// Members known at most, dead ones among them. Beyond it the one that has been dead longest is forgotten, and where
    /// none is dead a newcomer is turned away and counted.
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
