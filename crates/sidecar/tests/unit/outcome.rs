//! The encoding of responses that sidecars send to each other must stay compatible with version 0.2.0. The expected
//! bytes are written out by hand, so that a changed struct or field order fails here.

use super::{response_of, served_outcome};
use crate::body::Body;
use bytes::Bytes;
use havenplank_takeover::record::Outcome;
use http_body_util::{BodyExt, Full};
use hyper::{Response, StatusCode};

/// Status, headers, body: the field order that sidecars of version 0.2.0 read.
const ENCODED_RESPONSE: &[u8] = b"\xc9\x01\x01\x03x-a\x011\x02ok";

fn run<T>(future: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    runtime.expect("a runtime").block_on(future)
}

#[test]
fn encodes_a_response_in_the_field_order_of_version_0_2_0() {
    let mut response = Response::new(Body::Complete(Full::new(Bytes::from_static(b"ok"))));
    *response.status_mut() = StatusCode::CREATED;
    let value = hyper::header::HeaderValue::from_static("1");
    response.headers_mut().insert("x-a", value);
    let (_, outcome) = run(served_outcome(response));
    assert_eq!(outcome, Outcome::Served(ENCODED_RESPONSE.to_vec()));
}

#[test]
fn decodes_a_response_that_version_0_2_0_encoded() {
    let response = response_of(Outcome::Served(ENCODED_RESPONSE.to_vec()));
    assert_eq!(response.status(), StatusCode::CREATED);
    assert_eq!(response.headers()["x-a"], "1");
    let body = run(response.into_body().collect()).expect("a body");
    assert_eq!(body.to_bytes(), &b"ok"[..]);
}

#[test]
fn answers_bad_gateway_when_a_stored_response_cannot_be_decoded() {
    for encoded in [&b""[..], &ENCODED_RESPONSE[..4]] {
        let response = response_of(Outcome::Served(encoded.to_vec()));
        assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
    }
}
