//! Maps the name of each pod to its index, address and start time.

use havenplank::interface::{stable_hash, Endpoint, Nanos, PodId, PodState};
use havenplank_line_protocol::codec::MAX_ENDPOINTS;
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Limit on the number of zones, and on the number of machine types. The settings name the first ones; endpoint lists
/// may add others. Names beyond the limit get the index of the last name.
const MAX_NAMES: usize = 256;

/// Limit on the number of indices in use: twice the number of pods in the longest list. Further pods get no index, and
/// so no requests, until other pods are gone.
const MAX_INDICES: usize = 2 * MAX_ENDPOINTS;

/// The start time of a pod that started at an unknown time long ago. The clock of an engine starts far later.
pub const STARTED_LONG_AGO: Nanos = 0;

struct RegisteredPod {
    listed: ListedEndpoint,
    started: Nanos,
    attempts_in_flight: u32,
}

impl RegisteredPod {
    /// Returns the current age of the pod in nanoseconds, at least 1. Returns 0 if the pod started long ago.
    fn age(&self, now: Nanos) -> Nanos {
        if self.started <= STARTED_LONG_AGO + 1 {
            0
        } else {
            now.saturating_sub(self.started).max(1)
        }
    }

    fn is_idle_and_gone(&self) -> bool {
        self.listed.state == PodState::Gone && self.attempts_in_flight == 0
    }
}

/// Gives each pod an index. An index is given to another pod only after its pod is no longer listed, no attempt to that
/// pod is in flight, and the router has processed a list since. So the registry holds only the listed pods and the
/// pods with attempts in flight.
#[derive(Default)]
pub struct PodRegistry {
    by_name: HashMap<String, PodId>,
    pods: Vec<Option<RegisteredPod>>,
    free_indices: Vec<PodId>,
    zones: Vec<String>,
    machine_types: Vec<String>,
    /// False when a run is replayed whose recorder never reused an index: random draws then select the same pods.
    reuse_pod_ids: bool,
}

impl PodRegistry {
    /// Builds a registry with these zones and machine types, which keep their positions as indices.
    pub fn new(zones: Vec<String>, machine_types: Vec<String>, reuse_pod_ids: bool) -> PodRegistry {
        PodRegistry {
            zones,
            machine_types,
            reuse_pod_ids,
            ..PodRegistry::default()
        }
    }

    /// Returns the index of the pod with this name.
    pub fn find(&self, name: &str) -> Option<PodId> {
        self.by_name.get(name).copied()
    }

    /// Returns the name of the pod with this index.
    pub fn name(&self, id: PodId) -> Option<&str> {
        Some(&self.pod(id)?.listed.name)
    }

    /// Returns the address that a pod listens on.
    pub fn address(&self, id: PodId) -> Option<SocketAddr> {
        Some(self.pod(id)?.listed.address)
    }

    /// Counts an attempt that is sent to a pod.
    pub fn attempt_sent(&mut self, id: PodId) {
        if let Some(Some(pod)) = self.pods.get_mut(id) {
            pod.attempts_in_flight += 1;
        }
    }

    /// Counts the end of an attempt.
    pub fn attempt_ended(&mut self, id: PodId) {
        if let Some(Some(pod)) = self.pods.get_mut(id) {
            pod.attempts_in_flight = pod.attempts_in_flight.saturating_sub(1);
        }
    }

    /// Returns the listed pods with their current ages, as a list to be cached.
    pub fn listed(&self, now: Nanos) -> Vec<ListedEndpoint> {
        let pods = self.pods.iter().flatten();
        let live = pods.filter(|pod| pod.listed.state != PodState::Gone);
        let aged = live.map(|pod| ListedEndpoint {
            age: pod.age(now),
            ..pod.listed.clone()
        });
        aged.collect()
    }

    /// Updates the registry from a list. Returns the endpoint of each listed pod, or `None` for a pod without an index.
    /// If the list is complete, pods that it leaves out are gone.
    ///
    /// An incarnation keeps the start time it had when it was first listed. Under the same name, another incarnation,
    /// build or address counts as a restart of the pod.
    pub fn update(
        &mut self,
        now: Nanos,
        complete: bool,
        pods: Vec<ListedEndpoint>,
    ) -> Vec<Option<Endpoint>> {
        if complete {
            for pod in self.pods.iter_mut().flatten() {
                pod.listed.state = PodState::Gone;
            }
        }
        let register = |listed| self.register(now, listed);
        pods.into_iter().map(register).collect()
    }

    fn register(&mut self, now: Nanos, listed: ListedEndpoint) -> Option<Endpoint> {
        let pod = self.find_or_add_index(&listed.name)?;
        let zone = index_of_name(&mut self.zones, &listed.zone);
        let machine_type = index_of_name(&mut self.machine_types, &listed.machine);
        let previous = self.pods[pod].as_ref();
        let started = start_time(now, previous, &listed);
        let endpoint = Endpoint {
            pod,
            name_hash: stable_hash(listed.name.as_bytes()),
            state: listed.state,
            build: listed.build,
            started,
            zone,
            machine_type,
            cell: listed.cell,
            size: listed.size,
        };
        let attempts_in_flight = previous.map_or(0, |pod| pod.attempts_in_flight);
        self.pods[pod] = Some(RegisteredPod {
            listed,
            started,
            attempts_in_flight,
        });
        Some(endpoint)
    }

    fn pod(&self, id: PodId) -> Option<&RegisteredPod> {
        self.pods.get(id)?.as_ref()
    }

    /// Returns the index of a name, a new index if the name has none yet, or `None` if no index is left.
    fn find_or_add_index(&mut self, name: &str) -> Option<PodId> {
        if let Some(id) = self.by_name.get(name) {
            return Some(*id);
        }
        let id = match self.free_indices.pop() {
            Some(id) => id,
            None if self.pods.len() < MAX_INDICES => {
                self.pods.push(None);
                self.pods.len() - 1
            }
            None => return None,
        };
        self.by_name.insert(name.to_string(), id);
        Some(id)
    }

    /// Frees the indices of pods that are gone and have no attempts in flight. The router must have processed the list
    /// before this call.
    pub fn free_unused_indices(&mut self) {
        if !self.reuse_pod_ids {
            return;
        }
        for (id, slot) in self.pods.iter_mut().enumerate() {
            if let Some(pod) = slot.take_if(|pod| pod.is_idle_and_gone()) {
                self.by_name.remove(&pod.listed.name);
                self.free_indices.push(id);
            }
        }
    }
}

/// Returns the start time of a listed pod. The same incarnation at the same address keeps its start time.
fn start_time(now: Nanos, previous: Option<&RegisteredPod>, listed: &ListedEndpoint) -> Nanos {
    match previous {
        Some(pod)
            if (pod.listed.incarnation, pod.listed.address)
                == (listed.incarnation, listed.address) =>
        {
            pod.started
        }
        // Two incarnations that both started long ago need different start times, by which the router tells them apart.
        Some(pod) if pod.started == STARTED_LONG_AGO && listed.age == 0 => STARTED_LONG_AGO + 1,
        _ if listed.age == 0 => STARTED_LONG_AGO,
        _ => now.saturating_sub(listed.age).max(STARTED_LONG_AGO + 2),
    }
}

/// Returns the index of a name. Adds an unknown name if there is room; otherwise returns the last index.
fn index_of_name(names: &mut Vec<String>, name: &str) -> usize {
    let known = names.iter().position(|known| known == name);
    known.unwrap_or_else(|| {
        if names.len() < MAX_NAMES {
            names.push(name.to_string());
        }
        names.len() - 1
    })
}
