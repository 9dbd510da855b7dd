//! Measures what a request costs one engine, by number of pods, pod groups and routes.

use super::call_times::CallTimes;
use super::driver::{Driver, MS, SECOND};
use super::series_builder::SeriesBuilder;
use super::{Options, RATES_PER_S};
use crate::error::CapacityError;
use crate::report::Section;
use crate::samples;
use havenplank::interface::{Phase, Stage};
use havenplank_line_protocol::endpoint_list::ListedEndpoint;

/// Before a measurement, its number of requests divided by this is sent unmeasured, to warm up.
const WARM_UP_DIVISOR: usize = 5;

pub(super) fn requests_by_pods(options: &Options) -> Result<Section, CapacityError> {
    let mut series = SeriesBuilder::new("pods");
    let site = samples::load_settings(10, 1)?;
    for count in &options.pods {
        for rate in RATES_PER_S {
            let mut driver = Driver::new(&site, options.seed, samples::pods(*count));
            measure_requests(&mut series, &mut driver, *count, rate, options.requests)?;
        }
        let mut cold = Driver::new(&site, options.seed, cold_pods(*count));
        series.add_times(
            "request_with_cold_pods",
            *count,
            &cold.send_requests(options.requests / WARM_UP_DIVISOR, RATES_PER_S[1])?,
        );
    }
    let notes = [
        "a request: the engine chooses a pod, its effects are read, and the response arrives; one attempt each, \
         answered after 5 ms",
        "fetched pods include those that ticks fetch in the meantime",
        "cold pods: all have just started and none is warm, 700 requests/s; the search of last resort visits all pods",
    ];
    Ok(series.section("A request in one engine, by pods", &notes))
}

fn measure_requests(
    series: &mut SeriesBuilder,
    driver: &mut Driver,
    pods: usize,
    rate_per_s: u64,
    requests: usize,
) -> Result<(), CapacityError> {
    driver.send_requests(requests / WARM_UP_DIVISOR, rate_per_s)?;
    let mut times = CallTimes::new();
    let visits =
        driver.pod_visits_during(|driver| times = driver.send_requests(requests, rate_per_s));
    let times = times?;
    let name = format!("request_at_{rate_per_s}_per_s");
    series.add_times(&name, pods, &times);
    let fetched_per_request = visits.fetched as f64 / requests.max(1) as f64;
    series.add(&format!("{name}_fetched_pods"), pods, fetched_per_request);
    let share = 100.0 * times.tick_share_of_core();
    let name = format!("ticks_at_{rate_per_s}_per_s_percent_of_core");
    series.add(&name, pods, share);
    Ok(())
}

fn cold_pods(count: usize) -> Vec<ListedEndpoint> {
    (0..count)
        .map(|number| samples::pod_of_build(number, 1, MS))
        .collect()
}

/// Returns pods in this many groups of one zone and build each. The pods are of several builds, because there are
/// fewer zones than groups.
fn pods_in_groups(count: usize, groups: usize) -> Vec<ListedEndpoint> {
    let builds = (groups / samples::ZONES).max(1);
    let build = |number: usize| 1 + (number / samples::ZONES % builds) as u32;
    (0..count)
        .map(|number| samples::pod_of_build(number, build(number), 0))
        .collect()
}

pub(super) fn requests_by_pod_groups(options: &Options) -> Result<Section, CapacityError> {
    let mut series = SeriesBuilder::new("sides");
    let site = samples::load_settings(10, 1)?;
    let count = options.largest_pods();
    for groups in &options.pod_groups {
        let mut driver = Driver::new(&site, options.seed, pods_in_groups(count, *groups));
        let build = (*groups / samples::ZONES).max(1) as u32;
        driver.update_stage(Stage {
            build,
            stage: 1,
            phase: Phase::Released,
            cap: 1.0,
            age: 60 * SECOND,
        });
        driver.send_requests(options.requests / WARM_UP_DIVISOR, RATES_PER_S[0])?;
        let times = driver.send_requests(options.requests, RATES_PER_S[0])?;
        series.add_times("request", *groups, &times);
        series.add(
            "ticks_percent_of_core",
            *groups,
            100.0 * times.tick_share_of_core(),
        );
    }
    let notes = [
        "the engine has no services: all pods are in one table, divided by zone and build into groups (sides); a \
         sidecar of many services cannot restrict a request to the pods of one service",
        "the groups therefore stand for services: one group for each service, 137 requests/s",
    ];
    Ok(series.section("A request in one engine, by sides of its table", &notes))
}

pub(super) fn requests_by_routes(options: &Options) -> Result<Section, CapacityError> {
    let mut series = SeriesBuilder::new("routes");
    for routes in &options.routes {
        let site = samples::load_settings(*routes, 1)?;
        let mut driver = Driver::new(
            &site,
            options.seed,
            samples::pods(samples::PODS_PER_SERVICE),
        );
        driver.send_requests(options.requests / WARM_UP_DIVISOR, RATES_PER_S[0])?;
        let times = driver.send_requests(options.requests, RATES_PER_S[0])?;
        series.add_times("request", *routes, &times);
        series.add(
            "ticks_percent_of_core",
            *routes,
            100.0 * times.tick_share_of_core(),
        );
    }
    Ok(series.section(
        "A request in one engine, by routes",
        &["52 pods, 137 requests/s, routes drawn evenly"],
    ))
}
