//! Reads a complete pod response, bounded in size, from a connection.
//!
//! It uses `httparse`, the parser of `hyper`, rather than `hyper`'s client: the client does not show whether the last
//! byte of a request was written, nor whether a kept connection has unread bytes (`tests/hyper_client.rs`).

mod error;
mod framing;
mod head;

use crate::limits::{
    MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_INFORMATIONAL_RESPONSES, UNRESERVED_RESPONSE_BYTES,
};
use crate::response_memory::ResponseMemory;
use bytes::{Buf, Bytes, BytesMut};
pub(crate) use error::ResponseError;
use framing::Framing;
use havenplank_sidecar::body_memory::with_reservation;
use head::Head;
use hyper::header::HeaderMap;
use hyper::StatusCode;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Initial capacity of the buffer that a response is read into.
const INITIAL_BUFFER_BYTES: usize = 2048;
/// The line end after the data of a chunk.
const CHUNK_END: &[u8] = b"\r\n";

/// A complete response.
pub(crate) struct PodResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Whether no bytes follow the response and the pod keeps the connection open.
    pub(crate) is_reusable: bool,
}

/// Reads one response, skipping informational ones before it.
pub(crate) async fn read(
    stream: &mut TcpStream,
    memory: &ResponseMemory,
) -> Result<PodResponse, ResponseError> {
    let mut reader = Reader {
        stream,
        memory,
        buffer: BytesMut::with_capacity(INITIAL_BUFFER_BYTES),
    };
    let Head { status, headers } = reader.read_head().await?;
    let body = match framing::from_headers(&headers)? {
        Framing::Length(length) => reader.read_sized(length).await?,
        Framing::Chunked => reader.read_chunks().await?,
    };
    let is_reusable = reader.buffer.is_empty() && !framing::closes_connection(&headers);
    Ok(PodResponse {
        status,
        headers,
        body,
        is_reusable,
    })
}

struct Reader<'a> {
    stream: &'a mut TcpStream,
    memory: &'a ResponseMemory,
    /// Bytes received and not consumed yet: parts of a head, a chunk or a body.
    buffer: BytesMut,
}

impl Reader<'_> {
    /// Receives more bytes into the buffer.
    async fn fill(&mut self) -> Result<(), ResponseError> {
        let capacity = self.buffer.capacity();
        if self.buffer.len() == capacity {
            self.memory.wait_for_room(capacity).await;
        }
        let received = self.stream.read_buf(&mut self.buffer).await;
        match (received, self.buffer.is_empty()) {
            (Ok(0), true) => Err(ResponseError::ClosedUnanswered),
            (Ok(0), false) => Err(ResponseError::ClosedMidResponse),
            (Err(_), true) => Err(ResponseError::ResetUnanswered),
            (Err(_), false) => Err(ResponseError::ResetMidResponse),
            (Ok(_), _) => Ok(()),
        }
    }

    async fn fill_to(&mut self, length: usize) -> Result<(), ResponseError> {
        while self.buffer.len() < length {
            self.fill().await?;
        }
        Ok(())
    }

    async fn read_head(&mut self) -> Result<Head, ResponseError> {
        let mut informational = 0;
        loop {
            let Some(head) = head::parse(&mut self.buffer)? else {
                self.fill().await?;
                continue;
            };
            if !head.status.is_informational() {
                return Ok(head);
            }
            informational += 1;
            let switches = head.status == StatusCode::SWITCHING_PROTOCOLS;
            if switches || informational > MAX_INFORMATIONAL_RESPONSES {
                return Err(ResponseError::TooManyInformational);
            }
        }
    }

    async fn read_sized(&mut self, length: usize) -> Result<Bytes, ResponseError> {
        if length > self.memory.max_response_bytes() {
            return Err(ResponseError::TooLong);
        }
        // A pod that only announces a body holds no memory.
        self.fill_to(length.min(UNRESERVED_RESPONSE_BYTES)).await?;
        let reservation = self.memory.reserve(length, length).await;
        self.buffer
            .reserve(length.saturating_sub(self.buffer.len()));
        self.fill_to(length).await?;
        let body = self.buffer.split_to(length).freeze();
        Ok(with_reservation(body, reservation))
    }

    /// Reads chunks up to the last one, which is empty. Trailers make the response malformed; no pod sends them.
    async fn read_chunks(&mut self) -> Result<Bytes, ResponseError> {
        let mut body = BytesMut::new();
        let (mut reservation, mut reserved) = (None, UNRESERVED_RESPONSE_BYTES);
        loop {
            let chunk = self.read_chunk_head().await?;
            if chunk.size > (self.memory.max_response_bytes() - body.len()) as u64 {
                return Err(ResponseError::ChunksTooLong);
            }
            let size = chunk.size as usize;
            // The total is unknown: reserves for the largest possible body and for as large a chunk in the buffer.
            let length = body.len() + size;
            if length > reserved {
                reserved = self.largest_like(length);
                reservation = self.memory.reserve(reserved, 2 * reserved).await;
            }
            let data_end = chunk.head_length + size;
            let chunk_end = data_end + CHUNK_END.len();
            self.fill_to(chunk_end).await?;
            if &self.buffer[data_end..chunk_end] != CHUNK_END {
                return Err(ResponseError::InvalidChunkEnd);
            }
            body.extend_from_slice(&self.buffer[chunk.head_length..data_end]);
            self.buffer.advance(chunk_end);
            if size == 0 {
                return Ok(with_reservation(body.freeze(), reservation));
            }
        }
    }

    /// Returns the largest length of a body that is limited like one of this length.
    fn largest_like(&self, length: usize) -> usize {
        if length <= MAX_BODY_BYTES {
            MAX_BODY_BYTES
        } else {
            self.memory.max_response_bytes()
        }
    }

    async fn read_chunk_head(&mut self) -> Result<ChunkHead, ResponseError> {
        loop {
            match httparse::parse_chunk_size(&self.buffer) {
                Ok(httparse::Status::Complete((head_length, size))) => {
                    return Ok(ChunkHead { head_length, size })
                }
                Ok(httparse::Status::Partial) if self.buffer.len() <= MAX_HEAD_BYTES => {
                    self.fill().await?;
                }
                _ => return Err(ResponseError::InvalidChunkSize),
            }
        }
    }
}

struct ChunkHead {
    /// Bytes before the data, including the line end.
    head_length: usize,
    /// Bytes of data in the chunk.
    size: u64,
}
