//! Decides how much is read ahead of what a client sends behind a request in flight, and when it has sent too much.
//!
//! A client that closes its connection has gone, and no attempt may begin for it. Its close lies behind all that it sent:
//! once the receive window is closed, the close waits in the client's system, and nothing here reports it. A few unread
//! bytes can keep the window closed, as they hold all of the segment that they came in. So all that lies behind a
//! request is read ahead, up to a limit, and a client that sends still more is answered with an error: nobody could tell
//! any more whether it is there. Clients send one request at a time, so no client that keeps to the protocol meets this.
//!
//! Inputs: the bytes that are held for a connection, the room that is left for more. Tests: `tests/read_ahead.rs`.

use crate::heap_room::HeapRoom;
use std::cell::Cell;
use std::time::Duration;

/// Limit on the bytes that are held for one connection.
pub const MAX_HELD_BYTES: usize = 1 << 20;
/// Bytes that may be held for each connection when the memory for such bytes is in use, for clients that end their
/// request with an empty line too many.
pub const MIN_HELD_BYTES: usize = 4 << 10;
/// Bytes that are read ahead at once, and held in one piece of memory.
pub const STEP_BYTES: usize = 4 << 10;
/// Time in which the bytes arrive for which reading has opened the receive window. The sidecar runs beside its clients.
pub const WINDOW_UPDATE_TIME: Duration = Duration::from_millis(1);
/// Memory for bytes that are read ahead, for each connection that may be open; all connections share it.
const SHARED_BYTES_PER_CONNECTION: usize = 16 << 10;

/// Returns how many bytes may be read ahead next for a connection for which `held_bytes` are held, while there is room
/// for `room_bytes` more. At 0, a client that has sent more has sent too much.
pub fn next_bytes(held_bytes: usize, room_bytes: usize) -> usize {
    let guaranteed_bytes = MIN_HELD_BYTES.saturating_sub(held_bytes);
    let limit_bytes = MAX_HELD_BYTES.saturating_sub(held_bytes);
    room_bytes
        .max(guaranteed_bytes)
        .min(limit_bytes)
        .min(STEP_BYTES)
}

/// The memory for the bytes that are read ahead on all connections.
pub struct ReadAheadMemory {
    held_bytes: Cell<usize>,
    max_bytes: usize,
    heap: HeapRoom,
}

impl ReadAheadMemory {
    /// Creates a memory of `max_bytes`, which also need room in the process.
    pub fn with_heap(max_bytes: usize, heap: HeapRoom) -> ReadAheadMemory {
        ReadAheadMemory {
            held_bytes: Cell::new(0),
            max_bytes,
            heap,
        }
    }

    /// Creates a memory that so many connections share.
    pub fn for_connections(connections: usize) -> ReadAheadMemory {
        let max_bytes = connections.saturating_mul(SHARED_BYTES_PER_CONNECTION);
        ReadAheadMemory::with_heap(max_bytes, HeapRoom::unlimited())
    }

    /// Returns how many more bytes may be held.
    pub fn room(&self) -> usize {
        if !self.heap.fits(STEP_BYTES) {
            return 0;
        }
        self.max_bytes.saturating_sub(self.held_bytes.get())
    }

    /// Records that more memory is held, in bytes.
    pub(crate) fn add(&self, bytes: usize) {
        self.held_bytes.set(self.held_bytes.get() + bytes);
    }

    /// Records that less memory is held, in bytes.
    pub(crate) fn remove(&self, bytes: usize) {
        self.held_bytes
            .set(self.held_bytes.get().saturating_sub(bytes));
    }
}
