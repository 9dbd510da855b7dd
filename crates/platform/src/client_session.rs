//! Serves HTTP on one client connection until either side closes it or its deadline passes.

use crate::client_connection::ClientConnection;
use crate::connection_slots::Activity;
use crate::counters::increment;
use crate::limits::{MAX_HEADERS, MAX_HEAD_BYTES, UNREAD_GRACE};
use crate::memory_budget::rejects_head;
use crate::request_handler::{handle, HandledRequest};
use crate::shell::{Body, Shell};
use havenplank_sidecar::fairness::yield_unless_waited;
use havenplank_sidecar::tracked_body::{TrackedRequestBody, TrackedResponseBody};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::time::{sleep, Sleep};

/// When the process was asked to stop; `None` until then.
pub(crate) type StopTime = Option<Instant>;

/// What ended a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum EndedBy {
    /// The HTTP server: the client closed, or the response carried `connection: close`.
    Http,
    /// The sidecar: the connection's deadline passed.
    Deadline,
    /// The sidecar: the head of a request is long and not complete, and memory is short.
    Memory,
}

/// The response to a request whose head is not read to its end for want of memory.
const NO_MEMORY_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Serves a connection until it ends, then drains it where a reset could destroy a response.
pub(crate) async fn run(
    shell: &Rc<Shell>,
    client: &Rc<ClientConnection>,
    stop: watch::Receiver<StopTime>,
) {
    let ended_by = serve_http(shell, client, stop).await;
    if ended_by == EndedBy::Memory {
        increment(&shell.clients.rejected_for_memory);
        client.stream.write_now(NO_MEMORY_RESPONSE);
    }
    // The HTTP server is dropped by now, and the request that it was serving has ended. Closing with unread bytes
    // would send a reset, so bytes after the last request, or a request that crosses the sidecar's close, are read
    // and dropped first. A client that never sent a request, and one that does not read its response, are not
    // drained: a reset destroys nothing that they would still read.
    let state = client.state();
    let is_responding = matches!(state.activity, Activity::Responding { .. });
    if ended_by != EndedBy::Deadline || state.has_requested && !is_responding {
        client.stream.drain().await;
    }
}

/// Handles one request and sets the time by which its response must be written.
async fn respond(
    shell: Rc<Shell>,
    client: Rc<ClientConnection>,
    request: Request<TrackedRequestBody>,
) -> Result<Response<TrackedResponseBody<Body>>, Infallible> {
    let handling = handle(shell, client.clone(), request);
    let HandledRequest { response, deadline } = yield_unless_waited(handling).await;
    client.hand_over_response(deadline);
    Ok(response.map(|body| client.stream.track_response_body(body)))
}

async fn serve_http(
    shell: &Rc<Shell>,
    client: &Rc<ClientConnection>,
    stop: watch::Receiver<StopTime>,
) -> EndedBy {
    let service = service_fn(|request: Request<Incoming>| {
        client.begin_response();
        let request = request.map(|body| client.stream.track_request_body(body));
        respond(shell.clone(), client.clone(), request)
    });
    let connection = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(client.stream.clone()), service);
    tokio::pin!(connection);
    let timer = sleep(Duration::ZERO);
    tokio::pin!(timer);
    let mut not_before = Instant::now();
    let mut stop_changes = stop.clone();
    loop {
        // Polls the connection first, so that the deadline reflects the activity that this poll leaves behind.
        let ended = poll_fn(|cx| {
            if connection.as_mut().poll(cx).is_ready() {
                return Poll::Ready(EndedBy::Http);
            }
            let state = client.state();
            let is_reading = matches!(state.activity, Activity::Reading { .. });
            let read_bytes = client.stream.partial_request_bytes();
            if is_reading && rejects_head(read_bytes, shell.client_memory()) {
                return Poll::Ready(EndedBy::Memory);
            }
            let closes_at = state.closes_at(*stop.borrow());
            poll_deadline(timer.as_mut(), cx, closes_at, not_before)
        });
        let is_stopping = stop.borrow().is_some();
        tokio::select! {
            ended_by = ended => if ended_by != EndedBy::Deadline { return ended_by },
            changed = stop_changes.changed(), if !is_stopping => match changed {
                Ok(()) => continue,
                Err(_) => return EndedBy::Deadline,
            },
        }
        let is_idle = client.state().activity == Activity::Idle;
        if !(is_idle && client.stream.has_unread()) {
            return EndedBy::Deadline;
        }
        // A request has just arrived; the HTTP server reads it when it is polled next.
        not_before = Instant::now() + UNREAD_GRACE;
    }
}

/// Waits until the later of `closes_at` and `not_before`; forever if `closes_at` is `None`.
fn poll_deadline(
    mut timer: Pin<&mut Sleep>,
    cx: &mut Context<'_>,
    closes_at: Option<Instant>,
    not_before: Instant,
) -> Poll<EndedBy> {
    let Some(closes_at) = closes_at else {
        return Poll::Pending;
    };
    let deadline = closes_at.max(not_before).into();
    if timer.deadline() != deadline {
        timer.as_mut().reset(deadline);
    }
    timer.poll(cx).map(|()| EndedBy::Deadline)
}
