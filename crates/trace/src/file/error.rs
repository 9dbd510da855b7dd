//! The errors of trace files.

use super::MAJOR_VERSION;
use crate::columns::ColumnError;
use std::io;

/// Why a trace cannot be read, written or used.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// The input or the output failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The file is not a trace file.
    #[error("byte 0: not a trace; expected a file that begins with \"HPTRACE\"")]
    NotATrace,
    /// The file has a major version that this program cannot read.
    #[error("byte 8: major version {0} is not supported; expected {MAJOR_VERSION}")]
    UnsupportedMajor(u16),
    /// The file is damaged; the records before the damage were read.
    #[error("byte {at}: {what}")]
    Damage {
        /// The offset of the damage, in bytes from the start of the file.
        at: u64,
        /// The kind of damage. The message has it already, so it is not a `source`, which would be printed again.
        what: DamageKind,
    },
    /// The files cannot be combined, or the call cannot use a file.
    #[error("{0}")]
    Unusable(String),
}

impl TraceError {
    /// Returns the error for damage at an offset in bytes.
    pub(super) fn damage(at: u64, what: impl Into<DamageKind>) -> TraceError {
        let what = what.into();
        TraceError::Damage { at, what }
    }
}

/// The kind of damage at one offset of a file.
#[derive(Debug, thiserror::Error)]
pub enum DamageKind {
    /// The head's length does not fit the file.
    #[error("the head is cut off or its length is wrong")]
    HeadLength,
    /// The head's bytes were changed.
    #[error("the head's checksum is wrong")]
    HeadChecksum,
    /// The head is not the JSON object that its version defines.
    #[error("the head cannot be decoded: {0}")]
    Head(#[source] serde_json::Error),
    /// There is no frame where a block should begin.
    #[error("expected a block, found other bytes or a block that is cut off")]
    NoBlock,
    /// The file ends within the block.
    #[error("the block is cut off")]
    BlockCutOff,
    /// The frame states a size that no writer produces.
    #[error("the frame states a block larger than any that a writer produces")]
    BlockTooLarge,
    /// The block's bytes were changed.
    #[error("the block's checksum is wrong")]
    BlockChecksum,
    /// The frame of a block in the index is cut off or its checksum is wrong.
    #[error("the block's frame is damaged")]
    BlockFrame,
    /// The block's frame differs from its index entry.
    #[error("the block's frame does not match its index entry")]
    OtherBlock,
    /// The block does not decompress to its stated length.
    #[error("the block cannot be decompressed: {0}")]
    Decompress(#[source] io::Error),
    /// The dictionaries of the block cannot be decoded.
    #[error("the block's body cannot be decoded: {0}")]
    Body(#[source] postcard::Error),
    /// A column of the block cannot be decoded.
    #[error("{0}")]
    Column(#[from] ColumnError),
    /// A record names a source that is not in the head.
    #[error("a record names a source that is not in the head")]
    UnknownSource,
}

/// Why the index at the end of a file cannot be used. The reader then rebuilds the index from the blocks.
#[derive(Debug, thiserror::Error)]
pub enum IndexError {
    /// The writer did not close the file.
    #[error("no index at the end: the file was not closed")]
    Missing,
    /// The index or its trailer was changed.
    #[error("byte {at}: the index is damaged")]
    Damaged {
        /// The offset of the trailer, in bytes from the start of the file.
        at: u64,
    },
    /// The input failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The bytes of the index cannot be read or decompressed.
    #[error("{0}")]
    Block(#[from] TraceError),
}
