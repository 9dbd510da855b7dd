//! Hits and decisions of a sidecar in a compact file: recorded, read, cut, merged, anonymised, summarised and
//! played again. `docs/trace-format.md` describes the bytes.

mod columns;
pub mod cut;
pub mod file;
pub mod from_wire;
pub mod merge;
pub mod record;
pub mod recorder;
pub mod replay;
pub mod show;
pub mod summary;
pub mod trips;
pub mod veil;

pub use file::{Reader, TraceError, Writer};
pub use record::{Head, Record, Source, What};
