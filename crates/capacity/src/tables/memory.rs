//! Measures the memory of one engine, by number of pods, routes and tenants.

use super::driver::{Driver, SECOND};
use super::series_builder::SeriesBuilder;
use super::Options;
use crate::error::CapacityError;
use crate::report::Section;
use crate::samples;
use havenplank_settings::Site;
use havenplank_sidecar::engine::{Engine, EngineSettings, EPOCH};

/// The page size of the machines that the scale tests run on.
const PAGE_BYTES: u64 = 4_096;
pub(super) const BYTES_PER_MB: f64 = 1e6;

/// Returns the resident memory of this process in bytes, or 0 if the system does not report it.
pub(super) fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse().ok())
        .unwrap_or(0);
    pages * PAGE_BYTES
}

/// Everything that was built, kept until all is measured, so that nothing is built in memory that was freed before.
#[derive(Default)]
struct Retained {
    drivers: Vec<Driver>,
    engines: Vec<(Site, Site, Engine)>,
}

pub(super) fn memory(options: &Options) -> Result<Section, CapacityError> {
    let mut retained = Retained::default();
    let mut section = memory_by_pods(options, &mut retained)?.section(
        "Memory of one engine",
        &["growth of the resident set, sizes in ascending order, nothing freed between them"],
    );
    for (size_of, sizes) in [("routes", &options.routes), ("tenants", &options.tenants)] {
        let series = memory_by_settings(size_of, sizes, options.seed, &mut retained)?;
        section.series.extend(series.section("", &[]).series);
    }
    let note =
        "by routes and tenants: a copy of the checked settings and an engine built from them; the memory that running \
                the script takes is in the section on settings";
    section.notes.push(note.to_string());
    Ok(section)
}

fn memory_by_pods(
    options: &Options,
    retained: &mut Retained,
) -> Result<SeriesBuilder, CapacityError> {
    let mut series = SeriesBuilder::new("pods");
    let small_site = samples::load_settings(1, 1)?;
    for count in &options.pods {
        let before = resident_bytes();
        let mut driver = Driver::new(&small_site, options.seed, samples::pods(*count));
        driver.advance_to(EPOCH + SECOND);
        series.add("engine_with_pods_mb", *count, grown_mb(before));
        retained.drivers.push(driver);
    }
    Ok(series)
}

fn memory_by_settings(
    size_of: &'static str,
    sizes: &[usize],
    seed: u64,
    retained: &mut Retained,
) -> Result<SeriesBuilder, CapacityError> {
    let mut series = SeriesBuilder::new(size_of);
    for size in sizes {
        let site = match size_of {
            "routes" => samples::load_settings(*size, 1)?,
            _ => samples::load_settings(1, *size)?,
        };
        let before = resident_bytes();
        let copy = site.clone();
        let engine = Engine::new(EPOCH, seed, &EngineSettings::from(&copy));
        let name = format!("settings_and_engine_with_{size_of}_mb");
        series.add(&name, *size, grown_mb(before));
        retained.engines.push((site, copy, engine));
    }
    Ok(series)
}

/// Returns the growth of the resident set, in megabytes.
pub(super) fn grown_mb(before: u64) -> f64 {
    resident_bytes().saturating_sub(before) as f64 / BYTES_PER_MB
}
