//! What the decision module keeps in mind: plain state with no decision in it. What it means stands in
//! `router.rs`.

use crate::groups::max_priority_weight;
pub use crate::groups::{Groups, RouteClassChange};
use crate::interface::*;
pub use crate::table::{Pod, Side, Table, Visits};
use oorandom::Rand64;
use std::collections::HashSet;

/// Counts over a sliding window, kept in slices. Slices empty as the window moves on.
#[derive(Clone)]
pub struct Window {
    slice: Nanos,
    at: Nanos,
    counts: Vec<u32>,
}

impl Window {
    pub fn new(span: Nanos, slices: usize) -> Window {
        Window {
            slice: (span / slices as Nanos).max(1),
            at: 0,
            counts: vec![0; slices + 1],
        }
    }

    /// An empty one of the same span.
    pub fn like(&self) -> Window {
        Window {
            slice: self.slice,
            at: 0,
            counts: vec![0; self.counts.len()],
        }
    }

    fn roll(&mut self, now: Nanos) {
        let (at, len) = (now / self.slice, self.counts.len() as Nanos);
        for step in 0..(at - self.at.min(at)).min(len) {
            self.counts[((at - step) % len) as usize] = 0;
        }
        self.at = self.at.max(at);
    }

    pub fn add(&mut self, now: Nanos) {
        self.roll(now);
        let at = self.at as usize % self.counts.len();
        self.counts[at] += 1;
    }

    /// Never less than what the last window held.
    pub fn most(&mut self, now: Nanos) -> u32 {
        self.roll(now);
        self.counts.iter().sum()
    }

    /// Never more than what the last window held.
    pub fn least(&mut self, now: Nanos) -> u32 {
        let (all, at, len) = (self.most(now), self.at as usize, self.counts.len());
        all - self.counts[(at + 1) % len] - self.counts[(at + 2) % len]
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
    pub slot: (Nanos, u64),
    pub slot_sum: f64,
    pub seen: [(f64, f64); 2],
}

impl Judge {
    pub fn new(share: Share, bounds: (f64, f64), own_rate: f64) -> Judge {
        let (build, outcomes, sum, slow_sum, slot_sum) = (0, 0, 0.0, 0.0, 0.0);
        let (old_slow, usual, testing, away, slot, seen) =
            (0.0, 0.0, false, false, (0, 0), [(0.0, 0.0); 2]);
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
    pub rules: VoteSettings,
    pub standing: Option<(Build, usize, Vote)>,
    pub again_at: Nanos,
    pub calling: bool,
    /// Since when this stage is held, under a clock.
    pub held: Option<Nanos>,
}

impl Voter {
    pub fn new(rules: VoteSettings) -> Voter {
        Voter {
            rules,
            standing: None,
            again_at: 0,
            calling: false,
            held: None,
        }
    }
}

/// Forwards to builds on trial against the hits taken, over the told window.
pub struct Exposure {
    pub rules: ExposureSettings,
    pub started: Nanos,
    /// The window of each path group that its hits are counted in. Path groups that follow one another under one name
    /// share it: a cap counts by name, whatever version of the rules a hit began with.
    buckets: Vec<usize>,
    pub taken: Vec<Window>,
    /// Emptied of a build when no listed pod runs it and it is no longer on trial.
    pub sent: Vec<(Build, Vec<Window>)>,
    /// The part of the cap in use, and when that was last weighed.
    pub part: f64,
    pub weighed: Nanos,
    slices: usize,
    /// Keys that the newest build has answered, where that binds them to it; emptied when it goes back or the
    /// next one comes, and no longer than `MOST_KEYS`.
    pub bound: HashSet<u64>,
}

impl Exposure {
    pub fn new(
        rules: ExposureSettings,
        now: Nanos,
        groups: usize,
        part: f64,
        slices: usize,
    ) -> Exposure {
        let counted = if rules.per_class { groups } else { 1 };
        let (taken, buckets) = (
            vec![Window::new(rules.window, slices); counted],
            (0..groups).collect(),
        );
        let (sent, bound) = (Vec::new(), HashSet::new());
        Exposure {
            rules,
            started: now,
            buckets,
            slices,
            taken,
            sent,
            part,
            weighed: now,
            bound,
        }
    }

    /// Counts a path group's hits in this window: its predecessor's, or a fresh one where it has none.
    fn set_bucket(&mut self, group: RouteClassId, bucket: usize, fresh: bool) {
        if self.buckets.len() <= group {
            self.buckets.resize(group + 1, 0);
        }
        self.buckets[group] = bucket;
        if self.rules.per_class && fresh {
            let empty = Window::new(self.rules.window, self.slices);
            let counted = self
                .sent
                .iter_mut()
                .map(|(_, windows)| windows)
                .chain([&mut self.taken]);
            for windows in counted {
                if windows.len() <= bucket {
                    windows.resize(bucket + 1, empty.clone());
                }
                windows[bucket] = empty.clone();
            }
        }
    }

    /// What a cap and the free forwards together are of the hits taken in a window.
    pub fn share(&mut self, now: Nanos, cap: f64) -> f64 {
        let taken: u32 = self.taken.iter_mut().map(|window| window.least(now)).sum();
        let free = if now - self.started <= self.rules.window {
            0.0
        } else {
            self.rules.free_attempts
        };
        cap + free / taken.max(1) as f64
    }

    /// The window that hits of a path group are counted in.
    pub fn bucket(&self, group: RouteClassId) -> usize {
        self.buckets[group] * self.rules.per_class as usize
    }

    /// The windows of a build's forwards, one for each that hits are counted in.
    pub fn sent(&mut self, build: Build) -> &mut Vec<Window> {
        let at = self
            .sent
            .iter()
            .position(|(known, _)| *known == build)
            .unwrap_or_else(|| {
                self.sent
                    .push((build, self.taken.iter().map(Window::like).collect()));
                self.sent.len() - 1
            });
        &mut self.sent[at].1
    }
}

/// The pods and what their symptoms say.
pub struct Pods {
    pub rules: PodSettings,
    /// How long a pod may be silent before it looks hung.
    pub quiet: Nanos,
    pub table: Table,
    /// By machine: what its warm pods answered of late, and their size in all.
    pub carried: Vec<(Window, f64)>,
    /// Most pods looked ill at the last look.
    pub panic: bool,
    /// Forwards in flight from here that a hit found of late, in the mean.
    pub busy: f64,
}

impl Pods {
    pub fn new(rules: PodSettings, quiet: Nanos) -> Pods {
        Pods {
            rules,
            quiet,
            table: Table::default(),
            carried: Vec::new(),
            panic: false,
            busy: 0.0,
        }
    }

    /// Marks the pods whose time to warm up is over and sums up their size by machine.
    pub fn sum_up_warm(&mut self, now: Nanos, slices: usize) {
        self.carried.iter_mut().for_each(|(_, size)| *size = 0.0);
        self.table
            .visit(|visits| visits.passed += self.table.slots.len() as u64);
        for pod in self.table.slots.iter_mut().flatten() {
            pod.warm = pod.runs() && now.saturating_sub(pod.entry.started) >= self.rules.warm_up;
            if pod.warm {
                let (machine, span) = (pod.entry.machine, self.rules.overload_window);
                if self.carried.len() <= machine {
                    self.carried
                        .resize_with(machine + 1, || (Window::new(span, slices), 0.0));
                }
                self.carried[machine].1 += pod.entry.size;
            }
        }
    }

    /// What the warm pods of a machine answered of late for each unit of size, where there are any.
    pub fn carried_by(&mut self, now: Nanos, machine: usize) -> Option<f64> {
        let (window, size) = self.carried.get_mut(machine).filter(|lane| lane.1 > 0.0)?;
        Some(window.most(now) as f64 / *size)
    }
}

pub struct Limit {
    pub most: f64,
    pub out: u32,
    pub cut_at: Nanos,
    /// Share of late answers, of late.
    pub late: f64,
}

/// A hit on its way, handed from step to step.
pub struct Trip {
    pub hit: RequestId,
    pub group: RouteClassId,
    pub key: u64,
    pub deadline: Nanos,
    pub target_at: Nanos,
    pub tried: Vec<PodId>,
    /// Its forwards that have no end yet.
    pub out: u32,
    /// When and where it may have run first.
    pub may_run: Option<(Nanos, ZoneId, i64)>,
    /// A build on trial failed it: no further forward there while there is another.
    pub shy: bool,
}

impl Trip {
    /// `past`: what another instance did for it. A pod that is not in the table may lie anywhere, and so
    /// shares no zone or cell with any.
    pub fn new(
        now: Nanos,
        hit: &IncomingRequest,
        [deadline, target_at]: [Nanos; 2],
        past: &[PriorAttempt],
        table: &Table,
    ) -> Trip {
        let place = |pod| table.get(pod).map(|pod| (pod.entry.zone, pod.entry.cell));
        let nowhere = (ZoneId::MAX, i64::MIN);
        let ran = past
            .iter()
            .filter(|earlier| earlier.may_have_run)
            .max_by_key(|earlier| earlier.ago);
        let may_run = ran.map(|earlier| {
            let (zone, cell) = earlier.pod.and_then(place).unwrap_or(nowhere);
            (now.saturating_sub(earlier.ago), zone, cell)
        });
        let tried = past
            .iter()
            .map(|earlier| earlier.pod.unwrap_or(PodId::MAX))
            .collect();
        let shy = false;
        Trip {
            hit: hit.id,
            group: hit.class,
            key: hit.key,
            deadline,
            target_at,
            tried,
            out: 0,
            may_run,
            shy,
        }
    }
}

/// One forward, for the closure that gets its outcome.
pub struct Sent {
    pub pod: PodId,
    pub entry: Endpoint,
    pub at: Nanos,
    pub warm: bool,
    /// No more of this instance was in flight there than elsewhere: slowness is not of its own making.
    pub even: bool,
    /// The hit's first one.
    pub first: bool,
}

/// The module's state: its parts, and what only their interplay needs.
pub struct Router {
    pub(crate) chance: Rand64,
    pub(crate) place: FleetPosition,
    pub(crate) groups: Groups,
    pub(crate) rules: AttemptSettings,
    pub(crate) lists: EndpointListSettings,
    pub(crate) list_wait: Nanos,
    pub(crate) pods: Pods,
    pub(crate) exposure: Exposure,
    pub(crate) judge: Judge,
    pub(crate) voter: Voter,
    pub(crate) limit: Limit,
    pub(crate) stage: Option<(Stage, Nanos)>,
    pub(crate) taken: Window,
    pub(crate) retried: Window,
    pub(crate) hits: u32,
}

impl Router {
    /// Takes changed path groups in, between two calls: hits under way keep the index, and so the rules, that they
    /// began with. `in_force` are the path groups that hits may still be taken for.
    pub fn set_route_classes(&mut self, changes: &[RouteClassChange], in_force: &[RouteClassId]) {
        for change in changes {
            self.groups.set(change);
            self.exposure
                .set_bucket(change.group, change.bucket, change.predecessor.is_none());
        }
        let rules = || in_force.iter().map(|group| &self.groups[*group]);
        let quiet = rules().map(|group| group.latency_objective).min();
        self.pods.quiet = quiet.unwrap_or(self.pods.quiet);
        self.groups.max_priority_weight = max_priority_weight(rules());
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
