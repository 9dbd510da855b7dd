//! A request serialised once and written to pods as often as there are attempts.

use crate::wire_headers::REMAINING_TIME;
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::Method;
use std::io::Write as _;
use std::time::Duration;

/// Initial capacity for a head.
const TYPICAL_HEAD_BYTES: usize = 256;
/// Capacity for the header with the remaining time and the empty line.
const REMAINING_TIME_HEADER_BYTES: usize = 40;

/// A serialised head without the headers that depend on the body and on the attempt.
pub(crate) struct PreparedHead {
    bytes: Vec<u8>,
    has_body: bool,
}

impl PreparedHead {
    /// Serialises a head; `headers` are forwarded unchanged.
    pub(crate) fn new(method: &Method, path: &str, headers: &HeaderMap) -> PreparedHead {
        let mut bytes = Vec::with_capacity(TYPICAL_HEAD_BYTES);
        bytes.extend_from_slice(format!("{method} {path} HTTP/1.1\r\n").as_bytes());
        for (name, value) in headers {
            bytes.extend_from_slice(name.as_str().as_bytes());
            bytes.extend_from_slice(b": ");
            bytes.extend_from_slice(value.as_bytes());
            bytes.extend_from_slice(b"\r\n");
        }
        PreparedHead {
            bytes,
            has_body: method != Method::GET,
        }
    }

    /// Returns the length of the head in bytes.
    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Adds the body, and the correlation id if the request must not run twice.
    pub(crate) fn with_body(
        self,
        body: Bytes,
        once_only_id: Option<HeaderValue>,
    ) -> PreparedRequest {
        let mut head = self.bytes;
        if self.has_body {
            let length = body.len();
            head.extend_from_slice(format!("content-length: {length}\r\n").as_bytes());
        }
        PreparedRequest {
            head,
            body,
            once_only_id,
        }
    }
}

/// A serialised request without the header that differs between attempts.
pub(crate) struct PreparedRequest {
    /// Request line and headers, without the remaining time and the empty line.
    head: Vec<u8>,
    body: Bytes,
    /// The correlation id of a request that must not run twice.
    pub(crate) once_only_id: Option<HeaderValue>,
}

impl PreparedRequest {
    /// Returns the head of one attempt, with the time that the sidecar will wait for its response.
    pub(crate) fn head_with_remaining_time(&self, remaining: Duration) -> Vec<u8> {
        let mut head = Vec::with_capacity(self.head.len() + REMAINING_TIME_HEADER_BYTES);
        head.extend_from_slice(&self.head);
        let remaining_ms = remaining.as_millis();
        let _ = write!(head, "{REMAINING_TIME}: {remaining_ms}\r\n\r\n");
        head
    }

    /// Returns the body, which all attempts share.
    pub(crate) fn body(&self) -> &[u8] {
        &self.body
    }
}
