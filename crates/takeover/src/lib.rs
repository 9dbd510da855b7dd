//! Lets in-flight requests survive the loss of their sidecar: backups keep a record of each request, and one backup
//! finishes it.
//!
//! [`Takeover`] is the state machine. It does no I/O: the time and a random seed are arguments. [`Rules`] holds its
//! limits. [`record`] defines the replicated record and [`message`] the messages between sidecars. [`placement`]
//! chooses the backups of a request.

#![warn(missing_docs)]
#![warn(
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::wildcard_imports,
    clippy::type_complexity
)]

pub mod message;
pub mod placement;
pub mod record;
mod rules;
mod takeover;

pub use havenplank_membership::Nanos;
pub use rules::Rules;
pub use takeover::{Effect, IncomingRequest, RequiredAcks, TableSizes, Takeover};
