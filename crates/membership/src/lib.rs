//! Which other sidecars are there: known to each within seconds and at a cost that does not grow with the fleet.
//!
//! Decisions are free of I/O; the time and random seeds are arguments. [`swim`] decides which members are alive.
//! [`quorum`] says what a sidecar may believe of its own place: who votes, and how many of those it reaches;
//! [`view_exchange`] keeps that up to date.
//!
//! [`member`] holds what is known of a member. [`message`] has the messages of the membership, and [`frame`] turns
//! envelopes into authenticated bytes and back. [`node`] is membership and frames together, as the simulated network of
//! the tests drives it; [`transport`] gives it sockets. Other packages send their own kinds of message through the same
//! sockets, keys and frames.

#![warn(missing_docs)]
#![warn(
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::wildcard_imports,
    clippy::type_complexity
)]

pub mod event;
mod follow_ups;
pub mod frame;
mod inbox;
pub mod keys;
pub mod member;
pub mod message;
pub mod node;
pub mod port_pair;
pub mod quorum;
pub mod rejection;
pub mod replay;
pub mod swim;
pub mod transport;
pub mod view_exchange;

/// Whole nanoseconds on this process's own monotonic clock, or a span.
pub type Nanos = u64;
