//! Parses the head of a response.

use super::error::ResponseError;
use crate::limits::{MAX_HEADERS, MAX_HEAD_BYTES};
use bytes::{Buf, BytesMut};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::StatusCode;

/// Status and headers of a response.
pub(super) struct Head {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
}

/// Removes one head from the front of the buffer; `None` if the head is not complete yet.
pub(super) fn parse(buffer: &mut BytesMut) -> Result<Option<Head>, ResponseError> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut lines);
    let length = match response.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_HEAD_BYTES => return Ok(None),
        Ok(httparse::Status::Partial) => return Err(ResponseError::HeadTooLong),
        Err(_) => return Err(ResponseError::InvalidHead),
    };
    let status = response
        .code
        .and_then(|code| StatusCode::from_u16(code).ok())
        .ok_or(ResponseError::InvalidStatus)?;
    let headers = to_header_map(response.headers)?;
    buffer.advance(length);
    Ok(Some(Head { status, headers }))
}

fn to_header_map(lines: &[httparse::Header]) -> Result<HeaderMap, ResponseError> {
    let mut headers = HeaderMap::with_capacity(lines.len());
    for line in lines {
        let name = HeaderName::from_bytes(line.name.as_bytes());
        let value = HeaderValue::from_bytes(line.value);
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(ResponseError::InvalidHeader);
        };
        headers.append(name, value);
    }
    Ok(headers)
}
