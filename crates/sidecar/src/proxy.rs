//! A request's way: read from its client, dispatched, answered once.

use crate::body::Body;
use crate::engine::RequestAttributes;
use crate::exactly_once;
use crate::request_reader;
use crate::responses::{failed, rejected_with_retry_after, text_response, with_connection_close};
use crate::shell::Shell;
use havenplank::interface::{Nanos, RequestId};
use hyper::body::Incoming;
use hyper::{Request, Response};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::oneshot;

/// When a client may retry that a full sidecar rejects, in ns.
const RETRY_AFTER_FULL: Nanos = 1_000_000_000;

/// Tells the engine that the client is gone; of a request that is answered by then this changes nothing.
struct ClientGuard {
    shell: Rc<Shell>,
    request: RequestId,
}

impl Drop for ClientGuard {
    fn drop(&mut self) {
        self.shell.client_left(self.request);
    }
}

/// Answers one request of a client. Requests rejected here never reach the engine, so no decision counts them.
///
/// # Errors
/// Never.
pub async fn serve(
    shell: Rc<Shell>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let arrived = Instant::now();
    let (attributes, request) = match request_reader::read(&shell, request).await {
        Ok(read) => read,
        Err(refused) => {
            return Ok(with_connection_close(text_response(
                refused.status,
                refused.reason,
            )))
        }
    };
    if shell.is_full() {
        return Ok(with_connection_close(rejected_with_retry_after(
            RETRY_AFTER_FULL,
        )));
    }
    let spent = arrived.elapsed().as_nanos() as Nanos + shell.site.listener.response_margin;
    let attributes = RequestAttributes {
        remaining: attributes.remaining.saturating_sub(spent),
        ..attributes
    };
    let takeover = shell.takeover.clone();
    if let Some(service) = takeover.filter(|_| request.protection.is_some()) {
        return Ok(exactly_once::serve(shell, service, attributes, request).await);
    }
    let (responder, answered) = oneshot::channel();
    let request = shell.dispatch(attributes, request, responder);
    let client = ClientGuard { shell, request };
    let response = answered.await;
    // An engine that stops with a request in flight is a fault; the client gets an answer that promises nothing.
    let response = response.unwrap_or_else(|_| failed(false));
    drop(client);
    Ok(response)
}
