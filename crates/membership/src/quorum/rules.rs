//! The limits and time spans of the quorum state.

use crate::Nanos;

const NS_PER_S: Nanos = 1_000_000_000;

/// Limits and time spans of one [`Quorum`](super::Quorum).
///
/// All of them belong to the promise of progress alone: they say what a sidecar believes, never what it may do.
#[derive(Clone, Debug)]
pub struct Rules {
    /// How long views may differ before that is a dispute: updates take their time. Only a second view that differs,
    /// received this long after the first or later, shows that they still do.
    pub dispute_delay: Nanos,
    /// How long a better state must hold before it is believed, and how long a voter that came back must stay before it
    /// counts.
    pub recovery_delay: Nanos,
    /// How long a voter must be missed before it may be evicted.
    pub eviction_delay: Nanos,
    /// How long what another sidecar said counts.
    pub statement_lifetime: Nanos,
    /// Voters known at most; further ones are turned away and counted.
    pub max_voters: usize,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            dispute_delay: 10 * NS_PER_S,
            recovery_delay: 3 * NS_PER_S,
            eviction_delay: 600 * NS_PER_S,
            statement_lifetime: 300 * NS_PER_S,
            max_voters: 4_096,
        }
    }
}
