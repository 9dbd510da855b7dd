//! Sample pods and settings of any size, alike in every run.

use crate::error::CapacityError;
use havenplank::interface::{Build, Nanos, PodState};
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use havenplank_settings::{load, Given, Site};
use std::net::{Ipv4Addr, SocketAddr};

/// Zones of the sample fleet.
pub const ZONES: usize = 4;
/// Services of the sample fleet.
pub const SERVICES: usize = 400;
/// Sidecars of the sample fleet.
pub const SIDECARS: usize = 1_600;
/// The pods of one service in the mean.
pub const PODS_PER_SERVICE: usize = 52;
const FIRST_INCARNATION: u64 = 1_764_633_600_000_000_000;
const FIRST_ADDRESS: u32 = 0x0a00_0000;
const PORT: u16 = 8_080;
const PODS_OF_CELL: usize = 4;
const POD_SIZE: f64 = 4.0;

/// A pod that has been running since long ago.
pub fn pod(number: usize) -> ListedEndpoint {
    pod_of_build(number, 1, 0)
}

/// A pod of a build that started `age` ago, 0 for long ago.
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
        cell: (number / PODS_OF_CELL) as i64,
        size: POD_SIZE,
    }
}

/// Returns so many pods that have been running since long ago.
pub fn pods(count: usize) -> Vec<ListedEndpoint> {
    (0..count).map(pod).collect()
}

/// Returns a path that the route of a number takes.
pub fn route_path(number: usize) -> String {
    format!("/service-{}/route-{number}/item", number % SERVICES)
}

/// Returns the name of the tenant of a number.
pub fn tenant(number: usize) -> String {
    format!("tenant-{number}")
}

/// A settings script with so many path groups and tenants, both made by loops of the script.
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

/// Runs and checks such a script as a sidecar does before it starts.
///
/// # Errors
/// What the check of the settings refuses, and files that cannot be written.
pub fn load_settings(routes: usize, tenants: usize) -> Result<Site, CapacityError> {
    let folder = tempfile::tempdir().map_err(CapacityError::io("folder for settings"))?;
    let file = folder.path().join("capacity.star");
    std::fs::write(&file, script(routes, tenants)).map_err(CapacityError::io("settings file"))?;
    Ok(load(&file, &Given::new())?)
}
