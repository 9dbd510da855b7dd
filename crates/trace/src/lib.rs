//! Traces: the requests and decisions of a sidecar in a compact file. This crate records, reads, cuts, merges,
//! anonymises, summarises and replays them. `docs/trace-format.md` describes the bytes.

#![warn(missing_docs)]
#![warn(
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::wildcard_imports,
    clippy::type_complexity
)]

pub mod anonymise;
mod columns;
pub mod cut;
pub mod file;
pub mod from_adapter;
pub mod json_view;
pub mod merge;
pub mod record;
pub mod recorder;
pub mod replay;
pub mod request_timelines;
pub mod summary;

/// The name of [`json_view`] in version 0.2, which the tests of stored traces still use.
#[doc(hidden)]
pub use json_view as show;

pub use columns::ColumnError;
pub use file::{Reader, TraceError, Writer};
pub use record::{Head, Payload, Record, Source};
