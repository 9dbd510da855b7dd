//! Answers one request of a client: a health check directly, an invalid request with an error, any other through the
//! engine.

use crate::client_connection::ClientConnection;
use crate::counters::increment;
use crate::id_claim::IdClaim;
use crate::prepared_request::PreparedRequest;
use crate::request_error::RequestError;
use crate::request_reader::{self, ReadRequest};
use crate::shell::{Body, Shell};
use crate::wire_headers::HEALTH_PATH;
use havenplank::interface::{Nanos, RequestId};
use havenplank_sidecar::client_stream::Departure;
use havenplank_sidecar::dispatcher::Transport;
use havenplank_sidecar::engine::RequestAttributes;
use havenplank_sidecar::responses::{failed, text_response, with_connection_close};
use havenplank_sidecar::tracked_body::TrackedRequestBody;
use hyper::{Method, Request, Response, StatusCode};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// A response for the client, with the deadline of its request.
pub(crate) struct HandledRequest {
    pub(crate) response: Response<Body>,
    /// `None` for health checks and invalid requests, which the engine does not see.
    pub(crate) deadline: Option<Instant>,
}

impl From<Response<Body>> for HandledRequest {
    fn from(response: Response<Body>) -> HandledRequest {
        HandledRequest {
            response,
            deadline: None,
        }
    }
}

/// Guard of a request in flight. Dropping it reports to the engine that the client is gone; it has no effect once the
/// request has ended.
struct InFlightGuard<'a> {
    shell: &'a Rc<Shell>,
    client: &'a ClientConnection,
    request: RequestId,
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        if self.shell.cancel_request(self.request) {
            // The HTTP server may have found the end of the stream before this side has.
            let departure = self.client.stream.departure();
            let departure = departure.unwrap_or(Departure::Closed);
            record_departure(self.shell, departure, Some(self.request));
        }
    }
}

/// Answers one request.
pub(crate) async fn handle(
    shell: Rc<Shell>,
    client: Rc<ClientConnection>,
    request: Request<TrackedRequestBody>,
) -> HandledRequest {
    let began = client.stream.take_request_began();
    let began = began.unwrap_or_else(Instant::now);
    if request.method() == Method::GET && request.uri().path() == HEALTH_PATH {
        client.mark_requested();
        return health_response(shell.stopping.get()).into();
    }
    match request_reader::read(&shell, &client, request, began).await {
        Ok(request) => {
            client.mark_requested();
            dispatch(shell, &client, request, began).await
        }
        Err(error) => reject(&shell, error).into(),
    }
}

fn health_response(is_stopping: bool) -> Response<Body> {
    if is_stopping {
        return with_connection_close(text_response(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"));
    }
    text_response(StatusCode::OK, "ready\n")
}

fn reject(shell: &Shell, error: RequestError) -> Response<Body> {
    let (status, text) = error.response();
    tracing::debug!(%status, reason = text.trim_end(), "invalid request");
    let count = match error {
        RequestError::NoMemory => &shell.clients.rejected_for_memory,
        _ => &shell.clients.invalid_requests,
    };
    increment(count);
    with_connection_close(text_response(status, text))
}

/// Dispatches a request to the engine and waits for its response.
async fn dispatch(
    shell: Rc<Shell>,
    client: &ClientConnection,
    read: ReadRequest,
    began: Instant,
) -> HandledRequest {
    let ReadRequest {
        attributes,
        prepared,
        id,
    } = read;
    let deadline = began + Duration::from_nanos(attributes.remaining);
    let response = match client.stream.find_departure().await {
        Some(departure) => {
            record_departure(&shell, departure, None);
            shell.rejected(0)
        }
        None => {
            let attributes = deduct_time_spent(attributes, began, shell.response_margin);
            await_response(&shell, client, attributes, prepared, &id).await
        }
    };
    let closes = shell.stopping.get() || client.stream.departure() == Some(Departure::Closed);
    HandledRequest {
        response: if closes {
            with_connection_close(response)
        } else {
            response
        },
        deadline: Some(deadline),
    }
}

/// Passes a request to the engine and waits for its response, or until its client has left.
async fn await_response(
    shell: &Rc<Shell>,
    client: &ClientConnection,
    attributes: RequestAttributes,
    prepared: PreparedRequest,
    id: &IdClaim,
) -> Response<Body> {
    let (sender, response) = oneshot::channel();
    let request = shell.dispatch(
        attributes,
        Rc::new(prepared),
        client.stream.presence(),
        sender,
    );
    tracing::debug!(request, id = ?id.id(), "request dispatched");
    let _in_flight = InFlightGuard {
        shell,
        client,
        request,
    };
    id.set_request(request);
    tokio::select! {
        // The engine dropping a request in flight is a fault; this response does not promise that it never ran.
        response = response => response.unwrap_or_else(|_| failed(false)),
        // Watched here because the HTTP server sees the client's close only if no unread bytes precede it. A client that
        // has closed does not read this response.
        _ = client.stream.departed() => failed(false),
    }
}

/// Records that a request ends, or is not dispatched, because its client has left.
fn record_departure(shell: &Shell, departure: Departure, request: Option<RequestId>) {
    tracing::debug!(request, ?departure, "request ended: its client has left");
    let count = match departure {
        Departure::Closed => &shell.clients.closed_early,
        Departure::SentTooMuch => &shell.clients.sent_too_much,
    };
    increment(count);
}

/// Deducts from the remaining time what reading the request took and what sending the response will take.
fn deduct_time_spent(
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
