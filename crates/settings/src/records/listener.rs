//! `headers(...)` and `limits(...)`: the headers that a sidecar reads from requests, and the limits on attempts and on
//! clients.

use super::fields::{read_header, KIB, MS, SECOND};
use crate::reader::FieldReader;
use crate::site::{HeaderNames, ListenerSettings};
use havenplank::interface::AttemptSettings;
use std::net::SocketAddr;

/// The largest limit on a request body and on a buffered response that the settings accept.
const MAX_BODY_BYTES: u64 = 64 * KIB * KIB;
/// The largest limit on concurrent connections or requests that the settings accept.
const MAX_CONCURRENCY: u64 = 1_000_000;
/// The default limit on concurrent connections and on concurrent requests.
const DEFAULT_CONCURRENCY: u64 = 16_384;

pub(super) fn read_headers(reader: &mut FieldReader) -> HeaderNames {
    HeaderNames {
        timeout: read_header(reader, "timeout", "grpc-timeout"),
        idempotency_key: read_header(reader, "key", "x-key"),
        tenant: read_header(reader, "customer", "x-customer"),
        cost_hint: read_header(reader, "cost_hint", "x-cost-hint"),
        request_id: read_header(reader, "mark", "x-hit-mark"),
    }
}

/// The settings of `limits(...)`.
pub(super) struct Limits {
    pub(super) attempts: AttemptSettings,
    /// The addresses in it are placeholders; `sidecar(...)` has the real ones.
    pub(super) listener: ListenerSettings,
}

pub(super) fn read_limits(reader: &mut FieldReader) -> Limits {
    Limits {
        attempts: AttemptSettings {
            max_attempts: reader.integer_or("forwards", 1..=16, 4) as u32,
            hedging: reader.flag_or("copies", false),
            may_cancel: reader.flag_or("cancel", true),
            max_retry_after: reader.duration_or("come_back", SECOND),
            cross_zone_cost: reader.number_or("cross_zone_price", 0.0..=1.0, 0.0),
        },
        listener: read_listener(reader),
    }
}

fn read_listener(reader: &mut FieldReader) -> ListenerSettings {
    let placeholder = SocketAddr::from(([127, 0, 0, 1], 0));
    let head_bytes = reader.size_or("head_bytes", 8 * KIB..=KIB * KIB, 16 * KIB);
    let head_timeout = reader.duration_or("head_time", 5 * SECOND);
    let body_bytes = reader.size_or("body_bytes", 0..=MAX_BODY_BYTES, 256 * KIB);
    let body_timeout = reader.duration_or("body_time", 5 * SECOND);
    ListenerSettings {
        listen: placeholder,
        admin: placeholder,
        max_head_bytes: head_bytes as usize,
        head_timeout,
        max_body_bytes: body_bytes as usize,
        body_timeout,
        max_connections: reader.integer_or("connections", 1..=MAX_CONCURRENCY, DEFAULT_CONCURRENCY)
            as usize,
        max_requests: reader.integer_or("hits", 1..=MAX_CONCURRENCY, DEFAULT_CONCURRENCY) as usize,
        response_margin: reader.duration_or("answer_margin", 20 * MS),
        buffered_response_bytes: reader.size_or("answer_bytes", 0..=MAX_BODY_BYTES, 64 * KIB)
            as usize,
    }
}
