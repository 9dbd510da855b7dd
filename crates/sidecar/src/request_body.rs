//! Reads a request's body completely into memory of its own.
//!
//! Each frame of a body is a slice of the HTTP server's read buffer and keeps all of that buffer allocated, 8 KiB or
//! more, however short the frame is. Frames are therefore copied and dropped as they arrive.

use crate::body_memory::{with_reservation, BodyMemory, MemoryExhausted};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use std::time::Instant;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout_at;

/// Capacity of the buffer of a longer body until more than this has arrived. A client that only announces a body does
/// not hold more, and all bodies that wait for memory hold little of it.
const FIRST_CAPACITY_BYTES: usize = 4 << 10;

/// Limits on reading one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Limit on its length, in bytes.
    pub max_bytes: usize,
    /// Time by which it must be read.
    pub read_by: Instant,
    /// Time by which its memory must be reserved.
    pub reserve_by: Instant,
}

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body is longer than its limit.
    #[error("the body is over the limit")]
    TooLarge,
    /// The connection ended or failed within the body.
    #[error("the body broke off")]
    Incomplete,
    /// The body was not complete in time.
    #[error("the body took too long")]
    TooSlow,
    /// The memory for bodies was in use.
    #[error(transparent)]
    NoMemory(#[from] MemoryExhausted),
}

/// Reads a body completely. The returned bytes keep their reservation of `memory`.
///
/// # Errors
/// Fails if the body is too long, incomplete or too slow, or if there was no memory for it in time.
pub async fn read_body<B>(
    body: B,
    limits: &BodyLimits,
    memory: &BodyMemory,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    if body.size_hint().lower() > limits.max_bytes as u64 {
        return Err(BodyError::TooLarge);
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let reading = collect(body, limits, memory);
    let read = timeout_at(limits.read_by.into(), reading).await;
    read.unwrap_or(Err(BodyError::TooSlow))
}

async fn collect<B>(
    mut body: B,
    limits: &BodyLimits,
    memory: &BodyMemory,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let announced = body.size_hint().exact().map(|length| length as usize);
    let mut buffer = ReservedBuffer::new(announced, limits.max_bytes);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Incomplete)?.into_data() else {
            continue;
        };
        let length = buffer.bytes.len() + data.len();
        if length > limits.max_bytes {
            return Err(BodyError::TooLarge);
        }
        buffer.grow(length, memory, limits.reserve_by).await?;
        buffer.bytes.extend_from_slice(&data);
    }
    Ok(buffer.freeze())
}

/// A buffer that grows with the bytes that have arrived.
struct ReservedBuffer {
    bytes: Vec<u8>,
    /// The length of the body; `None` if the client did not announce it.
    announced: Option<usize>,
    /// Limit on the length of the body, in bytes.
    max_bytes: usize,
    reservation: Option<OwnedSemaphorePermit>,
}

impl ReservedBuffer {
    fn new(announced: Option<usize>, max_bytes: usize) -> ReservedBuffer {
        ReservedBuffer {
            bytes: Vec::new(),
            announced,
            max_bytes,
            reservation: None,
        }
    }

    /// Makes the buffer hold at least `length` bytes, after reserving the memory for that.
    async fn grow(
        &mut self,
        length: usize,
        memory: &BodyMemory,
        until: Instant,
    ) -> Result<(), MemoryExhausted> {
        let reserved = self.reservation.as_ref();
        let capacity = reserved.map_or(0, OwnedSemaphorePermit::num_permits);
        if length <= capacity {
            return Ok(());
        }
        let grown = self.next_capacity(length, capacity);
        let more = memory.reserve(grown - capacity, until).await?;
        match &mut self.reservation {
            Some(reservation) => reservation.merge(more),
            None => self.reservation = Some(more),
        }
        self.bytes.reserve_exact(grown - self.bytes.len());
        Ok(())
    }

    /// Returns the capacity for at least `length` bytes. Past the first capacity it is that of the complete body if its
    /// length was announced: such bodies, once they have it, wait for no other. Otherwise it doubles up to the limit.
    fn next_capacity(&self, length: usize, capacity: usize) -> usize {
        let announced = self.announced.unwrap_or(2 * capacity).min(self.max_bytes);
        if length <= FIRST_CAPACITY_BYTES {
            return announced.clamp(length, FIRST_CAPACITY_BYTES);
        }
        announced.max(length)
    }

    fn freeze(self) -> Bytes {
        with_reservation(self.bytes.into(), self.reservation)
    }
}
