//! A request as it is written to pods, as often as it must be.

use crate::wire_headers::REMAINING_TIME;
use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::Method;
use std::io::Write as _;
use std::time::Duration;

/// Room for a head of the usual length.
const USUAL_HEAD_BYTES: usize = 256;
/// Room for the header that states the remaining time, and the empty line.
const REMAINING_TIME_BYTES: usize = 40;

/// A request without what differs from one attempt to the next.
pub(crate) struct PreparedRequest {
    /// Request line and headers, without the remaining time and the empty line.
    head: Vec<u8>,
    body: Bytes,
}

impl PreparedRequest {
    /// Prepares a request; `headers` are those that pass on unchanged.
    pub(crate) fn new(
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        body: Bytes,
    ) -> PreparedRequest {
        let mut head = Vec::with_capacity(USUAL_HEAD_BYTES);
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

    /// Returns the bytes of one attempt, which states how long it will be waited for.
    pub(crate) fn with_remaining_time(&self, remaining: Duration) -> Vec<u8> {
        let capacity = self.head.len() + self.body.len() + REMAINING_TIME_BYTES;
        let mut bytes = Vec::with_capacity(capacity);
        bytes.extend_from_slice(&self.head);
        let remaining_ms = remaining.as_millis();
        let _ = write!(bytes, "{REMAINING_TIME}: {remaining_ms}\r\n\r\n");
        bytes.extend_from_slice(&self.body);
        bytes
    }
}
