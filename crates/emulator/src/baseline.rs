//! The baseline that the sidecar's cost is measured against: a minimal `hyper` proxy, and pods that do no work.

use crate::pod::UNPROCESSED_HEADER;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderValue;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Header that says how long the pod waits before it answers, in milliseconds.
pub const HOLD_MS_HEADER: &str = "x-hold-ms";

/// Answers every request with two bytes, at once or after the time in [`HOLD_MS_HEADER`].
///
/// With `slots` the pod serves that many requests at a time and queues up to four times as many. It rejects the others
/// with the header that says that they did not run.
pub async fn pod(listener: TcpListener, slots: Option<usize>) {
    let max_running = slots.unwrap_or(Semaphore::MAX_PERMITS);
    let (free, in_flight) = (Rc::new(Semaphore::new(max_running)), Rc::new(Cell::new(0)));
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let (free, in_flight) = (free.clone(), in_flight.clone());
        spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                serve(request, &free, &in_flight, max_running)
            });
            let _ = server::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Counts a request as in flight until dropped, also where its connection breaks.
struct InFlightGuard<'a>(&'a Cell<usize>);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn serve(
    request: Request<Incoming>,
    free: &Semaphore,
    count: &Cell<usize>,
    max_running: usize,
) -> Result<Response<Full<Bytes>>, hyper::Error> {
    if count.get() >= max_running.saturating_mul(5) {
        let mut rejection = Response::new(Full::new(Bytes::new()));
        *rejection.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        rejection
            .headers_mut()
            .insert(UNPROCESSED_HEADER, HeaderValue::from_static("1"));
        return Ok(rejection);
    }
    count.set(count.get() + 1);
    let _in_flight = InFlightGuard(count);
    let _slot = free.acquire().await;
    let hold = request
        .headers()
        .get(HOLD_MS_HEADER)
        .and_then(|hold| hold.to_str().ok()?.parse().ok());
    if let Some(hold) = hold.filter(|hold| *hold > 0) {
        sleep(Duration::from_millis(hold)).await;
    }
    Ok(Response::new(Full::new(Bytes::from_static(b"ok"))))
}

type Sender = SendRequest<Full<Bytes>>;

/// The proxy: idle connections by pod, and the number of requests so far.
struct Proxy {
    pods: Vec<(SocketAddr, RefCell<Vec<Sender>>)>,
    next: Cell<usize>,
}

/// Forwards requests to the pods in turn, over connections that are kept open.
///
/// Bodies are read completely before they are forwarded, as the sidecar does. There are no timeouts, retries or
/// metrics.
pub async fn proxy(listener: TcpListener, pods: Vec<SocketAddr>) {
    let pods = pods
        .into_iter()
        .map(|pod| (pod, RefCell::default()))
        .collect();
    let proxy = Rc::new(Proxy {
        pods,
        next: Cell::new(0),
    });
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let proxy = proxy.clone();
        spawn_local(async move {
            let service = service_fn(|request| proxy.clone().forward(request));
            let _ = server::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

impl Proxy {
    async fn forward(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, ProxyError> {
        let (parts, body) = request.into_parts();
        let body = body.collect().await?.to_bytes();
        let turn = self.next.replace(self.next.get() + 1);
        let (address, idle) = &self.pods[turn % self.pods.len()];
        let idle_sender = idle.borrow_mut().pop();
        let mut sender = match idle_sender.filter(|sender| !sender.is_closed()) {
            Some(sender) => sender,
            None => {
                let stream = TcpStream::connect(address).await?;
                stream.set_nodelay(true)?;
                let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
                spawn_local(async move {
                    let _ = connection.await;
                });
                sender
            }
        };
        sender.ready().await?;
        let response = sender
            .send_request(Request::from_parts(parts, Full::new(body)))
            .await?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        idle.borrow_mut().push(sender);
        Ok(Response::from_parts(parts, Full::new(body)))
    }
}

#[derive(Debug, thiserror::Error)]
#[error(transparent)]
enum ProxyError {
    Hyper(#[from] hyper::Error),
    Io(#[from] std::io::Error),
}
