//! Scale tests: measure what each part of the software costs at several sizes, and how the cost grows.
//!
//! Each module measures one part and returns [`report::Section`]s, which `havenplank bench capacity` prints or writes
//! as JSON. Counts (messages, bytes, steps) are the same on every machine; times are not.

#![warn(missing_docs)]
#![warn(
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::wildcard_imports,
    clippy::type_complexity
)]

pub mod configuration;
pub mod discovery;
pub mod error;
pub mod membership;
pub mod membership_sockets;
pub mod report;
pub mod samples;
pub mod tables;
pub mod test_sidecar;
