//! The column codec: the body of a block, in which each field of each kind of record has its own column. Similar values
//! are therefore adjacent, which helps the compression, and a reader skips the columns that it does not know.

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

/// The number of columns of each kind of record; the first column of kind `n` is `n * COLUMNS_PER_KIND`.
const COLUMNS_PER_KIND: u16 = 16;
/// The number of columns that this program knows.
const COLUMN_COUNT: usize = 512;

/// The kind number of each record.
const KIND_COLUMN: u16 = 0;
/// Nanoseconds since the previous record.
const TIME_COLUMN: u16 = 1;
/// The index of the source in the head of the file.
const SOURCE_COLUMN: u16 = 2;
/// The time on the engine's clock, as the difference from the time on the file's clock.
const ENGINE_TIME_COLUMN: u16 = 3;

/// The body of a block: its dictionaries, the stages in force before its first record, and its columns. The order of
/// the fields is their order in the file.
#[derive(Serialize, Deserialize)]
struct BlockBody<'a> {
    pods: Vec<PodSnapshot>,
    keys: Vec<u64>,
    texts: Vec<String>,
    stages_in_force: Vec<StageInForce>,
    #[serde(borrow)]
    columns: Vec<(u16, &'a [u8])>,
}
