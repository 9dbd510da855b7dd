//! Cuts a stream of JSON objects apart, whatever white space stands in and between them, from pieces cut anywhere.
//!
//! Free of I/O. Each byte is looked at once, so a peer that sends byte by byte costs no more than another.

use bytes::{Buf, BytesMut};

/// What stands next in the stream.
#[derive(Debug, PartialEq)]
pub enum StreamItem {
    /// The end of a line outside of any object: a sign of life.
    LineEnd,
    /// The bytes of one object, from its first brace to its last.
    Object(BytesMut),
}

/// Why a stream cannot be read on.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum MalformedStream {
    /// Neither white space nor the start of an object.
    #[error(
        "byte {byte:#04x} between two objects: expected white space or the start of an object"
    )]
    StrayByte {
        /// The byte found.
        byte: u8,
    },
    /// An object exceeds the bound.
    #[error("an object of over {max_bytes} bytes")]
    ObjectTooLong {
        /// The bound, in bytes.
        max_bytes: usize,
    },
}

/// Bytes received and not cut off yet: no more than the bound on an object and one piece of the stream.
pub struct JsonStream {
    buffer: BytesMut,
    max_object_bytes: usize,
    /// Leading bytes of `buffer` that were looked at.
    scanned: usize,
    /// Open braces and brackets at that point.
    depth: usize,
    /// Whether that point lies within a string.
    in_string: bool,
    /// Whether a backslash stands right before that point.
    escaped: bool,
}

impl JsonStream {
    /// Refuses objects of more than `max_object_bytes`.
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

    /// Returns the next item; none until more of the stream was pushed.
    ///
    /// # Errors
    /// What is no stream of objects, and an object that is too long. Nothing more can be read then.
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

    /// Scans on to the end of the object that `buffer` begins with.
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
