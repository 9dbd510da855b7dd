//! What an ended attempt says of its build.
//!
//! Inputs: an attempt's outcome, its pod and the load. Not heard are a young pod, which fails for being cold;
//! a hung pod while others of its build answer; lateness while much is late, as it tells of load; and one pod
//! alone beyond a part of the bound, as machines fail by themselves, too. Harm: the verdict on a bad build
//! with few pods comes late.

use super::periods::PeriodAnswer;
use crate::admission::ConcurrencyLimit;
use crate::interface::{AttemptEnd, Nanos, PodId};
use crate::pod_table::Pod;
use crate::request::EndedAttempt;
use crate::router::Router;
use crate::time::SECOND;

/// A pod younger than this fails for being cold, whatever its build.
const MIN_POD_AGE: Nanos = 3 * SECOND;
/// The part of the upper bound after which one pod alone says no more.
const MAX_POD_EVIDENCE_FRACTION: f64 = 0.4;

/// Whether an attempt is heard at all. What fails again elsewhere is the request's own doing, so only first
/// ones are.
pub(crate) fn is_evidence(ended: &EndedAttempt) -> bool {
    let end = ended.outcome.end;
    (end.is_failure() || end == AttemptEnd::Served) && ended.attempt.first
}

impl Router {
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
        let earlier = build < self.sequential_test.build || !self.on_trial();
        let heard = matches!(end, AttemptEnd::TimedOut | AttemptEnd::Served);
        if earlier && ended.attempt.evenly_loaded && heard {
            let answer = PeriodAnswer {
                sent_at: ended.attempt.sent_at,
                slow: ended.slow,
                requests: self.retry_budget.requests(now),
            };
            self.sequential_test.record_earlier_answer(&answer);
        }
    }

    fn is_uninformative(&self, now: Nanos, ended: &EndedAttempt) -> bool {
        let endpoint = &ended.attempt.endpoint;
        let answers =
            |pod: &Pod| pod.consecutive_failures == 0 && !self.outlier.is_silent(now, pod);
        let young = endpoint.started + MIN_POD_AGE > ended.attempt.sent_at;
        let hung = ended.outcome.end == AttemptEnd::TimedOut && ended.pod_silent;
        young || (hung && self.pods.pods_of(endpoint.build).any(answers))
    }

    /// A queue is one event, so lateness counts once a pod and latency objective.
    fn add_to_sums(&mut self, now: Nanos, ended: &EndedAttempt) {
        let build = ended.attempt.endpoint.build;
        let end = ended.outcome.end;
        let objective = ended.latency_objective;
        let timed_out_past_objective =
            end == AttemptEnd::TimedOut && ended.outcome.took >= objective;
        let late = (ended.slow || timed_out_past_objective)
            && self.limit.late_fraction <= ConcurrencyLimit::MAX_INFORMATIVE_LATE_FRACTION
            && ended.attempt.warm;
        let first_late = late && self.was_not_late_since(now, ended.attempt.pod, objective);
        let only_pod = self.pods.count_of_build(build) < 2;
        let Some(pod) = self.pods.get_mut(ended.attempt.pod) else {
            return;
        };
        let heard = pod.evidence < self.sequential_test.bounds.reject * MAX_POD_EVIDENCE_FRACTION;
        if first_late {
            pod.last_late_at = now;
        }
        if first_late && ended.slow && heard {
            let added = self.sequential_test.record_slow_answer(now, build);
            pod.evidence += added.max(0.0);
        }
        let failed = (timed_out_past_objective && first_late)
            || matches!(end, AttemptEnd::Failed | AttemptEnd::Reset);
        if failed && (heard || only_pod) {
            let application_error = end == AttemptEnd::Failed;
            let added = self
                .sequential_test
                .record_failure(now, build, application_error);
            pod.evidence += added.max(0.0);
        }
    }

    fn was_not_late_since(&self, now: Nanos, pod: PodId, objective: Nanos) -> bool {
        self.pods
            .get(pod)
            .is_some_and(|pod| now >= pod.last_late_at + objective)
    }

    /// Takes in a fault that a client found in an answer. Whether the vote is to be looked at again.
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
