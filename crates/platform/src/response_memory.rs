//! Limits the memory that responses of pods hold, by reservations.
//!
//! Responses up to the protocol's limit on a body need no reservation. Larger ones, which pods send nevertheless, keep
//! their reservation until the client has read them. If no memory is left, the next large response waits in its socket
//! until some is released or its attempt times out.

use crate::limits::MAX_BODY_BYTES;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// All large responses together may hold the memory of the process divided by this.
const ALL_RESPONSES_DIVISOR: usize = 4;
/// One response may hold the memory of the process divided by this.
const ONE_RESPONSE_DIVISOR: usize = 16;
/// Limit on one response, whatever the memory: twice this number must fit the 32-bit permit count of a semaphore.
const MAX_RESPONSE_BYTES: usize = 1 << 30;

/// A reservation of memory, released when it is dropped; `None` for a response within the protocol's limit.
pub(crate) type MemoryReservation = Option<OwnedSemaphorePermit>;

/// The memory for large responses.
pub(crate) struct ResponseMemory {
    bytes: Arc<Semaphore>,
    max_response_bytes: usize,
}

impl ResponseMemory {
    /// Derives the limits from the bytes that the process may use.
    pub(crate) fn new(process_bytes: usize) -> ResponseMemory {
        let all_responses = (process_bytes / ALL_RESPONSES_DIVISOR).min(u32::MAX as usize);
        let one_response = process_bytes / ONE_RESPONSE_DIVISOR;
        ResponseMemory {
            bytes: Arc::new(Semaphore::new(all_responses)),
            max_response_bytes: one_response.clamp(MAX_BODY_BYTES, MAX_RESPONSE_BYTES),
        }
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
