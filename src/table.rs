//! The pods as a list tells them, and the sides they form: plain state with no decision in it.

use crate::interface::*;
use crate::state::Window;
use std::cell::Cell;

pub struct Pod {
    pub entry: Endpoint,
    pub in_flight: u32,
    pub sent: Window,
    /// Warm at the last look, so that its answers tell what its kind of machine carries.
    pub warm: bool,
    /// Failures since the last answer, and until when they keep hits away.
    pub strikes: u32,
    pub ill_until: Nanos,
    /// Since when forwards are out with no answer at all.
    pub quiet_since: Nanos,
    /// Its answer times against the mean of each path group, and when that was last learnt.
    pub slow: f64,
    pub slow_at: Nanos,
    /// When it was last late, and what it put on the sums in this stage.
    pub late_at: Nanos,
    pub blame: f64,
}

impl Pod {
    pub fn new(entry: Endpoint, in_flight: u32, sent: Window) -> Pod {
        Pod {
            entry,
            in_flight,
            sent,
            warm: false,
            strikes: 0,
            ill_until: 0,
            quiet_since: 0,
            slow: 1.0,
            slow_at: 0,
            late_at: 0,
            blame: 0.0,
        }
    }

    pub fn runs(&self) -> bool {
        self.entry.state == PodState::Running
    }
}

impl Endpoint {
    /// Whether it is in the group of pods that share which repeats they drop.
    pub fn shares(&self, scope: DedupScope, zone: ZoneId, cell: i64) -> bool {
        match scope {
            DedupScope::All => true,
            DedupScope::Zone => self.zone == zone,
            DedupScope::Cell => self.cell == cell,
        }
    }
}

/// The running pods of one zone and build, and what they are listed to carry.
pub struct Side {
    pub zone: ZoneId,
    pub build: Build,
    pub pods: Vec<PodId>,
    /// The same in the order of their marks.
    pub ring: Vec<PodId>,
    /// Those of them that this instance keeps to.
    pub own: Vec<PodId>,
    pub size: f64,
    pub newest: Nanos,
}

impl Side {
    fn new(zone: ZoneId, build: Build) -> Side {
        let [pods, ring, own] = [(); 3].map(|()| Vec::new());
        Side {
            zone,
            build,
            pods,
            ring,
            own,
            size: 0.0,
            newest: 0,
        }
    }

    /// What its pods say together, added up in the order of their indices, so that rounding does not depend on
    /// which change came when.
    fn sum_up(&mut self, slots: &[Option<Pod>]) {
        (self.size, self.newest) = (0.0, 0);
        for pod in self.pods.iter().filter_map(|id| slots.get(*id)?.as_ref()) {
            self.size += pod.entry.size;
            self.newest = self.newest.max(pod.entry.started);
        }
    }
}

/// The side of a pod's zone and build, a new one where there is none.
fn side_of<'a>(sides: &'a mut Vec<Side>, entry: &Endpoint) -> &'a mut Side {
    let known = sides
        .iter()
        .position(|side| (side.zone, side.build) == (entry.zone, entry.build));
    let at = known.unwrap_or_else(|| {
        sides.push(Side::new(entry.zone, entry.build));
        sides.len() - 1
    });
    &mut sides[at]
}

/// Where a pod stands in the order of marks; those of one mark go by their indices.
fn mark_in(slots: &[Option<Pod>], id: PodId) -> (Option<u64>, PodId) {
    (
        slots
            .get(id)
            .and_then(Option::as_ref)
            .map(|pod| pod.entry.name_hash),
        id,
    )
}

/// How many pods the table was made to look at, so that a test can bound a cost without a clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Visits {
    /// By passes over the table or over a side of it.
    pub passed: u64,
    /// One at a time, by index.
    pub fetched: u64,
    /// Put in order by their marks.
    pub sorted: u64,
}

/// The pods by index. One leaves the table when the list drops it and nothing is out.
#[derive(Default)]
pub struct Table {
    pub slots: Vec<Option<Pod>>,
    /// Kept with each list, so that no hit has to look through all pods.
    pub sides: Vec<Side>,
    pub count: usize,
    /// Pods that the list dropped, as long as they are in the table.
    gone: Vec<PodId>,
    visits: Cell<Visits>,
}

impl Table {
    pub fn visits(&self) -> Visits {
        self.visits.get()
    }

    pub(crate) fn visit(&self, count: impl FnOnce(&mut Visits)) {
        let mut visits = self.visits.get();
        count(&mut visits);
        self.visits.set(visits);
    }

    /// Takes a list in; a pod that started anew or runs another build is a new one under an old index. Changes
    /// cost what the sides of the changed pods hold, and leave the table as the whole list would.
    pub fn apply(&mut self, whole: bool, entries: &[Endpoint], window: impl Fn() -> Window) {
        if whole {
            self.replace(entries, &window);
        } else {
            self.update(entries, &window);
        }
        self.count = self.sides.iter().map(|side| side.pods.len()).sum();
    }

    /// Takes a whole list in and makes all sides anew.
    fn replace(&mut self, entries: &[Endpoint], window: &impl Fn() -> Window) {
        self.slots
            .iter_mut()
            .flatten()
            .for_each(|pod| pod.entry.state = PodState::Gone);
        entries.iter().for_each(|entry| self.put(entry, window));
        let gone = |pod: &&Pod| pod.entry.state == PodState::Gone;
        self.gone = self
            .slots
            .iter()
            .flatten()
            .filter(gone)
            .map(|pod| pod.entry.pod)
            .collect();
        self.drop_gone();
        self.visits.get_mut().passed += 2 * self.slots.len() as u64;
        self.sides.clear();
        for pod in self.slots.iter().flatten().filter(|pod| pod.runs()) {
            let side = side_of(&mut self.sides, &pod.entry);
            side.pods.push(pod.entry.pod);
            side.size += pod.entry.size;
            side.newest = side.newest.max(pod.entry.started);
        }
        for side in &mut self.sides {
            self.visits.get_mut().sorted += side.pods.len() as u64;
            side.ring.clone_from(&side.pods);
            side.ring.sort_by_cached_key(|id| mark_in(&self.slots, *id));
        }
    }

    /// Takes changed entries in and changes their sides only.
    fn update(&mut self, entries: &[Endpoint], window: &impl Fn() -> Window) {
        let mut changed = Vec::new();
        for entry in entries {
            if let Some(before) = self
                .get(entry.pod)
                .filter(|pod| pod.runs())
                .map(|pod| pod.entry)
            {
                self.take_off_side(&before);
                changed.push((before.zone, before.build));
            }
            self.put(entry, window);
            match entry.state {
                PodState::Running => {
                    self.put_on_side(entry);
                    changed.push((entry.zone, entry.build));
                }
                PodState::Gone => self.gone.push(entry.pod),
                PodState::Draining => {}
            }
        }
        changed.sort_unstable();
        changed.dedup();
        self.drop_gone();
        self.sides.retain(|side| !side.pods.is_empty());
        // The order in which making all sides anew would meet them.
        self.sides.sort_by_key(|side| side.pods.first().copied());
        let is_changed = |side: &&mut Side| changed.binary_search(&(side.zone, side.build)).is_ok();
        for side in self.sides.iter_mut().filter(is_changed) {
            self.visits.get_mut().passed += side.pods.len() as u64;
            side.sum_up(&self.slots);
        }
    }

    fn put(&mut self, entry: &Endpoint, window: &impl Fn() -> Window) {
        if self.slots.len() <= entry.pod {
            self.slots.resize_with(entry.pod + 1, || None);
        }
        let slot = &mut self.slots[entry.pod];
        match slot {
            Some(pod) if (pod.entry.started, pod.entry.build) == (entry.started, entry.build) => {
                pod.entry = *entry
            }
            _ => {
                *slot = Some(Pod::new(
                    *entry,
                    slot.as_ref().map_or(0, |pod| pod.in_flight),
                    window(),
                ))
            }
        }
    }

    /// Empties the slots of pods that are gone and have nothing out.
    fn drop_gone(&mut self) {
        let slots = &mut self.slots;
        self.visits.get_mut().passed += self.gone.len() as u64;
        self.gone.sort_unstable();
        self.gone.dedup();
        self.gone.retain(|id| {
            let Some(slot) = slots.get_mut(*id) else {
                return false;
            };
            slot.take_if(|pod| pod.entry.state == PodState::Gone && pod.in_flight == 0);
            slot.as_ref()
                .is_some_and(|pod| pod.entry.state == PodState::Gone)
        });
    }

    /// To be called while the slot holds the entry.
    fn put_on_side(&mut self, entry: &Endpoint) {
        let side = side_of(&mut self.sides, entry);
        if let Err(place) = side.pods.binary_search(&entry.pod) {
            side.pods.insert(place, entry.pod);
            let before =
                |id: &PodId| mark_in(&self.slots, *id) < (Some(entry.name_hash), entry.pod);
            let place = side.ring.partition_point(before);
            side.ring.insert(place, entry.pod);
            self.visits.get_mut().sorted += 1;
        }
    }

    /// To be called while the slot holds the entry.
    fn take_off_side(&mut self, entry: &Endpoint) {
        let side = side_of(&mut self.sides, entry);
        if let Ok(place) = side.pods.binary_search(&entry.pod) {
            side.pods.remove(place);
            let before =
                |id: &PodId| mark_in(&self.slots, *id) < (Some(entry.name_hash), entry.pod);
            let place = side.ring.partition_point(before);
            if side.ring.get(place) == Some(&entry.pod) {
                side.ring.remove(place);
            }
        }
    }

    /// The part of its side's pods that this instance keeps to; all of them for one that it does not keep to.
    pub fn own_part(&self, entry: &Endpoint) -> f64 {
        let side = self
            .sides
            .iter()
            .find(|side| (side.zone, side.build) == (entry.zone, entry.build));
        let own = side.filter(|side| side.own.contains(&entry.pod));
        own.map_or(1.0, |side| side.own.len() as f64 / side.pods.len() as f64)
    }

    pub fn get(&self, id: PodId) -> Option<&Pod> {
        self.visit(|visits| visits.fetched += 1);
        self.slots.get(id).and_then(Option::as_ref)
    }

    pub fn get_mut(&mut self, id: PodId) -> Option<&mut Pod> {
        self.slots.get_mut(id).and_then(Option::as_mut)
    }

    pub fn send(&mut self, now: Nanos, id: PodId) {
        let Some(pod) = self.get_mut(id) else { return };
        if pod.in_flight == 0 {
            pod.quiet_since = now;
        }
        pod.in_flight += 1;
        pod.sent.add(now);
    }

    pub fn sides_of(&self, build: Build) -> impl Iterator<Item = &Side> {
        self.sides.iter().filter(move |side| side.build == build)
    }

    pub fn running(&self) -> impl Iterator<Item = &Pod> {
        self.visit(|visits| visits.passed += self.slots.len() as u64);
        self.slots.iter().flatten().filter(|pod| pod.runs())
    }

    /// The own pod at a point of all sides' weight and one from 0 to 1 of that side, and the mean size there.
    pub fn draw(&self, sides: &[(usize, f64)], at: [f64; 2]) -> Option<(PodId, f64)> {
        let mut left = at[0];
        let (n, _) = sides.iter().find(|(_, weight)| {
            left -= weight;
            left < 0.0
        })?;
        let side = &self.sides[*n];
        let id = side.own.get((at[1] * side.own.len() as f64) as usize)?;
        Some((*id, side.size / side.pods.len() as f64))
    }

    pub fn newest_start(&self, build: Build) -> Option<Nanos> {
        self.sides_of(build).map(|side| side.newest).max()
    }

    /// How many pods this instance keeps to, those of one build left out where it is told.
    pub fn own_but(&self, build: Option<Build>) -> usize {
        self.sides
            .iter()
            .filter(|side| Some(side.build) != build)
            .map(|side| side.own.len())
            .sum()
    }

    /// What a build's running pods are listed to carry, as a part of what all of them are; 0 with none.
    pub fn part_of(&self, build: Build) -> f64 {
        let all: f64 = self.sides.iter().map(|side| side.size).sum();
        self.sides_of(build).map(|side| side.size).sum::<f64>() / all.max(1e-9)
    }

    pub fn count_of(&self, build: Build) -> usize {
        self.sides_of(build).map(|side| side.pods.len()).sum()
    }

    pub fn of_build(&self, build: Build) -> impl Iterator<Item = &Pod> {
        self.sides_of(build)
            .flat_map(|side| &side.pods)
            .filter_map(|id| self.get(*id))
    }
}
