//! The state of requests in flight and of their attempts.

use crate::interface::{
    AttemptOutcome, Endpoint, IncomingRequest, Nanos, PodId, PriorAttempt, RequestId, RouteClassId,
    ZoneId,
};
use crate::pod_table::PodTable;

/// The time and place of a request's first attempt that may have run.
#[derive(Clone, Copy)]
pub(crate) struct PossibleRun {
    pub(crate) at: Nanos,
    pub(crate) zone: ZoneId,
    pub(crate) cell: i64,
}

/// A request in flight.
pub(crate) struct InFlightRequest {
    pub(crate) id: RequestId,
    pub(crate) class: RouteClassId,
    pub(crate) key: u64,
    /// The client's deadline.
    pub(crate) deadline: Nanos,
    /// The time after which an answer misses the latency objective.
    pub(crate) objective_deadline: Nanos,
    /// The pods of the attempts so far.
    pub(crate) tried: Vec<PodId>,
    /// The attempts that have not ended.
    pub(crate) attempts_in_flight: u32,
    pub(crate) possible_run: Option<PossibleRun>,
    /// An attempt at a build on trial failed: further attempts avoid that build while there is another.
    pub(crate) avoids_trial: bool,
}

impl InFlightRequest {
    /// Creates the state of a request that arrived, or was taken over from another instance with the attempts
    /// `prior`. The zone and cell of a pod that is not in the table are unknown, so they match those of no pod.
    pub(crate) fn new(
        now: Nanos,
        request: &IncomingRequest,
        latency_objective: Nanos,
        prior: &[PriorAttempt],
        pods: &PodTable,
    ) -> InFlightRequest {
        let first_run = prior
            .iter()
            .filter(|attempt| attempt.may_have_run)
            .max_by_key(|attempt| attempt.ago);
        let location = |pod| {
            pods.get(pod)
                .map(|pod| (pod.endpoint.zone, pod.endpoint.cell))
        };
        let possible_run = first_run.map(|attempt| {
            let known = attempt.pod.and_then(location);
            let (zone, cell) = known.unwrap_or((ZoneId::MAX, i64::MIN));
            let at = now.saturating_sub(attempt.ago);
            PossibleRun { at, zone, cell }
        });
        let tried = prior
            .iter()
            .map(|attempt| attempt.pod.unwrap_or(PodId::MAX));
        InFlightRequest {
            id: request.id,
            class: request.class,
            key: request.key,
            // A remaining time that was read from a trace may be any number: the sum must not overflow.
            deadline: now.saturating_add(request.remaining),
            objective_deadline: now.saturating_add(latency_objective),
            tried: tried.collect(),
            attempts_in_flight: 0,
            possible_run,
            avoids_trial: false,
        }
    }
}

/// An attempt in flight, kept by the callback that receives its outcome.
pub(crate) struct Attempt {
    pub(crate) pod: PodId,
    /// The pod's endpoint at the time of sending.
    pub(crate) endpoint: Endpoint,
    pub(crate) sent_at: Nanos,
    /// The pod was warm at the time of sending.
    pub(crate) warm: bool,
    /// This instance had no more attempts in flight at the pod than at its other pods on average, so it did not
    /// itself make the pod slow.
    pub(crate) evenly_loaded: bool,
    /// The first attempt of the request.
    pub(crate) first: bool,
}

/// An attempt that ended, with what the router derived from its outcome.
pub(crate) struct EndedAttempt<'a> {
    pub(crate) attempt: &'a Attempt,
    pub(crate) outcome: &'a AttemptOutcome,
    pub(crate) latency_objective: Nanos,
    /// The attempt took longer than the 90th percentile of its route class and machine type.
    pub(crate) slow: bool,
    /// The pod had answered no attempt for longer than the silence limit.
    pub(crate) pod_silent: bool,
}
