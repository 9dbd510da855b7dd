//! The pods of the endpoint list with their state, in groups by zone and build.

use crate::interface::{Build, DedupScope, Endpoint, Nanos, PodId, PodState, ZoneId};
use crate::window::SlidingWindow;
use std::cell::Cell;

/// A pod of the endpoint list, with what this instance has learnt from its answers.
pub(crate) struct Pod {
    pub(crate) endpoint: Endpoint,
    /// The attempts of this instance that have not ended.
    pub(crate) in_flight: u32,
    /// The attempts sent within the overload window.
    pub(crate) sent: SlidingWindow,
    /// The pod was warm at the last update, so its answers show the capacity of its machine type.
    pub(crate) warm: bool,
    /// The failures since the last answer.
    pub(crate) consecutive_failures: u32,
    pub(crate) ejected_until: Nanos,
    /// Since when the pod has had attempts in flight without any response.
    pub(crate) silent_since: Nanos,
    /// The latency of the pod, relative to the mean of the route classes; 1 is as fast as the mean.
    pub(crate) slowness: f64,
    pub(crate) slowness_updated_at: Nanos,
    /// When a late answer of the pod was last counted by the sequential test.
    pub(crate) last_late_at: Nanos,
    /// What the pod added to the sums of the sequential test in this stage.
    pub(crate) evidence: f64,
}

impl Pod {
    pub(crate) fn new(endpoint: Endpoint, in_flight: u32, sent: SlidingWindow) -> Pod {
        Pod {
            endpoint,
            in_flight,
            sent,
            warm: false,
            consecutive_failures: 0,
            ejected_until: 0,
            silent_since: 0,
            slowness: 1.0,
            slowness_updated_at: 0,
            last_late_at: 0,
            evidence: 0.0,
        }
    }

    pub(crate) fn is_running(&self) -> bool {
        self.endpoint.state == PodState::Running
    }
}

impl Endpoint {
    /// Whether this pod drops a repeat of a request that ran in the given zone and cell.
    pub(crate) fn shares_dedup(&self, scope: DedupScope, zone: ZoneId, cell: i64) -> bool {
        match scope {
            DedupScope::All => true,
            DedupScope::Zone => self.zone == zone,
            DedupScope::Cell => self.cell == cell,
        }
    }
}

/// The running pods of one zone and build.
pub(crate) struct PodGroup {
    pub(crate) zone: ZoneId,
    pub(crate) build: Build,
    pub(crate) pods: Vec<PodId>,
    /// The same pods, sorted by name hash.
    pub(crate) ring: Vec<PodId>,
    /// The pods of the group that this instance sends to.
    pub(crate) subset: Vec<PodId>,
    /// The sum of the listed sizes of the group's pods.
    pub(crate) size: f64,
    /// The latest start time among the pods of the group.
    pub(crate) latest_start: Nanos,
}

/// The index of a pod group, with the weight of the group in a random draw.
pub(crate) struct WeightedGroup {
    pub(crate) index: usize,
    pub(crate) weight: f64,
}

/// A pod that was drawn at random, with the mean size of its group.
pub(crate) struct DrawnPod {
    pub(crate) id: PodId,
    pub(crate) mean_size: f64,
}

impl PodGroup {
    fn new(zone: ZoneId, build: Build) -> PodGroup {
        PodGroup {
            zone,
            build,
            pods: Vec::new(),
            ring: Vec::new(),
            subset: Vec::new(),
            size: 0.0,
            latest_start: 0,
        }
    }

    /// Recomputes the totals of the group. Adds the pods in the order of their indices, so that rounding does not
    /// depend on the order of earlier changes.
    fn recompute_totals(&mut self, slots: &[Option<Pod>]) {
        self.size = 0.0;
        self.latest_start = 0;
        for pod in self.pods.iter().filter_map(|id| slots.get(*id)?.as_ref()) {
            self.size += pod.endpoint.size;
            self.latest_start = self.latest_start.max(pod.endpoint.started);
        }
    }
}

/// Returns the group of a pod's zone and build. Adds the group where there is none.
fn group_of<'a>(groups: &'a mut Vec<PodGroup>, endpoint: &Endpoint) -> &'a mut PodGroup {
    let existing = groups
        .iter()
        .position(|group| (group.zone, group.build) == (endpoint.zone, endpoint.build));
    let index = existing.unwrap_or_else(|| {
        groups.push(PodGroup::new(endpoint.zone, endpoint.build));
        groups.len() - 1
    });
    &mut groups[index]
}

/// Returns the sort key of a pod in its ring: the name hash, and the index for pods with equal hashes.
fn ring_position(slots: &[Option<Pod>], id: PodId) -> (Option<u64>, PodId) {
    (
        slots
            .get(id)
            .and_then(Option::as_ref)
            .map(|pod| pod.endpoint.name_hash),
        id,
    )
}

/// How many pods of the pod table were visited. With these counts a test can bound a cost without a clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PodVisits {
    /// The pods visited by passes over the table or over a group.
    pub scanned: u64,
    /// The pods looked up by index, one at a time.
    pub fetched: u64,
    /// The pods sorted by their name hashes.
    pub sorted: u64,
}

/// The pods by index. A pod leaves the table once the list has dropped it and no attempt to it is in flight.
#[derive(Default)]
pub(crate) struct PodTable {
    pub(crate) slots: Vec<Option<Pod>>,
    /// The running pods in groups. Updated with each list, so that no request has to visit all pods.
    pub(crate) groups: Vec<PodGroup>,
    /// The number of running pods.
    pub(crate) count: usize,
    /// The pods that the list dropped and that are still in the table.
    gone: Vec<PodId>,
    visits: Cell<PodVisits>,
}

impl PodTable {
    pub(crate) fn visits(&self) -> PodVisits {
        self.visits.get()
    }

    /// Updates the counts of visited pods.
    pub(crate) fn visit(&self, count: impl FnOnce(&mut PodVisits)) {
        let mut visits = self.visits.get();
        count(&mut visits);
        self.visits.set(visits);
    }

    /// Applies an endpoint list: the complete one, or the endpoints that changed. A pod that restarted or runs
    /// another build becomes a new pod under its old index. The cost of changes is proportional to the size of the
    /// groups of the changed pods. Afterwards the table is the same as after the complete list.
    pub(crate) fn apply(
        &mut self,
        is_complete: bool,
        endpoints: &[Endpoint],
        window: impl Fn() -> SlidingWindow,
    ) {
        if is_complete {
            self.replace(endpoints, &window);
        } else {
            self.update(endpoints, &window);
        }
        self.count = self.groups.iter().map(|group| group.pods.len()).sum();
    }

    /// Applies a complete list and rebuilds all groups.
    fn replace(&mut self, endpoints: &[Endpoint], window: &impl Fn() -> SlidingWindow) {
        self.slots
            .iter_mut()
            .flatten()
            .for_each(|pod| pod.endpoint.state = PodState::Gone);
        endpoints
            .iter()
            .for_each(|endpoint| self.upsert(endpoint, window));
        let gone = |pod: &&Pod| pod.endpoint.state == PodState::Gone;
        self.gone = self
            .slots
            .iter()
            .flatten()
            .filter(gone)
            .map(|pod| pod.endpoint.pod)
            .collect();
        self.drop_gone();
        self.visits.get_mut().scanned += 2 * self.slots.len() as u64;
        self.groups.clear();
        for pod in self.slots.iter().flatten().filter(|pod| pod.is_running()) {
            let group = group_of(&mut self.groups, &pod.endpoint);
            group.pods.push(pod.endpoint.pod);
            group.size += pod.endpoint.size;
            group.latest_start = group.latest_start.max(pod.endpoint.started);
        }
        for group in &mut self.groups {
            self.visits.get_mut().sorted += group.pods.len() as u64;
            group.ring.clone_from(&group.pods);
            group
                .ring
                .sort_by_cached_key(|id| ring_position(&self.slots, *id));
        }
    }

    /// Applies changed endpoints and updates only their groups.
    fn update(&mut self, endpoints: &[Endpoint], window: &impl Fn() -> SlidingWindow) {
        let mut changed = Vec::new();
        for endpoint in endpoints {
            if let Some(previous) = self
                .get(endpoint.pod)
                .filter(|pod| pod.is_running())
                .map(|pod| pod.endpoint)
            {
                self.remove_from_group(&previous);
                changed.push((previous.zone, previous.build));
            }
            self.upsert(endpoint, window);
            match endpoint.state {
                PodState::Running => {
                    self.add_to_group(endpoint);
                    changed.push((endpoint.zone, endpoint.build));
                }
                PodState::Gone => self.gone.push(endpoint.pod),
                PodState::Draining => {}
            }
        }
        changed.sort_unstable();
        changed.dedup();
        self.drop_gone();
        self.groups.retain(|group| !group.pods.is_empty());
        // The same order as after a rebuild of all groups.
        self.groups.sort_by_key(|group| group.pods.first().copied());
        let is_changed =
            |group: &&mut PodGroup| changed.binary_search(&(group.zone, group.build)).is_ok();
        for group in self.groups.iter_mut().filter(is_changed) {
            self.visits.get_mut().scanned += group.pods.len() as u64;
            group.recompute_totals(&self.slots);
        }
    }

    /// Inserts or updates a pod.
    fn upsert(&mut self, endpoint: &Endpoint, window: &impl Fn() -> SlidingWindow) {
        if self.slots.len() <= endpoint.pod {
            self.slots.resize_with(endpoint.pod + 1, || None);
        }
        let slot = &mut self.slots[endpoint.pod];
        match slot {
            Some(pod)
                if (pod.endpoint.started, pod.endpoint.build)
                    == (endpoint.started, endpoint.build) =>
            {
                pod.endpoint = *endpoint
            }
            _ => {
                *slot = Some(Pod::new(
                    *endpoint,
                    slot.as_ref().map_or(0, |pod| pod.in_flight),
                    window(),
                ))
            }
        }
    }

    /// Empties the slots of pods that are gone and have no attempts in flight.
    fn drop_gone(&mut self) {
        let slots = &mut self.slots;
        self.visits.get_mut().scanned += self.gone.len() as u64;
        self.gone.sort_unstable();
        self.gone.dedup();
        self.gone.retain(|id| {
            let Some(slot) = slots.get_mut(*id) else {
                return false;
            };
            slot.take_if(|pod| pod.endpoint.state == PodState::Gone && pod.in_flight == 0);
            slot.as_ref()
                .is_some_and(|pod| pod.endpoint.state == PodState::Gone)
        });
    }

    /// Must be called while the slot of the pod holds this endpoint.
    fn add_to_group(&mut self, endpoint: &Endpoint) {
        let group = group_of(&mut self.groups, endpoint);
        if let Err(index) = group.pods.binary_search(&endpoint.pod) {
            group.pods.insert(index, endpoint.pod);
            let before = |id: &PodId| {
                ring_position(&self.slots, *id) < (Some(endpoint.name_hash), endpoint.pod)
            };
            let index = group.ring.partition_point(before);
            group.ring.insert(index, endpoint.pod);
            self.visits.get_mut().sorted += 1;
        }
    }

    /// Must be called while the slot of the pod holds this endpoint.
    fn remove_from_group(&mut self, endpoint: &Endpoint) {
        let group = group_of(&mut self.groups, endpoint);
        if let Ok(index) = group.pods.binary_search(&endpoint.pod) {
            group.pods.remove(index);
            let before = |id: &PodId| {
                ring_position(&self.slots, *id) < (Some(endpoint.name_hash), endpoint.pod)
            };
            let index = group.ring.partition_point(before);
            if group.ring.get(index) == Some(&endpoint.pod) {
                group.ring.remove(index);
            }
        }
    }

    /// Returns the fraction of the pods of the endpoint's group that are in this instance's subset, or 1 for a pod
    /// that is not in the subset.
    pub(crate) fn subset_fraction(&self, endpoint: &Endpoint) -> f64 {
        let group = self
            .groups
            .iter()
            .find(|group| (group.zone, group.build) == (endpoint.zone, endpoint.build));
        let group_with_pod = group.filter(|group| group.subset.contains(&endpoint.pod));
        group_with_pod.map_or(1.0, |group| {
            group.subset.len() as f64 / group.pods.len() as f64
        })
    }

    pub(crate) fn get(&self, id: PodId) -> Option<&Pod> {
        self.visit(|visits| visits.fetched += 1);
        self.slots.get(id).and_then(Option::as_ref)
    }

    pub(crate) fn get_mut(&mut self, id: PodId) -> Option<&mut Pod> {
        self.slots.get_mut(id).and_then(Option::as_mut)
    }

    /// Counts an attempt that is sent to a pod.
    pub(crate) fn count_attempt(&mut self, now: Nanos, id: PodId) {
        let Some(pod) = self.get_mut(id) else { return };
        if pod.in_flight == 0 {
            pod.silent_since = now;
        }
        pod.in_flight += 1;
        pod.sent.add(now);
    }

    /// Returns the groups of a build.
    pub(crate) fn groups_of(&self, build: Build) -> impl Iterator<Item = &PodGroup> {
        self.groups.iter().filter(move |group| group.build == build)
    }

    /// Returns all pods, and counts the pass.
    pub(crate) fn all_mut(&mut self) -> impl Iterator<Item = &mut Pod> {
        self.visits.get_mut().scanned += self.slots.len() as u64;
        self.slots.iter_mut().flatten()
    }

    /// Resets what each pod added to the sums of the sequential test.
    pub(crate) fn forget_evidence(&mut self) {
        for pod in self.slots.iter_mut().flatten() {
            pod.evidence = 0.0;
        }
    }

    /// Returns the running pods, and counts the pass.
    pub(crate) fn running(&self) -> impl Iterator<Item = &Pod> {
        self.visit(|visits| visits.scanned += self.slots.len() as u64);
        self.slots.iter().flatten().filter(|pod| pod.is_running())
    }

    /// Returns the pod that two random numbers select. `group_point`, from 0 to the sum of the groups' weights,
    /// selects the group, and `pod_point`, from 0 to 1, the pod within the subset of the group.
    pub(crate) fn draw(
        &self,
        groups: &[WeightedGroup],
        group_point: f64,
        pod_point: f64,
    ) -> Option<DrawnPod> {
        let mut remaining = group_point;
        let drawn = groups.iter().find(|group| {
            remaining -= group.weight;
            remaining < 0.0
        })?;
        let group = &self.groups[drawn.index];
        let id = group
            .subset
            .get((pod_point * group.subset.len() as f64) as usize)?;
        Some(DrawnPod {
            id: *id,
            mean_size: group.size / group.pods.len() as f64,
        })
    }

    /// Returns the latest start time among the running pods of a build.
    pub(crate) fn latest_start(&self, build: Build) -> Option<Nanos> {
        self.groups_of(build).map(|group| group.latest_start).max()
    }

    /// Returns the number of pods in this instance's subsets, without those of `build` where it is given.
    pub(crate) fn subset_size_without(&self, build: Option<Build>) -> usize {
        self.groups
            .iter()
            .filter(|group| Some(group.build) != build)
            .map(|group| group.subset.len())
            .sum()
    }

    /// Returns a build's fraction of the listed size of all running pods, or 0 without running pods.
    pub(crate) fn size_share(&self, build: Build) -> f64 {
        let all: f64 = self.groups.iter().map(|group| group.size).sum();
        self.groups_of(build).map(|group| group.size).sum::<f64>() / all.max(1e-9)
    }

    /// Returns the number of running pods of a build.
    pub(crate) fn count_of_build(&self, build: Build) -> usize {
        self.groups_of(build).map(|group| group.pods.len()).sum()
    }

    /// Returns the running pods of a build.
    pub(crate) fn pods_of(&self, build: Build) -> impl Iterator<Item = &Pod> {
        self.groups_of(build)
            .flat_map(|group| &group.pods)
            .filter_map(|id| self.get(*id))
    }
}
