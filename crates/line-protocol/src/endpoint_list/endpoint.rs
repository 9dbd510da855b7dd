//! An entry of the endpoint list.

use havenplank::interface::{Build, Nanos, PodState};
use std::net::SocketAddr;

/// The protocol's name in the greeting.
pub const PROTOCOL: &str = "nodes";

/// An endpoint as the list gives it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// The pod's name, unique in a list.
    pub name: String,
    /// Where the pod listens.
    pub address: SocketAddr,
    /// Whether it runs, drains or is gone.
    pub state: PodState,
    /// The build that it runs.
    pub build: Build,
    /// Any number that changes when the process starts anew.
    pub incarnation: u64,
    /// Time since the process started, 0 for long ago, so that no two machines need the same clock.
    pub age: Nanos,
    /// Name of its zone.
    pub zone: String,
    /// Name of its kind of machine.
    pub machine: String,
    /// The cell within which repeated requests are recognised.
    pub cell: i64,
    /// Its size relative to other pods.
    pub size: f64,
}
