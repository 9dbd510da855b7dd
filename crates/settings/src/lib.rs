//! The settings script: what an operator states about a deployment, checked into small records.
//!
//! [`load`] runs a Starlark script (source language: the Starlark specification; `load` works for files
//! beside it) and returns a [`Site`], or every mistake found in it, each with file, line, field and what was
//! expected. Times become whole nanoseconds and sizes bytes here. Nothing here decides or tunes anything.

mod reader;
mod records;
mod script;

pub use reader::{Problem, Problems};
pub use records::*;
pub use script::{load, Given};
