//! Endpoint selection: which pod gets the next attempt of a request.
//!
//! Inputs: the pod groups that the exposure cap leaves eligible, attempts in flight, learnt slowness, warm-up
//! and zones. Two pods of this instance's zone and two of other zones are drawn at random. Their loads are
//! multiplied by factors for zone and build, and the pod with the least load is chosen. Risk: a pod that looks
//! idle because it fails quickly attracts requests until it is ejected.

mod subset;

use crate::interface::{AttemptEnd, Build, Idempotency, Nanos, PodId};
use crate::pod_table::{Pod, WeightedGroup};
use crate::request::InFlightRequest;
use crate::retry::RetryBudget;
use crate::router::Router;
use crate::time::SECOND;
pub(crate) use subset::Subsetting;

/// The inverse of the golden ratio. If consecutive integers are multiplied by it, the fractional parts of the products
/// are spread evenly from 0 to 1. So the ranks of instances give evenly spread values, whichever instances share a
/// zone.
pub(crate) const INVERSE_GOLDEN_RATIO: f64 = 0.618_033_988_749_895;
/// The load factor of the newest build's pods. A pod of an earlier build is preferred to a newest one only if its load
/// is below this fraction of the newest pod's load.
const NEWEST_BUILD_LOAD_FACTOR: f64 = 0.6;
/// What a cross-zone cost of 1 adds to the load factor of pods in other zones.
const CROSS_ZONE_LOAD_FACTOR: f64 = 12.0;
/// The smallest fraction of their weight that the earlier build's pods keep: the sequential test needs answers of both
/// builds.
const MIN_EARLIER_FRACTION: f64 = 0.4;
/// The probability that a drawn pod is accepted if its capacity equals the mean of its group.
const ACCEPTANCE: f64 = 0.5;
/// The demand for slow start is multiplied by a random number, uniform from 0 to this number: 1 on average.
const MAX_DEMAND_FACTOR: f64 = 2.0;
/// The greatest number of draws that are made to find two pods.
const MAX_DRAWS: u32 = 16;
/// The weight of the latest answer in a pod's slowness.
const SLOWNESS_LEARNING_RATE: f64 = 0.1;
/// The greatest slowness that a single answer can count as.
const MAX_SLOWNESS: f64 = 10.0;
/// The time, in nanoseconds, in which a learnt slowness decays towards 1 until 1/e of the difference is left.
const SLOWNESS_DECAY_TIME: f64 = 5.0 * SECOND as f64;

/// Updates the slowness of a pod from an attempt that took `ratio` times the mean of its route class.
pub(crate) fn learn_slowness(now: Nanos, pod: &mut Pod, end: AttemptEnd, ratio: f64) {
    if matches!(end, AttemptEnd::Served | AttemptEnd::TimedOut) {
        pod.slowness += (ratio.min(MAX_SLOWNESS) - pod.slowness) * SLOWNESS_LEARNING_RATE;
        pod.slowness_updated_at = now;
    }
}

/// A pod that may be chosen, with its load after the load factors.
struct Candidate {
    pod: PodId,
    load: f64,
}

impl Router {
    /// Returns the pod for the next attempt, or `None` where no pod may get it.
    pub(crate) fn choose_pod(&mut self, now: Nanos, request: &InFlightRequest) -> Option<PodId> {
        let eligible = self.eligible_groups(now, request.class, request.key, request.avoids_trial);
        let groups = &self.pods.groups;
        let newest = eligible.iter().map(|index| groups[*index].build).max()?;
        let weighted = self.weigh_groups(&eligible, newest);
        let zone = self.position.zone;
        let (local, remote): (Vec<_>, Vec<_>) = weighted
            .into_iter()
            .partition(|group| self.pods.groups[group.index].zone == zone);
        let remote_load_factor =
            1.0 + CROSS_ZONE_LOAD_FACTOR * self.attempt_settings.cross_zone_cost;
        let mut best = None;
        self.draw_candidates(now, request, &local, 1.0, newest, &mut best);
        self.draw_candidates(now, request, &remote, remote_load_factor, newest, &mut best);
        match best {
            Some(Candidate { pod, .. }) => Some(pod),
            None => self.choose_any(now, request, &eligible),
        }
    }

    /// Weighs the groups by their size. Where the pods of the earlier build keep running beside the newest ones,
    /// each newest pod replaces an earlier one, so the weight of the earlier build is reduced accordingly. The build
    /// on trial is weighted by the oversampling of this instance.
    fn weigh_groups(&self, eligible: &[usize], newest: Build) -> Vec<WeightedGroup> {
        let groups = &self.pods.groups;
        let size = |of_newest: bool| -> f64 {
            let of_build = groups
                .iter()
                .filter(|group| (group.build == newest) == of_newest);
            of_build.map(|group| group.size).sum()
        };
        let earlier_factor = if self.exposure.settings.blue_green {
            (1.0 - size(true) / size(false).max(1e-9)).max(MIN_EARLIER_FRACTION)
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
        eligible.iter().map(weigh).collect()
    }

    /// Draws two pods and keeps the least loaded in `best`. Idle pods tie, and the one drawn first is kept: with few
    /// requests nearly all pods are idle, and a preference for the fastest would send it all requests.
    fn draw_candidates(
        &mut self,
        now: Nanos,
        request: &InFlightRequest,
        groups: &[WeightedGroup],
        load_factor: f64,
        newest: Build,
        best: &mut Option<Candidate>,
    ) {
        for id in self.draw_two(now, request, groups) {
            let Some(pod) = self.pods.get(id) else {
                continue;
            };
            let load_factor = if pod.endpoint.build == newest {
                load_factor * NEWEST_BUILD_LOAD_FACTOR
            } else {
                load_factor
            };
            let load = pod.in_flight as f64 * self.load_per_attempt(now, pod) * load_factor;
            if best.as_ref().is_none_or(|best| load < best.load) {
                *best = Some(Candidate { pod: id, load });
            }
        }
    }

    /// Draws two pods, each with a probability that grows with its known capacity: two uniform draws often find two
    /// weak machines.
    fn draw_two(
        &mut self,
        now: Nanos,
        request: &InFlightRequest,
        groups: &[WeightedGroup],
    ) -> Vec<PodId> {
        let total: f64 = groups.iter().map(|group| group.weight).sum();
        // One draw for all pods of this call. With a draw per pod, one of several pods that warm up would nearly always
        // pass the check in `slow_start`.
        let window_ratio =
            self.slow_start.settings.overload_window as f64 / RetryBudget::WINDOW as f64;
        let requests = self.retry_budget.requests(now) as f64;
        let demand_draw = MAX_DEMAND_FACTOR * self.random.rand_float() * window_ratio * requests
            / total.max(1e-9);
        let mut chosen = Vec::new();
        for _ in 0..MAX_DRAWS {
            let group_point = self.random.rand_float() * total;
            let pod_point = self.random.rand_float();
            let drawn = self.pods.draw(groups, group_point, pod_point);
            let Some(drawn) = drawn.filter(|_| chosen.len() < 2) else {
                break;
            };
            let acceptance = self.pods.get(drawn.id).map_or(0.0, |pod| {
                ACCEPTANCE / (self.load_per_attempt(now, pod) * drawn.mean_size)
            });
            let accepted = self.random.rand_float() < acceptance && !chosen.contains(&drawn.id);
            if accepted && self.is_selectable(now, request, drawn.id, false, demand_draw) {
                chosen.push(drawn.id);
            }
        }
        chosen
    }

    /// Returns any pod that may get the request, searching from a random one on. As a last resort returns one that
    /// looks unhealthy or that the request has already tried.
    fn choose_any(
        &mut self,
        now: Nanos,
        request: &InFlightRequest,
        eligible: &[usize],
    ) -> Option<PodId> {
        let groups = &self.pods.groups;
        let pods = eligible
            .iter()
            .flat_map(|index| groups[*index].pods.clone());
        let mut pods: Vec<PodId> = pods.collect();
        let start = self.random.rand_range(0..pods.len().max(1) as u64) as usize;
        pods.rotate_left(start);
        let mut find_pod = |last_resort| {
            let mut ids = pods.iter().copied();
            ids.find(|id| self.is_selectable(now, request, *id, last_resort, f64::MAX))
        };
        find_pod(false).or_else(|| find_pod(true))
    }

    /// Whether a pod may get the next attempt of a request. `demand_draw` is for [`SlowStart::has_room`].
    fn is_selectable(
        &mut self,
        now: Nanos,
        request: &InFlightRequest,
        id: PodId,
        last_resort: bool,
        demand_draw: f64,
    ) -> bool {
        let Some(pod) = self.pods.get(id) else {
            return false;
        };
        let rules = self.route_classes[request.class];
        // Restricts keyed requests only: a repeat must go to a pod that still drops repeats of the first run.
        let repeat_is_safe = rules.idempotency != Idempotency::Keyed
            || request.possible_run.is_none_or(|run| {
                pod.endpoint
                    .shares_dedup(rules.dedup_scope, run.zone, run.cell)
                    && now < run.at + rules.dedup_window
            });
        let healthy = self.outlier.panic_mode || self.outlier.is_healthy(now, pod);
        let is_preferred = healthy && !request.tried.contains(&id);
        repeat_is_safe
            && (is_preferred || last_resort)
            && self
                .slow_start
                .has_room(now, &mut self.pods, id, demand_draw)
    }

    /// Returns the load that each attempt in flight puts on a pod: its slowness divided by its size and its warmth.
    fn load_per_attempt(&self, now: Nanos, pod: &Pod) -> f64 {
        let idle = now.saturating_sub(pod.slowness_updated_at) as f64 / SLOWNESS_DECAY_TIME;
        let slowness = 1.0 + (pod.slowness - 1.0) * (-idle).exp();
        let warmth = self.slow_start.warmth(now, &pod.endpoint);
        slowness / (pod.endpoint.size.max(1e-9) * warmth)
    }
}
