//! The operators' platform: one more way in and out of the sidecar, on the one engine of `havenplank-sidecar`.
//!
//! From the client's socket to the pod's: `listener` accepts, `client_session` speaks HTTP, `request_reader` checks,
//! `request_handler` hands the request to the engine; `transport` carries out what the engine asks for, by `attempt`
//! on a connection of `pod_pool`. [`discovery`] and `control_plane` follow the platform's services. No decision about
//! requests, builds or votes is taken here; those about connections and watches stand by themselves, free of I/O:
//! [`connection_slots`], [`idle_timeout`], [`discovery::watch_selection`], `attempt_outcome`, `in_flight_ids` and
//! `response_memory`.

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
mod pod_client;
mod pod_pool;
mod pod_response;
mod prepared_request;
mod reconnect;
mod request_error;
mod request_handler;
mod request_reader;
mod response_memory;
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
pub use havenplank_sidecar::StartError;
pub use service::{serve, Command};
pub use wall_clock::UnixTime;
