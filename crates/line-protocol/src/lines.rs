//! Lines of bounded length, each parsed whole: the framing that all feeds share.

use bytes::{Buf, BytesMut};
use std::io;
use tokio_util::codec::{Decoder, Encoder};
use winnow::ascii::{dec_int, dec_uint, float};
use winnow::combinator::{opt, preceded};
use winnow::error::{ContextError, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::token::take_while;

/// The only version spoken so far.
pub const VERSION: u32 = 1;
/// Pods in one list at most: one that tells of more is refused before it takes memory.
pub const MOST_PODS: usize = 65_536;

/// Why a feed was given up. Whatever was heard before stays in force.
#[derive(Debug, thiserror::Error)]
pub enum FeedError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("line {line}: longer than {most} bytes")]
    TooLong { line: u64, most: usize },
    #[error("line {line}: {what}")]
    Malformed { line: u64, what: String },
    #[error("the other side closed the feed")]
    Closed,
    #[error("no greeting within {0} ms")]
    NoGreeting(u64),
}

/// Makes calls of lines. It may wait for more lines before it has one.
pub trait Speech {
    type Call;
    /// # Errors
    /// What was expected, and in which column, where the line is not part of this speech.
    fn line(&mut self, line: &str) -> Result<Option<Self::Call>, String>;
}

/// Cuts a stream into lines of `most` bytes at most, without the line's end, and hands each to a [`Speech`].
pub struct Lines<S> {
    pub speech: S,
    most: usize,
    count: u64,
    /// How much of the buffer is known to hold no line's end.
    seen: usize,
}

impl<S> Lines<S> {
    pub fn new(speech: S, most: usize) -> Lines<S> {
        Lines {
            speech,
            most,
            count: 0,
            seen: 0,
        }
    }
}

impl<S: Speech> Decoder for Lines<S> {
    type Item = S::Call;
    type Error = FeedError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<S::Call>, FeedError> {
        loop {
            let end = buffer[self.seen..]
                .iter()
                .position(|byte| *byte == b'\n')
                .map(|at| at + self.seen);
            let line = self.count + 1;
            if end.unwrap_or(buffer.len()) > self.most {
                return Err(FeedError::TooLong {
                    line,
                    most: self.most,
                });
            }
            let Some(end) = end else {
                self.seen = buffer.len();
                return Ok(None);
            };
            let bytes = buffer.split_to(end);
            buffer.advance(1);
            (self.seen, self.count) = (0, line);
            let text = std::str::from_utf8(&bytes).map_err(|_| FeedError::Malformed {
                line,
                what: "not UTF-8".to_string(),
            })?;
            let said = self.speech.line(text.strip_suffix('\r').unwrap_or(text));
            if let Some(call) = said.map_err(|what| FeedError::Malformed { line, what })? {
                return Ok(Some(call));
            }
        }
    }

    fn decode_eof(&mut self, buffer: &mut BytesMut) -> Result<Option<S::Call>, FeedError> {
        match self.decode(buffer)? {
            Some(call) => Ok(Some(call)),
            // Half a line is no line: a feed cut within one must not tell half a number.
            None => Err(FeedError::Closed),
        }
    }
}

impl<S> Encoder<String> for Lines<S> {
    type Error = FeedError;

    fn encode(&mut self, lines: String, buffer: &mut BytesMut) -> Result<(), FeedError> {
        buffer.extend_from_slice(lines.as_bytes());
        Ok(())
    }
}

pub(crate) type In<'a> = &'a str;
pub(crate) type Failed = ContextError;

/// Runs a parser over a whole line and words its complaint.
pub(crate) fn whole<'a, T>(
    line: &'a str,
    parser: impl Parser<In<'a>, T, Failed>,
) -> Result<T, String> {
    let mut parser = parser;
    parser.parse(line).map_err(|error| {
        let wanted = error.inner().to_string();
        let wanted = if wanted.is_empty() {
            "expected nothing more".to_string()
        } else {
            wanted
        };
        format!(
            "column {}: {}",
            error.offset() + 1,
            wanted.replace('\n', "; ")
        )
    })
}

pub(crate) fn wanted(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

pub(crate) fn word<'a>(input: &mut In<'a>) -> Parsed<&'a str> {
    take_while(1..=128, |c: char| c.is_ascii_graphic())
        .context(wanted("a word"))
        .parse_next(input)
}

pub(crate) type Parsed<T> = Result<T, Failed>;

/// A word of a fixed choice.
pub(crate) fn one_of<'a, T: Copy>(
    choices: &'static [(&'static str, T)],
    what: &'static str,
) -> impl Parser<In<'a>, T, Failed> {
    word.verify_map(move |word| {
        choices
            .iter()
            .find(|(name, _)| *name == word)
            .map(|(_, it)| *it)
    })
    .context(wanted(what))
}

/// The next word after a space.
pub(crate) fn then<'a, T>(
    parser: impl Parser<In<'a>, T, Failed>,
) -> impl Parser<In<'a>, T, Failed> {
    preceded(' ', parser)
}

pub(crate) fn count<'a>(what: &'static str) -> impl Parser<In<'a>, u64, Failed> {
    dec_uint.context(wanted(what))
}

pub(crate) fn small<'a>(what: &'static str) -> impl Parser<In<'a>, u32, Failed> {
    dec_uint.context(wanted(what))
}

pub(crate) fn signed<'a>(what: &'static str) -> impl Parser<In<'a>, i64, Failed> {
    dec_int.context(wanted(what))
}

/// A finite number that is not negative.
pub(crate) fn number<'a>(what: &'static str) -> impl Parser<In<'a>, f64, Failed> {
    float
        .verify(|n: &f64| n.is_finite() && *n >= 0.0)
        .context(wanted(what))
}

/// `hello FEED VERSION NAME`, where only the client tells a name.
pub(crate) fn greeting(line: &str, feed: &'static str) -> Result<String, String> {
    let name = whole(
        line,
        preceded("hello ", (word, then(small("a version")), opt(then(word)))),
    )?;
    match name {
        (told, _, _) if told != feed => Err(format!("a feed of {told:?}, expected {feed:?}")),
        (_, VERSION, name) => Ok(name.unwrap_or_default().to_string()),
        (_, version, _) => Err(format!("version {version}, expected {VERSION}")),
    }
}

/// The greeting of a client or, without a name, of a server.
pub fn hello(feed: &str, name: Option<&str>) -> String {
    match name {
        Some(name) => format!("hello {feed} {VERSION} {name}\n"),
        None => format!("hello {feed} {VERSION}\n"),
    }
}
