//! The client side of a protocol: connects, sends the greeting, passes on what it receives in order, and reconnects.

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

/// Timeout for connecting, for sending the greeting and for sending a line. A service that accepts no data is treated
/// as unreachable.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Base delay from which the delays between reconnections grow.
const FIRST_RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Limit on the base delay between reconnections.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(5);
/// A connection that lasted this long counts as stable and resets the backoff.
const STABLE_CONNECTION: Duration = Duration::from_secs(5);

/// The service to subscribe to.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    /// The protocol's name in the greeting.
    pub protocol: &'static str,
    /// The address of the service.
    pub address: SocketAddr,
    /// Limit on the bytes of each line that the service sends.
    pub max_line_bytes: usize,
}

/// Handles the events of a subscription; `N` is the type to which the service's lines decode.
pub trait Handler<N> {
    /// Called when a connection is established and the greeting is sent.
    fn connected(&mut self);
    /// Called for each notification of the service.
    fn received(&mut self, notification: N);
    /// Called when the connection ended or could not be established. Requests made before the next attempt to connect
    /// are returned through [`Handler::unsent`].
    fn disconnected(&mut self, reason: &ProtocolError);
    /// Called with the line of a request that was not sent because there is no connection.
    fn unsent(&mut self, line: String);
}

/// Keeps a subscription until `requests` is closed, and reconnects with backoff. The greeting carries `name`, `seed`
/// determines the jitter of the reconnections, and each line from `requests` is sent unchanged.
pub async fn subscribe<P: LineParser + Default>(
    service: Service,
    name: &str,
    seed: u64,
    mut requests: mpsc::Receiver<String>,
    handler: &mut impl Handler<P::Output>,
) {
    let mut backoff = Backoff::new(seed, FIRST_RECONNECT_DELAY, MAX_RECONNECT_DELAY);
    loop {
        let started = Instant::now();
        let result = run_connection::<P>(service, name, &mut requests, handler).await;
        let Err(reason) = result else { return };
        handler.disconnected(&reason);
        if started.elapsed() >= STABLE_CONNECTION {
            backoff.reset();
        }
        if !wait_disconnected(backoff.next_delay(), &mut requests, handler).await {
            return;
        }
    }
}

/// Waits for `delay` and returns the requests made during that time to the handler. Returns false if `requests` was
/// closed.
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

/// Runs one connection until it fails, or returns without an error once `requests` is closed.
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
