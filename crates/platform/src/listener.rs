//! Clients: what is read, refused and answered, and which connections are kept.

use crate::node::Shell;
use crate::pods::{Ask, BODY_BYTES, TIME_LEFT};
use crate::slots::{self, Shares, Slot};
use bytes::Bytes;
use havenplank::interface::{stable_hash, Idempotency, Nanos, RequestId, RouteClassId};
use havenplank_sidecar::client_stream::ClientStream;
use havenplank_sidecar::engine::RequestAttributes;
use havenplank_sidecar::responses::{self, and_close, failed, plain};
use havenplank_sidecar::{headers, take_queued_connections};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{
    HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, COOKIE, TRANSFER_ENCODING,
};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::{spawn_local, yield_now, AbortHandle};
use tokio::time::{sleep, timeout_at};

const ID: HeaderName = HeaderName::from_static("x-correlation-id");
const MARK: HeaderName = HeaderName::from_static("idempotency-key");
const REPEAT: HeaderName = HeaderName::from_static("x-repeat");
const TENANT: HeaderName = HeaderName::from_static("x-account");
const HINT: HeaderName = HeaderName::from_static("x-weight-hint");
/// The cookie that names what a hit is about: hits that share it belong together.
const KEY: &[u8] = b"sid=";
const HEAD_BYTES: usize = 16 << 10;
const HEADERS: usize = 64;
const ID_BYTES: usize = 128;
/// How long a connection that should close is left to HTTP while bytes lie unread on it.
const UNREAD: Duration = Duration::from_millis(2);

type Answer = Response<Full<Bytes>>;

/// A client's connection.
struct Client {
    tap: ClientStream,
    slot: Cell<Slot>,
    task: RefCell<Option<AbortHandle>>,
}

impl Client {
    fn slot(&self) -> Slot {
        if let Some(since) = self.tap.take_response_written() {
            self.slot.set(Slot {
                since,
                serving: false,
                write_by: None,
                ..self.slot.get()
            });
        }
        Slot {
            began: self.tap.request_began(),
            ..self.slot.get()
        }
    }

    fn end(&self) {
        if let Some(task) = self.task.borrow_mut().take() {
            task.abort();
        }
    }
}

/// Who sent the id of a hit in flight, and the hit once it is taken.
struct Holder {
    client: Rc<Client>,
    hit: Option<RequestId>,
}

/// The clients' connections, and the ids of their hits.
pub struct Listener {
    shares: Shares,
    /// Bounded by the share of clients; one leaves with its connection.
    clients: RefCell<HashMap<u64, Rc<Client>>>,
    next: Cell<u64>,
    /// By ids of hits in flight, one a client at most.
    ids: RefCell<HashMap<HeaderValue, Holder>>,
    pub refused: Cell<u64>,
    pub evicted: Cell<u64>,
}

impl Listener {
    pub fn new(shares: Shares) -> Listener {
        Listener {
            shares,
            clients: RefCell::default(),
            next: Cell::new(0),
            ids: RefCell::default(),
            refused: Cell::new(0),
            evicted: Cell::new(0),
        }
    }

    pub fn open(&self) -> usize {
        self.clients.borrow().len()
    }

    fn slots(&self) -> Vec<(u64, Slot)> {
        self.clients
            .borrow()
            .iter()
            .map(|(id, client)| (*id, client.slot()))
            .collect()
    }

    /// Connections on which nothing was asked yet, and those among them that began to.
    pub fn unasked(&self) -> (usize, usize) {
        let (slots, half) = (self.slots(), |slot: &Slot| slot.began.is_some() as usize);
        let unasked = slots.iter().filter(|(_, slot)| !slot.asked);
        unasked.fold((0, 0), |(all, begun), (_, slot)| {
            (all + 1, begun + half(slot))
        })
    }

    pub fn serving(&self) -> usize {
        self.clients
            .borrow()
            .values()
            .filter(|client| client.slot().serving)
            .count()
    }

    /// Closes the connection that is chosen to go; whether one was. One on which a hit has just come is none to go:
    /// it lies in the socket, and the runtime has not polled it yet.
    fn close(&self, choose: impl Fn(&[(u64, Slot)]) -> Option<u64>) -> bool {
        let mut slots = self.slots();
        while let Some(chosen) = choose(&slots) {
            let client = self.clients.borrow().get(&chosen).cloned();
            let Some(client) = client
                .filter(|client| client.tap.request_began().is_some() || !client.tap.has_unread())
            else {
                slots.retain(|(id, _)| *id != chosen);
                continue;
            };
            self.clients.borrow_mut().remove(&chosen);
            client.end();
            self.evicted.set(self.evicted.get() + 1);
            return true;
        }
        false
    }

    fn make_room(&self) -> bool {
        self.close(|slots| slots::evicted(slots, Instant::now()))
    }
}

/// Accepts connections until it is told to close, and then what the system had accepted by that time.
pub async fn accept(
    shell: Rc<Shell>,
    listener: TcpListener,
    stop: watch::Receiver<Option<Instant>>,
    mut close: oneshot::Receiver<()>,
) {
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => admit(&shell, stream, &stop).await,
                Err(error) => {
                    tracing::warn!(%error, "accept failed");
                    shell.listener.make_room();
                    sleep(Duration::from_millis(20)).await;
                }
            },
            _ = &mut close => break,
        }
    }
    for stream in take_queued_connections(listener) {
        admit(&shell, stream, &stop).await;
    }
}

async fn admit(shell: &Rc<Shell>, stream: TcpStream, stop: &watch::Receiver<Option<Instant>>) {
    let listener = &shell.listener;
    listener.close(|slots| slots::longest_idle(slots, listener.shares));
    if listener.open() >= listener.shares.clients {
        if !listener.make_room() {
            // Every place has a hit on it; closed unread, the client asks elsewhere.
            return drop(stream);
        }
        // The descriptor goes when its task has been dropped.
        yield_now().await;
    }
    register(shell, stream, stop.clone());
}

/// Takes the client out of the listener's table however its task ends.
struct Registered(Rc<Shell>, u64);

impl Drop for Registered {
    fn drop(&mut self) {
        self.0.listener.clients.borrow_mut().remove(&self.1);
    }
}

fn register(shell: &Rc<Shell>, stream: TcpStream, stop: watch::Receiver<Option<Instant>>) {
    let _ = stream.set_nodelay(true);
    let listener = &shell.listener;
    let id = listener.next.replace(listener.next.get() + 1);
    let client = Rc::new(Client {
        tap: ClientStream::new(stream),
        slot: Cell::new(Slot::new(Instant::now())),
        task: RefCell::default(),
    });
    listener.clients.borrow_mut().insert(id, client.clone());
    let registered = Registered(shell.clone(), id);
    let (shell, own) = (shell.clone(), client.clone());
    let task = spawn_local(async move {
        connection(&shell, &own, stop).await;
        drop(registered);
    });
    *client.task.borrow_mut() = Some(task.abort_handle());
}

async fn connection(
    shell: &Rc<Shell>,
    client: &Rc<Client>,
    stop: watch::Receiver<Option<Instant>>,
) {
    let by_http = speak(shell, client, stop).await;
    // What was spoken is dropped by now, and a hit that was on it has ended. Bytes beyond an answer, or a hit that
    // crosses our close, are read and dropped first. One that was silent from the start, and one that does not read
    // its answer, may leave that out: a reset destroys nothing that they would still read.
    if by_http || client.slot().asked && !client.slot().serving {
        client.tap.drain().await;
    }
}

/// Speaks HTTP until either side ends it; whether HTTP did.
async fn speak(
    shell: &Rc<Shell>,
    client: &Rc<Client>,
    stop: watch::Receiver<Option<Instant>>,
) -> bool {
    let service = service_fn(|request| {
        // The answer before it is settled first.
        client.slot.set(Slot {
            serving: true,
            write_by: None,
            ..client.slot()
        });
        let served = serve(shell.clone(), client.clone(), request);
        async move {
            let (answer, deadline) = served.await;
            let write_by = Some(Slot::written_by(Instant::now(), deadline));
            client.slot.set(Slot {
                write_by,
                ..client.slot.get()
            });
            Ok::<_, Infallible>(answer.map(|body| client.tap.track_body(body)))
        }
    });
    let connection = http1::Builder::new()
        .max_buf_size(HEAD_BYTES)
        .max_headers(HEADERS)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(client.tap.clone()), service);
    tokio::pin!(connection);
    let look = sleep(Duration::ZERO);
    tokio::pin!(look);
    let (mut not_before, mut told) = (Instant::now(), stop.clone());
    loop {
        // The connection first, so that what is due is seen as it has left it.
        let due = poll_fn(|cx| {
            if connection.as_mut().poll(cx).is_ready() {
                return Poll::Ready(true);
            }
            let Some(at) = client.slot().closes(*stop.borrow()) else {
                return Poll::Pending;
            };
            let at = at.max(not_before).into();
            if look.deadline() != at {
                look.as_mut().reset(at);
            }
            look.as_mut().poll(cx).map(|()| false)
        });
        let stopping = stop.borrow().is_some();
        tokio::select! {
            by_http = due => if by_http { return true },
            changed = told.changed(), if !stopping => match changed {
                Ok(()) => continue,
                Err(_) => return false,
            },
        }
        let quiet = !client.slot().serving && client.tap.request_began().is_none();
        if !(quiet && client.tap.has_unread()) {
            return false;
        }
        // A hit came just now: HTTP reads it at its next turn.
        not_before = Instant::now() + UNREAD;
    }
}

/// When to come back in decimal seconds, just as decided.
pub fn bounced(retry_after: Nanos) -> Answer {
    let (seconds, millis) = (retry_after / 1_000_000_000, retry_after / 1_000_000 % 1_000);
    let text = HeaderValue::from_str(&format!("{seconds}.{millis:03}")).ok();
    responses::rejected(text.filter(|_| retry_after > 0))
}

/// A hit in flight; dropped before its answer, its client is gone.
struct Owed {
    shell: Rc<Shell>,
    hit: RequestId,
}

impl Drop for Owed {
    fn drop(&mut self) {
        self.shell.client_gone(self.hit);
    }
}

/// The id of a hit in flight, free again when it is dropped.
struct Named {
    shell: Rc<Shell>,
    client: Rc<Client>,
    id: HeaderValue,
}

/// Why an id cannot be had.
enum Taken {
    /// Its hit is in flight and its client waits.
    Waits,
    /// Its client has closed, and the hit may have run: sent on once more it could run twice.
    MayHaveRun,
}

impl Named {
    /// A client whose connection ended under a hit that it takes for unread sends that hit once more, and its close
    /// may be heard here after that: then the first is ended in favour of the second, unless it may have run.
    fn new(
        shell: &Rc<Shell>,
        client: &Rc<Client>,
        id: &HeaderValue,
        kind: Idempotency,
    ) -> Result<Named, Taken> {
        let earlier = shell
            .listener
            .ids
            .borrow()
            .get(id)
            .map(|holder| (holder.client.clone(), holder.hit));
        if let Some((earlier, hit)) = earlier {
            if !earlier.tap.is_closed() {
                return Err(Taken::Waits);
            }
            if kind != Idempotency::Idempotent && hit.is_some_and(|hit| shell.was_forwarded(hit)) {
                return Err(Taken::MayHaveRun);
            }
            earlier.end();
            hit.into_iter().for_each(|hit| shell.client_gone(hit));
        }
        let holder = Holder {
            client: client.clone(),
            hit: None,
        };
        shell.listener.ids.borrow_mut().insert(id.clone(), holder);
        Ok(Named {
            shell: shell.clone(),
            client: client.clone(),
            id: id.clone(),
        })
    }

    fn taken(&self, hit: RequestId) {
        if let Some(holder) = self.shell.listener.ids.borrow_mut().get_mut(&self.id) {
            holder.hit = Some(hit);
        }
    }
}

impl Drop for Named {
    fn drop(&mut self) {
        let mut ids = self.shell.listener.ids.borrow_mut();
        if ids
            .get(&self.id)
            .is_some_and(|holder| Rc::ptr_eq(&holder.client, &self.client))
        {
            ids.remove(&self.id);
        }
    }
}

/// Answers what a client sent; by when, where that is a hit.
async fn serve(
    shell: Rc<Shell>,
    client: Rc<Client>,
    request: Request<Incoming>,
) -> (Answer, Option<Instant>) {
    let began = client.tap.take_request_began().unwrap_or_else(Instant::now);
    let stopping = shell.stopping.get();
    if request.method() == Method::GET && request.uri().path() == "/healthz" {
        client.slot.set(Slot {
            asked: true,
            ..client.slot.get()
        });
        let answer = match stopping {
            false => plain(StatusCode::OK, "ready\n"),
            true => and_close(plain(StatusCode::SERVICE_UNAVAILABLE, "stopping\n")),
        };
        return (answer, None);
    }
    let (asked, ask, named) = match read(&shell, &client, request, began).await {
        Ok(read) => read,
        Err((status, why)) => {
            tracing::debug!(%status, why = why.trim_end(), "refused");
            shell.listener.refused.set(shell.listener.refused.get() + 1);
            return (and_close(plain(status, why)), None);
        }
    };
    client.slot.set(Slot {
        asked: true,
        ..client.slot.get()
    });
    let deadline = began + Duration::from_nanos(asked.remaining);
    let spent = began.elapsed().as_nanos() as Nanos + shell.answer_margin;
    let asked = RequestAttributes {
        remaining: asked.remaining.saturating_sub(spent),
        ..asked
    };
    let (answer, answered) = oneshot::channel();
    let owed = Owed {
        hit: shell.dispatch(asked, ask, answer),
        shell,
    };
    named.taken(owed.hit);
    let answer = tokio::select! {
        // An engine that stops with a hit in hand is a fault; the client is told that nothing is promised.
        answer = answered => answer.unwrap_or_else(|_| failed(false)),
        // HTTP looks for its close only while no other bytes lie in front of that. Nobody reads this answer.
        () = client.tap.closed() => and_close(failed(false)),
    };
    (
        if owed.shell.stopping.get() {
            and_close(answer)
        } else {
            answer
        },
        Some(deadline),
    )
}

/// Why a hit was refused before it was taken.
type Refused = (StatusCode, &'static str);

fn bad<T>(why: &'static str) -> Result<T, Refused> {
    Err((StatusCode::BAD_REQUEST, why))
}

/// The one value of a header; an error where there are several.
fn one<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
    several: &'static str,
) -> Result<Option<&'a HeaderValue>, Refused> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (value, None) => Ok(value),
        _ => bad(several),
    }
}

/// Whole milliseconds, up to some days.
fn time_left(text: &HeaderValue) -> Option<Nanos> {
    let text = text.to_str().ok()?;
    let digits = (1..=9).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_digit());
    digits
        .then(|| text.parse::<Nanos>().ok())
        .flatten()?
        .checked_mul(1_000_000)
}

/// Where the deployment has keys; a cookie that cannot be read is none.
fn key(headers: &HeaderMap) -> Option<&[u8]> {
    let mut cookies = headers
        .get_all(COOKIE)
        .iter()
        .flat_map(|line| line.as_bytes().split(|byte| *byte == b';'));
    cookies
        .find_map(|cookie| cookie.trim_ascii().strip_prefix(KEY))
        .filter(|key| !key.is_empty())
}

fn group(shell: &Shell, path: &str) -> Option<RouteClassId> {
    let name = path.strip_prefix('/')?.split('/').next()?;
    shell.groups.iter().position(|(known, _)| known == name)
}

/// Reads a hit whole, so that it can be sent again, and refuses what is no hit.
async fn read(
    shell: &Rc<Shell>,
    client: &Rc<Client>,
    request: Request<Incoming>,
    began: Instant,
) -> Result<(RequestAttributes, Ask, Named), Refused> {
    let (parts, body) = request.into_parts();
    let headers = &parts.headers;
    if headers.contains_key(TRANSFER_ENCODING) {
        return bad("Transfer-Encoding: expected none, and a length instead\n");
    }
    if parts.uri.authority().is_some() || parts.method == Method::CONNECT {
        return bad("expected a path\n");
    }
    let Some(group) = group(shell, parts.uri.path()) else {
        return Err((StatusCode::NOT_FOUND, "no path group has this name\n"));
    };
    let rules = shell.groups[group].1;
    let method = if rules.idempotency == Idempotency::Idempotent {
        Method::GET
    } else {
        Method::POST
    };
    if parts.method != method {
        return Err((
            StatusCode::METHOD_NOT_ALLOWED,
            "not the method of this path group\n",
        ));
    }
    if body.size_hint().lower() > BODY_BYTES as u64 {
        return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB\n"));
    }
    if rules.idempotency == Idempotency::Idempotent && !body.is_end_stream() {
        return bad("expected no body\n");
    }
    let id = one(headers, &ID, "X-Correlation-Id: expected one\n")?;
    let id = id.filter(|id| {
        (1..=ID_BYTES).contains(&id.len()) && id.as_bytes().iter().all(u8::is_ascii_graphic)
    });
    let Some(id) = id else {
        return bad("X-Correlation-Id: expected 1 to 128 visible characters\n");
    };
    let mark = one(headers, &MARK, "Idempotency-Key: expected one\n")?;
    if rules.idempotency == Idempotency::Keyed && mark.is_none_or(HeaderValue::is_empty) {
        return bad("Idempotency-Key: needed by this path group\n");
    }
    let left = one(headers, &TIME_LEFT, "X-Time-Left-Ms: expected one\n")?.and_then(time_left);
    let Some(left) = left else {
        return bad("X-Time-Left-Ms: expected whole milliseconds\n");
    };
    let asked = RequestAttributes {
        route_class: group,
        tenant: headers
            .get(TENANT)
            .and_then(|name| shell.tenants.iter().position(|known| name == known)),
        key: key(headers).map_or(0, stable_hash),
        remaining: left.min(rules.client_timeout),
        cost_hint: headers
            .get(HINT)
            .and_then(|text| headers::parse_cost_hint(text.to_str().ok()?)),
        is_retry: headers.get(REPEAT).is_some_and(|value| value == "1"),
    };
    let named = match Named::new(shell, client, id, rules.idempotency) {
        Ok(named) => named,
        Err(Taken::Waits) => {
            return Err((
                StatusCode::CONFLICT,
                "X-Correlation-Id: of another hit in flight\n",
            ))
        }
        Err(Taken::MayHaveRun) => {
            return Err((
                StatusCode::BAD_GATEWAY,
                "X-Correlation-Id: sent before, and may have run\n",
            ))
        }
    };
    let body = if body.is_end_stream() {
        Bytes::new()
    } else {
        match timeout_at(
            client.slot().read_by(began).into(),
            Limited::new(body, BODY_BYTES).collect(),
        )
        .await
        {
            Ok(Ok(whole)) => whole.to_bytes(),
            Ok(Err(error)) if error.downcast_ref::<LengthLimitError>().is_some() => {
                return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB\n"))
            }
            Ok(Err(_)) => return bad("the body broke off\n"),
            Err(_) => return Err((StatusCode::REQUEST_TIMEOUT, "the body took too long\n")),
        }
    };
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut onward = parts.headers.clone();
    headers::strip_hop_by_hop(&mut onward);
    for name in [CONTENT_LENGTH, TIME_LEFT] {
        onward.remove(name);
    }
    Ok((
        asked,
        Ask {
            head: head(&method, path, &onward, body.len()),
            body,
        },
        named,
    ))
}

/// The head of a forward as far as it is the same each time.
fn head(method: &Method, path: &str, headers: &HeaderMap, length: usize) -> Vec<u8> {
    let mut head = Vec::with_capacity(256);
    head.extend_from_slice(format!("{method} {path} HTTP/1.1\r\n").as_bytes());
    for (name, value) in headers {
        head.extend_from_slice(name.as_str().as_bytes());
        head.extend_from_slice(b": ");
        head.extend_from_slice(value.as_bytes());
        head.extend_from_slice(b"\r\n");
    }
    if method != Method::GET {
        head.extend_from_slice(format!("content-length: {length}\r\n").as_bytes());
    }
    head
}
