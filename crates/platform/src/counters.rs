//! Counters for the `state` log line.

use std::cell::Cell;

/// Adds one to a count while this exists; dropping it subtracts one, also when a future is cancelled.
pub(crate) struct CountGuard<'a>(&'a Cell<usize>);

impl<'a> CountGuard<'a> {
    pub(crate) fn new(count: &'a Cell<usize>) -> CountGuard<'a> {
        count.set(count.get() + 1);
        CountGuard(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Adds one to a count of events since the process started.
pub(crate) fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}
