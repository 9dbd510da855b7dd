//! Runs the sidecar on the operators' platform: its protocols and configuration around the engine of
//! `havenplank-sidecar`.
//!
//! The path of a request, from the client's socket to the pod's: `listener` accepts the connection, `client_session`
//! serves HTTP on it, `request_reader` validates the request and `request_handler` passes it to the engine. `transport`
//! performs the effects that the engine requests; `attempt` sends one attempt on a connection of `pod_pool`.
//! [`discovery`] and `control_plane` follow the platform's services.
//!
//! The engine makes all decisions about requests, builds and votes. Decisions about connections and watches are made
//! in modules without I/O: [`connection_slots`], [`idle_timeout`], [`memory_budget`], [`discovery::watch_selection`],
//! `attempt_outcome` and `in_flight_ids`.

#![warn(missing_docs)]
#![warn(
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::wildcard_imports,
    clippy::type_complexity
)]

mod attempt;
mod attempt_outcome;
mod client_connection;
mod client_session;
mod client_table;
mod config;
pub mod connection_slots;
mod control_plane;
mod counters;
pub mod discovery;
mod fields;
mod health_check;
mod id_claim;
pub mod idle_timeout;
mod in_flight_ids;
pub mod json_stream;
mod limits;
mod listener;
pub mod memory_budget;
mod pod_client;
mod pod_pool;
mod pod_response;
mod prepared_request;
mod reconnect;
mod request_error;
mod request_handler;
mod request_reader;
mod response_memory;
mod sent_ids;
mod service;
mod shell;
mod state_log;
mod transport;
mod units;
mod vote_queue;
mod wall_clock;
mod wire_headers;

pub use config::{Config, ConfigError, PodConnectionSettings};
pub use fields::FieldError;
pub use havenplank_sidecar::heap_room::AllocatedBytes;
pub use havenplank_sidecar::StartError;
pub use service::{serve, Command};
pub use wall_clock::UnixTime;
