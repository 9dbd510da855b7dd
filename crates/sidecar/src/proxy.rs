//! Serves one request of a client: reads it, dispatches it and returns its final response.

use crate::body::Body;
use crate::client_stream::{ClientStream, Departure};
use crate::engine::RequestAttributes;
use crate::prepared_request::PreparedRequest;
use crate::protected_request;
use crate::request_reader;
use crate::responses::{failed, rejected_with_retry_after, text_response, with_connection_close};
use crate::shell::Shell;
use crate::tracked_body::TrackedRequestBody;
use havenplank::interface::{Nanos, RequestId};
use hyper::{Request, Response};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::oneshot;

/// The retry delay that a sidecar at its request limit advises its clients, in nanoseconds.
const RETRY_AFTER_AT_LIMIT: Nanos = 1_000_000_000;

/// Notifies the engine on drop that the client disconnected. Has no effect once the request has its final response.
struct ClientGuard {
    shell: Rc<Shell>,
    request: RequestId,
}

impl Drop for ClientGuard {
    fn drop(&mut self) {
        self.shell.client_left(self.request);
    }
}

/// Serves one request of a client. Requests that are rejected here never reach the engine, so no decision counts them.
///
/// # Errors
/// Returns no error.
pub async fn serve(
    shell: Rc<Shell>,
    request: Request<TrackedRequestBody>,
) -> Result<Response<Body>, Infallible> {
    let arrived = Instant::now();
    let stream = request.body().stream().clone();
    let (attributes, request) = match request_reader::read(&shell, request).await {
        Ok(read) => read,
        Err(error) => {
            return Ok(with_connection_close(text_response(
                error.status,
                error.reason,
            )))
        }
    };
    if let Some(departure) = stream.find_departure().await {
        tracing::debug!(?departure, "request not dispatched: its client has left");
        return Ok(rejected_with_retry_after(0));
    }
    if shell.is_full() {
        return Ok(with_connection_close(rejected_with_retry_after(
            RETRY_AFTER_AT_LIMIT,
        )));
    }
    let spent = arrived.elapsed().as_nanos() as Nanos + shell.site.listener.response_margin;
    let attributes = RequestAttributes {
        remaining: attributes.remaining.saturating_sub(spent),
        ..attributes
    };
    let takeover = shell.takeover.clone();
    if let Some(service) = takeover.filter(|_| request.protection.is_some()) {
        let owned = protected_request::serve(shell, service, attributes, request, &stream);
        return Ok(owned.await);
    }
    Ok(dispatch(shell, attributes, request, &stream).await)
}

/// Dispatches a request and waits for its response, or until its client has sent too much behind it.
async fn dispatch(
    shell: Rc<Shell>,
    attributes: RequestAttributes,
    request: PreparedRequest,
    stream: &ClientStream,
) -> Response<Body> {
    let (responder, mut receiver) = oneshot::channel();
    let request = shell.dispatch(attributes, Rc::new(request), stream.presence(), responder);
    let _client = ClientGuard {
        shell: shell.clone(),
        request,
    };
    let response = tokio::select! {
        biased;
        response = &mut receiver => response,
        departure = stream.departed() => {
            if departure == Departure::SentTooMuch {
                return failed(false);
            }
            shell.client_closed(request);
            receiver.await
        }
    };
    // The sender is dropped only by a bug in the engine. The client then gets a response that promises nothing.
    response.unwrap_or_else(|_| failed(false))
}
