//! Parses and formats headers (timeout, idempotency key, cost hint, load report), and removes headers that must not be
//! forwarded.

use bytes::BytesMut;
use havenplank::interface::{LoadReport, Nanos};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION};
use hyper::Uri;
use winnow::ascii::{dec_uint, float, multispace0};
use winnow::combinator::{opt, preceded, separated};
use winnow::error::ContextError;
use winnow::prelude::*;
use winnow::token::{one_of, take_while};

/// The header with which a client identifies its request, so that repeats of the request run once (IETF draft
/// `Idempotency-Key`).
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The header in which a pod reports its load (ORCA).
pub const LOAD_REPORT: &str = "endpoint-load-metrics";

/// The longest idempotency key without its quotes, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;
/// One more than the largest count that the eight digits of a `grpc-timeout` value can express.
const TIMEOUT_COUNT_LIMIT: Nanos = 100_000_000;
/// The longest time that [`format_timeout`] can express.
const LONGEST_TIMEOUT: &str = "99999999S";

/// Parses a time in the format of `grpc-timeout`: up to eight digits, then H, M, S, m, u or n for hours to nanoseconds.
pub fn parse_timeout(text: &str) -> Option<Nanos> {
    let unit =
        one_of::<_, _, ContextError>(['H', 'M', 'S', 'm', 'u', 'n']).map(|unit: char| match unit {
            'H' => 3_600_000_000_000,
            'M' => 60_000_000_000,
            'S' => 1_000_000_000,
            'm' => 1_000_000,
            'u' => 1_000,
            _ => 1u64,
        });
    let digits = take_while(1..=8, |c: char| c.is_ascii_digit()).try_map(str::parse::<u64>);
    let (count, unit) = (digits, unit).parse(text).ok()?;
    count.checked_mul(unit)
}

/// Formats a time in the format of `grpc-timeout`, rounded down to a multiple of the finest unit in which eight digits
/// are enough.
pub fn format_timeout(time: Nanos) -> String {
    let units = [
        (1, 'n'),
        (1_000, 'u'),
        (1_000_000, 'm'),
        (1_000_000_000, 'S'),
    ];
    let unit_that_fits = units
        .iter()
        .find(|(unit, _)| time / unit < TIMEOUT_COUNT_LIMIT);
    unit_that_fits.map_or(LONGEST_TIMEOUT.to_string(), |(unit, letter)| {
        format!("{}{letter}", time / unit)
    })
}

/// Returns whether a key is valid under the `Idempotency-Key` draft: a structured string in quotes that is not empty.
pub fn is_idempotency_key(text: &[u8]) -> bool {
    let Some(inner) = text
        .strip_prefix(b"\"")
        .and_then(|rest| rest.strip_suffix(b"\""))
    else {
        return false;
    };
    let mut escaped = false;
    for byte in inner {
        match byte {
            b'\\' | b'"' if escaped => escaped = false,
            _ if escaped => return false,
            b'\\' => escaped = true,
            b' '..=b'~' if *byte != b'"' => {}
            _ => return false,
        }
    }
    !escaped && !inner.is_empty() && inner.len() <= MAX_IDEMPOTENCY_KEY_BYTES
}

/// Parses a cost hint, which is a whole number of microseconds.
pub fn parse_cost_hint(text: &str) -> Option<Nanos> {
    dec_uint::<_, u64, ContextError>
        .parse(text)
        .ok()?
        .checked_mul(1_000)
}

/// Parses a load report in the text format of `endpoint-load-metrics`. Metrics that the report does not name are
/// `None`.
pub fn parse_load_report(text: &str) -> Option<LoadReport> {
    let name = take_while(1.., |c: char| {
        c.is_ascii_alphanumeric() || "_.-".contains(c)
    });
    let metric = (
        preceded(multispace0::<_, ContextError>, name),
        preceded('=', float::<_, f64, _>),
    );
    let metrics = separated(1.., metric, (multispace0, ','));
    let mut report = preceded(("TEXT", opt(':'), multispace0), metrics);
    let metrics: Vec<(&str, f64)> = report.parse(text.trim_end()).ok()?;
    let mut load = LoadReport::default();
    for (name, value) in metrics.into_iter().filter(|(_, value)| value.is_finite()) {
        match name {
            "cpu_utilization" => load.cpu_utilization = Some(value),
            "rps_fractional" => load.served_per_s = Some(value),
            "eps" => load.failed_per_s = Some(value),
            "named_metrics.in_flight" => load.in_flight = Some(value),
            "named_metrics.queued" => load.queued = Some(value),
            "named_metrics.latency_ms" => load.latency_ms = Some(value),
            _ => {}
        }
    }
    Some(load)
}

/// Headers that apply to a single connection and must not be forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes the headers that apply to a single connection (RFC 9110, 7.6.1), including those that `Connection` names.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Copies a value into memory of its own, for the reason given at [`detached_copy`].
pub fn detached_copy_of_value(value: &HeaderValue) -> HeaderValue {
    HeaderValue::from_bytes(value.as_bytes()).unwrap_or_else(|_| value.clone())
}

/// Copies headers and path into one new allocation. The originals are slices of the connection's read buffer, so a
/// waiting request that held them would keep all 8 KiB of that buffer in memory.
pub fn detached_copy(headers: &HeaderMap, path: &str) -> (HeaderMap, Uri) {
    let length = path.len() + headers.values().map(HeaderValue::len).sum::<usize>();
    let mut memory = BytesMut::with_capacity(length);
    memory.extend_from_slice(path.as_bytes());
    headers
        .values()
        .for_each(|value| memory.extend_from_slice(value.as_bytes()));
    let memory = memory.freeze();
    let (mut copy, mut offset) = (HeaderMap::with_capacity(headers.len() + 1), path.len());
    for (name, value) in headers {
        let end = offset + value.len();
        if let Ok(value) = HeaderValue::from_maybe_shared(memory.slice(offset..end)) {
            copy.append(name.clone(), value);
        }
        offset = end;
    }
    let uri = Uri::from_maybe_shared(memory.slice(..path.len()));
    (copy, uri.unwrap_or_else(|_| Uri::from_static("/")))
}
