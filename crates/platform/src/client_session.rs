//! Serves one client's connection over HTTP until either side ends it or it is due to close.

use crate::client_connection::ClientConnection;
use crate::connection_slots::Activity;
use crate::limits::{MAX_HEADERS, MAX_HEAD_BYTES, UNREAD_GRACE};
use crate::request_handler::{handle, Handled};
use crate::shell::{Body, Shell};
use havenplank_sidecar::client_stream::TrackedBody;
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

/// When the process was told to stop; none until then.
pub(crate) type StopTime = Option<Instant>;

/// What ended a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum EndedBy {
    /// HTTP: the client closed, or the response said so.
    Http,
    /// We: it was due to close.
    Deadline,
}

/// Serves a connection to its end.
pub(crate) async fn run(
    shell: &Rc<Shell>,
    client: &Rc<ClientConnection>,
    stop: watch::Receiver<StopTime>,
) {
    let ended_by = serve_http(shell, client, stop).await;
    // HTTP is dropped by now, and a request that was on it has ended. Bytes beyond a response, or a request that
    // crosses our close, are read and dropped first. A client that was silent from the start, and one that does not
    // read its response, need not be drained: a reset destroys nothing that they would still read.
    let slot = client.slot();
    let is_responding = matches!(slot.activity, Activity::Responding { .. });
    if ended_by == EndedBy::Http || slot.has_requested && !is_responding {
        client.stream.drain().await;
    }
}

/// Handles one request, noting on the connection when it is handed over and by when it must be written.
async fn respond(
    shell: Rc<Shell>,
    client: Rc<ClientConnection>,
    request: Request<Incoming>,
) -> Result<Response<TrackedBody<Body>>, Infallible> {
    let Handled { response, deadline } = handle(shell, client.clone(), request).await;
    client.hand_over_response(deadline);
    Ok(response.map(|body| client.stream.track_body(body)))
}

async fn serve_http(
    shell: &Rc<Shell>,
    client: &Rc<ClientConnection>,
    stop: watch::Receiver<StopTime>,
) -> EndedBy {
    let service = service_fn(|request| {
        client.begin_response();
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
        // The connection first, so that what is due is seen as it has left it.
        let ended = poll_fn(|cx| {
            if connection.as_mut().poll(cx).is_ready() {
                return Poll::Ready(EndedBy::Http);
            }
            let closes_at = client.slot().closes_at(*stop.borrow());
            poll_deadline(timer.as_mut(), cx, closes_at, not_before)
        });
        let is_stopping = stop.borrow().is_some();
        tokio::select! {
            ended_by = ended => if ended_by == EndedBy::Http { return EndedBy::Http },
            changed = stop_changes.changed(), if !is_stopping => match changed {
                Ok(()) => continue,
                Err(_) => return EndedBy::Deadline,
            },
        }
        let is_quiet = client.slot().activity == Activity::Idle;
        if !(is_quiet && client.stream.has_unread()) {
            return EndedBy::Deadline;
        }
        // A request came just now: HTTP reads it at its next turn.
        not_before = Instant::now() + UNREAD_GRACE;
    }
}

/// Waits for the time at which the connection closes, but not before `not_before`; for ever where there is none.
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
