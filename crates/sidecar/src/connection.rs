//! One connection of a client or an operator: requests one after the other, slow clients cut off, and a shutdown that
//! leaves no taken request unanswered.

use crate::body::Body;
use crate::client_stream::ClientStream;
use crate::shell::Shell;
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

/// How long a connection that should close is left to HTTP while bytes lie unread on it.
const UNREAD_POLL: Duration = Duration::from_millis(2);
/// How often a connection that should close is asked whether its request is answered.
const ANSWERED_POLL: Duration = Duration::from_millis(50);

/// When a connection waits for its client.
struct Activity {
    stream: ClientStream,
    /// Since when it waits for a request's head; none from a request's reading until its answer is written.
    idle_since: Cell<Option<Instant>>,
    /// How long a client may take for a head, and for taking more of its answer.
    head_time: Duration,
}

impl Activity {
    fn new(stream: ClientStream, head_time: Duration) -> Activity {
        Activity {
            stream,
            idle_since: Cell::new(Some(Instant::now())),
            head_time,
        }
    }

    /// Notes that a request was read; the answer before it is settled by this one.
    fn request_read(&self) {
        let _ = self.stream.take_response_written();
        let _ = self.stream.take_request_began();
        self.idle_since.set(None);
    }

    /// Returns since when it waits for its client. One that reads nothing of its answer is waited for as one that sends
    /// nothing of its head.
    fn waits_since(&self) -> Option<Instant> {
        let written = self.stream.take_response_written();
        self.idle_since.set(written.or(self.idle_since.get()));
        self.idle_since.get().or(self.stream.write_blocked_since())
    }

    /// Ends once the client was too slow. One timer for all heads of a connection: one for each is a part of a
    /// request's cost that shows.
    async fn too_slow(&self) {
        loop {
            let waited = self.waits_since();
            let waited = waited.map_or(Duration::ZERO, |since| since.elapsed());
            if waited >= self.head_time {
                return;
            }
            sleep(self.head_time - waited).await;
        }
    }

    /// Ends once no request lies unread in the socket: it is taken, but asked to end, HTTP closes where it has read
    /// nothing.
    async fn nothing_unread(&self) {
        let unread = || {
            self.waits_since().is_some()
                && self.stream.request_began().is_none()
                && self.stream.has_unread()
        };
        while unread() {
            sleep(UNREAD_POLL).await;
        }
    }

    /// Ends once a head that was half sent had its time; what is served has all of its own.
    async fn half_sent_head_expired(&self) {
        while self.waits_since().is_none() {
            sleep(ANSWERED_POLL).await;
        }
        sleep(self.head_time).await;
    }
}

/// Serves a connection until its client closes it, is too slow, or `stopped` says that it should end.
pub async fn serve_connection<F, Fut>(
    shell: &Rc<Shell>,
    stream: TcpStream,
    mut stopped: watch::Receiver<bool>,
    serve: F,
) where
    F: Fn(Rc<Shell>, Request<Incoming>) -> Fut,
    Fut: Future<Output = Result<Response<Body>, Infallible>>,
{
    let _ = stream.set_nodelay(true);
    let limits = &shell.site.listener;
    let stream = ClientStream::new(stream);
    let activity = Activity::new(stream.clone(), Duration::from_nanos(limits.head_timeout));
    let service = service_fn(|request| {
        activity.request_read();
        let (served, stream) = (serve(shell.clone(), request), &stream);
        async move { Ok::<_, Infallible>(served.await?.map(|body| stream.track_body(body))) }
    });
    let connection = http1::Builder::new()
        .max_buf_size(limits.max_head_bytes)
        // A client that sends no more may still read: its request gets its answer.
        .half_close(true)
        .serve_connection(TokioIo::new(stream.clone()), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = &mut connection => Some(ended),
        () = activity.too_slow() => None,
        _ = stopped.wait_for(|stopped| *stopped) => {
            shut_down(connection.as_mut(), &activity, |connection| connection.graceful_shutdown()).await
        }
    };
    if let Some(Err(error)) = ended {
        tracing::debug!(%error, "connection ended");
    }
}

/// Ends a connection: what was sent is taken and answered, then it closes. `None` where it had nothing more to say, or
/// its client did not finish a head in time.
async fn shut_down<C: Future>(
    mut connection: Pin<&mut C>,
    activity: &Activity,
    ask_to_end: impl FnOnce(Pin<&mut C>),
) -> Option<C::Output> {
    tokio::select! {
        biased;
        _ = &mut connection => return None,
        () = activity.nothing_unread() => {}
    }
    ask_to_end(connection.as_mut());
    // A head half sent is not taken any more; what is served is.
    tokio::select! {
        ended = &mut connection => Some(ended),
        () = activity.half_sent_head_expired() => None,
    }
}
