//! Each kind of settings script from version 0.2.0 still yields the same values, although names in the code have
//! changed since.

use havenplank::interface::{DedupScope, Idempotency, ReleaseControl};
use havenplank_settings::{load, run_configuration_script, BackupMode, Given, Site};
use std::path::{Path, PathBuf};

const MS: u64 = 1_000_000;

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

fn site(name: &str) -> Site {
    load(&fixture(name), &Given::new()).unwrap_or_else(|problems| panic!("{problems}"))
}

#[test]
fn loads_the_stored_example_with_its_values() {
    let site = site("site.star");
    assert_eq!(
        (
            site.name.as_str(),
            site.position.rank,
            site.position.instances
        ),
        ("sidecar-0", 0, 3)
    );
    assert_eq!(
        (site.zones.len(), site.tenants.as_slice()),
        (2, &["editors".to_string(), "builds".to_string()][..])
    );
    let classes: Vec<_> = site
        .route_classes
        .iter()
        .map(|class| {
            (
                class.name.as_str(),
                class.rules.idempotency,
                class.rules.client_timeout,
            )
        })
        .collect();
    assert_eq!(
        classes,
        [
            ("query", Idempotency::Idempotent, 2_000 * MS),
            ("reindex", Idempotency::Keyed, 3_000 * MS),
            ("rename", Idempotency::NonIdempotent, 3_000 * MS),
        ]
    );
    assert_eq!(site.route_classes[1].rules.priority_weight, 5.0);
    assert_eq!(
        (
            site.headers.idempotency_key.as_str(),
            site.headers.tenant.as_str()
        ),
        ("x-repository", "x-customer")
    );
    assert_eq!(
        (site.attempts.max_attempts, site.attempts.max_retry_after),
        (4, 1_000 * MS)
    );
    assert_eq!(
        (site.pods.initial_capacity, site.pods.warm_up),
        (0.3, 4_800 * MS)
    );
    assert_eq!(site.exposure.caps, [0.136, 0.425, 1.0, 1.0]);
    assert_eq!(
        (site.votes.control, site.votes.ttl),
        (ReleaseControl::Quorum, 6_000 * MS)
    );
    assert_eq!(
        (site.votes.rollback_quorum, site.votes.calls_per_second),
        (1, 40.0)
    );
    assert!(
        !site.endpoint_list.must_watch && site.cached_list == Some(PathBuf::from("last-list.txt"))
    );
    assert!(site.trace.is_none() && site.takeover.is_none() && site.configuration.is_none());
}

#[test]
fn loads_a_stored_script_with_backups_with_its_values() {
    let site = site("takeover.star");
    let backup_modes: Vec<BackupMode> = site
        .route_classes
        .iter()
        .map(|class| class.backup)
        .collect();
    assert_eq!(
        backup_modes,
        [
            BackupMode::InBackground,
            BackupMode::BeforeAttempt,
            BackupMode::Off
        ]
    );
    let reindex = &site.route_classes[1].rules;
    assert_eq!(
        (reindex.dedup_scope, reindex.dedup_window),
        (DedupScope::Cell, 6_000 * MS)
    );
    assert!(site.route_classes[0].rules.stream && site.route_classes[0].rules.late_weight == 0.25);
    let takeover = site.takeover.expect("takeover settings");
    assert_eq!(
        (
            takeover.backups,
            takeover.lease,
            takeover.response_retention
        ),
        (2, 700 * MS, 4_000 * MS)
    );
    assert_eq!(
        (
            takeover.max_in_flight,
            takeover.max_records,
            takeover.max_record_bytes
        ),
        (500, 600, 1 << 20)
    );
    let membership = site.membership.expect("membership settings");
    assert_eq!(
        (
            membership.seeds.len(),
            membership.probe_interval,
            membership.listen.port()
        ),
        (2, 250 * MS, 7002)
    );
    assert_eq!(membership.advertise, Some(([10, 0, 0, 1], 7002).into()));
    assert_eq!(
        (
            site.exposure.per_class,
            site.exposure.sticky_keys,
            site.exposure.blue_green
        ),
        (true, true, false)
    );
    assert_eq!(
        (
            site.exposure.idempotent_only_stages,
            site.exposure.free_attempts
        ),
        (1, 2.0)
    );
    assert_eq!(
        (site.votes.control, site.votes.stage_duration),
        (ReleaseControl::Timed, 5_000 * MS)
    );
    assert_eq!(
        (site.votes.advance_quorum, site.votes.rollback_quorum),
        (3, 2)
    );
    assert_eq!(
        (
            site.endpoint_list.must_watch,
            site.endpoint_list.max_watch_retry_delay
        ),
        (true, 4_000 * MS)
    );
    assert_eq!(
        (
            site.discovery.max_line_bytes,
            site.control_plane.max_line_bytes
        ),
        (2_048, 4_096)
    );
    assert!(site.pods.health_checks && site.attempts.hedging && site.attempts.may_cancel);
    assert_eq!(
        (
            site.upstream.max_connections_per_pod,
            site.upstream.idle_timeout,
            site.upstream.unprocessed_status
        ),
        (8, 10_000 * MS, 504)
    );
    assert_eq!(
        (
            site.upstream.unprocessed_header.as_str(),
            site.upstream.health_check_path.as_str()
        ),
        ("x-unseen", "/ready")
    );
    assert_eq!(
        (
            site.listener.max_head_bytes,
            site.listener.max_requests,
            site.listener.max_connections
        ),
        (32 << 10, 100, 200)
    );
    assert_eq!(
        (
            site.headers.request_id.as_str(),
            site.headers.tenant.as_str()
        ),
        ("x-mark", "x-team")
    );
    let trace = site.trace.expect("trace settings");
    assert_eq!(
        (trace.share, trace.queue_bytes, trace.file_age),
        (0.5, 1 << 20, 60_000 * MS)
    );
}

#[test]
fn loads_a_stored_script_whose_routes_come_from_a_distributor_with_its_values() {
    let site = site("configured.star");
    assert!(site.route_classes.is_empty() && site.tenants.is_empty());
    let configuration = site.configuration.expect("configuration settings");
    assert_eq!(configuration.cache_folder, PathBuf::from("kept"));
    let rates = (
        configuration.fetch_bytes_per_s,
        configuration.serve_bytes_per_s,
    );
    assert_eq!(rates, (1_000_000, 2_000_000));
    assert_eq!(
        site.membership.expect("membership settings").probe_interval,
        500 * MS
    );
}

#[test]
fn returns_the_calls_of_a_stored_distributor_script_in_order() {
    let calls = run_configuration_script(&fixture("fleet.star"), &Given::new());
    let calls = calls.unwrap_or_else(|problems| panic!("{problems}"));
    let summaries: Vec<_> = calls
        .iter()
        .map(|call| {
            (
                call.kind,
                call.line,
                call.fields["name"].as_str().unwrap_or_default(),
            )
        })
        .collect();
    assert_eq!(
        summaries,
        [
            ("service", 1, "search"),
            ("service", 2, "count"),
            ("route", 3, "query"),
            ("route", 4, "reindex"),
            ("tenant", 5, "editors"),
            ("tenant", 6, "nightly"),
            ("route", 7, "rename"),
        ]
    );
    assert_eq!(calls[2].fields["benefit"], 4.5);
    assert_eq!(calls[3].fields["idempotency_window"], "30s");
}
