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
    outcomes: u32,
    sent_new: Window,
    sent_all: Window,
}

impl Judge {
    const ALPHA: f64 = 0.01;
    const BETA: f64 = 0.1;
    const SHARE_WINDOW: Ns = 5 * S;
    /// A pod younger than this fails for being cold, whatever its build.
    const COLD_SKIP: Ns = 3 * S;

    fn new() -> Judge {
        Judge {
            build: 0,
            stage: 0,
            sum: 0.0,
            outcomes: 0,
            sent_new: Window::new(Judge::SHARE_WINDOW),
            sent_all: Window::new(Judge::SHARE_WINDOW),
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
            self.sent_new = Window::new(Judge::SHARE_WINDOW);
        }
        (self.build, self.stage, self.sum, self.outcomes) = (build, stage, 0.0, 0);
    }

    fn sent(&mut self, now: Ns, build: Build) {
        self.sent_all.add(now);
        if build == self.build {
            self.sent_new.add(now);
        }
    }

    fn failed(&mut self, now: Ns, build: Build) {
        let (new, all) = (self.sent_new.most(now) as f64, self.sent_all.most(now) as f64);
        if new < 1.0 || new >= all {
            return;
        }
        let p0 = new / all;
        let p1 = 2.0 * p0 / (1.0 + p0);
        if build == self.build {
            self.sum += (p1 / p0).ln();
        } else if build < self.build {
            self.sum += ((1.0 - p1) / (1.0 - p0)).ln();
        }
    }

    fn answered(&mut self, build: Build) {
        if build == self.build {
            self.outcomes = self.outcomes.saturating_add(1);
        }
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

    fn wanted(&mut self, now: Ns, judge: &Judge, phase: Phase, newest_start: Ns) -> Voice {
        if !matches!(phase, Phase::Trial | Phase::Released) {
            return Voice::None;
        }
        if judge.sum > Judge::upper() {
            return Voice::Back;
        }
        if phase == Phase::Released {
            return Voice::None;
        }
        let ran = now.saturating_sub(newest_start);
        if self.rules.control == Control::Clock {
            let since = *self.held.get_or_insert(now);
            let doubt = judge.sum > Judge::upper() / 2.0;
            if !doubt {
                self.held = None;
            }
            let hold = doubt && now - since < self.rules.step;
            return if hold { Voice::Hold } else { Voice::None };
        }
        let passed = judge.sum < Judge::lower() || judge.outcomes >= Voter::ENOUGH;
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
    recent: Window,
    /// Failures since the last answer, and until when they keep hits away.
    strikes: u32,
    ill_until: Ns,
    /// Since when forwards are out with no answer at all.
    quiet_since: Ns,
    /// Its answer times against the mean of each path group.
    slow: f64,
    slow_at: Ns,
}

/// What this instance knows of the pods. A pod leaves the table when the list drops it and nothing is out.
struct Pods {
    rules: PodRules,
    table: Vec<Option<Pod>>,
}

impl Pods {
    const ILL_AFTER: u32 = 2;
    const ILL: Ns = 500 * MS;
    const ILL_MOST: Ns = 8 * S;
    /// Part of the fall multiple that all instances together may use on a cold pod.
    const COLD_PART: f64 = 0.6;

    fn apply(&mut self, entry: PodEntry) {
        if self.table.len() <= entry.pod {
            self.table.resize_with(entry.pod + 1, || None);
        }
        let slot = &mut self.table[entry.pod];
        match slot {
            Some(pod) if pod.entry.started == entry.started && pod.entry.build == entry.build => {
                pod.entry = entry
            }
            _ => {
                let in_flight = slot.as_ref().map_or(0, |pod| pod.in_flight);
                let recent = Window::new(self.rules.fall_window);
                *slot = Some(Pod {
                    entry,
                    in_flight,
                    recent,
                    strikes: 0,
                    ill_until: 0,
                    quiet_since: 0,
                    slow: 1.0,
                    slow_at: 0,
                });
            }
        }
    }

    fn live(&self) -> impl Iterator<Item = &Pod> {
        self.table.iter().flatten().filter(|pod| pod.entry.state == PodState::Running)
    }

    fn warmth(&self, now: Ns, pod: &Pod) -> f64 {
        let age = now.saturating_sub(pod.entry.started) as f64;
        let cold = self.rules.cold_share;
        (cold + (1.0 - cold) * age / self.rules.warm_up.max(1) as f64).min(1.0)
    }

    fn well(&self, now: Ns, pod: &Pod, quiet_after: Ns) -> bool {
        let quiet = if pod.in_flight == 0 { 0 } else { now.saturating_sub(pod.quiet_since) };
        let silent = quiet > if pod.in_flight >= 2 { quiet_after / 2 } else { quiet_after };
        // A pod on the mend gets one hit at a time.
        let mending = pod.strikes >= Pods::ILL_AFTER && pod.in_flight > 0;
        now >= pod.ill_until && !silent && !mending
    }

    /// Whether a cold pod has room: what warm pods of its machine carry for this instance is the guide.
    fn cold_room(&mut self, now: Ns, id: PodId) -> bool {
        let Some(pod) = self.table[id].as_ref() else { return false };
        let warmth = self.warmth(now, pod);
        if warmth >= 1.0 {
            return true;
        }
        let (machine, size) = (pod.entry.machine, pod.entry.size);
        let (mut same, mut same_sent, mut all, mut all_sent) = (0.0, 0.0, 0.0, 0.0);
        for id in 0..self.table.len() {
            let Some(peer) = self.table[id].as_ref() else { continue };
            let warm = self.warmth(now, peer);
            let alike = peer.entry.machine == machine && warm >= 1.0;
            let factor = size / peer.entry.size.max(1e-9);
            if peer.entry.state != PodState::Running {
                continue;
            }
            let sent = self.table[id].as_mut().map_or(0, |peer| peer.recent.most(now)) as f64;
            all += warm;
            all_sent += sent;
            if alike {
                same += 1.0;
                same_sent += sent * factor;
            }
        }
        let carried = if same > 0.0 { same_sent / same } else { 0.5 * all_sent / f64::max(all, 1.0) };
        let most = (Pods::COLD_PART * self.rules.fall_multiple * warmth * carried).max(1.0);
        self.table[id].as_mut().is_some_and(|pod| pod.recent.most(now) as f64 + 1.0 <= most)
    }

    fn score(&self, now: Ns, pod: &Pod) -> f64 {
        let idle = now.saturating_sub(pod.slow_at) as f64 / (5 * S) as f64;
        let slow = 1.0 + (pod.slow - 1.0) * (-idle).exp();
        (pod.in_flight as f64 + 1.0) * slow / (pod.entry.size.max(1e-9) * self.warmth(now, pod))
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
}

/// One forward, for the closure that gets its outcome.
struct Sent {
    pod: PodId,
    build: Build,
    at: Ns,
    zone: ZoneId,
    cell: i64,
    young: bool,
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
}

impl Logic {
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
        let mean = groups.iter().map(|group| group.target_latency as f64 / 6.0).collect();
        Logic {
            chance: Rand64::new(seed as u128),
            place,
            rules,
            lists,
            list_wait: 0,
            pods: Pods { rules: pods, table: Vec::new() },
            exposure: Exposure::new(exposure, groups.len(), now),
            judge: Judge::new(),
            voter: Voter::new(votes),
            stage: None,
            taken: Window::new(Logic::RETRY_WINDOW),
            retried: Window::new(Logic::RETRY_WINDOW),
            mean,
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
            self.judge.failed(now, pod.entry.build);
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
        let voice = self.voter.wanted(now, &self.judge, stage.phase, newest);
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
        host.log(&format!(
            "vote {voice:?} build {} stage {} sum {:.2}",
            stage.build, stage.stage, self.judge.sum
        ));
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
        let trip = Trip {
            hit: hit.id,
            group: hit.group,
            key: hit.key,
            deadline: now + hit.left,
            target_at: now + self.groups[hit.group].target_latency,
            forwards: 0,
            tried: Vec::new(),
            may_run: None,
        };
        self.step(host, trip);
    }

    fn step(&mut self, host: &mut dyn Host, mut trip: Trip) {
        let now = host.now();
        if now >= trip.deadline || trip.forwards >= self.rules.max_forwards {
            return self.give_up(host, trip);
        }
        let Some(pod) = self.choose(now, &trip) else { return self.give_up(host, trip) };
        let time_out = self.patience(now, &trip);
        let young_limit = now.saturating_sub(Judge::COLD_SKIP);
        let Some(entry) = self.pods.table[pod].as_mut() else { return self.give_up(host, trip) };
        if entry.in_flight == 0 {
            entry.quiet_since = now;
        }
        entry.in_flight += 1;
        entry.recent.add(now);
        let PodEntry { build, zone, cell, started, .. } = entry.entry;
        let sent = Sent { pod, build, at: now, zone, cell, young: started > young_limit };
        if !sent.young {
            self.judge.sent(now, build);
        }
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

    fn budget(&mut self, now: Ns) -> bool {
        let taken = self.taken.most(now) as f64;
        (self.retried.most(now) as f64) < Logic::RETRY_PART * taken + 1.0
    }

    fn patience(&mut self, now: Ns, trip: &Trip) -> Ns {
        let group = self.groups[trip.group];
        let left = trip.deadline - now;
        let last = trip.forwards + 1 >= self.rules.max_forwards;
        let again = group.kind != Kind::Mutating && !last;
        if again && now + group.target_latency / 2 < trip.target_at && self.budget(now) {
            return (group.target_latency / 2).min(left);
        }
        left
    }

    fn ended(&mut self, host: &mut dyn Host, mut trip: Trip, sent: Sent, outcome: Outcome) {
        let now = host.now();
        let mean = &mut self.mean[trip.group];
        let answered = outcome.end == Ended::Delivered;
        if answered {
            *mean += (outcome.took as f64 - *mean) * 0.01;
        }
        let ratio = outcome.took as f64 / mean.max(1.0);
        let failed = matches!(outcome.end, Ended::Error | Ended::TimeOut | Ended::Reset);
        let scatter = 0.5 + 0.5 * self.chance.rand_float();
        if let Some(pod) = self.pods.table[sent.pod].as_mut() {
            pod.in_flight = pod.in_flight.saturating_sub(1);
            if outcome.end != Ended::TimeOut && outcome.end != Ended::Cancelled {
                pod.quiet_since = now;
            }
            if answered || outcome.end == Ended::TimeOut {
                pod.slow += (ratio.min(10.0) - pod.slow) * 0.1;
                pod.slow_at = now;
            }
            if answered {
                (pod.strikes, pod.ill_until) = (0, 0);
            } else if failed || outcome.end == Ended::NoConnection {
                pod.strikes += if outcome.end == Ended::NoConnection { Pods::ILL_AFTER } else { 1 };
                if pod.strikes >= Pods::ILL_AFTER {
                    let doubled = Pods::ILL << (pod.strikes - Pods::ILL_AFTER).min(4);
                    pod.ill_until = now + (doubled.min(Pods::ILL_MOST) as f64 * scatter) as Ns;
                }
            }
        }
        if !sent.young {
            if failed {
                self.judge.failed(now, sent.build);
            }
            if failed || answered {
                self.judge.answered(sent.build);
            }
        }
        if answered && self.exposure.rules.one_way && trip.key != 0 && self.cap(sent.build).is_some() {
            self.exposure.bound.insert(trip.key);
        }
        if failed {
            self.consider(host);
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
        if late || !allowed || (ran && !self.budget(now)) {
            return self.give_up(host, trip);
        }
        if ran {
            self.retried.add(now);
        }
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

    /// The pod for the next forward of a hit.
    fn choose(&mut self, now: Ns, trip: &Trip) -> Option<PodId> {
        let group = self.groups[trip.group];
        let mut new_build = None;
        let (mut newer, mut older): (Vec<PodId>, Vec<PodId>) = (Vec::new(), Vec::new());
        for pod in self.pods.live() {
            let entry = &pod.entry;
            if let Some((at, zone, cell)) = trip.may_run {
                let inside = match group.scope {
                    Scope::All => true,
                    Scope::Zone => entry.zone == zone,
                    Scope::Cell => entry.cell == cell,
                };
                if group.kind == Kind::Tagged && (!inside || now >= at + group.repeat_window) {
                    continue;
                }
            }
            match self.cap(entry.build) {
                None => older.push(entry.pod),
                Some(cap) => {
                    if cap <= 0.0 || (self.guarded(entry.build) && group.kind != Kind::Repeatable) {
                        continue;
                    }
                    new_build = new_build.max(Some(entry.build));
                    newer.push(entry.pod);
                }
            }
        }
        let bound = self.exposure.rules.one_way && self.exposure.bound.contains(&trip.key);
        let full_keys = self.exposure.rules.one_way && self.exposure.bound.len() >= Exposure::MOST_KEYS;
        if let Some(build) = new_build {
            newer.retain(|id| self.pods.table[*id].as_ref().is_some_and(|pod| pod.entry.build == build));
        }
        let bound_build = self.judge.build;
        if bound {
            older.retain(|id| self.pods.table[*id].as_ref().is_some_and(|p| p.entry.build >= bound_build));
        }
        let cap = new_build.and_then(|build| self.cap(build)).unwrap_or(0.0);
        let build = new_build.unwrap_or(0);
        let part = self.exposure.part;
        let must = older.is_empty();
        let soft = new_build.is_some()
            && (bound || !full_keys)
            && self.exposure.room(now, build, trip.group, cap, if must { 1.0 } else { part });
        if !soft {
            newer.clear();
        }
        let mut all = older;
        all.extend(newer);
        let quiet_after = self.groups.iter().map(|group| group.target_latency).min().unwrap_or(S);
        let well: Vec<bool> = all
            .iter()
            .map(|id| self.pods.table[*id].as_ref().is_some_and(|pod| self.pods.well(now, pod, quiet_after)))
            .collect();
        // When most pods look ill, the trouble is not theirs: shunning them would crowd the rest.
        let panic = well.iter().filter(|well| **well).count() * 2 < all.len();
        let mut fit: Vec<PodId> = Vec::new();
        for (n, id) in all.iter().enumerate() {
            if (well[n] || panic) && !trip.tried.contains(id) && self.pods.cold_room(now, *id) {
                fit.push(*id);
            }
        }
        if fit.is_empty() {
            for id in all {
                if self.pods.cold_room(now, id) {
                    fit.push(id);
                }
            }
        }
        let local: Vec<PodId> =
            fit.iter().copied().filter(|id| self.zone_of(*id) == self.place.zone).collect();
        let near = self.better_of_two(now, &local);
        let far: Vec<PodId> = fit.into_iter().filter(|id| self.zone_of(*id) != self.place.zone).collect();
        let far = self.better_of_two(now, &far);
        match (near, far) {
            (Some((near, a)), Some((far, b))) => {
                let tilt = 1.0 + 12.0 * self.rules.cross_zone_price;
                Some(if b * tilt < a { far } else { near })
            }
            (near, far) => near.or(far).map(|(id, _)| id),
        }
    }

    fn zone_of(&self, id: PodId) -> ZoneId {
        self.pods.table[id].as_ref().map_or(0, |pod| pod.entry.zone)
    }

    fn better_of_two(&mut self, now: Ns, fit: &[PodId]) -> Option<(PodId, f64)> {
        if fit.is_empty() {
            return None;
        }
        let mut best: Option<(PodId, f64)> = None;
        let first = self.chance.rand_range(0..fit.len() as u64) as usize;
        let mut second = self.chance.rand_range(0..fit.len().max(2) as u64 - 1) as usize;
        if second >= first {
            second += 1;
        }
        for n in [first, second.min(fit.len() - 1)] {
            let score = self.pods.table[fit[n]].as_ref().map_or(f64::MAX, |pod| self.pods.score(now, pod));
            if best.is_none_or(|(_, least)| score < least) {
                best = Some((fit[n], score));
            }
        }
        best
    }
}
