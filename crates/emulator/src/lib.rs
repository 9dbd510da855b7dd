//! Emulates what a sidecar communicates with: pods, endpoint list, control plane and clients, on loopback sockets.
//!
//! Each is a model that is served over a real socket and records what it sends and receives through one shared
//! [`ledger_writer::LedgerWriter`]. [`scenario_file`] reads scenarios, which say what runs and which faults are
//! injected; [`scenario`] runs one. All models run on one thread, within a `tokio` `LocalSet`.
//!
//! [`net`] and [`relay`] provide networks with faults, simulated and on loopback sockets, for the tests of other
//! packages.

pub mod baseline;
pub mod clients;
pub mod control_plane;
pub mod drive;
pub mod endpoint_list;
mod faults;
pub mod fleet;
pub mod ledger_writer;
pub mod net;
pub mod pod;
pub mod relay;
pub mod scenario;
pub mod scenario_file;
pub mod scripted;
pub mod sidecar_processes;
mod sidecars;
mod vote_inbox;
