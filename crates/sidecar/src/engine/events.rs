//! The events of an engine as data, to observe a run and to replay it.

use super::{Effect, RequestAttributes};
use havenplank::interface::{
    AttemptEnd, HealthCheckResult, LoadReport, Nanos, PodId, PriorAttempt, RequestId, RouteClassId,
    Stage, Tally, VoteReply,
};
use havenplank_line_protocol::endpoint_list::ListedEndpoint;

/// One call on an engine, with the result where the call returns one.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The engine was started.
    Started,
    /// A request arrived.
    RequestArrived {
        /// The id that the engine gave it.
        request: RequestId,
        /// The properties of the request that decisions depend on.
        attributes: RequestAttributes,
    },
    /// The next request to arrive is taken over from another sidecar, which may have sent attempts for it.
    RequestResumed {
        /// The id that the engine will give it.
        request: RequestId,
        /// The attempts that the other sidecar sent for it.
        prior_attempts: Vec<PriorAttempt>,
    },
    /// The caller asked, right before it wrote an attempt, whether the attempt may still be sent.
    SendPermission {
        /// The request.
        request: RequestId,
        /// The attempt's number within it.
        attempt: u32,
        /// Whether the engine allowed it.
        allowed: bool,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt's number within it.
        attempt: u32,
        /// How it ended.
        end: AttemptEnd,
        /// How long the attempt took, measured at the socket, in nanoseconds.
        took: Nanos,
        /// The load that the pod reported with its response.
        load: Option<LoadReport>,
        /// Whether the attempt's response became the request's final response.
        delivered: bool,
    },
    /// A client no longer waits: it disconnected, or another sidecar owns its request now.
    ClientLeft {
        /// The request whose client no longer waits.
        request: RequestId,
    },
    /// Service discovery sent an endpoint list.
    EndpointsListed {
        /// Whether the list is complete; if not, it holds changes only.
        complete: bool,
        /// The pods in the list.
        pods: Vec<ListedEndpoint>,
        /// The index of each pod; `None` for a pod beyond the limit of the pod registry.
        pod_ids: Vec<Option<PodId>>,
    },
    /// The watch on the endpoint list failed.
    EndpointWatchFailed,
    /// The control plane announced the stage of a release.
    StageChanged(Stage),
    /// The control plane replied to a vote.
    VoteAnswered {
        /// The vote's id.
        vote: u64,
        /// The control plane's reply.
        reply: VoteReply,
    },
    /// A health check ended.
    HealthCheckEnded {
        /// The check's id.
        check: u64,
        /// The check's result.
        result: HealthCheckResult,
    },
    /// The control plane sent its sampled count of the attempts of all sidecars to one build.
    TallyReported(Tally),
    /// A client reported a wrong response.
    FaultReported {
        /// The pod that sent the response.
        pod: PodId,
        /// The route class of the response's request.
        route_class: RouteClassId,
        /// How long ago the response arrived, in nanoseconds.
        ago: Nanos,
    },
    /// A timer was due; holds the timer's id.
    TimerFired(u64),
}

/// Observes an engine. The engine calls the observer in the middle of a decision, so the observer must not block.
pub trait Observer {
    /// Receives an event before it has any effect.
    fn on_event(&mut self, now: Nanos, event: Event);
    /// Receives an effect when the caller takes it from the queue. Effects come in the order in which they were queued,
    /// but an effect may come after a later event.
    fn on_effect(&mut self, now: Nanos, effect: &Effect);
}
