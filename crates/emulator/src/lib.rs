//! Stand-ins for what a sidecar meets: pods, node list, release desk and clients, on loopback sockets.
//!
//! Each is a model served over a real socket and writes what crosses it into one [`book::LedgerWriter`]. [`notation`]
//! reads the day files that say who is there and what goes wrong, [`day`] plays one. All run on one thread,
//! within a `tokio` `LocalSet`.

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
