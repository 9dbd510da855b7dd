//! A request as its backups keep it, and back from there. The field order is what travels between sidecars (postcard).

use crate::engine::RequestAttributes;
use crate::headers;
use crate::prepared_request::{PreparedRequest, Protection};
use crate::routes::RouteTable;
use havenplank::interface::Nanos;
use havenplank_takeover::record::Record;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};

/// The longest request or answer that backups keep, in bytes.
pub const MAX_RECORD_BYTES: usize = 256 << 10;

/// Headers as they travel between sidecars.
pub type HeaderList = Vec<(String, Vec<u8>)>;

/// A request by names, as two sidecars may number route classes and tenants differently.
#[derive(Serialize, Deserialize)]
struct RequestRecord {
    #[serde(rename = "group")]
    route_class: String,
    #[serde(rename = "customer")]
    tenant: Option<String>,
    key: u64,
    cost_hint: Option<Nanos>,
    method: String,
    path: String,
    headers: HeaderList,
    body: Vec<u8>,
}

/// A request that was backed up here.
pub struct BackedUpRequest {
    /// What the decisions see of it.
    pub attributes: RequestAttributes,
    /// What is sent.
    pub request: PreparedRequest,
}

/// Copies headers to the form in which they travel.
pub fn header_list(headers: &HeaderMap) -> HeaderList {
    let pair =
        |(name, value): (&HeaderName, &HeaderValue)| (name.to_string(), value.as_bytes().to_vec());
    headers.iter().map(pair).collect()
}

/// Reads headers back; what is none is left out.
pub fn header_map(headers: &HeaderList) -> HeaderMap {
    let header = |(name, value): &(String, Vec<u8>)| {
        Some((
            name.parse::<HeaderName>().ok()?,
            HeaderValue::from_bytes(value).ok()?,
        ))
    };
    headers.iter().filter_map(header).collect()
}

/// Encodes a request for its backups; `None` where it is too long to be stored.
pub fn encode(
    attributes: &RequestAttributes,
    request: &PreparedRequest,
    protection: &Protection,
) -> Option<Vec<u8>> {
    let record = RequestRecord {
        route_class: request.route.name.clone(),
        tenant: protection.tenant.clone(),
        key: attributes.key,
        cost_hint: attributes.cost_hint,
        method: request.method.to_string(),
        path: request.path().to_string(),
        headers: header_list(&request.headers),
        body: request.body.to_vec(),
    };
    let bytes = postcard::to_stdvec(&record).ok()?;
    Some(bytes).filter(|bytes| bytes.len() <= MAX_RECORD_BYTES)
}

/// Decodes a request that was backed up; `None` where it cannot be read, or no route here has its name.
pub fn decode(routes: &RouteTable, record: &Record) -> Option<BackedUpRequest> {
    let stored: RequestRecord = postcard::from_bytes(&record.payload).ok()?;
    let route = routes.find_by_name(&stored.route_class)?.clone();
    let tenant = stored.tenant.as_ref();
    let attributes = RequestAttributes {
        route_class: route.route_class(),
        tenant: tenant.and_then(|name| routes.tenant(name)?.index),
        key: stored.key,
        remaining: record.remaining.min(route.rules.client_timeout),
        cost_hint: stored.cost_hint,
        is_retry: false,
    };
    let (headers, uri) = headers::detached_copy(&header_map(&stored.headers), &stored.path);
    let protection = Protection::taken_over(record.request, record.digest, stored.tenant, &route);
    let request = PreparedRequest {
        method: stored.method.parse().ok()?,
        uri,
        headers,
        body: stored.body.into(),
        route,
        protection: Some(protection),
    };
    Some(BackedUpRequest {
        attributes,
        request,
    })
}

#[cfg(test)]
#[path = "../tests/unit/backup_record.rs"]
mod tests;
