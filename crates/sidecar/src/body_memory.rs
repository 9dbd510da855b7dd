//! The memory that bodies may hold together, by reservations. A reservation counts the capacity of a buffer, not the
//! bytes in it.

use bytes::Bytes;
use std::cell::Cell;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout_at;

/// No memory was available in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no memory for the body")]
pub struct MemoryExhausted;

/// The memory for the bodies of all requests of a process.
pub struct BodyMemory {
    bytes: Arc<Semaphore>,
    total: usize,
    exhausted: Cell<u64>,
}

impl BodyMemory {
    /// Creates a memory of `total` bytes, all of them free.
    pub fn new(total: usize) -> BodyMemory {
        let total = total.min(Semaphore::MAX_PERMITS);
        BodyMemory {
            bytes: Arc::new(Semaphore::new(total)),
            total,
            exhausted: Cell::new(0),
        }
    }

    /// Returns the number of reserved bytes.
    pub fn held(&self) -> usize {
        self.total - self.bytes.available_permits()
    }

    /// Returns the number of reservations that failed since the process started.
    pub fn exhausted_count(&self) -> u64 {
        self.exhausted.get()
    }

    /// Reserves bytes, waiting for them no longer than `until`. Reservations are made in the order of the calls.
    ///
    /// # Errors
    /// Fails if the bytes were not free in time.
    pub async fn reserve(
        &self,
        bytes: usize,
        until: Instant,
    ) -> Result<OwnedSemaphorePermit, MemoryExhausted> {
        let permits = u32::try_from(bytes).unwrap_or(u32::MAX);
        let reserving = self.bytes.clone().acquire_many_owned(permits);
        match timeout_at(until.into(), reserving).await {
            Ok(Ok(reservation)) => Ok(reservation),
            _ => {
                self.exhausted.set(self.exhausted.get() + 1);
                Err(MemoryExhausted)
            }
        }
    }
}

/// Bytes that keep their reservation until the last reference to them is dropped.
struct ReservedBytes {
    bytes: Bytes,
    _reservation: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Ties a reservation to the lifetime of the bytes that it was made for.
pub fn with_reservation(bytes: Bytes, reservation: Option<OwnedSemaphorePermit>) -> Bytes {
    match reservation {
        Some(reservation) => Bytes::from_owner(ReservedBytes {
            bytes,
            _reservation: reservation,
        }),
        None => bytes,
    }
}
