//! What the `state` log line shows of the endpoint list.

use super::watch_selection::ListVersion;
use std::cell::Cell;
use std::time::Instant;

/// The state of the endpoint list, recorded by the task that follows it.
pub(crate) struct ListStatus {
    /// The version of the present list.
    pub(crate) version: Cell<ListVersion>,
    /// When the last complete message of the active watch was received; the start of the process before the first.
    pub(crate) last_message: Cell<Instant>,
    /// Watches that ended since the process started.
    pub(crate) ended_watches: Cell<u64>,
}

impl Default for ListStatus {
    fn default() -> ListStatus {
        ListStatus {
            version: Cell::new(0),
            last_message: Cell::new(Instant::now()),
            ended_watches: Cell::new(0),
        }
    }
}
