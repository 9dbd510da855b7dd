//! The HTTP interface for operators: reports the sidecar's state, and accepts reports of wrong responses.

use crate::body::Body;
use crate::request_body::{read_body, BodyError, BodyLimits};
use crate::responses::text_response;
use crate::shell::Shell;
use crate::state_report::state_report;
use crate::tracked_body::TrackedRequestBody;
use havenplank::interface::Nanos;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::{Method, Request, Response, StatusCode};
use serde_json::Value;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The largest body of a report, in bytes.
const MAX_BODY_BYTES: usize = 4096;
/// How long a report's body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);
const NANOS_PER_MILLI: Nanos = 1_000_000;

/// Why a report of a wrong response is rejected; holds the text of the HTTP response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
struct ReportError(&'static str);

/// Serves `GET /state`, and `POST /flagged` with the body `{"pod": ..., "path_group": ..., "ago_ms": ...}`, which
/// reports a wrong response that the client received from that pod `ago_ms` milliseconds ago.
///
/// # Errors
/// Returns no error.
pub async fn serve(
    shell: Rc<Shell>,
    request: Request<TrackedRequestBody>,
) -> Result<Response<Body>, Infallible> {
    let (method, path) = (request.method().clone(), request.uri().path().to_string());
    Ok(match (method, path.as_str()) {
        (Method::GET, "/state") => state_response(&shell),
        (Method::POST, "/flagged") => match report_fault(&shell, request).await {
            Ok(()) => text_response(StatusCode::NO_CONTENT, ""),
            Err(ReportError(reason)) => {
                tracing::info!(reason, "rejected a report of a wrong response");
                text_response(StatusCode::BAD_REQUEST, reason)
            }
        },
        _ => text_response(
            StatusCode::NOT_FOUND,
            "expected GET /state or POST /flagged\n",
        ),
    })
}

fn state_response(shell: &Shell) -> Response<Body> {
    let text = format!("{}\n", state_report(shell));
    let mut response = Response::new(Body::Complete(Full::new(text.into())));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

async fn report_fault(
    shell: &Rc<Shell>,
    request: Request<TrackedRequestBody>,
) -> Result<(), ReportError> {
    let read_by = Instant::now() + BODY_TIMEOUT;
    let limits = BodyLimits {
        max_bytes: MAX_BODY_BYTES,
        read_by,
        reserve_by: read_by,
    };
    let body = read_body(request.into_body(), &limits, &shell.request_memory).await;
    let body = body.map_err(|error| match error {
        BodyError::TooSlow | BodyError::NoMemory(_) => ReportError("the body took too long\n"),
        BodyError::TooLarge | BodyError::Incomplete => ReportError("expected 4096 bytes at most\n"),
    })?;
    let report: Value =
        serde_json::from_slice(&body).map_err(|_| ReportError("expected a JSON object\n"))?;
    let pod = report["pod"]
        .as_str()
        .ok_or(ReportError("pod: expected a text\n"))?;
    let route_class = report["path_group"]
        .as_str()
        .ok_or(ReportError("path_group: expected a text\n"))?;
    let ago_ms = report["ago_ms"]
        .as_u64()
        .ok_or(ReportError("ago_ms: expected a whole number\n"))?;
    let ago = ago_ms
        .checked_mul(NANOS_PER_MILLI)
        .ok_or(ReportError("ago_ms: too long ago\n"))?;
    match shell.report_fault(pod, route_class, ago) {
        true => Ok(()),
        false => Err(ReportError("pod or path_group: not known\n")),
    }
}
