//! The line protocols between a sidecar and its endpoint list service, and between a sidecar and its control plane,
//! described in `docs/protocols.md`.
//!
//! Both protocols are text over TCP, one message per line, after a versioned greeting from each side. [`codec`] is the
//! decoder that both share, with a limit on the line length. [`endpoint_list`] and [`control_plane`] define the
//! messages. [`client`] is the client side, which reconnects automatically. A decoded line is a closure that calls a
//! method of a listener trait, so that no separate message types are needed.

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
