//! Pods as the endpoint list and their own reports tell them.

use super::{AttemptEnd, Build, Nanos, PodId, ZoneId};

/// FNV-1a, so that a key or a name is the same small value in every process; never 0, which stands for none.
pub fn stable_hash(text: &[u8]) -> u64 {
    let mixed = text.iter().fold(0xcbf2_9ce4_8422_2325u64, |h, b| {
        (h ^ *b as u64).wrapping_mul(0x0100_0000_01b3)
    });
    mixed.max(1)
}

/// Whether a pod may be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PodState {
    /// It takes requests.
    Running,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It left the list.
    Gone,
}

/// A pod as the endpoint list tells it.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// Its index.
    pub pod: PodId,
    /// Its name's [`stable_hash`]: the order of pods by it is the same at every instance.
    pub name_hash: u64,
    /// Whether it may be sent to.
    pub state: PodState,
    /// The build it runs.
    pub build: Build,
    /// When it started; 0 for long ago.
    pub started: Nanos,
    /// Where it runs.
    pub zone: ZoneId,
    /// The index of its machine type.
    pub machine_type: usize,
    /// The cell within which keyed repeats are dropped.
    pub cell: i64,
    /// Its listed capacity, against 1 for a usual pod.
    pub size: f64,
}

/// What a pod said of its load; a site reports some of these or none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests it works on.
    pub in_flight: Option<f64>,
    /// Requests that wait there.
    pub queued: Option<f64>,
    /// Busy part of its CPU, from 0 to 1.
    pub cpu_utilization: Option<f64>,
    /// Its mean latency in milliseconds.
    pub latency_ms: Option<f64>,
    /// Answers a second.
    pub served_per_s: Option<f64>,
    /// Errors a second.
    pub failed_per_s: Option<f64>,
}

/// What came of a health check.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthCheckResult {
    /// How it ended.
    pub end: AttemptEnd,
    /// From sending to the end.
    pub took: Nanos,
    /// What the pod said of its load.
    pub load: Option<LoadReport>,
}
