//! Measures what it costs to run and check a settings script.

use super::memory::{grown_mb, resident_bytes};
use super::series_builder::SeriesBuilder;
use super::Options;
use crate::error::CapacityError;
use crate::report::Section;
use crate::samples;
use std::collections::HashSet;
use std::time::Instant;

const MS_PER_SECOND: f64 = 1e3;

/// The cost of running and checking one settings script.
struct CheckCost {
    time_ms: f64,
    /// Growth of the resident set, in megabytes.
    grown_mb: f64,
    /// Number of route classes with different names.
    route_classes: usize,
}

fn check(routes: usize, tenants: usize) -> Result<CheckCost, CapacityError> {
    let (before, start) = (resident_bytes(), Instant::now());
    let site = samples::load_settings(routes, tenants)?;
    let time_ms = start.elapsed().as_secs_f64() * MS_PER_SECOND;
    let grown_mb = grown_mb(before);
    let names: HashSet<&String> = site.route_classes.iter().map(|class| &class.name).collect();
    Ok(CheckCost {
        time_ms,
        grown_mb,
        route_classes: names.len(),
    })
}

pub(super) fn settings(options: &Options) -> Result<Section, CapacityError> {
    let mut by_routes = SeriesBuilder::new("routes");
    for routes in &options.routes {
        let cost = check(*routes, 1)?;
        by_routes.add("check_ms", *routes, cost.time_ms);
        by_routes.add("check_grown_mb", *routes, cost.grown_mb);
    }
    let mut by_tenants = SeriesBuilder::new("tenants");
    for tenants in &options.tenants {
        let cost = check(1, *tenants)?;
        by_tenants.add("check_ms", *tenants, cost.time_ms);
        by_tenants.add("check_grown_mb", *tenants, cost.grown_mb);
    }
    let largest = |sizes: &[usize]| sizes.iter().copied().max().unwrap_or(1);
    let (routes, tenants) = (largest(&options.routes), largest(&options.tenants));
    let CheckCost {
        time_ms,
        grown_mb,
        route_classes,
    } = check(routes, tenants)?;
    let both_note = format!(
        "{route_classes} routes and {tenants} tenants in one script: {time_ms:.0} ms, resident set +{grown_mb:.0} MB"
    );
    let notes =
        ["the script is run and checked; the process has freed memory before, so part of the growth does not show"];
    let mut section = by_routes.section("Settings: run and checked", &notes);
    section.series.extend(by_tenants.section("", &[]).series);
    section.notes.push(both_note);
    Ok(section)
}
