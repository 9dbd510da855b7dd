//! Limits the memory that responses of pods hold, by reservations; [`crate::memory_budget`] has the limits.
//!
//! Responses up to the protocol's limit on a body need no reservation. Larger ones, which pods send nevertheless, keep
//! their reservation until the client has read them. If no memory is left, the next large response waits in its socket
//! until some is released or its attempt times out.

use crate::limits::MAX_BODY_BYTES;
use crate::memory_budget::MemoryBudget;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A reservation of memory, released when it is dropped; `None` for a response within the protocol's limit.
pub(crate) type MemoryReservation = Option<OwnedSemaphorePermit>;

/// The memory for large responses.
pub(crate) struct ResponseMemory {
    bytes: Arc<Semaphore>,
    total: usize,
    max_response_bytes: usize,
}

impl ResponseMemory {
    /// Creates the memory with all of it free.
    pub(crate) fn new(budget: &MemoryBudget) -> ResponseMemory {
        ResponseMemory {
            bytes: Arc::new(Semaphore::new(budget.large_responses)),
            total: budget.large_responses,
            max_response_bytes: budget.one_response,
        }
    }

    /// Returns the number of reserved bytes.
    pub(crate) fn held(&self) -> usize {
        self.total - self.bytes.available_permits()
    }

    /// Returns the limit on the body of one response, in bytes.
    pub(crate) fn max_response_bytes(&self) -> usize {
        self.max_response_bytes
    }

    /// Waits until memory for a body of this length is available and reserves it.
    pub(crate) async fn reserve(&self, length: usize) -> MemoryReservation {
        if length <= MAX_BODY_BYTES {
            return None;
        }
        let reservation = self.bytes.clone().acquire_many_owned(length as u32);
        reservation.await.ok()
    }
}
