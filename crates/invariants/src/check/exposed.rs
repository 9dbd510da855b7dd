//! Rule `exposed`: a build on trial gets no larger share of a window's requests than its cap, and no key goes back to
//! an older build.

use super::history::Request;
use super::verdict::Verdict;
use crate::ledger::{Exposure, LedgerEvent, RuleParameters};
use havenplank::interface::{Build, Idempotency, Nanos};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// The ledger's names of release phases.
const RELEASED: &str = "released";
const ROLLING_BACK: &str = "goingback";
const WITHDRAWN: &str = "withdrawn";
/// Key of a request without an idempotency key.
const NO_KEY: u64 = 0;
/// Divisor where no attempt is allowed, so that the reported share of the limit stays finite.
const MIN_ALLOWED: f64 = 1e-9;

/// An attempt that a sidecar sent to a build.
pub(super) struct SentAttempt<'a> {
    pub(super) at: Nanos,
    pub(super) ask: u64,
    pub(super) sidecar: &'a str,
    pub(super) build: Build,
    pub(super) class: usize,
    pub(super) key: u64,
}

/// The stage of a release that a sidecar was last notified of.
struct StageNotice {
    build: Build,
    stage: usize,
    phase: String,
    cap: f64,
}

/// A cap that was lowered. The previous cap may be used up to the time `until`; after it, attempts are counted from
/// zero.
#[derive(Clone, Copy)]
struct LoweredCap {
    build: Build,
    before: f64,
    until: Nanos,
}

/// The build that first answered a request with a key, and when.
struct BoundKey {
    build: Build,
    since: Nanos,
}

/// The notices that a sidecar received and the attempts that it sent; a restart forgets only the notices.
#[derive(Default)]
struct Sidecar {
    /// The oldest build with a pod that was announced as running.
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
    /// The cap of a build now; `None` where the build is not on trial.
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

    /// Forgets the notices that a sidecar received, as its restart does.
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

    pub(super) fn note_request(
        &mut self,
        at: Nanos,
        name: &str,
        class: usize,
        parameters: &RuleParameters,
    ) {
        let counted = counted_class(&parameters.exposure, class);
        let requests = &mut self.sidecar(name).requests;
        requests.entry(counted).or_default().push_back(at);
    }

    /// Records the stage that a sidecar was notified of. If the stage lowers the cap of its build, the previous cap may
    /// still be used for the drain grace.
    pub(super) fn note_stage(
        &mut self,
        at: Nanos,
        event: &LedgerEvent,
        parameters: &RuleParameters,
    ) {
        let LedgerEvent::StageAnnounced {
            sidecar,
            build,
            stage,
            phase,
            cap,
        } = event
        else {
            return;
        };
        let sidecar = self.sidecar(sidecar);
        let before = sidecar.cap(&parameters.exposure, *build).unwrap_or(1.0);
        sidecar.notice = Some(StageNotice {
            build: *build,
            stage: *stage,
            phase: phase.clone(),
            cap: *cap,
        });
        let now = sidecar.cap(&parameters.exposure, *build).unwrap_or(1.0);
        if now < before {
            sidecar.lowered = Some(LoweredCap {
                build: *build,
                before,
                until: at + parameters.drain_grace,
            });
        }
        if phase == ROLLING_BACK || phase == WITHDRAWN {
            sidecar.bound_keys.clear();
        }
    }

    /// Binds the key of a request to the build that answered it, if that build is on trial or newer.
    pub(super) fn note_success(&mut self, at: Nanos, request: &Request, build: Build) {
        let sidecar = self.sidecar(&request.sidecar);
        let notice = sidecar.notice.as_ref();
        if notice.is_some_and(|notice| build >= notice.build) && request.key != NO_KEY {
            let bound = BoundKey { build, since: at };
            sidecar.bound_keys.entry(request.key).or_insert(bound);
        }
    }

    /// Checks an attempt against the build bound to its key, the stage and the cap.
    pub(super) fn check_attempt(&mut self, sent: &SentAttempt, parameters: &RuleParameters) {
        self.check_key(sent, parameters);
        let sidecar = self.sidecar(sent.sidecar);
        let Some(cap) = sidecar.cap(&parameters.exposure, sent.build) else {
            return;
        };
        let lowered = sidecar.lowered;
        let in_grace = lowered.filter(|lowered| {
            lowered.build == sent.build && sent.at <= lowered.until + parameters.transit
        });
        let cap = in_grace.map_or(cap, |lowered| lowered.before.max(cap));
        if in_grace.is_none() {
            self.check_stage(sent, parameters);
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
        self.check_share(sent, cap, parameters);
    }

    fn check_key(&mut self, sent: &SentAttempt, parameters: &RuleParameters) {
        let SentAttempt {
            at,
            ask,
            build,
            key,
            ..
        } = sent;
        if !parameters.exposure.sticky_keys || *key == NO_KEY {
            return;
        }
        let Some(bound) = self.sidecar(sent.sidecar).bound_keys.get(key) else {
            return;
        };
        if *build < bound.build && *at > bound.since + parameters.transit {
            let what = format!(
                "ask {ask}: key {key} to build {build}, answered by {}",
                bound.build
            );
            self.verdict.report(*at, what);
        }
    }

    /// Checks that the first stages get idempotent requests only.
    fn check_stage(&mut self, sent: &SentAttempt, parameters: &RuleParameters) {
        let SentAttempt { ask, build, .. } = sent;
        let notice = self.sidecar(sent.sidecar).notice.as_ref();
        let notice = notice.filter(|notice| notice.build == *build);
        let stage = notice.map_or(0, |notice| notice.stage);
        let class = &parameters.classes[sent.class];
        let is_restricted = stage < parameters.exposure.idempotent_only_stages;
        if is_restricted && !class.has_idempotency(Idempotency::Idempotent) {
            let name = &class.name;
            let what = format!("ask {ask} ({name}): to build {build} in stage {stage}");
            self.verdict.report(sent.at, what);
        }
    }

    /// Checks that the attempts of the last window are within the cap's share of the window's requests.
    fn check_share(&mut self, sent: &SentAttempt, cap: f64, parameters: &RuleParameters) {
        let (exposure, build) = (&parameters.exposure, sent.build);
        let counted = counted_class(exposure, sent.class);
        let from = sent.at.saturating_sub(exposure.window);
        let sidecar = self.sidecar(sent.sidecar);
        let requests = sidecar.requests.entry(counted).or_default();
        forget_before(requests, from.saturating_sub(parameters.transit));
        let allowed = exposure.free + cap * requests.len() as f64;
        // After the cap was lowered, attempts count from when the lower cap took effect.
        let lowered = sidecar.lowered.filter(|lowered| lowered.build == build);
        let counts_from = lowered.map(|lowered| lowered.until);
        let counts_from = counts_from.filter(|until| sent.at > *until).unwrap_or(0);
        let attempts = sidecar.sent.entry((build, counted)).or_default();
        attempts.push_back(sent.at);
        forget_before(attempts, from.max(counts_from));
        let count = attempts.len() as f64;
        self.verdict.test(count / allowed.max(MIN_ALLOWED));
        if count > allowed {
            let SentAttempt { ask, sidecar, .. } = sent;
            let what = format!(
                "ask {ask}: {sidecar} sent {count} to build {build}, {allowed:.1} allowed (cap {cap})"
            );
            self.verdict.report(sent.at, what);
        }
    }
}

/// The class that a request is counted under: its own where caps apply per class, otherwise 0 for all.
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
