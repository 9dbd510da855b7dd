//! Decides what the response of a pod, or the lack of one, means for an attempt and for its connection.
//!
//! The decisions follow the table "what comes back" of the protocol. Tests: `tests/unit/attempt_outcome.rs`; over
//! sockets `tests/protocol.rs`, `each_response_of_a_pod_has_its_outcome`, and `tests/races.rs`,
//! `a_request_on_a_kept_connection_that_is_closed_counts_as_may_have_run`.

use crate::idle_timeout::ReuseOutcome;
use crate::pod_pool::AcquireError;
use crate::pod_response::ResponseError;
use crate::wire_headers::UNPROCESSED;
use havenplank::interface::AttemptEnd;
use hyper::header::HeaderMap;
use hyper::StatusCode;
use std::time::Duration;

/// Returns how an attempt ended that got a response: only 200 is served; 503 and 504 with the unprocessed header never
/// ran; any other response may have run.
pub(crate) fn attempt_end(status: StatusCode, headers: &HeaderMap) -> AttemptEnd {
    if status == StatusCode::OK {
        return AttemptEnd::Served;
    }
    let may_be_unprocessed = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    );
    let is_unprocessed = headers.get(UNPROCESSED).is_some_and(|value| value == "1");
    if may_be_unprocessed && is_unprocessed {
        return AttemptEnd::Rejected;
    }
    AttemptEnd::Failed
}

/// Returns how an attempt or health check without a connection ended.
pub(crate) fn end_without_connection(reason: AcquireError) -> AttemptEnd {
    match reason {
        AcquireError::PodUnreachable => AttemptEnd::ConnectFailed,
        AcquireError::NoPermit => AttemptEnd::NotSent,
    }
}

/// Returns how a health check ended that got a response.
pub(crate) fn health_check_end(status: StatusCode) -> AttemptEnd {
    match status {
        StatusCode::OK => AttemptEnd::Served,
        _ => AttemptEnd::Failed,
    }
}

/// Returns the outcome of reusing a connection whose response was unusable. A connection that ended before any byte of
/// the response may have been dropped on the path while it was idle.
pub(crate) fn reuse_outcome(error: ResponseError) -> ReuseOutcome {
    match error {
        ResponseError::ClosedUnanswered | ResponseError::ResetUnanswered => ReuseOutcome::Broken,
        _ => ReuseOutcome::Answered,
    }
}

/// What to do after a request could not be written completely, so that it cannot have run.
#[derive(Debug, PartialEq)]
pub(crate) enum WriteFailureAction {
    /// The pod closed the idle connection: write the request to a new one.
    RetryOnNewConnection,
    /// The pod is unreachable: end the attempt.
    Fail,
}

/// Decides by how long the connection had been idle; `None` if the request was its first.
pub(crate) fn on_write_failure(idle_before: Option<Duration>) -> WriteFailureAction {
    match idle_before {
        Some(_) => WriteFailureAction::RetryOnNewConnection,
        None => WriteFailureAction::Fail,
    }
}

#[cfg(test)]
#[path = "../tests/unit/attempt_outcome.rs"]
mod tests;
