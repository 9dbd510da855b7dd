//! The sidecar as a library: an engine that owns one decision module, and the proxy around it.
//!
//! [`engine::Engine`] is free of sockets and clocks: it is told what happens and when, and leaves effects to
//! carry out, so that a recorded run can be played through it. [`daemon::serve`] is the shell: HTTP/1.1
//! listeners, connections to pods, the feeds of node list and release desk. Two of either share nothing.

mod admin;
pub mod client_stream;
mod configuration;
pub mod daemon;
pub mod dispatcher;
pub mod distributor;
pub mod engine;
pub mod events;
mod exactly_once;
pub mod headers;
mod membership;
mod persister;
mod pod_registry;
mod proxy;
mod replication;
pub mod responses;
pub mod route_slots;
pub mod routes;
mod takeover_service;
mod transport;
mod upstream;

pub use daemon::{listen, serve, take_queued_connections, Addresses, StartError};
pub use membership::FellowshipError;
