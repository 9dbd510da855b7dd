//! The encoding of requests that sidecars send to each other must stay compatible with version 0.2.0. The expected
//! bytes are written out by hand, so that a reordered field fails here.

use super::{decode, encode, BackedUpRequest};
use crate::engine::RequestAttributes;
use crate::prepared_request::{PreparedRequest, Protection};
use crate::route_slots::Slots;
use crate::routes::RouteTable;
use havenplank::interface::{DedupScope, Idempotency, RouteClass};
use havenplank_membership::member::MemberId;
use havenplank_settings::{BackupMode, RouteClassSettings};
use havenplank_takeover::record::Record;
use hyper::header::{HeaderMap, HeaderValue};

/// Route class, tenant, key, cost hint, method, path, headers, body: the field order of version 0.2.0.
const REQUEST: &[u8] =
    b"\x06search\x01\x04acme\xac\x02\x01\x05\x03PUT\x06/a?b=1\x01\x03x-a\x02\xff!\x02hi";

fn table() -> RouteTable {
    let rules = RouteClass {
        idempotency: Idempotency::Keyed,
        dedup_scope: DedupScope::Zone,
        dedup_window: 0,
        latency_objective: 1,
        client_timeout: 1_000,
        priority_weight: 1.0,
        late_weight: 0.0,
        stream: false,
    };
    let route_class = RouteClassSettings {
        name: "search".to_string(),
        methods: Vec::new(),
        paths: vec!["/a".to_string()],
        rules,
        backup: BackupMode::BeforeAttempt,
    };
    let slots = Slots::new([("search".to_string(), rules)].into_iter()).in_force();
    RouteTable::from_settings(&[route_class], slots, &["acme".to_string()])
}

fn attributes() -> RequestAttributes {
    RequestAttributes {
        route_class: 0,
        tenant: Some(0),
        key: 300,
        remaining: 900,
        cost_hint: Some(5),
        is_retry: false,
    }
}

fn request(table: &RouteTable) -> PreparedRequest {
    let route = table.find_by_name("search").expect("a route").clone();
    let value = HeaderValue::from_bytes(b"\xff!").expect("a value");
    let mut headers = HeaderMap::new();
    headers.insert("x-a", value);
    PreparedRequest {
        method: hyper::Method::PUT,
        uri: hyper::Uri::from_static("/a?b=1"),
        headers,
        body: "hi".into(),
        protection: Some(Protection::taken_over(
            7,
            9,
            Some("acme".to_string()),
            &route,
        )),
        route,
    }
}

fn record(payload: &[u8], remaining: u64) -> Record {
    Record {
        request: 7,
        owner: MemberId {
            name: "s-1".to_string(),
            incarnation: 1,
        },
        term: 1,
        version: 1,
        confirmed: true,
        backups: Vec::new(),
        digest: 9,
        payload: payload.to_vec(),
        remaining,
        attempts: Vec::new(),
        outcome: None,
    }
}

#[test]
fn encodes_a_request_in_the_field_order_of_version_0_2_0() {
    let table = table();
    let request = request(&table);
    let protection = request.protection.as_ref().expect("protected");
    let bytes = encode(&attributes(), &request, protection).expect("short enough");
    assert_eq!(bytes, REQUEST);
}

#[test]
fn decodes_a_request_that_version_0_2_0_encoded() {
    let table = table();
    let BackedUpRequest {
        attributes: decoded,
        request: decoded_request,
    } = decode(&table, &record(REQUEST, 900)).expect("readable");
    assert_eq!(decoded, attributes());
    let expected = request(&table);
    assert_eq!(decoded_request.method, expected.method);
    assert_eq!(decoded_request.uri, expected.uri);
    assert_eq!(decoded_request.headers, expected.headers);
    assert_eq!(decoded_request.body, expected.body);
}

#[test]
fn limits_the_remaining_time_to_the_client_timeout_of_the_route_class() {
    let decoded = decode(&table(), &record(REQUEST, 5_000)).expect("readable");
    assert_eq!(decoded.attributes.remaining, 1_000);
}

#[test]
fn rejects_a_truncated_record_and_a_record_of_an_unknown_route() {
    let unknown = RouteTable::from_settings(&[], Vec::new(), &[]);
    assert!(decode(&unknown, &record(REQUEST, 900)).is_none());
    for length in 0..REQUEST.len() {
        assert!(decode(&table(), &record(&REQUEST[..length], 900)).is_none());
    }
}
