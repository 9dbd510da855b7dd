//! Converts the record function calls of a settings script into a [`Site`], with one module per subject.

mod calls;
mod endpoints;
mod fields;
mod listener;
mod membership;
mod pods;
mod release;
mod route_class;
mod sidecar;
mod trace;

pub use self::sidecar::DISTRIBUTOR_ZONE;

use self::calls::Calls;
use self::membership::PeerSettings;
use crate::reader::{Problem, RecordCall};
use crate::site::{BackupMode, ListenerSettings, RouteClassSettings, Site};
use std::collections::HashSet;

/// Returns the site that the calls describe. Each missing or invalid value is replaced by a placeholder and adds a
/// problem to `problems`.
pub(crate) fn read_site(
    file: &str,
    record_calls: &[RecordCall],
    problems: &mut Vec<Problem>,
) -> Site {
    let mut calls = Calls::new(file, record_calls, problems);
    calls.check_kinds();
    let sidecar = calls.read("sidecar", sidecar::read);
    let headers = calls.read("headers", listener::read_headers);
    let limits = calls.read("limits", listener::read_limits);
    let pods = calls.read("pods", pods::read);
    let has_classes = calls.has("configuration") || calls.has("path_group");
    let exposure = calls.read("exposure", |reader| {
        release::read_exposure(reader, has_classes)
    });
    let instances = sidecar.position.instances;
    let votes = calls.read("votes", |reader| release::read_votes(reader, instances));
    let discovery = calls.read("nodes", endpoints::read_discovery);
    let control_plane = calls.read("desk", endpoints::read_endpoint);
    let trace = calls.read("trace", trace::read);
    let peers = membership::read(&mut calls);
    let route_classes = read_route_classes(&mut calls, &peers);
    Site {
        name: sidecar.name,
        position: sidecar.position,
        zones: sidecar.zones,
        machines: sidecar.machines,
        route_classes,
        headers,
        tenants: sidecar.tenants,
        attempts: limits.attempts,
        listener: ListenerSettings {
            listen: sidecar.listen,
            admin: sidecar.admin,
            ..limits.listener
        },
        pods: pods.settings,
        upstream: pods.upstream,
        exposure,
        votes,
        endpoint_list: discovery.list,
        discovery: discovery.endpoint,
        cached_list: discovery.cached_list,
        control_plane,
        trace,
        membership: peers.membership,
        takeover: peers.takeover,
        configuration: peers.configuration,
    }
}

fn read_route_classes(calls: &mut Calls, peers: &PeerSettings) -> Vec<RouteClassSettings> {
    let mut names = HashSet::new();
    calls.read_each("path_group", |reader| {
        let class = route_class::read(reader);
        if !names.insert(class.name.clone()) {
            let found = format!("found {:?} again", class.name);
            reader.report("name", found, "a unique name");
        }
        if class.backup != BackupMode::Off && peers.takeover.is_none() {
            let expected = "takeover(...), as no peer backs up requests without it";
            reader.report("guard", "no call of takeover(...)", expected);
        }
        class
    })
}
