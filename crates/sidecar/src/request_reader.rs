//! Reads a client's request completely, so that it can be sent several times, and rejects invalid requests.

use crate::engine::RequestAttributes;
use crate::headers::{self, IDEMPOTENCY_KEY};
use crate::prepared_request::{PreparedRequest, Protection, RequestContent};
use crate::request_body::{self, BodyError, BodyLimits};
use crate::routes::{Route, RouteTable};
use crate::shell::Shell;
use crate::tracked_body::TrackedRequestBody;
use bytes::Bytes;
use havenplank::interface::{stable_hash, Idempotency, Nanos};
use havenplank_settings::BackupMode;
use hyper::header::{HeaderMap, CONTENT_LENGTH, VIA};
use hyper::http::request::Parts;
use hyper::{Request, StatusCode};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Why a request was rejected before it was dispatched.
pub struct RequestError {
    /// The status of the HTTP response.
    pub status: StatusCode,
    /// The body of the HTTP response.
    pub reason: &'static str,
}

impl RequestError {
    const fn new(status: StatusCode, reason: &'static str) -> RequestError {
        RequestError { status, reason }
    }

    const fn bad_request(reason: &'static str) -> RequestError {
        RequestError::new(StatusCode::BAD_REQUEST, reason)
    }
}

const TOO_LARGE: RequestError = RequestError::new(
    StatusCode::PAYLOAD_TOO_LARGE,
    "the body is over the limit\n",
);

/// Reads a request completely.
///
/// # Errors
/// Fails if no route matches, if a header is malformed, or if the body is too long, too slow or incomplete.
pub async fn read(
    shell: &Rc<Shell>,
    request: Request<TrackedRequestBody>,
) -> Result<(RequestAttributes, PreparedRequest), RequestError> {
    let (parts, body) = request.into_parts();
    let routes = shell.routes();
    let route = find_route(&routes, &parts)?;
    check_idempotency_key(&parts.headers, &route)?;
    let tenant_name = header_text(&parts.headers, &shell.site.headers.tenant);
    let tenant = tenant_name.and_then(|name| Some((name, routes.tenant(name)?)));
    let index = tenant.and_then(|(_, tenant)| tenant.index);
    let attributes = attributes(shell, &parts.headers, &route, index)?;
    let takeover = shell.takeover.as_ref();
    let takeover = takeover.filter(|_| route.backup != BackupMode::Off);
    let tenant = takeover.and(tenant).map(|(name, _)| name.to_string());
    // While it waits for its body, a request holds only its own route, not the complete route table.
    drop(routes);
    let body = read_body(shell, body).await?;
    let mut headers = parts.headers;
    headers::strip_hop_by_hop(&mut headers);
    headers.remove(CONTENT_LENGTH);
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let (mut headers, uri) = headers::detached_copy(&headers, path);
    let protection = takeover.map(|service| {
        let key = headers.get(IDEMPOTENCY_KEY);
        let key = key.or(headers.get(&shell.site.headers.request_id));
        let content = RequestContent {
            method: &parts.method,
            path,
            body: &body,
        };
        Protection::new(service, &route, tenant, key, content)
    });
    headers.append(VIA, shell.via.clone());
    let prepared = PreparedRequest {
        method: parts.method,
        uri,
        headers,
        body,
        route,
        protection,
    };
    Ok((attributes, prepared))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).map(|value| value.to_str().unwrap_or(""))
}

fn find_route(routes: &RouteTable, parts: &Parts) -> Result<Rc<Route>, RequestError> {
    let route = routes.find(parts.method.as_str(), parts.uri.path());
    route.cloned().ok_or_else(|| {
        if routes.awaits_configuration() {
            RequestError::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "no configuration has been heard yet; a retry is harmless\n",
            )
        } else {
            RequestError::new(
                StatusCode::NOT_FOUND,
                "no path group takes this method and path\n",
            )
        }
    })
}

fn check_idempotency_key(headers: &HeaderMap, route: &Route) -> Result<(), RequestError> {
    match headers.get(IDEMPOTENCY_KEY) {
        Some(key) if !headers::is_idempotency_key(key.as_bytes()) => Err(
            RequestError::bad_request("Idempotency-Key: expected a text in quotes\n"),
        ),
        None if route.rules.idempotency == Idempotency::Keyed => Err(RequestError::bad_request(
            "Idempotency-Key: needed by this path group\n",
        )),
        _ => Ok(()),
    }
}

/// Reads the properties of a request that decisions depend on.
fn attributes(
    shell: &Shell,
    headers: &HeaderMap,
    route: &Route,
    tenant: Option<usize>,
) -> Result<RequestAttributes, RequestError> {
    let names = &shell.site.headers;
    let requested_timeout = header_text(headers, &names.timeout).map(headers::parse_timeout);
    if requested_timeout == Some(None) {
        return Err(RequestError::bad_request(
            "time-out: expected up to 8 digits and H, M, S, m, u or n\n",
        ));
    }
    let key = headers.get(&names.idempotency_key);
    Ok(RequestAttributes {
        route_class: route.route_class(),
        tenant,
        key: key.map_or(0, |key| stable_hash(key.as_bytes())),
        // A client may ask for a shorter timeout than its route class has, never for a longer one.
        remaining: requested_timeout
            .flatten()
            .unwrap_or(Nanos::MAX)
            .min(route.rules.client_timeout),
        cost_hint: header_text(headers, &names.cost_hint).and_then(headers::parse_cost_hint),
        is_retry: false,
    })
}

async fn read_body(shell: &Shell, body: TrackedRequestBody) -> Result<Bytes, RequestError> {
    let limits = &shell.site.listener;
    let read_by = Instant::now() + Duration::from_nanos(limits.body_timeout);
    let limits = BodyLimits {
        max_bytes: limits.max_body_bytes,
        read_by,
        reserve_by: read_by,
    };
    let read = request_body::read_body(body, &limits, &shell.request_memory).await;
    read.map_err(|error| match error {
        BodyError::TooLarge => TOO_LARGE,
        BodyError::Incomplete => RequestError::bad_request("the body broke off\n"),
        BodyError::TooSlow => {
            RequestError::new(StatusCode::REQUEST_TIMEOUT, "the body took too long\n")
        }
        BodyError::NoMemory(_) => RequestError::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "no memory for the body; a retry is harmless\n",
        ),
    })
}
