//! The pods as the endpoint list tells them, and the groups they form. State only.

use crate::interface::{Build, DedupScope, Endpoint, Nanos, PodId, PodState, ZoneId};
use crate::window::SlidingWindow;
use std::cell::Cell;

/// A pod of the endpoint list and what its answers told.
pub(crate) struct Pod {
    pub(crate) endpoint: Endpoint,
    /// Attempts of this instance that have not ended.
    pub(crate) in_flight: u32,
    /// Attempts sent within the overload window.
    pub(crate) sent: SlidingWindow,
    /// Warm at the last update, so that its answers tell what its machine type carries.
    pub(crate) warm: bool,
    /// Failures since the last answer.
    pub(crate) consecutive_failures: u32,
    pub(crate) ejected_until: Nanos,
    /// Since when attempts are in flight with no answer at all.
    pub(crate) silent_since: Nanos,
    /// Its latencies against the mean of their route classes, 1 for as fast as the mean.
    pub(crate) slowness: f64,
    pub(crate) slowness_updated_at: Nanos,
    pub(crate) last_late_at: Nanos,
    /// What it added to the sums of the sequential test in this stage.
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
    /// The same in the order of their name hashes.
    pub(crate) ring: Vec<PodId>,
    /// Those of them that this instance sends to.
    pub(crate) subset: Vec<PodId>,
    /// The listed sizes of all of them.
    pub(crate) size: f64,
    /// When the newest of them started.
    pub(crate) latest_start: Nanos,
}

/// A pod group by its index, with the weight it is drawn by.
pub(crate) struct WeightedGroup {
    pub(crate) index: usize,
    pub(crate) weight: f64,
}

/// A pod that was drawn, with the mean size of its group.
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

    /// What its pods say together, added up in the order of their indices, so that rounding does not depend
    /// on which change came when.
    fn sum_up(&mut self, slots: &[Option<Pod>]) {
        self.size = 0.0;
        self.latest_start = 0;
        for pod in self.pods.iter().filter_map(|id| slots.get(*id)?.as_ref()) {
            self.size += pod.endpoint.size;
            self.latest_start = self.latest_start.max(pod.endpoint.started);
        }
    }
}

/// The group of a pod's zone and build, a new one where there is none.
fn group_of<'a>(groups: &'a mut Vec<PodGroup>, endpoint: &Endpoint) -> &'a mut PodGroup {
    let known = groups
        .iter()
        .position(|group| (group.zone, group.build) == (endpoint.zone, endpoint.build));
    let at = known.unwrap_or_else(|| {
        groups.push(PodGroup::new(endpoint.zone, endpoint.build));
        groups.len() - 1
    });
    &mut groups[at]
}

/// Where a pod stands in the order of name hashes; those of one hash go by their indices.
fn ring_position(slots: &[Option<Pod>], id: PodId) -> (Option<u64>, PodId) {
    (
        slots
            .get(id)
            .and_then(Option::as_ref)
            .map(|pod| pod.endpoint.name_hash),
        id,
    )
}

/// How many pods the pod table was made to look at, so that a test can bound a cost without a clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PodVisits {
    /// By passes over the table or over a group of it.
    pub scanned: u64,
    /// One at a time, by index.
    pub fetched: u64,
    /// Put in order by their name hashes.
    pub sorted: u64,
}

/// The pods by index. One leaves the table when the list drops it and no attempt is in flight to it.
#[derive(Default)]
pub(crate) struct PodTable {
    pub(crate) slots: Vec<Option<Pod>>,
    /// Kept with each list, so that no request has to look through all pods.
    pub(crate) groups: Vec<PodGroup>,
    /// How many pods are running.
    pub(crate) count: usize,
    /// Pods that the list dropped, as long as they are in the table.
    gone: Vec<PodId>,
    visits: Cell<PodVisits>,
}

impl PodTable {
    pub(crate) fn visits(&self) -> PodVisits {
        self.visits.get()
    }

    pub(crate) fn visit(&self, count: impl FnOnce(&mut PodVisits)) {
        let mut visits = self.visits.get();
        count(&mut visits);
        self.visits.set(visits);
    }

    /// Takes a list in; a pod that started anew or runs another build is a new one under an old index.
    /// Changes cost what the groups of the changed pods hold, and leave the table as the whole list would.
    pub(crate) fn apply(
        &mut self,
        whole: bool,
        endpoints: &[Endpoint],
        window: impl Fn() -> SlidingWindow,
    ) {
        if whole {
            self.replace(endpoints, &window);
        } else {
            self.update(endpoints, &window);
        }
        self.count = self.groups.iter().map(|group| group.pods.len()).sum();
    }

    /// Takes a whole list in and makes all groups anew.
    fn replace(&mut self, endpoints: &[Endpoint], window: &impl Fn() -> SlidingWindow) {
        self.slots
            .iter_mut()
            .flatten()
            .for_each(|pod| pod.endpoint.state = PodState::Gone);
        endpoints
            .iter()
            .for_each(|endpoint| self.put(endpoint, window));
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

    /// Takes changed endpoints in and changes their groups only.
    fn update(&mut self, endpoints: &[Endpoint], window: &impl Fn() -> SlidingWindow) {
        let mut changed = Vec::new();
        for endpoint in endpoints {
            if let Some(before) = self
                .get(endpoint.pod)
                .filter(|pod| pod.is_running())
                .map(|pod| pod.endpoint)
            {
                self.remove_from_group(&before);
                changed.push((before.zone, before.build));
            }
            self.put(endpoint, window);
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
        // The order in which making all groups anew would meet them.
        self.groups.sort_by_key(|group| group.pods.first().copied());
        let is_changed =
            |group: &&mut PodGroup| changed.binary_search(&(group.zone, group.build)).is_ok();
        for group in self.groups.iter_mut().filter(is_changed) {
            self.visits.get_mut().scanned += group.pods.len() as u64;
            group.sum_up(&self.slots);
        }
    }

    fn put(&mut self, endpoint: &Endpoint, window: &impl Fn() -> SlidingWindow) {
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

    /// Empties the slots of pods that are gone and have nothing out.
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

    /// To be called while the slot holds the endpoint.
    fn add_to_group(&mut self, endpoint: &Endpoint) {
        let group = group_of(&mut self.groups, endpoint);
        if let Err(place) = group.pods.binary_search(&endpoint.pod) {
            group.pods.insert(place, endpoint.pod);
            let before = |id: &PodId| {
                ring_position(&self.slots, *id) < (Some(endpoint.name_hash), endpoint.pod)
            };
            let place = group.ring.partition_point(before);
            group.ring.insert(place, endpoint.pod);
            self.visits.get_mut().sorted += 1;
        }
    }

    /// To be called while the slot holds the endpoint.
    fn remove_from_group(&mut self, endpoint: &Endpoint) {
        let group = group_of(&mut self.groups, endpoint);
        if let Ok(place) = group.pods.binary_search(&endpoint.pod) {
            group.pods.remove(place);
            let before = |id: &PodId| {
                ring_position(&self.slots, *id) < (Some(endpoint.name_hash), endpoint.pod)
            };
            let place = group.ring.partition_point(before);
            if group.ring.get(place) == Some(&endpoint.pod) {
                group.ring.remove(place);
            }
        }
    }

    /// The part of its group's pods that is in this instance's subset; 1 for a pod outside of it.
    pub(crate) fn subset_part(&self, endpoint: &Endpoint) -> f64 {
        let group = self
            .groups
            .iter()
            .find(|group| (group.zone, group.build) == (endpoint.zone, endpoint.build));
        let own = group.filter(|group| group.subset.contains(&endpoint.pod));
        own.map_or(1.0, |group| {
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

    /// The groups of a build.
    pub(crate) fn groups_of(&self, build: Build) -> impl Iterator<Item = &PodGroup> {
        self.groups.iter().filter(move |group| group.build == build)
    }

    /// All pods, counted as one pass.
    pub(crate) fn all_mut(&mut self) -> impl Iterator<Item = &mut Pod> {
        self.visits.get_mut().scanned += self.slots.len() as u64;
        self.slots.iter_mut().flatten()
    }

    /// Forgets what each pod added to the sums of the sequential test.
    pub(crate) fn forget_evidence(&mut self) {
        for pod in self.slots.iter_mut().flatten() {
            pod.evidence = 0.0;
        }
    }

    /// The running pods.
    pub(crate) fn running(&self) -> impl Iterator<Item = &Pod> {
        self.visit(|visits| visits.scanned += self.slots.len() as u64);
        self.slots.iter().flatten().filter(|pod| pod.is_running())
    }

    /// The pod of a subset that two points lead to: `group_point` lies within all groups' weights together,
    /// `pod_point` from 0 to 1 within the group's subset.
    pub(crate) fn draw(
        &self,
        groups: &[WeightedGroup],
        group_point: f64,
        pod_point: f64,
    ) -> Option<DrawnPod> {
        let mut left = group_point;
        let drawn = groups.iter().find(|group| {
            left -= group.weight;
            left < 0.0
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

    /// When the newest running pod of a build started.
    pub(crate) fn latest_start(&self, build: Build) -> Option<Nanos> {
        self.groups_of(build).map(|group| group.latest_start).max()
    }

    /// How many pods are in this instance's subsets, those of one build left out where it is given.
    pub(crate) fn subset_size_without(&self, build: Option<Build>) -> usize {
        self.groups
            .iter()
            .filter(|group| Some(group.build) != build)
            .map(|group| group.subset.len())
            .sum()
    }

    /// The part of the listed size of all running pods that is a build's; 0 with none.
    pub(crate) fn size_share(&self, build: Build) -> f64 {
        let all: f64 = self.groups.iter().map(|group| group.size).sum();
        self.groups_of(build).map(|group| group.size).sum::<f64>() / all.max(1e-9)
    }

    /// How many running pods a build has.
    pub(crate) fn count_of_build(&self, build: Build) -> usize {
        self.groups_of(build).map(|group| group.pods.len()).sum()
    }

    /// The running pods of a build.
    pub(crate) fn pods_of(&self, build: Build) -> impl Iterator<Item = &Pod> {
        self.groups_of(build)
            .flat_map(|group| &group.pods)
            .filter_map(|id| self.get(*id))
    }
}
