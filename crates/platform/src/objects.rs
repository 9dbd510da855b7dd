//! Cuts a stream of JSON objects apart, whatever white space stands in and between them, from pieces cut anywhere.
//!
//! Free of I/O. Each byte is looked at once, so a peer that sends byte by byte costs no more than another.

use bytes::{Buf, BytesMut};

/// What stands next in the stream.
#[derive(Debug, PartialEq)]
pub enum Piece {
    /// The end of a line outside of any object: a sign of life.
    Line,
    Object(BytesMut),
}

/// Why a stream cannot be read on.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum Spoilt {
    #[error(
        "byte {byte:#04x} between two objects: expected white space or the start of an object"
    )]
    Stray { byte: u8 },
    #[error("an object of over {most} bytes")]
    Long { most: usize },
}

/// Bytes read and not cut off yet: no more than `most` and one piece of the stream.
pub struct Objects {
    read: BytesMut,
    most: usize,
    /// How far `read` was looked at, how deep in brackets that is, and whether within a string.
    seen: usize,
    depth: usize,
    quoted: bool,
    escaped: bool,
}

impl Objects {
    pub fn new(most: usize) -> Objects {
        Objects {
            read: BytesMut::new(),
            most,
            seen: 0,
            depth: 0,
            quoted: false,
            escaped: false,
        }
    }

    pub fn feed(&mut self, more: &[u8]) {
        self.read.extend_from_slice(more);
    }

    /// The next piece; none until more of it was fed.
    ///
    /// # Errors
    /// What is no stream of objects, and an object that is too long. Nothing more can be read then.
    pub fn cut(&mut self) -> Result<Option<Piece>, Spoilt> {
        while self.depth == 0 {
            match self.read.first() {
                None => return Ok(None),
                Some(b'{') => (self.depth, self.seen) = (1, 1),
                Some(byte @ (b' ' | b'\t' | b'\r' | b'\n')) => {
                    let ends = *byte == b'\n';
                    self.read.advance(1);
                    if ends {
                        return Ok(Some(Piece::Line));
                    }
                }
                Some(byte) => return Err(Spoilt::Stray { byte: *byte }),
            }
        }
        while let Some(byte) = self.read.get(self.seen) {
            self.seen += 1;
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.quoted => self.escaped = true,
                b'"' => self.quoted = !self.quoted,
                b'{' | b'[' if !self.quoted => self.depth += 1,
                b'}' | b']' if !self.quoted => self.depth -= 1,
                _ => {}
            }
            if self.seen > self.most {
                break;
            }
            if self.depth == 0 {
                return Ok(Some(Piece::Object(self.read.split_to(self.seen))));
            }
        }
        match self.seen > self.most {
            true => Err(Spoilt::Long { most: self.most }),
            false => Ok(None),
        }
    }
}
