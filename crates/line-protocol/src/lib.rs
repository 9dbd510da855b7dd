//! Line protocols between a sidecar, its endpoint list service and its control plane, described in
//! `docs/protocols.md`.
//!
//! Both speak text over TCP, one message a line, after a versioned greeting from either side. [`codec`] is the
//! bounded decoder that both share, [`endpoint_list`] and [`control_plane`] are what is said, and [`client`] is the
//! client half, which reconnects by itself. Decoding yields calls on a listener trait, so that no type here mirrors
//! a line.

#![warn(missing_docs)]
#![warn(
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::wildcard_imports,
    clippy::type_complexity
)]

pub mod backoff;
pub mod client;
pub mod codec;
pub mod control_plane;
pub mod endpoint_list;
mod error;
mod grammar;

pub use error::{CachedListError, ParseError, ProtocolError};
