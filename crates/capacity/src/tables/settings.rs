//! What it costs to run and check a settings script.

use super::memory::{grown_mb, resident_bytes};
use super::series_builder::SeriesBuilder;
use super::Options;
use crate::error::CapacityError;
use crate::report::Section;
use crate::samples;
use std::collections::HashSet;
use std::time::Instant;

const MS_PER_SECOND: f64 = 1e3;

struct Checked {
    spent_ms: f64,
    /// Growth of the resident set.
    grown_mb: f64,
    /// Route classes with a name of their own.
    classes: usize,
}

fn check(routes: usize, tenants: usize) -> Result<Checked, CapacityError> {
    let (before, began) = (resident_bytes(), Instant::now());
    let site = samples::load_settings(routes, tenants)?;
    let spent_ms = began.elapsed().as_secs_f64() * MS_PER_SECOND;
    let grown_mb = grown_mb(before);
    let names: HashSet<&String> = site.route_classes.iter().map(|class| &class.name).collect();
    Ok(Checked {
        spent_ms,
        grown_mb,
        classes: names.len(),
    })
}

pub(super) fn settings(options: &Options) -> Result<Section, CapacityError> {
    let mut by_routes = SeriesBuilder::new("routes");
    for routes in &options.routes {
        let checked = check(*routes, 1)?;
        by_routes.put("check_ms", *routes, checked.spent_ms);
        by_routes.put("check_grown_mb", *routes, checked.grown_mb);
    }
    let mut by_tenants = SeriesBuilder::new("tenants");
    for tenants in &options.tenants {
        let checked = check(1, *tenants)?;
        by_tenants.put("check_ms", *tenants, checked.spent_ms);
        by_tenants.put("check_grown_mb", *tenants, checked.grown_mb);
    }
    let largest = |sizes: &[usize]| sizes.iter().copied().max().unwrap_or(1);
    let (routes, tenants) = (largest(&options.routes), largest(&options.tenants));
    let Checked {
        spent_ms,
        grown_mb,
        classes,
    } = check(routes, tenants)?;
    let both = format!(
        "{classes} routes and {tenants} tenants in one script: {spent_ms:.0} ms, resident set +{grown_mb:.0} MB"
    );
    let notes =
        ["script run and checked; growth late in this process, so partly in memory given back before"];
    let mut section = by_routes.section("Settings: run and checked", &notes);
    section.series.extend(by_tenants.section("", &[]).series);
    section.notes.push(both);
    Ok(section)
}
