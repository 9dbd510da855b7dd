//! Forwards and probes: connections to pods, what went out on them, and what came back.
//!
//! This lies beneath `hyper`, on its parser `httparse`: whether a request's last byte was written, and
//! whether bytes lie unread on a kept connection, `hyper`'s client does not tell (`tests/beneath.rs`).

use crate::config;
use crate::idle_timeout::{self, IdleTimeout};
use crate::node::Shell;
use bytes::{Buf, Bytes, BytesMut};
use havenplank::interface::{AttemptEnd, HealthCheckResult, Nanos, PodId};
use havenplank_adapter::door::load_of;
use havenplank_sidecar::dispatcher::{AttemptId, AttemptResult};
use http_body_util::Full;
use hyper::header::{
    HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING,
};
use hyper::{Response, StatusCode};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::io::Write as _;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

pub const UNSEEN: HeaderName = HeaderName::from_static("x-unprocessed");
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");
const LOAD: HeaderName = HeaderName::from_static("x-backend-load");
/// An answer's head, and each of its chunks' heads.
const HEAD_BYTES: usize = 16 << 10;
const HEADERS: usize = 64;
/// The protocol's bound on any body. Pods do not keep it: answers of 128 to 400 KB were seen, whole and good.
pub const BODY_BYTES: usize = 64 << 10;
/// Part of the memory that answers over that bound may hold together, and the part that one may.
const LARGE_PART: usize = 4;
const ONE_PART: usize = 16;
/// Informational answers that may stand in front of one.
const INTERIM: usize = 16;

/// A hit as it is sent, as often as it must be.
pub struct Ask {
    /// Request line and headers, without the time left and the empty line.
    pub head: Vec<u8>,
    pub body: Bytes,
}

/// No connection was had in time: the pod is down, out of reach or at its cap, or every place is taken.
enum NoConnection {
    Pod,
    Permits,
}

/// A connection to a pod. Dropped, it is closed.
struct Connection {
    stream: TcpStream,
    /// How long it was idle before its present request; none where that is its first.
    idle: Option<Duration>,
    _permit: OwnedSemaphorePermit,
}

impl Connection {
    /// Whether it is open and nothing lies unread on it: what came behind an answer is no answer to the next
    /// request. Asks the socket itself, as the runtime learns of bytes only when it polls.
    fn is_clean(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = socket2::SockRef::from(&self.stream).peek(&mut byte);
        peeked.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    }
}

/// What the sockets show, to be set beside what the engine believes.
#[derive(Default)]
pub struct Seen {
    /// Forwards written whole that have no end yet.
    pub out: Cell<usize>,
    pub opened: Cell<u64>,
    pub sent: Cell<u64>,
}

pub struct Pods {
    rules: config::Links,
    load: Vec<String>,
    /// One for each connection, idle ones too.
    permits: Arc<Semaphore>,
    /// Forwards that wait for a place; hits in flight, which the listener bounds.
    waiting: Cell<usize>,
    most: usize,
    /// By address, the last used at the end. Emptied of what was idle too long or is no longer listed.
    idle: RefCell<HashMap<SocketAddr, Vec<(Connection, Instant)>>>,
    /// Bytes of answers over the protocol's bound, those that clients still read included. With none left the
    /// next such answer waits in its socket, up to its forward's time.
    large: Arc<Semaphore>,
    idle_timeout: RefCell<IdleTimeout>,
    answer_bytes: usize,
    pub seen: Seen,
}

impl Pods {
    /// `most` connections at once, on a machine with so much memory.
    pub fn new(rules: config::Links, load: Vec<String>, most: usize, memory: usize) -> Pods {
        let permits = Arc::new(Semaphore::new(most));
        let large = Arc::new(Semaphore::new((memory / LARGE_PART).min(u32::MAX as usize)));
        // Twice as much must fit the semaphore's count of 32 bits.
        let answer_bytes = (memory / ONE_PART).clamp(BODY_BYTES, 1 << 30);
        // The pod closes it at its own limit, maybe just as we write.
        let idle_timeout = RefCell::new(IdleTimeout::new(Instant::now(), rules.idle.mul_f64(0.7)));
        let (idle, seen) = (RefCell::default(), Seen::default());
        Pods {
            rules,
            load,
            permits,
            waiting: Cell::new(0),
            most,
            idle,
            large,
            idle_timeout,
            answer_bytes,
            seen,
        }
    }

    /// Room for an answer of that length; none is needed up to the protocol's bound.
    async fn room(&self, length: usize) -> Option<OwnedSemaphorePermit> {
        if length <= BODY_BYTES {
            return None;
        }
        self.large
            .clone()
            .acquire_many_owned(length as u32)
            .await
            .ok()
    }

    /// How long a connection is kept idle.
    pub fn idle_timeout(&self) -> Duration {
        self.idle_timeout.borrow().time()
    }

    fn used(&self, connection: &Connection, broke: bool) {
        if let Some(idle) = connection.idle {
            self.idle_timeout
                .borrow_mut()
                .used(Instant::now(), idle, broke);
        }
    }

    /// Connections open, and idle ones among them.
    pub fn count(&self) -> (usize, usize) {
        let open = self.most - self.permits.available_permits();
        (open, self.idle.borrow().values().map(Vec::len).sum())
    }

    fn idle_one(&self, address: SocketAddr) -> Option<Connection> {
        let (most, mut idle) = (self.idle_timeout(), self.idle.borrow_mut());
        let kept = idle.get_mut(&address)?;
        while let Some(last) = kept
            .iter()
            .rposition(|(_, since)| idle_timeout::has_rested(since.elapsed()))
        {
            let (mut connection, since) = kept.remove(last);
            let age = since.elapsed();
            if age < most && connection.is_clean() {
                connection.idle = Some(age);
                return Some(connection);
            }
        }
        None
    }

    /// Closes the connection that was idle the longest, whichever pod it goes to.
    fn close_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .iter()
            .filter_map(|(at, kept)| Some((*at, kept.first()?.1)));
        let Some((at, _)) = oldest.min_by_key(|(_, since)| *since) else {
            return false;
        };
        idle.get_mut(&at).map(|kept| kept.remove(0)).is_some()
    }

    /// An idle connection, else a new one; `fresh` wants a new one.
    async fn take(&self, address: SocketAddr, fresh: bool) -> Result<Connection, NoConnection> {
        if let Some(connection) = self.idle_one(address).filter(|_| !fresh) {
            return Ok(connection);
        }
        let began = Instant::now();
        let mut permit = self.permits.clone().try_acquire_owned();
        if permit.is_err() && self.close_oldest() {
            permit = self.permits.clone().try_acquire_owned();
        }
        let permit = match permit {
            Ok(permit) => permit,
            Err(_) => {
                let _waits = Counted::new(&self.waiting);
                let permit = timeout(
                    self.rules.connect_time,
                    self.permits.clone().acquire_owned(),
                )
                .await;
                permit
                    .map_err(|_| NoConnection::Permits)?
                    .map_err(|_| NoConnection::Permits)?
            }
        };
        let left = self.rules.connect_time.saturating_sub(began.elapsed());
        let stream = timeout(left, TcpStream::connect(address)).await;
        let stream = stream
            .map_err(|_| NoConnection::Pod)?
            .map_err(|_| NoConnection::Pod)?;
        let _ = stream.set_nodelay(true);
        self.seen.opened.set(self.seen.opened.get() + 1);
        Ok(Connection {
            stream,
            idle: None,
            _permit: permit,
        })
    }

    /// Keeps a connection for its next request. While others wait for a place it is closed: its place would
    /// stay taken, and what waits may be for another pod.
    fn give_back(&self, address: SocketAddr, connection: Connection) {
        if self.waiting.get() > 0 {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        idle.entry(address)
            .or_default()
            .push((connection, Instant::now()));
    }

    /// Closes idle connections to pods no longer listed, and those that were idle too long or were closed.
    pub fn sweep(&self, listed: &HashSet<SocketAddr>) {
        let idle_timeout = self.idle_timeout();
        self.idle.borrow_mut().retain(|address, kept| {
            kept.retain(|(connection, since)| {
                since.elapsed() < idle_timeout && connection.is_clean()
            });
            listed.contains(address) && !kept.is_empty()
        });
    }
}

/// Counts one for as long as it lives, however that ends.
struct Counted<'a>(&'a Cell<usize>);

impl<'a> Counted<'a> {
    fn new(count: &'a Cell<usize>) -> Counted<'a> {
        count.set(count.get() + 1);
        Counted(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

type Answer = Response<Full<Bytes>>;

/// Carries one forward out and tells the engine how it ended.
pub async fn forward(
    shell: Rc<Shell>,
    ask: Rc<Ask>,
    attempt: AttemptId,
    pod: PodId,
    time_out: Nanos,
) {
    // Set once the last byte is written: before that the pod cannot have begun.
    let (whole, time) = (Cell::new(false), Duration::from_nanos(time_out));
    shell
        .run_attempt(
            attempt,
            time,
            &whole,
            exchange(&shell, &ask, attempt, pod, time, &whole),
        )
        .await;
}

async fn exchange(
    shell: &Rc<Shell>,
    ask: &Ask,
    attempt: AttemptId,
    pod: PodId,
    time: Duration,
    whole: &Cell<bool>,
) -> AttemptResult<Answer> {
    let (began, pods) = (Instant::now(), &shell.pods);
    let Some(address) = shell.pod_address(pod) else {
        return AttemptEnd::NotSent.into();
    };
    let mut fresh = false;
    let mut connection = loop {
        let mut connection = match pods.take(address, fresh).await {
            Ok(connection) => connection,
            Err(NoConnection::Pod) => return AttemptEnd::ConnectFailed.into(),
            Err(NoConnection::Permits) => return AttemptEnd::NotSent.into(),
        };
        // Chosen when it had no connection yet: the pod may drain by now, or its build be closed.
        if !shell.may_send(attempt) {
            pods.give_back(address, connection);
            return AttemptEnd::NotSent.into();
        }
        let mut out = Vec::with_capacity(ask.head.len() + ask.body.len() + 40);
        out.extend_from_slice(&ask.head);
        let left = time.saturating_sub(began.elapsed()).as_millis();
        let _ = write!(out, "{TIME_LEFT}: {left}\r\n\r\n");
        out.extend_from_slice(&ask.body);
        match connection.stream.write_all(&out).await {
            Ok(()) => break connection,
            // A kept one that the pod closed meanwhile; its last byte was never taken.
            Err(_) if connection.idle.is_some() => {
                pods.used(&connection, true);
                fresh = true;
            }
            Err(_) => return AttemptEnd::ConnectFailed.into(),
        }
    };
    whole.set(true);
    // Written whole, with no end yet.
    let _out = Counted::new(&pods.seen.out);
    pods.seen.sent.set(pods.seen.sent.get() + 1);
    let came = match read(pods, &mut connection).await {
        Ok(came) => {
            pods.used(&connection, false);
            came
        }
        Err(Spoilt(why)) => {
            pods.used(&connection, matches!(why, NOTHING | RESET));
            let idle_us = connection.idle.map(|idle| idle.as_micros() as u64);
            tracing::debug!(
                hit = attempt.request,
                nth = attempt.number,
                pod,
                idle_us,
                why,
                "answer spoilt"
            );
            return AttemptEnd::Reset.into();
        }
    };
    let load = came.headers.get(LOAD).filter(|_| !pods.load.is_empty());
    let load = load.and_then(|text| load_of(&pods.load, text.as_bytes()));
    let never = matches!(
        came.status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    ) && came.headers.get(UNSEEN).is_some_and(|value| value == "1");
    if came.reusable {
        pods.give_back(address, connection);
    }
    let end = match came.status {
        StatusCode::OK => AttemptEnd::Served,
        _ if never => AttemptEnd::Rejected,
        _ => AttemptEnd::Failed,
    };
    let answer = (end == AttemptEnd::Served).then(|| {
        let mut headers = came.headers;
        havenplank_sidecar::headers::strip_hop_by_hop(&mut headers);
        headers.remove(CONTENT_LENGTH);
        let mut answer = Response::new(Full::new(came.body));
        *answer.headers_mut() = headers;
        answer
    });
    AttemptResult {
        end,
        load,
        response: answer,
    }
}

/// Bytes that keep their room until the last reader is done.
struct Roomy {
    bytes: Bytes,
    _room: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for Roomy {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

fn held(bytes: Bytes, room: Option<OwnedSemaphorePermit>) -> Bytes {
    match room {
        Some(room) => Bytes::from_owner(Roomy { bytes, _room: room }),
        None => bytes,
    }
}

/// A whole answer.
struct Came {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    /// Nothing lies behind it and the pod keeps the connection.
    reusable: bool,
}

/// Why an answer cannot be read, or is not whole: it may have run.
struct Spoilt(&'static str);

/// Not a byte of an answer came.
const NOTHING: &str = "closed without an answer";
const RESET: &str = "reset without an answer";

async fn more(connection: &mut Connection, read: &mut BytesMut) -> Result<(), Spoilt> {
    match connection.stream.read_buf(read).await {
        Ok(0) if read.is_empty() => Err(Spoilt(NOTHING)),
        Ok(0) => Err(Spoilt("closed within the answer")),
        Err(_) if read.is_empty() => Err(Spoilt(RESET)),
        Err(_) => Err(Spoilt("reset within the answer")),
        Ok(_) => Ok(()),
    }
}

async fn read(pods: &Pods, connection: &mut Connection) -> Result<Came, Spoilt> {
    let mut read = BytesMut::with_capacity(2048);
    let mut interim = 0;
    let (status, headers) = loop {
        match head(&mut read)? {
            Some((status, _)) if status.is_informational() => {
                interim += 1;
                if status == StatusCode::SWITCHING_PROTOCOLS || interim > INTERIM {
                    return Err(Spoilt("informational answers without end"));
                }
            }
            Some(head) => break head,
            None => more(connection, &mut read).await?,
        }
    };
    let lengths: Vec<&HeaderValue> = headers.get_all(CONTENT_LENGTH).iter().collect();
    let coded: Vec<&HeaderValue> = headers.get_all(TRANSFER_ENCODING).iter().collect();
    let body = match (&lengths[..], &coded[..]) {
        ([length], []) => {
            let text = length
                .to_str()
                .ok()
                .filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
            let length = text
                .and_then(|text| text.parse::<usize>().ok())
                .ok_or(Spoilt("its length is no number"))?;
            if length > pods.answer_bytes {
                return Err(Spoilt("its length is beyond what memory allows"));
            }
            let room = pods.room(length).await;
            read.reserve(length.saturating_sub(read.len()));
            while read.len() < length {
                more(connection, &mut read).await?;
            }
            held(read.split_to(length).freeze(), room)
        }
        ([], [coding]) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            chunks(pods, connection, &mut read).await?
        }
        // Two lengths, two framings, or an end by close, which a break looks just like.
        ([], []) => return Err(Spoilt("its length is not told")),
        _ => return Err(Spoilt("its length is told in several ways")),
    };
    let closes = headers.get_all(CONNECTION).iter().any(|value| {
        value
            .as_bytes()
            .split(|byte| *byte == b',')
            .any(|word| word.trim_ascii().eq_ignore_ascii_case(b"close"))
    });
    Ok(Came {
        status,
        headers,
        body,
        reusable: read.is_empty() && !closes,
    })
}

/// Takes one head off the front of what was read; none where it is not whole yet.
fn head(read: &mut BytesMut) -> Result<Option<(StatusCode, HeaderMap)>, Spoilt> {
    let mut lines = [httparse::EMPTY_HEADER; HEADERS];
    let mut parsed = httparse::Response::new(&mut lines);
    let end = match parsed.parse(read) {
        Ok(httparse::Status::Complete(end)) => end,
        Ok(httparse::Status::Partial) if read.len() <= HEAD_BYTES => return Ok(None),
        Ok(httparse::Status::Partial) => return Err(Spoilt("a head without end")),
        Err(_) => return Err(Spoilt("a head that is not HTTP")),
    };
    let status = parsed.code.and_then(|code| StatusCode::from_u16(code).ok());
    let status = status.ok_or(Spoilt("a status that is not HTTP"))?;
    let mut headers = HeaderMap::with_capacity(parsed.headers.len());
    for line in parsed.headers.iter() {
        let name = HeaderName::from_bytes(line.name.as_bytes())
            .map_err(|_| Spoilt("a header that is not HTTP"))?;
        let value =
            HeaderValue::from_bytes(line.value).map_err(|_| Spoilt("a header that is not HTTP"))?;
        headers.append(name, value);
    }
    read.advance(end);
    Ok(Some((status, headers)))
}

async fn chunks(
    pods: &Pods,
    connection: &mut Connection,
    read: &mut BytesMut,
) -> Result<Bytes, Spoilt> {
    let (mut body, mut room) = (BytesMut::new(), None);
    loop {
        let (head, size) = match httparse::parse_chunk_size(read) {
            Ok(httparse::Status::Complete(found)) => found,
            Ok(httparse::Status::Partial) if read.len() <= HEAD_BYTES => {
                more(connection, read).await?;
                continue;
            }
            _ => return Err(Spoilt("a chunk without a size")),
        };
        if size > (pods.answer_bytes - body.len()) as u64 {
            return Err(Spoilt("chunks beyond what memory allows"));
        }
        // How much will come is not told: room for all that may, and for a chunk that is still being read.
        if room.is_none() && body.len() + size as usize > BODY_BYTES {
            room = pods.room(2 * pods.answer_bytes).await;
        }
        let (size, end) = (size as usize, head + size as usize + 2);
        // The last one has no data; trailers, which nothing here sends, count as spoilt.
        while read.len() < end {
            more(connection, read).await?;
        }
        if &read[end - 2..end] != b"\r\n" {
            return Err(Spoilt("a chunk without its end"));
        }
        body.extend_from_slice(&read[head..end - 2]);
        read.advance(end);
        if size == 0 {
            return Ok(held(body.freeze(), room));
        }
    }
}

/// Asks a pod how it is, on a connection like any other.
pub async fn probe(shell: Rc<Shell>, probe: u64, pod: PodId) {
    let (began, pods) = (Instant::now(), &shell.pods);
    let path = if pods.load.is_empty() {
        "/healthz"
    } else {
        "/load"
    };
    let asked = async {
        let Some(address) = shell.pod_address(pod) else {
            return AttemptResult::<Answer>::from(AttemptEnd::NotSent);
        };
        let mut connection = match pods.take(address, false).await {
            Ok(connection) => connection,
            Err(NoConnection::Pod) => return AttemptEnd::ConnectFailed.into(),
            Err(NoConnection::Permits) => return AttemptEnd::NotSent.into(),
        };
        let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        if connection
            .stream
            .write_all(request.as_bytes())
            .await
            .is_err()
        {
            return AttemptEnd::ConnectFailed.into();
        }
        let Ok(came) = read(pods, &mut connection).await else {
            return AttemptEnd::Reset.into();
        };
        if came.reusable {
            pods.give_back(address, connection);
        }
        let end = if came.status == StatusCode::OK {
            AttemptEnd::Served
        } else {
            AttemptEnd::Failed
        };
        AttemptResult {
            end,
            load: load_of(&pods.load, &came.body).filter(|_| !pods.load.is_empty()),
            response: None,
        }
    };
    let ended = timeout(pods.rules.connect_time, asked).await;
    let AttemptResult { end, load, .. }: AttemptResult<Answer> =
        ended.unwrap_or_else(|_| AttemptEnd::TimedOut.into());
    let end = HealthCheckResult {
        end,
        took: began.elapsed().as_nanos() as Nanos,
        load,
    };
    shell.call(|engine, now| engine.health_check_ended(now, probe, end));
}

#[cfg(test)]
#[path = "../tests/unit/pods.rs"]
mod tests;
