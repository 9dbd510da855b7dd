//! A request serialised once and written to pods as often as there are attempts.

use crate::wire_headers::REMAINING_TIME;
use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::Method;
use std::io::Write as _;
use std::time::Duration;

/// Initial capacity for a head.
const TYPICAL_HEAD_BYTES: usize = 256;
/// Capacity for the header with the remaining time and the empty line.
const REMAINING_TIME_HEADER_BYTES: usize = 40;

/// A serialised request without the header that differs between attempts.
pub(crate) struct PreparedRequest {
    /// Request line and headers, without the remaining time and the empty line.
    head: Vec<u8>,
    body: Bytes,
}

impl PreparedRequest {
    /// Serialises a request; `headers` are forwarded unchanged.
    pub(crate) fn new(
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        body: Bytes,
    ) -> PreparedRequest {
        let mut head = Vec::with_capacity(TYPICAL_HEAD_BYTES);
        head.extend_from_slice(format!("{method} {path} HTTP/1.1\r\n").as_bytes());
        for (name, value) in headers {
            head.extend_from_slice(name.as_str().as_bytes());
            head.extend_from_slice(b": ");
            head.extend_from_slice(value.as_bytes());
            head.extend_from_slice(b"\r\n");
        }
        if method != Method::GET {
            let length = body.len();
            head.extend_from_slice(format!("content-length: {length}\r\n").as_bytes());
        }
        PreparedRequest { head, body }
    }

    /// Returns the bytes of one attempt, with the time that the sidecar will wait for its response.
    pub(crate) fn with_remaining_time(&self, remaining: Duration) -> Vec<u8> {
        let capacity = self.head.len() + self.body.len() + REMAINING_TIME_HEADER_BYTES;
        let mut bytes = Vec::with_capacity(capacity);
        bytes.extend_from_slice(&self.head);
        let remaining_ms = remaining.as_millis();
        let _ = write!(bytes, "{REMAINING_TIME}: {remaining_ms}\r\n\r\n");
        bytes.extend_from_slice(&self.body);
        bytes
    }
}
