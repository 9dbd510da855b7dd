//! The way of a hit whose work other sidecars guard: claimed, forwarded once its guardians know, answered once, by
//! whoever holds it at its end. Which of these may be done when is decided in `havenplank-takeover`, what is done next
//! by the module.

use crate::engine::RequestAttributes;
use crate::headers;
use crate::proxy::{rejected, Body, PreparedRequest};
use crate::responses::{failed, plain};
use crate::routes::Route;
use crate::takeover_service::{mark, mark_text, Claim, Going, Guard};
use crate::transport::Shell;
use bytes::Bytes;
use havenplank::interface::{DedupScope, Idempotency, Nanos, PodId, PriorAttempt};
use havenplank_settings::Guard as Mode;
use havenplank_takeover::record::{AttemptState, Outcome, Record, RequestId};
use http_body_util::{BodyExt, Full};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// A hit or an answer longer than this is not kept by others, in bytes.
const LONGEST: usize = 256 << 10;

/// Marks the answers that a sidecar made itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    Bounced,
    Errored,
}

/// One piece of guarded work.
pub struct Guarded {
    pub mark: RequestId,
    /// The tenant that asks, where it is one of the configuration.
    tenant: Option<String>,
    /// The client can name it, and so finds it again.
    named: bool,
    sum: u64,
    /// Forwards wait until guardians know.
    wait: bool,
    /// Cleared where nobody guards it after all.
    on: Cell<bool>,
    /// Some forward of it was announced.
    announced: Cell<bool>,
}

/// The work that a hit is: by the client's key or the hit's own mark within its path group.
pub fn of(
    guard: &Guard,
    route: &Route,
    tenant: Option<String>,
    named: Option<&HeaderValue>,
    (method, path, body): (&Method, &str, &Bytes),
) -> Guarded {
    let name = named.map(|name| mark(&[route.name.as_bytes(), name.as_bytes()]));
    let sum = mark(&[method.as_str().as_bytes(), path.as_bytes(), body]) as u64;
    Guarded {
        mark: name.unwrap_or_else(|| guard.own_mark()),
        tenant,
        named: name.is_some(),
        sum,
        wait: route.guard == Mode::BeforeForward,
        on: Cell::new(true),
        announced: Cell::new(false),
    }
}

/// Headers as they travel between sidecars.
type Heads = Vec<(String, Vec<u8>)>;

/// A hit as its guardians keep it. By names, as two sidecars may number path groups and tenants differently.
#[derive(Serialize, Deserialize)]
struct Kept {
    group: String,
    #[serde(rename = "customer")]
    tenant: Option<String>,
    key: u64,
    cost_hint: Option<Nanos>,
    method: String,
    path: String,
    headers: Heads,
    body: Vec<u8>,
}

#[derive(Serialize, Deserialize)]
struct KeptAnswer {
    status: u16,
    headers: Heads,
    body: Vec<u8>,
}

fn heads_of(headers: &HeaderMap) -> Heads {
    headers
        .iter()
        .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
        .collect()
}

fn heads_from(heads: &Heads) -> HeaderMap {
    let header = |(name, value): &(String, Vec<u8>)| {
        Some((
            name.parse::<HeaderName>().ok()?,
            HeaderValue::from_bytes(value).ok()?,
        ))
    };
    heads.iter().filter_map(header).collect()
}

fn keep(asked: &RequestAttributes, ask: &PreparedRequest, work: &Guarded) -> Option<Vec<u8>> {
    let kept = Kept {
        group: ask.route.name.clone(),
        tenant: work.tenant.clone(),
        key: asked.key,
        cost_hint: asked.cost_hint,
        method: ask.method.to_string(),
        path: ask
            .uri
            .path_and_query()
            .map_or("/", |path| path.as_str())
            .to_string(),
        headers: heads_of(&ask.headers),
        body: ask.body.to_vec(),
    };
    postcard::to_stdvec(&kept)
        .ok()
        .filter(|bytes| bytes.len() <= LONGEST)
}

/// Serves a hit in a task of its own: its work goes on though its client leaves.
pub async fn serve(
    shell: Rc<Shell>,
    guard: Rc<Guard>,
    asked: RequestAttributes,
    ask: PreparedRequest,
) -> Response<Body> {
    let (answer, answered) = oneshot::channel();
    let serving = guard.serving();
    spawn_local(async move {
        let _serving = serving;
        // Where the client has left meanwhile nobody is there to be answered.
        let _ = answer.send(claimed(&shell, &guard, asked, ask).await);
    });
    answered.await.unwrap_or_else(|_| failed(false))
}

async fn claimed(
    shell: &Rc<Shell>,
    guard: &Rc<Guard>,
    asked: RequestAttributes,
    ask: PreparedRequest,
) -> Response<Body> {
    let began = Instant::now();
    let ask = Rc::new(ask);
    let Some(work) = &ask.guarded else {
        return failed(false);
    };
    let (mark, sum, wait) = (work.mark, work.sum, work.wait);
    let Some(bytes) = keep(&asked, &ask, work) else {
        work.on.set(false);
        return run(shell, guard, None, asked, ask.clone(), mark).await;
    };
    if wait {
        let rules = &ask.route.rules;
        let dropped =
            rules.idempotency == Idempotency::Keyed && rules.dedup_scope == DedupScope::All;
        let strict = work.named && rules.idempotency != Idempotency::Idempotent && !dropped;
        // Work that was claimed and given up elsewhere leaves nobody who knows it: then it is claimed anew, as long as
        // its client waits.
        let claim = loop {
            let left = asked
                .remaining
                .saturating_sub(began.elapsed().as_nanos() as Nanos);
            match guard.claim(mark, sum, (bytes.clone(), strict), left).await {
                Claim::Nobody if began.elapsed().as_nanos() < u128::from(asked.remaining) => {}
                claim => break claim,
            }
        };
        match claim {
            Claim::Taken => {}
            Claim::Unguarded => work.on.set(false),
            Claim::Unsure => return rejected(shell.site.forwards.max_retry_after),
            Claim::Done(done) => return answer_of(done),
            Claim::Differs => {
                let why =
                    "Idempotency-Key: another hit was sent under it; expected the same hit or another key\n";
                return plain(StatusCode::UNPROCESSABLE_ENTITY, why);
            }
            Claim::Nobody => return failed(true),
        }
    } else {
        guard.claim_behind(mark, sum, bytes, asked.remaining);
    }
    let left = asked
        .remaining
        .saturating_sub(began.elapsed().as_nanos() as Nanos);
    run(
        shell,
        guard,
        None,
        RequestAttributes {
            remaining: left,
            ..asked
        },
        ask.clone(),
        mark,
    )
    .await
}

/// Lets the module finish a hit; or, where its work is lost to another, waits for that one's answer.
async fn run(
    shell: &Rc<Shell>,
    guard: &Rc<Guard>,
    past: Option<Vec<PriorAttempt>>,
    asked: RequestAttributes,
    ask: Rc<PreparedRequest>,
    mark: RequestId,
) -> Response<Body> {
    let (kind, left) = (
        ask.route.rules.idempotency,
        Duration::from_nanos(asked.remaining),
    );
    let began = Instant::now();
    let (lost, told) = guard.watch(mark);
    let (answer, answered) = oneshot::channel();
    let hit = shell.dispatch_resumed(past, asked, ask.clone(), answer);
    let response = tokio::select! {
        // A hit that is answered here is answered, whatever else is known by now.
        biased;
        response = answered => response.unwrap_or_else(|_| failed(false)),
        Ok(()) = lost => {
            shell.client_left(hit);
            let claim = timeout(left.saturating_sub(began.elapsed()), told).await;
            guard.forget(mark);
            return match claim {
                Ok(Ok(Claim::Done(done))) => answer_of(done),
                _ => failed(true),
            };
        }
    };
    let (response, done) = last_word(response, kind, ask.guarded.as_ref()).await;
    guard.finish(mark, done);
    response
}

/// What the guardians keep of an answer. A bounce tells the client that a retry does no harm. Where it cannot name
/// the work, and guardians may believe for a moment longer that it is to be finished, that is not sure: if this
/// sidecar were lost now, both the retry and a takeover would run. So it promises nothing.
async fn last_word(
    response: Response<Body>,
    kind: Idempotency,
    work: Option<&Guarded>,
) -> (Response<Body>, Outcome) {
    let again = kind != Idempotency::NonIdempotent;
    let doubtful =
        work.is_some_and(|work| !work.named && work.announced.get() && work.on.get()) && !again;
    match response.extensions().get::<Final>() {
        Some(Final::Bounced) if doubtful => (failed(false), Outcome::Failed { retryable: again }),
        Some(Final::Bounced) => (response, Outcome::Rejected),
        Some(Final::Errored) => (response, Outcome::Failed { retryable: again }),
        None => {
            let (parts, body) = response.into_parts();
            let Body::Whole(whole) = body else {
                // Passed on as it comes: too long to be kept.
                return (
                    Response::from_parts(parts, body),
                    Outcome::Served(Vec::new()),
                );
            };
            let whole = whole
                .collect()
                .await
                .map(|whole| whole.to_bytes())
                .unwrap_or_default();
            let (status, headers) = (parts.status.as_u16(), heads_of(&parts.headers));
            let kept = KeptAnswer {
                status,
                headers,
                body: whole.to_vec(),
            };
            let kept = postcard::to_stdvec(&kept)
                .ok()
                .filter(|bytes| bytes.len() <= LONGEST);
            let response = Response::from_parts(parts, Body::Whole(Full::new(whole)));
            (response, Outcome::Served(kept.unwrap_or_default()))
        }
    }
}

/// The answer to a client that came back.
fn answer_of(done: Outcome) -> Response<Body> {
    let delivered = match done {
        Outcome::Rejected => return rejected(0),
        Outcome::Failed { .. } => return failed(false),
        Outcome::Served(kept) if kept.is_empty() => {
            return plain(
                StatusCode::BAD_GATEWAY,
                "errored: it ran, but its answer was too long to be kept\n",
            )
        }
        Outcome::Served(kept) => kept,
    };
    let Ok(KeptAnswer {
        status,
        headers,
        body,
    }) = postcard::from_bytes(&delivered)
    else {
        return plain(
            StatusCode::BAD_GATEWAY,
            "errored: it ran, but its kept answer cannot be read here\n",
        );
    };
    let mut response = Response::new(Body::Whole(Full::new(body.into())));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = heads_from(&headers);
    response
}

/// The work is another's, or it is not sure whose.
pub struct NotOurs;

/// Tells the guardians that a forward is about to go; nothing where nobody guards it.
pub async fn before(
    shell: &Rc<Shell>,
    work: &Guarded,
    pod: PodId,
) -> Result<Option<Going>, NotOurs> {
    let Some(guard) = shell.guard.as_ref().filter(|_| work.on.get()) else {
        return Ok(None);
    };
    let name = shell.engine().pod_name(pod).unwrap_or_default().to_string();
    work.announced.set(true);
    match guard.before(work.mark, &name, work.wait).await {
        None if work.wait => Err(NotOurs),
        going => Ok(going),
    }
}

/// Whether a guarded forward may be written at this moment.
pub fn may(shell: &Rc<Shell>, ask: &PreparedRequest) -> bool {
    let Some(work) = ask
        .guarded
        .as_ref()
        .filter(|work| work.wait && work.on.get())
    else {
        return true;
    };
    let may = shell
        .guard
        .as_ref()
        .is_some_and(|guard| guard.may(work.mark));
    if !may {
        tracing::warn!(
            mark = mark_text(work.mark),
            "forward not sent: the right to the work is lost or unsure"
        );
    }
    may
}

/// Finishes work that was another's.
pub fn take_over(shell: &Rc<Shell>, record: Record) {
    let Some(guard) = shell.guard.clone() else {
        return;
    };
    let (shell, mark, began) = (shell.clone(), record.request, Instant::now());
    spawn_local(async move {
        let may_have_run = record
            .attempts
            .iter()
            .filter(|past| past.state != AttemptState::NeverRan)
            .count();
        let (forwards, left_ms) = (record.attempts.len(), record.remaining / 1_000_000);
        tracing::info!(
            mark = mark_text(mark),
            forwards,
            may_have_run,
            left_ms,
            "work taken over"
        );
        let ended = match read(&shell, &record) {
            Some((asked, ask)) => {
                let earlier = |past: &havenplank_takeover::record::Attempt| PriorAttempt {
                    pod: shell.engine().pod_id(&past.pod),
                    ago: past.age,
                    may_have_run: past.state != AttemptState::NeverRan,
                };
                let past = Some(record.attempts.iter().map(earlier).collect());
                run(&shell, &guard, past, asked, Rc::new(ask), mark)
                    .await
                    .status()
            }
            None => {
                tracing::warn!(
                    mark = mark_text(mark),
                    "work of a path group that is not known here: errored"
                );
                guard.finish(mark, Outcome::Failed { retryable: false });
                StatusCode::BAD_GATEWAY
            }
        };
        let took_ms = began.elapsed().as_millis() as u64;
        tracing::info!(
            mark = mark_text(mark),
            status = ended.as_u16(),
            took_ms,
            "work finished"
        );
    });
}

fn read(shell: &Shell, record: &Record) -> Option<(RequestAttributes, PreparedRequest)> {
    let kept: Kept = postcard::from_bytes(&record.payload).ok()?;
    let routes = shell.routes();
    let route = routes.named(&kept.group)?.clone();
    let asked = RequestAttributes {
        route_class: route.route_class(),
        tenant: kept
            .tenant
            .as_ref()
            .and_then(|name| routes.tenant(name)?.index),
        key: kept.key,
        remaining: record.remaining.min(route.rules.client_timeout),
        cost_hint: kept.cost_hint,
        is_retry: false,
    };
    let (headers, uri) = headers::detached_copy(&heads_from(&kept.headers), &kept.path);
    let guarded = Guarded {
        mark: record.request,
        tenant: kept.tenant,
        named: false,
        sum: record.digest,
        wait: route.guard != Mode::Behind,
        on: Cell::new(true),
        announced: Cell::new(true),
    };
    let method = kept.method.parse().ok()?;
    Some((
        asked,
        PreparedRequest {
            method,
            uri,
            headers,
            body: kept.body.into(),
            route,
            guarded: Some(guarded),
        },
    ))
}
