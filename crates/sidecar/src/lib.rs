//! The sidecar as a library: an engine that owns one decision module, and the proxy around it.
//!
//! [`engine::Engine`] is free of sockets and clocks: it takes in what happens and when, and leaves effects to
//! carry out, so that a recorded run can be played through it. [`dispatcher::Dispatcher`] hands requests to it and
//! carries its effects out through a [`dispatcher::Transport`]. [`serve`] runs one with HTTP/1.1 listeners, connections
//! to pods, and the feeds of service discovery and control plane. Two of either share nothing.
//!
//! A request's way: [`listener`], `connection`, `request_reader`, `proxy`, [`dispatcher`], [`engine`], `attempt`.

#![warn(missing_docs)]
#![warn(
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::wildcard_imports,
    clippy::type_complexity
)]

mod admin;
mod attempt;
mod backup_record;
mod body;
pub mod client_stream;
mod configuration;
mod connection;
mod control_plane;
pub mod daemon;
mod discovery;
pub mod dispatcher;
pub mod distributor;
mod endpoint_cache;
pub mod engine;
mod exactly_once;
pub mod headers;
mod health_check;
pub mod listener;
mod membership;
mod outcome;
mod persister;
mod pod_registry;
mod prepared_request;
mod proxy;
mod replication;
mod request_reader;
pub mod responses;
pub mod route_slots;
pub mod routes;
mod shell;
mod state_report;
mod takeover_policy;
mod takeover_service;
mod transport;
mod upstream;

pub use daemon::{serve, Addresses, StartError};
pub use engine::events;
pub use listener::{listen, take_queued_connections, ListenError};
pub use membership::MembershipError;
