//! Requests, and how their attempts end.

use super::{LoadReport, Nanos, PodId, RequestId, RouteClassId};

/// A request as it arrives.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// The host's number for it.
    pub id: RequestId,
    /// Its route class.
    pub class: RouteClassId,
    /// Whom it is counted for, where that is known.
    pub tenant: Option<usize>,
    /// A hash of the request's key, 0 where it has none.
    pub key: u64,
    /// How long its client still waits.
    pub remaining: Nanos,
    /// What its client says it costs a pod.
    pub cost_hint: Option<Nanos>,
    /// Its client sent it before.
    pub is_retry: bool,
}

/// An attempt that another instance sent for a request before this one resumed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PriorAttempt {
    /// `None` for a pod that is not listed here.
    pub pod: Option<PodId>,
    /// How long ago it was sent.
    pub ago: Nanos,
    /// Nothing proves that it did not run.
    pub may_have_run: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// With an answer for the client.
    Served,
    /// With an error of the pod.
    Failed,
    /// The pod turned it away unseen.
    Rejected,
    /// No answer came within the timeout.
    TimedOut,
    /// No connection could be made.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// The router or the client no longer wanted it.
    Cancelled,
    /// It never left.
    NotSent,
}

impl AttemptEnd {
    /// Whether this proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            AttemptEnd::Rejected | AttemptEnd::ConnectFailed | AttemptEnd::NotSent
        )
    }

    /// Whether the attempt may have run and brought no answer that counts.
    pub(crate) fn is_failure(self) -> bool {
        matches!(
            self,
            AttemptEnd::Failed | AttemptEnd::TimedOut | AttemptEnd::Reset
        )
    }
}

/// What came of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptOutcome {
    /// How it ended.
    pub end: AttemptEnd,
    /// From sending to the end.
    pub took: Nanos,
    /// The request has its final answer.
    pub request_finished: bool,
    /// What the pod said of its load.
    pub load: Option<LoadReport>,
}
