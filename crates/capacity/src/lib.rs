//! Scale tests: what each part costs at several sizes, and how that grows.
//!
//! Each module measures one part of the program and returns a [`report::Section`]; the program prints them or writes
//! them as JSON. What is counted (messages, bytes, steps) is the same on every machine; what is timed is not.

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
