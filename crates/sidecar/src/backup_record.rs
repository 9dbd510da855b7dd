//! Encodes a request for its backups, and decodes it when it is taken over. Sidecars send the encoding to each other in
//! postcard format, where the field order matters.

use crate::engine::RequestAttributes;
use crate::headers;
use crate::prepared_request::{PreparedRequest, Protection};
use crate::routes::RouteTable;
use havenplank::interface::Nanos;
use havenplank_takeover::record::Record;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};

/// Limit on the encoded size of a request or response that backups keep, in bytes.
pub const MAX_RECORD_BYTES: usize = 256 << 10;

/// Header names and values as sidecars send them to each other.
pub type HeaderList = Vec<(String, Vec<u8>)>;

/// A request as backups keep it. It holds names of route classes and tenants, because their indices differ between
/// sidecars.
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

/// A request that was decoded from a backup record.
pub struct BackedUpRequest {
    /// The attributes of the request for the engine.
    pub attributes: RequestAttributes,
    /// The request that is sent to pods.
    pub request: PreparedRequest,
}

/// Converts headers to the form in which sidecars send them.
pub fn header_list(headers: &HeaderMap) -> HeaderList {
    let pair =
        |(name, value): (&HeaderName, &HeaderValue)| (name.to_string(), value.as_bytes().to_vec());
    headers.iter().map(pair).collect()
}

/// Converts received headers back. Leaves out names and values that are no valid header.
pub fn header_map(headers: &HeaderList) -> HeaderMap {
    let header = |(name, value): &(String, Vec<u8>)| {
        Some((
            name.parse::<HeaderName>().ok()?,
            HeaderValue::from_bytes(value).ok()?,
        ))
    };
    headers.iter().filter_map(header).collect()
}

/// Encodes a request for its backups. Returns `None` if the encoding is longer than [`MAX_RECORD_BYTES`].
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

/// Decodes a request from its backup record. Returns `None` if the record is unreadable or if no route here has the
/// name of its route class.
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
