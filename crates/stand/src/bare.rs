//! What the sidecar's cost is measured against: a bare `hyper` proxy, and a pod that does nothing.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// How long the pod holds a hit, in milliseconds.
pub const HOLD: &str = "x-hold-ms";

/// Answers every hit with two bytes, at once or after the time that it asks for.
pub async fn pod(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| async move {
                let hold = request.headers().get(HOLD).and_then(|hold| hold.to_str().ok()?.parse().ok());
                if let Some(hold) = hold.filter(|hold| *hold > 0) {
                    sleep(Duration::from_millis(hold)).await;
                }
                Ok::<_, hyper::Error>(Response::new(Full::new(Bytes::from_static(b"ok"))))
            });
            let _ = server::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

type Sender = SendRequest<Full<Bytes>>;

struct Bare {
    pods: Vec<(SocketAddr, RefCell<Vec<Sender>>)>,
    next: Cell<usize>,
}

/// Hands each hit to the next pod in turn over a kept connection, body read whole as the sidecar reads it;
/// no time-outs, no second try, no counting.
pub async fn proxy(listener: TcpListener, pods: Vec<SocketAddr>) {
    let pods = pods.into_iter().map(|pod| (pod, RefCell::default())).collect();
    let bare = Rc::new(Bare { pods, next: Cell::new(0) });
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let bare = bare.clone();
        spawn_local(async move {
            let service = service_fn(|request| bare.clone().forward(request));
            let _ = server::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

impl Bare {
    async fn forward(self: Rc<Self>, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, BareError> {
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
        let response = sender.send_request(Request::from_parts(parts, Full::new(body))).await?;
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
