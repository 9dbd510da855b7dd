//! The simulator's wire protocol: JSON objects, one per line. Events are decoded into calls of a listener trait, and
//! actions are encoded as lines. The listener is either an instance that makes decisions or one that records the
//! events.

#![warn(missing_docs)]
#![warn(
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::wildcard_imports,
    clippy::type_complexity
)]

pub mod actions;
pub mod decode;
mod encode;
pub mod error;
pub mod instance;
pub mod line;
pub mod load_report;
pub mod session;
pub mod setup;
mod wire_names;
