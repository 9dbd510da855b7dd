//! Configuration that reaches every sidecar while it runs.
//!
//! A distributor, the single writer of an epoch, compiles the operator's script into an immutable snapshot; each
//! change of it is a numbered delta. Sidecars hold the newest version they have heard of, whole or not at all.

#![warn(missing_docs)]
#![warn(
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::wildcard_imports,
    clippy::type_complexity
)]

mod bucket;
pub mod chunk;
pub mod compile;
pub mod delta;
pub mod digest;
pub mod disk;
mod encoding;
pub mod error;
pub mod history;
pub mod interval;
mod log_file;
pub mod message;
mod patterns;
pub mod record;
pub mod replication;
pub mod snapshot;
mod snapshot_file;
pub mod store;
mod tenant_file;
pub mod version;
