//! Reads and validates complete client requests; a request is buffered completely so that it can be retried.

use crate::client_connection::ClientConnection;
use crate::id_claim::IdClaim;
use crate::in_flight_ids::IdConflict;
use crate::limits::{MAX_BODY_BYTES, MAX_CORRELATION_ID_BYTES};
use crate::memory_budget::{rejects_head, reserve_by};
use crate::prepared_request::{PreparedHead, PreparedRequest};
use crate::request_error::RequestError;
use crate::shell::Shell;
use crate::units::NANOS_PER_MILLI;
use crate::wire_headers::{
    CORRELATION_ID, COST_HINT, IDEMPOTENCY_KEY, KEY_COOKIE, REMAINING_TIME, RETRY, TENANT,
};
use bytes::Bytes;
use havenplank::interface::{stable_hash, Idempotency, Nanos, RouteClass, RouteClassId};
use havenplank_sidecar::engine::RequestAttributes;
use havenplank_sidecar::headers::{parse_cost_hint, strip_hop_by_hop};
use havenplank_sidecar::request_body::{self, BodyError, BodyLimits};
use havenplank_sidecar::tracked_body::TrackedRequestBody;
use hyper::body::Body;
use hyper::header::{
    HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, COOKIE, TRANSFER_ENCODING,
};
use hyper::http::request::Parts;
use hyper::{Method, Request};
use std::rc::Rc;
use std::time::Instant;

/// Limit on the digits of the remaining time; nine digits of milliseconds are about 11 days.
const MAX_REMAINING_TIME_DIGITS: usize = 9;

/// A complete, valid request.
pub(crate) struct ReadRequest {
    /// The attributes for the engine. The remaining time counts from the first byte of the request.
    pub(crate) attributes: RequestAttributes,
    /// The request as sent to pods.
    pub(crate) prepared: PreparedRequest,
    /// The claim on its correlation id.
    pub(crate) id: IdClaim,
}

/// Reads a request whose first byte was received at `began`.
///
/// # Errors
/// Fails on an invalid request, and on one whose correlation id is in flight.
pub(crate) async fn read(
    shell: &Rc<Shell>,
    client: &Rc<ClientConnection>,
    request: Request<TrackedRequestBody>,
    began: Instant,
) -> Result<ReadRequest, RequestError> {
    let (parts, body) = request.into_parts();
    let class = check_target(shell, &parts)?;
    let rules = shell.route_classes[class].1;
    let method = check_method(&parts, &rules)?;
    check_body(&body, &rules)?;
    let id = correlation_id(&parts.headers)?;
    check_idempotency_key(&parts.headers, &rules)?;
    let remaining = remaining_time(&parts.headers)?;
    let attributes = RequestAttributes {
        route_class: class,
        tenant: tenant(shell, &parts.headers),
        key: key_from_cookie(&parts.headers).map_or(0, stable_hash),
        remaining: remaining.min(rules.client_timeout),
        cost_hint: cost_hint(&parts.headers),
        is_retry: parts.headers.get(RETRY).is_some_and(|value| value == "1"),
    };
    let claim = IdClaim::new(shell, client, id, rules.idempotency);
    let id = claim.map_err(|conflict| match conflict {
        IdConflict::ClientWaiting => RequestError::IdInFlight,
        IdConflict::MayHaveRun => RequestError::IdMayHaveRun,
    })?;
    let must_run_once = rules.idempotency != Idempotency::Idempotent;
    let once_only_id = must_run_once.then(|| id.id().clone());
    // The original head keeps its read buffer allocated, so it is dropped before the body is awaited.
    let head = prepare_head(&method, parts);
    if rejects_head(head.len(), shell.client_memory()) {
        return Err(RequestError::NoMemory);
    }
    let body = read_body(shell, body, client, began, attributes.remaining).await?;
    Ok(ReadRequest {
        attributes,
        prepared: head.with_body(body, once_only_id),
        id,
    })
}

/// Checks the request target and returns its route class.
fn check_target(shell: &Shell, parts: &Parts) -> Result<RouteClassId, RequestError> {
    if parts.headers.contains_key(TRANSFER_ENCODING) {
        return Err(RequestError::TransferEncoding);
    }
    if parts.uri.authority().is_some() || parts.method == Method::CONNECT {
        return Err(RequestError::NotAPath);
    }
    route_class(shell, parts.uri.path()).ok_or(RequestError::UnknownRouteClass)
}

/// Finds the route class that the first segment of a path names.
fn route_class(shell: &Shell, path: &str) -> Option<RouteClassId> {
    let name = path.strip_prefix('/')?.split('/').next()?;
    let mut classes = shell.route_classes.iter();
    classes.position(|(class_name, _)| class_name == name)
}

fn check_method(parts: &Parts, rules: &RouteClass) -> Result<Method, RequestError> {
    let method = match rules.idempotency {
        Idempotency::Idempotent => Method::GET,
        Idempotency::Keyed | Idempotency::NonIdempotent => Method::POST,
    };
    if parts.method != method {
        return Err(RequestError::WrongMethod);
    }
    Ok(method)
}

/// Checks the body as far as the head describes it.
fn check_body(body: &TrackedRequestBody, rules: &RouteClass) -> Result<(), RequestError> {
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(RequestError::BodyTooLarge);
    }
    if rules.idempotency == Idempotency::Idempotent && !body.is_end_stream() {
        return Err(RequestError::UnexpectedBody);
    }
    Ok(())
}

fn correlation_id(headers: &HeaderMap) -> Result<&HeaderValue, RequestError> {
    let id = single_value(headers, &CORRELATION_ID, RequestError::MultipleIds)?;
    let is_valid = |id: &&HeaderValue| {
        let length = id.len();
        (1..=MAX_CORRELATION_ID_BYTES).contains(&length)
            && id.as_bytes().iter().all(u8::is_ascii_graphic)
    };
    id.filter(is_valid).ok_or(RequestError::InvalidId)
}

fn check_idempotency_key(headers: &HeaderMap, rules: &RouteClass) -> Result<(), RequestError> {
    let multiple = RequestError::MultipleIdempotencyKeys;
    let key = single_value(headers, &IDEMPOTENCY_KEY, multiple)?;
    let is_missing = key.is_none_or(HeaderValue::is_empty);
    if rules.idempotency == Idempotency::Keyed && is_missing {
        return Err(RequestError::MissingIdempotencyKey);
    }
    Ok(())
}

fn remaining_time(headers: &HeaderMap) -> Result<Nanos, RequestError> {
    let value = single_value(
        headers,
        &REMAINING_TIME,
        RequestError::MultipleRemainingTimes,
    )?;
    value
        .and_then(parse_millis)
        .ok_or(RequestError::InvalidRemainingTime)
}

/// Parses whole milliseconds of at most [`MAX_REMAINING_TIME_DIGITS`] digits.
fn parse_millis(value: &HeaderValue) -> Option<Nanos> {
    let text = value.to_str().ok()?;
    let is_number = text.bytes().all(|byte| byte.is_ascii_digit());
    if !is_number || text.len() > MAX_REMAINING_TIME_DIGITS {
        return None;
    }
    text.parse::<Nanos>().ok()?.checked_mul(NANOS_PER_MILLI)
}

/// Returns the value of a header, or the given error if the header occurs more than once.
fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
    multiple: RequestError,
) -> Result<Option<&'a HeaderValue>, RequestError> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (value, None) => Ok(value),
        _ => Err(multiple),
    }
}

fn tenant(shell: &Shell, headers: &HeaderMap) -> Option<usize> {
    let name = headers.get(TENANT)?;
    shell.tenants.iter().position(|tenant| name == tenant)
}

/// Returns the key from the cookie headers. A deployment without keys has none, and a malformed cookie counts as none.
fn key_from_cookie(headers: &HeaderMap) -> Option<&[u8]> {
    let lines = headers.get_all(COOKIE).iter();
    let mut cookies = lines.flat_map(|line| line.as_bytes().split(|byte| *byte == b';'));
    let key = cookies.find_map(|cookie| cookie.trim_ascii().strip_prefix(KEY_COOKIE))?;
    (!key.is_empty()).then_some(key)
}

fn cost_hint(headers: &HeaderMap) -> Option<Nanos> {
    parse_cost_hint(headers.get(COST_HINT)?.to_str().ok()?)
}

async fn read_body(
    shell: &Shell,
    body: TrackedRequestBody,
    client: &ClientConnection,
    began: Instant,
    remaining: Nanos,
) -> Result<Bytes, BodyError> {
    let limits = BodyLimits {
        max_bytes: MAX_BODY_BYTES,
        read_by: client.state().read_by(began),
        reserve_by: reserve_by(began, remaining),
    };
    request_body::read_body(body, &limits, &shell.request_memory).await
}

/// Prepares the head of a request for pods: method, path and headers are forwarded, except for hop-by-hop headers and
/// those that describe the length of the body and the remaining time.
fn prepare_head(method: &Method, parts: Parts) -> PreparedHead {
    let path = parts.uri.path_and_query();
    let path = path.map_or("/", |path| path.as_str());
    let mut headers = parts.headers;
    strip_hop_by_hop(&mut headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(REMAINING_TIME);
    PreparedHead::new(method, path, &headers)
}
