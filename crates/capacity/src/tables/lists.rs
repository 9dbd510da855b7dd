//! Measures what endpoint lists and ticks cost one engine, by number of pods.

use super::call_times::CallTimes;
use super::driver::{Driver, MS};
use super::series_builder::SeriesBuilder;
use super::{Options, RATES_PER_S};
use crate::error::CapacityError;
use crate::report::Section;
use crate::samples;
use havenplank::interface::PodState;
use havenplank::PodVisits;
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use std::time::{Duration, Instant};

const MS_PER_SECOND: f64 = 1e3;

/// Returns the two changes of the list that replace a pod in a rolling release: first the old pod drains, then it is
/// gone and a new one runs.
fn replacement(number: usize, count: usize) -> [Vec<ListedEndpoint>; 2] {
    let old = samples::pod(number % count.max(1));
    let new = samples::pod_of_build(count + number, 1, MS);
    let draining = ListedEndpoint {
        state: PodState::Draining,
        ..old.clone()
    };
    [
        vec![draining],
        vec![
            ListedEndpoint {
                state: PodState::Gone,
                ..old
            },
            new,
        ],
    ]
}

pub(super) fn lists(options: &Options) -> Result<Section, CapacityError> {
    let mut series = SeriesBuilder::new("pods");
    let site = samples::load_settings(1, 1)?;
    for count in &options.pods {
        let pods = samples::pods(*count);
        let start = Instant::now();
        let mut driver = Driver::new(&site, options.seed, pods);
        series.add(
            "whole_list_ms",
            *count,
            start.elapsed().as_secs_f64() * MS_PER_SECOND,
        );
        let (times, visits) = replace_pods(&mut driver, options.changes, *count)?;
        series.add_times("one_change", *count, &times);
        let calls = 2.0 * options.changes.max(1) as f64;
        series.add(
            "one_change_visited_pods",
            *count,
            visits.scanned as f64 / calls,
        );
        series.add(
            "one_change_sorted_pods",
            *count,
            visits.sorted as f64 / calls,
        );
    }
    let notes = [
        "whole list: a new engine applies its first list; one change: one pod that drains, or one that is gone and \
         another that runs",
        "visited and sorted pods are counts, so they are the same on every machine",
    ];
    Ok(series.section("Service discovery taken in by one engine", &notes))
}

/// Replaces pods one by one. Returns the time of each call, and the pods that the engine visited.
fn replace_pods(
    driver: &mut Driver,
    changes: usize,
    count: usize,
) -> Result<(CallTimes, PodVisits), CapacityError> {
    let (mut times, mut visits) = (CallTimes::new()?, PodVisits::default());
    for change in (0..changes).flat_map(|number| replacement(number, count)) {
        driver.advance_to(driver.now + 100 * MS);
        let mut spent = Duration::ZERO;
        let visited = driver.pod_visits_during(|driver| spent = driver.update_endpoints(change));
        times.record(spent);
        visits.scanned += visited.scanned;
        visits.sorted += visited.sorted;
    }
    Ok((times, visits))
}

pub(super) fn ticks(options: &Options) -> Result<Section, CapacityError> {
    let mut series = SeriesBuilder::new("pods");
    let site = samples::load_settings(1, 1)?;
    let tick_count = 100;
    for count in &options.pods {
        let mut driver = Driver::new(&site, options.seed, samples::pods(*count));
        driver.send_requests(100, RATES_PER_S[0])?;
        let (start, mut spent) = (driver.now, Duration::ZERO);
        let visits = driver.pod_visits_during(|driver| {
            spent = (1..=tick_count)
                .map(|tick| driver.advance_to(start + tick * 200 * MS))
                .sum();
        });
        let virtual_time = Duration::from_nanos(driver.now - start);
        let share = 100.0 * spent.as_secs_f64() / virtual_time.as_secs_f64();
        series.add(
            "tick_us",
            *count,
            spent.as_secs_f64() * 1e6 / tick_count as f64,
        );
        series.add("tick_percent_of_core", *count, share);
        series.add(
            "tick_visited_pods",
            *count,
            visits.scanned as f64 / tick_count as f64,
        );
        series.add(
            "tick_fetched_pods",
            *count,
            visits.fetched as f64 / tick_count as f64,
        );
    }
    Ok(series.section(
        "Tick of one engine, five a second",
        &["processor time of the calls, without requests in between"],
    ))
}
