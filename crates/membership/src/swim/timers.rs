//! The timers, ordered by the time at which they are due, and then by the order in which they were scheduled.

use crate::member::MemberId;
use crate::Nanos;
use std::collections::BTreeMap;

/// What to do when a timer fires.
pub(super) enum Timer {
    /// End the last probe and begin the next one.
    ProtocolPeriod,
    /// The direct ping with this nonce has not been answered: probe indirectly.
    PingTimeout(u64),
    /// The suspected member has not refuted in time, if its number of refutations is still this one.
    SuspicionTimeout { id: MemberId, refutations: u32 },
    /// The ping with this nonce was sent for another member and has not been answered.
    RelayTimeout(u64),
    /// The answer to the ping with this nonce is no longer expected.
    PendingAckExpiry(u64),
    /// The dead member of this name may be forgotten.
    DeadExpiry(String),
}

/// A timer that has fired.
pub(super) struct FiredTimer {
    /// When it was due.
    pub due: Nanos,
    pub timer: Timer,
}

/// All timers. Their number is bounded by the known members and the pending answers.
#[derive(Default)]
pub(super) struct Timers {
    by_time: BTreeMap<(Nanos, u64), Timer>,
    /// Timers scheduled so far; orders those that are due at the same time.
    scheduled: u64,
}

impl Timers {
    pub fn schedule(&mut self, due: Nanos, timer: Timer) {
        self.scheduled += 1;
        self.by_time.insert((due, self.scheduled), timer);
    }

    /// Returns when the next timer is due.
    pub fn next_due(&self) -> Option<Nanos> {
        self.by_time.keys().next().map(|(due, _)| *due)
    }

    /// Removes the next timer if it is due.
    pub fn pop_due(&mut self, now: Nanos) -> Option<FiredTimer> {
        let entry = self.by_time.first_entry()?;
        if entry.key().0 > now {
            return None;
        }
        let ((due, _), timer) = entry.remove_entry();
        Some(FiredTimer { due, timer })
    }
}
