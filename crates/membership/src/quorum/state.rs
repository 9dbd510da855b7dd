//! The quorum state, which falls at once and rises only after a while.

use crate::Nanos;
use serde::{Deserialize, Serialize};

/// What a sidecar may believe of its own place, from the best to the worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum QuorumState {
    /// More than half of the voters are reached, and see the same.
    Agreed,
    /// More than half are reached, and some see it otherwise.
    Disputed,
    /// Half or less are reached.
    Few,
    /// Nobody is reached.
    Alone,
}

/// A change of the quorum state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateChange {
    /// The state before.
    pub was: QuorumState,
    /// The state now.
    pub is: QuorumState,
}

/// The state in force.
pub(super) struct DampedState {
    state: QuorumState,
    since: Nanos,
    better: Option<Better>,
}

/// A better state than the one in force.
#[derive(Clone, Copy)]
struct Better {
    /// The worst of what was seen since then, so the state that has held all along.
    state: QuorumState,
    since: Nanos,
}

impl DampedState {
    pub fn new(now: Nanos) -> DampedState {
        DampedState {
            state: QuorumState::Alone,
            since: now,
            better: None,
        }
    }

    pub fn state(&self) -> QuorumState {
        self.state
    }

    pub fn since(&self) -> Nanos {
        self.since
    }

    /// Takes in what is seen now. A worse state is in force at once, a better one after it has held for so long.
    pub fn observe(
        &mut self,
        now: Nanos,
        seen: QuorumState,
        recovery_delay: Nanos,
    ) -> Option<StateChange> {
        if seen >= self.state {
            self.better = None;
            return (seen > self.state).then(|| self.enter(now, seen));
        }
        let began = self.better.unwrap_or(Better {
            state: seen,
            since: now,
        });
        let better = Better {
            state: began.state.max(seen),
            ..began
        };
        if now.saturating_sub(better.since) < recovery_delay {
            self.better = Some(better);
            return None;
        }
        self.better = None;
        Some(self.enter(now, better.state))
    }

    fn enter(&mut self, now: Nanos, is: QuorumState) -> StateChange {
        let was = self.state;
        (self.state, self.since) = (is, now);
        StateChange { was, is }
    }
}
