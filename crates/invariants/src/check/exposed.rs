//! Rule `exposed`: a build on trial gets no more of a window than its cap, and no key goes back to an older build.

use super::history::Request;
use super::verdict::Verdict;
use crate::ledger::{Exposure, Figures, Seen};
use havenplank::interface::{Build, Idempotency, Nanos};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// The ledger's words for phases of a release.
const RELEASED: &str = "released";
const ROLLING_BACK: &str = "goingback";
const WITHDRAWN: &str = "withdrawn";
/// The key of requests that have none.
const NO_KEY: u64 = 0;
/// Keeps the share of the limit finite where nothing is allowed.
const LEAST_ALLOWED: f64 = 1e-9;

/// An attempt that a sidecar sent to a build.
pub(super) struct SentAttempt<'a> {
    pub(super) at: Nanos,
    pub(super) ask: u64,
    pub(super) sidecar: &'a str,
    pub(super) build: Build,
    pub(super) class: usize,
    pub(super) key: u64,
}

/// The stage of a release that a sidecar was last told.
struct StageNotice {
    build: Build,
    stage: usize,
    phase: String,
    cap: f64,
}

/// A cap before it was lowered, and until when it may still be used; attempts count anew from then.
#[derive(Clone, Copy)]
struct LoweredCap {
    build: Build,
    before: f64,
    until: Nanos,
}

/// A build that answered for a key.
struct BoundKey {
    build: Build,
    since: Nanos,
}

/// What a sidecar was told and what it did; a restart forgets only what it was told.
#[derive(Default)]
struct Sidecar {
    /// The oldest build of which it was told a running pod.
    oldest: Option<Build>,
    notice: Option<StageNotice>,
    lowered: Option<LoweredCap>,
    bound_keys: HashMap<u64, BoundKey>,
    /// Requests of the last window, by counted class.
    requests: BTreeMap<usize, VecDeque<Nanos>>,
    /// Attempts of the last window, by build and counted class.
    sent: HashMap<(Build, usize), VecDeque<Nanos>>,
}

impl Sidecar {
    /// The cap that binds a build now; `None` where it is not on trial.
    fn cap(&self, exposure: &Exposure, build: Build) -> Option<f64> {
        let first = exposure.caps.first().copied().unwrap_or(0.0);
        match &self.notice {
            Some(notice) if build > notice.build => Some(first),
            Some(notice) if build == notice.build && notice.phase != RELEASED => Some(notice.cap),
            Some(_) => None,
            None => self.oldest.filter(|oldest| build > *oldest).map(|_| first),
        }
    }
}

pub(super) struct ExposureRule {
    pub(super) verdict: Verdict,
    sidecars: HashMap<String, Sidecar>,
}

impl ExposureRule {
    pub(super) fn new() -> ExposureRule {
        ExposureRule {
            verdict: Verdict::new("exposed"),
            sidecars: HashMap::new(),
        }
    }

    fn sidecar(&mut self, name: &str) -> &mut Sidecar {
        self.sidecars.entry(name.to_string()).or_default()
    }

    /// Forgets what a sidecar was told, as a restart does.
    pub(super) fn forget_notices(&mut self, name: &str) {
        let sidecar = self.sidecar(name);
        sidecar.notice = None;
        sidecar.lowered = None;
        sidecar.oldest = None;
        sidecar.bound_keys.clear();
    }

    pub(super) fn note_running(&mut self, name: &str, build: Build) {
        let sidecar = self.sidecar(name);
        let oldest = sidecar.oldest.map_or(build, |oldest| oldest.min(build));
        sidecar.oldest = Some(oldest);
    }

    pub(super) fn note_request(&mut self, at: Nanos, name: &str, class: usize, figures: &Figures) {
        let counted = counted_class(&figures.exposure, class);
        let requests = &mut self.sidecar(name).requests;
        requests.entry(counted).or_default().push_back(at);
    }

    /// Takes note of a stage that a sidecar was told; a cap that it lowers may be used for the grace.
    pub(super) fn note_stage(&mut self, at: Nanos, seen: &Seen, figures: &Figures) {
        let Seen::News {
            sidecar,
            build,
            stage,
            phase,
            cap,
        } = seen
        else {
            return;
        };
        let sidecar = self.sidecar(sidecar);
        let before = sidecar.cap(&figures.exposure, *build).unwrap_or(1.0);
        sidecar.notice = Some(StageNotice {
            build: *build,
            stage: *stage,
            phase: phase.clone(),
            cap: *cap,
        });
        let now = sidecar.cap(&figures.exposure, *build).unwrap_or(1.0);
        if now < before {
            sidecar.lowered = Some(LoweredCap {
                build: *build,
                before,
                until: at + figures.drain_grace,
            });
        }
        if phase == ROLLING_BACK || phase == WITHDRAWN {
            sidecar.bound_keys.clear();
        }
    }

    /// Binds the key of a request to the build that answered it, where that one is on trial or newer.
    pub(super) fn note_success(&mut self, at: Nanos, request: &Request, build: Build) {
        let sidecar = self.sidecar(&request.sidecar);
        let notice = sidecar.notice.as_ref();
        if notice.is_some_and(|notice| build >= notice.build) && request.key != NO_KEY {
            let bound = BoundKey { build, since: at };
            sidecar.bound_keys.entry(request.key).or_insert(bound);
        }
    }

    /// Checks an attempt against the key's build, the stage and the cap.
    pub(super) fn check_attempt(&mut self, sent: &SentAttempt, figures: &Figures) {
        self.check_key(sent, figures);
        let sidecar = self.sidecar(sent.sidecar);
        let Some(cap) = sidecar.cap(&figures.exposure, sent.build) else {
            return;
        };
        let lowered = sidecar.lowered;
        let in_grace = lowered.filter(|lowered| {
            lowered.build == sent.build && sent.at <= lowered.until + figures.transit
        });
        let cap = in_grace.map_or(cap, |lowered| lowered.before.max(cap));
        if in_grace.is_none() {
            self.check_stage(sent, figures);
        }
        if cap <= 0.0 {
            let SentAttempt { ask, build, .. } = sent;
            let what = format!(
                "ask {ask}: {} to build {build}, which is closed",
                sent.sidecar
            );
            self.verdict.report(sent.at, what);
            return;
        }
        self.check_share(sent, cap, figures);
    }

    fn check_key(&mut self, sent: &SentAttempt, figures: &Figures) {
        let SentAttempt {
            at,
            ask,
            build,
            key,
            ..
        } = sent;
        if !figures.exposure.sticky_keys || *key == NO_KEY {
            return;
        }
        let Some(bound) = self.sidecar(sent.sidecar).bound_keys.get(key) else {
            return;
        };
        if *build < bound.build && *at > bound.since + figures.transit {
            let what = format!(
                "ask {ask}: key {key} to build {build}, answered by {}",
                bound.build
            );
            self.verdict.report(*at, what);
        }
    }

    /// Checks that the first stages get idempotent requests only.
    fn check_stage(&mut self, sent: &SentAttempt, figures: &Figures) {
        let SentAttempt { ask, build, .. } = sent;
        let notice = self.sidecar(sent.sidecar).notice.as_ref();
        let notice = notice.filter(|notice| notice.build == *build);
        let stage = notice.map_or(0, |notice| notice.stage);
        let class = &figures.groups[sent.class];
        let is_restricted = stage < figures.exposure.idempotent_only_stages;
        if is_restricted && !class.is(Idempotency::Idempotent) {
            let name = &class.name;
            let what = format!("ask {ask} ({name}): to build {build} in stage {stage}");
            self.verdict.report(sent.at, what);
        }
    }

    /// Checks the attempts of the last window against the cap's share of its requests.
    fn check_share(&mut self, sent: &SentAttempt, cap: f64, figures: &Figures) {
        let (exposure, build) = (&figures.exposure, sent.build);
        let counted = counted_class(exposure, sent.class);
        let from = sent.at.saturating_sub(exposure.window);
        let sidecar = self.sidecar(sent.sidecar);
        let requests = sidecar.requests.entry(counted).or_default();
        forget_before(requests, from.saturating_sub(figures.transit));
        let allowed = exposure.free + cap * requests.len() as f64;
        // A lower cap counts anew from where it began to bind.
        let lowered = sidecar.lowered.filter(|lowered| lowered.build == build);
        let counts_from = lowered.map(|lowered| lowered.until);
        let counts_from = counts_from.filter(|until| sent.at > *until).unwrap_or(0);
        let attempts = sidecar.sent.entry((build, counted)).or_default();
        attempts.push_back(sent.at);
        forget_before(attempts, from.max(counts_from));
        let count = attempts.len() as f64;
        self.verdict.test(count / allowed.max(LEAST_ALLOWED));
        if count > allowed {
            let SentAttempt { ask, sidecar, .. } = sent;
            let what = format!(
                "ask {ask}: {sidecar} sent {count} to build {build}, {allowed:.1} allowed (cap {cap})"
            );
            self.verdict.report(sent.at, what);
        }
    }
}

/// The class under which a request counts: its own where caps hold by class, else one for all.
fn counted_class(exposure: &Exposure, class: usize) -> usize {
    if exposure.per_class {
        class
    } else {
        0
    }
}

fn forget_before(times: &mut VecDeque<Nanos>, before: Nanos) {
    while times.pop_front_if(|at| *at < before).is_some() {}
}
