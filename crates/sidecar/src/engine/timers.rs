//! Timers by the time they are due.

use havenplank::interface::{Callback, Nanos};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Names a timer.
pub(super) type TimerId = u64;

/// The timers that the decisions have set; each of theirs belongs to a request, a pod or a periodic task.
#[derive(Default)]
pub(super) struct Timers {
    due: BinaryHeap<Reverse<(Nanos, TimerId)>>,
    callbacks: HashMap<TimerId, Callback<()>>,
    last_id: TimerId,
}

impl Timers {
    /// Calls back at this time.
    pub(super) fn set(&mut self, at: Nanos, on_due: Callback<()>) {
        self.last_id += 1;
        self.due.push(Reverse((at, self.last_id)));
        self.callbacks.insert(self.last_id, on_due);
    }

    /// When the next timer is due.
    pub(super) fn next_due(&self) -> Option<Nanos> {
        self.due.peek().map(|Reverse((at, _))| *at)
    }

    /// Takes the next timer that is due at this time; of two due at once, the one that was set first.
    pub(super) fn pop_due(&mut self, now: Nanos) -> Option<TimerId> {
        if self.next_due()? > now {
            return None;
        }
        self.due.pop().map(|Reverse((_, id))| id)
    }

    /// Takes a timer's callback; none where it was taken before.
    pub(super) fn take(&mut self, id: TimerId) -> Option<Callback<()>> {
        self.callbacks.remove(&id)
    }

    /// Drops timers at the front whose callbacks were taken by name.
    pub(super) fn drop_taken(&mut self) {
        while let Some(Reverse((_, id))) = self.due.peek() {
            if self.callbacks.contains_key(id) {
                break;
            }
            self.due.pop();
        }
    }
}
