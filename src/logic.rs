//! Every decision of havenplank: where a hit goes, what is tried again, what a new build gets, how to vote.
//!
//! A host makes a [`Logic`] with `new`, calls `begin` once, then `hit`, `list`, `list_failed`, `news`, `tally`
//! and `flagged` as things arrive; effects leave through [`Host`] in `port.rs`, where the interface stands. Each
//! forward, vote and wake leaves a closure that is handed its result: a hit's state lives there, in no table.
//!
//! The ordinary path is Wald's sequential test (docs/design.md): `Judge` sums whether this instance's failures
//! fall on the build on trial beyond that build's share of its forwards, `Voter` turns the sum into a vote.

use crate::port::*;
use oorandom::Rand64;
use std::collections::HashSet;

const MS: Ns = 1_000_000;
const S: Ns = 1_000 * MS;
const TICK: Ns = 200 * MS;

/// Counts over a sliding window, kept in slices. Slices empty as the window moves on.
struct Window {
    slice: Ns,
    at: Ns,
    counts: [u32; Window::SLICES + 1],
}

impl Window {
    const SLICES: usize = 40;

    fn new(span: Ns) -> Window {
        Window { slice: (span / Window::SLICES as Ns).max(1), at: 0, counts: [0; Window::SLICES + 1] }
    }

    fn roll(&mut self, now: Ns) {
        let at = now / self.slice;
        let len = self.counts.len() as Ns;
        for step in 0..(at - self.at.min(at)).min(len) {
            self.counts[((at - step) % len) as usize] = 0;
        }
        self.at = self.at.max(at);
    }

    fn add(&mut self, now: Ns) {
        self.roll(now);
        self.counts[(self.at % self.counts.len() as Ns) as usize] += 1;
    }

    /// Never less than what the last window held.
    fn most(&mut self, now: Ns) -> u32 {
        self.roll(now);
        self.counts.iter().sum()
    }

    /// Never more than what the last window held.
    fn least(&mut self, now: Ns) -> u32 {
        let all = self.most(now);
        let len = self.counts.len() as Ns;
        all - self.counts[((self.at + 1) % len) as usize] - self.counts[((self.at + 2) % len) as usize]
    }
}

/// Wald's test on who the failures came from, for one build and stage.
struct Judge {
    build: Build,
    stage: usize,
    sum: f64,
    slow_sum: f64,
    /// Share of the earlier build's answers that were slow of late, and what came of lowering the share.
    old_slow: f64,
    slowed: Option<(Ns, f64)>,
    relieved: bool,
    /// The most of `old_slow` outside trials, fading.
    peak: f64,
    outcomes: u32,
    ended_new: Window,
    ended_all: Window,
    lately_new: Window,
    lately_all: Window,
}

impl Judge {
    const ALPHA: f64 = 0.01;
    const BETA: f64 = 0.1;
    const SLOW_ODDS: f64 = 5.0;
    /// Part of the upper bound that one pod's slow answers may fill: machines are slow by themselves, too.
    const ONE_POD: f64 = 0.6;
    const SLOW_SHARE: f64 = 0.5;
    /// Share of slow answers that is too many, where a tenth is usual.
    const OLD_SLOW: f64 = 0.25;
    /// Taken for the worst before a trial by an instance that began amid it.
    const UNKNOWN: f64 = 0.35;
    const OLD_LEARN: f64 = 0.02;
    const MEMORY_SHARE: f64 = 0.5;
    /// Failures a forward that a sound build makes by itself, at most.
    const OWN_RATE: f64 = 0.002;
    const RELIEF: Ns = 8 * S;
    const SHARE_WINDOW: Ns = 5 * S;
    const SHORT_WINDOW: Ns = 1500 * MS;
    const THIN: f64 = 5.0;
    /// A pod younger than this fails for being cold, whatever its build.
    const COLD_SKIP: Ns = 3 * S;

    fn new() -> Judge {
        Judge {
            build: 0,
            stage: 0,
            sum: 0.0,
            slow_sum: 0.0,
            old_slow: 0.1,
            slowed: None,
            relieved: false,
            peak: Judge::UNKNOWN,
            outcomes: 0,
            ended_new: Window::new(Judge::SHARE_WINDOW),
            ended_all: Window::new(Judge::SHARE_WINDOW),
            lately_new: Window::new(Judge::SHORT_WINDOW),
            lately_all: Window::new(Judge::SHORT_WINDOW),
        }
    }

    fn upper() -> f64 {
        ((1.0 - Judge::BETA) / Judge::ALPHA).ln()
    }

    fn lower() -> f64 {
        (Judge::BETA / (1.0 - Judge::ALPHA)).ln()
    }

    fn restart(&mut self, build: Build, stage: usize) {
        if build != self.build {
            self.ended_new = Window::new(Judge::SHARE_WINDOW);
            self.lately_new = Window::new(Judge::SHORT_WINDOW);
            (self.slowed, self.relieved, self.sum) = (None, false, 0.0);
        }
        // What speaks against the build outlives its stage: a low rate of wrong answers never fills the sum within
        // one. What speaks for it does not, as more traffic may bring out more.
        self.sum = self.sum.max(0.0);
        (self.build, self.stage, self.slow_sum, self.outcomes) = (build, stage, 0.0, 0);
    }

    /// The share is taken of forwards as they end: failures come that late too, and forwards that a draining pod
    /// turned away could not have failed. Else a share that grows by the second would look like bad luck.
    fn ended(&mut self, now: Ns, build: Build) {
        self.ended_all.add(now);
        self.lately_all.add(now);
        if build == self.build {
            self.ended_new.add(now);
            self.lately_new.add(now);
            self.outcomes = self.outcomes.saturating_add(1);
            let p0 = self.share(now);
            self.remember(p0);
        }
    }

    /// `own`: an error or a wrong answer, which a pod makes by itself, unlike a time-out or a broken connection.
    fn failed(&mut self, now: Ns, build: Build, own: bool) {
        let p0 = self.share(now);
        self.sum += self.step(if own { p0.min(Judge::MEMORY_SHARE) } else { p0 }, build, 2.0);
    }

    /// Once the new build has most of the load the share nears 1 and the test goes blind, so for failures that are
    /// a pod's own the earlier build keeps half the share from memory, failing at its usual small rate. Covers
    /// builds that fail late or answer wrongly at a low rate; could harm a build blamed for its callers' mistakes.
    fn remember(&mut self, p0: f64) {
        let step = self.step(Judge::MEMORY_SHARE, self.build.wrapping_sub(1), 2.0);
        self.sum += Judge::OWN_RATE * step * (2.0 * p0 - 1.0).max(0.0);
    }

    /// A slow build fails nothing, so the sum above never hears of it: the same test, on whether the slowest tenth
    /// of answers falls on the build on trial, with a wider alternative as good builds differ a little in speed.
    /// Covers time-outs set shorter than the target too; could harm a good build kept busier than the earlier, so
    /// it rests once the new build has most of the load.
    fn slow(&mut self, now: Ns, build: Build, blame: &mut f64) {
        let p0 = self.share(now);
        if p0 <= Judge::SLOW_SHARE {
            let step = self.step(p0, build, Judge::SLOW_ODDS).min(Judge::upper() * Judge::ONE_POD - *blame);
            *blame += step.max(0.0);
            self.slow_sum += step;
        }
    }

    /// The share rises by leaps at a stage's start, when the longer window would still blame the build for having
    /// more forwards than it counts: the higher of a long and a short look, the short one shrunk where thin.
    fn share(&mut self, now: Ns) -> f64 {
        let (new, all) = (self.ended_new.most(now) as f64, self.ended_all.most(now) as f64);
        let (late, lately) = (self.lately_new.most(now) as f64, self.lately_all.most(now) as f64);
        (new / all.max(1.0)).max(late / (lately + Judge::THIN))
    }

    fn step(&self, p0: f64, build: Build, odds: f64) -> f64 {
        if p0 <= 0.0 || p0 >= 1.0 || build > self.build {
            return 0.0;
        }
        let p1 = odds * p0 / (1.0 + (odds - 1.0) * p0);
        if build == self.build {
            (p1 / p0).ln()
        } else {
            ((1.0 - p1) / (1.0 - p0)).ln()
        }
    }

    /// A build that slows every pod alike gives the test no side to compare, so the share itself is the trial: when
    /// the earlier build's pods turn slow, the share is cut, and only slowness that goes with it and comes back
    /// with it speaks against the build. What does not go was not the build's. Covers any load that a build puts
    /// on what all pods share; could harm a good build when two other slowdowns begin and end in its stages.
    fn shared(&mut self, now: Ns) {
        let slow = self.old_slow;
        match self.slowed {
            None if slow > Judge::OLD_SLOW.max(self.peak + 0.15) && self.ended_new.most(now) > 0 => {
                self.sum += if self.relieved { Judge::upper() * 1.01 } else { 0.0 };
                self.slowed = Some((now, slow));
            }
            Some((_, worst)) if slow < worst / 2.0 => (self.slowed, self.relieved) = (None, true),
            Some((since, _)) if now - since > Judge::RELIEF => {
                (self.slowed, self.peak) = (None, self.peak.max(slow))
            }
            Some((since, worst)) => self.slowed = Some((since, worst.max(slow))),
            None => {}
        }
    }

    fn doubt(&self) -> bool {
        self.worst() > Judge::upper() / 2.0 || self.slowed.is_some()
    }

    fn worst(&self) -> f64 {
        self.sum.max(self.slow_sum)
    }
}

/// This instance's vote: what stands, until when, and whether a call is out.
struct Voter {
    rules: VoteRules,
    standing: Option<(Build, usize, Voice)>,
    again_at: Ns,
    calling: bool,
    /// Since when this stage is held, under a clock.
    held: Option<Ns>,
}

impl Voter {
    const ON_AFTER: Ns = 3 * S;
    const ON_AFTER_THIN: Ns = 6 * S;
    const ENOUGH: u32 = 10;

    fn new(rules: VoteRules) -> Voter {
        Voter { rules, standing: None, again_at: 0, calling: false, held: None }
    }

    fn wanted(&mut self, now: Ns, judge: &Judge, phase: Phase, newest_start: Ns, part: f64) -> Voice {
        if !matches!(phase, Phase::Trial | Phase::Released) {
            return Voice::None;
        }
        if judge.worst() > Judge::upper() {
            return Voice::Back;
        }
        if phase == Phase::Released {
            return Voice::None;
        }
        let ran = now.saturating_sub(newest_start);
        if self.rules.control == Control::Clock {
            let since = *self.held.get_or_insert(now);
            let doubt = judge.worst() > Judge::upper() / 2.0;
            if !doubt {
                self.held = None;
            }
            let hold = doubt && now - since < self.rules.step;
            return if hold { Voice::Hold } else { Voice::None };
        }
        if judge.slowed.is_some() || (judge.relieved && part < Exposure::START) {
            return Voice::None;
        }
        let passed = judge.worst() < Judge::lower() || judge.outcomes >= Voter::ENOUGH;
        let thin = self.rules.control == Control::Count && ran >= Voter::ON_AFTER_THIN;
        if (passed && ran >= Voter::ON_AFTER) || thin {
            Voice::On
        } else {
            Voice::None
        }
    }

    /// Late in the vote's life, but so that a call that times out can be made again before it lapses.
    fn renewal(&self, chance: &mut Rand64) -> Ns {
        let late = self.rules.life.saturating_sub(self.rules.call_time_out).max(self.rules.life / 4);
        (late as f64 * (0.75 + 0.2 * chance.rand_float())) as Ns
    }
}

/// Forwards to builds on trial against the hits taken, over the told window.
struct Exposure {
    rules: ExposureRules,
    started: Ns,
    taken: Vec<Window>,
    /// Emptied of a build when no listed pod runs it and it is no longer on trial.
    sent: Vec<(Build, Vec<Window>)>,
    /// The part of the cap in use.
    part: f64,
    moved_at: Ns,
    /// Keys that the build on trial has answered, where they are bound to it; emptied with the build.
    bound: HashSet<u64>,
}

impl Exposure {
    const START: f64 = 0.8;
    const MOST_KEYS: usize = 1 << 16;

    fn new(rules: ExposureRules, groups: usize, now: Ns) -> Exposure {
        let buckets = if rules.per_group { groups } else { 1 };
        let taken = (0..buckets).map(|_| Window::new(rules.window)).collect();
        Exposure {
            rules,
            started: now,
            taken,
            sent: Vec::new(),
            part: Exposure::START,
            moved_at: now,
            bound: HashSet::new(),
        }
    }

    fn bucket(&self, group: GroupId) -> usize {
        if self.rules.per_group {
            group
        } else {
            0
        }
    }

    fn take(&mut self, now: Ns, group: GroupId) {
        let bucket = self.bucket(group);
        self.taken[bucket].add(now);
    }

    /// Whether `part` of the cap leaves room for one more forward.
    fn room(&mut self, now: Ns, build: Build, group: GroupId, cap: f64, part: f64) -> bool {
        let bucket = self.bucket(group);
        let sent = match self.sent.iter_mut().find(|(b, _)| *b == build) {
            Some((_, windows)) => windows[bucket].most(now) as f64,
            None => 0.0,
        };
        // An earlier life of this instance may have used up the free ones within the same window.
        let fresh = now - self.started <= self.rules.window;
        let free = if fresh { 0.0 } else { self.rules.free };
        cap > 0.0 && sent + 1.0 <= part * (free + cap * self.taken[bucket].least(now) as f64)
    }

    fn note(&mut self, now: Ns, build: Build, group: GroupId) {
        let bucket = self.bucket(group);
        if !self.sent.iter().any(|(b, _)| *b == build) {
            let windows = self.taken.iter().map(|_| Window::new(self.rules.window)).collect();
            self.sent.push((build, windows));
        }
        if let Some((_, windows)) = self.sent.iter_mut().find(|(b, _)| *b == build) {
            windows[bucket].add(now);
        }
    }
}

struct Pod {
    entry: PodEntry,
    in_flight: u32,
    sent: Window,
    carried: Window,
    /// Failures since the last answer, and until when they keep hits away.
    strikes: u32,
    ill_until: Ns,
    /// Since when forwards are out with no answer at all.
    quiet_since: Ns,
    /// Its answer times against the mean of each path group, and when that was last learnt.
    slow: f64,
    slow_at: Ns,
    late_told: Ns,
    /// What its slow answers put on the sum of this stage.
    blame: f64,
}

/// What this instance knows of the pods. A pod leaves the table when the list drops it and nothing is out.
struct Pods {
    rules: PodRules,
    /// How long a pod may be silent before it looks hung.
    quiet: Ns,
    table: Vec<Option<Pod>>,
}

impl Pods {
    const ILL_AFTER: u32 = 2;
    const ILL: Ns = 500 * MS;
    const ILL_MOST: Ns = 8 * S;
    /// Part of the fall multiple that all instances together may use on a cold pod.
    const COLD_PART: f64 = 0.6;
    const SLOW_FADES: f64 = 5e9;

    fn apply(&mut self, entry: PodEntry) {
        if self.table.len() <= entry.pod {
            self.table.resize_with(entry.pod + 1, || None);
        }
        let slot = &mut self.table[entry.pod];
        let (started, build) = (entry.started, entry.build);
        if let Some(pod) =
            slot.as_mut().filter(|pod| (pod.entry.started, pod.entry.build) == (started, build))
        {
            pod.entry = entry;
            return;
        }
        let in_flight = slot.as_ref().map_or(0, |pod| pod.in_flight);
        let (sent, carried) = (Window::new(self.rules.fall_window), Window::new(self.rules.fall_window));
        let (strikes, ill_until, quiet_since, slow, slow_at, late_told, blame) = (0, 0, 0, 1.0, 0, 0, 0.0);
        *slot = Some(Pod {
            entry,
            in_flight,
            sent,
            carried,
            strikes,
            ill_until,
            quiet_since,
            slow,
            slow_at,
            late_told,
            blame,
        });
    }

    fn get(&self, id: PodId) -> Option<&Pod> {
        self.table.get(id).and_then(Option::as_ref)
    }

    fn live(&self) -> impl Iterator<Item = &Pod> {
        self.table.iter().flatten().filter(|pod| pod.entry.state == PodState::Running)
    }

    fn warmth(&self, now: Ns, entry: &PodEntry) -> f64 {
        let age = now.saturating_sub(entry.started) as f64;
        let cold = self.rules.cold_share;
        (cold + (1.0 - cold) * age / self.rules.warm_up.max(1) as f64).min(1.0)
    }

    fn silent(&self, now: Ns, pod: &Pod) -> bool {
        let quiet = if pod.in_flight == 0 { 0 } else { now.saturating_sub(pod.quiet_since) };
        quiet > if pod.in_flight > 1 { self.quiet / 2 } else { self.quiet }
    }

    /// A pod on the mend gets one hit at a time.
    fn well(&self, now: Ns, pod: &Pod) -> bool {
        let mending = pod.strikes >= Pods::ILL_AFTER && pod.in_flight > 0;
        now >= pod.ill_until && !mending && !self.silent(now, pod)
    }

    /// Whether a cold pod has room. The guide is what warm pods of its machine answer to this instance: answers,
    /// not forwards, since those outrun any capacity when the rest of the fleet is lost or full.
    fn cold_room(&mut self, now: Ns, id: PodId) -> bool {
        let Some(entry) = self.get(id).map(|pod| pod.entry.clone()) else { return false };
        let warmth = self.warmth(now, &entry);
        if warmth >= 1.0 {
            return true;
        }
        let (mut alike, mut all) = ((0.0, 0.0), (0.0, 0.0));
        let (cold, warm_up) = (self.rules.cold_share, self.rules.warm_up);
        for peer in self.table.iter_mut().flatten().filter(|peer| peer.entry.state == PodState::Running) {
            if cold < 1.0 && now.saturating_sub(peer.entry.started) < warm_up {
                continue;
            }
            let carried = peer.carried.most(now) as f64 * entry.size / peer.entry.size.max(1e-9);
            all = (all.0 + 1.0, all.1 + carried);
            if peer.entry.machine == entry.machine {
                alike = (alike.0 + 1.0, alike.1 + carried);
            }
        }
        let carried = if alike.0 > 0.0 { alike.1 / alike.0 } else { 0.5 * all.1 / f64::max(all.0, 1.0) };
        let most = (Pods::COLD_PART * self.rules.fall_multiple * warmth * carried).max(1.0);
        self.table[id].as_mut().is_some_and(|pod| pod.sent.most(now) as f64 + 1.0 <= most)
    }

    /// How slow a pod is for its size, and so how much each hit in flight there weighs.
    fn burden(&self, now: Ns, id: PodId) -> f64 {
        let Some(pod) = self.get(id) else { return f64::MAX };
        let idle = now.saturating_sub(pod.slow_at) as f64 / Pods::SLOW_FADES;
        let slow = 1.0 + (pod.slow - 1.0) * (-idle).exp();
        slow / (pod.entry.size.max(1e-9) * self.warmth(now, &pod.entry))
    }

    fn score(&self, now: Ns, id: PodId) -> f64 {
        let in_flight = self.get(id).map_or(0, |pod| pod.in_flight);
        (in_flight as f64 + 1.0) * self.burden(now, id)
    }

    fn sent(&mut self, now: Ns, id: PodId) {
        let Some(pod) = self.table[id].as_mut() else { return };
        if pod.in_flight == 0 {
            pod.quiet_since = now;
        }
        pod.in_flight += 1;
        pod.sent.add(now);
    }

    /// Whether a late answer tells anything new of this pod.
    fn first_late(&mut self, now: Ns, id: PodId, span: Ns) -> bool {
        let Some(pod) = self.table[id].as_mut() else { return false };
        let first = now >= pod.late_told + span;
        if first {
            pod.late_told = now;
        }
        first
    }

    /// Health by symptom, whatever its cause. A time-out tells of the pod only if nothing came from it since.
    fn ended(&mut self, now: Ns, sent: &Sent, end: Ended, ratio: f64, scatter: f64) {
        let Some(pod) = self.table[sent.pod].as_mut() else { return };
        pod.in_flight = pod.in_flight.saturating_sub(1);
        let hung = end == Ended::TimeOut && pod.quiet_since <= sent.at;
        if !matches!(end, Ended::TimeOut | Ended::Cancelled | Ended::NotSent) {
            pod.quiet_since = now;
        }
        if matches!(end, Ended::Delivered | Ended::TimeOut) {
            pod.slow += (ratio.min(10.0) - pod.slow) * 0.1;
            pod.slow_at = now;
        }
        if end == Ended::Delivered {
            pod.carried.add(now);
            (pod.strikes, pod.ill_until) = (0, 0);
        } else if hung || matches!(end, Ended::Error | Ended::Reset | Ended::NoConnection | Ended::Full) {
            pod.strikes += if end == Ended::NoConnection { Pods::ILL_AFTER } else { 1 };
            if pod.strikes >= Pods::ILL_AFTER {
                let doubled = Pods::ILL << (pod.strikes - Pods::ILL_AFTER).min(4);
                pod.ill_until = now + (doubled.min(Pods::ILL_MOST) as f64 * scatter) as Ns;
            }
        }
    }
}

/// Bounds the hits in flight by how quickly answers come, so that a queue that would make every answer late is
/// bounced at the door instead. Covers overload, lost pods and slow fleets alike; could harm where a few heavy
/// hits are late by nature, so a cut needs lateness and comes once an answer time at most.
struct Limit {
    most: f64,
    out: u32,
    cut_at: Ns,
    /// Share of late answers of late.
    late: f64,
}

impl Limit {
    const LEAST: f64 = 4.0;
    const START: f64 = 60.0;
    const LATE: f64 = 0.45;
    const LEARN: f64 = 0.03;
    const TOO_LATE: f64 = 0.25;
    const CROWDED: f64 = 0.33;

    /// Hits of less benefit make way first.
    fn room(&self, worth: f64) -> bool {
        (self.out as f64) < self.most * (0.75 + 0.25 * worth)
    }

    fn ended(&mut self, now: Ns, target: Ns, took: Ns, answered: bool) {
        let late = took as f64 > Limit::LATE * target as f64;
        self.late += (late as u8 as f64 - self.late) * Limit::LEARN;
        if late && self.late > Limit::TOO_LATE && now.saturating_sub(self.cut_at) > target / 4 {
            self.most = (self.most.min(self.out as f64) * 0.9).max(Limit::LEAST);
            self.cut_at = now;
        } else if answered && !late && self.out as f64 > self.most / 2.0 {
            self.most += 0.2;
        }
        self.out = self.out.saturating_sub(1);
    }
}

/// A hit on its way, handed from step to step.
struct Trip {
    hit: HitId,
    group: GroupId,
    key: u64,
    deadline: Ns,
    target_at: Ns,
    forwards: u32,
    tried: Vec<PodId>,
    /// When and where it may have run first.
    may_run: Option<(Ns, ZoneId, i64)>,
    /// A build on trial failed it: no further forward there while there is another.
    shy: bool,
}

/// One forward, for the closure that gets its outcome.
struct Sent {
    pod: PodId,
    build: Build,
    at: Ns,
    zone: ZoneId,
    cell: i64,
    machine: usize,
    young: bool,
    warm: bool,
    /// No more of this instance was in flight there than elsewhere: slowness is not of its own making.
    even: bool,
}

pub struct Logic {
    chance: Rand64,
    place: Place,
    groups: Vec<PathGroup>,
    rules: ForwardRules,
    lists: ListRules,
    list_wait: Ns,
    pods: Pods,
    exposure: Exposure,
    judge: Judge,
    voter: Voter,
    stage: Option<(Stage, Ns)>,
    taken: Window,
    retried: Window,
    mean: Vec<f64>,
    /// By path group and machine, since a build starts on few machines: the time nine in ten answers keep.
    slowest: Vec<Vec<f64>>,
    limit: Limit,
    taken_ever: u32,
}

impl Logic {
    /// How much less loaded an earlier build's pod must be to be chosen over the newest's.
    const NEWER: f64 = 0.6;
    /// Hits after which an instance that began amid a trial trusts what it learnt of the earlier build.
    const LEARN: u32 = 100;
    const RETRY_PART: f64 = 0.2;
    const RETRY_WINDOW: Ns = 10 * S;

    #[allow(clippy::too_many_arguments)]
    pub fn new(
        now: Ns,
        seed: u64,
        place: Place,
        groups: Vec<PathGroup>,
        rules: ForwardRules,
        pods: PodRules,
        exposure: ExposureRules,
        votes: VoteRules,
        lists: ListRules,
    ) -> Logic {
        let mean = groups.iter().map(|g| g.target_latency as f64 / 6.0).collect();
        let quiet = groups.iter().map(|group| group.target_latency).min().unwrap_or(S);
        Logic {
            chance: Rand64::new(seed as u128),
            place,
            rules,
            lists,
            list_wait: 0,
            pods: Pods { rules: pods, quiet, table: Vec::new() },
            exposure: Exposure::new(exposure, groups.len(), now),
            judge: Judge::new(),
            voter: Voter::new(votes),
            stage: None,
            taken: Window::new(Logic::RETRY_WINDOW),
            retried: Window::new(Logic::RETRY_WINDOW),
            mean,
            slowest: vec![Vec::new(); groups.len()],
            limit: Limit { most: Limit::START, out: 0, cut_at: 0, late: 0.0 },
            taken_ever: 0,
            groups,
        }
    }

    pub fn begin(&mut self, host: &mut dyn Host) {
        if self.lists.must_ask {
            host.watch_list(true);
        }
        host.wake(TICK, Box::new(|logic, host, ()| logic.tick(host)));
    }

    fn tick(&mut self, host: &mut dyn Host) {
        self.consider(host);
        let now = host.now();
        if now >= self.exposure.moved_at + S {
            if self.on_trial() {
                self.judge.shared(now);
            } else if self.taken_ever >= Logic::LEARN {
                let known = if self.judge.peak != Judge::UNKNOWN { self.judge.peak * 0.98 } else { 0.0 };
                self.judge.peak = known.max(self.judge.old_slow);
            }
            let doubt = self.judge.doubt();
            self.exposure.moved_at = now;
            // Lowered too far for a sum in doubt, the share would starve the test of what could settle it; the
            // trial by share wants none at all, since bounces leave a small part of the hits a large one of forwards.
            let lower = (self.exposure.part * 0.5).max(0.4);
            let higher = (self.exposure.part * 2.0).clamp(0.2, 1.0);
            self.exposure.part = if self.judge.slowed.is_some() {
                0.0
            } else if doubt {
                lower
            } else {
                higher
            };
        }
        host.wake(TICK, Box::new(|logic, host, ()| logic.tick(host)));
    }

    // The list.

    pub fn list(&mut self, _host: &mut dyn Host, whole: bool, entries: &[PodEntry]) {
        self.list_wait = 0;
        if whole {
            let named: HashSet<PodId> = entries.iter().map(|entry| entry.pod).collect();
            for (id, slot) in self.pods.table.iter_mut().enumerate() {
                if let Some(pod) = slot.as_mut().filter(|_| !named.contains(&id)) {
                    pod.entry.state = PodState::Gone;
                }
            }
        }
        for entry in entries {
            self.pods.apply(entry.clone());
        }
        for slot in self.pods.table.iter_mut() {
            if slot.as_ref().is_some_and(|pod| pod.entry.state == PodState::Gone && pod.in_flight == 0) {
                *slot = None;
            }
        }
        let (table, trial) = (&self.pods.table, self.judge.build);
        let listed = |build: Build| table.iter().flatten().any(|pod| pod.entry.build == build);
        self.exposure.sent.retain(|(build, _)| *build >= trial || listed(*build));
    }

    /// A watch that failed may or may not stand: ask again, later each time and at scattered moments.
    pub fn list_failed(&mut self, host: &mut dyn Host) {
        if !self.lists.must_ask {
            return;
        }
        self.list_wait = (self.list_wait * 2).clamp(S, 8 * S).min(self.lists.ask_within);
        let wait = (self.list_wait as f64 * (0.5 + 0.5 * self.chance.rand_float())) as Ns;
        host.wake(wait, Box::new(|_, host, ()| host.watch_list(true)));
    }

    // The build on trial.

    pub fn news(&mut self, host: &mut dyn Host, stage: Stage) {
        let old = self.stage.map(|(old, _)| (old.build, old.stage));
        if old != Some((stage.build, stage.stage)) {
            self.judge.restart(stage.build, stage.stage);
            self.voter.held = None;
            self.pods.table.iter_mut().flatten().for_each(|pod| pod.blame = 0.0);
            self.exposure.part = Exposure::START;
        }
        let going = matches!(stage.phase, Phase::GoingBack | Phase::Withdrawn);
        if going || old.is_some_and(|(build, _)| build != stage.build) {
            self.exposure.bound.clear();
        }
        self.stage = Some((stage, host.now().saturating_sub(stage.age)));
        self.consider(host);
    }

    pub fn tally(&mut self, _host: &mut dyn Host, _tally: Tally) {}

    pub fn flagged(&mut self, host: &mut dyn Host, pod: PodId, _group: GroupId, ago: Ns) {
        let now = host.now();
        let Some(pod) = self.pods.table.get(pod).and_then(Option::as_ref) else { return };
        let sent_at = now.saturating_sub(ago);
        if pod.entry.started < sent_at && sent_at - pod.entry.started >= Judge::COLD_SKIP {
            self.judge.failed(now, pod.entry.build, true);
            self.consider(host);
        }
    }

    /// The cap a build is under, or none where it is not on trial.
    fn cap(&self, build: Build) -> Option<f64> {
        let first = self.exposure.rules.caps.first().copied().unwrap_or(0.0);
        let Some((stage, _)) = self.stage else {
            let oldest = self.pods.live().map(|pod| pod.entry.build).min();
            return if oldest.is_some_and(|oldest| build > oldest) { Some(first) } else { None };
        };
        match build.cmp(&stage.build) {
            std::cmp::Ordering::Less => None,
            std::cmp::Ordering::Greater => Some(first),
            std::cmp::Ordering::Equal if stage.phase == Phase::Released => None,
            std::cmp::Ordering::Equal => Some(stage.cap),
        }
    }

    fn on_trial(&self) -> bool {
        let listed = |stage: &Stage| self.pods.live().any(|pod| pod.entry.build == stage.build);
        self.stage.is_some_and(|(stage, _)| stage.phase == Phase::Trial && listed(&stage))
    }

    fn guarded(&self, build: Build) -> bool {
        let stage = self.stage.filter(|(stage, _)| stage.build == build).map_or(0, |(stage, _)| stage.stage);
        stage < self.exposure.rules.guarded_stages
    }

    fn consider(&mut self, host: &mut dyn Host) {
        let Some((stage, began)) = self.stage else { return };
        let now = host.now();
        let starts =
            self.pods.live().filter(|pod| pod.entry.build == stage.build).map(|pod| pod.entry.started);
        let newest = starts.max().unwrap_or(began).max(began);
        let voice = self.voter.wanted(now, &self.judge, stage.phase, newest, self.exposure.part);
        let want = (stage.build, stage.stage, voice);
        let stands = self.voter.standing;
        let same =
            stands == Some(want) || (voice == Voice::None && stands.is_none_or(|s| s.2 != Voice::Hold));
        if self.voter.calling || (voice == Voice::None && same) || (same && now < self.voter.again_at) {
            return;
        }
        if !same && stands.is_none() && now < self.voter.again_at {
            return;
        }
        self.voter.calling = true;
        let sums = (self.judge.sum, self.judge.slow_sum);
        host.log(&format!("vote {voice:?} build {} stage {} sums {sums:.2?}", stage.build, stage.stage));
        let then = move |logic: &mut Logic, host: &mut dyn Host, news: StageNews| {
            logic.voter.calling = false;
            let counted = news.heard == Heard::Counted;
            logic.voter.standing = if counted { Some(want) } else { None };
            let soon = (100 + logic.chance.rand_range(0..300)) * MS;
            let wait = if counted { logic.voter.renewal(&mut logic.chance) } else { soon };
            logic.voter.again_at = if counted { now + wait } else { host.now() + wait };
            match news.stage {
                Some(stage) => logic.news(host, stage),
                None => logic.consider(host),
            }
        };
        host.vote(stage.build, stage.stage, voice, Box::new(then));
    }

    // The steps of a hit.

    pub fn hit(&mut self, host: &mut dyn Host, hit: Hit) {
        let now = host.now();
        self.exposure.take(now, hit.group);
        self.taken.add(now);
        self.taken_ever = self.taken_ever.saturating_add(1);
        let trip = Trip {
            hit: hit.id,
            group: hit.group,
            key: hit.key,
            deadline: now + hit.left,
            target_at: now + self.groups[hit.group].target_latency,
            forwards: 0,
            tried: Vec::new(),
            may_run: None,
            shy: false,
        };
        let worth =
            self.groups[trip.group].benefit / self.groups.iter().map(|g| g.benefit).fold(1e-9, f64::max);
        if !self.limit.room(worth) {
            // What the limit bounces would have been slow: it must not hide a build that slows every pod.
            self.judge.old_slow += (1.0 - self.judge.old_slow) * Judge::OLD_LEARN;
            return self.give_up(host, trip);
        }
        self.step(host, trip);
    }

    fn step(&mut self, host: &mut dyn Host, mut trip: Trip) {
        let now = host.now();
        if now >= trip.deadline || trip.forwards >= self.rules.max_forwards {
            return self.give_up(host, trip);
        }
        let Some(pod) = self.choose(now, &trip) else { return self.give_up(host, trip) };
        let time_out = self.patience(now, &trip);
        let warm = self.pods.get(pod).is_some_and(|p| self.pods.warmth(now, &p.entry) >= 1.0);
        let young_limit = now.saturating_sub(Judge::COLD_SKIP);
        let Some(entry) = self.pods.get(pod).map(|pod| &pod.entry) else { return self.give_up(host, trip) };
        let PodEntry { build, zone, cell, machine, started, .. } = *entry;
        let live = self.pods.live().count() as u32;
        let even = self.pods.get(pod).is_some_and(|pod| pod.in_flight * live <= self.limit.out);
        self.pods.sent(now, pod);
        self.limit.out += 1;
        let sent =
            Sent { pod, build, at: now, zone, cell, machine, young: started > young_limit, warm, even };
        self.exposure.note(now, build, trip.group);
        trip.forwards += 1;
        trip.tried.push(pod);
        let hit = trip.hit;
        host.forward(
            hit,
            pod,
            time_out,
            Box::new(move |logic, host, outcome| logic.ended(host, trip, sent, outcome)),
        );
    }

    /// Retries are bounded by hits taken, so that a sick fleet is not asked for several times the work; those
    /// that surely never ran cost it little.
    fn budget(&mut self, now: Ns, ran: bool) -> bool {
        let part = if ran { Logic::RETRY_PART } else { 2.0 * Logic::RETRY_PART };
        (self.retried.most(now) as f64) < part * self.taken.most(now) as f64 + 1.0
    }

    fn patience(&mut self, now: Ns, trip: &Trip) -> Ns {
        let group = self.groups[trip.group];
        let left = trip.deadline - now;
        let last = trip.forwards + 1 >= self.rules.max_forwards;
        let again = group.kind != Kind::Mutating && !last;
        if again && now + group.target_latency / 2 < trip.target_at && self.budget(now, true) {
            return (group.target_latency / 2).min(left);
        }
        left
    }

    fn ended(&mut self, host: &mut dyn Host, mut trip: Trip, sent: Sent, outcome: Outcome) {
        let now = host.now();
        let trial = self.on_trial();
        let answered = outcome.end == Ended::Delivered;
        let timed_out = outcome.end == Ended::TimeOut;
        let took = outcome.took as f64;
        let mean = &mut self.mean[trip.group];
        let slowest = &mut self.slowest[trip.group];
        if slowest.len() <= sent.machine {
            slowest.resize(sent.machine + 1, 3.0 * *mean);
        }
        let slowest = &mut slowest[sent.machine];
        let slow = took > *slowest && (answered || timed_out) && sent.even;
        if answered {
            *mean += (took - *mean) * 0.01;
        }
        if (answered || timed_out) && sent.even && (!trial || self.taken_ever < Logic::LEARN) {
            *slowest += *mean * 0.02 * if slow { 0.9 } else { -0.1 };
        }
        let ratio = took / mean.max(1.0);
        let target = self.groups[trip.group].target_latency;
        let failed = matches!(outcome.end, Ended::Error | Ended::TimeOut | Ended::Reset);
        let scatter = 0.5 + 0.5 * self.chance.rand_float();
        let silent = self.pods.get(sent.pod).is_none_or(|pod| self.pods.silent(now, pod));
        self.pods.ended(now, &sent, outcome.end, ratio, scatter);
        self.limit.ended(now, target, if silent { 0 } else { outcome.took }, answered);
        // A hung pod speaks for its machine, not for its build, while others of the build answer.
        let answers = |pod: &Pod| pod.strikes == 0 && !self.pods.silent(now, pod);
        let peer = |pod: &Pod| pod.entry.build == sent.build && answers(pod);
        let lone = timed_out && silent && self.pods.live().any(peer);
        // When a third of all answers is late, lateness tells of the load, as a refusal for want of room does.
        let crowded = self.limit.late > Limit::CROWDED && outcome.end != Ended::Error;
        if !sent.young && !lone && (failed || answered) {
            self.judge.ended(now, sent.build);
            // What waited in one queue is late together: one event, not many. A pod not yet warm is late by nature.
            let late = (slow || (timed_out && outcome.took >= target)) && !crowded && sent.warm;
            let first = late && self.pods.first_late(now, sent.pod, target);
            if outcome.end == Ended::Error
                || outcome.end == Ended::Reset
                || (first && timed_out && outcome.took >= target)
            {
                self.judge.failed(now, sent.build, outcome.end == Ended::Error);
            }
            if (sent.build < self.judge.build || !trial) && (answered || timed_out) && sent.even {
                self.judge.old_slow += (slow as u8 as f64 - self.judge.old_slow) * Judge::OLD_LEARN;
            }
            if first && slow {
                if let Some(pod) = self.pods.table[sent.pod].as_mut() {
                    self.judge.slow(now, sent.build, &mut pod.blame);
                }
            }
            self.consider(host);
        }
        if answered && self.exposure.rules.one_way && trip.key != 0 && self.cap(sent.build).is_some() {
            self.exposure.bound.insert(trip.key);
        }
        if outcome.over || !host.open(trip.hit) {
            return;
        }
        let ran = !outcome.end.never_ran();
        if ran && trip.may_run.is_none() {
            trip.may_run = Some((sent.at, sent.zone, sent.cell));
        }
        let group = &self.groups[trip.group];
        let late = now >= trip.target_at && group.late_benefit <= 0.0;
        let allowed = match group.kind {
            Kind::Mutating => trip.may_run.is_none(),
            _ => true,
        };
        if late || !allowed || !self.budget(now, ran) {
            return self.give_up(host, trip);
        }
        self.retried.add(now);
        trip.shy |= failed && self.cap(sent.build).is_some();
        self.step(host, trip);
    }

    fn give_up(&mut self, host: &mut dyn Host, trip: Trip) {
        let group = &self.groups[trip.group];
        let come_back = self.rules.max_come_back;
        let harmless = match (trip.may_run, group.kind) {
            (None, _) | (_, Kind::Repeatable) => true,
            (Some((at, ..)), Kind::Tagged) => {
                group.scope == Scope::All && host.now() + come_back < at + group.repeat_window
            }
            (Some(_), Kind::Mutating) => false,
        };
        if harmless {
            host.bounce(trip.hit, come_back)
        } else {
            host.error(trip.hit)
        }
    }

    /// The pod for the next forward of a hit: two random choices by what is in flight, on either side of the
    /// build on trial and of the zone border, then the better after each side's tilt.
    fn choose(&mut self, now: Ns, trip: &Trip) -> Option<PodId> {
        let group = self.groups[trip.group];
        let one_way = self.exposure.rules.one_way;
        let bound = one_way && self.exposure.bound.contains(&trip.key);
        let keys_full = one_way && !bound && self.exposure.bound.len() >= Exposure::MOST_KEYS;
        let mut fit: Vec<(PodId, Option<Build>, bool, bool)> = Vec::new();
        for pod in self.pods.live() {
            let entry = &pod.entry;
            let inside = trip.may_run.is_none_or(|(at, zone, cell)| {
                let same = match group.scope {
                    Scope::All => true,
                    Scope::Zone => entry.zone == zone,
                    Scope::Cell => entry.cell == cell,
                };
                group.kind != Kind::Tagged || (same && now < at + group.repeat_window)
            });
            let cap = self.cap(entry.build);
            let closed = self.guarded(entry.build) && group.kind != Kind::Repeatable;
            let trial = cap.map(|_| entry.build);
            let held = bound && entry.build < self.judge.build;
            if inside && !held && (trial.is_none() || (!closed && !keys_full && cap > Some(0.0))) {
                fit.push((entry.pod, trial, entry.zone == self.place.zone, self.pods.well(now, pod)));
            }
        }
        // When most pods look ill, the trouble is not theirs: shunning them would crowd the rest.
        let panic = fit.iter().filter(|pod| pod.3).count() * 3 < fit.len();
        let only_trial = fit.iter().all(|pod| pod.1.is_some());
        let trial = fit.iter().filter_map(|pod| pod.1).max();
        let part = if only_trial { 1.0 } else { self.exposure.part };
        let room = trial.is_some_and(|build| {
            let cap = self.cap(build).unwrap_or(0.0);
            self.exposure.room(now, build, trip.group, cap, part)
        });
        fit.retain(|pod| pod.1.is_none() || (room && pod.1 == trial));
        fit.retain(|pod| self.pods.cold_room(now, pod.0));
        if fit.iter().any(|pod| (pod.3 || panic) && !trip.tried.contains(&pod.0)) {
            fit.retain(|pod| (pod.3 || panic) && !trip.tried.contains(&pod.0));
        }
        if trip.shy && fit.iter().any(|pod| pod.1.is_none()) {
            fit.retain(|pod| pod.1.is_none());
        }
        let newest = fit.iter().filter_map(|pod| self.pods.get(pod.0)).map(|pod| pod.entry.build).max()?;
        let mut best: Option<(PodId, f64)> = None;
        for near in [true, false] {
            let side: Vec<PodId> = fit.iter().filter(|pod| pod.2 == near).map(|pod| pod.0).collect();
            let away = if near { 1.0 } else { 1.0 + 12.0 * self.rules.cross_zone_price };
            for id in self.two(now, &side) {
                let newer = self.pods.get(id).is_some_and(|pod| pod.entry.build == newest);
                let tilt = if newer { Logic::NEWER } else { 1.0 };
                let score = self.pods.score(now, id) * tilt * away;
                if best.is_none_or(|(_, least)| score < least) {
                    best = Some((id, score));
                }
            }
        }
        best.map(|(id, _)| id)
    }

    /// Drawn by what each pod is known to carry, since two even draws often meet two weak machines.
    fn two(&mut self, now: Ns, side: &[PodId]) -> Vec<PodId> {
        if side.len() < 3 {
            return side.to_vec();
        }
        let weights: Vec<f64> = side.iter().map(|id| 1.0 / self.pods.burden(now, *id)).collect();
        let mut picked = Vec::new();
        for _ in 0..2 {
            let mut at = self.chance.rand_float() * weights.iter().sum::<f64>();
            let past = |weight: &f64| {
                at -= weight;
                at < 0.0
            };
            picked.push(side[weights.iter().position(past).unwrap_or(side.len() - 1)]);
        }
        picked
    }
}
