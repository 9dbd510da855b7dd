//! Measures what the lookup of a route or a tenant costs the proxy.

use super::call_times::CallTimes;
use super::series_builder::SeriesBuilder;
use super::Options;
use crate::error::CapacityError;
use crate::report::Section;
use crate::samples;
use havenplank_settings::Site;
use havenplank_sidecar::engine::{Engine, EngineSettings, EPOCH};
use havenplank_sidecar::routes::RouteTable;
use oorandom::Rand64;
use std::time::Instant;

/// Returns the table in which the proxy looks up routes and tenants. The index of each route is
/// that of its slot in an engine with the same settings.
pub fn route_table(site: &Site) -> RouteTable {
    let engine = Engine::new(EPOCH, 1, &EngineSettings::from(site));
    RouteTable::from_settings(&site.route_classes, engine.slots(), &site.tenants)
}

pub(super) fn lookups(options: &Options) -> Result<Section, CapacityError> {
    let mut rng = Rand64::new(u128::from(options.seed));
    let mut by_routes = SeriesBuilder::new("routes");
    for routes in &options.routes {
        let (table, mut times) = (
            route_table(&samples::load_settings(*routes, 1)?),
            CallTimes::new()?,
        );
        for _ in 0..options.requests {
            let path = samples::route_path(rng.rand_range(0..*routes as u64) as usize);
            let start = Instant::now();
            std::hint::black_box(table.find("GET", &path));
            times.record(start.elapsed());
        }
        by_routes.add_times("route_lookup", *routes, &times);
    }
    let mut by_tenants = SeriesBuilder::new("tenants");
    for tenants in &options.tenants {
        let (table, mut times) = (
            route_table(&samples::load_settings(1, *tenants)?),
            CallTimes::new()?,
        );
        for _ in 0..options.requests {
            let name = samples::tenant(rng.rand_range(0..*tenants as u64) as usize);
            let start = Instant::now();
            std::hint::black_box(table.tenant(&name));
            times.record(start.elapsed());
        }
        by_tenants.add_times("tenant_lookup", *tenants, &times);
    }
    let notes =
        ["in the proxy's own table; drawn evenly, all found; each time includes reading the clock once"];
    let mut section = by_routes.section("Lookup of routes and tenants", &notes);
    section.series.extend(by_tenants.section("", &[]).series);
    Ok(section)
}
