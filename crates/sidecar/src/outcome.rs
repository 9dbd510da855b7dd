//! What backups keep of an answer, and the answer that a client gets from there.

use crate::backup_record::{header_list, header_map, HeaderList, MAX_RECORD_BYTES};
use crate::body::Body;
use crate::prepared_request::{OwnAnswer, PreparedRequest, Protection};
use crate::responses::{failed, plain, rejected_for};
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

/// Decides what backups keep of an answer, and which answer goes to the client.
///
/// A rejection tells the client that a retry does no harm. Where it cannot name the request, and backups may believe
/// for a moment longer that it is to be finished, that is not sure: if this sidecar were lost now, both the retry and a
/// takeover would run. So the client is promised nothing.
pub async fn outcome_of(
    response: Response<Body>,
    request: &PreparedRequest,
) -> (Response<Body>, Outcome) {
    let retryable = request.route.rules.idempotency != Idempotency::NonIdempotent;
    match response.extensions().get::<OwnAnswer>() {
        Some(OwnAnswer::Rejected) if retryable || !may_be_taken_over(request) => {
            (response, Outcome::Rejected)
        }
        Some(OwnAnswer::Rejected) => (failed(false), Outcome::Failed { retryable }),
        Some(OwnAnswer::Failed) => (response, Outcome::Failed { retryable }),
        None => served(response).await,
    }
}

/// Returns whether backups may believe for a moment longer that a request is to be finished, though its client cannot
/// name it.
fn may_be_taken_over(request: &PreparedRequest) -> bool {
    let is_in_doubt = |protection: &Protection| {
        !protection.has_client_key && protection.announced.get() && protection.backed_up.get()
    };
    request.protection.as_ref().is_some_and(is_in_doubt)
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
        Outcome::Rejected => rejected_for(0),
        Outcome::Failed { .. } => failed(false),
        Outcome::Served(kept) if kept.is_empty() => plain(
            StatusCode::BAD_GATEWAY,
            "errored: it ran, but its answer was too long to be kept\n",
        ),
        Outcome::Served(kept) => decode(&kept).unwrap_or_else(|| {
            plain(
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
