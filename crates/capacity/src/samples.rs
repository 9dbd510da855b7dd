//! Sample pods and sample settings of any size, identical in every run.

use crate::error::CapacityError;
use havenplank::interface::{Build, Nanos, PodState};
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use havenplank_settings::{load, Given, Site};
use std::net::{Ipv4Addr, SocketAddr};

/// Number of zones in the sample fleet.
pub const ZONES: usize = 4;
/// Number of services in the sample fleet.
pub const SERVICES: usize = 400;
/// Number of sidecars in the sample fleet.
pub const SIDECARS: usize = 1_600;
/// Mean number of pods per service.
pub const PODS_PER_SERVICE: usize = 52;
/// The incarnation of pod 0: a start time in nanoseconds since the Unix epoch.
const FIRST_INCARNATION: u64 = 1_764_633_600_000_000_000;
/// The IPv4 address of pod 0: 10.0.0.0.
const FIRST_ADDRESS: u32 = 0x0a00_0000;
const PORT: u16 = 8_080;
const PODS_PER_CELL: usize = 4;
const RELATIVE_POD_SIZE: f64 = 4.0;

/// Returns a running pod of build 1 that started long ago.
pub fn pod(number: usize) -> ListedEndpoint {
    pod_of_build(number, 1, 0)
}

/// Returns a running pod of a build. `age` is the time since the pod started, or 0 if it started long ago.
pub fn pod_of_build(number: usize, build: Build, age: Nanos) -> ListedEndpoint {
    let service = number / PODS_PER_SERVICE;
    let address = SocketAddr::from((Ipv4Addr::from(FIRST_ADDRESS + number as u32), PORT));
    ListedEndpoint {
        name: format!("service-{service}-{number:05}"),
        address,
        state: PodState::Running,
        build,
        incarnation: FIRST_INCARNATION + number as u64,
        age,
        zone: format!("zone-{}", number % ZONES),
        machine: "standard-8".to_string(),
        cell: (number / PODS_PER_CELL) as i64,
        size: RELATIVE_POD_SIZE,
    }
}

/// Returns `count` running pods of build 1 that started long ago.
pub fn pods(count: usize) -> Vec<ListedEndpoint> {
    (0..count).map(pod).collect()
}

/// Returns a path that matches the numbered route of [`script`].
pub fn route_path(number: usize) -> String {
    format!("/service-{}/route-{number}/item", number % SERVICES)
}

/// Returns the name of the numbered tenant of [`script`].
pub fn tenant(number: usize) -> String {
    format!("tenant-{number}")
}

/// Returns a settings script that declares this many path groups and tenants, both in loops.
pub fn script(routes: usize, tenants: usize) -> String {
    format!(
        r#"
sidecar(name = "capacity", instances = {SIDECARS}, rank = 7, zones = ["zone-%d" % n for n in range({ZONES})],
        zone = "zone-0", machines = ["standard-8"], customers = ["tenant-%d" % n for n in range({tenants})],
        listen = "127.0.0.1:0", admin = "127.0.0.1:0")
for n in range({routes}):
    path_group(name = "route-%d" % n, paths = ["/service-%d/route-%d/*" % (n % {SERVICES}, n)],
               kind = "repeatable", target_latency = "400ms", client_timeout = "2s")
pods(drain_grace = "500ms", cold_share = 0.3, warm_up = "5s", fall_multiple = 3, fall_window = "2s")
exposure(window = "6s", free = 3, caps = [0.1, 1])
votes(control = "count", on_needs = 3, back_needs = 3, life = "6s", calls_per_s = 40.0)
nodes(address = given("nodes", "127.0.0.1:1"))
desk(address = given("desk", "127.0.0.1:1"))
"#
    )
}

/// Runs and checks the settings script of [`script`] as a sidecar does before it starts.
///
/// # Errors
/// The settings check rejects the script, or the script cannot be written to a temporary file.
pub fn load_settings(routes: usize, tenants: usize) -> Result<Site, CapacityError> {
    let directory = tempfile::tempdir().map_err(CapacityError::io(
        "create a temporary directory for the settings script",
    ))?;
    let file = directory.path().join("capacity.star");
    std::fs::write(&file, script(routes, tenants))
        .map_err(CapacityError::io("write the settings script"))?;
    Ok(load(&file, &Given::new())?)
}
