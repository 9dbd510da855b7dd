//! Hits and decisions of a sidecar in a compact file: recorded, read, cut, merged, anonymised, summarised and
//! played again. `docs/trace-format.md` describes the bytes.

pub mod anonymise;
mod columns;
pub mod cut;
pub mod file;
pub mod from_wire;
pub mod json_view;
pub mod merge;
pub mod record;
pub mod recorder;
pub mod replay;
pub mod request_timelines;
pub mod summary;

/// The name of [`json_view`] in version 0.2, by which the tests of stored traces call it.
#[doc(hidden)]
pub use json_view as show;

pub use columns::ColumnError;
pub use file::{Reader, TraceError, Writer};
pub use record::{Head, Record, Source, What};
