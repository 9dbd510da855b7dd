//! Files that a sidecar of version 0.2.0 stored must still be readable, and the endpoint list must be written with the
//! same bytes. The files were stored before names in the code changed, so a rename that changes a file fails here.

use havenplank::interface::{DedupScope, Idempotency, PodState, RouteClass};
use havenplank_configuration::store::Store;
use havenplank_line_protocol::endpoint_list::{decode_cached, encode_cached};
use std::path::Path;

/// The endpoint list that a sidecar cached at the end of a day on which pods crashed and left.
const LIST: &str = include_str!("fixtures/kept.list");

#[test]
fn a_cached_endpoint_list_is_read_and_written_with_the_same_bytes() {
    let pods = decode_cached(LIST).expect("a valid list");
    let names: Vec<&str> = pods.iter().map(|pod| pod.name.as_str()).collect();
    assert_eq!(names, ["pod-0", "pod-6", "pod-2", "pod-4", "pod-5"]);
    // A pod of the second build, in cell 1.
    let pod = &pods[3];
    assert_eq!(
        (pod.state, pod.build, pod.incarnation),
        (PodState::Running, 2, 5)
    );
    assert_eq!((pod.age, pod.cell, pod.size), (6_097_393_364, 1, 3.0));
    assert_eq!(
        (pod.zone.as_str(), pod.machine.as_str()),
        ("room-1", "three-core")
    );
    assert_eq!(pod.address, ([127, 0, 0, 1], 38_145).into());
    assert_eq!(encode_cached(&pods), LIST);
}

#[test]
fn a_stored_configuration_has_the_version_and_the_route_classes_it_was_stored_with() {
    let stored = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/configuration");
    let folder = tempfile::tempdir().expect("a folder");
    for file in ["snapshot", "log"] {
        std::fs::copy(stored.join(file), folder.path().join(file)).expect("copied");
    }
    let opened = Store::open(folder.path()).expect("a store");
    let snapshot = opened.store.snapshot();
    assert_eq!(
        (snapshot.version().to_string(), opened.deltas.len()),
        ("2.4".to_string(), 4)
    );
    assert_eq!(
        snapshot.digest().to_string(),
        "b1ce0855ba8f77884192ad8c1455e36edfc12df2c55697c51ada7249028f3da1"
    );
    let reindex = RouteClass::from(snapshot.route("reindex").expect("a route").rules);
    assert_eq!(
        (reindex.idempotency, reindex.dedup_scope),
        (Idempotency::Keyed, DedupScope::Zone)
    );
    assert_eq!(
        (reindex.dedup_window, reindex.client_timeout),
        (30_000_000_000, 3_000_000_000)
    );
    let query = RouteClass::from(snapshot.route("query").expect("a route").rules);
    assert_eq!(
        (query.latency_objective, query.priority_weight),
        (300_000_000, 4.5)
    );
    assert_eq!((query.late_weight, query.stream), (0.25, false));
}
