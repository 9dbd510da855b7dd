//! What comes due, in the order of time and then of scheduling.

use crate::member::MemberId;
use crate::Nanos;
use std::collections::BTreeMap;

/// What to do when a timer fires.
pub(super) enum Timer {
    /// End the last probe and begin the next one.
    ProtocolPeriod,
    /// The direct ping with this nonce has not been answered: probe indirectly.
    PingTimeout(u64),
    /// A suspected member with this number of refutations has not refuted in time.
    SuspicionTimeout { id: MemberId, refutations: u32 },
    /// The ping with this nonce was sent for another member and has not been answered.
    RelayTimeout(u64),
    /// The answer to the ping with this nonce is not waited for any more.
    PendingAckExpiry(u64),
    /// A dead member of this name may be forgotten.
    DeadExpiry(String),
}

/// A timer that has fired.
pub(super) struct Fired {
    /// When it was due.
    pub due: Nanos,
    pub timer: Timer,
}

/// All timers. Their number is bounded by the members and the answers that are waited for.
#[derive(Default)]
pub(super) struct Timers {
    by_time: BTreeMap<(Nanos, u64), Timer>,
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
    pub fn pop_due(&mut self, now: Nanos) -> Option<Fired> {
        let entry = self.by_time.first_entry()?;
        if entry.key().0 > now {
            return None;
        }
        let ((due, _), timer) = entry.remove_entry();
        Some(Fired { due, timer })
    }
}
