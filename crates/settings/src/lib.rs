//! The settings script: what an operator states about a deployment, checked into small records.
//!
//! [`load`] runs a Starlark script (source language: the Starlark specification; `load` works for files
//! beside it) and returns a [`Site`], or every mistake found in it, each with file, line, field and what was
//! expected. [`run_configuration_script`] runs the script of a configuration that changes while sidecars run. Times become whole
//! nanoseconds and sizes bytes here. Nothing here decides or tunes anything.
//!
//! The words of the script are older than the names in the code and stay as they are: [`keywords`] and the modules that read
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

pub mod keywords;
mod reader;
mod records;
mod script;
mod site;

pub use reader::{FieldReader, Problem, Problems, RecordCall};
pub use records::DISTRIBUTOR_ZONE;
pub use script::{load, run_configuration_script, Given};
pub use site::{
    BackupMode, ConfigurationSettings, HeaderNames, LineProtocolEndpoint, ListenerSettings,
    MembershipSettings, RouteClassSettings, Site, TakeoverSettings, TraceSettings,
    UpstreamSettings,
};
