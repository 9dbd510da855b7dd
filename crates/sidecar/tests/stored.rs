//! What a sidecar of the release build of 0.2.0 kept on disk, before any name in the code changed, is read and written the
//! same.

use havenplank::interface::{DedupScope, Idempotency, PodState, RouteClass};
use havenplank_configuration::store::Store;
use havenplank_line_protocol::endpoint_list::{decode_cached, encode_cached};
use std::path::Path;

/// Kept by a sidecar at the end of a day with pods that died and left.
const LIST: &str = include_str!("fixtures/kept.list");

#[test]
fn a_kept_endpoint_list_reads_whole_and_is_written_with_the_same_bytes() {
    let pods = decode_cached(LIST).expect("a whole list");
    let names: Vec<&str> = pods.iter().map(|pod| pod.name.as_str()).collect();
    assert_eq!(names, ["pod-0", "pod-6", "pod-2", "pod-4", "pod-5"]);
    let trial = &pods[3];
    assert_eq!(
        (trial.state, trial.build, trial.incarnation),
        (PodState::Running, 2, 5)
    );
    assert_eq!((trial.age, trial.cell, trial.size), (6_097_393_364, 1, 3.0));
    assert_eq!(
        (trial.zone.as_str(), trial.machine.as_str()),
        ("room-1", "three-core")
    );
    assert_eq!(trial.address, ([127, 0, 0, 1], 38_145).into());
    assert_eq!(encode_cached(&pods), LIST);
}

#[test]
fn a_kept_configuration_gives_the_version_and_route_classes_of_then() {
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
