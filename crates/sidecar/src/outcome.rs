//! Converts a response to the outcome that backups keep, and such an outcome back to a response.

use crate::backup_record::{header_list, header_map, HeaderList, MAX_RECORD_BYTES};
use crate::body::Body;
use crate::prepared_request::{LocalReply, PreparedRequest, Protection};
use crate::responses::{failed, rejected_with_retry_after, text_response};
use crate::takeover_policy::may_promise_harmless_retry;
use bytes::Bytes;
use havenplank::interface::Idempotency;
use havenplank_takeover::record::Outcome;
use http_body_util::{BodyExt, Full};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};

/// A response as backups keep it. Sidecars send it to each other in postcard format, where the field order matters.
#[derive(Serialize, Deserialize)]
struct ResponseRecord {
    status: u16,
    headers: HeaderList,
    body: Vec<u8>,
}

/// Returns the response that goes to the client, and the outcome that backups keep. A rejection becomes a failure if
/// the sidecar cannot promise that a retry is harmless.
pub async fn outcome_of(
    response: Response<Body>,
    request: &PreparedRequest,
) -> (Response<Body>, Outcome) {
    let idempotency = request.route.rules.idempotency;
    let retryable = idempotency != Idempotency::NonIdempotent;
    let protection = request.protection.as_ref().map(Protection::state);
    let may_reject = protection.is_none_or(|state| may_promise_harmless_retry(idempotency, state));
    match response.extensions().get::<LocalReply>() {
        Some(LocalReply::Rejected) if may_reject => (response, Outcome::Rejected),
        Some(LocalReply::Rejected) => (failed(false), Outcome::Failed { retryable }),
        Some(LocalReply::Failed) => (response, Outcome::Failed { retryable }),
        None => served_outcome(response).await,
    }
}

async fn served_outcome(response: Response<Body>) -> (Response<Body>, Outcome) {
    let (parts, body) = response.into_parts();
    let Body::Complete(body) = body else {
        // A streamed response is too long for the backups to keep.
        let response = Response::from_parts(parts, body);
        return (response, Outcome::Served(Vec::new()));
    };
    let collected = body.collect().await;
    let body = collected.map(|body| body.to_bytes()).unwrap_or_default();
    let encoded = encode(&parts, &body).unwrap_or_default();
    let response = Response::from_parts(parts, Body::Complete(Full::new(body)));
    (response, Outcome::Served(encoded))
}

fn encode(parts: &Parts, body: &Bytes) -> Option<Vec<u8>> {
    let record = ResponseRecord {
        status: parts.status.as_u16(),
        headers: header_list(&parts.headers),
        body: body.to_vec(),
    };
    let bytes = postcard::to_stdvec(&record).ok()?;
    Some(bytes).filter(|bytes| bytes.len() <= MAX_RECORD_BYTES)
}

/// Returns the response for a client that repeats a request whose outcome is known.
pub fn response_of(outcome: Outcome) -> Response<Body> {
    match outcome {
        Outcome::Rejected => rejected_with_retry_after(0),
        Outcome::Failed { .. } => failed(false),
        Outcome::Served(encoded) if encoded.is_empty() => text_response(
            StatusCode::BAD_GATEWAY,
            "errored: it ran, but its answer was too long to be kept\n",
        ),
        Outcome::Served(encoded) => decode(&encoded).unwrap_or_else(|| {
            text_response(
                StatusCode::BAD_GATEWAY,
                "errored: it ran, but its kept answer cannot be read here\n",
            )
        }),
    }
}

fn decode(encoded: &[u8]) -> Option<Response<Body>> {
    let record: ResponseRecord = postcard::from_bytes(encoded).ok()?;
    let mut response = Response::new(Body::Complete(Full::new(record.body.into())));
    *response.status_mut() = StatusCode::from_u16(record.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = header_map(&record.headers);
    Some(response)
}

#[cfg(test)]
#[path = "../tests/unit/outcome.rs"]
mod tests;
