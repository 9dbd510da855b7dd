//! A request between sidecars, both ways, as the structs of 0.2.0 laid it out; the bytes are spelled out by hand.

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

/// Class, tenant, key, cost hint, method, path, headers, body: the order that sidecars of 0.2.0 read.
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
    let group = RouteClassSettings {
        name: "search".to_string(),
        methods: Vec::new(),
        paths: vec!["/a".to_string()],
        rules,
        backup: BackupMode::BeforeAttempt,
    };
    let slots = Slots::new([("search".to_string(), rules)].into_iter()).in_force();
    RouteTable::from_settings(&[group], slots, &["acme".to_string()])
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
fn a_request_travels_in_the_field_order_of_the_version_before() {
    let table = table();
    let request = request(&table);
    let protection = request.protection.as_ref().expect("protected");
    let bytes = encode(&attributes(), &request, protection).expect("short enough");
    assert_eq!(bytes, REQUEST);
}

#[test]
fn a_request_of_the_version_before_is_read_back() {
    let table = table();
    let BackedUpRequest {
        attributes: read,
        request: read_request,
    } = decode(&table, &record(REQUEST, 900)).expect("readable");
    assert_eq!(read, attributes());
    let wanted = request(&table);
    assert_eq!(read_request.method, wanted.method);
    assert_eq!(read_request.uri, wanted.uri);
    assert_eq!(read_request.headers, wanted.headers);
    assert_eq!(read_request.body, wanted.body);
}

#[test]
fn no_request_waits_longer_than_its_route_class_allows() {
    let decoded = decode(&table(), &record(REQUEST, 5_000)).expect("readable");
    assert_eq!(decoded.attributes.remaining, 1_000);
}

#[test]
fn a_request_that_is_cut_short_or_of_an_unknown_route_is_not_read() {
    let unknown = RouteTable::from_settings(&[], Vec::new(), &[]);
    assert!(decode(&unknown, &record(REQUEST, 900)).is_none());
    for length in 0..REQUEST.len() {
        assert!(decode(&table(), &record(&REQUEST[..length], 900)).is_none());
    }
}
