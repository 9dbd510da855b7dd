//! Emulated pods that end each attempt as the script says.

use super::replay::Replay;
use super::script::{PlannedEnd, RecordedAttempt};
use crate::pod::{REQUEST_HEADER, UNPROCESSED_HEADER};
use bytes::Bytes;
use havenplank::interface::{AttemptEnd, Build, LoadReport, RequestId};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Header of a load report.
const LOAD_REPORT_HEADER: &str = "endpoint-load-metrics";

/// Error of a service that closes the connection without an answer.
#[derive(Debug, thiserror::Error)]
#[error("reset on purpose")]
struct DeliberateReset;

/// Serves as a pod of a build until dropped.
pub(super) async fn serve(replay: Rc<Replay>, build: Build, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let replay = replay.clone();
        spawn_local(async move {
            let service = service_fn(|request| answer(&replay, build, request));
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn answer(
    replay: &Replay,
    build: Build,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, DeliberateReset> {
    let Some(request) = request_id(&request) else {
        return Ok(Response::new(Full::new(Bytes::new())));
    };
    let nth = count_attempt(replay, request, build);
    let planned = replay.script.planned_end(request, nth, build, replay.now());
    count_planned(replay, planned.as_ref());
    match planned {
        Some(planned) => end_attempt(planned.attempt).await,
        None => Ok(Response::new(Full::new(Bytes::new()))),
    }
}

fn request_id(request: &Request<Incoming>) -> Option<RequestId> {
    request
        .headers()
        .get(REQUEST_HEADER)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

/// Counts an attempt, and returns the number of earlier attempts of the request at this build.
fn count_attempt(replay: &Replay, request: RequestId, build: Build) -> usize {
    let mut counts = replay.attempt_counts.borrow_mut();
    let count = counts.entry(request).or_default().entry(build).or_default();
    *count += 1;
    *count - 1
}

fn count_planned(replay: &Replay, planned: Option<&PlannedEnd>) {
    let mut counts = replay.counts.borrow_mut();
    counts.driven.attempts += 1;
    if planned.is_some_and(|planned| planned.of_request) {
        counts.as_recorded += 1;
    } else {
        counts.as_build += 1;
    }
}

async fn end_attempt(attempt: RecordedAttempt) -> Result<Response<Full<Bytes>>, DeliberateReset> {
    let mut response = Response::new(Full::new(Bytes::from_static(b"found\n")));
    match attempt.end {
        AttemptEnd::Rejected => {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            let headers = response.headers_mut();
            headers.insert(UNPROCESSED_HEADER, HeaderValue::from_static("1"));
            return Ok(response);
        }
        AttemptEnd::ConnectFailed => return Err(DeliberateReset),
        AttemptEnd::TimedOut => std::future::pending().await,
        _ => sleep(Duration::from_nanos(attempt.took)).await,
    }
    match attempt.end {
        AttemptEnd::Reset => return Err(DeliberateReset),
        AttemptEnd::Failed => *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR,
        _ => {}
    }
    if let Some(text) = attempt.load.and_then(load_report) {
        response.headers_mut().insert(LOAD_REPORT_HEADER, text);
    }
    Ok(response)
}

/// A load report in the text form of `endpoint-load-metrics`.
fn load_report(load: LoadReport) -> Option<HeaderValue> {
    let fields = [
        ("cpu_utilization", load.cpu_utilization),
        ("rps_fractional", load.served_per_s),
        ("eps", load.failed_per_s),
        ("named_metrics.in_flight", load.in_flight),
        ("named_metrics.queued", load.queued),
        ("named_metrics.latency_ms", load.latency_ms),
    ];
    let reported: Vec<String> = fields
        .iter()
        .filter_map(|(name, value)| Some(format!("{name}={}", (*value)?)))
        .collect();
    if reported.is_empty() {
        return None;
    }
    HeaderValue::from_str(&format!("TEXT {}", reported.join(", "))).ok()
}
