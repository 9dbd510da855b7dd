//! Reads the settings script, in which an operator describes a deployment, and checks it.
//!
//! A settings script is a Starlark program, as the Starlark specification defines the language. It may `load` files
//! from its own folder and from folders below it. It declares settings by calls of record functions such as
//! `sidecar(...)` and `path_group(...)`.
//!
//! [`load`] runs the script and returns a [`Site`], or every mistake found in the script, each with its file, line and
//! field and what was expected. [`run_configuration_script`] runs the script of a configuration that changes while
//! sidecars run. Both convert durations to whole nanoseconds and sizes to bytes. This crate makes no decisions and has
//! no tuning of its own.
//!
//! The function, field and value names of the script predate the names in the code and must not change. The module
//! [`keywords`] and the modules that read each call map them to the names in the code, each in one place.

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
