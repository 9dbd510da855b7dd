//! The memory that bodies may hold together, by reservations. A reservation counts the capacity of a buffer, not the
//! bytes in it. It also waits until the process as a whole has room for the buffer.

use crate::heap_room::HeapRoom;
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

/// The memory for all bodies of one kind.
pub struct BodyMemory {
    bytes: Arc<Semaphore>,
    total: usize,
    heap: HeapRoom,
    exhausted: Cell<u64>,
}

impl BodyMemory {
    /// Creates a memory of `total` bytes, all of them free.
    pub fn new(total: usize) -> BodyMemory {
        BodyMemory::with_heap(total, HeapRoom::unlimited())
    }

    /// Creates a memory of `total` bytes whose reservations also need room in the process.
    pub fn with_heap(total: usize, heap: HeapRoom) -> BodyMemory {
        let total = total.min(Semaphore::MAX_PERMITS);
        BodyMemory {
            bytes: Arc::new(Semaphore::new(total)),
            total,
            heap,
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

    /// Reserves bytes, waiting for them no longer than `until`. Reservations are made in the order of the calls. The
    /// caller allocates the bytes before it awaits anything else.
    ///
    /// # Errors
    /// Fails if the bytes were not free in time.
    pub async fn reserve(
        &self,
        bytes: usize,
        until: Instant,
    ) -> Result<OwnedSemaphorePermit, MemoryExhausted> {
        match timeout_at(until.into(), self.acquire(bytes)).await {
            Ok(Some(reservation)) => Ok(reservation),
            _ => {
                self.exhausted.set(self.exhausted.get() + 1);
                Err(MemoryExhausted)
            }
        }
    }

    /// Reserves bytes, waiting for them without a limit. Returns `None` for more bytes than can be counted.
    pub async fn acquire(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let permits = u32::try_from(bytes).ok()?;
        let reservation = self.bytes.clone().acquire_many_owned(permits).await.ok()?;
        self.heap.wait_for(bytes).await;
        Some(reservation)
    }

    /// Waits until the process has room for this many more bytes of a buffer that is not reserved.
    pub async fn wait_for_room(&self, bytes: usize) {
        self.heap.wait_for(bytes).await;
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
