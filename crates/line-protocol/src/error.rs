//! Errors in a line, on a connection or in a cached list.

use std::io;
use std::time::Duration;

/// The error that ended a connection. Data received before the error remains valid.
#[derive(Debug, thiserror::Error)]
pub enum ProtocolError {
    /// The socket failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A line exceeds the configured length limit.
    #[error("line {line}: longer than {max_bytes} bytes")]
    TooLong {
        /// Number of the line on this connection, from 1.
        line: u64,
        /// The limit in bytes, not counting the line end.
        max_bytes: usize,
    },
    /// A line does not conform to the protocol.
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
    #[error("the service did not accept a connection or data within {} ms", .limit.as_millis())]
    TimedOut {
        /// The timeout that was exceeded.
        limit: Duration,
    },
}

/// Why a line does not conform to a protocol.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum ParseError {
    /// The line is not valid UTF-8.
    #[error("invalid UTF-8, expected text")]
    NotUtf8,
    /// The line has something other than the expected word or number.
    #[error("column {column}: {expected}")]
    Unexpected {
        /// Column of the first unexpected byte, from 1.
        column: usize,
        /// What was expected there.
        expected: String,
    },
    /// The line does not start like any known message.
    #[error("{expected}")]
    UnknownMessage {
        /// The known messages.
        expected: &'static str,
    },
    /// A message was lost or repeated: each message has the sequence number after that of the previous one.
    #[error("number {found}, expected {expected}")]
    OutOfSequence {
        /// The sequence number in the message.
        found: u64,
        /// The next sequence number.
        expected: u64,
    },
    /// A list announces more endpoints than allowed.
    #[error("too many endpoints, expected at most {max}")]
    TooManyEndpoints {
        /// The limit.
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
    /// The greeting names an unsupported protocol version.
    #[error("version {found}, expected {expected}")]
    WrongVersion {
        /// The version in the greeting.
        found: u32,
        /// The only supported version.
        expected: u32,
    },
}

/// Why a cached endpoint list cannot be used.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum CachedListError {
    /// The text ends within a line. It is rejected because a number that was cut off could still be read as a number.
    #[error("the text ends within a line, expected a line end")]
    UnterminatedLine,
    /// A line does not conform to the protocol.
    #[error("line {line}: {source}")]
    Malformed {
        /// Number of the line, from 1.
        line: usize,
        /// What was wrong with it.
        #[source]
        source: ParseError,
    },
    /// The text ends before its list does, or contains changes only.
    #[error("no complete list found, expected one")]
    Incomplete,
}
