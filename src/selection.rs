//! Endpoint selection: which pod gets the next attempt of a request.
//!
//! Inputs: the pod groups left open by the exposure cap, attempts in flight, learnt slowness, warm-up and
//! zones. Two pods are drawn at random near and two in other zones, and the least loaded of them is taken
//! after tilts for zone and build. Harm: a pod that looks idle because it fails quickly draws requests until
//! it is ejected.

mod subset;

use crate::interface::{AttemptEnd, Build, Idempotency, Nanos, PodId};
use crate::pod_table::{Pod, WeightedGroup};
use crate::request::InFlightRequest;
use crate::retry::RetryBudget;
use crate::router::Router;
use crate::time::SECOND;
pub(crate) use subset::Subsetting;

/// Its multiples spread evenly over any run of numbers, whichever of them share a zone.
pub(crate) const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;
/// How much less loaded an earlier build's pod must be to be chosen over the newest's.
const NEWEST_BUILD_TILT: f64 = 0.6;
/// The tilt against other zones for each point that crossing costs.
const CROSS_ZONE_TILT: f64 = 12.0;
/// The part of their weight that the earlier build's pods keep at least: the sequential test needs both.
const MIN_EARLIER_PART: f64 = 0.4;
/// The chance that a drawn pod is taken which carries as much as the mean of its group.
const ACCEPTANCE: f64 = 0.5;
/// The end of the range that slow start's luck is drawn from, so that its mean is 1.
const MAX_LUCK: f64 = 2.0;
/// Draws for two pods, at most.
const MAX_DRAWS: u32 = 16;
/// The weight of the latest answer in a pod's slowness, and the greatest slowness that one answer can show.
const SLOWNESS_LEARNING_RATE: f64 = 0.1;
const MAX_SLOWNESS: f64 = 10.0;
/// The time, in nanoseconds, after which a learnt slowness has faded to 1/e.
const SLOWNESS_FADES_IN: f64 = 5.0 * SECOND as f64;

/// Learns how slow a pod is from an attempt that took `ratio` times its route class's mean.
pub(crate) fn learn_slowness(now: Nanos, pod: &mut Pod, end: AttemptEnd, ratio: f64) {
    if matches!(end, AttemptEnd::Served | AttemptEnd::TimedOut) {
        pod.slowness += (ratio.min(MAX_SLOWNESS) - pod.slowness) * SLOWNESS_LEARNING_RATE;
        pod.slowness_updated_at = now;
    }
}

/// A pod that may be chosen, with its load after the tilts.
struct Candidate {
    pod: PodId,
    load: f64,
}

impl Router {
    /// The pod for the next attempt, or none where the rules leave none open.
    pub(crate) fn choose_pod(&mut self, now: Nanos, request: &InFlightRequest) -> Option<PodId> {
        let open = self.open_groups(now, request.class, request.key, request.avoids_trial);
        let groups = &self.pods.groups;
        let newest = open.iter().map(|index| groups[*index].build).max()?;
        let weighted = self.weigh_groups(&open, newest);
        let zone = self.position.zone;
        let (near, other): (Vec<_>, Vec<_>) = weighted
            .into_iter()
            .partition(|group| self.pods.groups[group.index].zone == zone);
        let other_tilt = 1.0 + CROSS_ZONE_TILT * self.attempt_settings.cross_zone_cost;
        let mut best = None;
        self.draw_candidates(now, request, &near, 1.0, newest, &mut best);
        self.draw_candidates(now, request, &other, other_tilt, newest, &mut best);
        match best {
            Some(Candidate { pod, .. }) => Some(pod),
            None => self.choose_any(now, request, &open),
        }
    }

    /// Groups by their size. Beside the earlier build's pods the newest ones stand for as many of them and
    /// take over their part; a build on trial is drawn by what sampling adds.
    fn weigh_groups(&self, open: &[usize], newest: Build) -> Vec<WeightedGroup> {
        let groups = &self.pods.groups;
        let size = |of_newest: bool| -> f64 {
            let of_build = groups
                .iter()
                .filter(|group| (group.build == newest) == of_newest);
            of_build.map(|group| group.size).sum()
        };
        let earlier_factor = if self.exposure.settings.blue_green {
            (1.0 - size(true) / size(false).max(1e-9)).max(MIN_EARLIER_PART)
        } else {
            1.0
        };
        let newest_factor = if newest == self.sequential_test.build {
            self.sequential_test.oversampling.max(1.0)
        } else {
            1.0
        };
        let weigh = |index: &usize| {
            let group = &groups[*index];
            let factor = if group.build == newest {
                newest_factor
            } else {
                earlier_factor
            };
            WeightedGroup {
                index: *index,
                weight: group.size * factor,
            }
        };
        open.iter().map(weigh).collect()
    }

    /// Draws two pods and keeps the least loaded. Idle ones tie and the first drawn goes: with few requests
    /// nearly all are idle, and the fastest would get them all.
    fn draw_candidates(
        &mut self,
        now: Nanos,
        request: &InFlightRequest,
        groups: &[WeightedGroup],
        tilt: f64,
        newest: Build,
        best: &mut Option<Candidate>,
    ) {
        for id in self.draw_two(now, request, groups) {
            let Some(pod) = self.pods.get(id) else {
                continue;
            };
            let tilt = if pod.endpoint.build == newest {
                tilt * NEWEST_BUILD_TILT
            } else {
                tilt
            };
            let load = pod.in_flight as f64 * self.burden(now, pod) * tilt;
            if best.as_ref().is_none_or(|best| load < best.load) {
                *best = Some(Candidate { pod: id, load });
            }
        }
    }

    /// Two pods, drawn by what each is known to carry: two even draws often meet two weak machines.
    fn draw_two(
        &mut self,
        now: Nanos,
        request: &InFlightRequest,
        groups: &[WeightedGroup],
    ) -> Vec<PodId> {
        let total: f64 = groups.iter().map(|group| group.weight).sum();
        // Drawn once per attempt: drawn per pod, some warming pod would nearly always pass (`slow_start`).
        let windows = self.slow_start.settings.overload_window as f64 / RetryBudget::WINDOW as f64;
        let requests = self.retry_budget.requests(now) as f64;
        let luck = MAX_LUCK * self.random.rand_float() * windows * requests / total.max(1e-9);
        let mut chosen = Vec::new();
        for _ in 0..MAX_DRAWS {
            let group_point = self.random.rand_float() * total;
            let pod_point = self.random.rand_float();
            let drawn = self.pods.draw(groups, group_point, pod_point);
            let Some(drawn) = drawn.filter(|_| chosen.len() < 2) else {
                break;
            };
            let acceptance = self.pods.get(drawn.id).map_or(0.0, |pod| {
                ACCEPTANCE / (self.burden(now, pod) * drawn.mean_size)
            });
            let taken = self.random.rand_float() < acceptance && !chosen.contains(&drawn.id);
            if taken && self.may_take(now, request, drawn.id, false, luck) {
                chosen.push(drawn.id);
            }
        }
        chosen
    }

    /// Any pod that may take the request, from a random one on; as the last resort one that looks unhealthy
    /// or failed it before.
    fn choose_any(
        &mut self,
        now: Nanos,
        request: &InFlightRequest,
        open: &[usize],
    ) -> Option<PodId> {
        let groups = &self.pods.groups;
        let pods = open.iter().flat_map(|index| groups[*index].pods.clone());
        let mut pods: Vec<PodId> = pods.collect();
        let start = self.random.rand_range(0..pods.len().max(1) as u64) as usize;
        pods.rotate_left(start);
        let mut first = |last_resort| {
            let mut ids = pods.iter().copied();
            ids.find(|id| self.may_take(now, request, *id, last_resort, f64::MAX))
        };
        first(false).or_else(|| first(true))
    }

    fn may_take(
        &mut self,
        now: Nanos,
        request: &InFlightRequest,
        id: PodId,
        last_resort: bool,
        luck: f64,
    ) -> bool {
        let Some(pod) = self.pods.get(id) else {
            return false;
        };
        let rules = self.route_classes[request.class];
        // Only a keyed request can fail this: a repeat has to go where the first run is still remembered.
        let repeat_is_safe = rules.idempotency != Idempotency::Keyed
            || request.possible_run.is_none_or(|run| {
                pod.endpoint
                    .shares_dedup(rules.dedup_scope, run.zone, run.cell)
                    && now < run.at + rules.dedup_window
            });
        let healthy = self.outlier.panic_mode || self.outlier.is_healthy(now, pod);
        let good = healthy && !request.tried.contains(&id);
        repeat_is_safe
            && (good || last_resort)
            && self.slow_start.has_room(now, &mut self.pods, id, luck)
    }

    /// How slow a pod is for its size, and so how much each attempt in flight there weighs.
    fn burden(&self, now: Nanos, pod: &Pod) -> f64 {
        let idle = now.saturating_sub(pod.slowness_updated_at) as f64 / SLOWNESS_FADES_IN;
        let slowness = 1.0 + (pod.slowness - 1.0) * (-idle).exp();
        let warmth = self.slow_start.warmth(now, &pod.endpoint);
        slowness / (pod.endpoint.size.max(1e-9) * warmth)
    }
}
