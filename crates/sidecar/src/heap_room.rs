//! Delays an allocation until the process has room for it.
//!
//! Counts by kind (bodies, buffers) leave out what nobody has counted. [`HeapRoom`] therefore compares a limit with all
//! bytes that the process has allocated, as its allocator reports them. The limits are decisions of the caller.

use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::sleep;

/// Interval at which an allocation that waits for room checks for it. Nothing reports memory that becomes free.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Returns how many bytes the process has allocated at present; 0 if its allocator does not count them.
pub type AllocatedBytes = fn() -> usize;

/// A limit on the allocated bytes of the process, for allocations of one purpose.
pub struct HeapRoom {
    allocated: AllocatedBytes,
    limit: usize,
    /// Held by the first of the waiting allocations, so that they proceed in order.
    turn: Semaphore,
}

impl HeapRoom {
    /// Creates a limit, in bytes.
    pub fn new(allocated: AllocatedBytes, limit: usize) -> HeapRoom {
        HeapRoom {
            allocated,
            limit,
            turn: Semaphore::new(1),
        }
    }

    /// Creates a limit that is never reached.
    pub fn unlimited() -> HeapRoom {
        HeapRoom::new(|| 0, usize::MAX)
    }

    /// Returns whether this many more bytes may be allocated.
    pub fn fits(&self, bytes: usize) -> bool {
        (self.allocated)().saturating_add(bytes) <= self.limit
    }

    /// Waits until this many more bytes may be allocated. The caller allocates them before it awaits anything else.
    pub async fn wait_for(&self, bytes: usize) {
        // The semaphore is never closed.
        let _turn = self.turn.acquire().await;
        while !self.fits(bytes) {
            sleep(CHECK_INTERVAL).await;
        }
    }
}
