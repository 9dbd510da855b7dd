//! What service discovery and ticks cost one engine, by pods.

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

/// A replaced pod, as a rolling release tells it: one more drains, then it is gone and a new one runs.
fn replacement(number: usize, count: usize) -> [Vec<ListedEndpoint>; 2] {
    let old = samples::pod(number % count.max(1));
    let new = samples::pod_of_build(count + number, 1, MS);
    let drains = ListedEndpoint {
        state: PodState::Draining,
        ..old.clone()
    };
    [
        vec![drains],
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
    let mut table = SeriesBuilder::new("pods");
    let site = samples::load_settings(1, 1)?;
    for count in &options.pods {
        let pods = samples::pods(*count);
        let began = Instant::now();
        let mut driver = Driver::new(&site, options.seed, pods);
        table.put(
            "whole_list_ms",
            *count,
            began.elapsed().as_secs_f64() * MS_PER_SECOND,
        );
        let (timed, visits) = change_pods(&mut driver, options.changes, *count)?;
        table.put_times("one_change", *count, &timed);
        let calls = 2.0 * options.changes.max(1) as f64;
        table.put(
            "one_change_visited_pods",
            *count,
            visits.scanned as f64 / calls,
        );
        table.put(
            "one_change_sorted_pods",
            *count,
            visits.sorted as f64 / calls,
        );
    }
    let notes = [
        "whole list: an engine made and its first list taken in; one change: one pod that drains, or one that is \
         gone and another that runs",
        "visited and sorted pods are counted, so they are the same on every machine",
    ];
    Ok(table.section("Service discovery taken in by one engine", &notes))
}

/// Replaces some pods one by one: the time of each call, and the pods that were looked at.
fn change_pods(
    driver: &mut Driver,
    changes: usize,
    count: usize,
) -> Result<(CallTimes, PodVisits), CapacityError> {
    let (mut timed, mut visits) = (CallTimes::new()?, PodVisits::default());
    for change in (0..changes).flat_map(|number| replacement(number, count)) {
        driver.advance_to(driver.now + 100 * MS);
        let mut spent = Duration::ZERO;
        let looked = driver.pod_visits_during(|driver| spent = driver.update_endpoints(change));
        timed.record(spent);
        visits.scanned += looked.scanned;
        visits.sorted += looked.sorted;
    }
    Ok((timed, visits))
}

pub(super) fn ticks(options: &Options) -> Result<Section, CapacityError> {
    let mut table = SeriesBuilder::new("pods");
    let site = samples::load_settings(1, 1)?;
    let ticks = 100;
    for count in &options.pods {
        let mut driver = Driver::new(&site, options.seed, samples::pods(*count));
        driver.send_requests(100, RATES_PER_S[0])?;
        let (first, mut spent) = (driver.now, Duration::ZERO);
        let visits = driver.pod_visits_during(|driver| {
            spent = (1..=ticks)
                .map(|tick| driver.advance_to(first + tick * 200 * MS))
                .sum();
        });
        let span = Duration::from_nanos(driver.now - first);
        let share = 100.0 * spent.as_secs_f64() / span.as_secs_f64();
        table.put("tick_us", *count, spent.as_secs_f64() * 1e6 / ticks as f64);
        table.put("tick_percent_of_core", *count, share);
        table.put(
            "tick_visited_pods",
            *count,
            visits.scanned as f64 / ticks as f64,
        );
        table.put(
            "tick_fetched_pods",
            *count,
            visits.fetched as f64 / ticks as f64,
        );
    }
    Ok(table.section(
        "Tick of one engine, five a second",
        &["time of calls, at rest between requests"],
    ))
}
