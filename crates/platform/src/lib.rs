//! The operators' platform: one more way in and out of the sidecar. It owns sockets and wire names, no
//! decision; all hang on the one engine of `havenplank-sidecar`.

pub mod config;
pub mod desk;
pub mod door;
mod keep;
pub mod list;
pub mod node;
pub mod objects;
pub mod pods;
mod seats;
mod steady;

pub use config::Config;
pub use havenplank_sidecar::StartError;
pub use node::{serve, Orders};
