//! Checks the five rules from what crossed the sockets.
//!
//! [`ledger`] is what stand-ins of clients, pods, service discovery and control plane write down, on one monotonic clock;
//! [`check`](fn@check) reads it and gives a verdict on each rule. Nothing here knows how a sidecar decides.

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
