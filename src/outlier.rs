//! Outlier ejection: when a pod is kept from requests, for how long, and how it recovers.
//!
//! Inputs: how attempts to a pod end, and how long it is silent. Health is judged by symptom, whatever its
//! cause. A pod that comes back gets one request at a time until it answers. Harm: where the fault is not the
//! pods', ejecting them would crowd the rest, so ejections are ignored when most pods look unhealthy.

use crate::interface::{AttemptEnd, Nanos, RouteClass};
use crate::pod_table::{Pod, PodTable};
use crate::request::Attempt;
use crate::time::{MILLISECOND, SECOND};
use oorandom::Rand64;

/// How often health, subsets and votes are looked at, so that no request has to look through all pods.
pub(crate) const UPDATE_INTERVAL: Nanos = 200 * MILLISECOND;
/// Failures with no answer between that eject a pod; a failed connection counts for all of them.
const FAILURES_TO_EJECT: u32 = 2;
/// The longest first ejection; it doubles with each further failure, up to the given number of times.
const EJECTION_TIME: Nanos = 500 * MILLISECOND;
const MAX_DOUBLINGS: u32 = 4;
/// The least part of its time that an ejection lasts; the rest is scattered.
const MIN_EJECTION_FRACTION: f64 = 0.5;
/// How long a pod may be silent where there is no latency objective.
const DEFAULT_SILENCE_LIMIT: Nanos = SECOND;
/// Ejections are ignored when fewer than one in this many pods is healthy.
const PANIC_DIVISOR: usize = 3;

/// How pods' health is judged.
pub(crate) struct OutlierDetector {
    /// How long a pod may be silent before it looks hung: the shortest latency objective.
    silence_limit: Nanos,
    /// Most pods looked unhealthy at the last update.
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

    /// Takes the silence limit from the classes in force.
    pub(crate) fn update_silence_limit<'a>(
        &mut self,
        classes: impl Iterator<Item = &'a RouteClass>,
    ) {
        let shortest = classes.map(|class| class.latency_objective).min();
        self.silence_limit = shortest.unwrap_or(self.silence_limit);
    }

    /// Whether a pod has let its attempts wait for too long; with several in flight half the time is too
    /// long.
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

    /// Whether a pod may get a request; one that recovers gets one at a time.
    pub(crate) fn is_healthy(&self, now: Nanos, pod: &Pod) -> bool {
        let recovering = OutlierDetector::has_failed(pod) && pod.in_flight > 0;
        now >= pod.ejected_until && !recovering && !self.is_silent(now, pod)
    }

    pub(crate) fn update_panic_mode(&mut self, now: Nanos, pods: &PodTable) {
        let running = pods.running();
        let healthy = running.filter(|pod| self.is_healthy(now, pod)).count();
        self.panic_mode = PANIC_DIVISOR * healthy < pods.count;
    }

    /// Takes in how an attempt ended. A time-out tells of the pod only if nothing came from it since, and if
    /// it was not cut short by a client with little time left. `ejection_part` is from
    /// [`draw_ejection_part`].
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

/// The part of its time that an ejection lasts, drawn so that pods come back at scattered moments.
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
