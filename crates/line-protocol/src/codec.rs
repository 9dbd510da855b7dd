//! The framing that all protocols share: lines of bounded length, each parsed as a whole, after a greeting.

use crate::error::{ParseError, ProtocolError};
use crate::grammar::{self, then, word};
use bytes::{Buf, BytesMut};
use tokio_util::codec::{Decoder, Encoder};
use winnow::combinator::{opt, preceded};

/// The only protocol version spoken so far.
pub const VERSION: u32 = 1;
/// Bound on the endpoints of one list: one that announces more is refused before it takes memory.
pub const MAX_ENDPOINTS: usize = 65_536;

/// Decodes lines one after another. It may need several before it yields something.
pub trait LineParser {
    /// What lines decode to.
    type Output;

    /// Takes in the next line, without its end.
    ///
    /// # Errors
    /// What was expected, and in which column, where the line is not part of the protocol.
    fn parse_line(&mut self, line: &str) -> Result<Option<Self::Output>, ParseError>;
}

/// Cuts a stream into lines of bounded length and hands each to a [`LineParser`]; writes lines as they stand.
pub struct LineCodec<P> {
    parser: P,
    max_line_bytes: usize,
    lines_read: u64,
    /// Leading bytes of the buffer that are known to hold no line's end.
    scanned: usize,
}

impl<P> LineCodec<P> {
    /// Refuses lines of more than `max_line_bytes`, not counting the line's end.
    pub fn new(parser: P, max_line_bytes: usize) -> LineCodec<P> {
        LineCodec {
            parser,
            max_line_bytes,
            lines_read: 0,
            scanned: 0,
        }
    }

    /// Cuts the next line off the buffer; none where its end has not come yet.
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
            // Half a line is no line: a connection cut within one must not yield half a number.
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

/// Parses `hello PROTOCOL VERSION NAME`, where only a client gives a name, and returns the name.
pub(crate) fn parse_greeting(line: &str, protocol: &'static str) -> Result<String, ParseError> {
    let version = then(grammar::uint32("a version"));
    let greeting = preceded("hello ", (word, version, opt(then(word))));
    let (found, version, name) = grammar::parse_whole(line, greeting)?;
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

/// Checks the numbers that a server's messages carry, counted from 1 on each connection: a gap means that something
/// was lost, and the subscription starts anew.
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
