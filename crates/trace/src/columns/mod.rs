//! The column codec: the body of a block, in which each field of each kind of record has a column of its own. Similar
//! values so stand side by side, and a reader skips the columns that it does not know.

mod decoder;
mod encoder;
mod error;
mod field_visitor;
mod kind;
mod last_values;
mod visit;

pub use decoder::BlockDecoder;
pub use encoder::BlockEncoder;
pub use error::ColumnError;

use crate::record::{PodSnapshot, StageInForce};
use serde::{Deserialize, Serialize};

/// Columns of a kind of record; the first of kind `n` is `n * COLUMNS_PER_KIND`.
const COLUMNS_PER_KIND: u16 = 16;
/// Columns that this program knows.
const COLUMN_COUNT: usize = 512;

/// The number of each record's kind.
const KIND_COLUMN: u16 = 0;
/// Nanoseconds since the record before.
const TIME_COLUMN: u16 = 1;
/// The index of the source in the head of the file.
const SOURCE_COLUMN: u16 = 2;
/// The engine's time, by its difference from the file's.
const OWN_TIME_COLUMN: u16 = 3;

/// What a block holds: its dictionaries, the stages in force before its first record, and its columns.
#[derive(Serialize, Deserialize)]
struct BlockBody<'a> {
    pods: Vec<PodSnapshot>,
    keys: Vec<u64>,
    texts: Vec<String>,
    stages_in_force: Vec<StageInForce>,
    #[serde(borrow)]
    columns: Vec<(u16, &'a [u8])>,
}
