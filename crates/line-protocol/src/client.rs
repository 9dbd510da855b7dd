//! The client half of a protocol: connects, greets, hands on what it receives in order, and reconnects.

use crate::backoff::Backoff;
use crate::codec::{greeting, LineCodec, LineParser};
use crate::error::ProtocolError;
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Instant};
use tokio_util::codec::Framed;

/// Bound on connecting, on greeting and on sending a line: a service that takes nothing in is as good as gone.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Span of the delay before the first reconnection.
const FIRST_RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Bound on the span between reconnections.
const LONGEST_RECONNECT_DELAY: Duration = Duration::from_secs(5);
/// A connection that lasted this long proved good and resets the backoff.
const GOOD_CONNECTION: Duration = Duration::from_secs(5);

/// The service to subscribe to.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    /// The protocol's name in the greeting.
    pub protocol: &'static str,
    /// Where the service listens.
    pub address: SocketAddr,
    /// Bound on each of its lines, in bytes.
    pub max_line_bytes: usize,
}

/// Reacts to what happens on a subscription; `N` is what the service's lines decode to.
pub trait Handler<N> {
    /// A connection was made and greeted.
    fn connected(&mut self);
    /// The service sent a notification.
    fn received(&mut self, notification: N);
    /// The connection ended or was never made. Requests made meanwhile come back by [`Handler::unsent`].
    fn disconnected(&mut self, reason: &ProtocolError);
    /// A request was not sent, as there is no connection.
    fn unsent(&mut self, line: String);
}

/// Keeps a subscription until `requests` is closed, reconnecting with backoff. `name` greets the service, `seed`
/// scatters the reconnections, and each line from `requests` is sent as it stands.
pub async fn subscribe<P: LineParser + Default>(
    service: Service,
    name: &str,
    seed: u64,
    mut requests: mpsc::Receiver<String>,
    handler: &mut impl Handler<P::Output>,
) {
    let mut backoff = Backoff::new(seed, FIRST_RECONNECT_DELAY, LONGEST_RECONNECT_DELAY);
    loop {
        let began = Instant::now();
        let ended = run_connection::<P>(service, name, &mut requests, handler).await;
        let Err(reason) = ended else { return };
        handler.disconnected(&reason);
        if began.elapsed() >= GOOD_CONNECTION {
            backoff.reset();
        }
        if !wait_disconnected(backoff.next_delay(), &mut requests, handler).await {
            return;
        }
    }
}

/// Waits and hands back the requests made meanwhile; returns false where `requests` was closed.
async fn wait_disconnected<N>(
    delay: Duration,
    requests: &mut mpsc::Receiver<String>,
    handler: &mut impl Handler<N>,
) -> bool {
    let delay = sleep(delay);
    tokio::pin!(delay);
    loop {
        tokio::select! {
            () = &mut delay => return true,
            request = requests.recv() => match request {
                Some(line) => handler.unsent(line),
                None => return false,
            },
        }
    }
}

/// Runs one connection; returns without an error where `requests` is closed.
async fn run_connection<P: LineParser + Default>(
    service: Service,
    name: &str,
    requests: &mut mpsc::Receiver<String>,
    handler: &mut impl Handler<P::Output>,
) -> Result<(), ProtocolError> {
    let timed_out = |_| ProtocolError::TimedOut {
        limit: WRITE_TIMEOUT,
    };
    let stream = timeout(WRITE_TIMEOUT, TcpStream::connect(service.address))
        .await
        .map_err(timed_out)??;
    stream.set_nodelay(true)?;
    let codec = LineCodec::new(P::default(), service.max_line_bytes);
    let mut framed = Framed::new(stream, codec);
    let hello = greeting(service.protocol, Some(name));
    timeout(WRITE_TIMEOUT, framed.send(hello))
        .await
        .map_err(timed_out)??;
    handler.connected();
    loop {
        tokio::select! {
            received = framed.next() => match received {
                Some(Ok(notification)) => handler.received(notification),
                Some(Err(reason)) => return Err(reason),
                None => return Err(ProtocolError::Closed),
            },
            request = requests.recv() => match request {
                Some(line) => timeout(WRITE_TIMEOUT, framed.send(line)).await.map_err(timed_out)??,
                None => return Ok(()),
            },
        }
    }
}
