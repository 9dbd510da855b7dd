//! The sidecar as a library: an engine that owns one decision module, and the proxy around it.
//!
//! [`engine::Engine`] is free of sockets and clocks: it is told what happens and when, and leaves effects to
//! carry out, so that a recorded run can be played through it. [`daemon::serve`] is the shell: HTTP/1.1
//! listeners, connections to pods, the feeds of node list and release desk. Two of either share nothing.

mod admin;
pub mod answers;
mod configuration;
pub mod daemon;
pub mod distributor;
pub mod engine;
mod fellowship;
mod guard;
mod guarded;
pub mod heads;
pub mod hub;
mod keeper;
mod links;
mod proxy;
mod roll;
pub mod routes;
mod shell;
pub mod slots;
mod spreading;
pub mod tap;
pub mod told;

pub use daemon::{listen, queued, serve, Addresses, StartError};
pub use fellowship::FellowshipError;
