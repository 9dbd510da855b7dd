//! Outlier ejection: when a pod gets no requests, for how long, and how it recovers.
//!
//! Inputs: how attempts to a pod end, and how long the pod has been silent. Health is derived from the symptoms,
//! whatever their cause. After an ejection a pod gets one request at a time until it answers. Risk: where the pods
//! are not at fault, ejections would overload the other pods, so they are ignored when most pods look unhealthy.

use crate::interface::{AttemptEnd, Nanos, RouteClass};
use crate::pod_table::{Pod, PodTable};
use crate::request::Attempt;
use crate::time::{MILLISECOND, SECOND};
use oorandom::Rand64;

/// The interval of the periodic updates of health, subsets and votes, which visit all pods so that no request has to.
pub(crate) const UPDATE_INTERVAL: Nanos = 200 * MILLISECOND;
/// The consecutive failures that eject a pod. A failed connection counts as this many failures.
const FAILURES_TO_EJECT: u32 = 2;
/// The longest duration of a first ejection. It doubles with each further failure.
const EJECTION_TIME: Nanos = 500 * MILLISECOND;
/// The greatest number of doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 4;
/// The smallest fraction of the ejection time that an ejection lasts. The fraction is drawn at random between this one
/// and 1.
const MIN_EJECTION_FRACTION: f64 = 0.5;
/// The silence limit where there is no route class, and so no latency objective.
const DEFAULT_SILENCE_LIMIT: Nanos = SECOND;
/// Ejections are ignored when fewer than one in this many pods are healthy.
const PANIC_DIVISOR: usize = 3;

/// Derives the health of pods.
pub(crate) struct OutlierDetector {
    /// How long a pod may be silent before it counts as hung: the shortest latency objective.
    silence_limit: Nanos,
    /// Fewer than one in [`PANIC_DIVISOR`] pods were healthy at the last update.
    pub(crate) panic_mode: bool,
}

impl OutlierDetector {
    pub(crate) fn new(classes: &[RouteClass]) -> OutlierDetector {
        let mut detector = OutlierDetector {
            silence_limit: DEFAULT_SILENCE_LIMIT,
            panic_mode: false,
        };
        detector.update_silence_limit(classes.iter());
        detector
    }

    /// Sets the silence limit from the latency objectives of the classes in force.
    pub(crate) fn update_silence_limit<'a>(
        &mut self,
        classes: impl Iterator<Item = &'a RouteClass>,
    ) {
        let shortest = classes.map(|class| class.latency_objective).min();
        self.silence_limit = shortest.unwrap_or(self.silence_limit);
    }

    /// Whether a pod has left its attempts without any response for longer than the silence limit, or half of it where
    /// several attempts are in flight.
    pub(crate) fn is_silent(&self, now: Nanos, pod: &Pod) -> bool {
        let silent_for = if pod.in_flight == 0 {
            0
        } else {
            now.saturating_sub(pod.silent_since)
        };
        let limit = if pod.in_flight > 1 {
            self.silence_limit / 2
        } else {
            self.silence_limit
        };
        silent_for > limit
    }

    /// Whether a pod failed often enough to be ejected and has not answered since.
    pub(crate) fn has_failed(pod: &Pod) -> bool {
        pod.consecutive_failures >= FAILURES_TO_EJECT
    }

    /// Whether a pod may get a request. A pod that recovers gets one request at a time.
    pub(crate) fn is_healthy(&self, now: Nanos, pod: &Pod) -> bool {
        let recovering = OutlierDetector::has_failed(pod) && pod.in_flight > 0;
        now >= pod.ejected_until && !recovering && !self.is_silent(now, pod)
    }

    pub(crate) fn update_panic_mode(&mut self, now: Nanos, pods: &PodTable) {
        let running = pods.running();
        let healthy = running.filter(|pod| self.is_healthy(now, pod)).count();
        self.panic_mode = PANIC_DIVISOR * healthy < pods.count;
    }

    /// Records how an attempt ended. A timeout counts as a failure of the pod only if the pod sent nothing since the
    /// attempt was sent, and if the timeout was not short because the client had little time left. `ejection_fraction`
    /// comes from [`draw_ejection_fraction`].
    pub(crate) fn record_attempt_end(
        &self,
        now: Nanos,
        pod: &mut Pod,
        attempt: &Attempt,
        end: AttemptEnd,
        ejection_fraction: f64,
    ) {
        let hung = end == AttemptEnd::TimedOut
            && pod.silent_since <= attempt.sent_at
            && now - attempt.sent_at >= self.silence_limit / 2;
        let no_response = matches!(
            end,
            AttemptEnd::TimedOut | AttemptEnd::Cancelled | AttemptEnd::NotSent
        );
        if !no_response {
            pod.silent_since = now;
        }
        match end {
            AttemptEnd::Served => {
                pod.consecutive_failures = 0;
                pod.ejected_until = 0;
            }
            AttemptEnd::ConnectFailed => {
                record_failure(now, pod, FAILURES_TO_EJECT, ejection_fraction)
            }
            AttemptEnd::Failed | AttemptEnd::Reset | AttemptEnd::Rejected => {
                record_failure(now, pod, 1, ejection_fraction);
            }
            AttemptEnd::TimedOut if hung => record_failure(now, pod, 1, ejection_fraction),
            AttemptEnd::TimedOut | AttemptEnd::Cancelled | AttemptEnd::NotSent => {}
        }
    }
}

/// Draws the fraction of the ejection time that an ejection lasts, so that pods do not all return at the same time.
pub(crate) fn draw_ejection_fraction(random: &mut Rand64) -> f64 {
    MIN_EJECTION_FRACTION + (1.0 - MIN_EJECTION_FRACTION) * random.rand_float()
}

fn record_failure(now: Nanos, pod: &mut Pod, failures: u32, ejection_fraction: f64) {
    pod.consecutive_failures += failures;
    if OutlierDetector::has_failed(pod) {
        let doublings = (pod.consecutive_failures - FAILURES_TO_EJECT).min(MAX_DOUBLINGS);
        let ejection_time = EJECTION_TIME << doublings;
        pod.ejected_until = now + (ejection_time as f64 * ejection_fraction) as Nanos;
    }
}
