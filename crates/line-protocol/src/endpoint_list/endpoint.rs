//! An entry of the endpoint list.

use havenplank::interface::{Build, Nanos, PodState};
use std::net::SocketAddr;

/// The protocol's name in the greeting.
pub const PROTOCOL: &str = "nodes";

/// An entry of the endpoint list: a pod and where it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// The pod's name, unique in a list.
    pub name: String,
    /// The address on which the pod listens.
    pub address: SocketAddr,
    /// Whether the pod runs, drains or is gone.
    pub state: PodState,
    /// The build that the pod runs.
    pub build: Build,
    /// A number that changes whenever the pod's process restarts.
    pub incarnation: u64,
    /// Time since the process started, in nanoseconds, or 0 if that is long ago. An age needs no synchronised clocks.
    pub age: Nanos,
    /// Name of the pod's zone.
    pub zone: String,
    /// Name of the machine type on which the pod runs.
    pub machine: String,
    /// The pod's cell; within a cell, pods recognise repeated requests.
    pub cell: i64,
    /// The pod's size relative to other pods.
    pub size: f64,
}
