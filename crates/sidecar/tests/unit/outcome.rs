//! An answer between sidecars, both ways, as the structs of 0.2.0 laid it out; the bytes are spelled out by hand.

use super::{response_of, served};
use crate::body::Body;
use bytes::Bytes;
use havenplank_takeover::record::Outcome;
use http_body_util::{BodyExt, Full};
use hyper::{Response, StatusCode};

/// Status, headers, body: the order that sidecars of 0.2.0 read.
const ANSWER: &[u8] = b"\xc9\x01\x01\x03x-a\x011\x02ok";

fn run<T>(future: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    runtime.expect("a runtime").block_on(future)
}

#[test]
fn an_answer_travels_in_the_field_order_of_the_version_before() {
    let mut response = Response::new(Body::Complete(Full::new(Bytes::from_static(b"ok"))));
    *response.status_mut() = StatusCode::CREATED;
    let value = hyper::header::HeaderValue::from_static("1");
    response.headers_mut().insert("x-a", value);
    let (_, outcome) = run(served(response));
    assert_eq!(outcome, Outcome::Served(ANSWER.to_vec()));
}

#[test]
fn an_answer_of_the_version_before_goes_to_the_client() {
    let response = response_of(Outcome::Served(ANSWER.to_vec()));
    assert_eq!(response.status(), StatusCode::CREATED);
    assert_eq!(response.headers()["x-a"], "1");
    let body = run(response.into_body().collect()).expect("a body");
    assert_eq!(body.to_bytes(), &b"ok"[..]);
}

#[test]
fn an_answer_that_cannot_be_read_promises_nothing() {
    for kept in [&b""[..], &ANSWER[..4]] {
        let response = response_of(Outcome::Served(kept.to_vec()));
        assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
    }
}
