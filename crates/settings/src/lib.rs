//! The settings script: what an operator states about a deployment, checked into small records.
//!
//! [`load`] runs a Starlark script (source language: the Starlark specification; `load` works for files
//! beside it) and returns a [`Site`], or every mistake found in it, each with file, line, field and what was
//! expected. [`configuration_rows`] runs the script of a configuration that changes while sidecars run. Times become whole
//! nanoseconds and sizes bytes here. Nothing here decides or tunes anything.
//!
//! The words of the script are older than the names in the code and stay as they are: [`words`] and the modules that read
//! each call map them, once.

#![warn(missing_docs)]
#![warn(
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::wildcard_imports,
    clippy::type_complexity
)]

mod reader;
mod records;
mod script;
mod site;
pub mod words;

pub use reader::{Problem, Problems, Reader, Row};
pub use records::DISTRIBUTOR_ZONE;
pub use script::{configuration_rows, load, Given};
pub use site::{
    BackupMode, ConfigurationSettings, HeaderNames, LineProtocolEndpoint, ListenerSettings,
    MembershipSettings, RouteClassSettings, Site, TakeoverSettings, TraceSettings,
    UpstreamSettings,
};
