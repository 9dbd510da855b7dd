//! The quorum state, which becomes worse at once and better only after a delay.

use crate::Nanos;
use serde::{Deserialize, Serialize};

/// How much of the fleet a sidecar reaches, from the best state to the worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum QuorumState {
    /// More than half of the voters are reached, and they agree with us on who votes and who is alive.
    Agreed,
    /// More than half of the voters are reached, but some of them disagree with us on who votes or who is alive.
    Disputed,
    /// Half of the voters or fewer are reached.
    Few,
    /// No other voter is reached.
    Alone,
}

/// A change of the quorum state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateChange {
    /// The state before the change.
    pub was: QuorumState,
    /// The state after the change.
    pub is: QuorumState,
}

/// The current state, and the better one that may follow it.
pub(super) struct DampedState {
    state: QuorumState,
    since: Nanos,
    pending: Option<PendingState>,
}

/// A better state than the current one, which has not held for the recovery delay yet.
#[derive(Clone, Copy)]
struct PendingState {
    /// The worst of the states observed since then: the state that has held all the time.
    state: QuorumState,
    since: Nanos,
}

impl DampedState {
    pub fn new(now: Nanos) -> DampedState {
        DampedState {
            state: QuorumState::Alone,
            since: now,
            pending: None,
        }
    }

    pub fn state(&self) -> QuorumState {
        self.state
    }

    pub fn since(&self) -> Nanos {
        self.since
    }

    /// Records the state that is observed now. A worse state is entered at once, a better one after it has held for
    /// `recovery_delay`.
    pub fn observe(
        &mut self,
        now: Nanos,
        observed: QuorumState,
        recovery_delay: Nanos,
    ) -> Option<StateChange> {
        if observed >= self.state {
            self.pending = None;
            return (observed > self.state).then(|| self.enter(now, observed));
        }
        let previous = self.pending.unwrap_or(PendingState {
            state: observed,
            since: now,
        });
        let pending = PendingState {
            state: previous.state.max(observed),
            ..previous
        };
        if now.saturating_sub(pending.since) < recovery_delay {
            self.pending = Some(pending);
            return None;
        }
        self.pending = None;
        Some(self.enter(now, pending.state))
    }

    fn enter(&mut self, now: Nanos, is: QuorumState) -> StateChange {
        let was = self.state;
        (self.state, self.since) = (is, now);
        StateChange { was, is }
    }
}
