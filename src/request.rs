//! Requests in flight and their attempts. State only.

use crate::interface::{
    AttemptOutcome, Endpoint, IncomingRequest, Nanos, PodId, PriorAttempt, RequestId, RouteClassId,
    ZoneId,
};
use crate::pod_table::PodTable;

/// When and where a request may have run first.
#[derive(Clone, Copy)]
pub(crate) struct PossibleRun {
    pub(crate) at: Nanos,
    pub(crate) zone: ZoneId,
    pub(crate) cell: i64,
}

/// A request in flight, handed from step to step.
pub(crate) struct InFlightRequest {
    pub(crate) id: RequestId,
    pub(crate) class: RouteClassId,
    pub(crate) key: u64,
    /// The client's deadline.
    pub(crate) deadline: Nanos,
    /// When the latency objective is missed.
    pub(crate) objective_at: Nanos,
    /// The pods of its attempts so far.
    pub(crate) tried: Vec<PodId>,
    /// Its attempts that have not ended.
    pub(crate) attempts_in_flight: u32,
    pub(crate) possible_run: Option<PossibleRun>,
    /// A build on trial failed it: no further attempt there while there is another build.
    pub(crate) avoids_trial: bool,
}

impl InFlightRequest {
    /// `prior`: the attempts of another instance. A pod that is not in the table may lie anywhere, and so
    /// shares no zone or cell with any.
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
            // A remaining time that was read from a trace may be anything.
            deadline: now.saturating_add(request.remaining),
            objective_at: now.saturating_add(latency_objective),
            tried: tried.collect(),
            attempts_in_flight: 0,
            possible_run,
            avoids_trial: false,
        }
    }
}

/// One attempt, for the callback that gets its outcome.
pub(crate) struct Attempt {
    pub(crate) pod: PodId,
    /// The pod's endpoint when the attempt was sent.
    pub(crate) endpoint: Endpoint,
    pub(crate) sent_at: Nanos,
    /// The pod was warm by then.
    pub(crate) warm: bool,
    /// No more of this instance was in flight there than elsewhere: slowness is not of its own making.
    pub(crate) evenly_loaded: bool,
    /// The request's first one.
    pub(crate) first: bool,
}

/// An attempt that ended, with what the decisions made of it.
pub(crate) struct EndedAttempt<'a> {
    pub(crate) attempt: &'a Attempt,
    pub(crate) outcome: &'a AttemptOutcome,
    pub(crate) latency_objective: Nanos,
    /// It was slower than nine in ten answers of its class and machine type.
    pub(crate) slow: bool,
    /// Its pod had been silent for long.
    pub(crate) pod_silent: bool,
}
