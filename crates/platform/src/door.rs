//! Clients: what is read, refused and answered, and which connections are kept.

use crate::node::Shell;
use crate::pods::{Ask, BODY_BYTES, TIME_LEFT};
use crate::seats::{self, Seat, Shares};
use crate::tap::Tap;
use bytes::Bytes;
use havenplank::port::{GroupId, HitId, Kind, Ns};
use havenplank_sidecar::answers::{self, and_close, errored, plain};
use havenplank_sidecar::engine::Asked;
use havenplank_sidecar::heads;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::{spawn_local, yield_now, AbortHandle};
use tokio::time::{sleep, sleep_until, timeout_at};

const ID: HeaderName = HeaderName::from_static("x-correlation-id");
const MARK: HeaderName = HeaderName::from_static("idempotency-key");
const REPEAT: HeaderName = HeaderName::from_static("x-repeat");
const HEAD_BYTES: usize = 16 << 10;
const HEADERS: usize = 64;
const ID_BYTES: usize = 128;
/// How long new connections go on coming after SIGTERM.
pub const COMING: Duration = Duration::from_millis(600);
/// How often a connection with a hit on it is looked at, and while we stop.
const LOOKS: Duration = Duration::from_secs(2);
const STOP_LOOKS: Duration = Duration::from_millis(20);

type Answer = Response<Full<Bytes>>;

/// A client's connection.
struct Client {
    tap: Tap,
    seat: Cell<Seat>,
    task: RefCell<Option<AbortHandle>>,
}

impl Client {
    fn seat(&self) -> Seat {
        Seat { began: self.tap.began(), ..self.seat.get() }
    }
}

/// The clients' connections, and the ids of their hits.
pub struct Door {
    shares: Shares,
    /// Bounded by the share of clients; one leaves with its connection.
    clients: RefCell<HashMap<u64, Rc<Client>>>,
    next: Cell<u64>,
    /// Ids of hits in flight, one a client at most.
    ids: RefCell<HashSet<HeaderValue>>,
    pub refused: Cell<u64>,
    pub turned_out: Cell<u64>,
}

impl Door {
    pub fn new(shares: Shares) -> Door {
        Door {
            shares,
            clients: RefCell::default(),
            next: Cell::new(0),
            ids: RefCell::default(),
            refused: Cell::new(0),
            turned_out: Cell::new(0),
        }
    }

    pub fn open(&self) -> usize {
        self.clients.borrow().len()
    }

    fn seats(&self) -> Vec<(u64, Seat)> {
        self.clients.borrow().iter().map(|(id, client)| (*id, client.seat())).collect()
    }

    /// Connections on which nothing was asked yet, and those among them that began to.
    pub fn unasked(&self) -> (usize, usize) {
        let (seats, half) = (self.seats(), |seat: &Seat| seat.began.is_some() as usize);
        let unasked = seats.iter().filter(|(_, seat)| !seat.asked);
        unasked.fold((0, 0), |(all, begun), (_, seat)| (all + 1, begun + half(seat)))
    }

    pub fn serving(&self) -> usize {
        self.clients.borrow().values().filter(|client| client.seat.get().serving).count()
    }

    /// Closes a connection that was chosen to go; whether one was.
    fn close(&self, chosen: Option<u64>) -> bool {
        let Some(client) = chosen.and_then(|id| self.clients.borrow_mut().remove(&id)) else { return false };
        if let Some(task) = client.task.borrow_mut().take() {
            task.abort();
        }
        self.turned_out.set(self.turned_out.get() + 1);
        true
    }

    fn make_room(&self) -> bool {
        self.close(seats::turned_out(&self.seats(), Instant::now()))
    }
}

/// Accepts connections; never ends.
pub async fn accept(shell: Rc<Shell>, listener: TcpListener, stopped: watch::Receiver<bool>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let door = &shell.door;
                door.close(seats::longest_idle(&door.seats(), door.shares));
                if door.open() >= door.shares.clients {
                    if !door.make_room() {
                        // Every place has a hit on it; closed unread, the client asks elsewhere.
                        drop(stream);
                        continue;
                    }
                    // The descriptor goes when its task has been dropped.
                    yield_now().await;
                }
                seat(&shell, stream, stopped.clone());
            }
            Err(error) => {
                tracing::warn!(%error, "accept failed");
                shell.door.make_room();
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Takes the client out of the door's table however its task ends.
struct Seated(Rc<Shell>, u64);

impl Drop for Seated {
    fn drop(&mut self) {
        self.0.door.clients.borrow_mut().remove(&self.1);
    }
}

fn seat(shell: &Rc<Shell>, stream: TcpStream, stopped: watch::Receiver<bool>) {
    let _ = stream.set_nodelay(true);
    let door = &shell.door;
    let id = door.next.replace(door.next.get() + 1);
    let client = Rc::new(Client {
        tap: Tap::new(stream),
        seat: Cell::new(Seat::new(Instant::now())),
        task: RefCell::default(),
    });
    door.clients.borrow_mut().insert(id, client.clone());
    let seated = Seated(shell.clone(), id);
    let (shell, own) = (shell.clone(), client.clone());
    let task = spawn_local(async move {
        connection(&shell, &own, stopped).await;
        drop(seated);
    });
    *client.task.borrow_mut() = Some(task.abort_handle());
}

async fn connection(shell: &Rc<Shell>, client: &Rc<Client>, mut stopped: watch::Receiver<bool>) {
    let service = service_fn(|request| {
        client.seat.set(Seat { serving: true, ..client.seat.get() });
        let served = serve(shell.clone(), client.clone(), request);
        async move {
            let answer = served.await;
            client.seat.set(Seat { since: Instant::now(), serving: false, ..client.seat.get() });
            answer
        }
    });
    let connection = http1::Builder::new()
        .max_buf_size(HEAD_BYTES)
        .max_headers(HEADERS)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(client.tap.clone()), service);
    tokio::pin!(connection);
    let patience = async {
        loop {
            match client.seat().closes() {
                Some(at) if at <= Instant::now() => break,
                Some(at) => sleep_until(at.into()).await,
                None => sleep(LOOKS).await,
            }
        }
    };
    tokio::select! {
        // What the client sent beyond an answer that closes is read and dropped first.
        _ = &mut connection => return client.tap.drain().await,
        () = patience => return,
        _ = stopped.wait_for(|stopped| *stopped) => {}
    }
    // One that never asked is about to: it came just now.
    if !client.seat().asked && !client.seat().serving {
        tokio::select! {
            _ = &mut connection => return client.tap.drain().await,
            () = sleep(COMING) => {}
        }
    }
    connection.as_mut().graceful_shutdown();
    // A hit half read is still taken; what is served has its own time.
    let half = async {
        while client.seat().serving {
            sleep(STOP_LOOKS).await;
        }
        if let Some(at) = client.seat().closes() {
            sleep_until(at.into()).await;
        }
    };
    tokio::select! {
        _ = &mut connection => client.tap.drain().await,
        () = half => {}
    }
}

/// When to come back in decimal seconds, just as decided.
pub fn bounced(come_back: Ns) -> Answer {
    let (seconds, millis) = (come_back / 1_000_000_000, come_back / 1_000_000 % 1_000);
    let text = HeaderValue::from_str(&format!("{seconds}.{millis:03}")).ok();
    answers::bounced(text.filter(|_| come_back > 0))
}

/// A hit in flight; dropped before its answer, its client is gone.
struct Owed {
    shell: Rc<Shell>,
    hit: HitId,
}

impl Drop for Owed {
    fn drop(&mut self) {
        self.shell.gone(self.hit);
    }
}

/// The id of a hit in flight, free again when it is dropped.
struct Named {
    shell: Rc<Shell>,
    id: HeaderValue,
}

impl Named {
    fn new(shell: &Rc<Shell>, id: &HeaderValue) -> Option<Named> {
        let new = shell.door.ids.borrow_mut().insert(id.clone());
        new.then(|| Named { shell: shell.clone(), id: id.clone() })
    }
}

impl Drop for Named {
    fn drop(&mut self) {
        self.shell.door.ids.borrow_mut().remove(&self.id);
    }
}

async fn serve(
    shell: Rc<Shell>,
    client: Rc<Client>,
    request: Request<Incoming>,
) -> Result<Answer, Infallible> {
    let began = client.tap.take_began().unwrap_or_else(Instant::now);
    let stopping = shell.stopping.get();
    if request.method() == Method::GET && request.uri().path() == "/healthz" {
        client.seat.set(Seat { asked: true, ..client.seat.get() });
        return Ok(match stopping {
            false => plain(StatusCode::OK, "ready\n"),
            true => and_close(plain(StatusCode::SERVICE_UNAVAILABLE, "stopping\n")),
        });
    }
    let (asked, ask, _named) = match read(&shell, client.seat(), request, began).await {
        Ok(read) => read,
        Err((status, why)) => {
            tracing::debug!(%status, why = why.trim_end(), "refused");
            shell.door.refused.set(shell.door.refused.get() + 1);
            return Ok(and_close(plain(status, why)));
        }
    };
    client.seat.set(Seat { asked: true, ..client.seat.get() });
    let spent = began.elapsed().as_nanos() as Ns + shell.answer_margin;
    let asked = Asked { left: asked.left.saturating_sub(spent), ..asked };
    let (answer, answered) = oneshot::channel();
    let owed = Owed { hit: shell.take(asked, ask, answer), shell };
    // An engine that stops with a hit in hand is a fault; the client is told that nothing is promised.
    let answer = answered.await.unwrap_or_else(|_| errored(false));
    Ok(if owed.shell.stopping.get() { and_close(answer) } else { answer })
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
fn time_left(text: &HeaderValue) -> Option<Ns> {
    let text = text.to_str().ok()?;
    let digits = (1..=9).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_digit());
    digits.then(|| text.parse::<Ns>().ok()).flatten()?.checked_mul(1_000_000)
}

fn group(shell: &Shell, path: &str) -> Option<GroupId> {
    let name = path.strip_prefix('/')?.split('/').next()?;
    shell.groups.iter().position(|(known, _)| known == name)
}

/// Reads a hit whole, so that it can be sent again, and refuses what is no hit.
async fn read(
    shell: &Rc<Shell>,
    seat: Seat,
    request: Request<Incoming>,
    began: Instant,
) -> Result<(Asked, Ask, Named), Refused> {
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
    let method = if rules.kind == Kind::Repeatable { Method::GET } else { Method::POST };
    if parts.method != method {
        return Err((StatusCode::METHOD_NOT_ALLOWED, "not the method of this path group\n"));
    }
    if body.size_hint().lower() > BODY_BYTES as u64 {
        return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB\n"));
    }
    if rules.kind == Kind::Repeatable && !body.is_end_stream() {
        return bad("expected no body\n");
    }
    let id = one(headers, &ID, "X-Correlation-Id: expected one\n")?;
    let id =
        id.filter(|id| (1..=ID_BYTES).contains(&id.len()) && id.as_bytes().iter().all(u8::is_ascii_graphic));
    let Some(id) = id else { return bad("X-Correlation-Id: expected 1 to 128 visible characters\n") };
    let mark = one(headers, &MARK, "Idempotency-Key: expected one\n")?;
    if rules.kind == Kind::Tagged && mark.is_none_or(HeaderValue::is_empty) {
        return bad("Idempotency-Key: needed by this path group\n");
    }
    let left = one(headers, &TIME_LEFT, "X-Time-Left-Ms: expected one\n")?.and_then(time_left);
    let Some(left) = left else { return bad("X-Time-Left-Ms: expected whole milliseconds\n") };
    let asked = Asked {
        group,
        customer: None,
        key: 0,
        left: left.min(rules.client_timeout),
        cost_hint: None,
        repeat: headers.get(REPEAT).is_some_and(|value| value == "1"),
    };
    let Some(named) = Named::new(shell, id) else {
        return Err((StatusCode::CONFLICT, "X-Correlation-Id: of another hit in flight\n"));
    };
    let body = if body.is_end_stream() {
        Bytes::new()
    } else {
        match timeout_at(seat.read_by(began).into(), Limited::new(body, BODY_BYTES).collect()).await {
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
    heads::strip_hop_by_hop(&mut onward);
    for name in [CONTENT_LENGTH, TIME_LEFT] {
        onward.remove(name);
    }
    Ok((asked, Ask { head: head(&method, path, &onward, body.len()), body }, named))
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
