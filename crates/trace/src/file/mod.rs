//! The trace file: head, blocks, index. `docs/trace-format.md` describes the bytes.

mod block_frame;
mod block_writer;
mod error;
mod reader;
mod writer;

pub use block_writer::BlockWriter;
pub use error::{DamageKind, IndexError, TraceError};
pub use reader::Reader;
pub use writer::Writer;

use crate::record::{Record, StageInForce};
use havenplank::interface::Nanos;
use serde::{Deserialize, Serialize};

/// The first bytes of a trace file.
pub const MAGIC: &[u8; 8] = b"HPTRACE\n";
/// The major version of the format; a reader rejects any other.
pub const MAJOR_VERSION: u16 = 1;
/// The minor version of the format; a reader skips what a newer one adds.
pub const MINOR_VERSION: u16 = 0;
/// Bytes of columns at which a block is full and is closed.
pub const FULL_BLOCK_BYTES: usize = 512 << 10;
/// Records at which a block is full and is closed.
pub const FULL_BLOCK_RECORDS: u32 = 1 << 15;
/// The largest size in bytes of an uncompressed block and of the head. It bounds the memory of a reader to a few times
/// this size.
const MAX_BLOCK_BYTES: usize = 8 << 20;
/// The magic bytes in the trailer, after the offset of the index.
const TRAILER_MAGIC: &[u8; 8] = b"HPend\n\0\0";

/// An entry of the index: where a block is in the file, and what the block holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IndexEntry {
    /// Offset of the block's frame from the start of the file, in bytes.
    pub offset: u64,
    /// Bytes of the compressed body.
    pub packed: u32,
    /// Bytes of the uncompressed body.
    pub unpacked: u32,
    /// Records in the block.
    pub records: u32,
    /// Requests that arrive in the block.
    pub requests: u32,
    /// Records of events that other sidecars receive as well.
    pub shared: u32,
    /// Time of the first record, in nanoseconds on the file's clock.
    pub first: Nanos,
    /// Time of the last record, in nanoseconds on the file's clock.
    pub last: Nanos,
}

/// Updates the stages in force with the stage that a record announces, if it announces one.
pub fn update_stages(stages_in_force: &mut Vec<StageInForce>, record: &Record) {
    let Some(stage) = record.stage() else { return };
    let now = StageInForce {
        source: record.source,
        at: record.at,
        stage,
    };
    match stages_in_force
        .iter_mut()
        .find(|known| known.source == record.source)
    {
        Some(known) => *known = now,
        None => stages_in_force.push(now),
    }
}
