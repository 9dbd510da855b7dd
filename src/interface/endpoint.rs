//! Pods as the endpoint list describes them, and the load that they report.

use super::{AttemptEnd, Build, Nanos, PodId, ZoneId};

/// Returns the 64-bit FNV-1a hash of a key or a name, so that every process computes the same value. Never
/// returns 0, which means that there is no key.
pub fn stable_hash(text: &[u8]) -> u64 {
    let mixed = text.iter().fold(0xcbf2_9ce4_8422_2325u64, |h, b| {
        (h ^ *b as u64).wrapping_mul(0x0100_0000_01b3)
    });
    mixed.max(1)
}

/// Whether a pod takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PodState {
    /// The pod takes requests.
    Running,
    /// The pod finishes its requests in flight and takes no new ones.
    Draining,
    /// The pod was removed from the list.
    Gone,
}

/// A pod as the endpoint list describes it.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// The pod's index.
    pub pod: PodId,
    /// The [`stable_hash`] of the pod's name. Every instance sorts the pods by it, so all get the same order.
    pub name_hash: u64,
    /// Whether the pod takes requests.
    pub state: PodState,
    /// The build that the pod runs.
    pub build: Build,
    /// When the pod started; 0 where it started long ago.
    pub started: Nanos,
    /// The zone where the pod runs.
    pub zone: ZoneId,
    /// The index of the pod's machine type.
    pub machine_type: usize,
    /// The number of the pod's cell: the pods of one cell drop repeats of each other's keyed requests.
    pub cell: i64,
    /// The listed capacity, relative to a standard pod, which has 1.
    pub size: f64,
}

/// The load that a pod reported. Each field is optional, as pods differ in what they report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that the pod is working on.
    pub in_flight: Option<f64>,
    /// Requests that wait in the pod's queue.
    pub queued: Option<f64>,
    /// CPU utilization, from 0 to 1.
    pub cpu_utilization: Option<f64>,
    /// The mean latency in milliseconds.
    pub latency_ms: Option<f64>,
    /// Answers per second.
    pub served_per_s: Option<f64>,
    /// Errors per second.
    pub failed_per_s: Option<f64>,
}

/// The result of a health check.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthCheckResult {
    /// How the health check ended.
    pub end: AttemptEnd,
    /// The time from sending the health check to its end.
    pub took: Nanos,
    /// The load that the pod reported.
    pub load: Option<LoadReport>,
}
