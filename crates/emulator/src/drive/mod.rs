//! Replays a recorded trace against a real sidecar process, in real time.
//!
//! The recorded requests are sent again, endpoint lists and control plane messages are sent again at their
//! recorded times, and emulated pods end each attempt as it ended in the recording.

mod control_plane;
mod endpoint_list;
mod error;
mod outcome;
mod pods;
mod recording;
mod replay;
mod requests;
mod runner;
mod script;
mod settings;
mod sidecar;

pub use error::DriveError;
pub use outcome::{DriveOutcome, Outcomes};
pub use runner::drive;
