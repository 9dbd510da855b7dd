//! The simulator's wire, decoded into calls and encoded from actions, for instances that decide and for
//! whoever writes down what they heard.

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
