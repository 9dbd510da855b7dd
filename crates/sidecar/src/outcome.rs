//! What backups keep of an answer, and the answer that a client gets from there.

use crate::backup_record::{header_list, header_map, HeaderList, MAX_RECORD_BYTES};
use crate::body::Body;
use crate::prepared_request::{LocalReply, PreparedRequest, Protection};
use crate::responses::{failed, rejected_with_retry_after, text_response};
use crate::takeover_policy::may_promise_that_it_never_ran;
use bytes::Bytes;
use havenplank::interface::Idempotency;
use havenplank_takeover::record::Outcome;
use http_body_util::{BodyExt, Full};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};

/// An answer as backups keep it. The field order is what travels between sidecars (postcard).
#[derive(Serialize, Deserialize)]
struct ResponseRecord {
    status: u16,
    headers: HeaderList,
    body: Vec<u8>,
}

/// Returns what backups keep of an answer, and the answer that goes to the client: a rejection becomes a failure where
/// it would promise too much.
pub async fn outcome_of(
    response: Response<Body>,
    request: &PreparedRequest,
) -> (Response<Body>, Outcome) {
    let idempotency = request.route.rules.idempotency;
    let retryable = idempotency != Idempotency::NonIdempotent;
    let known = request.protection.as_ref().map(Protection::knowledge);
    let may_reject = known.is_none_or(|known| may_promise_that_it_never_ran(idempotency, known));
    match response.extensions().get::<LocalReply>() {
        Some(LocalReply::Rejected) if may_reject => (response, Outcome::Rejected),
        Some(LocalReply::Rejected) => (failed(false), Outcome::Failed { retryable }),
        Some(LocalReply::Failed) => (response, Outcome::Failed { retryable }),
        None => served(response).await,
    }
}

async fn served(response: Response<Body>) -> (Response<Body>, Outcome) {
    let (parts, body) = response.into_parts();
    let Body::Complete(body) = body else {
        // Passed on as it comes: too long to be kept.
        let response = Response::from_parts(parts, body);
        return (response, Outcome::Served(Vec::new()));
    };
    let collected = body.collect().await;
    let body = collected.map(|body| body.to_bytes()).unwrap_or_default();
    let kept = encode(&parts, &body).unwrap_or_default();
    let response = Response::from_parts(parts, Body::Complete(Full::new(body)));
    (response, Outcome::Served(kept))
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

/// Returns the answer to a client that came back.
pub fn response_of(outcome: Outcome) -> Response<Body> {
    match outcome {
        Outcome::Rejected => rejected_with_retry_after(0),
        Outcome::Failed { .. } => failed(false),
        Outcome::Served(kept) if kept.is_empty() => text_response(
            StatusCode::BAD_GATEWAY,
            "errored: it ran, but its answer was too long to be kept\n",
        ),
        Outcome::Served(kept) => decode(&kept).unwrap_or_else(|| {
            text_response(
                StatusCode::BAD_GATEWAY,
                "errored: it ran, but its kept answer cannot be read here\n",
            )
        }),
    }
}

fn decode(kept: &[u8]) -> Option<Response<Body>> {
    let record: ResponseRecord = postcard::from_bytes(kept).ok()?;
    let mut response = Response::new(Body::Complete(Full::new(record.body.into())));
    *response.status_mut() = StatusCode::from_u16(record.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = header_map(&record.headers);
    Some(response)
}

#[cfg(test)]
#[path = "../tests/unit/outcome.rs"]
mod tests;
