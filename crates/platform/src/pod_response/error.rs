//! Why a response cannot be used.

use crate::limits::MAX_HEAD_BYTES;

/// Why a response cannot be read, or is not complete: its request may have run.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub(crate) enum ResponseError {
    #[error("closed without a response")]
    ClosedUnanswered,
    #[error("reset without a response")]
    ResetUnanswered,
    #[error("closed within the response")]
    ClosedWithin,
    #[error("reset within the response")]
    ResetWithin,
    #[error("informational responses without end")]
    TooManyInformational,
    #[error("a head of over {MAX_HEAD_BYTES} bytes")]
    HeadTooLong,
    #[error("a head that is not HTTP")]
    InvalidHead,
    #[error("a status that is not HTTP")]
    InvalidStatus,
    #[error("a header that is not HTTP")]
    InvalidHeader,
    #[error("its length is no number")]
    InvalidLength,
    #[error("it states no length")]
    NoLength,
    #[error("it states its length in several ways")]
    AmbiguousLength,
    #[error("its length exceeds what memory allows")]
    TooLong,
    #[error("chunks exceed what memory allows")]
    ChunksTooLong,
    #[error("a chunk without a size")]
    InvalidChunkSize,
    #[error("a chunk without its end")]
    InvalidChunkEnd,
}
