//! What can go wrong with a trace file.

use super::MAJOR_VERSION;
use crate::columns::ColumnError;
use std::io;

/// Why a trace cannot be read, written or used.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// The input or the output failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The file is none of ours.
    #[error("byte 0: not a trace; expected a file that begins with \"HPTRACE\"")]
    NotATrace,
    /// The file has a major version that this program cannot read.
    #[error("byte 8: major version {0}; expected {MAJOR_VERSION}, as this program reads no other")]
    UnsupportedMajor(u16),
    /// The file is damaged; what comes before the damage was read.
    #[error("byte {at}: {what}")]
    Damage {
        /// Offset of the damaged part, in bytes from the start of the file.
        at: u64,
        /// What is wrong there. The message has it already, so it is no `source`, which would be printed twice.
        what: DamageKind,
    },
    /// Two files that do not go together, or one that the call cannot use.
    #[error("{0}")]
    Unusable(String),
}

impl TraceError {
    /// Returns the error for damage at an offset.
    pub(super) fn damage(at: u64, what: impl Into<DamageKind>) -> TraceError {
        let what = what.into();
        TraceError::Damage { at, what }
    }
}

/// What is wrong at one place of a file.
#[derive(Debug, thiserror::Error)]
pub enum DamageKind {
    /// The head's length does not fit the file.
    #[error("the greeting is cut off or its length is wrong")]
    HeadLength,
    /// The head's bytes were changed.
    #[error("the greeting's checksum is wrong")]
    HeadChecksum,
    /// The head is not the JSON that its version asks for.
    #[error("greeting: {0}")]
    Head(#[source] serde_json::Error),
    /// There is no frame where a block should begin.
    #[error("not a block, or one that is cut off")]
    NoBlock,
    /// The file ends within the block.
    #[error("the block is cut off")]
    BlockCutOff,
    /// The block claims a size that no writer writes.
    #[error("a block larger than any that is written")]
    BlockTooLarge,
    /// The block's bytes were changed.
    #[error("the block's checksum is wrong")]
    BlockChecksum,
    /// The frame of a block that the index names cannot be read.
    #[error("the block's frame is wrong")]
    BlockFrame,
    /// The block is another than the index says.
    #[error("not the block that the index tells of")]
    OtherBlock,
    /// The block does not decompress to its stated length.
    #[error("the block {0}")]
    Decompress(#[source] io::Error),
    /// The dictionaries of the block cannot be read.
    #[error("the block's body: {0}")]
    Body(#[source] postcard::Error),
    /// A column of the block cannot be read.
    #[error("{0}")]
    Column(#[from] ColumnError),
    /// A record names a source that is not in the head.
    #[error("a source that the greeting lacks")]
    UnknownSource,
}

/// Why the index at the end of a file cannot be used, so that it is rebuilt from the blocks.
#[derive(Debug, thiserror::Error)]
pub enum IndexError {
    /// The writer did not close the file.
    #[error("no index at the end: the file was not closed")]
    Missing,
    /// The index or its trailer was changed.
    #[error("byte {at}: the index is damaged")]
    Damaged {
        /// Offset of the trailer, in bytes.
        at: u64,
    },
    /// The input failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The index's block cannot be read.
    #[error("{0}")]
    Block(#[from] TraceError),
}
