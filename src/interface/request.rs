//! Incoming requests and the outcomes of their attempts.

use super::{LoadReport, Nanos, PodId, RequestId, RouteClassId};

/// A request as it arrives.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// The id that the host assigned.
    pub id: RequestId,
    /// The route class.
    pub class: RouteClassId,
    /// The index of the tenant that the request counts for, where it is known.
    pub tenant: Option<usize>,
    /// A hash of the request's idempotency key; 0 where it has none.
    pub key: u64,
    /// How much longer the client waits for the answer.
    pub remaining: Nanos,
    /// The client's estimate of how long a pod works on the request.
    pub cost_hint: Option<Nanos>,
    /// The client sent this request before.
    pub is_retry: bool,
}

/// An attempt that another instance sent for a request before this one resumed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PriorAttempt {
    /// The pod of the attempt; `None` where this instance does not have it in its list.
    pub pod: Option<PodId>,
    /// How long ago the attempt was sent.
    pub ago: Nanos,
    /// The attempt may have run: nothing proves that it did not.
    pub may_have_run: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The pod sent an answer for the client.
    Served,
    /// The pod answered with an error.
    Failed,
    /// The pod rejected the attempt before it did any work.
    Rejected,
    /// No answer arrived within the timeout.
    TimedOut,
    /// No connection to the pod could be made.
    ConnectFailed,
    /// The connection was lost.
    Reset,
    /// The router or the client cancelled the attempt.
    Cancelled,
    /// The host did not send the attempt.
    NotSent,
}

impl AttemptEnd {
    /// Whether this end proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            AttemptEnd::Rejected | AttemptEnd::ConnectFailed | AttemptEnd::NotSent
        )
    }

    /// Whether the attempt may have run without an answer that can be given to the client.
    pub(crate) fn is_failure(self) -> bool {
        matches!(
            self,
            AttemptEnd::Failed | AttemptEnd::TimedOut | AttemptEnd::Reset
        )
    }
}

/// The outcome of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptOutcome {
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// The time from sending the attempt to its end.
    pub took: Nanos,
    /// The request has its final answer, or its client left.
    pub request_finished: bool,
    /// The load that the pod reported.
    pub load: Option<LoadReport>,
}
