//! The sidecar as a library: an HTTP proxy and the engine that makes its routing decisions.
//!
//! [`engine::Engine`] uses no sockets and no clocks. Its caller passes in each event with its time, and the engine
//! queues effects for the caller to carry out, so a recorded run can be replayed. [`dispatcher::Dispatcher`] passes
//! requests to the engine and carries its effects out through a [`dispatcher::Transport`]. [`serve`] runs one
//! dispatcher with HTTP/1.1 listeners, connections to pods, and subscriptions to service discovery and the control
//! plane. Several engines or sidecars in one process share no state.
//!
//! A request passes through these modules in order: [`listener`], `connection`, `request_reader`, `proxy`,
//! [`dispatcher`], [`engine`], `attempt`.

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
pub mod body_memory;
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
pub mod fairness;
pub mod headers;
mod health_check;
pub mod heap_room;
pub mod listener;
mod membership;
mod outcome;
mod persister;
mod pod_registry;
mod prepared_request;
mod protected_request;
mod proxy;
pub mod read_ahead;
mod replication;
pub mod request_body;
mod request_reader;
pub mod responses;
pub mod route_slots;
pub mod routes;
mod shell;
mod state_report;
mod takeover_policy;
mod takeover_service;
pub mod tracked_body;
mod transport;
mod upstream;

pub use daemon::{serve, Addresses, StartError};
pub use engine::events;
pub use listener::{listen, take_queued_connections, ListenError};
pub use membership::MembershipError;
