//! The limits and durations of the quorum state.

use crate::Nanos;

const NS_PER_S: Nanos = 1_000_000_000;

/// Limits and durations of one [`Quorum`](super::Quorum).
///
/// All of them belong to the promise of progress alone, not to safety: they determine what a sidecar believes, never
/// what it may do.
#[derive(Clone, Debug)]
pub struct Rules {
    /// How long views must differ before the difference is a dispute, since updates take time to spread. Only a second
    /// differing view, received at least this long after the first, shows that the views still differ.
    pub dispute_delay: Nanos,
    /// How long a better state must hold before it is entered, and how long a voter must stay after its first return
    /// before it counts as reached.
    pub recovery_delay: Nanos,
    /// How long a voter must be missing before it may be evicted, and how long the record of a former voter is kept.
    pub eviction_delay: Nanos,
    /// How long the content of a received view counts.
    pub statement_lifetime: Nanos,
    /// Limit on the known voters; further ones are rejected and counted.
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
