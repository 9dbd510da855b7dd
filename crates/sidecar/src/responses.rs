//! Final answers that a sidecar makes itself, for whichever kind of body its transport sends.

use havenplank::interface::Nanos;
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::{Response, StatusCode};

const NANOS_PER_SECOND: Nanos = 1_000_000_000;

/// Builds an answer of this status and text.
pub fn text_response<B: From<&'static str>>(status: StatusCode, text: &'static str) -> Response<B> {
    let mut response = Response::new(B::from(text));
    *response.status_mut() = status;
    response
}

/// Builds the answer that a request was rejected: a retry is harmless. `retry_after` is in the protocol's own form,
/// none for no advice.
pub fn rejected<B: From<&'static str>>(retry_after: Option<HeaderValue>) -> Response<B> {
    let mut response = text_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "bounced: a retry is harmless\n",
    );
    if let Some(retry_after) = retry_after {
        response.headers_mut().insert(RETRY_AFTER, retry_after);
    }
    response
}

/// Builds the answer that a request was rejected, with whole seconds, as the header has no finer ones, and never later
/// than was decided.
pub fn rejected_with_retry_after<B: From<&'static str>>(retry_after: Nanos) -> Response<B> {
    rejected(Some(HeaderValue::from(retry_after / NANOS_PER_SECOND)))
}

/// Builds the answer that a request failed: it promises nothing.
pub fn failed<B: From<&'static str>>(timed_out: bool) -> Response<B> {
    match timed_out {
        true => text_response(StatusCode::GATEWAY_TIMEOUT, "errored: out of time\n"),
        false => text_response(StatusCode::BAD_GATEWAY, "errored: it may have run\n"),
    }
}

/// Says that the connection closes after this answer, as the rest of it is of no use.
pub fn with_connection_close<B>(mut response: Response<B>) -> Response<B> {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
