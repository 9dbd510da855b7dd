//! Why a line, a connection or a cached list was given up.

use std::io;
use std::time::Duration;

/// Why a connection was given up. Whatever was received before stays in force.
#[derive(Debug, thiserror::Error)]
pub enum ProtocolError {
    /// The socket failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A line exceeds the configured bound.
    #[error("line {line}: longer than {max_bytes} bytes")]
    TooLong {
        /// Number of the line on this connection, from 1.
        line: u64,
        /// The bound, in bytes without the line's end.
        max_bytes: usize,
    },
    /// A line is not part of the protocol.
    #[error("line {line}: {source}")]
    Malformed {
        /// Number of the line on this connection, from 1.
        line: u64,
        /// What was wrong with it.
        #[source]
        source: ParseError,
    },
    /// The service ended the connection.
    #[error("the service closed the connection")]
    Closed,
    /// Connecting or sending took too long.
    #[error("the service took nothing in within {} ms", .limit.as_millis())]
    TimedOut {
        /// The time that it had.
        limit: Duration,
    },
}

/// Why a line is not part of a protocol.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum ParseError {
    /// The line is not text.
    #[error("not UTF-8")]
    NotUtf8,
    /// Something else stands where a word or number was expected.
    #[error("column {column}: {expected}")]
    Unexpected {
        /// Column of the first byte that does not fit, from 1.
        column: usize,
        /// What was expected there.
        expected: String,
    },
    /// No message begins like this line.
    #[error("{expected}")]
    UnknownMessage {
        /// The messages that exist.
        expected: &'static str,
    },
    /// A message was lost or repeated: each carries the number after the one before it.
    #[error("number {found}, expected {expected}")]
    OutOfSequence {
        /// The number in the message.
        found: u64,
        /// The number that was due.
        expected: u64,
    },
    /// A list announces more endpoints than one may hold.
    #[error("too many endpoints, expected {max} at most")]
    TooManyEndpoints {
        /// The bound.
        max: usize,
    },
    /// The greeting names another protocol.
    #[error("protocol {found:?}, expected {expected:?}")]
    WrongProtocol {
        /// The name in the greeting.
        found: String,
        /// The name that was expected.
        expected: &'static str,
    },
    /// The greeting names a version that is not spoken here.
    #[error("version {found}, expected {expected}")]
    WrongVersion {
        /// The version in the greeting.
        found: u32,
        /// The only version spoken.
        expected: u32,
    },
}

/// Why a cached endpoint list cannot be used.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum CachedListError {
    /// The text ends within a line. Cut within its last line, a number there could still read as one.
    #[error("cut short, expected a line's end")]
    UnterminatedLine,
    /// A line cannot be read.
    #[error("line {line}: {source}")]
    Malformed {
        /// Number of the line, from 1.
        line: usize,
        /// What was wrong with it.
        #[source]
        source: ParseError,
    },
    /// The text ends before its list does, or holds changes only.
    #[error("cut short, expected one complete list")]
    Incomplete,
}
