//! Checks the five invariants of the sidecar against a ledger of events.
//!
//! Emulated clients, pods, service discovery and control plane record in the [`ledger`] what crosses their sockets, on
//! one monotonic clock. [`check`](fn@check) reads the ledger and returns a verdict on each rule. The checks do not
//! depend on how a sidecar decides.

#![warn(missing_docs)]
#![warn(
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::wildcard_imports,
    clippy::type_complexity
)]

mod check;
pub mod ledger;

pub use check::{check, Case, CheckError, EntryError, Verdict};
