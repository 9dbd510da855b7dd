//! Timers, ordered by their due times.

use havenplank::interface::{Callback, Nanos};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Identifies a timer.
pub(super) type TimerId = u64;

/// The timers that the router has set. Each belongs to a request, a pod or a periodic task, which bounds their number.
#[derive(Default)]
pub(super) struct Timers {
    due: BinaryHeap<Reverse<(Nanos, TimerId)>>,
    callbacks: HashMap<TimerId, Callback<()>>,
    last_id: TimerId,
}

impl Timers {
    /// Sets a timer that calls back at this time.
    pub(super) fn set(&mut self, at: Nanos, on_due: Callback<()>) {
        self.last_id += 1;
        self.due.push(Reverse((at, self.last_id)));
        self.callbacks.insert(self.last_id, on_due);
    }

    /// Returns when the next timer is due.
    pub(super) fn next_due(&self) -> Option<Nanos> {
        self.due.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes the next timer that is due at this time and returns its id; of two timers due at the same time, the one
    /// that was set first.
    pub(super) fn pop_due(&mut self, now: Nanos) -> Option<TimerId> {
        if self.next_due()? > now {
            return None;
        }
        self.due.pop().map(|Reverse((_, id))| id)
    }

    /// Removes and returns a timer's callback; `None` if it was taken before.
    pub(super) fn take(&mut self, id: TimerId) -> Option<Callback<()>> {
        self.callbacks.remove(&id)
    }

    /// Drops timers at the front of the queue whose callbacks were already taken by id.
    pub(super) fn drop_taken(&mut self) {
        while let Some(Reverse((_, id))) = self.due.peek() {
            if self.callbacks.contains_key(id) {
                break;
            }
            self.due.pop();
        }
    }
}
