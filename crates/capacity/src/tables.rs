//! What one sidecar's tables cost it: the real engine, without sockets and in virtual time.

use crate::error::CapacityError;
use crate::report::{Point, Section, Series};
use crate::samples;
use havenplank::interface::{AttemptEnd, Nanos, Phase, PodState, RequestId, Stage};
use havenplank::Visits;
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use havenplank_settings::Site;
use havenplank_sidecar::engine::{Effect, Engine, EngineSettings, RequestAttributes, EPOCH};
use havenplank_sidecar::routes::RouteTable;
use hdrhistogram::Histogram;
use oorandom::Rand64;
use std::collections::{HashSet, VecDeque};
use std::time::{Duration, Instant};

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;
/// How long a sample pod takes to answer.
const ANSWERS_AFTER: Nanos = 5 * MS;
const TIME_LEFT: Nanos = 2 * S;
/// Requests a second of a sidecar in the mean and of the busiest.
pub const RATES_PER_S: [u64; 2] = [137, 700];
const PAGE_BYTES: u64 = 4_096;
const BYTES_PER_MB: f64 = 1e6;

#[derive(Clone, Debug)]
pub struct Options {
    pub pods: Vec<usize>,
    /// Pods of one zone and build each, as many as share a table today where they are of many services.
    pub sides: Vec<usize>,
    pub routes: Vec<usize>,
    pub tenants: Vec<usize>,
    /// Requests for each size and rate.
    pub requests: usize,
    /// Changes of one pod for each size.
    pub changes: usize,
    pub seed: u64,
}

impl Options {
    pub fn quick() -> Options {
        Options {
            pods: vec![100, 1_000, 3_000],
            sides: vec![4, 40],
            routes: vec![10, 400],
            tenants: vec![100, 2_000],
            requests: 500,
            changes: 20,
            seed: 1,
        }
    }

    pub fn full() -> Options {
        Options {
            pods: vec![100, 1_000, 5_000, 10_000, 21_000],
            sides: vec![10, 50, 100, 200, 400],
            routes: vec![10, 100, 1_000, 4_500],
            tenants: vec![100, 1_000, 10_000, 150_000],
            requests: 5_000,
            changes: 200,
            seed: 1,
        }
    }

    fn largest_pods(&self) -> usize {
        self.pods.iter().copied().max().unwrap_or(0)
    }
}

/// All sections of one sidecar's tables. Memory comes first, while no freed memory is there to be used again.
///
/// # Errors
/// Settings of a size that the settings script refuses.
pub fn tables(options: &Options) -> Result<Vec<Section>, CapacityError> {
    Ok(vec![
        memory(options)?,
        lists(options)?,
        ticks(options)?,
        requests_by_pods(options)?,
        requests_by_sides(options)?,
        requests_by_routes(options)?,
        lookups(options)?,
        settings(options)?,
    ])
}

/// A sidecar's engine at work: requests at a steady rate, each answered after a fixed time.
pub struct Driver {
    pub engine: Engine,
    now: Nanos,
    routes: u64,
    chance: Rand64,
    due: VecDeque<Answer>,
    counted: Counts,
}

struct Answer {
    at: Nanos,
    hit: RequestId,
    nth: u32,
    /// Spent on the request before it was sent.
    spent: Duration,
}

/// Effects of an engine, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub forwards: u64,
    pub rejected: u64,
    pub votes: u64,
    pub others: u64,
}

impl Counts {
    pub fn all(&self) -> u64 {
        self.forwards + self.rejected + self.votes + self.others
    }
}

impl Driver {
    pub fn new(site: &Site, seed: u64, pods: Vec<ListedEndpoint>) -> Driver {
        let mut engine = Engine::new(EPOCH, seed, &EngineSettings::from(site));
        engine.start(EPOCH);
        engine.update_endpoints(EPOCH, true, pods);
        let (routes, chance) = (site.groups.len().max(1) as u64, Rand64::new(seed as u128));
        Driver {
            engine,
            now: EPOCH,
            routes,
            chance,
            due: VecDeque::new(),
            counted: Counts::default(),
        }
    }

    pub fn counts(&self) -> Counts {
        self.counted
    }

    /// The pods that were looked at in `work`.
    pub fn visits_of(&mut self, work: impl FnOnce(&mut Driver)) -> Visits {
        let before = self.engine.visits();
        work(self);
        let after = self.engine.visits();
        Visits {
            passed: after.passed - before.passed,
            fetched: after.fetched - before.fetched,
            sorted: after.sorted - before.sorted,
        }
    }

    pub fn news(&mut self, stage: Stage) {
        self.engine.update_stage(self.now, stage);
        self.drain();
    }

    pub fn change(&mut self, pods: Vec<ListedEndpoint>) -> Duration {
        let began = Instant::now();
        self.engine.update_endpoints(self.now, false, pods);
        began.elapsed()
    }

    fn drain(&mut self) -> Vec<(RequestId, u32)> {
        let mut sent = Vec::new();
        while let Some(effect) = self.engine.next_effect() {
            match effect {
                Effect::SendAttempt {
                    request: hit,
                    attempt: nth,
                    ..
                } => {
                    self.counted.forwards += 1;
                    sent.push((hit, nth));
                }
                Effect::Reject { .. } | Effect::Fail { .. } => self.counted.rejected += 1,
                Effect::CastVote { .. } => self.counted.votes += 1,
                _ => self.counted.others += 1,
            }
        }
        sent
    }

    /// Lets time pass; the time that the engine's own wakes took.
    pub fn pass(&mut self, until: Nanos) -> Duration {
        self.now = self.now.max(until);
        let began = Instant::now();
        self.engine.run_timers(self.now);
        let spent = began.elapsed();
        self.drain();
        spent
    }

    /// One request and all that it leaves to do at once.
    pub fn request(&mut self) {
        let (group, key) = (
            self.chance.rand_range(0..self.routes) as usize,
            self.chance.rand_u64().max(1),
        );
        let asked = RequestAttributes {
            route_class: group,
            tenant: None,
            key,
            remaining: TIME_LEFT,
            cost_hint: None,
            is_retry: false,
        };
        let began = Instant::now();
        self.engine.handle_request(self.now, asked);
        let sent = self.drain();
        let spent = began.elapsed();
        let at = self.now + ANSWERS_AFTER;
        self.due.extend(sent.into_iter().map(|(hit, nth)| Answer {
            at,
            hit,
            nth,
            spent,
        }));
    }

    /// Requests at a rate, and the time that each took in all, with its answer.
    pub fn requests(&mut self, count: usize, rate_per_s: u64) -> Result<Timed, CapacityError> {
        let mut timed = Timed::new()?;
        let first = self.now;
        for n in 0..count as u64 {
            let at = first + n * S / rate_per_s;
            while let Some(due) = self.due.pop_front_if(|answer| answer.at <= at) {
                timed.record(self.answer(due));
            }
            timed.ticks += self.pass(at);
            self.request();
        }
        timed.span = Duration::from_nanos(self.now - first);
        while let Some(due) = self.due.pop_front() {
            timed.record(self.answer(due));
        }
        Ok(timed)
    }

    fn answer(&mut self, due: Answer) -> Duration {
        self.now = self.now.max(due.at);
        let began = Instant::now();
        self.engine.attempt_ended(
            self.now,
            due.hit,
            due.nth,
            AttemptEnd::Served,
            ANSWERS_AFTER,
            None,
        );
        let sent = self.drain();
        let spent = due.spent + began.elapsed();
        let at = self.now + ANSWERS_AFTER;
        self.due.extend(sent.into_iter().map(|(hit, nth)| Answer {
            at,
            hit,
            nth,
            spent,
        }));
        spent
    }
}

/// Times of many like calls, and what ticks took meanwhile.
pub struct Timed {
    each_ns: Histogram<u64>,
    ticks: Duration,
    span: Duration,
}

impl Timed {
    fn new() -> Result<Timed, CapacityError> {
        let each_ns = Histogram::new_with_bounds(1, 60 * S, 3)?;
        Ok(Timed {
            each_ns,
            ticks: Duration::ZERO,
            span: Duration::ZERO,
        })
    }

    fn record(&mut self, spent: Duration) {
        self.each_ns.saturating_record(spent.as_nanos() as u64);
    }

    fn us(&self, quantile: f64) -> f64 {
        self.each_ns.value_at_quantile(quantile) as f64 / 1e3
    }

    fn tick_share_of_core(&self) -> f64 {
        self.ticks.as_secs_f64() / self.span.as_secs_f64().max(f64::MIN_POSITIVE)
    }
}

/// One series for each name, filled size by size.
struct Table {
    size_of: &'static str,
    columns: Vec<(String, Vec<Point>)>,
}

impl Table {
    fn new(size_of: &'static str) -> Table {
        Table {
            size_of,
            columns: Vec::new(),
        }
    }

    fn put(&mut self, name: &str, size: usize, value: f64) {
        let point = Point {
            size: size as f64,
            value,
        };
        match self.columns.iter_mut().find(|(known, _)| known == name) {
            Some((_, points)) => points.push(point),
            None => self.columns.push((name.to_string(), vec![point])),
        }
    }

    fn put_times(&mut self, what: &str, size: usize, timed: &Timed) {
        self.put(&format!("{what}_p50_us"), size, timed.us(0.5));
        self.put(&format!("{what}_p99_us"), size, timed.us(0.99));
    }

    fn section(self, title: &str, notes: &[&str]) -> Section {
        let size_of = self.size_of;
        let series =
            |(name, points): (String, Vec<Point>)| Series::new(&name, size_of, "process", points);
        Section {
            title: title.to_string(),
            series: self.columns.into_iter().map(series).collect(),
            notes: notes.iter().map(|note| note.to_string()).collect(),
        }
    }
}

/// Memory of this process in pages that are there, 0 where the system does not tell.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse().ok())
        .unwrap_or(0);
    pages * PAGE_BYTES
}

fn memory(options: &Options) -> Result<Section, CapacityError> {
    let mut table = Table::new("pods");
    let small = samples::site(1, 1)?;
    // All are kept to the end, so that none is built in what another gave back.
    let mut kept = Vec::new();
    for count in &options.pods {
        let before = resident_bytes();
        let mut driver = Driver::new(&small, options.seed, samples::pods(*count));
        driver.pass(EPOCH + S);
        let grown = resident_bytes().saturating_sub(before);
        table.put("engine_with_pods_mb", *count, grown as f64 / BYTES_PER_MB);
        kept.push(driver);
    }
    let mut section = table.section(
        "Memory of one engine",
        &["growth of the resident set, sizes in order of growth, none given back between them"],
    );
    let mut sites = Vec::new();
    for (size_of, sizes) in [("routes", &options.routes), ("tenants", &options.tenants)] {
        let mut table = Table::new(size_of);
        for size in sizes {
            let site = if size_of == "routes" {
                samples::site(*size, 1)?
            } else {
                samples::site(1, *size)?
            };
            let before = resident_bytes();
            let copy = site.clone();
            let engine = Engine::new(EPOCH, options.seed, &EngineSettings::from(&copy));
            let grown = resident_bytes().saturating_sub(before);
            table.put(
                &format!("settings_and_engine_with_{size_of}_mb"),
                *size,
                grown as f64 / BYTES_PER_MB,
            );
            sites.push((site, copy, engine));
        }
        section.series.extend(table.section("", &[]).series);
    }
    let note =
        "by routes and tenants: a copy of the checked settings and an engine made of them; what running \
                the script takes is in the section of the settings";
    section.notes.push(note.to_string());
    Ok(section)
}

/// A replaced pod, as a rolling release tells it: one more drains, then it is gone and a new one runs.
fn replacement(number: usize, count: usize) -> [Vec<ListedEndpoint>; 2] {
    let old = samples::pod(number % count.max(1));
    let new = samples::pod_of(count + number, 1, MS);
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

fn lists(options: &Options) -> Result<Section, CapacityError> {
    let mut table = Table::new("pods");
    let site = samples::site(1, 1)?;
    for count in &options.pods {
        let began = Instant::now();
        let pods = samples::pods(*count);
        let making = began.elapsed();
        let began = Instant::now();
        let mut driver = Driver::new(&site, options.seed, pods);
        table.put("whole_list_ms", *count, began.elapsed().as_secs_f64() * 1e3);
        std::hint::black_box(making);
        let (mut timed, mut visits) = (Timed::new()?, Visits::default());
        for number in 0..options.changes {
            for change in replacement(number, *count) {
                driver.pass(driver.now + 100 * MS);
                let mut spent = Duration::ZERO;
                let looked = driver.visits_of(|driver| spent = driver.change(change));
                timed.record(spent);
                visits.passed += looked.passed;
                visits.sorted += looked.sorted;
            }
        }
        table.put_times("one_change", *count, &timed);
        let calls = 2.0 * options.changes.max(1) as f64;
        table.put(
            "one_change_visited_pods",
            *count,
            visits.passed as f64 / calls,
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

fn ticks(options: &Options) -> Result<Section, CapacityError> {
    let mut table = Table::new("pods");
    let site = samples::site(1, 1)?;
    let ticks = 100;
    for count in &options.pods {
        let mut driver = Driver::new(&site, options.seed, samples::pods(*count));
        driver.requests(100, RATES_PER_S[0])?;
        let (first, mut spent) = (driver.now, Duration::ZERO);
        let visits = driver.visits_of(|driver| {
            spent = (1..=ticks)
                .map(|tick| driver.pass(first + tick * 200 * MS))
                .sum();
        });
        let span = Duration::from_nanos(driver.now - first);
        let share = 100.0 * spent.as_secs_f64() / span.as_secs_f64();
        table.put("tick_us", *count, spent.as_secs_f64() * 1e6 / ticks as f64);
        table.put("tick_percent_of_core", *count, share);
        table.put(
            "tick_visited_pods",
            *count,
            visits.passed as f64 / ticks as f64,
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

fn requests_by_pods(options: &Options) -> Result<Section, CapacityError> {
    let mut table = Table::new("pods");
    let site = samples::site(10, 1)?;
    for count in &options.pods {
        for rate in RATES_PER_S {
            let mut driver = Driver::new(&site, options.seed, samples::pods(*count));
            driver.requests(options.requests / 5, rate)?;
            let mut timed = Timed::new()?;
            let mut failed = None;
            let visits = driver.visits_of(|driver| match driver.requests(options.requests, rate) {
                Ok(done) => timed = done,
                Err(error) => failed = Some(error),
            });
            if let Some(error) = failed {
                return Err(error);
            }
            table.put_times(&format!("request_at_{rate}_per_s"), *count, &timed);
            let each = visits.fetched as f64 / options.requests.max(1) as f64;
            table.put(
                &format!("request_at_{rate}_per_s_fetched_pods"),
                *count,
                each,
            );
            let share = 100.0 * timed.tick_share_of_core();
            table.put(
                &format!("ticks_at_{rate}_per_s_percent_of_core"),
                *count,
                share,
            );
        }
        let mut cold = Driver::new(&site, options.seed, cold_pods(*count));
        table.put_times(
            "request_with_cold_pods",
            *count,
            &cold.requests(options.requests / 5, RATES_PER_S[1])?,
        );
    }
    let notes = [
        "a request: the engine's choice, its effects taken, and its answer; one attempt each, answered after 5 ms",
        "fetched pods include those that ticks fetch meanwhile",
        "cold pods: all started a moment ago, none warm, 700 requests/s: the last resort looks at all pods",
    ];
    Ok(table.section("A request in one engine, by pods", &notes))
}

fn cold_pods(count: usize) -> Vec<ListedEndpoint> {
    (0..count)
        .map(|number| samples::pod_of(number, 1, MS))
        .collect()
}

/// So many sides of one table: the builds differ, as the zones alone would be too few.
fn sided_pods(count: usize, sides: usize) -> Vec<ListedEndpoint> {
    let builds = (sides / samples::ZONES).max(1);
    let build = |number: usize| 1 + (number / samples::ZONES % builds) as u32;
    (0..count)
        .map(|number| samples::pod_of(number, build(number), 0))
        .collect()
}

fn requests_by_sides(options: &Options) -> Result<Section, CapacityError> {
    let mut table = Table::new("sides");
    let site = samples::site(10, 1)?;
    let count = options.largest_pods();
    for sides in &options.sides {
        let mut driver = Driver::new(&site, options.seed, sided_pods(count, *sides));
        let build = (*sides / samples::ZONES).max(1) as u32;
        driver.news(Stage {
            build,
            stage: 1,
            phase: Phase::Released,
            cap: 1.0,
            age: 60 * S,
        });
        driver.requests(options.requests / 5, RATES_PER_S[0])?;
        let timed = driver.requests(options.requests, RATES_PER_S[0])?;
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

fn requests_by_routes(options: &Options) -> Result<Section, CapacityError> {
    let mut table = Table::new("routes");
    for routes in &options.routes {
        let site = samples::site(*routes, 1)?;
        let mut driver = Driver::new(&site, options.seed, samples::pods(samples::PODS_OF_SERVICE));
        driver.requests(options.requests / 5, RATES_PER_S[0])?;
        let timed = driver.requests(options.requests, RATES_PER_S[0])?;
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

/// The table in which the proxy finds routes and tenants, and its engine, which gives each route its index.
pub fn route_table(site: &Site) -> RouteTable {
    let engine = Engine::new(EPOCH, 1, &EngineSettings::from(site));
    RouteTable::from_settings(&site.groups, engine.slots(), &site.tenants)
}

fn lookups(options: &Options) -> Result<Section, CapacityError> {
    let mut chance = Rand64::new(options.seed as u128);
    let mut by_routes = Table::new("routes");
    for routes in &options.routes {
        let (table, mut timed) = (route_table(&samples::site(*routes, 1)?), Timed::new()?);
        for _ in 0..options.requests {
            let path = samples::route_path(chance.rand_range(0..*routes as u64) as usize);
            let began = Instant::now();
            std::hint::black_box(table.find("GET", &path));
            timed.record(began.elapsed());
        }
        by_routes.put_times("route_lookup", *routes, &timed);
    }
    let mut by_tenants = Table::new("tenants");
    for tenants in &options.tenants {
        let (table, mut timed) = (route_table(&samples::site(1, *tenants)?), Timed::new()?);
        for _ in 0..options.requests {
            let name = samples::tenant(chance.rand_range(0..*tenants as u64) as usize);
            let began = Instant::now();
            std::hint::black_box(table.tenant(&name));
            timed.record(began.elapsed());
        }
        by_tenants.put_times("tenant_lookup", *tenants, &timed);
    }
    let notes =
        ["in the proxy's own table; drawn evenly, each found; a reading of the clock is in each time"];
    let mut section = by_routes.section("Lookup of routes and tenants", &notes);
    section.series.extend(by_tenants.section("", &[]).series);
    Ok(section)
}

fn settings(options: &Options) -> Result<Section, CapacityError> {
    let timed = |routes: usize, tenants: usize| {
        let (before, began) = (resident_bytes(), Instant::now());
        let site = samples::site(routes, tenants)?;
        let spent = began.elapsed().as_secs_f64() * 1e3;
        let grown = resident_bytes().saturating_sub(before) as f64 / BYTES_PER_MB;
        let names: HashSet<&String> = site.groups.iter().map(|group| &group.name).collect();
        Ok::<_, CapacityError>((spent, grown, names.len()))
    };
    let mut by_routes = Table::new("routes");
    for routes in &options.routes {
        let (spent, grown, _) = timed(*routes, 1)?;
        by_routes.put("check_ms", *routes, spent);
        by_routes.put("check_grown_mb", *routes, grown);
    }
    let mut by_tenants = Table::new("tenants");
    for tenants in &options.tenants {
        let (spent, grown, _) = timed(1, *tenants)?;
        by_tenants.put("check_ms", *tenants, spent);
        by_tenants.put("check_grown_mb", *tenants, grown);
    }
    let largest = |sizes: &[usize]| sizes.iter().copied().max().unwrap_or(1);
    let (routes, tenants) = (largest(&options.routes), largest(&options.tenants));
    let (spent, grown, found) = timed(routes, tenants)?;
    let both = format!(
        "{found} routes and {tenants} tenants in one script: {spent:.0} ms, resident set +{grown:.0} MB"
    );
    let notes =
        ["script run and checked; growth late in this process, so partly in memory given back before"];
    let mut section = by_routes.section("Settings: run and checked", &notes);
    section.series.extend(by_tenants.section("", &[]).series);
    section.notes.push(both);
    Ok(section)
}
