//! Scale tests: what each part costs at several sizes, and how that grows.
//!
//! Each module measures one part of the program and returns a [`report::Section`]; the program prints them or writes
//! them as JSON. What is counted (messages, bytes, steps) is the same on every machine; what is timed is not.

pub mod configuration;
pub mod discovery;
pub mod error;
pub mod hollow;
pub mod membership;
pub mod membership_sockets;
pub mod report;
pub mod samples;
pub mod tables;
