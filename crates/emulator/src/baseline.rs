//! What the sidecar's cost is measured against: a bare `hyper` proxy, and a pod that does nothing.

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

/// How long the pod holds a hit, in milliseconds.
pub const HOLD_MS_HEADER: &str = "x-hold-ms";

/// Answers every hit with two bytes, at once or after the time that it asks for. With `slots` it serves only so
/// many at a time, lets as many wait four times over, and turns the rest away unseen.
pub async fn pod(listener: TcpListener, slots: Option<usize>) {
    let most = slots.unwrap_or(Semaphore::MAX_PERMITS);
    let (free, here) = (Rc::new(Semaphore::new(most)), Rc::new(Cell::new(0)));
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let (free, here) = (free.clone(), here.clone());
        spawn_local(async move {
            let service =
                service_fn(|request: Request<Incoming>| serve(request, &free, &here, most));
            let _ = server::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Counts a hit for as long as it is here, also where its connection breaks off.
struct Here<'a>(&'a Cell<usize>);

impl Drop for Here<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn serve(
    request: Request<Incoming>,
    free: &Semaphore,
    count: &Cell<usize>,
    most: usize,
) -> Result<Response<Full<Bytes>>, hyper::Error> {
    if count.get() >= most.saturating_mul(5) {
        let mut full = Response::new(Full::new(Bytes::new()));
        *full.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        full.headers_mut()
            .insert(UNPROCESSED_HEADER, HeaderValue::from_static("1"));
        return Ok(full);
    }
    count.set(count.get() + 1);
    let _here = Here(count);
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

struct Bare {
    pods: Vec<(SocketAddr, RefCell<Vec<Sender>>)>,
    next: Cell<usize>,
}

/// Hands each hit to the next pod in turn over a kept connection, body read whole as the sidecar reads it;
/// no time-outs, no second try, no counting.
pub async fn proxy(listener: TcpListener, pods: Vec<SocketAddr>) {
    let pods = pods
        .into_iter()
        .map(|pod| (pod, RefCell::default()))
        .collect();
    let bare = Rc::new(Bare {
        pods,
        next: Cell::new(0),
    });
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let bare = bare.clone();
        spawn_local(async move {
            let service = service_fn(|request| bare.clone().forward(request));
            let _ = server::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

impl Bare {
    async fn forward(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, BareError> {
        let (parts, body) = request.into_parts();
        let body = body.collect().await?.to_bytes();
        let turn = self.next.replace(self.next.get() + 1);
        let (address, idle) = &self.pods[turn % self.pods.len()];
        let kept = idle.borrow_mut().pop();
        let mut sender = match kept.filter(|kept| !kept.is_closed()) {
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
enum BareError {
    Hyper(#[from] hyper::Error),
    Io(#[from] std::io::Error),
}
