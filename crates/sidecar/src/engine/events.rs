//! Events of an engine, as data: for those that observe it, and to replay it.

use super::{Effect, RequestAttributes};
use havenplank::interface::{
    AttemptEnd, HealthCheckResult, LoadReport, Nanos, PodId, PriorAttempt, RequestId, RouteClassId,
    Stage, Tally, VoteReply,
};
use havenplank_line_protocol::endpoint_list::ListedEndpoint;

/// One call on an engine, with what it returned where it returns something.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The decisions were started.
    Started,
    /// A request arrived.
    RequestArrived {
        /// The id that it was given.
        request: RequestId,
        /// What the decisions see of it.
        attributes: RequestAttributes,
    },
    /// The request that arrives next was taken by another sidecar, which sent attempts for it.
    RequestResumed {
        /// The id that it will be given.
        request: RequestId,
        /// What was sent for it.
        prior_attempts: Vec<PriorAttempt>,
    },
    /// Asked right before an attempt was written.
    SendPermission {
        /// The request.
        request: RequestId,
        /// The attempt's number within it.
        attempt: u32,
        /// Whether it was allowed.
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
        /// How long it took, at the socket.
        took: Nanos,
        /// The load that its pod reported with it.
        load: Option<LoadReport>,
        /// Whether its response went to the client.
        delivered: bool,
    },
    /// A client went away.
    ClientLeft {
        /// The request that it no longer waits for.
        request: RequestId,
    },
    /// An endpoint list came.
    EndpointsListed {
        /// Whether it is all of the list, or changes only.
        complete: bool,
        /// The pods listed.
        pods: Vec<ListedEndpoint>,
        /// The index of each pod, `None` where none was left for it.
        pod_ids: Vec<Option<PodId>>,
    },
    /// Service discovery could not be reached.
    EndpointWatchFailed,
    /// A release came to another stage.
    StageChanged(Stage),
    /// A vote was answered.
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
        /// How it went.
        result: HealthCheckResult,
    },
    /// The control plane sent its counts.
    TallyReported(Tally),
    /// A client found an answer wrong.
    FaultReported {
        /// The pod that gave it.
        pod: PodId,
        /// The route class that it was of.
        route_class: RouteClassId,
        /// How long ago it came.
        ago: Nanos,
    },
    /// A timer was due; the timer's id.
    TimerFired(u64),
}

/// Observes an engine. It is called in the middle of decisions, so it must not wait for anything.
pub trait Observer {
    /// Sees an event before it has any effect.
    fn on_event(&mut self, now: Nanos, event: Event);
    /// Sees an effect as it is taken, which is in the order left, but maybe after the next event.
    fn on_effect(&mut self, now: Nanos, effect: &Effect);
}
