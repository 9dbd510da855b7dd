//! The configuration that can change while sidecars run: services, routes and tenants.
//!
//! A distributor compiles the operator's script into an immutable snapshot. It is the only writer of its epoch. Each
//! later change is a numbered delta. Every sidecar holds the newest version that it has received, and it applies a
//! version completely or not at all.

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
