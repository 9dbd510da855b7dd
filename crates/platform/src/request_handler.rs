//! Answers one request of a client: a health check, an invalid one, or one that the engine decides about.

use crate::client_connection::ClientConnection;
use crate::counters::increment;
use crate::request_error::RequestError;
use crate::request_reader::{self, ReadRequest};
use crate::shell::{Body, Shell};
use crate::wire_headers::HEALTH_PATH;
use havenplank::interface::{Nanos, RequestId};
use havenplank_sidecar::engine::RequestAttributes;
use havenplank_sidecar::responses::{failed, text_response, with_connection_close};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// A response on its way to the client.
pub(crate) struct Handled {
    pub(crate) response: Response<Body>,
    /// The request's deadline, where it was one for the engine.
    pub(crate) deadline: Option<Instant>,
}

impl From<Response<Body>> for Handled {
    fn from(response: Response<Body>) -> Handled {
        Handled {
            response,
            deadline: None,
        }
    }
}

/// A request in flight; dropped before its response, its client is gone.
struct InFlight {
    shell: Rc<Shell>,
    request: RequestId,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shell.cancel_request(self.request);
    }
}

/// Answers what a client sent.
pub(crate) async fn handle(
    shell: Rc<Shell>,
    client: Rc<ClientConnection>,
    request: Request<Incoming>,
) -> Handled {
    let began = client.stream.take_request_began();
    let began = began.unwrap_or_else(Instant::now);
    if request.method() == Method::GET && request.uri().path() == HEALTH_PATH {
        client.mark_requested();
        return health(shell.stopping.get()).into();
    }
    match request_reader::read(&shell, &client, request, began).await {
        Ok(request) => {
            client.mark_requested();
            dispatch(shell, &client, request, began).await
        }
        Err(error) => refuse(&shell, error).into(),
    }
}

fn health(is_stopping: bool) -> Response<Body> {
    if is_stopping {
        return with_connection_close(text_response(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"));
    }
    text_response(StatusCode::OK, "ready\n")
}

fn refuse(shell: &Shell, error: RequestError) -> Response<Body> {
    let (status, text) = error.response();
    tracing::debug!(%status, reason = text.trim_end(), "invalid request");
    increment(&shell.clients.invalid_requests);
    with_connection_close(text_response(status, text))
}

/// Hands a request to the engine and waits for its response.
async fn dispatch(
    shell: Rc<Shell>,
    client: &ClientConnection,
    read: ReadRequest,
    began: Instant,
) -> Handled {
    let ReadRequest {
        attributes,
        prepared,
        id,
    } = read;
    let deadline = began + Duration::from_nanos(attributes.remaining);
    let attributes = with_time_spent(attributes, began, shell.response_margin);
    let (sender, response) = oneshot::channel();
    let request = shell.dispatch(attributes, prepared, sender);
    let in_flight = InFlight { shell, request };
    id.set_request(request);
    let response = tokio::select! {
        // An engine that stops with a request in flight is a fault; the response promises nothing.
        response = response => response.unwrap_or_else(|_| failed(false)),
        // HTTP looks for its close only while no other bytes lie in front of that. Nobody reads this response.
        () = client.stream.closed() => with_connection_close(failed(false)),
    };
    let is_stopping = in_flight.shell.stopping.get();
    Handled {
        response: if is_stopping {
            with_connection_close(response)
        } else {
            response
        },
        deadline: Some(deadline),
    }
}

/// Takes off the remaining time what was spent reading, and what the response will need on its way.
fn with_time_spent(
    attributes: RequestAttributes,
    began: Instant,
    response_margin: Nanos,
) -> RequestAttributes {
    let spent = began.elapsed().as_nanos() as Nanos + response_margin;
    RequestAttributes {
        remaining: attributes.remaining.saturating_sub(spent),
        ..attributes
    }
}
