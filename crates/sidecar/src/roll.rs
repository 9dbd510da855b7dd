//! The pods by name: which index each has, where it listens and since when it runs.

use havenplank::interface::{stable_hash, Endpoint, Nanos, PodId, PodState};
use havenplank_line_protocol::codec::MAX_ENDPOINTS;
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Zones and kinds of machine that a list may name beyond those of the settings; further ones count as the
/// last.
const MOST_NAMES: usize = 256;

struct Known {
    listed: ListedEndpoint,
    started: Nanos,
    forwards_out: u32,
}

/// An index is given to another pod only once the list dropped its pod, nothing is out there, and the
/// decision module has taken in a list since: so the table holds the pods listed and those that hits wait
/// for, and no more.
#[derive(Default)]
pub struct Roll {
    by_name: HashMap<String, PodId>,
    slots: Vec<Option<Known>>,
    free: Vec<PodId>,
    zones: Vec<String>,
    machines: Vec<String>,
    /// Off for a recorded host that kept each name its index for good, so that draws fall on the same pods.
    reuse: bool,
}

fn place(names: &mut Vec<String>, name: &str) -> usize {
    names
        .iter()
        .position(|known| known == name)
        .unwrap_or_else(|| {
            if names.len() < MOST_NAMES {
                names.push(name.to_string());
            }
            names.len() - 1
        })
}

impl Roll {
    pub fn new(zones: Vec<String>, machines: Vec<String>, reuse: bool) -> Roll {
        Roll {
            zones,
            machines,
            reuse,
            ..Roll::default()
        }
    }

    pub fn find(&self, name: &str) -> Option<PodId> {
        self.by_name.get(name).copied()
    }

    pub fn name(&self, id: PodId) -> Option<&str> {
        Some(&self.slots.get(id)?.as_ref()?.listed.name)
    }

    pub fn address(&self, id: PodId) -> Option<SocketAddr> {
        Some(self.slots.get(id)?.as_ref()?.listed.address)
    }

    pub fn sent(&mut self, id: PodId) {
        if let Some(Some(known)) = self.slots.get_mut(id) {
            known.forwards_out += 1;
        }
    }

    pub fn ended(&mut self, id: PodId) {
        if let Some(Some(known)) = self.slots.get_mut(id) {
            known.forwards_out = known.forwards_out.saturating_sub(1);
        }
    }

    /// The pods as last listed and when each started, as a list to be kept.
    pub fn listed(&self, now: Nanos) -> Vec<ListedEndpoint> {
        let live = self
            .slots
            .iter()
            .flatten()
            .filter(|known| known.listed.state != PodState::Gone);
        let aged = |known: &Known| {
            let age = if known.started <= LONG_AGO + 1 {
                0
            } else {
                now.saturating_sub(known.started).max(1)
            };
            ListedEndpoint {
                age,
                ..known.listed.clone()
            }
        };
        live.map(aged).collect()
    }

    /// Takes a list in and maps it to the module's entries, `None` for a pod that no index was left for. The same life keeps the start time it had when
    /// first listed; another life, build or address makes a pod that started anew under its old name.
    pub fn apply(
        &mut self,
        now: Nanos,
        whole: bool,
        pods: Vec<ListedEndpoint>,
    ) -> Vec<Option<Endpoint>> {
        if whole {
            self.slots
                .iter_mut()
                .flatten()
                .for_each(|known| known.listed.state = PodState::Gone);
        }
        let mut entries = Vec::with_capacity(pods.len());
        for listed in pods {
            // Twice what a list may hold is in use at once: such a pod gets nothing until others have gone.
            let Some(pod) = self.index(&listed.name) else {
                entries.push(None);
                continue;
            };
            let (zone, machine) = (
                place(&mut self.zones, &listed.zone),
                place(&mut self.machines, &listed.machine),
            );
            let slot = &mut self.slots[pod];
            let before = slot.as_ref().map(|known| {
                (
                    known.started,
                    known.listed.incarnation,
                    known.listed.address,
                )
            });
            let started = match before {
                Some((started, life, address))
                    if (life, address) == (listed.incarnation, listed.address) =>
                {
                    started
                }
                // Long ago twice is two lives all the same, and the module tells them by this.
                Some((LONG_AGO, ..)) if listed.age == 0 => LONG_AGO + 1,
                _ if listed.age == 0 => LONG_AGO,
                _ => now.saturating_sub(listed.age).max(LONG_AGO + 2),
            };
            let mark = stable_hash(listed.name.as_bytes());
            let ListedEndpoint {
                state,
                build,
                cell,
                size,
                ..
            } = listed;
            let forwards_out = slot.as_ref().map_or(0, |known| known.forwards_out);
            *slot = Some(Known {
                listed,
                started,
                forwards_out,
            });
            entries.push(Some(Endpoint {
                pod,
                name_hash: mark,
                state,
                build,
                started,
                zone,
                machine,
                cell,
                size,
            }));
        }
        entries
    }

    fn index(&mut self, name: &str) -> Option<PodId> {
        if let Some(id) = self.by_name.get(name) {
            return Some(*id);
        }
        let id = match self.free.pop() {
            Some(id) => id,
            None if self.slots.len() < 2 * MAX_ENDPOINTS => {
                self.slots.push(None);
                self.slots.len() - 1
            }
            None => return None,
        };
        self.by_name.insert(name.to_string(), id);
        Some(id)
    }

    /// Frees the indices of pods that are gone for good; to be called after the module took the list in.
    pub fn sweep(&mut self) {
        if !self.reuse {
            return;
        }
        for (id, slot) in self.slots.iter_mut().enumerate() {
            let gone =
                |known: &mut Known| known.listed.state == PodState::Gone && known.forwards_out == 0;
            if let Some(known) = slot.take_if(gone) {
                self.by_name.remove(&known.listed.name);
                self.free.push(id);
            }
        }
    }
}

/// The start time that stands for "long ago"; the clock of an engine starts far later.
pub const LONG_AGO: Nanos = 0;
