//! Splits a stream of JSON objects, with any white space in and between them, that arrives in arbitrary pieces.
//!
//! Free of I/O. Each byte is scanned once, so a peer that sends single bytes costs no more than any other.

use bytes::{Buf, BytesMut};

/// An item of the stream.
#[derive(Debug, PartialEq)]
pub enum StreamItem {
    /// The end of a line outside of any object, which discovery sends as a keep-alive.
    LineEnd,
    /// The bytes of one object, including its outer braces.
    Object(BytesMut),
}

/// Why a stream is malformed.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum MalformedStream {
    /// A byte between objects that is neither white space nor the start of an object.
    #[error(
        "byte {byte:#04x} between two objects: expected white space or the start of an object"
    )]
    StrayByte {
        /// The byte found.
        byte: u8,
    },
    /// An object is longer than the limit.
    #[error("object longer than {max_bytes} bytes")]
    ObjectTooLong {
        /// The limit, in bytes.
        max_bytes: usize,
    },
}

/// Splits a stream into items. Holds at most one incomplete object and one received piece of the stream.
pub struct JsonStream {
    buffer: BytesMut,
    max_object_bytes: usize,
    /// Number of leading bytes of `buffer` that were scanned.
    scanned: usize,
    /// Number of open braces and brackets at that point.
    depth: usize,
    /// Whether that point is within a string.
    in_string: bool,
    /// Whether that point follows a backslash, so that the next byte is escaped.
    escaped: bool,
}

impl JsonStream {
    /// Creates an empty stream that rejects objects of more than `max_object_bytes`.
    pub fn new(max_object_bytes: usize) -> JsonStream {
        JsonStream {
            buffer: BytesMut::new(),
            max_object_bytes,
            scanned: 0,
            depth: 0,
            in_string: false,
            escaped: false,
        }
    }

    /// Appends a piece of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next item; `None` if more of the stream must be pushed first.
    ///
    /// # Errors
    /// Fails on bytes that are not part of a stream of objects, and on an object that is too long. Nothing more can be
    /// read after an error.
    pub fn next_item(&mut self) -> Result<Option<StreamItem>, MalformedStream> {
        while self.depth == 0 {
            match self.buffer.first() {
                None => return Ok(None),
                Some(b'{') => {
                    self.depth = 1;
                    self.scanned = 1;
                }
                Some(b'\n') => {
                    self.buffer.advance(1);
                    return Ok(Some(StreamItem::LineEnd));
                }
                Some(b' ' | b'\t' | b'\r') => self.buffer.advance(1),
                Some(byte) => return Err(MalformedStream::StrayByte { byte: *byte }),
            }
        }
        self.scan_object()
    }

    /// Scans towards the end of the object at the start of `buffer`.
    fn scan_object(&mut self) -> Result<Option<StreamItem>, MalformedStream> {
        while let Some(byte) = self.buffer.get(self.scanned).copied() {
            self.scanned += 1;
            self.scan_byte(byte);
            if self.scanned > self.max_object_bytes {
                break;
            }
            if self.depth == 0 {
                let object = self.buffer.split_to(self.scanned);
                return Ok(Some(StreamItem::Object(object)));
            }
        }
        if self.scanned > self.max_object_bytes {
            return Err(MalformedStream::ObjectTooLong {
                max_bytes: self.max_object_bytes,
            });
        }
        Ok(None)
    }

    fn scan_byte(&mut self, byte: u8) {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' if self.in_string => self.escaped = true,
            b'"' => self.in_string = !self.in_string,
            b'{' | b'[' if !self.in_string => self.depth += 1,
            b'}' | b']' if !self.in_string => self.depth -= 1,
            _ => {}
        }
    }
}
