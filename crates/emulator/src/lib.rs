//! Stand-ins for what a sidecar meets: pods, node list, release desk and clients, on loopback sockets.
//!
//! Each is a model served over a real socket and writes what crosses it into one [`book::Book`]. [`notation`]
//! reads the day files that say who is there and what goes wrong, [`day`] plays one. All run on one thread,
//! within a `tokio` `LocalSet`.

pub mod bare;
pub mod book;
pub mod clients;
pub mod day;
pub mod desk;
pub mod drive;
mod faults;
pub mod fleet;
pub mod hands;
pub mod net;
pub mod nodes;
pub mod notation;
pub mod pod;
pub mod relay;
pub mod scripted;
mod sidecars;
mod vote_inbox;
