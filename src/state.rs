//! What the decision module keeps in mind: plain state with no decision in it. What it means stands in `logic.rs`.

use crate::port::*;

/// Counts over a sliding window, kept in slices. Slices empty as the window moves on.
pub struct Window {
    slice: Ns,
    at: Ns,
    counts: Vec<u32>,
}

impl Window {
    pub fn new(span: Ns, slices: usize) -> Window {
        Window { slice: (span / slices as Ns).max(1), at: 0, counts: vec![0; slices + 1] }
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
    pub carried: Window,
    /// Failures since the last answer, and until when they keep hits away.
    pub strikes: u32,
    pub ill_until: Ns,
    /// Since when forwards are out with no answer at all.
    pub quiet_since: Ns,
    /// Its answer times against the mean of each path group, and when that was last learnt.
    pub slow: f64,
    pub slow_at: Ns,
    /// When it was last late, and what its slow answers put on the sum of this stage.
    pub late_at: Ns,
    pub blame: f64,
}

impl Pod {
    pub fn new(entry: PodEntry, in_flight: u32, window: impl Fn() -> Window) -> Pod {
        Pod {
            entry,
            in_flight,
            sent: window(),
            carried: window(),
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

/// The pods by index. One leaves the table when the list drops it and nothing is out.
#[derive(Default)]
pub struct Table {
    pub slots: Vec<Option<Pod>>,
}

impl Table {
    /// Takes a list in; a pod that started anew or runs another build is a new one under an old index.
    pub fn apply(&mut self, whole: bool, entries: &[PodEntry], window: impl Fn() -> Window) {
        if whole {
            self.slots.iter_mut().flatten().for_each(|pod| pod.entry.state = PodState::Gone);
        }
        for entry in entries {
            if self.slots.len() <= entry.pod {
                self.slots.resize_with(entry.pod + 1, || None);
            }
            let slot = &mut self.slots[entry.pod];
            match slot {
                Some(pod) if (pod.entry.started, pod.entry.build) == (entry.started, entry.build) => {
                    pod.entry = *entry
                }
                _ => *slot = Some(Pod::new(*entry, slot.as_ref().map_or(0, |pod| pod.in_flight), &window)),
            }
        }
        for slot in &mut self.slots {
            slot.take_if(|pod| pod.entry.state == PodState::Gone && pod.in_flight == 0);
        }
    }

    pub fn get(&self, id: PodId) -> Option<&Pod> {
        self.slots.get(id).and_then(Option::as_ref)
    }

    pub fn get_mut(&mut self, id: PodId) -> Option<&mut Pod> {
        self.slots.get_mut(id).and_then(Option::as_mut)
    }

    pub fn live(&self) -> impl Iterator<Item = &Pod> {
        self.slots.iter().flatten().filter(|pod| pod.runs())
    }

    pub fn of_build(&self, build: Build) -> impl Iterator<Item = &Pod> {
        self.live().filter(move |pod| pod.entry.build == build)
    }
}

/// A hit on its way, handed from step to step.
pub struct Trip {
    pub hit: HitId,
    pub group: GroupId,
    pub key: u64,
    pub deadline: Ns,
    pub target_at: Ns,
    pub tried: Vec<PodId>,
    /// When and where it may have run first.
    pub may_run: Option<(Ns, ZoneId, i64)>,
    /// A build on trial failed it: no further forward there while there is another.
    pub shy: bool,
}

/// One forward, for the closure that gets its outcome.
pub struct Sent {
    pub pod: PodId,
    pub entry: PodEntry,
    pub at: Ns,
    pub warm: bool,
    /// No more of this instance was in flight there than elsewhere: slowness is not of its own making.
    pub even: bool,
}

/// A pod that may take a forward.
pub struct Fit {
    pub pod: PodId,
    pub build: Build,
    pub cap: Option<f64>,
    pub near: bool,
    pub well: bool,
}
