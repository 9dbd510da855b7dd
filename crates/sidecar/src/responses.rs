//! Final answers that a sidecar makes itself, for whichever kind of body its front sends.

use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::{Response, StatusCode};

pub fn plain<B: From<&'static str>>(status: StatusCode, text: &'static str) -> Response<B> {
    let mut response = Response::new(B::from(text));
    *response.status_mut() = status;
    response
}

/// A retry is harmless; when to come back in the protocol's own form, none for no advice.
pub fn rejected<B: From<&'static str>>(retry_after: Option<HeaderValue>) -> Response<B> {
    let mut response = plain(
        StatusCode::SERVICE_UNAVAILABLE,
        "bounced: a retry is harmless\n",
    );
    if let Some(retry_after) = retry_after {
        response.headers_mut().insert(RETRY_AFTER, retry_after);
    }
    response
}

/// Promises nothing.
pub fn failed<B: From<&'static str>>(late: bool) -> Response<B> {
    match late {
        true => plain(StatusCode::GATEWAY_TIMEOUT, "errored: out of time\n"),
        false => plain(StatusCode::BAD_GATEWAY, "errored: it may have run\n"),
    }
}

/// The rest of the connection is of no use.
pub fn and_close<B>(mut response: Response<B>) -> Response<B> {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
