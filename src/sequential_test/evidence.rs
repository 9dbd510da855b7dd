//! Which evidence an ended attempt gives on its build.
//!
//! Inputs: the outcome of an attempt, its pod and the load. Four kinds of outcomes are not used: those of a pod
//! that just started, which fails because it is cold; timeouts of a hung pod while other pods of its build
//! answer; late answers while many answers are late, as that is due to load; and those of a pod that has already
//! added its limit to the sums, as machines fail whatever their build. Risk: the verdict on a bad build with few
//! pods comes late.

use super::periods::PeriodAnswer;
use crate::admission::ConcurrencyLimit;
use crate::interface::{AttemptEnd, Nanos, PodId};
use crate::pod_table::Pod;
use crate::request::EndedAttempt;
use crate::router::Router;
use crate::time::SECOND;

/// A pod younger than this may fail because it is cold, whatever its build.
const MIN_POD_AGE: Nanos = 3 * SECOND;
/// The limit on what a single pod adds to the sums, as a fraction of the upper bound.
const MAX_POD_EVIDENCE_FRACTION: f64 = 0.4;

/// Whether an attempt counts as evidence at all. Only first attempts do: a request that fails again at another pod is
/// itself the cause.
pub(crate) fn is_evidence(ended: &EndedAttempt) -> bool {
    let end = ended.outcome.end;
    (end.is_failure() || end == AttemptEnd::Served) && ended.attempt.first
}

impl Router {
    /// Records the evidence that an ended attempt gives on its build.
    pub(crate) fn record_evidence(&mut self, now: Nanos, ended: &EndedAttempt) {
        if self.is_uninformative(now, ended) {
            return;
        }
        let build = ended.attempt.endpoint.build;
        let end = ended.outcome.end;
        self.sequential_test
            .record_attempt_end(now, build, end == AttemptEnd::Failed);
        if self.pods.get_mut(ended.attempt.pod).is_none() {
            return;
        }
        self.add_to_sums(now, ended);
        let is_earlier = build < self.sequential_test.build || !self.on_trial();
        let has_latency = matches!(end, AttemptEnd::TimedOut | AttemptEnd::Served);
        if is_earlier && ended.attempt.evenly_loaded && has_latency {
            let answer = PeriodAnswer {
                sent_at: ended.attempt.sent_at,
                slow: ended.slow,
                requests: self.retry_budget.requests(now),
            };
            self.sequential_test.record_earlier_answer(&answer);
        }
    }

    /// Whether the pod of an attempt was too young, or hung while other pods of its build answer.
    fn is_uninformative(&self, now: Nanos, ended: &EndedAttempt) -> bool {
        let endpoint = &ended.attempt.endpoint;
        let responds =
            |pod: &Pod| pod.consecutive_failures == 0 && !self.outlier.is_silent(now, pod);
        let young = endpoint.started + MIN_POD_AGE > ended.attempt.sent_at;
        let hung = ended.outcome.end == AttemptEnd::TimedOut && ended.pod_silent;
        young || (hung && self.pods.pods_of(endpoint.build).any(responds))
    }

    /// Adds an ended attempt to the sums. Answers that are late because of one queue are one event, so lateness counts
    /// once per pod and latency objective.
    fn add_to_sums(&mut self, now: Nanos, ended: &EndedAttempt) {
        let build = ended.attempt.endpoint.build;
        let end = ended.outcome.end;
        let objective = ended.latency_objective;
        let timed_out_past_objective =
            end == AttemptEnd::TimedOut && ended.outcome.took >= objective;
        let late = (ended.slow || timed_out_past_objective)
            && self.concurrency_limit.late_fraction
                <= ConcurrencyLimit::MAX_INFORMATIVE_LATE_FRACTION
            && ended.attempt.warm;
        let first_late = late && self.had_no_late_answer_within(now, ended.attempt.pod, objective);
        let only_pod = self.pods.count_of_build(build) < 2;
        let Some(pod) = self.pods.get_mut(ended.attempt.pod) else {
            return;
        };
        let below_pod_limit =
            pod.evidence < self.sequential_test.bounds.reject * MAX_POD_EVIDENCE_FRACTION;
        if first_late {
            pod.last_late_at = now;
        }
        if first_late && ended.slow && below_pod_limit {
            let added = self.sequential_test.record_slow_answer(now, build);
            pod.evidence += added.max(0.0);
        }
        let failed = (timed_out_past_objective && first_late)
            || matches!(end, AttemptEnd::Failed | AttemptEnd::Reset);
        if failed && (below_pod_limit || only_pod) {
            let application_error = end == AttemptEnd::Failed;
            let added = self
                .sequential_test
                .record_failure(now, build, application_error);
            pod.evidence += added.max(0.0);
        }
    }

    fn had_no_late_answer_within(&self, now: Nanos, pod: PodId, objective: Nanos) -> bool {
        self.pods
            .get(pod)
            .is_some_and(|pod| now >= pod.last_late_at + objective)
    }

    /// Records a fault that a client found in an answer. Returns whether it changed the sums, so that the vote must be
    /// evaluated again.
    pub(crate) fn record_reported_fault(&mut self, now: Nanos, pod: PodId, ago: Nanos) -> bool {
        let sent_at = now.saturating_sub(ago);
        let Some(pod) = self.pods.get(pod) else {
            return false;
        };
        let informative = sent_at >= pod.endpoint.started + MIN_POD_AGE;
        if informative {
            let build = pod.endpoint.build;
            self.sequential_test.record_failure(now, build, true);
        }
        informative
    }
}
