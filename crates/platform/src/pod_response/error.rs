//! Errors in reading a response.

use crate::limits::MAX_HEAD_BYTES;

/// Why a response is unusable. The pod received the complete request, so it may have run.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub(crate) enum ResponseError {
    #[error("connection closed before any byte of the response")]
    ClosedUnanswered,
    #[error("connection reset before any byte of the response")]
    ResetUnanswered,
    #[error("connection closed within the response")]
    ClosedMidResponse,
    #[error("connection reset within the response")]
    ResetMidResponse,
    #[error("status 101 or too many informational responses")]
    TooManyInformational,
    #[error("head longer than {MAX_HEAD_BYTES} bytes")]
    HeadTooLong,
    #[error("malformed head")]
    InvalidHead,
    #[error("invalid status code")]
    InvalidStatus,
    #[error("invalid header name or value")]
    InvalidHeader,
    #[error("Content-Length is not a number")]
    InvalidLength,
    #[error("neither Content-Length nor Transfer-Encoding")]
    NoLength,
    #[error("several lengths, or an unsupported Transfer-Encoding")]
    AmbiguousLength,
    #[error("Content-Length above the memory limit for one response")]
    TooLong,
    #[error("chunks longer than the memory limit for one response")]
    ChunksTooLong,
    #[error("invalid chunk size")]
    InvalidChunkSize,
    #[error("chunk data not followed by CRLF")]
    InvalidChunkEnd,
}
