//! The route table must find the same routes as a linear scan. Slots must neither be shared by two routes nor pile up
//! as routes change.

use havenplank::interface::{AttemptEnd, DedupScope, Idempotency, Nanos, PodState, RouteClass};
use havenplank_configuration::record::{
    BackupMode, Record, RequestRules, Route, Tenant, TenantLimits,
};
use havenplank_configuration::snapshot::Snapshot;
use havenplank_configuration::version::Version;
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use havenplank_settings::RouteClassSettings;
use havenplank_sidecar::engine::{Effect, Engine, EngineSettings, RequestAttributes, EPOCH};
use havenplank_sidecar::route_slots::{Slot, SlotCounts};
use havenplank_sidecar::routes::{routes_of, KnownTenant, RouteTable};
use proptest::prelude::*;
use std::collections::HashSet;
use std::path::Path;
use std::sync::LazyLock;

/// Nanoseconds in a millisecond.
const MS: Nanos = 1_000_000;
/// Nanoseconds in a second.
const S: Nanos = 1_000 * MS;
const METHODS: [&str; 3] = ["GET", "POST", "DELETE"];

fn rules(latency_objective: Nanos) -> RouteClass {
    RouteClass {
        idempotency: Idempotency::Idempotent,
        dedup_scope: DedupScope::All,
        dedup_window: 0,
        latency_objective,
        client_timeout: 10 * S,
        priority_weight: 1.0,
        late_weight: 1.0,
        stream: false,
    }
}

fn route_class(name: String, methods: Vec<String>, paths: Vec<String>) -> RouteClassSettings {
    RouteClassSettings {
        name,
        methods,
        paths,
        rules: rules(S),
        backup: BackupMode::Off,
    }
}

/// Returns the record of a route whose name is its only pattern.
fn route(pattern: &str, idempotency: Idempotency) -> Record {
    let rules = RequestRules {
        idempotency,
        ..RequestRules::from_route_class(&rules(S), BackupMode::Off)
    };
    let (service, paths) = ("search".to_string(), vec![pattern.to_string()]);
    Record::from(Route {
        name: pattern.to_string(),
        service,
        methods: Vec::new(),
        paths,
        rules,
    })
}

fn snapshot(number: u64, records: Vec<Record>) -> Snapshot {
    Snapshot::from_records(Version { epoch: 1, number }, records)
        .unwrap_or_else(|error| panic!("{error}"))
}

/// Returns an engine without routes.
fn engine(per_class: bool) -> Engine {
    static SETTINGS: LazyLock<EngineSettings> = LazyLock::new(|| {
        let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/site.star");
        let site = havenplank_settings::load(&file, &Default::default());
        EngineSettings::from(&site.unwrap_or_else(|problems| panic!("{problems}")))
    });
    let mut settings = SETTINGS.clone();
    settings.route_classes.clear();
    settings.exposure.per_class = per_class;
    Engine::new(EPOCH, 1, &settings)
}

fn slots(engine: &mut Engine, route_classes: &[RouteClassSettings]) -> Vec<Slot> {
    let routes: Vec<_> = route_classes
        .iter()
        .map(|route_class| (route_class.name.clone(), route_class.rules))
        .collect();
    engine.set_routes(EPOCH, &routes)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(1_000) })]

    #[test]
    fn a_lookup_finds_the_same_route_as_a_linear_scan(
        patterns in proptest::collection::vec(
            (
                proptest::collection::vec(proptest::sample::select(METHODS.to_vec()), 0..3),
                proptest::collection::vec("(/[ab/ä*]{0,5}\\*?|\\*|)", 1..4),
            ),
            0..12,
        ),
        requests in proptest::collection::vec(
            (proptest::sample::select(METHODS.to_vec()), "(/[ab/ä*]{0,7}|)"),
            1..12,
        ),
    ) {
        let route_classes: Vec<RouteClassSettings> = patterns
            .into_iter()
            .enumerate()
            .map(|(n, (methods, paths))| {
                route_class(format!("r-{n}"), methods.into_iter().map(str::to_string).collect(), paths)
            })
            .collect();
        let slots = slots(&mut engine(false), &route_classes);
        let table = RouteTable::from_settings(&route_classes, slots, &[]);
        for (method, path) in requests {
            let expected = route_classes
                .iter()
                .find(|route| route.matches(method, &path))
                .map(|route| route.name.as_str());
            let found = table.find(method, &path).map(|route| route.name.as_str());
            prop_assert_eq!(found, expected, "{} {:?}", method, path);
        }
    }

    #[test]
    fn the_most_specific_pattern_of_a_snapshot_wins_in_any_order_of_records(
        patterns in proptest::collection::btree_set("/[ab/]{0,4}\\*?", 0..10),
        rotated in 0..10usize,
        paths in proptest::collection::vec("/[ab/]{0,6}", 1..12),
    ) {
        let patterns: Vec<String> = patterns.into_iter().collect();
        let mut records: Vec<Record> = patterns.iter().map(|pattern| route(pattern, Idempotency::Idempotent)).collect();
        records.rotate_left(rotated % patterns.len().max(1));
        let snapshot = snapshot(1, records);
        let route_classes = routes_of(&snapshot);
        let slots = slots(&mut engine(false), &route_classes);
        let table = RouteTable::from_snapshot(snapshot, &route_classes, slots);
        for path in paths {
            let fits = |pattern: &&String| match pattern.strip_suffix('*') {
                Some(prefix) => path.starts_with(prefix),
                None => **pattern == path,
            };
            let specific = |pattern: &&String| (!pattern.ends_with('*'), pattern.len());
            let expected = patterns.iter().filter(fits).max_by_key(specific);
            let found = table.find("GET", &path).map(|route| &route.name);
            prop_assert_eq!(found, expected, "{:?}", path);
        }
    }

    #[test]
    fn routes_that_are_held_or_in_force_never_share_a_slot(
        versions in proptest::collection::vec(
            (proptest::collection::vec((0..8usize, 1..4u64), 0..8), any::<bool>()),
            1..20,
        ),
    ) {
        let mut engine = engine(true);
        let mut held: Vec<(Slot, (String, RouteClass))> = Vec::new();
        let mut before: Vec<Slot> = Vec::new();
        let mut max_slots = 0;
        for (routes, hold) in versions {
            let mut names = HashSet::new();
            let routes: Vec<(String, RouteClass)> = routes
                .into_iter()
                .filter(|(name, _)| names.insert(*name))
                .map(|(name, target)| (format!("r-{name}"), rules(target * S)))
                .collect();
            let slots = engine.set_routes(EPOCH, &routes);
            // The slots of the previous version are dropped once the new version is in force.
            before = slots.clone();
            if hold {
                held.extend(slots.iter().cloned().zip(routes.iter().cloned()));
            } else {
                held.truncate(held.len() / 2);
            }
            for (slot, route) in slots.iter().zip(&routes) {
                for (other, known) in &held {
                    prop_assert!(slot.route_class() != other.route_class() || route == known, "{:?} {:?}", route, known);
                }
            }
            let indices: HashSet<usize> = slots.iter().map(Slot::route_class).collect();
            prop_assert_eq!(indices.len(), routes.len());
            let distinct: HashSet<usize> = held.iter().map(|(slot, _)| slot.route_class()).chain(indices).collect();
            let counts = engine.slot_counts();
            prop_assert_eq!((counts.in_force, counts.in_force + counts.retired), (routes.len(), distinct.len()));
            // The upper bound: two versions of 8 routes each, and all held slots.
            max_slots = max_slots.max(2 * 8 + held.len());
            prop_assert!(counts.all <= max_slots, "{:?} {}", counts, max_slots);
        }
        drop(before);
    }
}

#[test]
fn the_first_matching_route_wins_among_many_prefixes_and_exact_paths() {
    let mut route_classes: Vec<RouteClassSettings> = (0..4_500)
        .map(|n| route_class(format!("r-{n}"), vec![], vec![format!("/team-{n}/api/*")]))
        .collect();
    route_classes.push(route_class(
        "late-exact".into(),
        vec![],
        vec!["/team-7/api/x".into()],
    ));
    route_classes.push(route_class(
        "rest".into(),
        vec!["GET".into()],
        vec!["/*".into()],
    ));
    let slots = slots(&mut engine(false), &route_classes);
    let table = RouteTable::from_settings(
        &route_classes,
        slots,
        &["first".into(), "second".into(), "first".into()],
    );
    assert_eq!(table.len(), 4_502);
    let name = |method, path| table.find(method, path).map(|route| route.name.as_str());
    assert_eq!(name("GET", "/team-4321/api/a/b"), Some("r-4321"));
    assert_eq!(
        name("GET", "/team-7/api/x"),
        Some("r-7"),
        "the first route of the settings must win, not the longest pattern"
    );
    assert_eq!(
        (name("GET", "/other"), name("PUT", "/other")),
        (Some("rest"), None)
    );
    assert_eq!(
        table.find_by_name("r-12").map(|route| route.route_class()),
        Some(12)
    );
    let index = |name| table.tenant(name).and_then(|tenant| tenant.index);
    assert_eq!(
        (index("first"), index("second"), index("x")),
        (Some(0), Some(1), None)
    );
}

fn listed_pod(n: u16) -> ListedEndpoint {
    ListedEndpoint {
        name: format!("pod-{n}"),
        address: ([127, 0, 0, 1], 4000 + n).into(),
        state: PodState::Running,
        build: 1,
        incarnation: 1,
        age: 0,
        zone: "room-1".to_string(),
        machine: "three-core".to_string(),
        cell: 0,
        size: 3.0,
    }
}

fn send_request(engine: &mut Engine, slot: &Slot) -> (u64, Nanos) {
    let attributes = RequestAttributes {
        route_class: slot.route_class(),
        tenant: None,
        key: 0,
        remaining: 10 * S,
        cost_hint: None,
        is_retry: false,
    };
    let request = engine.handle_request(EPOCH, attributes);
    let effects: Vec<Effect> = std::iter::from_fn(|| engine.next_effect()).collect();
    let timeout = effects.iter().find_map(|effect| match effect {
        Effect::SendAttempt {
            request: known,
            timeout,
            ..
        } if *known == request => Some(*timeout),
        _ => None,
    });
    (
        request,
        timeout.unwrap_or_else(|| panic!("no attempt was sent: {effects:?}")),
    )
}

#[test]
fn a_request_keeps_the_rules_it_began_with_and_frees_its_slot_only_when_it_ends() {
    let mut engine = engine(true);
    engine.start(EPOCH);
    engine.update_endpoints(EPOCH, true, (0..4).map(listed_pod).collect());
    let old = engine.set_routes(
        EPOCH,
        &[("a".into(), rules(2 * S)), ("b".into(), rules(3 * S))],
    );
    let (request, timeout) = send_request(&mut engine, &old[0]);
    assert_eq!(timeout, 2 * S);
    let mutating = RouteClass {
        idempotency: Idempotency::NonIdempotent,
        ..rules(5 * S)
    };
    let new = engine.set_routes(EPOCH, &[("a".into(), mutating), ("b".into(), rules(3 * S))]);
    assert_eq!(old[1], new[1], "an unchanged route must keep its slot");
    assert_ne!(old[0].route_class(), new[0].route_class());
    let (other, timeout) = send_request(&mut engine, &new[0]);
    assert_eq!(
        timeout,
        10 * S,
        "an attempt of a non-idempotent request may take the complete client timeout"
    );
    // After a failure the request under the old rules is retried. The request under the new rules must not be retried,
    // because its route is non-idempotent now.
    drop(old);
    assert_eq!(
        engine.slot_counts(),
        SlotCounts {
            all: 3,
            in_force: 2,
            retired: 1
        }
    );
    for (request, retried) in [(request, true), (other, false)] {
        engine.attempt_ended(
            EPOCH + 10 * MS,
            request,
            0,
            AttemptEnd::Reset,
            10 * MS,
            None,
        );
        let effects: Vec<Effect> = std::iter::from_fn(|| engine.next_effect()).collect();
        let again = effects.iter().any(
            |effect| matches!(effect, Effect::SendAttempt { request: known, attempt: 1, .. } if *known == request),
        );
        let failed = effects.contains(&Effect::Fail {
            request,
            timed_out: false,
        });
        assert_eq!((again, failed), (retried, !retried), "{effects:?}");
    }
    // While the old request is in flight, no route may get its slot.
    let third = engine.set_routes(EPOCH, &[("a".into(), mutating), ("c".into(), rules(S))]);
    assert_eq!(
        third[1].route_class(),
        3,
        "slot 0 is held by a request, slots 1 and 2 by tables"
    );
    assert!(engine.attempt_ended(
        EPOCH + 20 * MS,
        request,
        1,
        AttemptEnd::Served,
        10 * MS,
        None
    ));
    drop((new, third));
    assert_eq!(
        engine.slot_counts(),
        SlotCounts {
            all: 4,
            in_force: 2,
            retired: 0
        }
    );
    let fourth = engine.set_routes(
        EPOCH,
        &[
            ("a".into(), mutating),
            ("c".into(), rules(S)),
            ("d".into(), rules(S)),
        ],
    );
    assert!(
        [0, 1].contains(&fourth[2].route_class()),
        "a free slot must be reused"
    );
    assert_eq!(engine.slot_counts().all, 4);
}

#[test]
fn a_thousand_versions_use_no_more_slots_than_two_versions_need() {
    let mut engine = engine(true);
    let mut table = Vec::new();
    for version in 0..1_000u64 {
        let routes: Vec<(String, RouteClass)> = (0..50)
            .map(|n| (format!("r-{n}"), rules(S + (version * (n % 2)) * MS)))
            .collect();
        table = engine.set_routes(EPOCH, &routes);
    }
    assert_eq!(table.len(), 50);
    let counts = engine.slot_counts();
    assert_eq!((counts.in_force, counts.retired), (50, 0));
    assert!(counts.all <= 100, "{counts:?}");
}

#[test]
fn a_fault_report_finds_a_route_by_name_only_while_it_is_in_force() {
    let mut engine = engine(false);
    engine.update_endpoints(EPOCH, true, vec![listed_pod(0)]);
    engine.set_routes(EPOCH, &[("a".into(), rules(S))]);
    assert!(engine.report_fault(EPOCH, "pod-0", "a", 0));
    engine.set_routes(EPOCH, &[("b".into(), rules(S))]);
    assert!(
        !engine.report_fault(EPOCH, "pod-0", "a", 0) && engine.report_fault(EPOCH, "pod-0", "b", 0)
    );
}

#[test]
fn a_table_of_a_snapshot_has_its_tenants_and_awaits_a_configuration_only_without_a_version() {
    let tenant = Tenant {
        name: "t".to_string(),
        limits: TenantLimits::default(),
    };
    let records = vec![route("/a", Idempotency::Keyed), Record::from(tenant)];
    let (first, empty) = (snapshot(1, records), Snapshot::empty());
    let route_classes = routes_of(&first);
    assert_eq!(route_classes[0].rules.idempotency, Idempotency::Keyed);
    let slots = slots(&mut engine(false), &route_classes);
    let table = RouteTable::from_snapshot(first, &route_classes, slots);
    assert_eq!(
        (table.tenant("t"), table.tenant("u")),
        (Some(KnownTenant { index: None }), None)
    );
    assert!(!table.awaits_configuration());
    assert!(RouteTable::from_snapshot(empty, &[], Vec::new()).awaits_configuration());
    assert!(!RouteTable::from_settings(&[], Vec::new(), &[]).awaits_configuration());
}
