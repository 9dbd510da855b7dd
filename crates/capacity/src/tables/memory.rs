//! Memory of one engine, by pods, routes and tenants.

use super::driver::{Driver, SECOND};
use super::series_builder::SeriesBuilder;
use super::Options;
use crate::error::CapacityError;
use crate::report::Section;
use crate::samples;
use havenplank_settings::Site;
use havenplank_sidecar::engine::{Engine, EngineSettings, EPOCH};

/// The size of a page on the machines that we measure on.
const PAGE_BYTES: u64 = 4_096;
pub(super) const BYTES_PER_MB: f64 = 1e6;

/// Memory of this process in pages that are there, 0 where the system does not tell.
pub(super) fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse().ok())
        .unwrap_or(0);
    pages * PAGE_BYTES
}

/// What is kept to the end, so that none is built in memory that another gave back.
#[derive(Default)]
struct Kept {
    drivers: Vec<Driver>,
    engines: Vec<(Site, Site, Engine)>,
}

pub(super) fn memory(options: &Options) -> Result<Section, CapacityError> {
    let mut kept = Kept::default();
    let mut section = by_pods(options, &mut kept)?.section(
        "Memory of one engine",
        &["growth of the resident set, sizes in order of growth, none given back between them"],
    );
    for (size_of, sizes) in [("routes", &options.routes), ("tenants", &options.tenants)] {
        let table = by_settings(size_of, sizes, options.seed, &mut kept)?;
        section.series.extend(table.section("", &[]).series);
    }
    let note =
        "by routes and tenants: a copy of the checked settings and an engine made of them; what running \
                the script takes is in the section of the settings";
    section.notes.push(note.to_string());
    Ok(section)
}

fn by_pods(options: &Options, kept: &mut Kept) -> Result<SeriesBuilder, CapacityError> {
    let mut table = SeriesBuilder::new("pods");
    let small = samples::load_settings(1, 1)?;
    for count in &options.pods {
        let before = resident_bytes();
        let mut driver = Driver::new(&small, options.seed, samples::pods(*count));
        driver.advance_to(EPOCH + SECOND);
        table.put("engine_with_pods_mb", *count, grown_mb(before));
        kept.drivers.push(driver);
    }
    Ok(table)
}

fn by_settings(
    size_of: &'static str,
    sizes: &[usize],
    seed: u64,
    kept: &mut Kept,
) -> Result<SeriesBuilder, CapacityError> {
    let mut table = SeriesBuilder::new(size_of);
    for size in sizes {
        let site = match size_of {
            "routes" => samples::load_settings(*size, 1)?,
            _ => samples::load_settings(1, *size)?,
        };
        let before = resident_bytes();
        let copy = site.clone();
        let engine = Engine::new(EPOCH, seed, &EngineSettings::from(&copy));
        let name = format!("settings_and_engine_with_{size_of}_mb");
        table.put(&name, *size, grown_mb(before));
        kept.engines.push((site, copy, engine));
    }
    Ok(table)
}

/// By how much the resident set has grown, in megabytes.
pub(super) fn grown_mb(before: u64) -> f64 {
    resident_bytes().saturating_sub(before) as f64 / BYTES_PER_MB
}
