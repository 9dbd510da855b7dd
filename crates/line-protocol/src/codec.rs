//! The framing that all protocols share: a greeting, then lines of limited length, each parsed on its own.

use crate::error::{ParseError, ProtocolError};
use crate::grammar::{self, after_space, word};
use bytes::{Buf, BytesMut};
use tokio_util::codec::{Decoder, Encoder};
use winnow::combinator::{opt, preceded};

/// The only protocol version that is supported.
pub const VERSION: u32 = 1;
/// Limit on the endpoints of one list. A list that announces more is rejected before memory is allocated for it.
pub const MAX_ENDPOINTS: usize = 65_536;

/// Decodes lines one after another. One output may need several lines.
pub trait LineParser {
    /// The type to which lines decode.
    type Output;

    /// Parses the next line, given without its line end. Returns `None` if more lines are needed.
    ///
    /// # Errors
    /// Returns what was expected, and in which column, if the line does not conform to the protocol.
    fn parse_line(&mut self, line: &str) -> Result<Option<Self::Output>, ParseError>;
}

/// Splits a stream into lines of limited length and passes each to a [`LineParser`]; writes lines unchanged.
pub struct LineCodec<P> {
    parser: P,
    max_line_bytes: usize,
    lines_read: u64,
    /// Number of leading bytes of the buffer that are known to contain no line end.
    scanned: usize,
}

impl<P> LineCodec<P> {
    /// Returns a codec that rejects lines of more than `max_line_bytes`, not counting the line end.
    pub fn new(parser: P, max_line_bytes: usize) -> LineCodec<P> {
        LineCodec {
            parser,
            max_line_bytes,
            lines_read: 0,
            scanned: 0,
        }
    }

    /// Removes the next line from the buffer; returns `None` if its end has not been received yet.
    fn next_line(&mut self, buffer: &mut BytesMut) -> Result<Option<BytesMut>, ProtocolError> {
        let mut unscanned = buffer[self.scanned..].iter();
        let end = unscanned.position(|byte| *byte == b'\n');
        let end = end.map(|offset| self.scanned + offset);
        if end.unwrap_or(buffer.len()) > self.max_line_bytes {
            return Err(ProtocolError::TooLong {
                line: self.lines_read + 1,
                max_bytes: self.max_line_bytes,
            });
        }
        let Some(end) = end else {
            self.scanned = buffer.len();
            return Ok(None);
        };
        let line = buffer.split_to(end);
        buffer.advance(1);
        self.scanned = 0;
        self.lines_read += 1;
        Ok(Some(line))
    }
}

impl<P: LineParser> LineCodec<P> {
    fn parse(&mut self, line: &[u8]) -> Result<Option<P::Output>, ParseError> {
        let text = std::str::from_utf8(line).map_err(|_| ParseError::NotUtf8)?;
        self.parser
            .parse_line(text.strip_suffix('\r').unwrap_or(text))
    }
}

impl<P: LineParser> Decoder for LineCodec<P> {
    type Item = P::Output;
    type Error = ProtocolError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<P::Output>, ProtocolError> {
        while let Some(line) = self.next_line(buffer)? {
            let parsed = self
                .parse(&line)
                .map_err(|source| ProtocolError::Malformed {
                    line: self.lines_read,
                    source,
                })?;
            if parsed.is_some() {
                return Ok(parsed);
            }
        }
        Ok(None)
    }

    fn decode_eof(&mut self, buffer: &mut BytesMut) -> Result<Option<P::Output>, ProtocolError> {
        match self.decode(buffer)? {
            Some(output) => Ok(Some(output)),
            // An incomplete last line is discarded: if the connection is cut within a number, its first digits would
            // otherwise be read as a complete number.
            None => Err(ProtocolError::Closed),
        }
    }
}

impl<P> Encoder<String> for LineCodec<P> {
    type Error = ProtocolError;

    fn encode(&mut self, lines: String, buffer: &mut BytesMut) -> Result<(), ProtocolError> {
        buffer.extend_from_slice(lines.as_bytes());
        Ok(())
    }
}

/// Returns the greeting of a client or, without a name, of a server.
pub fn greeting(protocol: &str, name: Option<&str>) -> String {
    match name {
        Some(name) => format!("hello {protocol} {VERSION} {name}\n"),
        None => format!("hello {protocol} {VERSION}\n"),
    }
}

/// Parses `hello PROTOCOL VERSION NAME` and returns the name; a server sends no name, so it is empty.
pub(crate) fn parse_greeting(line: &str, protocol: &'static str) -> Result<String, ParseError> {
    let version = after_space(grammar::uint32("a version"));
    let greeting = preceded("hello ", (word, version, opt(after_space(word))));
    let (found, version, name) = grammar::parse_complete(line, greeting)?;
    if found != protocol {
        return Err(ParseError::WrongProtocol {
            found: found.to_string(),
            expected: protocol,
        });
    }
    if version != VERSION {
        return Err(ParseError::WrongVersion {
            found: version,
            expected: VERSION,
        });
    }
    Ok(name.unwrap_or_default().to_string())
}

/// Checks the sequence numbers of a server's messages, which start at 1 on each connection. A gap means that a message
/// was lost; the client then closes the connection and subscribes again.
#[derive(Default)]
pub(crate) struct Sequence {
    last: u64,
}

impl Sequence {
    pub(crate) fn advance(&mut self, found: u64) -> Result<(), ParseError> {
        self.last += 1;
        if found == self.last {
            return Ok(());
        }
        Err(ParseError::OutOfSequence {
            found,
            expected: self.last,
        })
    }
}
