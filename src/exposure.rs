//! The exposure cap: the share of the attempts that a build on trial may take.
//!
//! Inputs: the attempts sent to the build and the requests received over the cap's window, the announced stage
//! and the idempotency of the route class. The cap is never exceeded. How much of it is used depends on the
//! sequential test: the fraction is reduced while the test is in doubt about the build. Risks: a build that gets
//! too few attempts never gets a verdict; where there are no other pods, the cap rejects requests.

mod counts;

use crate::interface::{
    AttemptEnd, Build, Endpoint, ExposureSettings, Idempotency, Nanos, Phase, RouteClassId, Stage,
};
use crate::pod_table::Pod;
use crate::request::Attempt;
use crate::router::Router;
use crate::time::SECOND;
pub(crate) use counts::ExposureCounts;
use std::collections::HashSet;

/// The number of slices of every sliding window. A count of a window is wrong by the content of two slices at most.
pub(crate) const WINDOW_SLICES: usize = 40;
/// The smallest fraction of a cap that is used. With less, the sequential test would get too few attempts to settle
/// a doubt.
const MIN_FRACTION: f64 = 0.4;
/// The greatest number of keys that are remembered as answered by the newest build. Once this number is reached, every
/// key counts as answered by that build.
const MAX_STICKY_KEYS: usize = 1 << 16;
const FRACTION_UPDATE_INTERVAL: Nanos = SECOND;
/// The factor of the used fraction at each update while the sequential test is in doubt.
const DOUBT_FACTOR: f64 = 0.5;
/// The factor of the used fraction at each update while the sequential test is not in doubt.
const GROWTH_FACTOR: f64 = 2.0;

/// The stage that the control plane announced last, with the time when it began.
#[derive(Clone, Copy)]
pub(crate) struct AnnouncedStage {
    pub(crate) stage: Stage,
    pub(crate) began: Nanos,
}

/// The state of the exposure cap.
pub(crate) struct Exposure {
    pub(crate) settings: ExposureSettings,
    pub(crate) counts: ExposureCounts,
    /// The fraction of the cap in use.
    used_fraction: f64,
    fraction_updated_at: Nanos,
    started_at: Nanos,
    /// The keys that the newest build has answered. Filled only where the settings make keys sticky.
    sticky_keys: HashSet<u64>,
}

impl Exposure {
    /// The fraction of the cap in use at the start of a stage.
    pub(crate) const INITIAL_FRACTION: f64 = 0.8;

    pub(crate) fn new(settings: ExposureSettings, now: Nanos, classes: usize) -> Exposure {
        Exposure {
            counts: ExposureCounts::new(&settings, classes, WINDOW_SLICES),
            settings,
            used_fraction: Exposure::INITIAL_FRACTION,
            fraction_updated_at: now,
            started_at: now,
            sticky_keys: HashSet::new(),
        }
    }

    /// Returns the attempts in a window that are allowed in addition to the cap. None are allowed in the first window
    /// after the start, as this instance may have used them before a restart.
    fn free_attempts(&self, now: Nanos) -> f64 {
        if now - self.started_at <= self.settings.window {
            0.0
        } else {
            self.settings.free_attempts
        }
    }

    /// Returns the cap plus the free attempts, as a share of the requests received in a window.
    pub(crate) fn share(&mut self, now: Nanos, cap: f64) -> f64 {
        let requests = self.counts.all_requests(now);
        cap + self.free_attempts(now) / requests.max(1) as f64
    }

    /// Whether one more attempt fits into `fraction` of a cap.
    fn has_room(
        &mut self,
        now: Nanos,
        build: Build,
        class: RouteClassId,
        cap: f64,
        fraction: f64,
    ) -> bool {
        let free = self.free_attempts(now);
        let requests = self.counts.requests(now, class) as f64;
        let limit = fraction * (free + cap * requests);
        self.counts.attempts(now, build, class) as f64 + 1.0 <= limit
    }

    /// Returns the fraction of the cap that may be used now. Without other builds it is 1. While other builds can
    /// take the remaining attempts it is the fraction in use, or 0 where this instance does not send to the build on
    /// trial.
    fn usable_fraction(&self, other_builds: bool, sends_to_trial: bool) -> f64 {
        if other_builds {
            self.used_fraction * sends_to_trial as u8 as f64
        } else {
            1.0
        }
    }

    pub(crate) fn is_fraction_update_due(&self, now: Nanos) -> bool {
        now >= self.fraction_updated_at + FRACTION_UPDATE_INTERVAL
    }

    /// Halves the fraction in use while in doubt; doubles it otherwise.
    pub(crate) fn update_used_fraction(&mut self, now: Nanos, in_doubt: bool) {
        let factor = if in_doubt {
            DOUBT_FACTOR
        } else {
            GROWTH_FACTOR
        };
        self.used_fraction = (self.used_fraction * factor).clamp(MIN_FRACTION, 1.0);
        self.fraction_updated_at = now;
    }

    pub(crate) fn restart_stage(&mut self) {
        self.used_fraction = Exposure::INITIAL_FRACTION;
    }

    pub(crate) fn forget_sticky_keys(&mut self) {
        self.sticky_keys.clear();
    }

    fn is_key_sticky(&self, key: u64) -> bool {
        self.sticky_keys.len() >= MAX_STICKY_KEYS || self.sticky_keys.contains(&key)
    }
}

/// A pod group that the rules do not exclude, with the cap of its build.
struct EligibleGroup {
    index: usize,
    build: Build,
    cap: Option<f64>,
}

impl Router {
    /// Returns the cap of a build, or `None` where the build is not capped. A build newer than the announced one
    /// counts as in its first stage. Before any announcement, so does a build newer than the oldest listed one. Where
    /// keys are sticky the cap of such a build is 0, as requests with the keys that it answers could not be kept at it.
    pub(crate) fn cap(&self, build: Build) -> Option<f64> {
        let first_cap = if self.exposure.settings.sticky_keys {
            0.0
        } else {
            let caps = &self.exposure.settings.caps;
            caps.first().copied().unwrap_or(0.0)
        };
        let announced = self.announced.map(|announced| announced.stage);
        let oldest = || self.pods.groups.iter().map(|group| group.build).min();
        match announced.map(|stage| stage.build).or_else(oldest) {
            Some(current) if build > current => Some(first_cap),
            current => announced
                .filter(|stage| current == Some(build) && stage.phase != Phase::Released)
                .map(|stage| stage.cap),
        }
    }

    /// Makes a key sticky once the newest build may have answered it. An attempt without a received answer counts as
    /// well, as its answer may have been lost.
    pub(crate) fn record_sticky_key(&mut self, key: u64, attempt: &Attempt, end: AttemptEnd) {
        let build = attempt.endpoint.build;
        let newest = self
            .announced
            .is_some_and(|announced| build >= announced.stage.build);
        let answered = !end.never_ran() && end != AttemptEnd::Failed;
        if answered && self.exposure.settings.sticky_keys && key != 0 && newest {
            self.exposure.sticky_keys.insert(key);
        }
    }

    /// Whether a request avoids the build on trial from now on, because an attempt at a capped build failed.
    pub(crate) fn avoids_trial_after(&self, attempt: &Attempt, end: AttemptEnd) -> bool {
        end.is_failure() && self.cap(attempt.endpoint.build).is_some()
    }

    /// Whether the announced build is on trial and has running pods.
    pub(crate) fn on_trial(&self) -> bool {
        self.announced.is_some_and(|announced| {
            announced.stage.phase == Phase::Trial
                && self.pods.count_of_build(announced.stage.build) > 0
        })
    }

    /// Whether the rules exclude a build for the requests of a class and key, however many attempts its cap allows.
    fn is_excluded(&self, class: RouteClassId, key: u64, build: Build) -> bool {
        let settings = &self.exposure.settings;
        let announced = self.announced.map(|announced| announced.stage);
        let newest = announced.map_or(0, |stage| stage.build);
        let newest_stage = announced.map_or(0, |stage| stage.stage);
        let sticky = settings.sticky_keys && build < newest && self.exposure.is_key_sticky(key);
        let stage = if build == newest { newest_stage } else { 0 };
        let idempotent_only = stage < settings.idempotent_only_stages
            && self.route_classes[class].idempotency != Idempotency::Idempotent;
        sticky
            || self
                .cap(build)
                .is_some_and(|cap| cap <= 0.0 || idempotent_only)
    }

    /// Returns the indices of the pod groups that may get the next attempt of a request.
    pub(crate) fn eligible_groups(
        &mut self,
        now: Nanos,
        class: RouteClassId,
        key: u64,
        avoids_trial: bool,
    ) -> Vec<usize> {
        let mut eligible = Vec::new();
        for (index, group) in self.pods.groups.iter().enumerate() {
            let build = group.build;
            if !self.is_excluded(class, key, build) {
                let cap = self.cap(build);
                eligible.push(EligibleGroup { index, build, cap });
            }
        }
        let other_builds = eligible.iter().any(|group| group.cap.is_none());
        let trial = eligible
            .iter()
            .filter_map(|group| Some((group.build, group.cap?)))
            .max_by_key(|(build, _)| *build);
        let sends_to_trial =
            !self.sequential_test.periods.withheld && self.sequential_test.oversampling > 0.0;
        let fraction = self.exposure.usable_fraction(other_builds, sends_to_trial);
        let trial =
            trial.filter(|(build, cap)| self.exposure.has_room(now, *build, class, *cap, fraction));
        let trial = trial
            .filter(|_| !(avoids_trial && other_builds))
            .map(|(build, _)| build);
        eligible.retain(|group| group.cap.is_none() || trial == Some(group.build));
        eligible.into_iter().map(|group| group.index).collect()
    }

    /// Whether an attempt may still be sent to a pod that was chosen some time ago. While the attempt waits for a
    /// connection, its pod may drain or restart, or the stage may change. An attempt that waited long is counted
    /// again: otherwise attempts chosen at different times could be sent together and exceed the cap at once. A keyed
    /// request that may have run is not repeated after its deduplication window.
    ///
    /// `request` is the route class and the key, `endpoint` the pod as it was when it was chosen. `times` are when
    /// the pod was chosen, and when the request may have run first.
    pub fn may_still_send(
        &mut self,
        now: Nanos,
        request: (RouteClassId, u64),
        endpoint: &Endpoint,
        times: (Nanos, Option<Nanos>),
    ) -> bool {
        let (class, key) = request;
        let (chosen_at, ran_at) = times;
        let build = endpoint.build;
        let rules = self.route_classes[class];
        let past_window = rules.idempotency == Idempotency::Keyed
            && ran_at.is_some_and(|ran_at| now >= ran_at + rules.dedup_window);
        let is_same_pod = |pod: &Pod| {
            pod.is_running()
                && pod.endpoint.started == endpoint.started
                && pod.endpoint.build == build
        };
        if past_window
            || !self.pods.get(endpoint.pod).is_some_and(is_same_pod)
            || self.is_excluded(class, key, build)
        {
            return false;
        }
        let slice = self.exposure.settings.window / WINDOW_SLICES as Nanos;
        let waited_long = now.saturating_sub(chosen_at) > slice;
        let Some(cap) = self.cap(build).filter(|_| waited_long) else {
            return true;
        };
        let has_room = self.exposure.has_room(now, build, class, cap, 1.0);
        if has_room {
            self.exposure.counts.add_attempt(now, build, class);
        }
        has_room
    }
}
