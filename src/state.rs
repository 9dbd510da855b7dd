//! What the decision module keeps in mind: plain state with no decision in it. What it means stands in
//! `logic.rs`.

use crate::port::*;
use oorandom::Rand64;
use std::cell::Cell;
use std::collections::HashSet;
use std::ops::Index;

/// Counts over a sliding window, kept in slices. Slices empty as the window moves on.
#[derive(Clone)]
pub struct Window {
    slice: Ns,
    at: Ns,
    counts: Vec<u32>,
}

impl Window {
    pub fn new(span: Ns, slices: usize) -> Window {
        Window { slice: (span / slices as Ns).max(1), at: 0, counts: vec![0; slices + 1] }
    }

    /// An empty one of the same span.
    pub fn like(&self) -> Window {
        Window { slice: self.slice, at: 0, counts: vec![0; self.counts.len()] }
    }

    fn roll(&mut self, now: Ns) {
        let (at, len) = (now / self.slice, self.counts.len() as Ns);
        for step in 0..(at - self.at.min(at)).min(len) {
            self.counts[((at - step) % len) as usize] = 0;
        }
        self.at = self.at.max(at);
    }

    pub fn add(&mut self, now: Ns) {
        self.roll(now);
        let at = self.at as usize % self.counts.len();
        self.counts[at] += 1;
    }

    /// Never less than what the last window held.
    pub fn most(&mut self, now: Ns) -> u32 {
        self.roll(now);
        self.counts.iter().sum()
    }

    /// Never more than what the last window held.
    pub fn least(&mut self, now: Ns) -> u32 {
        let (all, at, len) = (self.most(now), self.at as usize, self.counts.len());
        all - self.counts[(at + 1) % len] - self.counts[(at + 2) % len]
    }
}

pub struct Pod {
    pub entry: PodEntry,
    pub in_flight: u32,
    pub sent: Window,
    /// Warm at the last look, so that its answers tell what its kind of machine carries.
    pub warm: bool,
    /// Failures since the last answer, and until when they keep hits away.
    pub strikes: u32,
    pub ill_until: Ns,
    /// Since when forwards are out with no answer at all.
    pub quiet_since: Ns,
    /// Its answer times against the mean of each path group, and when that was last learnt.
    pub slow: f64,
    pub slow_at: Ns,
    /// When it was last late, and what it put on the sums in this stage.
    pub late_at: Ns,
    pub blame: f64,
}

impl Pod {
    pub fn new(entry: PodEntry, in_flight: u32, sent: Window) -> Pod {
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

impl PodEntry {
    /// Whether it is in the group of pods that share which repeats they drop.
    pub fn shares(&self, scope: Scope, zone: ZoneId, cell: i64) -> bool {
        match scope {
            Scope::All => true,
            Scope::Zone => self.zone == zone,
            Scope::Cell => self.cell == cell,
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
    pub newest: Ns,
}

impl Side {
    fn new(zone: ZoneId, build: Build) -> Side {
        let [pods, ring, own] = [(); 3].map(|()| Vec::new());
        Side { zone, build, pods, ring, own, size: 0.0, newest: 0 }
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
fn side_of<'a>(sides: &'a mut Vec<Side>, entry: &PodEntry) -> &'a mut Side {
    let known = sides.iter().position(|side| (side.zone, side.build) == (entry.zone, entry.build));
    let at = known.unwrap_or_else(|| {
        sides.push(Side::new(entry.zone, entry.build));
        sides.len() - 1
    });
    &mut sides[at]
}

/// Where a pod stands in the order of marks; those of one mark go by their indices.
fn mark_in(slots: &[Option<Pod>], id: PodId) -> (Option<u64>, PodId) {
    (slots.get(id).and_then(Option::as_ref).map(|pod| pod.entry.mark), id)
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

    fn visit(&self, count: impl FnOnce(&mut Visits)) {
        let mut visits = self.visits.get();
        count(&mut visits);
        self.visits.set(visits);
    }

    /// Takes a list in; a pod that started anew or runs another build is a new one under an old index. Changes
    /// cost what the sides of the changed pods hold, and leave the table as the whole list would.
    pub fn apply(&mut self, whole: bool, entries: &[PodEntry], window: impl Fn() -> Window) {
        if whole {
            self.replace(entries, &window);
        } else {
            self.update(entries, &window);
        }
        self.count = self.sides.iter().map(|side| side.pods.len()).sum();
    }

    /// Takes a whole list in and makes all sides anew.
    fn replace(&mut self, entries: &[PodEntry], window: &impl Fn() -> Window) {
        self.slots.iter_mut().flatten().for_each(|pod| pod.entry.state = PodState::Gone);
        entries.iter().for_each(|entry| self.put(entry, window));
        let gone = |pod: &&Pod| pod.entry.state == PodState::Gone;
        self.gone = self.slots.iter().flatten().filter(gone).map(|pod| pod.entry.pod).collect();
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
    fn update(&mut self, entries: &[PodEntry], window: &impl Fn() -> Window) {
        let mut changed = Vec::new();
        for entry in entries {
            if let Some(before) = self.get(entry.pod).filter(|pod| pod.runs()).map(|pod| pod.entry) {
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
        self.drop_gone();
        self.sides.retain(|side| !side.pods.is_empty());
        // The order in which making all sides anew would meet them.
        self.sides.sort_by_key(|side| side.pods.first().copied());
        for side in self.sides.iter_mut().filter(|side| changed.contains(&(side.zone, side.build))) {
            self.visits.get_mut().passed += side.pods.len() as u64;
            side.sum_up(&self.slots);
        }
    }

    fn put(&mut self, entry: &PodEntry, window: &impl Fn() -> Window) {
        if self.slots.len() <= entry.pod {
            self.slots.resize_with(entry.pod + 1, || None);
        }
        let slot = &mut self.slots[entry.pod];
        match slot {
            Some(pod) if (pod.entry.started, pod.entry.build) == (entry.started, entry.build) => {
                pod.entry = *entry
            }
            _ => *slot = Some(Pod::new(*entry, slot.as_ref().map_or(0, |pod| pod.in_flight), window())),
        }
    }

    /// Empties the slots of pods that are gone and have nothing out.
    fn drop_gone(&mut self) {
        let slots = &mut self.slots;
        self.visits.get_mut().passed += self.gone.len() as u64;
        self.gone.sort_unstable();
        self.gone.dedup();
        self.gone.retain(|id| {
            let Some(slot) = slots.get_mut(*id) else { return false };
            slot.take_if(|pod| pod.entry.state == PodState::Gone && pod.in_flight == 0);
            slot.as_ref().is_some_and(|pod| pod.entry.state == PodState::Gone)
        });
    }

    /// To be called while the slot holds the entry.
    fn put_on_side(&mut self, entry: &PodEntry) {
        let side = side_of(&mut self.sides, entry);
        if let Err(place) = side.pods.binary_search(&entry.pod) {
            side.pods.insert(place, entry.pod);
            let before = |id: &PodId| mark_in(&self.slots, *id) < (Some(entry.mark), entry.pod);
            let place = side.ring.partition_point(before);
            side.ring.insert(place, entry.pod);
            self.visits.get_mut().sorted += 1;
        }
    }

    /// To be called while the slot holds the entry.
    fn take_off_side(&mut self, entry: &PodEntry) {
        let side = side_of(&mut self.sides, entry);
        if let Ok(place) = side.pods.binary_search(&entry.pod) {
            side.pods.remove(place);
            let before = |id: &PodId| mark_in(&self.slots, *id) < (Some(entry.mark), entry.pod);
            let place = side.ring.partition_point(before);
            if side.ring.get(place) == Some(&entry.pod) {
                side.ring.remove(place);
            }
        }
    }

    /// The part of its side's pods that this instance keeps to; all of them for one that it does not keep to.
    pub fn own_part(&self, entry: &PodEntry) -> f64 {
        let side = self.sides.iter().find(|side| (side.zone, side.build) == (entry.zone, entry.build));
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

    pub fn send(&mut self, now: Ns, id: PodId) {
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

    pub fn newest_start(&self, build: Build) -> Option<Ns> {
        self.sides_of(build).map(|side| side.newest).max()
    }

    /// How many pods this instance keeps to, those of one build left out where it is told.
    pub fn own_but(&self, build: Option<Build>) -> usize {
        self.sides.iter().filter(|side| Some(side.build) != build).map(|side| side.own.len()).sum()
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
        self.sides_of(build).flat_map(|side| &side.pods).filter_map(|id| self.get(*id))
    }
}

/// A build's share of forwards, of those that ended: failures come that late too, and what a draining pod
/// turned away could not have failed. Else a share that grows by the second would look like the build's bad
/// luck.
pub struct Share {
    pub new: [Window; 2],
    pub all: [Window; 2],
}

/// Wald's test on who the failures came from, for one build and stage.
pub struct Judge {
    /// On below the first, back above the second.
    pub bounds: (f64, f64),
    pub build: Build,
    /// By how much this instance draws the build on trial more often than its size says; 0 where others do.
    pub lift: f64,
    pub share: Share,
    pub outcomes: u32,
    /// Failures of its own that a forward to an earlier build made.
    pub own_rate: f64,
    pub sum: f64,
    pub slow_sum: f64,
    /// How much of late is slow on the earlier build's pods, and that outside trials.
    pub old_slow: f64,
    pub usual: f64,
    /// The trial by share: whether one is on and the share away, the stage's slot, its sum, and in
    /// this round of two slots the earlier pods' answers and slow ones, with the share and without.
    pub testing: bool,
    pub away: bool,
    pub slot: (Ns, u64),
    pub slot_sum: f64,
    pub seen: [(f64, f64); 2],
}

impl Judge {
    pub fn new(share: Share, bounds: (f64, f64), own_rate: f64) -> Judge {
        let (build, outcomes, sum, slow_sum, slot_sum) = (0, 0, 0.0, 0.0, 0.0);
        let (old_slow, usual, testing, away, slot, seen) = (0.0, 0.0, false, false, (0, 0), [(0.0, 0.0); 2]);
        Judge {
            bounds,
            build,
            lift: 1.0,
            share,
            outcomes,
            own_rate,
            sum,
            slow_sum,
            old_slow,
            usual,
            testing,
            away,
            slot,
            slot_sum,
            seen,
        }
    }
}

/// This instance's vote: what stands, until when, and whether a call is out.
pub struct Voter {
    pub rules: VoteRules,
    pub standing: Option<(Build, usize, Voice)>,
    pub again_at: Ns,
    pub calling: bool,
    /// Since when this stage is held, under a clock.
    pub held: Option<Ns>,
}

impl Voter {
    pub fn new(rules: VoteRules) -> Voter {
        Voter { rules, standing: None, again_at: 0, calling: false, held: None }
    }
}

/// Forwards to builds on trial against the hits taken, over the told window.
pub struct Exposure {
    pub rules: ExposureRules,
    pub started: Ns,
    /// The window of each path group that its hits are counted in. Path groups that follow one another under one name
    /// share it: a cap counts by name, whatever version of the rules a hit began with.
    buckets: Vec<usize>,
    pub taken: Vec<Window>,
    /// Emptied of a build when no listed pod runs it and it is no longer on trial.
    pub sent: Vec<(Build, Vec<Window>)>,
    /// The part of the cap in use, and when that was last weighed.
    pub part: f64,
    pub weighed: Ns,
    slices: usize,
    /// Keys that the newest build has answered, where that binds them to it; emptied when it goes back or the
    /// next one comes, and no longer than `MOST_KEYS`.
    pub bound: HashSet<u64>,
}

impl Exposure {
    pub fn new(rules: ExposureRules, now: Ns, groups: usize, part: f64, slices: usize) -> Exposure {
        let counted = if rules.per_group { groups } else { 1 };
        let (taken, buckets) = (vec![Window::new(rules.window, slices); counted], (0..groups).collect());
        let (sent, bound) = (Vec::new(), HashSet::new());
        Exposure { rules, started: now, buckets, slices, taken, sent, part, weighed: now, bound }
    }

    /// Counts a path group's hits in this window: its predecessor's, or a fresh one where it has none.
    fn set_bucket(&mut self, group: GroupId, bucket: usize, fresh: bool) {
        if self.buckets.len() <= group {
            self.buckets.resize(group + 1, 0);
        }
        self.buckets[group] = bucket;
        if self.rules.per_group && fresh {
            let empty = Window::new(self.rules.window, self.slices);
            let counted = self.sent.iter_mut().map(|(_, windows)| windows).chain([&mut self.taken]);
            for windows in counted {
                if windows.len() <= bucket {
                    windows.resize(bucket + 1, empty.clone());
                }
                windows[bucket] = empty.clone();
            }
        }
    }

    /// What a cap and the free forwards together are of the hits taken in a window.
    pub fn share(&mut self, now: Ns, cap: f64) -> f64 {
        let taken: u32 = self.taken.iter_mut().map(|window| window.least(now)).sum();
        let free = if now - self.started <= self.rules.window { 0.0 } else { self.rules.free };
        cap + free / taken.max(1) as f64
    }

    /// The window that hits of a path group are counted in.
    pub fn bucket(&self, group: GroupId) -> usize {
        self.buckets[group] * self.rules.per_group as usize
    }

    /// The windows of a build's forwards, one for each that hits are counted in.
    pub fn sent(&mut self, build: Build) -> &mut Vec<Window> {
        let at = self.sent.iter().position(|(known, _)| *known == build).unwrap_or_else(|| {
            self.sent.push((build, self.taken.iter().map(Window::like).collect()));
            self.sent.len() - 1
        });
        &mut self.sent[at].1
    }
}

/// The pods and what their symptoms say.
pub struct Pods {
    pub rules: PodRules,
    /// How long a pod may be silent before it looks hung.
    pub quiet: Ns,
    pub table: Table,
    /// By machine: what its warm pods answered of late, and their size in all.
    pub carried: Vec<(Window, f64)>,
    /// Most pods looked ill at the last look.
    pub panic: bool,
    /// Forwards in flight from here that a hit found of late, in the mean.
    pub busy: f64,
}

impl Pods {
    pub fn new(rules: PodRules, quiet: Ns) -> Pods {
        Pods { rules, quiet, table: Table::default(), carried: Vec::new(), panic: false, busy: 0.0 }
    }

    /// Marks the pods whose time to warm up is over and sums up their size by machine.
    pub fn sum_up_warm(&mut self, now: Ns, slices: usize) {
        self.carried.iter_mut().for_each(|(_, size)| *size = 0.0);
        self.table.visit(|visits| visits.passed += self.table.slots.len() as u64);
        for pod in self.table.slots.iter_mut().flatten() {
            pod.warm = pod.runs() && now.saturating_sub(pod.entry.started) >= self.rules.warm_up;
            if pod.warm {
                let (machine, span) = (pod.entry.machine, self.rules.fall_window);
                if self.carried.len() <= machine {
                    self.carried.resize_with(machine + 1, || (Window::new(span, slices), 0.0));
                }
                self.carried[machine].1 += pod.entry.size;
            }
        }
    }

    /// What the warm pods of a machine answered of late for each unit of size, where there are any.
    pub fn carried_by(&mut self, now: Ns, machine: usize) -> Option<f64> {
        let (window, size) = self.carried.get_mut(machine).filter(|lane| lane.1 > 0.0)?;
        Some(window.most(now) as f64 / *size)
    }
}

pub struct Limit {
    pub most: f64,
    pub out: u32,
    pub cut_at: Ns,
    /// Share of late answers, of late.
    pub late: f64,
}

/// A hit on its way, handed from step to step.
pub struct Trip {
    pub hit: HitId,
    pub group: GroupId,
    pub key: u64,
    pub deadline: Ns,
    pub target_at: Ns,
    pub tried: Vec<PodId>,
    /// Its forwards that have no end yet.
    pub out: u32,
    /// When and where it may have run first.
    pub may_run: Option<(Ns, ZoneId, i64)>,
    /// A build on trial failed it: no further forward there while there is another.
    pub shy: bool,
}

impl Trip {
    /// `past`: what another instance did for it. A pod that is not in the table may lie anywhere, and so
    /// shares no zone or cell with any.
    pub fn new(now: Ns, hit: &Hit, [deadline, target_at]: [Ns; 2], past: &[Earlier], table: &Table) -> Trip {
        let place = |pod| table.get(pod).map(|pod| (pod.entry.zone, pod.entry.cell));
        let nowhere = (ZoneId::MAX, i64::MIN);
        let ran = past.iter().filter(|earlier| earlier.may_have_run).max_by_key(|earlier| earlier.ago);
        let may_run = ran.map(|earlier| {
            let (zone, cell) = earlier.pod.and_then(place).unwrap_or(nowhere);
            (now.saturating_sub(earlier.ago), zone, cell)
        });
        let tried = past.iter().map(|earlier| earlier.pod.unwrap_or(PodId::MAX)).collect();
        let shy = false;
        Trip { hit: hit.id, group: hit.group, key: hit.key, deadline, target_at, tried, out: 0, may_run, shy }
    }
}

/// One forward, for the closure that gets its outcome.
pub struct Sent {
    pub pod: PodId,
    pub entry: PodEntry,
    pub at: Ns,
    pub warm: bool,
    /// No more of this instance was in flight there than elsewhere: slowness is not of its own making.
    pub even: bool,
    /// The hit's first one.
    pub first: bool,
}

/// A path group that is new under an index, or whose rules have changed.
pub struct GroupChange {
    pub group: GroupId,
    pub rules: PathGroup,
    /// The one of the same name before it, whose learnt answer times and counts against the cap it goes on with.
    pub predecessor: Option<GroupId>,
    /// The counting window: its predecessor's, else one that no other path group uses.
    pub bucket: usize,
}

/// The path groups by index, with what was learnt of each.
pub struct Groups {
    rules: Vec<PathGroup>,
    /// Of each path group the mean answer time, and for each machine the time that nine in ten answers keep,
    /// by machine since a new build starts on few.
    mean: Vec<f64>,
    slowest: Vec<Vec<f64>>,
    /// The mean of a path group of which nothing is learnt yet.
    first_mean: fn(&PathGroup) -> f64,
    /// The greatest benefit of those in force, so that no hit has to look through them.
    pub most_benefit: f64,
}

fn most_benefit<'a>(groups: impl Iterator<Item = &'a PathGroup>) -> f64 {
    groups.map(|group| group.benefit).fold(1e-9, f64::max)
}

impl Groups {
    pub fn new(rules: Vec<PathGroup>, first_mean: fn(&PathGroup) -> f64) -> Groups {
        let mean = rules.iter().map(first_mean).collect();
        let (slowest, most_benefit) = (vec![Vec::new(); rules.len()], most_benefit(rules.iter()));
        Groups { rules, mean, slowest, first_mean, most_benefit }
    }

    fn set(&mut self, change: &GroupChange) {
        let GroupChange { group, rules, predecessor, .. } = *change;
        let (mean, slowest) = match predecessor {
            Some(known) => (self.mean[known], self.slowest[known].clone()),
            None => ((self.first_mean)(&rules), Vec::new()),
        };
        if self.rules.len() <= group {
            self.rules.resize(group + 1, rules);
            self.mean.resize(group + 1, mean);
            self.slowest.resize(group + 1, Vec::new());
        }
        self.rules[group] = rules;
        self.mean[group] = mean;
        self.slowest[group] = slowest;
    }

    /// The mean answer time of a path group, and by machine what nine in ten answers keep.
    pub fn learnt(&mut self, group: GroupId) -> (&mut f64, &mut Vec<f64>) {
        (&mut self.mean[group], &mut self.slowest[group])
    }

    /// What nine in ten answers keep on a machine, where any came.
    pub fn slowest(&self, group: GroupId, machine: usize) -> Option<f64> {
        self.slowest[group].get(machine).copied()
    }
}

impl Index<GroupId> for Groups {
    type Output = PathGroup;

    fn index(&self, group: GroupId) -> &PathGroup {
        &self.rules[group]
    }
}

/// The module's state: its parts, and what only their interplay needs.
pub struct Logic {
    pub(crate) chance: Rand64,
    pub(crate) place: Place,
    pub(crate) groups: Groups,
    pub(crate) rules: ForwardRules,
    pub(crate) lists: ListRules,
    pub(crate) list_wait: Ns,
    pub(crate) pods: Pods,
    pub(crate) exposure: Exposure,
    pub(crate) judge: Judge,
    pub(crate) voter: Voter,
    pub(crate) limit: Limit,
    pub(crate) stage: Option<(Stage, Ns)>,
    pub(crate) taken: Window,
    pub(crate) retried: Window,
    pub(crate) hits: u32,
}

impl Logic {
    /// Takes changed path groups in, between two calls: hits under way keep the index, and so the rules, that they
    /// began with. `in_force` are the path groups that hits may still be taken for.
    pub fn set_groups(&mut self, changes: &[GroupChange], in_force: &[GroupId]) {
        for change in changes {
            self.groups.set(change);
            self.exposure.set_bucket(change.group, change.bucket, change.predecessor.is_none());
        }
        let rules = || in_force.iter().map(|group| &self.groups.rules[*group]);
        let quiet = rules().map(|group| group.target_latency).min();
        self.pods.quiet = quiet.unwrap_or(self.pods.quiet);
        self.groups.most_benefit = most_benefit(rules());
    }

    /// The sums on failures, on slow answers and of the trial by share, for whoever watches.
    pub fn sums(&self) -> (f64, f64, f64) {
        (self.judge.sum, self.judge.slow_sum, self.judge.slot_sum)
    }

    /// The pods that were looked at since the start.
    pub fn visits(&self) -> Visits {
        self.pods.table.visits()
    }
}
