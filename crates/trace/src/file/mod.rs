//! The trace file: head, blocks, index. `docs/trace-format.md` describes its bytes.

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
/// Major version: a reader refuses another one.
pub const MAJOR_VERSION: u16 = 1;
/// Minor version: a reader skips what a newer one adds.
pub const MINOR_VERSION: u16 = 0;
/// Bytes of columns at which a block is closed.
pub const FULL_BLOCK_BYTES: usize = 512 << 10;
/// Records at which a block is closed.
pub const FULL_BLOCK_RECORDS: u32 = 1 << 15;
/// Unpacked bytes of a block at most, and of the head: a reader holds no more than a few times this.
const MAX_BLOCK_BYTES: usize = 8 << 20;
const TRAILER_MAGIC: &[u8; 8] = b"HPend\n\0\0";

/// Where a block is in the file and what it holds: an entry of the index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IndexEntry {
    /// Offset of the block's frame from the start of the file, in bytes.
    pub offset: u64,
    /// Bytes of the body as compressed.
    pub packed: u32,
    /// Bytes of the body once decompressed.
    pub unpacked: u32,
    /// Records in the block.
    pub records: u32,
    /// Requests that begin in the block.
    pub requests: u32,
    /// Records that other sidecars have as well.
    pub shared: u32,
    /// Time of the first record, in nanoseconds on the file's clock.
    pub first: Nanos,
    /// Time of the last record, in nanoseconds on the file's clock.
    pub last: Nanos,
}

/// Updates the stage in force at each source by a record.
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
