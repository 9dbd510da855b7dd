//! What a request costs one engine, by pods, sides of its table and routes.

use super::call_times::CallTimes;
use super::driver::{Driver, MS, SECOND};
use super::series_builder::SeriesBuilder;
use super::{Options, RATES_PER_S};
use crate::error::CapacityError;
use crate::report::Section;
use crate::samples;
use havenplank::interface::{Phase, Stage};
use havenplank_line_protocol::endpoint_list::ListedEndpoint;

/// Before a measurement, one in so many of its requests is sent unmeasured.
const WARM_UP_SHARE: usize = 5;

pub(super) fn requests_by_pods(options: &Options) -> Result<Section, CapacityError> {
    let mut table = SeriesBuilder::new("pods");
    let site = samples::load_settings(10, 1)?;
    for count in &options.pods {
        for rate in RATES_PER_S {
            let mut driver = Driver::new(&site, options.seed, samples::pods(*count));
            put_requests(&mut table, &mut driver, *count, rate, options.requests)?;
        }
        let mut cold = Driver::new(&site, options.seed, cold_pods(*count));
        table.put_times(
            "request_with_cold_pods",
            *count,
            &cold.send_requests(options.requests / WARM_UP_SHARE, RATES_PER_S[1])?,
        );
    }
    let notes = [
        "a request: the engine's choice, its effects taken, and its answer; one attempt each, answered after 5 ms",
        "fetched pods include those that ticks fetch meanwhile",
        "cold pods: all started a moment ago, none warm, 700 requests/s: the last resort looks at all pods",
    ];
    Ok(table.section("A request in one engine, by pods", &notes))
}

fn put_requests(
    table: &mut SeriesBuilder,
    driver: &mut Driver,
    pods: usize,
    rate_per_s: u64,
    requests: usize,
) -> Result<(), CapacityError> {
    driver.send_requests(requests / WARM_UP_SHARE, rate_per_s)?;
    let mut timed = CallTimes::new();
    let visits =
        driver.pod_visits_during(|driver| timed = driver.send_requests(requests, rate_per_s));
    let timed = timed?;
    let name = format!("request_at_{rate_per_s}_per_s");
    table.put_times(&name, pods, &timed);
    let each = visits.fetched as f64 / requests.max(1) as f64;
    table.put(&format!("{name}_fetched_pods"), pods, each);
    let share = 100.0 * timed.tick_share_of_core();
    let name = format!("ticks_at_{rate_per_s}_per_s_percent_of_core");
    table.put(&name, pods, share);
    Ok(())
}

fn cold_pods(count: usize) -> Vec<ListedEndpoint> {
    (0..count)
        .map(|number| samples::pod_of_build(number, 1, MS))
        .collect()
}

/// So many sides of one table: the builds differ, as the zones alone would be too few.
fn sided_pods(count: usize, sides: usize) -> Vec<ListedEndpoint> {
    let builds = (sides / samples::ZONES).max(1);
    let build = |number: usize| 1 + (number / samples::ZONES % builds) as u32;
    (0..count)
        .map(|number| samples::pod_of_build(number, build(number), 0))
        .collect()
}

pub(super) fn requests_by_pod_groups(options: &Options) -> Result<Section, CapacityError> {
    let mut table = SeriesBuilder::new("sides");
    let site = samples::load_settings(10, 1)?;
    let count = options.largest_pods();
    for sides in &options.pod_groups {
        let mut driver = Driver::new(&site, options.seed, sided_pods(count, *sides));
        let build = (*sides / samples::ZONES).max(1) as u32;
        driver.update_stage(Stage {
            build,
            stage: 1,
            phase: Phase::Released,
            cap: 1.0,
            age: 60 * SECOND,
        });
        driver.send_requests(options.requests / WARM_UP_SHARE, RATES_PER_S[0])?;
        let timed = driver.send_requests(options.requests, RATES_PER_S[0])?;
        table.put_times("request", *sides, &timed);
        table.put(
            "ticks_percent_of_core",
            *sides,
            100.0 * timed.tick_share_of_core(),
        );
    }
    let notes = [
        "the engine has no services: all pods are one table, parted by zone and build into sides; a sidecar of \
         many services cannot say which pods may take a request",
        "so this stands in for services: as many sides as there were services, 137 requests/s",
    ];
    Ok(table.section("A request in one engine, by sides of its table", &notes))
}

pub(super) fn requests_by_routes(options: &Options) -> Result<Section, CapacityError> {
    let mut table = SeriesBuilder::new("routes");
    for routes in &options.routes {
        let site = samples::load_settings(*routes, 1)?;
        let mut driver = Driver::new(
            &site,
            options.seed,
            samples::pods(samples::PODS_PER_SERVICE),
        );
        driver.send_requests(options.requests / WARM_UP_SHARE, RATES_PER_S[0])?;
        let timed = driver.send_requests(options.requests, RATES_PER_S[0])?;
        table.put_times("request", *routes, &timed);
        table.put(
            "ticks_percent_of_core",
            *routes,
            100.0 * timed.tick_share_of_core(),
        );
    }
    Ok(table.section(
        "A request in one engine, by routes",
        &["52 pods, 137 requests/s, routes drawn evenly"],
    ))
}
