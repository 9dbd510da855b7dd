//! The settings script: what an operator states about a deployment, checked into small records.
//!
//! [`load`] runs a Starlark script (source language: the Starlark specification; `load` works for files
//! beside it) and returns a [`Site`], or every mistake found in it, each with file, line, field and what was
//! expected. [`configuration_rows`] runs the script of a configuration that changes while sidecars run. Times become whole nanoseconds and sizes bytes here. Nothing here decides or tunes anything.

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
