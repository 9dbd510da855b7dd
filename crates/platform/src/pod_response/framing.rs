//! How the end of a response's body is marked, and whether its connection stays open.

use super::error::ResponseError;
use hyper::header::{HeaderMap, HeaderValue, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};

/// How the end of a body is marked.
#[derive(Debug, PartialEq)]
pub(super) enum Framing {
    /// By its length in bytes.
    Length(usize),
    /// By a last chunk, which is empty.
    Chunked,
}

/// Returns how the end of the body is marked. Rejects two lengths or two framings, and a body that ends with the
/// connection: it cannot be distinguished from one that was cut off.
pub(super) fn from_headers(headers: &HeaderMap) -> Result<Framing, ResponseError> {
    let lengths: Vec<&HeaderValue> = headers.get_all(CONTENT_LENGTH).iter().collect();
    let encodings: Vec<&HeaderValue> = headers.get_all(TRANSFER_ENCODING).iter().collect();
    match (&lengths[..], &encodings[..]) {
        ([length], []) => {
            let length = parse_length(length).ok_or(ResponseError::InvalidLength)?;
            Ok(Framing::Length(length))
        }
        ([], [encoding]) if encoding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Ok(Framing::Chunked)
        }
        ([], []) => Err(ResponseError::NoLength),
        _ => Err(ResponseError::AmbiguousLength),
    }
}

fn parse_length(value: &HeaderValue) -> Option<usize> {
    let text = value.to_str().ok()?;
    let is_number = text.bytes().all(|byte| byte.is_ascii_digit());
    is_number.then(|| text.parse().ok()).flatten()
}

/// Returns whether the pod closes the connection after this response.
pub(super) fn closes_connection(headers: &HeaderMap) -> bool {
    let is_close = |option: &[u8]| option.trim_ascii().eq_ignore_ascii_case(b"close");
    headers.get_all(CONNECTION).iter().any(|value| {
        let mut options = value.as_bytes().split(|byte| *byte == b',');
        options.any(is_close)
    })
}
