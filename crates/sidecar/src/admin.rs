//! The operators' listener: a look at the state, and wrong answers reported.

use crate::proxy::Body;
use crate::responses::plain;
use crate::transport::Shell;
use havenplank::interface::Nanos;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{json, Value};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

const BODY: usize = 4096;
const BODY_TIME: Duration = Duration::from_secs(2);

/// `GET /state`, and `POST /flagged` with `{"pod": ..., "path_group": ..., "ago_ms": ...}`.
pub async fn serve(
    shell: Rc<Shell>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let (method, path) = (request.method().clone(), request.uri().path().to_string());
    Ok(match (method, path.as_str()) {
        (Method::GET, "/state") => state(&shell),
        (Method::POST, "/flagged") => match flagged(&shell, request).await {
            Ok(()) => plain(StatusCode::NO_CONTENT, ""),
            Err(why) => {
                tracing::info!(why, "flagged refused");
                plain(StatusCode::BAD_REQUEST, why)
            }
        },
        _ => plain(
            StatusCode::NOT_FOUND,
            "expected GET /state or POST /flagged\n",
        ),
    })
}

fn state(shell: &Shell) -> Response<Body> {
    let glance = shell.status();
    let stage = glance.stage.map(|stage| {
        json!({"build": stage.build, "stage": stage.stage, "phase": format!("{:?}", stage.phase), "cap": stage.cap})
    });
    let sums = glance.test_sums;
    let mut state = json!({
        "name": shell.site.name,
        "hits_in_flight": glance.requests,
        "pods_running": glance.running_pods,
        "stage": stage,
        "sums": {"failures": sums.failures, "slow": sums.slow, "by_share": sums.by_share},
    });
    if let Some(configuration) = shell.configuration.get() {
        state["configuration"] = configuration.state();
    }
    if let Some(guard) = &shell.guard {
        let glance = guard.glance();
        state["takeover"] = json!({
            "held": glance.held, "kept": glance.kept, "waiting": glance.waiting,
            "unguarded": glance.unguarded, "turned_away": glance.turned_away, "taken_over": glance.taken_over,
        });
    }
    if let Some(fellowship) = &shell.fellowship {
        let glance = fellowship.glance();
        state["fellowship"] = json!({
            "living": glance.living, "slowness": glance.slowness, "sent": glance.sent, "sent_bytes": glance.sent_bytes,
            "refused": glance.refused, "overrun": glance.overrun, "unsent": glance.unsent,
        });
        let disputes = glance.disputes.iter().map(|dispute| {
            json!({
                "with": dispute.with, "it_misses": dispute.it_misses, "we_miss": dispute.we_miss, "roster": dispute.voters_differ,
            })
        });
        state["standing"] = json!({
            "is": glance.standing, "for_ms": glance.stands_for / 1_000_000, "belong": glance.belong, "reached": glance.reached,
            "missing": glance.missing, "deaf_to_us": glance.deaf_to_us, "unsteady": glance.unsteady,
            "disputes": disputes.collect::<Vec<_>>(),
        });
    }
    let mut response = Response::new(Body::Whole(Full::new(format!("{state}\n").into())));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

async fn flagged(shell: &Rc<Shell>, request: Request<Incoming>) -> Result<(), &'static str> {
    let body = timeout(BODY_TIME, Limited::new(request.into_body(), BODY).collect()).await;
    let body = body
        .map_err(|_| "the body took too long\n")?
        .map_err(|_| "expected 4096 bytes at most\n")?;
    let told: Value =
        serde_json::from_slice(&body.to_bytes()).map_err(|_| "expected a JSON object\n")?;
    let pod = told["pod"].as_str().ok_or("pod: expected a text\n")?;
    let group = told["path_group"]
        .as_str()
        .ok_or("path_group: expected a text\n")?;
    let ago = told["ago_ms"]
        .as_u64()
        .ok_or("ago_ms: expected a whole number\n")?;
    let ago: Nanos = ago.checked_mul(1_000_000).ok_or("ago_ms: too long ago\n")?;
    match shell.report_fault(pod, group, ago) {
        true => Ok(()),
        false => Err("pod or path_group: not known\n"),
    }
}
