//! Checks the five rules from what crossed the sockets.
//!
//! [`ledger`] is what stand-ins of clients, pods, node list and desk write down, on one monotonic clock;
//! [`check`] reads it and gives a verdict on each rule. Nothing here knows how a sidecar decides.

mod check;
pub mod ledger;

pub use check::{check, Case, Verdict};
