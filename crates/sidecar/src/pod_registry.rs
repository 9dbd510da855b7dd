//! The pods by name: which index each has, where it listens and since when it runs.

use havenplank::interface::{stable_hash, Endpoint, Nanos, PodId, PodState};
use havenplank_line_protocol::codec::MAX_ENDPOINTS;
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Zones and kinds of machine that a list may name beyond those of the settings; further ones count as the
/// last.
const MAX_NAMES: usize = 256;

/// Indices that are in use at once: twice what a list may hold. A pod beyond that gets nothing until others have
/// gone.
const MAX_INDICES: usize = 2 * MAX_ENDPOINTS;

/// The start time that stands for "long ago"; the clock of an engine starts far later.
pub const STARTED_LONG_AGO: Nanos = 0;

struct RegisteredPod {
    listed: ListedEndpoint,
    started: Nanos,
    attempts_in_flight: u32,
}

impl RegisteredPod {
    /// Returns its age now, at least 1, or 0 where it started long ago.
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

/// Gives each pod an index. An index goes to another pod only once the list dropped its pod, no attempt is in
/// flight there, and the decisions have taken in a list since: so the table holds the pods listed and those that
/// requests wait for, and no more.
#[derive(Default)]
pub struct PodRegistry {
    by_name: HashMap<String, PodId>,
    pods: Vec<Option<RegisteredPod>>,
    free: Vec<PodId>,
    zones: Vec<String>,
    machines: Vec<String>,
    /// Off for a recorded host that kept each name its index for good, so that draws fall on the same pods.
    reuse_pod_ids: bool,
}

impl PodRegistry {
    /// Builds a registry that knows these zones and kinds of machine by their index.
    pub fn new(zones: Vec<String>, machines: Vec<String>, reuse_pod_ids: bool) -> PodRegistry {
        PodRegistry {
            zones,
            machines,
            reuse_pod_ids,
            ..PodRegistry::default()
        }
    }

    /// Returns the index of a pod.
    pub fn find(&self, name: &str) -> Option<PodId> {
        self.by_name.get(name).copied()
    }

    /// Returns the name of a pod.
    pub fn name(&self, id: PodId) -> Option<&str> {
        Some(&self.pod(id)?.listed.name)
    }

    /// Returns where a pod listens.
    pub fn address(&self, id: PodId) -> Option<SocketAddr> {
        Some(self.pod(id)?.listed.address)
    }

    /// Counts an attempt that goes to a pod.
    pub fn attempt_sent(&mut self, id: PodId) {
        if let Some(Some(pod)) = self.pods.get_mut(id) {
            pod.attempts_in_flight += 1;
        }
    }

    /// Counts an attempt that has ended.
    pub fn attempt_ended(&mut self, id: PodId) {
        if let Some(Some(pod)) = self.pods.get_mut(id) {
            pod.attempts_in_flight = pod.attempts_in_flight.saturating_sub(1);
        }
    }

    /// Returns the pods as last listed with their ages now, as a list to be cached.
    pub fn listed(&self, now: Nanos) -> Vec<ListedEndpoint> {
        let pods = self.pods.iter().flatten();
        let live = pods.filter(|pod| pod.listed.state != PodState::Gone);
        let aged = live.map(|pod| ListedEndpoint {
            age: pod.age(now),
            ..pod.listed.clone()
        });
        aged.collect()
    }

    /// Takes a list in and maps it to endpoints, `None` for a pod that no index was left for.
    ///
    /// The same incarnation keeps the start time it had when first listed; another incarnation, build or address makes
    /// a pod that started anew under its old name.
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
        let pod = self.index(&listed.name)?;
        let zone = index_of_name(&mut self.zones, &listed.zone);
        let machine_type = index_of_name(&mut self.machines, &listed.machine);
        let before = self.pods[pod].as_ref();
        let started = start_time(now, before, &listed);
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
        let attempts_in_flight = before.map_or(0, |pod| pod.attempts_in_flight);
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

    /// Returns the index of a name, a new one where it has none; `None` where none is left.
    fn index(&mut self, name: &str) -> Option<PodId> {
        if let Some(id) = self.by_name.get(name) {
            return Some(*id);
        }
        let id = match self.free.pop() {
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

    /// Frees the indices of pods that are gone for good; to be called after the decisions took the list in.
    pub fn free_unused_indices(&mut self) {
        if !self.reuse_pod_ids {
            return;
        }
        for (id, slot) in self.pods.iter_mut().enumerate() {
            if let Some(pod) = slot.take_if(|pod| pod.is_idle_and_gone()) {
                self.by_name.remove(&pod.listed.name);
                self.free.push(id);
            }
        }
    }
}

/// Returns when a listed pod started: as before where it is the same incarnation at the same address.
fn start_time(now: Nanos, before: Option<&RegisteredPod>, listed: &ListedEndpoint) -> Nanos {
    match before {
        Some(pod)
            if (pod.listed.incarnation, pod.listed.address)
                == (listed.incarnation, listed.address) =>
        {
            pod.started
        }
        // Long ago twice is two incarnations all the same, and the decisions tell them by this.
        Some(pod) if pod.started == STARTED_LONG_AGO && listed.age == 0 => STARTED_LONG_AGO + 1,
        _ if listed.age == 0 => STARTED_LONG_AGO,
        _ => now.saturating_sub(listed.age).max(STARTED_LONG_AGO + 2),
    }
}

/// Returns the index of a name, adding it where there is room; else the last index.
fn index_of_name(names: &mut Vec<String>, name: &str) -> usize {
    let known = names.iter().position(|known| known == name);
    known.unwrap_or_else(|| {
        if names.len() < MAX_NAMES {
            names.push(name.to_string());
        }
        names.len() - 1
    })
}
