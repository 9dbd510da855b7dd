//! Decides how much memory responses of pods may hold, and lends it out.
//!
//! Responses up to the protocol's bound on a body need no share. Larger ones, which pods send all the same, hold theirs
//! until the client has read them; with none left the next one waits in its socket, up to its attempt's time.

use crate::limits::MAX_BODY_BYTES;
use bytes::Bytes;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Divisor of the process's memory: the part that all large responses may hold together.
const ALL_RESPONSES_DIVISOR: usize = 4;
/// Divisor of the process's memory: the part that one response may hold.
const ONE_RESPONSE_DIVISOR: usize = 16;
/// Bound on one response whatever the memory: twice as much must fit the semaphore's count of 32 bits.
const MAX_RESPONSE_BYTES: usize = 1 << 30;

/// A share of the memory, returned when it is dropped; none for a response within the protocol's bound.
pub(crate) type MemoryShare = Option<OwnedSemaphorePermit>;

/// The memory for large responses.
pub(crate) struct ResponseMemory {
    bytes: Arc<Semaphore>,
    max_response_bytes: usize,
}

impl ResponseMemory {
    /// Shares out the bytes that the process may use.
    pub(crate) fn new(process_bytes: usize) -> ResponseMemory {
        let all = (process_bytes / ALL_RESPONSES_DIVISOR).min(u32::MAX as usize);
        let one = process_bytes / ONE_RESPONSE_DIVISOR;
        ResponseMemory {
            bytes: Arc::new(Semaphore::new(all)),
            max_response_bytes: one.clamp(MAX_BODY_BYTES, MAX_RESPONSE_BYTES),
        }
    }

    /// Returns the bound on one response's body, in bytes.
    pub(crate) fn max_response_bytes(&self) -> usize {
        self.max_response_bytes
    }

    /// Waits for the share of a body of that length.
    pub(crate) async fn reserve(&self, length: usize) -> MemoryShare {
        if length <= MAX_BODY_BYTES {
            return None;
        }
        let share = self.bytes.clone().acquire_many_owned(length as u32);
        share.await.ok()
    }
}

/// Bytes that keep their share of the memory until the last reader is done.
struct SharedBody {
    bytes: Bytes,
    _share: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for SharedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Ties a share of the memory to the bytes that it was reserved for.
pub(crate) fn with_share(bytes: Bytes, share: MemoryShare) -> Bytes {
    match share {
        Some(share) => Bytes::from_owner(SharedBody {
            bytes,
            _share: share,
        }),
        None => bytes,
    }
}
