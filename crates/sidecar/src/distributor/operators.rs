//! Serves `GET /state` to operators.

use super::writer::NewestVersion;
use crate::replication::Replication;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::json;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Limit on concurrent connections of operators.
const MAX_CONNECTIONS: usize = 16;
/// The time after which a connection is closed, so that idle operators do not use up the limit.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(10);
/// The delay before the next accept after one has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections of operators until the thread's tasks end.
pub(super) async fn serve(
    listener: TcpListener,
    name: String,
    replication: Rc<Replication<NewestVersion>>,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let permit = permits.clone().acquire_owned().await;
        let Ok((stream, _)) = listener.accept().await else {
            // Most likely the process has no file descriptors left; accept again once some are free.
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (name, replication) = (name.clone(), replication.clone());
        spawn_local(async move {
            let _ = timeout(
                CONNECTION_TIMEOUT,
                serve_connection(stream, &name, &replication),
            )
            .await;
            drop(permit);
        });
    }
}

async fn serve_connection(stream: TcpStream, name: &str, replication: &Replication<NewestVersion>) {
    let service =
        service_fn(
            |request| async move { Ok::<_, Infallible>(respond(&request, name, replication)) },
        );
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        tracing::debug!(%error, "operator connection failed");
    }
}

fn respond(
    request: &Request<Incoming>,
    name: &str,
    replication: &Replication<NewestVersion>,
) -> Response<Full<Bytes>> {
    if (request.method(), request.uri().path()) != (&Method::GET, "/state") {
        let mut response = Response::new(Full::new(Bytes::from_static(b"expected GET /state\n")));
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    let state = json!({
        "name": name,
        "configuration": replication.state(),
        "writer": replication.writer_state(),
    });
    let mut response = Response::new(Full::new(Bytes::from(format!("{state}\n"))));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
