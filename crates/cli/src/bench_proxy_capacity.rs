//! `havenplank bench capacity --what proxy`: measures latency, CPU time and memory of a sidecar compared with a bare
//! proxy, with small and with large tables.
//!
//! Both proxies are child processes in front of the same pods and get the same requests in turns. Each listed pod
//! has a loopback address and a listener of its own; a few processes serve all pods.

use crate::bench::load::{Load, RequestMix};
use crate::bench::processes::{serve_endpoint_list, Process};
use havenplank_capacity::report::{Point, Section, Series};
use havenplank_capacity::samples;
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::task::{spawn_local, LocalSet};

/// Limit of the latency that the sidecar adds to that of the bare proxy at the 99th percentile, in microseconds.
const ADDED_P99_LIMIT_US: f64 = 2_300.0;
/// Number of processes that serve the pods.
const POD_PROCESSES: usize = 4;
/// Number of pods behind the bare proxy: few, so that its connections stay open with tables of any size and it is the
/// same reference for each size.
const BARE_PROXY_PODS: usize = 16;
/// Address of the first pod; each further pod has the next address.
const FIRST_POD_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 1, 0, 1);
const WARM_UP: Duration = Duration::from_secs(1);
/// Time without requests between the start of a sidecar and the reading of its idle memory.
const SETTLING_TIME: Duration = Duration::from_millis(500);

/// Numbers of entries in the routing tables of a sidecar.
#[derive(Clone, Copy)]
struct TableSizes {
    routes: usize,
    tenants: usize,
    pods: usize,
}

const SMALL: TableSizes = TableSizes {
    routes: 10,
    tenants: 100,
    pods: 16,
};
const MIDDLE: TableSizes = TableSizes {
    routes: 100,
    tenants: 1_000,
    pods: 64,
};
const LARGE: TableSizes = TableSizes {
    routes: 4_500,
    tenants: 150_000,
    pods: 5_000,
};

/// One steady request rate, in rounds in which each of the two proxies has one turn.
#[derive(Clone, Copy)]
struct Turns {
    requests_per_s: f64,
    rounds: u32,
    length: Duration,
}

/// Table sizes and request rates of one run.
struct Plan {
    sizes: [TableSizes; 2],
    turns: [Turns; 2],
}

impl Plan {
    fn new(quick: bool) -> Plan {
        let turns = |requests_per_s, rounds, seconds| {
            let length = Duration::from_secs(seconds);
            Turns {
                requests_per_s,
                rounds,
                length,
            }
        };
        if quick {
            Plan {
                sizes: [SMALL, MIDDLE],
                turns: [turns(137.0, 1, 1), turns(700.0, 1, 1)],
            }
        } else {
            Plan {
                sizes: [SMALL, LARGE],
                turns: [turns(137.0, 3, 3), turns(700.0, 3, 2)],
            }
        }
    }
}

/// Measurements of one proxy at one rate.
struct ProxyFigures {
    p50_us: f64,
    p99_us: f64,
    cpu_us_per_request: f64,
    resident_bytes: f64,
    open_descriptors: f64,
    succeeded: u64,
    rejected: u64,
    failed: u64,
}

/// Measurements of both proxies at one rate, with tables of one size.
struct Comparison {
    sizes: TableSizes,
    bare: ProxyFigures,
    sidecar: ProxyFigures,
}

/// Measurements of both proxies at all rates, with tables of one size.
struct SizeMeasurement {
    sizes: TableSizes,
    start_s: f64,
    idle_bytes: f64,
    /// One entry per rate, in the order of the plan.
    by_rate: Vec<Comparison>,
}

/// Measures a sidecar compared with a bare proxy; `quick` selects smaller tables and shorter turns.
///
/// # Errors
/// Processes that do not start, and addresses that cannot be bound.
pub fn measure(quick: bool) -> anyhow::Result<Vec<Section>> {
    let plan = Plan::new(quick);
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let mut measured = Vec::new();
    for sizes in plan.sizes {
        measured
            .push(runtime.block_on(LocalSet::new().run_until(measure_size(sizes, &plan.turns)))?);
    }
    let start = start_section(&measured);
    let mut by_rate: Vec<Vec<Comparison>> = plan.turns.iter().map(|_| Vec::new()).collect();
    for comparison in measured
        .into_iter()
        .flat_map(|of_size| of_size.by_rate.into_iter().enumerate())
    {
        by_rate[comparison.0].push(comparison.1);
    }
    let rates = plan
        .turns
        .iter()
        .zip(&by_rate)
        .map(|(turns, comparisons)| rate_section(turns, comparisons));
    Ok(std::iter::once(start).chain(rates).collect())
}

async fn measure_size(sizes: TableSizes, turns: &[Turns]) -> anyhow::Result<SizeMeasurement> {
    let pod_processes = start_pods(sizes.pods)?;
    let pods: Vec<SocketAddr> = pod_processes
        .iter()
        .flat_map(|process| process.addresses.clone())
        .collect();
    let bare = start_bare_proxy(&pods)?;
    let folder = tempfile::tempdir()?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let nodes = listener.local_addr()?.to_string();
    spawn_local(serve_endpoint_list(listener, listed_pods(&pods)));
    let started = Instant::now();
    let settings = samples::script(sizes.routes, sizes.tenants);
    let sidecar = Process::start_sidecar(
        &settings,
        &[("nodes", nodes.clone()), ("desk", nodes)],
        folder.path(),
    )?;
    let start_s = started.elapsed().as_secs_f64();
    tokio::time::sleep(SETTLING_TIME).await;
    let idle_bytes = sidecar.resident_bytes()? as f64;
    let mut by_rate = Vec::new();
    for turns in turns {
        by_rate.push(compare(sizes, *turns, &bare, &sidecar).await?);
    }
    Ok(SizeMeasurement {
        sizes,
        start_s,
        idle_bytes,
        by_rate,
    })
}

/// Starts the processes that serve the pods. Each pod listens on an address of its own.
fn start_pods(count: usize) -> anyhow::Result<Vec<Process>> {
    let address = |number: usize| Ipv4Addr::from(u32::from(FIRST_POD_ADDRESS) + number as u32);
    let addresses: Vec<String> = (0..count)
        .map(|number| format!("{}:0", address(number)))
        .collect();
    let start = |chunk: &[String]| {
        let mut args = vec!["pods"];
        args.extend(chunk.iter().map(String::as_str));
        Process::start_part(&args)
    };
    addresses
        .chunks(count.div_ceil(POD_PROCESSES))
        .map(start)
        .collect()
}

fn start_bare_proxy(pods: &[SocketAddr]) -> anyhow::Result<Process> {
    let pods: Vec<String> = pods
        .iter()
        .take(BARE_PROXY_PODS)
        .map(ToString::to_string)
        .collect();
    let mut args = vec!["bare"];
    args.extend(pods.iter().map(String::as_str));
    Process::start_part(&args)
}

fn listed_pods(addresses: &[SocketAddr]) -> Vec<ListedEndpoint> {
    let pod = |(number, address): (usize, &SocketAddr)| ListedEndpoint {
        address: *address,
        ..samples::pod(number)
    };
    addresses.iter().enumerate().map(pod).collect()
}

/// Sends requests to both proxies in turns, so that a machine that slows down in between slows both.
async fn compare(
    sizes: TableSizes,
    turns: Turns,
    bare: &Process,
    sidecar: &Process,
) -> anyhow::Result<Comparison> {
    let mix = RequestMix::Spread {
        routes: sizes.routes,
        tenants: sizes.tenants,
    };
    let proxies = [bare, sidecar];
    let loads = [
        warmed_up(bare, turns, mix).await?,
        warmed_up(sidecar, turns, mix).await?,
    ];
    let mut cpu_ns = [0, 0];
    for _ in 0..turns.rounds {
        for ((proxy, load), cpu_ns) in proxies.iter().zip(&loads).zip(&mut cpu_ns) {
            let before = proxy.cpu_ns()?;
            load.open_loop(turns.requests_per_s, turns.length, 0).await;
            *cpu_ns += proxy.cpu_ns()? - before;
        }
    }
    Ok(Comparison {
        sizes,
        bare: figures(bare, &loads[0], cpu_ns[0])?,
        sidecar: figures(sidecar, &loads[1], cpu_ns[1])?,
    })
}

/// Returns a load whose connections are already open.
async fn warmed_up(proxy: &Process, turns: Turns, mix: RequestMix) -> anyhow::Result<Rc<Load>> {
    let warm_up = Load::with_mix(proxy.address, mix)?;
    warm_up.open_loop(turns.requests_per_s, WARM_UP, 0).await;
    let load = Load::with_mix(proxy.address, mix)?;
    load.take_connections(&warm_up);
    Ok(load)
}

fn figures(proxy: &Process, load: &Load, cpu_ns: u64) -> anyhow::Result<ProxyFigures> {
    let (succeeded, rejected, failed) =
        (load.succeeded.get(), load.rejected.get(), load.failed.get());
    let requests = (succeeded + rejected + failed).max(1);
    Ok(ProxyFigures {
        p50_us: load.quantile_us(0.5) as f64,
        p99_us: load.quantile_us(0.99) as f64,
        cpu_us_per_request: cpu_ns as f64 / 1e3 / requests as f64,
        resident_bytes: proxy.resident_bytes()? as f64,
        open_descriptors: proxy.open_descriptors()? as f64,
        succeeded,
        rejected,
        failed,
    })
}

fn start_section(measured: &[SizeMeasurement]) -> Section {
    let series = |name: &str, value: fn(&SizeMeasurement) -> f64| {
        let point = |of_size: &SizeMeasurement| Point {
            size: of_size.sizes.routes as f64,
            value: value(of_size),
        };
        Series::new(
            name,
            "routes",
            "process",
            measured.iter().map(point).collect(),
        )
    };
    let mut notes: Vec<String> = measured
        .iter()
        .map(|of_size| size_note(of_size.sizes))
        .collect();
    notes.push("start: from the start of the process to its log line that it listens".to_string());
    notes.push(
        "all tables grow together, so the slope between two sizes is not the cost of one more route"
            .to_string(),
    );
    notes.push(format!(
        "each listed pod has its own loopback address and listener, served by {POD_PROCESSES} processes"
    ));
    Section {
        title: "Sidecar: start and idle memory".to_string(),
        series: vec![
            series("sidecar_start_s", |of_size| of_size.start_s),
            series("sidecar_idle_resident_bytes", |of_size| of_size.idle_bytes),
        ],
        notes,
    }
}

fn size_note(sizes: TableSizes) -> String {
    let TableSizes {
        routes,
        tenants,
        pods,
    } = sizes;
    format!("at {routes} routes: {tenants} tenants, {pods} listed pods")
}

fn rate_section(turns: &Turns, comparisons: &[Comparison]) -> Section {
    let series = |name: &str, value: fn(&Comparison) -> f64| {
        let point = |one: &Comparison| Point {
            size: one.sizes.routes as f64,
            value: value(one),
        };
        Series::new(
            name,
            "routes",
            "process",
            comparisons.iter().map(point).collect(),
        )
    };
    let Turns {
        requests_per_s,
        rounds,
        length,
    } = turns;
    let mut notes = vec![format!(
        "{rounds} rounds of {length:?} for each proxy, after {WARM_UP:?} of warm-up"
    )];
    notes.extend(comparisons.iter().flat_map(comparison_notes));
    notes.push(format!(
        "the bare proxy forwards to {BARE_PROXY_PODS} pods at each size"
    ));
    notes.push("the sidecar's CPU time includes its background work".to_string());
    notes.push("no control plane responds to the sidecar".to_string());
    Section {
        title: format!("Sidecar beside a bare proxy at {requests_per_s} requests/s"),
        series: vec![
            series("bare_p50_us", |one| one.bare.p50_us),
            series("sidecar_p50_us", |one| one.sidecar.p50_us),
            series("added_p50_us", |one| one.sidecar.p50_us - one.bare.p50_us),
            series("ratio_p50", |one| one.sidecar.p50_us / one.bare.p50_us),
            series("bare_p99_us", |one| one.bare.p99_us),
            series("sidecar_p99_us", |one| one.sidecar.p99_us),
            series("added_p99_us", added_p99_us),
            series("ratio_p99", |one| one.sidecar.p99_us / one.bare.p99_us),
            series("bare_cpu_us_per_request", |one| one.bare.cpu_us_per_request),
            series("sidecar_cpu_us_per_request", |one| {
                one.sidecar.cpu_us_per_request
            }),
            series("bare_resident_bytes", |one| one.bare.resident_bytes),
            series("sidecar_resident_bytes", |one| one.sidecar.resident_bytes),
            series("bare_open_descriptors", |one| one.bare.open_descriptors),
            series("sidecar_open_descriptors", |one| {
                one.sidecar.open_descriptors
            }),
        ],
        notes,
    }
}

fn added_p99_us(comparison: &Comparison) -> f64 {
    comparison.sidecar.p99_us - comparison.bare.p99_us
}

/// Returns notes on whether the latency limit was kept, and on the counts of responses.
fn comparison_notes(comparison: &Comparison) -> Vec<String> {
    let routes = comparison.sizes.routes;
    let kept = if added_p99_us(comparison) <= ADDED_P99_LIMIT_US {
        "within"
    } else {
        "beyond"
    };
    let response_counts = |name: &str, figures: &ProxyFigures| {
        let ProxyFigures {
            succeeded,
            rejected,
            failed,
            ..
        } = figures;
        format!("at {routes} routes, {name}: {succeeded} succeeded, {rejected} rejected, {failed} failed")
    };
    vec![
        format!("at {routes} routes: added p99 {kept} its limit of {ADDED_P99_LIMIT_US} us"),
        response_counts("bare proxy", &comparison.bare),
        response_counts("sidecar", &comparison.sidecar),
    ]
}
