//! Limits the memory that responses of pods hold, by reservations; [`crate::memory_budget`] has the limits.
//!
//! A response keeps its reservation until the client has read it. If no memory is left, the next response waits in its
//! socket until some is released or its attempt times out. Responses over the protocol's limit on a body, which pods
//! send nevertheless, have a memory of their own: the others do not wait behind them.

use crate::limits::{MAX_BODY_BYTES, UNRESERVED_RESPONSE_BYTES};
use crate::memory_budget::MemoryBudget;
use havenplank_sidecar::body_memory::BodyMemory;
use havenplank_sidecar::heap_room::{AllocatedBytes, HeapRoom};
use tokio::sync::OwnedSemaphorePermit;

/// A reservation of memory, released when it is dropped; `None` for a response that needs none.
pub(crate) type MemoryReservation = Option<OwnedSemaphorePermit>;

/// The memory for responses.
pub(crate) struct ResponseMemory {
    short: BodyMemory,
    large: BodyMemory,
    max_response_bytes: usize,
}

impl ResponseMemory {
    /// Creates the memory with all of it free.
    pub(crate) fn new(budget: &MemoryBudget, allocated: AllocatedBytes) -> ResponseMemory {
        let heap = |limit| HeapRoom::new(allocated, limit);
        ResponseMemory {
            short: BodyMemory::with_heap(budget.short_responses, heap(budget.response_heap)),
            large: BodyMemory::with_heap(budget.large_responses, heap(budget.body_heap)),
            max_response_bytes: budget.one_response,
        }
    }

    /// Returns the number of reserved bytes.
    pub(crate) fn held(&self) -> usize {
        self.short.held() + self.large.held()
    }

    /// Returns the limit on the body of one response, in bytes.
    pub(crate) fn max_response_bytes(&self) -> usize {
        self.max_response_bytes
    }

    /// Waits until memory for a response with a body of this length is available, and reserves `bytes` for it.
    pub(crate) async fn reserve(&self, length: usize, bytes: usize) -> MemoryReservation {
        if length <= UNRESERVED_RESPONSE_BYTES {
            return None;
        }
        let memory = if length <= MAX_BODY_BYTES {
            &self.short
        } else {
            &self.large
        };
        memory.acquire(bytes).await
    }

    /// Waits until the process has room for this many more bytes of a response that has no reservation.
    pub(crate) async fn wait_for_room(&self, bytes: usize) {
        self.short.wait_for_room(bytes).await;
    }
}
