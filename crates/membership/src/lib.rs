//! Membership: tells each sidecar which other sidecars are running, within seconds and at a cost per sidecar that does
//! not grow with the fleet.
//!
//! The protocol code does no I/O; the time and random seeds are arguments. [`swim`] decides which members are alive.
//! [`quorum`] tells a sidecar whether it reaches a majority: which voters there are, and how many of them it reaches.
//! [`view_exchange`] keeps the quorum state up to date.
//!
//! [`member`] holds what is known of a member. [`message`] defines the messages of the membership protocol, and
//! [`frame`] encodes envelopes as authenticated bytes and decodes them. [`node`] combines membership and frames; the
//! simulated network of the tests runs it directly, and [`transport`] runs it on sockets. Other packages send their own
//! kinds of message through the same sockets, keys and frames.

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

/// A time in nanoseconds on the monotonic clock of this process, or a duration in nanoseconds.
pub type Nanos = u64;
