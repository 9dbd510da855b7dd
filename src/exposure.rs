//! The exposure cap: how much of the attempts a build on trial may take.
//!
//! Inputs: attempts sent to the build and requests taken over the cap's window, the announced stage, the
//! idempotency of the route class. The cap is a hard rule; the part of it that is used follows the sequential
//! test's doubt. Harm: a build that gets too little is never judged; without other pods a cap rejects
//! requests.

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

/// The slices of every sliding window: what a window counts is off by two slices at most.
pub(crate) const WINDOW_SLICES: usize = 40;
/// The least part of a cap that is used: with less, the test of what could settle a doubt would starve.
const MIN_PART: f64 = 0.4;
/// Keys that are remembered as answered by the newest build; beyond, every key counts as such.
const MAX_STICKY_KEYS: usize = 1 << 16;
const PART_UPDATE_INTERVAL: Nanos = SECOND;
/// What the used part is multiplied by at each update, in doubt and else.
const DOUBT_FACTOR: f64 = 0.5;
const GROWTH_FACTOR: f64 = 2.0;

/// The stage that the control plane announced last.
#[derive(Clone, Copy)]
pub(crate) struct AnnouncedStage {
    pub(crate) stage: Stage,
    pub(crate) began: Nanos,
}

/// The use of the cap.
pub(crate) struct Exposure {
    pub(crate) settings: ExposureSettings,
    pub(crate) counts: ExposureCounts,
    /// The part of the cap in use.
    part: f64,
    part_updated_at: Nanos,
    started_at: Nanos,
    /// Keys that the newest build has answered, where that binds them to it.
    sticky_keys: HashSet<u64>,
}

impl Exposure {
    /// The part of the cap that is used from a stage's start.
    pub(crate) const INITIAL_PART: f64 = 0.8;

    pub(crate) fn new(settings: ExposureSettings, now: Nanos, classes: usize) -> Exposure {
        Exposure {
            counts: ExposureCounts::new(&settings, classes, WINDOW_SLICES),
            settings,
            part: Exposure::INITIAL_PART,
            part_updated_at: now,
            started_at: now,
            sticky_keys: HashSet::new(),
        }
    }

    /// Attempts in a window that no cap counts; none at first, as an earlier life may have used them.
    fn free_attempts(&self, now: Nanos) -> f64 {
        if now - self.started_at <= self.settings.window {
            0.0
        } else {
            self.settings.free_attempts
        }
    }

    /// What a cap and the free attempts together are of the requests taken in a window.
    pub(crate) fn share(&mut self, now: Nanos, cap: f64) -> f64 {
        let requests = self.counts.all_requests(now);
        cap + self.free_attempts(now) / requests.max(1) as f64
    }

    /// Whether `part` of a cap leaves room for one more attempt.
    fn has_room(
        &mut self,
        now: Nanos,
        build: Build,
        class: RouteClassId,
        cap: f64,
        part: f64,
    ) -> bool {
        let free = self.free_attempts(now);
        let requests = self.counts.requests(now, class) as f64;
        let most = part * (free + cap * requests);
        self.counts.attempts(now, build, class) as f64 + 1.0 <= most
    }

    /// The part of the cap in use for as long as other builds can take the rest; without them the whole of
    /// it.
    fn usable_part(&self, others: bool, sends: bool) -> f64 {
        if others {
            self.part * sends as u8 as f64
        } else {
            1.0
        }
    }

    pub(crate) fn is_part_update_due(&self, now: Nanos) -> bool {
        now >= self.part_updated_at + PART_UPDATE_INTERVAL
    }

    /// Halves the part in use on doubt and doubles it else.
    pub(crate) fn update_part(&mut self, now: Nanos, in_doubt: bool) {
        let factor = if in_doubt {
            DOUBT_FACTOR
        } else {
            GROWTH_FACTOR
        };
        self.part = (self.part * factor).clamp(MIN_PART, 1.0);
        self.part_updated_at = now;
    }

    pub(crate) fn restart_stage(&mut self) {
        self.part = Exposure::INITIAL_PART;
    }

    pub(crate) fn forget_sticky_keys(&mut self) {
        self.sticky_keys.clear();
    }

    fn is_key_bound(&self, key: u64) -> bool {
        self.sticky_keys.len() >= MAX_STICKY_KEYS || self.sticky_keys.contains(&key)
    }
}

/// A pod group that the rules leave open, and the cap its build is under.
struct OpenGroup {
    index: usize,
    build: Build,
    cap: Option<f64>,
}

impl Router {
    /// The cap a build is under, or none where it is not on trial. One not announced is in its first stage;
    /// where keys stick it gets nothing, as keys that it answered could not be held to it.
    pub(crate) fn cap(&self, build: Build) -> Option<f64> {
        let first = if self.exposure.settings.sticky_keys {
            0.0
        } else {
            let caps = &self.exposure.settings.caps;
            caps.first().copied().unwrap_or(0.0)
        };
        let announced = self.announced.map(|announced| announced.stage);
        let oldest = || self.pods.groups.iter().map(|group| group.build).min();
        match announced.map(|stage| stage.build).or_else(oldest) {
            Some(known) if build > known => Some(first),
            known => announced
                .filter(|stage| known == Some(build) && stage.phase != Phase::Released)
                .map(|stage| stage.cap),
        }
    }

    /// Binds a key to the newest build once that may have answered it: an answer may have been made and lost.
    pub(crate) fn bind_answered_key(&mut self, key: u64, attempt: &Attempt, end: AttemptEnd) {
        let build = attempt.endpoint.build;
        let newest = self
            .announced
            .is_some_and(|announced| build >= announced.stage.build);
        let answered = !end.never_ran() && end != AttemptEnd::Failed;
        if answered && self.exposure.settings.sticky_keys && key != 0 && newest {
            self.exposure.sticky_keys.insert(key);
        }
    }

    /// Whether a request avoids the build on trial after such an attempt.
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

    /// Whether the rules close a build to the requests of a class and key, whatever room its cap leaves.
    fn is_closed(&self, class: RouteClassId, key: u64, build: Build) -> bool {
        let settings = &self.exposure.settings;
        let announced = self.announced.map(|announced| announced.stage);
        let newest = announced.map_or(0, |stage| stage.build);
        let newest_stage = announced.map_or(0, |stage| stage.stage);
        let bound = settings.sticky_keys && build < newest && self.exposure.is_key_bound(key);
        let stage = if build == newest { newest_stage } else { 0 };
        let guarded = stage < settings.idempotent_only_stages
            && self.route_classes[class].idempotency != Idempotency::Idempotent;
        bound || self.cap(build).is_some_and(|cap| cap <= 0.0 || guarded)
    }

    /// The pod groups, by index, that the rules leave open to the next attempt of a request.
    pub(crate) fn open_groups(
        &mut self,
        now: Nanos,
        class: RouteClassId,
        key: u64,
        avoids_trial: bool,
    ) -> Vec<usize> {
        let mut open = Vec::new();
        for (index, group) in self.pods.groups.iter().enumerate() {
            let build = group.build;
            if !self.is_closed(class, key, build) {
                let cap = self.cap(build);
                open.push(OpenGroup { index, build, cap });
            }
        }
        let others = open.iter().any(|group| group.cap.is_none());
        let trial = open
            .iter()
            .filter_map(|group| Some((group.build, group.cap?)))
            .max_by_key(|(build, _)| *build);
        let sends =
            !self.sequential_test.periods.withheld && self.sequential_test.oversampling > 0.0;
        let part = self.exposure.usable_part(others, sends);
        let trial =
            trial.filter(|(build, cap)| self.exposure.has_room(now, *build, class, *cap, part));
        let trial = trial
            .filter(|_| !(avoids_trial && others))
            .map(|(build, _)| build);
        open.retain(|group| group.cap.is_none() || trial == Some(group.build));
        open.into_iter().map(|group| group.index).collect()
    }

    /// Whether an attempt that was chosen a while ago may still go out: while it waits for a connection, its
    /// pod may drain or come back as another, or the stage may change. One that waited long is counted again,
    /// lest attempts that were chosen apart leave together and pass the cap at once. A keyed request that may
    /// have run is not repeated past its window.
    ///
    /// `request` is its class and key, `endpoint` the pod as it was chosen, `times` when it was chosen and
    /// when the request may have run first.
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
        let same = |pod: &Pod| {
            pod.is_running()
                && pod.endpoint.started == endpoint.started
                && pod.endpoint.build == build
        };
        if past_window
            || !self.pods.get(endpoint.pod).is_some_and(same)
            || self.is_closed(class, key, build)
        {
            return false;
        }
        let slice = self.exposure.settings.window / WINDOW_SLICES as Nanos;
        let waited = now.saturating_sub(chosen_at) > slice;
        let Some(cap) = self.cap(build).filter(|_| waited) else {
            return true;
        };
        let room = self.exposure.has_room(now, build, class, cap, 1.0);
        if room {
            self.exposure.counts.add_attempt(now, build, class);
        }
        room
    }
}
