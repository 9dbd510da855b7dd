//! Decides what a pod's response, or the lack of one, means for an attempt and for its connection.
//!
//! The table is the protocol's, "what comes back". Tests: `tests/unit/attempt_outcome.rs`; over sockets `tests/traps.rs`,
//! `each_response_of_a_pod_has_its_outcome`, and
//! `tests/crossings.rs`, `a_kept_connection_reset_under_a_request_counts_as_may_have_run`.

use crate::idle_timeout::Reuse;
use crate::pod_pool::NoConnection;
use crate::pod_response::ResponseError;
use crate::wire_headers::UNPROCESSED;
use havenplank::interface::AttemptEnd;
use hyper::header::HeaderMap;
use hyper::StatusCode;
use std::time::Duration;

/// Returns how an attempt ended by its response: served by a 200 alone; 503 and 504 with the header that says so never
/// ran; anything else may have run.
pub(crate) fn end_of(status: StatusCode, headers: &HeaderMap) -> AttemptEnd {
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

/// Returns how an attempt or health check ended that got no connection.
pub(crate) fn end_without_connection(reason: NoConnection) -> AttemptEnd {
    match reason {
        NoConnection::Pod => AttemptEnd::ConnectFailed,
        NoConnection::Permits => AttemptEnd::NotSent,
    }
}

/// Returns how a health check ended by its response.
pub(crate) fn health_check_end_of(status: StatusCode) -> AttemptEnd {
    match status {
        StatusCode::OK => AttemptEnd::Served,
        _ => AttemptEnd::Failed,
    }
}

/// Returns what an unusable response says about keeping connections idle: one that ended before any byte of a response
/// may have been forgotten while it was idle.
pub(crate) fn reuse_of(error: ResponseError) -> Reuse {
    match error {
        ResponseError::ClosedUnanswered | ResponseError::ResetUnanswered => Reuse::Broken,
        _ => Reuse::Answered,
    }
}

/// What to do where a request could not be written whole: it has never run.
#[derive(Debug, PartialEq)]
pub(crate) enum WriteFailure {
    /// The pod closed a kept connection meanwhile: write it on a new one.
    UseNewConnection,
    /// The pod is out of reach.
    GiveUp,
}

/// Decides by how long the connection had been idle; none where the request was its first.
pub(crate) fn on_write_failure(idle_before: Option<Duration>) -> WriteFailure {
    match idle_before {
        Some(_) => WriteFailure::UseNewConnection,
        None => WriteFailure::GiveUp,
    }
}

#[cfg(test)]
#[path = "../tests/unit/attempt_outcome.rs"]
mod tests;
