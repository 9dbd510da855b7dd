//! Reads a pod's response whole, bounded, from a connection.
//!
//! This lies beneath `hyper`, on its parser `httparse`: whether a request's last byte was written, and whether bytes
//! lie unread on a kept connection, `hyper`'s client does not show (`tests/beneath.rs`).

mod error;
mod framing;
mod head;

use crate::limits::{MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_INFORMATIONAL_RESPONSES};
use crate::response_memory::{with_share, ResponseMemory};
use bytes::{Buf, Bytes, BytesMut};
pub(crate) use error::ResponseError;
use framing::Framing;
use head::Head;
use hyper::header::HeaderMap;
use hyper::StatusCode;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Buffer that a response starts with.
const INITIAL_BUFFER_BYTES: usize = 2048;
/// The line's end behind a chunk's data.
const CHUNK_END: &[u8] = b"\r\n";

/// A complete response.
pub(crate) struct PodResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Whether nothing lies behind it and the pod keeps the connection.
    pub(crate) is_reusable: bool,
}

/// Reads one response; informational ones before it are skipped.
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
    let body = match framing::of(&headers)? {
        Framing::Length(length) => reader.read_sized(length).await?,
        Framing::Chunked => reader.read_chunks().await?,
    };
    let is_reusable = reader.buffer.is_empty() && !framing::closes(&headers);
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
    /// Bytes received and not read yet: a head, a chunk or a body that is being read.
    buffer: BytesMut,
}

impl Reader<'_> {
    /// Waits for more bytes.
    async fn fill(&mut self) -> Result<(), ResponseError> {
        let received = self.stream.read_buf(&mut self.buffer).await;
        match (received, self.buffer.is_empty()) {
            (Ok(0), true) => Err(ResponseError::ClosedUnanswered),
            (Ok(0), false) => Err(ResponseError::ClosedWithin),
            (Err(_), true) => Err(ResponseError::ResetUnanswered),
            (Err(_), false) => Err(ResponseError::ResetWithin),
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
        let share = self.memory.reserve(length).await;
        self.buffer
            .reserve(length.saturating_sub(self.buffer.len()));
        self.fill_to(length).await?;
        let body = self.buffer.split_to(length).freeze();
        Ok(with_share(body, share))
    }

    /// Reads chunks to the last one, which has no data. Trailers, which no pod sends, make the response malformed.
    async fn read_chunks(&mut self) -> Result<Bytes, ResponseError> {
        let mut body = BytesMut::new();
        let mut share = None;
        loop {
            let chunk = self.read_chunk_head().await?;
            if chunk.size > (self.memory.max_response_bytes() - body.len()) as u64 {
                return Err(ResponseError::ChunksTooLong);
            }
            let size = chunk.size as usize;
            // How much will come is unknown: a share for all that may, and for a chunk that is still being read.
            if share.is_none() && body.len() + size > MAX_BODY_BYTES {
                let most = 2 * self.memory.max_response_bytes();
                share = self.memory.reserve(most).await;
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
                return Ok(with_share(body.freeze(), share));
            }
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
    /// Bytes up to the data, the line's end included.
    head_length: usize,
    /// Bytes of data.
    size: u64,
}
