//! A hit's way: read at the door, taken, forwarded as the engine says, answered once.

use crate::dispatcher::AttemptResult;
use crate::engine::RequestAttributes;
use crate::exactly_once::{self, Guarded};
use crate::headers;
use crate::responses::{self, and_close, failed, plain};
use crate::routes::Route;
use crate::takeover_service::Going;
use crate::transport::Shell;
use crate::upstream::Lease;
use bytes::{Bytes, BytesMut};
use havenplank::interface::{
    stable_hash, AttemptEnd, HealthCheckResult, Idempotency, Nanos, PodId, RequestId,
};
use havenplank_settings::Guard;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH, VIA};
use hyper::{Method, Request, Response, StatusCode, Uri};
use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::time::timeout;

pub const MARK: &str = "idempotency-key";
/// Which pod delivered, for whoever flags an answer.
const POD: &str = "x-pod";

/// An answer's body: whole where it was short, else passed on as it comes.
pub enum Body {
    Whole(Full<Bytes>),
    Rest {
        first: Option<Bytes>,
        rest: Incoming,
        lease: Option<Lease>,
    },
}

impl From<&'static str> for Body {
    fn from(text: &'static str) -> Body {
        Body::Whole(Full::new(Bytes::from_static(text.as_bytes())))
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Body::Whole(whole) => Pin::new(whole)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Body::Rest { first, rest, lease } => {
                if let Some(first) = first.take() {
                    return Poll::Ready(Some(Ok(Frame::data(first))));
                }
                let polled = Pin::new(rest).poll_frame(cx);
                match &polled {
                    Poll::Ready(None) => lease.take().into_iter().for_each(Lease::give_back),
                    // Its connection is no good any more.
                    Poll::Ready(Some(Err(_))) => drop(lease.take()),
                    _ => {}
                }
                polled
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Whole(whole) => whole.is_end_stream(),
            Body::Rest { first, rest, .. } => first.is_none() && rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Whole(whole) => whole.size_hint(),
            Body::Rest { first, rest, .. } => {
                let more = first.as_ref().map_or(0, Bytes::len) as u64;
                rest.size_hint()
                    .exact()
                    .map_or_else(SizeHint::new, |rest| SizeHint::with_exact(rest + more))
            }
        }
    }
}

/// A hit as it will be sent, as often as it must be.
pub struct PreparedRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// The route that took it: it ends by this version of it, whatever is in force by then.
    pub route: Rc<Route>,
    /// The work that it is, where sidecars guard it.
    pub guarded: Option<Guarded>,
}

/// Whole seconds, as the header has no finer ones, and never later than was decided.
pub fn rejected(retry_after: Nanos) -> Response<Body> {
    responses::rejected(Some(HeaderValue::from(retry_after / 1_000_000_000)))
}

/// Told to the engine when the client is gone before its answer.
struct Owed {
    shell: Rc<Shell>,
    hit: RequestId,
}

impl Drop for Owed {
    fn drop(&mut self) {
        self.shell.client_left(self.hit);
    }
}

/// Answers one hit of a client. What is refused before it is taken is owed nothing by the decisions.
pub async fn serve(
    shell: Rc<Shell>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let arrived = Instant::now();
    let (asked, ask) = match read(&shell, request).await {
        Ok(read) => read,
        Err((status, why)) => return Ok(and_close(plain(status, why))),
    };
    if shell.is_full() {
        return Ok(and_close(rejected(1_000_000_000)));
    }
    let spent = arrived.elapsed().as_nanos() as Nanos + shell.site.door.answer_margin;
    let asked = RequestAttributes {
        remaining: asked.remaining.saturating_sub(spent),
        ..asked
    };
    if let Some(guard) = shell.guard.clone().filter(|_| ask.guarded.is_some()) {
        return Ok(exactly_once::serve(shell, guard, asked, ask).await);
    }
    let (answer, answered) = oneshot::channel();
    let hit = shell.dispatch(asked, ask, answer);
    let owed = Owed { shell, hit };
    let response = answered.await;
    // An engine that stops with a hit in hand is a fault; the client is told that nothing is promised.
    let response = response.unwrap_or_else(|_| failed(false));
    drop(owed);
    Ok(response)
}

/// Why a hit was refused before it was taken.
type Refused = (StatusCode, &'static str);

/// Reads a hit whole, so that it can be sent again, and refuses what is no hit.
async fn read(
    shell: &Rc<Shell>,
    request: Request<Incoming>,
) -> Result<(RequestAttributes, PreparedRequest), Refused> {
    let (site, door) = (&shell.site, &shell.site.door);
    let (parts, body) = request.into_parts();
    let routes = shell.routes();
    let Some(route) = routes
        .find(parts.method.as_str(), parts.uri.path())
        .cloned()
    else {
        return Err(match routes.awaits_configuration() {
            true => (
                StatusCode::SERVICE_UNAVAILABLE,
                "no configuration has been heard yet; a retry is harmless\n",
            ),
            false => (
                StatusCode::NOT_FOUND,
                "no path group takes this method and path\n",
            ),
        });
    };
    let rules = &route.rules;
    let bad = |text| Err((StatusCode::BAD_REQUEST, text));
    let mark = parts.headers.get(MARK);
    if mark.is_some_and(|mark| !headers::is_idempotency_key(mark.as_bytes())) {
        return bad("Idempotency-Key: expected a text in quotes\n");
    }
    if mark.is_none() && rules.idempotency == Idempotency::Keyed {
        return bad("Idempotency-Key: needed by this path group\n");
    }
    let text = |name: &str| {
        parts
            .headers
            .get(name)
            .map(|value| value.to_str().unwrap_or(""))
    };
    let asked_time = text(&site.headers.timeout).map(headers::parse_timeout);
    if asked_time == Some(None) {
        return bad("time-out: expected up to 8 digits and H, M, S, m, u or n\n");
    }
    let tenant = text(&site.headers.tenant).and_then(|name| Some((name, routes.tenant(name)?)));
    let asked = RequestAttributes {
        route_class: route.route_class(),
        tenant: tenant.and_then(|(_, tenant)| tenant.index),
        key: parts
            .headers
            .get(&site.headers.key)
            .map_or(0, |key| stable_hash(key.as_bytes())),
        // A client may wait less than its path group allows, never longer.
        remaining: asked_time
            .flatten()
            .unwrap_or(Nanos::MAX)
            .min(rules.client_timeout),
        cost_hint: text(&site.headers.cost_hint).and_then(headers::parse_cost_hint),
        is_retry: false,
    };
    let work = shell.guard.as_ref().filter(|_| route.guard != Guard::Off);
    let tenant = work.and(tenant).map(|(name, _)| name.to_string());
    // A request that waits for its body holds its own route, not the table.
    drop(routes);
    let too_large = (
        StatusCode::PAYLOAD_TOO_LARGE,
        "the body is over the limit\n",
    );
    if body.size_hint().lower() > door.body_bytes as u64 {
        return Err(too_large);
    }
    let body = if body.is_end_stream() {
        Bytes::new()
    } else {
        let whole = Limited::new(body, door.body_bytes).collect();
        match timeout(Duration::from_nanos(door.body_time), whole).await {
            Ok(Ok(whole)) => whole.to_bytes(),
            Ok(Err(error)) if error.downcast_ref::<LengthLimitError>().is_some() => {
                return Err(too_large)
            }
            Ok(Err(_)) => return bad("the body broke off\n"),
            Err(_) => return Err((StatusCode::REQUEST_TIMEOUT, "the body took too long\n")),
        }
    };
    let mut headers = parts.headers;
    headers::strip_hop_by_hop(&mut headers);
    headers.remove(CONTENT_LENGTH);
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let (mut headers, uri) = headers::detached_copy(&headers, path);
    let guarded = work.map(|guard| {
        let named = headers.get(MARK).or(headers.get(&site.headers.mark));
        exactly_once::of(guard, &route, tenant, named, (&parts.method, path, &body))
    });
    headers.append(VIA, shell.via.clone());
    Ok((
        asked,
        PreparedRequest {
            method: parts.method,
            uri,
            headers,
            body,
            route,
            guarded,
        },
    ))
}

/// Carries one forward out and tells the engine how it ended.
pub async fn forward(
    shell: Rc<Shell>,
    ask: Rc<PreparedRequest>,
    nth: (RequestId, u32),
    pod: PodId,
    time_out: Nanos,
) {
    let (sent, time) = (Cell::new(false), Duration::from_nanos(time_out));
    shell
        .run_attempt(
            nth,
            time,
            &sent,
            exchange(&shell, &ask, nth, pod, time, &sent),
        )
        .await;
}

async fn exchange(
    shell: &Rc<Shell>,
    ask: &PreparedRequest,
    (hit, nth): (RequestId, u32),
    pod: PodId,
    time: Duration,
    sent: &Cell<bool>,
) -> AttemptResult<Response<Body>> {
    let began = Instant::now();
    let Some(address) = shell.pod_address(pod) else {
        return AttemptEnd::NotSent.into();
    };
    let mut fresh = false;
    let mut going = None;
    let (lease, response) = loop {
        let Ok(mut lease) = shell.links.take(address, fresh).await else {
            return AttemptEnd::ConnectFailed.into();
        };
        if let (Some(guarded), None) = (&ask.guarded, &going) {
            match exactly_once::before(shell, guarded, pod).await {
                Ok(told) => going = told,
                Err(exactly_once::NotOurs) => {
                    lease.give_back();
                    return AttemptEnd::NotSent.into();
                }
            }
        }
        // Chosen when it had no connection yet: the pod may drain by now, or its build be closed.
        if !shell.may_send(hit, nth) || !exactly_once::may(shell, ask) {
            lease.give_back();
            return AttemptEnd::NotSent.into();
        }
        let mut request = Request::new(Full::new(ask.body.clone()));
        *request.method_mut() = ask.method.clone();
        *request.uri_mut() = ask.uri.clone();
        *request.headers_mut() = ask.headers.clone();
        let left =
            headers::format_timeout(time.saturating_sub(began.elapsed()).as_nanos() as Nanos);
        if let Ok(left) = HeaderValue::from_str(&left) {
            request
                .headers_mut()
                .insert(shell.timeout_header.clone(), left);
        }
        sent.set(true);
        going.iter().for_each(|going| going.sent(true));
        match lease.sender.try_send_request(request).await {
            Ok(response) => break (lease, response),
            // It comes back whole only where no byte of it was written: the connection closed while idle.
            Err(mut error) => match error.take_message() {
                Some(_) if fresh => {
                    going.iter().for_each(Going::never_ran);
                    return AttemptEnd::ConnectFailed.into();
                }
                Some(_) => {
                    going.iter().for_each(|going| going.sent(false));
                    sent.set(false);
                    fresh = true;
                }
                None => return AttemptEnd::Reset.into(),
            },
        }
    };
    let (mut parts, mut body) = response.into_parts();
    let rules = &shell.site.links;
    let load = parts
        .headers
        .get("endpoint-load-metrics")
        .filter(|_| rules.load);
    let load = load.and_then(|text| headers::parse_load_report(text.to_str().ok()?));
    let unseen =
        parts.status == rules.unseen_status && parts.headers.contains_key(&rules.unseen_header);
    let end = match parts.status {
        _ if unseen => AttemptEnd::Rejected,
        status if status.is_server_error() => AttemptEnd::Failed,
        _ => AttemptEnd::Served,
    };
    if end.never_ran() {
        going.iter().for_each(Going::never_ran);
    }
    headers::strip_hop_by_hop(&mut parts.headers);
    let read = match ask.route.rules.stream {
        true => Ok((Bytes::new(), false)),
        false => collect(&mut body, shell.site.door.answer_bytes).await,
    };
    let Ok((first, whole)) = read else {
        return AttemptEnd::Reset.into();
    };
    let body = if whole {
        lease.give_back();
        Body::Whole(Full::new(first))
    } else if end == AttemptEnd::Served {
        Body::Rest {
            first: Some(first).filter(|first| !first.is_empty()),
            rest: body,
            lease: Some(lease),
        }
    } else {
        // Nobody reads on in an answer that goes nowhere: its connection closes with the lease.
        return AttemptResult {
            end,
            load,
            response: None,
        };
    };
    if let Some(name) = shell.pod_name(pod) {
        parts.headers.insert(POD, name);
    }
    if end == AttemptEnd::Served {
        going.iter().for_each(Going::delivered);
    }
    AttemptResult {
        end,
        load,
        response: Some(Response::from_parts(parts, body)),
    }
}

/// Reads an answer's body up to `most` bytes, and whether that was all of it.
async fn collect(body: &mut Incoming, most: usize) -> Result<(Bytes, bool), hyper::Error> {
    let mut first = Bytes::new();
    // Most answers are one frame, which is passed on as it is.
    while first.is_empty() {
        match body.frame().await {
            None => return Ok((first, true)),
            Some(frame) => first = frame?.into_data().unwrap_or_default(),
        }
    }
    if body.is_end_stream() {
        return Ok((first, true));
    }
    let mut read = BytesMut::from(&first[..]);
    while read.len() <= most {
        match body.frame().await {
            None => return Ok((read.freeze(), true)),
            Some(frame) => {
                if let Ok(data) = frame?.into_data() {
                    read.extend_from_slice(&data);
                }
            }
        }
    }
    Ok((read.freeze(), false))
}

/// Asks a pod's probe path; any answer below 500 is one.
pub async fn probe(shell: &Rc<Shell>, pod: PodId) -> HealthCheckResult {
    let (began, rules) = (Instant::now(), &shell.site.links);
    let asked = async {
        let Some(address) = shell.pod_address(pod) else {
            return (AttemptEnd::NotSent, None);
        };
        let Ok(mut lease) = shell.links.take(address, true).await else {
            return (AttemptEnd::ConnectFailed, None);
        };
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = rules
            .probe_path
            .parse()
            .unwrap_or_else(|_| Uri::from_static("/"));
        request.headers_mut().insert(VIA, shell.via.clone());
        let Ok(response) = lease.sender.send_request(request).await else {
            return (AttemptEnd::Reset, None);
        };
        let load = response
            .headers()
            .get("endpoint-load-metrics")
            .filter(|_| rules.load);
        let load = load.and_then(|text| headers::parse_load_report(text.to_str().ok()?));
        (
            if response.status().is_server_error() {
                AttemptEnd::Failed
            } else {
                AttemptEnd::Served
            },
            load,
        )
    };
    let ended = timeout(Duration::from_nanos(rules.connect_time), asked).await;
    let (end, load) = ended.unwrap_or((AttemptEnd::TimedOut, None));
    HealthCheckResult {
        end,
        took: began.elapsed().as_nanos() as Nanos,
        load,
    }
}
