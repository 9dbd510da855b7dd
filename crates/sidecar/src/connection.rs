//! One connection of a client or an operator. Serves its requests one after the other, closes the connection of a
//! client that is too slow, and on shutdown answers every request that was sent.

use crate::body::Body;
use crate::client_stream::ClientStream;
use crate::fairness::yield_unless_waited;
use crate::shell::Shell;
use crate::tracked_body::TrackedRequestBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

/// How often a connection that is to close is checked for unread bytes.
const UNREAD_POLL_PERIOD: Duration = Duration::from_millis(2);
/// How often a connection that is to close is checked for whether its request is answered.
const ANSWERED_POLL_PERIOD: Duration = Duration::from_millis(50);

/// Tracks whether a connection waits for its client, and since when.
struct Activity {
    stream: ClientStream,
    /// Since when the connection waits for a request's head; `None` from when a head was read until its response is
    /// written.
    idle_since: Cell<Option<Instant>>,
    /// How long a client may take to send a head, and how long it may read nothing of a response.
    head_timeout: Duration,
}

impl Activity {
    fn new(stream: ClientStream, head_timeout: Duration) -> Activity {
        Activity {
            stream,
            idle_since: Cell::new(Some(Instant::now())),
            head_timeout,
        }
    }

    /// Records that a request's head was read, which also discards the time of the response before it.
    fn record_request_read(&self) {
        let _ = self.stream.take_response_written();
        let _ = self.stream.take_request_began();
        self.idle_since.set(None);
    }

    /// Returns since when the connection waits for its client, either to send a head or to read more of a response.
    fn waiting_since(&self) -> Option<Instant> {
        let written = self.stream.take_response_written();
        self.idle_since.set(written.or(self.idle_since.get()));
        self.idle_since.get().or(self.stream.write_blocked_since())
    }

    /// Completes when the client has been too slow. One timer serves all heads of a connection, because a timer for
    /// each head adds noticeably to the cost of a request.
    async fn client_too_slow(&self) {
        loop {
            let waiting = self.waiting_since();
            let waiting = waiting.map_or(Duration::ZERO, |since| since.elapsed());
            if waiting >= self.head_timeout {
                return;
            }
            sleep(self.head_timeout - waiting).await;
        }
    }

    /// Completes when the socket holds no unread request. An HTTP connection whose shutdown starts before it has
    /// read anything closes without reading a request that has already arrived.
    async fn no_unread_request(&self) {
        let unread = || {
            self.waiting_since().is_some()
                && self.stream.request_began().is_none()
                && self.stream.has_unread()
        };
        while unread() {
            sleep(UNREAD_POLL_PERIOD).await;
        }
    }

    /// Completes when a partly sent head has had its time to arrive. A request that is being served is not timed here.
    async fn partial_head_expired(&self) {
        while self.waiting_since().is_none() {
            sleep(ANSWERED_POLL_PERIOD).await;
        }
        sleep(self.head_timeout).await;
    }
}

/// Serves a connection until its client closes it or is too slow, or until `stopped` becomes true and the connection
/// has shut down.
pub async fn serve_connection<F, Fut>(
    shell: &Rc<Shell>,
    stream: TcpStream,
    mut stopped: watch::Receiver<bool>,
    serve: F,
) where
    F: Fn(Rc<Shell>, Request<TrackedRequestBody>) -> Fut,
    Fut: Future<Output = Result<Response<Body>, Infallible>>,
{
    let _ = stream.set_nodelay(true);
    let limits = &shell.site.listener;
    let stream = ClientStream::new(stream, shell.read_ahead.clone());
    let activity = Activity::new(stream.clone(), Duration::from_nanos(limits.head_timeout));
    let service = service_fn(|request: Request<Incoming>| {
        activity.record_request_read();
        let request = request.map(|body| stream.track_request_body(body));
        let (served, stream) = (serve(shell.clone(), request), &stream);
        async move {
            let response = yield_unless_waited(served).await?;
            Ok::<_, Infallible>(response.map(|body| stream.track_response_body(body)))
        }
    });
    let connection = http1::Builder::new()
        .max_buf_size(limits.max_head_bytes)
        // A client that has closed its write half may still read: it gets the response of an attempt that was sent.
        .half_close(true)
        .serve_connection(TokioIo::new(stream.clone()), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = &mut connection => Some(ended),
        () = activity.client_too_slow() => None,
        _ = stopped.wait_for(|stopped| *stopped) => {
            shut_down(connection.as_mut(), &activity, |connection| connection.graceful_shutdown()).await
        }
    };
    if let Some(Err(error)) = ended {
        tracing::debug!(%error, "connection ended");
    }
}

/// Shuts a connection down after its sent requests are read and answered. Returns `None` if the connection ended by
/// itself, or if its client did not finish sending a head in time.
async fn shut_down<C: Future>(
    mut connection: Pin<&mut C>,
    activity: &Activity,
    start_shutdown: impl FnOnce(Pin<&mut C>),
) -> Option<C::Output> {
    tokio::select! {
        biased;
        _ = &mut connection => return None,
        () = activity.no_unread_request() => {}
    }
    start_shutdown(connection.as_mut());
    // A head that is still incomplete after its time is dropped; a request that is being served is answered.
    tokio::select! {
        ended = &mut connection => Some(ended),
        () = activity.partial_head_expired() => None,
    }
}
