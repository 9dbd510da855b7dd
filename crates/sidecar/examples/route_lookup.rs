//! Measures the time of a route lookup, and the time to put a configuration version in force, by the number of routes.
//! `docs/configuration.md` quotes the results. Run: `cargo run --release -p havenplank-sidecar --example route_lookup`.

use havenplank::interface::{DedupScope, Idempotency, RouteClass};
use havenplank_settings::{BackupMode, RouteClassSettings};
use havenplank_sidecar::engine::{Engine, EngineSettings, EPOCH};
use havenplank_sidecar::routes::RouteTable;
use std::hint::black_box;
use std::path::Path;
use std::time::Instant;

/// Lookups measured for each number of routes.
const LOOKUPS: usize = 1_000_000;
/// Versions put in force for each number of routes.
const VERSIONS: u32 = 20;
/// One second in nanoseconds.
const SECOND: u64 = 1_000_000_000;

/// Returns `count` routes. The first one differs between versions, so each version is a change.
fn routes(count: usize, version: u64) -> Vec<RouteClassSettings> {
    let rules = RouteClass {
        idempotency: Idempotency::Idempotent,
        dedup_scope: DedupScope::All,
        dedup_window: 0,
        latency_objective: SECOND,
        client_timeout: 2 * SECOND,
        priority_weight: 1.0,
        late_weight: 0.0,
        stream: false,
    };
    let changed = RouteClass {
        latency_objective: SECOND + version,
        ..rules
    };
    let route = |n: usize| RouteClassSettings {
        name: format!("route-{n}"),
        methods: Vec::new(),
        paths: vec![format!("/service-{}/api/route-{n}/*", n % 400)],
        rules: if n == 0 { changed } else { rules },
        backup: BackupMode::Off,
    };
    (0..count).map(route).collect()
}

fn put_in_force(engine: &mut Engine, route_classes: &[RouteClassSettings]) -> RouteTable {
    let rules: Vec<(String, RouteClass)> = route_classes
        .iter()
        .map(|route_class| (route_class.name.clone(), route_class.rules))
        .collect();
    let slots = engine.set_routes(EPOCH, &rules);
    RouteTable::from_settings(route_classes, slots, &[])
}

fn main() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/site.star");
    let site = havenplank_settings::load(&file, &Default::default());
    let settings = EngineSettings::from(&site.unwrap_or_else(|problems| panic!("{problems}")));
    for count in [10, 100, 1_000, 4_500] {
        let mut engine = Engine::new(EPOCH, 1, &settings);
        let mut table = put_in_force(&mut engine, &routes(count, 0));
        let paths: Vec<String> = (0..1_024)
            .map(|n| {
                format!(
                    "/service-{}/api/route-{}/item/7",
                    n * 7 % count % 400,
                    n * 7 % count
                )
            })
            .collect();
        let began = Instant::now();
        for n in 0..LOOKUPS {
            let path = &paths[n % paths.len()];
            black_box(table.find("GET", path).map(|route| route.route_class()));
        }
        let lookup_ns = began.elapsed().as_nanos() as f64 / LOOKUPS as f64;
        let versions: Vec<Vec<RouteClassSettings>> = (1..=u64::from(VERSIONS))
            .map(|version| routes(count, version))
            .collect();
        let began = Instant::now();
        for route_classes in &versions {
            table = put_in_force(&mut engine, route_classes);
        }
        let swap_us = began.elapsed().as_micros() as f64 / f64::from(VERSIONS);
        println!(
            "routes {count}: lookup_ns {lookup_ns:.0}, put_in_force_us {swap_us:.0}, held {}",
            table.len()
        );
    }
}
