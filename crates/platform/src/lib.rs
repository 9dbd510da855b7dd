//! The operators' platform: one more way in and out of the sidecar. It owns sockets and wire names, no
//! decision; all hang on the one engine of `havenplank-sidecar`.

pub mod config;
pub mod control_plane;
pub mod discovery;
pub mod idle_timeout;
pub mod listener;
pub mod node;
pub mod objects;
pub mod pods;
pub mod slots;
mod steady;

pub use config::Config;
pub use havenplank_sidecar::StartError;
pub use node::{serve, Orders};
