//! Every decision of havenplank: where a hit goes, what is tried again, what a new build gets, how to vote.
//!
//! A host makes a [`Router`] with `new`, calls `begin` once, then `hit`, `list`, `list_failed`, `news`,
//! `tally` and `flagged` as things arrive; effects leave through [`Host`] in `interface.rs`, where the interface
//! stands. Each forward, vote and wake leaves a closure that is handed its result: there a hit's state lives.
//!
//! The ordinary path is Wald's sequential test (docs/design.md): `Judge` sums whether this instance's
//! failures fall on the build on trial beyond its share of forwards, `Voter` turns the sum into a vote.

use crate::interface::*;
use crate::state::*;
pub use crate::state::{RouteClassChange, Router};
use crate::tail::part_of_chance;
use oorandom::Rand64;
use std::cell::RefCell;
use std::cmp::Ordering;
use std::rc::Rc;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;
const TICK: Nanos = 200 * MS;
const SLICES: usize = 40;

impl Share {
    const SPANS: [Nanos; 2] = [5 * S, 1500 * MS];
    const THIN: f64 = 5.0;

    fn fresh() -> Share {
        let [new, all] = [(); 2].map(|()| Share::SPANS.map(|span| Window::new(span, SLICES)));
        Share { new, all }
    }

    /// It rises by leaps at a stage's start, when the long look still blames the build for having more
    /// forwards than it counts: so the higher of a long and a short look, the short one shrunk where thin.
    fn of(&mut self, now: Nanos) -> f64 {
        let [long, short] =
            [0, 1].map(|n| (self.new[n].most(now) as f64, self.all[n].most(now) as f64));
        (long.0 / long.1.max(1.0)).max(short.0 / (short.1 + Share::THIN))
    }
}

impl Judge {
    const ALPHA: f64 = 0.01;
    const BETA: f64 = 0.1;
    const ODDS: f64 = 2.0;
    /// Sound builds make next to none of their own, so the alternative may be wider and the answer quicker.
    const OWN_ODDS: f64 = 4.0;
    /// A pod younger than this fails for being cold, whatever its build.
    const COLD_SKIP: Nanos = 3 * S;
    const SLOW_ODDS: f64 = 5.0;
    const SLOW_SHARE: f64 = 0.35;
    /// Part of the upper bound after which one pod alone says no more: machines fail by themselves, too.
    const ONE_POD: f64 = 0.4;
    const MEMORY_SHARE: f64 = 0.25;
    /// Failures a forward that a sound build makes by itself, at least, and how quickly more are learnt.
    const OWN_RATE: f64 = 0.002;
    const OWN_LEARN: f64 = 0.02;
    /// How much slower than before the trial is slower, and from how much on.
    const SLOWER: f64 = 1.35;
    const USUAL: f64 = 0.1;
    const USUAL_LEARN: f64 = 0.2;
    const SLOT: Nanos = 4 * S;
    const ONE_ROUND: f64 = 0.6;
    const SETTLES: Nanos = 2 * S;

    /// Wald's bounds on the sum: on below the first, back above the second. Alpha is that of the platform's
    /// verdict, so each of many instances gets the part by which as many false as move it are no likelier
    /// (the binomial's tail): less where any one decides, by the logarithm only; up to beta where many must.
    fn bounds(instances: usize, needed: usize) -> (f64, f64) {
        let part = part_of_chance(instances, needed, Judge::ALPHA, Judge::BETA);
        let alpha = part.clamp(Judge::ALPHA / (1.0 + (instances as f64).ln()), Judge::BETA);
        (
            (Judge::BETA / (1.0 - alpha)).ln(),
            ((1.0 - Judge::BETA) / alpha).ln(),
        )
    }

    /// Slowness counts by the bound of alpha itself where that is higher: many see the same slow pods.
    fn worst(&self) -> f64 {
        let (_, alone) = Judge::bounds(1, 1);
        self.sum
            .max(self.slot_sum)
            .max(self.slow_sum * (self.bounds.1 / alone).min(1.0))
    }

    fn doubt(&self) -> bool {
        self.worst().max(self.slow_sum) > self.bounds.1 / 2.0
    }

    /// What speaks against the build outlives its stage, as a low rate of wrong answers never fills the sum
    /// within one. What speaks for it does not: more traffic may bring out more.
    fn restart(&mut self, build: Build) {
        if build != self.build {
            self.share.new = Share::fresh().new;
            (self.sum, self.slot_sum, self.away, self.testing) = (0.0, 0.0, false, false);
            self.seen = [(0.0, 0.0); 2];
        }
        (self.build, self.sum, self.slow_sum, self.outcomes) = (build, self.sum.max(0.0), 0.0, 0);
        self.slot_sum = self.slot_sum.max(0.0);
    }

    /// Once the new build has most of the load its share nears 1 and the test goes blind, so for failures
    /// that are a pod's own the earlier build keeps most of the share from memory, as it failed. Covers late
    /// failures and low rates of wrong answers; could harm where callers begin to err after its last answer.
    fn ended(&mut self, now: Nanos, build: Build, own: bool) {
        if build < self.build {
            let learnt = (own as u8 as f64 - self.own_rate) * Judge::OWN_LEARN;
            self.own_rate = (self.own_rate + learnt).max(Judge::OWN_RATE);
        }
        self.share.all.iter_mut().for_each(|window| window.add(now));
        if build == self.build {
            self.share.new.iter_mut().for_each(|window| window.add(now));
            self.outcomes = self.outcomes.saturating_add(1);
            let missing = (1.0 / Judge::MEMORY_SHARE - 1.0 / self.share.of(now).max(1e-9)).max(0.0);
            let step = self.step(Judge::MEMORY_SHARE, build.wrapping_sub(1), Judge::OWN_ODDS);
            self.sum += self.own_rate * missing * step;
        }
    }

    /// A sum far below the lower bound would take as long to come back: it stays at twice that.
    /// `own`: an error or a wrong answer, which a pod makes by itself, unlike a time-out or a reset.
    fn failed(&mut self, now: Nanos, build: Build, own: bool) -> f64 {
        let (most, odds) = if own {
            (Judge::MEMORY_SHARE, Judge::OWN_ODDS)
        } else {
            (1.0, Judge::ODDS)
        };
        let p0 = self.share.of(now).min(most);
        let step = self.step(p0, build, odds);
        self.sum = (self.sum + step).max(2.0 * self.bounds.0);
        step
    }

    /// A slow build fails nothing, so the sum above never hears of it: the same test, on whether the slowest
    /// tenth of answers falls on the build on trial, with a wider alternative as good builds differ in speed.
    /// Could harm one kept busier than the earlier, so it rests once that has a third of the load.
    fn slow(&mut self, now: Nanos, build: Build) -> f64 {
        let p0 = self.share.of(now);
        let step = if p0 <= Judge::SLOW_SHARE {
            self.step(p0, build, Judge::SLOW_ODDS)
        } else {
            0.0
        };
        self.slow_sum = (self.slow_sum + step).max(2.0 * self.bounds.0);
        step
    }

    fn step(&self, p0: f64, build: Build, odds: f64) -> f64 {
        let p1 = odds * p0 / (1.0 + (odds - 1.0) * p0);
        match build.cmp(&self.build) {
            Ordering::Less if p0 < 1.0 => ((1.0 - p1) / (1.0 - p0)).ln(),
            Ordering::Equal if p0 > 0.0 => (p1 / p0).ln(),
            _ => 0.0,
        }
    }

    /// A build that slows every pod alike gives the test no side to compare, so time makes them: while the
    /// earlier pods are slower than before the trial, the share is taken away in every other slot of a clock
    /// that all instances know from the platform's news, as one alone moves nothing. Covers any load that
    /// a build puts on what all pods share; could harm a good one while another slowdown keeps that rhythm.
    fn slots(&mut self, now: Nanos, began: Option<Nanos>, many: bool) {
        self.testing &= began.is_some();
        let slot = began.map_or((0, 0), |began| {
            (began, now.saturating_sub(began) / Judge::SLOT)
        });
        if slot == self.slot {
            return;
        }
        self.slot = slot;
        if slot.1 % 2 == 1 {
            let slow = self.old_slow > Judge::SLOWER * self.usual.max(Judge::USUAL);
            self.testing = (self.testing || slow) && self.share.new[0].most(now) > 0;
        } else {
            let [with, without] = std::mem::take(&mut self.seen);
            let (p0, most) = (
                with.0 / (with.0 + without.0).max(1.0),
                self.bounds.1 * Judge::ONE_ROUND,
            );
            let step = |build| self.step(p0, build, Judge::SLOW_ODDS);
            let round = with.1 * step(self.build) + without.1 * step(self.build.wrapping_sub(1));
            let round = round.clamp(-most, most) * (self.away || many) as u8 as f64;
            self.slot_sum = (self.slot_sum + round).max(self.bounds.0);
        }
        self.testing &= self.slot_sum > self.bounds.0;
        self.away = self.testing && slot.1 % 2 == 1;
    }

    /// The same test on whether slow answers of the earlier pods fall on the slots with the share. Answers
    /// of a slot's start tell of the one before, and no round of two slots decides alone.
    fn old_answer(&mut self, sent_at: Nanos, slow: bool, hits: u32) {
        // A few seconds' answers, but no fewer than eight.
        let learn = (3.0 / hits as f64).clamp(0.002, 0.12);
        self.old_slow += (slow as u8 as f64 - self.old_slow) * learn;
        let (began, slot) = self.slot;
        if sent_at < began + slot * Judge::SLOT + Judge::SETTLES {
            return;
        }
        let side = &mut self.seen[(slot % 2 == 1) as usize];
        *side = (side.0 + 1.0, side.1 + slow as u8 as f64);
    }
}

impl Voter {
    const ON_AFTER: Nanos = 3 * S;
    const ON_AFTER_THIN: Nanos = 6 * S;
    const DOUBT_HOLDS: Nanos = 12 * S;
    const ENOUGH: u32 = 10;

    /// Whether as many votes for on can stand together as move a stage: of those that the platform takes
    /// within a vote's life, twice a second's worth come at once.
    fn can_move(&self) -> bool {
        let rules = &self.rules;
        let most = rules.calls_per_second * (2.0 + rules.ttl as f64 / S as f64);
        rules.control != ReleaseControl::Quorum
            || rules.calls_per_second <= 0.0
            || rules.advance_quorum as f64 <= most
    }

    fn wanted(&mut self, now: Nanos, judge: &Judge, phase: Phase, ran: Nanos) -> Vote {
        let on_trial = phase == Phase::Trial;
        if judge.worst() > judge.bounds.1 && (on_trial || phase == Phase::Released) {
            return Vote::RollBack;
        }
        if on_trial && self.rules.control == ReleaseControl::Timed {
            // One step a stage at most, however often the doubt comes back.
            let since = *self.held.get_or_insert(if judge.doubt() {
                now
            } else {
                return Vote::None;
            });
            return if judge.doubt() && now - since < self.rules.stage_duration {
                Vote::Hold
            } else {
                Vote::None
            };
        }
        let passed = judge.sum < judge.bounds.0 || judge.outcomes >= Voter::ENOUGH;
        let thin = self.rules.control == ReleaseControl::Quorum && ran >= Voter::ON_AFTER_THIN;
        // As under a clock doubt holds, for a while: an early on would take the time that votes against need.
        let doubt = (judge.doubt() || judge.testing) && ran < Voter::DOUBT_HOLDS;
        let on = on_trial && !doubt && (thin || (passed && ran >= Voter::ON_AFTER));
        [Vote::None, Vote::Advance][on as usize]
    }
}

impl Exposure {
    const START: f64 = 0.8;
    const DOUBTED: f64 = 0.4;
    const MOST_KEYS: usize = 1 << 16;

    /// Whether `part` of the cap leaves room for one more forward. An earlier life may have used the free.
    fn room(&mut self, now: Nanos, build: Build, group: RouteClassId, cap: f64, part: f64) -> bool {
        let bucket = self.bucket(group);
        let free = if now - self.started <= self.rules.window {
            0.0
        } else {
            self.rules.free_attempts
        };
        let most = part * (free + cap * self.taken[bucket].least(now) as f64);
        self.sent(build)[bucket].most(now) as f64 + 1.0 <= most
    }

    /// Halved on doubt, doubled while it goes well; lower, it would starve the test of what could settle it.
    fn weigh(&mut self, doubt: bool) {
        self.part = (self.part * if doubt { 0.5 } else { 2.0 }).clamp(Exposure::DOUBTED, 1.0);
    }
}

impl Pods {
    const ILL_AFTER: u32 = 2;
    const ILL: Nanos = 500 * MS;
    /// Part of the fall multiple that all instances together may use on a cold pod.
    const COLD_PART: f64 = 0.6;
    const SLOW_LEARN: f64 = 0.1;
    const SLOW_FADES: f64 = 5e9;
    /// Instances that keep to a pod, at least: what so many alike send it strays by their root, a fifth.
    const KEPT_BY: f64 = 25.0;
    /// Well pods of a side that an instance keeps to, at least: of fewer the test on a build hears too
    /// little, as one pod alone puts no more than `ONE_POD` on it.
    const KEEPS: f64 = 4.0;
    /// Forwards in flight from one instance to each pod it keeps to, at most: its bursts must not fill one.
    const BUSY: f64 = 0.125;
    const BUSY_LEARN: f64 = 0.02;
    /// Multiples of it spread evenly over any run of numbers, whichever of them share a zone.
    const GOLDEN: f64 = 0.618_033_988_749_895;

    /// The part of its capacity that a pod surely has.
    fn warmth(&self, now: Nanos, entry: &Endpoint) -> f64 {
        let age = now.saturating_sub(entry.started) as f64 / self.rules.warm_up.max(1) as f64;
        (self.rules.initial_capacity + (1.0 - self.rules.initial_capacity) * age).min(1.0)
    }

    fn silent(&self, now: Nanos, pod: &Pod) -> bool {
        let quiet = if pod.in_flight == 0 {
            0
        } else {
            now.saturating_sub(pod.quiet_since)
        };
        quiet
            > if pod.in_flight > 1 {
                self.quiet / 2
            } else {
                self.quiet
            }
    }

    /// A pod on the mend gets one hit at a time.
    fn well(&self, now: Nanos, pod: &Pod) -> bool {
        let mending = pod.strikes >= Pods::ILL_AFTER && pod.in_flight > 0;
        now >= pod.ill_until && !mending && !self.silent(now, pod)
    }

    /// A look at all pods, a few times a second, so that no hit has to look through them. When most of them
    /// look ill, the trouble is not theirs: shunning them would crowd the rest.
    fn survey(&mut self, now: Nanos, place: &FleetPosition) {
        self.sum_up_warm(now, SLICES);
        self.keep_to(now, place);
        self.panic = 3 * self
            .table
            .running()
            .filter(|pod| self.well(now, pod))
            .count()
            < self.table.count;
    }

    /// Hundreds of instances that each open connections to every pod cost the pods more than their hits do.
    /// So each keeps to a stretch of every side, all sides in the same order at all instances, and its number
    /// tells where it begins. The stretch goes on past what is ill, and cold pods count for their part.
    fn keep_to(&mut self, now: Nanos, place: &FleetPosition) {
        let all = self.table.count as f64;
        let wanted =
            (Pods::KEPT_BY * all / place.instances.max(1) as f64).max(self.busy / Pods::BUSY);
        let begins = (place.rank as f64 * Pods::GOLDEN).fract();
        let mut sides = std::mem::take(&mut self.table.sides);
        for side in &mut sides {
            let (many, mut good) = (side.pods.len(), 0.0);
            let enough = (wanted * many as f64 / all).max(Pods::KEEPS);
            let part = (begins * many as f64) as usize;
            let (order, from) = if enough < many as f64 {
                (&side.ring, part)
            } else {
                (&side.pods, 0)
            };
            side.own.clear();
            for id in (0..many).map(|step| order[(from + step) % many]) {
                if good >= enough {
                    break;
                }
                side.own.push(id);
                // One whose illness has merely run out has yet to show that it is well.
                let well = |pod: &&Pod| pod.strikes < Pods::ILL_AFTER && self.well(now, pod);
                let well = self.table.get(id).filter(well);
                good += well.map_or(0.0, |pod| self.warmth(now, &pod.entry));
            }
        }
        self.table.sides = sides;
    }

    /// Whether a cold pod has room. The guide is what warm pods of its machine answer to this instance:
    /// answers, not forwards, since those outrun any capacity when the rest of the fleet is lost or full.
    /// A part under one forward is drawn for, lest those of many instances add up: `luck` is a draw from 0
    /// to the window's hits for each unit of size that this pod is drawn from. Of a side kept to in part a
    /// pod hears from fewer instances, and each has more of it.
    fn cold_room(&mut self, now: Nanos, id: PodId, luck: f64) -> bool {
        let Some(entry) = self.table.get(id).map(|pod| pod.entry) else {
            return false;
        };
        let warmth = self.warmth(now, &entry);
        if warmth >= 1.0 {
            return true;
        }
        let others: Vec<f64> = (0..self.carried.len())
            .filter_map(|n| self.carried_by(now, n))
            .collect();
        let least = || 0.5 * others.iter().copied().reduce(f64::min).unwrap_or(0.0);
        let carried = self.carried_by(now, entry.machine).unwrap_or_else(least);
        let most = Pods::COLD_PART * self.rules.overload_multiple * warmth * carried * entry.size;
        let sent = self.table.get_mut(id).map_or(0, |pod| pod.sent.most(now)) as f64;
        sent + 1.0 <= most / self.table.own_part(&entry)
            || (sent < 1.0 && (others.is_empty() || luck * warmth * entry.size < most))
    }

    /// How slow a pod is for its size, and so how much each hit in flight there weighs.
    fn burden(&self, now: Nanos, pod: &Pod) -> f64 {
        let idle = now.saturating_sub(pod.slow_at) as f64 / Pods::SLOW_FADES;
        let slow = 1.0 + (pod.slow - 1.0) * (-idle).exp();
        slow / (pod.entry.size.max(1e-9) * self.warmth(now, &pod.entry))
    }

    /// Health by symptom, whatever its cause. A time-out tells of the pod only if nothing came
    /// from it since, and if it was not cut short by a client with little time left.
    fn ended(&mut self, now: Nanos, sent: &Sent, end: AttemptEnd, ratio: f64, scatter: f64) {
        let Some(pod) = self.table.get_mut(sent.pod) else {
            return;
        };
        pod.in_flight = pod.in_flight.saturating_sub(1);
        let hung = end == AttemptEnd::TimedOut
            && pod.quiet_since <= sent.at
            && now - sent.at >= self.quiet / 2;
        if !matches!(
            end,
            AttemptEnd::TimedOut | AttemptEnd::Cancelled | AttemptEnd::NotSent
        ) {
            pod.quiet_since = now;
        }
        if matches!(end, AttemptEnd::Served | AttemptEnd::TimedOut) {
            pod.slow += (ratio.min(10.0) - pod.slow) * Pods::SLOW_LEARN;
            pod.slow_at = now;
        }
        if end == AttemptEnd::Served {
            if let Some(lane) = self.carried.get_mut(pod.entry.machine).filter(|_| pod.warm) {
                lane.0.add(now);
            }
            (pod.strikes, pod.ill_until) = (0, 0);
        } else if hung
            || matches!(
                end,
                AttemptEnd::Failed
                    | AttemptEnd::Reset
                    | AttemptEnd::ConnectFailed
                    | AttemptEnd::Rejected
            )
        {
            pod.strikes += if end == AttemptEnd::ConnectFailed {
                Pods::ILL_AFTER
            } else {
                1
            };
            if pod.strikes >= Pods::ILL_AFTER {
                let doubled = Pods::ILL << (pod.strikes - Pods::ILL_AFTER).min(4);
                pod.ill_until = now + (doubled as f64 * scatter) as Nanos;
            }
        }
    }
}

/// Bounds the hits in flight by how quickly answers come: what a queue would make late is bounced at the
/// door. Covers overload, lost pods and slow fleets alike; could harm where many hits are heavy by nature.
impl Limit {
    const LEAST: f64 = 4.0;
    const START: f64 = 60.0;
    const LATE: f64 = 0.45;
    const LEARN: f64 = 0.03;
    const TOO_LATE: f64 = 0.25;
    const CROWDED: f64 = 0.33;

    fn ended(&mut self, now: Nanos, target: Nanos, took: Nanos, answered: bool) {
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

impl Router {
    /// How much less loaded an earlier build's pod must be to be chosen over the newest's.
    const NEWER: f64 = 0.6;
    const AWAY: f64 = 12.0;
    /// What the earlier pods keep at least beside the newest: the test needs both.
    const STAYS: f64 = 0.4;
    const DRAWS: u32 = 16;
    /// Hits after which an instance trusts what it has learnt of the time before a trial.
    const LEARN: u32 = 30;
    const RETRY_PART: f64 = 0.2;
    const RETRY_WINDOW: Nanos = 10 * S;
    /// From how many times what nine in ten answers keep a second copy goes out, and up to which late share.
    const COPY_AFTER: f64 = 2.5;
    const COPY_CALM: f64 = 0.125;

    #[allow(clippy::too_many_arguments)]
    pub fn new(
        now: Nanos,
        seed: u64,
        place: FleetPosition,
        groups: Vec<RouteClass>,
        rules: AttemptSettings,
        pods: PodSettings,
        exposure: ExposureSettings,
        votes: VoteSettings,
        lists: EndpointListSettings,
    ) -> Router {
        let bounds = Judge::bounds(
            place.instances.max(1),
            votes.rollback_quorum.clamp(1, place.instances.max(1)),
        );
        Router {
            exposure: Exposure::new(exposure, now, groups.len(), Exposure::START, SLICES),
            pods: Pods::new(
                pods,
                groups
                    .iter()
                    .map(|group| group.latency_objective)
                    .min()
                    .unwrap_or(S),
            ),
            judge: Judge::new(Share::fresh(), bounds, Judge::OWN_RATE),
            voter: Voter::new(votes),
            limit: Limit {
                most: Limit::START,
                out: 0,
                cut_at: 0,
                late: 0.0,
            },
            taken: Window::new(Router::RETRY_WINDOW, SLICES),
            retried: Window::new(Router::RETRY_WINDOW, SLICES),
            chance: Rand64::new(seed as u128),
            list_wait: 0,
            stage: None,
            hits: 0,
            place,
            rules,
            lists,
            groups: Groups::new(groups, |group| group.latency_objective as f64 / 6.0),
        }
    }

    pub fn start(&mut self, host: &mut dyn Host) {
        if self.lists.poll_only {
            host.watch_endpoints(true);
        }
        host.set_timer(TICK, Box::new(|router, host, ()| router.tick(host)));
    }

    fn tick(&mut self, host: &mut dyn Host) {
        let now = host.now();
        self.pods.survey(now, &self.place);
        let began = self
            .stage
            .filter(|_| self.on_trial() && self.exposure.rules.blue_green)
            .map(|(_, at)| at);
        self.judge
            .slots(now, began, self.voter.rules.rollback_quorum > 1);
        self.seat(now);
        self.consider(host);
        if now >= self.exposure.weighed + S {
            if !self.on_trial() {
                self.judge.usual += (self.judge.old_slow - self.judge.usual) * Judge::USUAL_LEARN;
            }
            self.exposure.weigh(self.judge.doubt());
            self.exposure.weighed = now;
        }
        host.set_timer(TICK, Box::new(|router, host, ()| router.tick(host)));
    }

    /// A thin share at each of many tells none of them enough, and a bad build stays. So a part of them takes
    /// the trial's forwards, each as many more as the cap and its memory leave room for, the rest none: as
    /// many reach the pods, and fewer hear more. Who sits goes by number and build; who hears enough does.
    fn seat(&mut self, now: Nanos) {
        let (many, needed, build) = (
            self.place.instances,
            self.voter.rules.rollback_quorum,
            self.judge.build,
        );
        let share = self.pods.table.part_of(build);
        let cap = self
            .cap(build)
            .filter(|_| self.on_trial() && needed > 1 && share > 0.0);
        let room = cap.map(|cap| Exposure::START * self.exposure.share(now, cap));
        let part = room.map_or(1.0, |room| {
            share / room.clamp(share, Judge::MEMORY_SHARE.max(share))
        });
        let heard = share * self.taken.most(now) as f64 * Voter::ON_AFTER as f64
            / Router::RETRY_WINDOW as f64;
        let least = (heard / Voter::ENOUGH as f64).max(2.0 * needed as f64 / many as f64);
        let part = part.max(least.min(1.0));
        let seat = ((self.place.rank + build as usize * many) as f64 * Pods::GOLDEN).fract();
        self.judge.lift =
            (seat < part) as u8 as f64 * ((1.0 - share) / (part - share).max(1e-9)).max(1.0);
        self.judge.bounds = Judge::bounds(((many as f64 * part) as usize).max(needed), needed);
    }

    pub fn update_endpoints(&mut self, host: &mut dyn Host, whole: bool, entries: &[Endpoint]) {
        self.list_wait = 0;
        let window = || Window::new(self.pods.rules.overload_window, SLICES);
        self.pods.table.apply(whole, entries, window);
        self.pods.survey(host.now(), &self.place);
        let (table, trial) = (&self.pods.table, self.judge.build);
        self.exposure
            .sent
            .retain(|(build, _)| *build >= trial || table.count_of(*build) > 0);
    }

    /// A watch that failed may or may not stand: ask again, later each time and at scattered moments.
    pub fn endpoint_watch_failed(&mut self, host: &mut dyn Host) {
        self.list_wait = (self.list_wait * 2)
            .clamp(S, 8 * S)
            .min(self.lists.poll_interval);
        let wait = (self.list_wait as f64 * (0.5 + 0.5 * self.chance.rand_float())) as Nanos;
        host.set_timer(wait, Box::new(|_, host, ()| host.watch_endpoints(true)));
    }

    pub fn update_stage(&mut self, host: &mut dyn Host, stage: Stage) {
        let old = self.stage.map(|(old, _)| (old.build, old.stage));
        if old != Some((stage.build, stage.stage)) {
            self.judge.restart(stage.build);
            (self.voter.held, self.exposure.part) = (None, Exposure::START);
            self.pods
                .table
                .slots
                .iter_mut()
                .flatten()
                .for_each(|pod| pod.blame = 0.0);
        }
        let going = matches!(stage.phase, Phase::RollingBack | Phase::Withdrawn);
        if going || old.is_some_and(|(build, _)| build != stage.build) {
            self.exposure.bound.clear();
        }
        self.stage = Some((stage, host.now().saturating_sub(stage.age)));
        self.consider(host);
    }

    pub fn update_tally(&mut self, _host: &mut dyn Host, _tally: Tally) {}

    pub fn report_fault(
        &mut self,
        host: &mut dyn Host,
        pod: PodId,
        _group: RouteClassId,
        ago: Nanos,
    ) {
        let (now, sent_at) = (host.now(), host.now().saturating_sub(ago));
        let Some(entry) = self.pods.table.get(pod).map(|pod| &pod.entry) else {
            return;
        };
        if sent_at >= entry.started + Judge::COLD_SKIP {
            self.judge.failed(now, entry.build, true);
            self.consider(host);
        }
    }

    /// The cap a build is under, or none where it is not on trial. One not announced is in its first stage.
    fn cap(&self, build: Build) -> Option<f64> {
        let first = self.exposure.rules.caps.first().copied().unwrap_or(0.0);
        // Keys answered by a build not announced could not be held to it.
        let first = if self.exposure.rules.sticky_keys {
            0.0
        } else {
            first
        };
        let told = self.stage.map(|(stage, _)| stage);
        let oldest = || self.pods.table.sides.iter().map(|side| side.build).min();
        match told.map(|stage| stage.build).or_else(oldest) {
            Some(known) if build > known => Some(first),
            known => told
                .filter(|s| known == Some(build) && s.phase != Phase::Released)
                .map(|s| s.cap),
        }
    }

    fn on_trial(&self) -> bool {
        self.stage
            .is_some_and(|(s, _)| s.phase == Phase::Trial && self.pods.table.count_of(s.build) > 0)
    }

    fn consider(&mut self, host: &mut dyn Host) {
        let Some((stage, began)) = self.stage else {
            return;
        };
        let now = host.now();
        let newest = self
            .pods
            .table
            .newest_start(stage.build)
            .unwrap_or(began)
            .max(began);
        let voice = self
            .voter
            .wanted(now, &self.judge, stage.phase, now.saturating_sub(newest));
        let want = (stage.build, stage.stage, voice);
        let stands = self.voter.standing;
        // Those that can move nothing would only keep votes for back from being heard.
        let voice = if voice == Vote::Advance && !self.voter.can_move() {
            Vote::None
        } else {
            voice
        };
        let idle = voice == Vote::None && stands.is_none_or(|(.., voice)| voice != Vote::Hold);
        let early = now < self.voter.again_at && (stands.is_none() || stands == Some(want));
        if self.voter.calling || idle || early {
            return;
        }
        self.voter.calling = true;
        let (
            Stage {
                build,
                stage: number,
                ..
            },
            sums,
        ) = (stage, self.sums());
        host.log(&format!(
            "vote {} build {build} stage {number} sums {sums:.2?}",
            recorded_word(voice)
        ));
        let then = move |router: &mut Router, host: &mut dyn Host, news: VoteReply| {
            router.voter.calling = false;
            let counted = news.receipt == VoteReceipt::Counted;
            router.voter.standing = counted.then_some(want);
            let soon = (100 + router.chance.rand_range(0..300)) * MS;
            // Late in the vote's life, but so that a call that times out can be made again before it lapses.
            let (life, out) = (router.voter.rules.ttl, router.voter.rules.call_timeout);
            let life = life.saturating_sub(out).max(life / 4) as f64;
            let late = now + (life * (0.75 + 0.2 * router.chance.rand_float())) as Nanos;
            router.voter.again_at = if counted { late } else { host.now() + soon };
            match news.stage {
                Some(stage) => router.update_stage(host, stage),
                None => router.consider(host),
            }
        };
        host.cast_vote(stage.build, stage.stage, voice, Box::new(then));
    }

    pub fn handle_request(&mut self, host: &mut dyn Host, hit: IncomingRequest) {
        let now = host.now();
        let bucket = self.exposure.bucket(hit.class);
        self.exposure.taken[bucket].add(now);
        self.taken.add(now);
        self.hits = self.hits.saturating_add(1);
        self.resume_request(host, hit, &[]);
    }

    /// Goes on with a hit that another instance took and forwarded so. It was counted there, once.
    pub fn resume_request(
        &mut self,
        host: &mut dyn Host,
        hit: IncomingRequest,
        past: &[PriorAttempt],
    ) {
        let now = host.now();
        self.pods.busy += (self.limit.out as f64 - self.pods.busy) * Pods::BUSY_LEARN;
        let group = self.groups[hit.class];
        // A time left read from a trace may be anything.
        let until = [hit.remaining, group.latency_objective].map(|span| now.saturating_add(span));
        let trip = Rc::new(RefCell::new(Trip::new(
            now,
            &hit,
            until,
            past,
            &self.pods.table,
        )));
        let worth = group.priority_weight / self.groups.max_priority_weight;
        if (self.limit.out as f64) < self.limit.most * (0.75 + 0.25 * worth) {
            return self.step(host, trip);
        }
        // What the limit bounces would have been slow: it must not hide a build that slows every pod.
        self.judge.old_answer(now, true, self.taken.most(now));
        self.give_up(host, trip);
    }

    fn step(&mut self, host: &mut dyn Host, trip: Rc<RefCell<Trip>>) {
        let now = host.now();
        let spent = now >= trip.borrow().deadline || self.used_up(&trip.borrow());
        let chosen = if spent {
            None
        } else {
            self.choose(now, &trip.borrow())
        };
        // A pod that is not in the table could not be sent to, and the hit would be left without an answer.
        let chosen = chosen.filter(|pod| self.pods.table.get(*pod).is_some());
        let Some(pod) = chosen else {
            return self.give_up(host, trip);
        };
        // An earlier time-out does the work twice just when pods are slow; hung ones are told by silence.
        let (group, left) = (
            self.groups[trip.borrow().group],
            trip.borrow().deadline - now,
        );
        let time_out = left.min(if group.idempotency == Idempotency::NonIdempotent {
            left
        } else {
            group.latency_objective
        });
        self.send(host, &trip, pod, time_out);
        self.plan_copy(host, &trip, pod);
    }

    fn used_up(&self, trip: &Trip) -> bool {
        let never = trip.may_run.is_some()
            && self.groups[trip.group].idempotency == Idempotency::NonIdempotent;
        never || trip.tried.len() >= self.rules.max_attempts as usize
    }

    fn send(&mut self, host: &mut dyn Host, trip: &Rc<RefCell<Trip>>, pod: PodId, time_out: Nanos) {
        let now = host.now();
        let Some(chosen) = self.pods.table.get(pod) else {
            return;
        };
        let warm = self.pods.warmth(now, &chosen.entry) >= 1.0;
        let own = self
            .pods
            .table
            .own_but(self.judge.away.then_some(self.judge.build));
        let even = chosen.in_flight * own as u32 <= self.limit.out;
        let first = trip.borrow().tried.is_empty();
        let sent = Sent {
            pod,
            entry: chosen.entry,
            at: now,
            warm,
            even,
            first,
        };
        self.pods.table.send(now, pod);
        self.limit.out += 1;
        let (hit, bucket) = (trip.borrow().hit, self.exposure.bucket(trip.borrow().group));
        self.exposure.sent(sent.entry.build)[bucket].add(now);
        trip.borrow_mut().tried.push(pod);
        trip.borrow_mut().out += 1;
        let trip = trip.clone();
        let then = move |router: &mut Router, host: &mut dyn Host, end| {
            router.ended(host, trip, sent, end)
        };
        host.send_attempt(hit, pod, time_out, Box::new(then));
    }

    /// A second copy for a hit whose answer is far later than nine in ten are, while few are late: what is
    /// silent then is a connection or a pod, not work. It runs beside the first, as a heavy hit is as heavy
    /// elsewhere; shares the budget of retries; and never waits past the target.
    fn plan_copy(&mut self, host: &mut dyn Host, trip: &Rc<RefCell<Trip>>, pod: PodId) {
        let group = trip.borrow().group;
        let entry = self.pods.table.get(pod).map(|pod| pod.entry);
        let usual = self
            .groups
            .slowest(group, entry.map_or(0, |e| e.machine))
            .unwrap_or(0.0);
        let after = (Router::COPY_AFTER * usual) as Nanos;
        let in_time = host.now().saturating_add(after) < trip.borrow().target_at;
        let once = trip.borrow().tried.len() == 1
            && self.groups[group].idempotency != Idempotency::NonIdempotent;
        if !(self.rules.hedging && once && in_time && after > 0) {
            return;
        }
        let (trip, sent_at) = (trip.clone(), host.now());
        let then = move |router: &mut Router, host: &mut dyn Host, ()| {
            let now = host.now();
            let alone = trip.borrow().out == 1 && trip.borrow().tried.len() == 1;
            let most = Router::RETRY_PART * router.taken.most(now) as f64;
            let calm =
                router.limit.late <= Router::COPY_CALM && (router.retried.most(now) as f64) < most;
            let left = trip
                .borrow()
                .target_at
                .min(trip.borrow().deadline)
                .saturating_sub(now);
            if !(alone && calm && left > 0 && host.is_open(trip.borrow().hit))
                || router.used_up(&trip.borrow())
            {
                return;
            }
            let first = entry.map(|entry| (sent_at, entry.zone, entry.cell));
            let before = std::mem::replace(&mut trip.borrow_mut().may_run, first);
            let chosen = router.choose(now, &trip.borrow());
            let Some(pod) = chosen else {
                return trip.borrow_mut().may_run = before;
            };
            router.retried.add(now);
            router.send(host, &trip, pod, left);
        };
        host.set_timer(after, Box::new(then));
    }

    fn ended(
        &mut self,
        host: &mut dyn Host,
        trip: Rc<RefCell<Trip>>,
        sent: Sent,
        outcome: AttemptOutcome,
    ) {
        let (now, end, build) = (host.now(), outcome.end, sent.entry.build);
        trip.borrow_mut().out -= 1;
        let group = self.groups[trip.borrow().group];
        let failed = matches!(
            end,
            AttemptEnd::Failed | AttemptEnd::TimedOut | AttemptEnd::Reset
        );
        let (slow, ratio) = self.pace(&trip.borrow(), &sent, &outcome);
        let scatter = 0.5 + 0.5 * self.chance.rand_float();
        let silent = self
            .pods
            .table
            .get(sent.pod)
            .is_none_or(|pod| self.pods.silent(now, pod));
        self.pods.ended(now, &sent, end, ratio, scatter);
        let waited = if silent { 0 } else { outcome.took };
        self.limit.ended(
            now,
            group.latency_objective,
            waited,
            end == AttemptEnd::Served,
        );
        // What fails again elsewhere is the hit's own doing: only first forwards are heard.
        if (failed || end == AttemptEnd::Served) && sent.first {
            self.evidence(now, &sent, &outcome, group.latency_objective, slow, silent);
            self.consider(host);
        }
        let newest = self.stage.is_some_and(|(stage, _)| build >= stage.build);
        // An answer may have been made and lost on its way.
        let answered = !end.never_ran() && end != AttemptEnd::Failed;
        if answered && self.exposure.rules.sticky_keys && trip.borrow().key != 0 && newest {
            self.exposure.bound.insert(trip.borrow().key);
        }
        if outcome.over || !host.is_open(trip.borrow().hit) {
            return;
        }
        let ran = !end.never_ran();
        if ran && trip.borrow().may_run.is_none() {
            trip.borrow_mut().may_run = Some((sent.at, sent.entry.zone, sent.entry.cell));
        }
        // The other copy may still deliver, and sees to the hit if it does not.
        if trip.borrow().out > 0 {
            return;
        }
        let late = now >= trip.borrow().target_at && group.late_weight <= 0.0;
        let never =
            group.idempotency == Idempotency::NonIdempotent && trip.borrow().may_run.is_some();
        // Retries are bounded by hits taken, lest a sick fleet be asked more; what never ran costs little.
        let most =
            Router::RETRY_PART * if ran { 1.0 } else { 2.0 } * self.taken.most(now) as f64 + 1.0;
        if late || never || self.retried.most(now) as f64 >= most {
            return self.give_up(host, trip);
        }
        self.retried.add(now);
        trip.borrow_mut().shy |= failed && self.cap(build).is_some();
        self.step(host, trip);
    }

    /// Whether an answer is among the slowest tenth of its path group and machine, as learnt outside trials,
    /// and how it compares to the group's mean.
    fn pace(&mut self, trip: &Trip, sent: &Sent, outcome: &AttemptOutcome) -> (bool, f64) {
        let learn = !self.on_trial() || self.hits < Router::LEARN;
        let answered = outcome.end == AttemptEnd::Served;
        let (mean, by_machine) = self.groups.learnt(trip.group);
        if by_machine.len() <= sent.entry.machine {
            by_machine.resize(sent.entry.machine + 1, 2.5 * *mean);
        }
        let (took, slowest) = (outcome.took as f64, &mut by_machine[sent.entry.machine]);
        let told = (answered || outcome.end == AttemptEnd::TimedOut) && sent.even;
        let slow = told && took > *slowest;
        if answered {
            *mean += (took - *mean) * (2.0 / self.hits as f64).clamp(0.01, 0.2);
        }
        if told && learn {
            let gain = *mean * (20.0 / self.hits as f64).clamp(0.02, 0.5);
            *slowest = (*slowest + gain * if slow { 0.9 } else { -0.1 }).min(5.0 * *mean);
        }
        (slow, took / mean.max(1.0))
    }

    /// What an outcome says of its build. A hung pod tells of its machine while others of it answer, a young
    /// one of its coldness. Lateness tells of load when a third is late, or of warming; a queue is one event.
    fn evidence(
        &mut self,
        now: Nanos,
        sent: &Sent,
        outcome: &AttemptOutcome,
        target: Nanos,
        slow: bool,
        silent: bool,
    ) {
        let (build, timed_out) = (sent.entry.build, outcome.end == AttemptEnd::TimedOut);
        let answers = |pod: &Pod| pod.strikes == 0 && !self.pods.silent(now, pod);
        let young = sent.entry.started + Judge::COLD_SKIP > sent.at;
        if young || (timed_out && silent && self.pods.table.of_build(build).any(answers)) {
            return;
        }
        self.judge
            .ended(now, build, outcome.end == AttemptEnd::Failed);
        let too_long = timed_out && outcome.took >= target;
        let late = (slow || too_long) && self.limit.late <= Limit::CROWDED && sent.warm;
        let first = late
            && self
                .pods
                .table
                .get(sent.pod)
                .is_some_and(|pod| now >= pod.late_at + target);
        let lone = self.pods.table.count_of(build) < 2;
        let Some(pod) = self.pods.table.get_mut(sent.pod) else {
            return;
        };
        let heard = pod.blame < self.judge.bounds.1 * Judge::ONE_POD;
        pod.late_at = if first { now } else { pod.late_at };
        if first && slow && heard {
            pod.blame += self.judge.slow(now, build).max(0.0);
        }
        let failed =
            (too_long && first) || matches!(outcome.end, AttemptEnd::Failed | AttemptEnd::Reset);
        if failed && (heard || lone) {
            pod.blame += self
                .judge
                .failed(now, build, outcome.end == AttemptEnd::Failed)
                .max(0.0);
        }
        let earlier = build < self.judge.build || !self.on_trial();
        if earlier && sent.even && (timed_out || outcome.end == AttemptEnd::Served) {
            self.judge.old_answer(sent.at, slow, self.taken.most(now));
        }
    }

    /// At once, whatever time is left: a bounce where a retry by the client can do no harm, else an error.
    fn give_up(&mut self, host: &mut dyn Host, trip: Rc<RefCell<Trip>>) {
        let trip = trip.borrow();
        let (group, retry_after) = (self.groups[trip.group], self.rules.max_retry_after);
        let dropped = |at: Nanos| {
            host.now() + retry_after < at + group.dedup_window
                && group.dedup_scope == DedupScope::All
        };
        let harmless =
            |(at, ..): (Nanos, ZoneId, i64)| group.idempotency == Idempotency::Keyed && dropped(at);
        match group.idempotency == Idempotency::Idempotent || trip.may_run.is_none_or(harmless) {
            true => host.reject(trip.hit, retry_after),
            false => host.fail(trip.hit),
        }
    }

    /// Whether the rules close a build to the hits of a path group and key, whatever room its cap leaves.
    fn closed(&self, group: RouteClassId, key: u64, build: Build) -> bool {
        let rules = &self.exposure.rules;
        let (newest, stage) = self
            .stage
            .map_or((0, 0), |(stage, _)| (stage.build, stage.stage));
        let full = self.exposure.bound.len() >= Exposure::MOST_KEYS;
        let bound =
            rules.sticky_keys && build < newest && (full || self.exposure.bound.contains(&key));
        let stage = if build == newest { stage } else { 0 };
        let guarded = stage < rules.idempotent_only_stages
            && self.groups[group].idempotency != Idempotency::Idempotent;
        bound || self.cap(build).is_some_and(|cap| cap <= 0.0 || guarded)
    }

    /// Whether a forward that was chosen a while ago may still go out: while it waits for a connection its
    /// pod may drain or come back as another, or the desk take the share away. One that waited long is
    /// counted again, lest forwards that were chosen apart leave together and pass the cap at once. What may
    /// have run since `ran` is not repeated past its window.
    pub fn may_still_send(
        &mut self,
        now: Nanos,
        of: (RouteClassId, u64),
        was: &Endpoint,
        at: (Nanos, Option<Nanos>),
    ) -> bool {
        let ((group, key), (chosen, ran), rules) = (of, at, self.groups[of.0]);
        let same = |pod: &Pod| {
            pod.runs() && (pod.entry.started, pod.entry.build) == (was.started, was.build)
        };
        let past = rules.idempotency == Idempotency::Keyed
            && ran.is_some_and(|ran| now >= ran + rules.dedup_window);
        if past
            || !self.pods.table.get(was.pod).is_some_and(same)
            || self.closed(group, key, was.build)
        {
            return false;
        }
        let waited = now.saturating_sub(chosen) > self.exposure.rules.window / SLICES as Nanos;
        let Some(cap) = self.cap(was.build).filter(|_| waited) else {
            return true;
        };
        let bucket = self.exposure.bucket(group);
        let room = self.exposure.room(now, was.build, group, cap, 1.0);
        if room {
            self.exposure.sent(was.build)[bucket].add(now);
        }
        room
    }

    /// The sides (running pods of one zone and build) that the rules leave open to a hit's next forward.
    fn open(&mut self, now: Nanos, trip: &Trip) -> Vec<usize> {
        let mut open = Vec::new();
        for (n, side) in self.pods.table.sides.iter().enumerate() {
            if !self.closed(trip.group, trip.key, side.build) {
                open.push((n, side.build, self.cap(side.build)));
            }
        }
        let trial = open
            .iter()
            .filter_map(|(_, build, cap)| Some((*build, (*cap)?)));
        let trial = trial.max_by_key(|(build, _)| *build);
        // The part in use is a wish, the cap is the rule: with no other pods the whole of it may be used.
        let others = open.iter().any(|(.., cap)| cap.is_none());
        let sits = !self.judge.away && self.judge.lift > 0.0;
        let part = if others {
            self.exposure.part * sits as u8 as f64
        } else {
            1.0
        };
        let trial =
            trial.filter(|(build, cap)| self.exposure.room(now, *build, trip.group, *cap, part));
        let trial = trial
            .filter(|_| !(trip.shy && others))
            .map(|(build, _)| build);
        open.retain(|(_, build, cap)| cap.is_none() || trial == Some(*build));
        open.into_iter().map(|(n, ..)| n).collect()
    }

    /// Whether a pod may take the hit; `last` is the last resort: what looks ill or failed it before.
    fn fits(&mut self, now: Nanos, trip: &Trip, id: PodId, last: bool, luck: f64) -> bool {
        let Some(pod) = self.pods.table.get(id) else {
            return false;
        };
        let group = self.groups[trip.group];
        let drops_repeats = group.idempotency != Idempotency::Keyed
            || trip.may_run.is_none_or(|(at, zone, cell)| {
                pod.entry.shares(group.dedup_scope, zone, cell) && now < at + group.dedup_window
            });
        let good = (self.pods.panic || self.pods.well(now, pod)) && !trip.tried.contains(&id);
        drops_repeats && (good || last) && self.pods.cold_room(now, id, luck)
    }

    /// Two random choices by what is in flight, near and away, then the better after the tilts. Idle ones tie
    /// and the first drawn goes: with few hits nearly all are idle, and the faster would get them all.
    fn choose(&mut self, now: Nanos, trip: &Trip) -> Option<PodId> {
        let open = self.open(now, trip);
        let sides = &self.pods.table.sides;
        let newest = open.iter().map(|n| sides[*n].build).max()?;
        // Beside the earlier pods the new ones stand for as many of them, and take over their part.
        let (new, old): (Vec<&Side>, Vec<&Side>) =
            sides.iter().partition(|side| side.build == newest);
        let [new, old] = [new, old].map(|sides| sides.iter().map(|side| side.size).sum::<f64>());
        let part = (1.0 - new / old.max(1e-9)).max(Router::STAYS);
        let stays = if self.exposure.rules.blue_green {
            part
        } else {
            1.0
        };
        let lift = if newest == self.judge.build {
            self.judge.lift.max(1.0)
        } else {
            1.0
        };
        let weigh = |n: &usize| {
            (
                *n,
                sides[*n].size
                    * if sides[*n].build == newest {
                        lift
                    } else {
                        stays
                    },
            )
        };
        let near = |(n, _): &(usize, f64)| sides[*n].zone == self.place.zone;
        let (near, away): (Vec<_>, Vec<_>) = open.iter().map(weigh).partition(near);
        let mut best: Option<(PodId, f64)> = None;
        for (drawn, tilt) in [
            (near, 1.0),
            (away, 1.0 + Router::AWAY * self.rules.cross_zone_cost),
        ] {
            for id in self.two(now, trip, &drawn) {
                let Some(pod) = self.pods.table.get(id) else {
                    continue;
                };
                let tilt = if pod.entry.build == newest {
                    tilt * Router::NEWER
                } else {
                    tilt
                };
                let score = pod.in_flight as f64 * self.pods.burden(now, pod) * tilt;
                if best.is_none_or(|(_, least)| score < least) {
                    best = Some((id, score));
                }
            }
        }
        best.map(|(id, _)| id).or_else(|| {
            let mut all: Vec<_> = open
                .iter()
                .flat_map(|n| self.pods.table.sides[*n].pods.clone())
                .collect();
            let start = self.chance.rand_range(0..all.len().max(1) as u64) as usize;
            all.rotate_left(start);
            let mut any = |last| {
                all.iter()
                    .copied()
                    .find(|id| self.fits(now, trip, *id, last, f64::MAX))
            };
            any(false).or_else(|| any(true))
        })
    }

    /// Drawn by what each pod is known to carry: two even draws often meet two weak machines.
    fn two(&mut self, now: Nanos, trip: &Trip, sides: &[(usize, f64)]) -> Vec<PodId> {
        let total: f64 = sides.iter().map(|(_, weight)| weight).sum();
        // One for all draws of this forward: a chance for each would add up to a certainty.
        let spans = self.pods.rules.overload_window as f64 / Router::RETRY_WINDOW as f64;
        let luck =
            2.0 * self.chance.rand_float() * spans * self.taken.most(now) as f64 / total.max(1e-9);
        let mut drawn = Vec::new();
        for _ in 0..Router::DRAWS {
            let at = [self.chance.rand_float() * total, self.chance.rand_float()];
            let Some((id, mean)) = self.pods.table.draw(sides, at).filter(|_| drawn.len() < 2)
            else {
                break;
            };
            let carries = self
                .pods
                .table
                .get(id)
                .map_or(0.0, |p| 0.5 / (self.pods.burden(now, p) * mean));
            let taken = self.chance.rand_float() < carries && !drawn.contains(&id);
            if taken && self.fits(now, trip, id, false, luck) {
                drawn.push(id);
            }
        }
        drawn
    }
}

/// Returns the word for a vote in the log. Traces record the line and a replay compares it, so the words stay as the
/// first recorded traces have them.
fn recorded_word(vote: Vote) -> &'static str {
    match vote {
        Vote::None => "None",
        Vote::Advance => "On",
        Vote::Hold => "Hold",
        Vote::RollBack => "Back",
    }
}
