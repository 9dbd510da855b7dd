//! The settings of an engine, which are also stored in the head of each trace.

use havenplank::interface::{
    AttemptSettings, EndpointListSettings, ExposureSettings, FleetPosition, PodSettings,
    RouteClass, VoteSettings,
};
use havenplank_settings::Site;
use serde::{Deserialize, Serialize};

/// The settings of one engine, with the names that readers of its traces need. The serialised names are part of the
/// format of stored traces.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineSettings {
    /// The sidecar's name.
    pub name: String,
    /// The sidecar's position in the fleet.
    #[serde(rename = "place")]
    pub position: FleetPosition,
    /// The names of zones, in the order of their indices in decisions.
    pub zones: Vec<String>,
    /// The names of machine types, in the order of their indices in decisions.
    pub machines: Vec<String>,
    /// The names of tenants, in the order of their indices in decisions.
    #[serde(rename = "customers")]
    pub tenants: Vec<String>,
    /// Route classes with their names, in the order of their indices in decisions.
    #[serde(rename = "groups")]
    pub route_classes: Vec<(String, RouteClass)>,
    /// Rules for attempts: retries, hedging and their budget.
    #[serde(rename = "forwards")]
    pub attempts: AttemptSettings,
    /// Rules for pods: slow start, ejection and recovery.
    pub pods: PodSettings,
    /// Rules for the exposure of a build on trial.
    pub exposure: ExposureSettings,
    /// Rules for votes on a build on trial.
    pub votes: VoteSettings,
    /// Rules for watching and polling the endpoint list.
    #[serde(rename = "list")]
    pub endpoint_list: EndpointListSettings,
    /// Whether the index of a pod that is gone is given to another pod. False for recordings of a host that never
    /// reused an index.
    #[serde(rename = "reuse", default = "reuses_pod_ids")]
    pub reuse_pod_ids: bool,
}

fn reuses_pod_ids() -> bool {
    true
}

impl From<&Site> for EngineSettings {
    fn from(site: &Site) -> EngineSettings {
        let route_class =
            |class: &havenplank_settings::RouteClassSettings| (class.name.clone(), class.rules);
        EngineSettings {
            name: site.name.clone(),
            position: site.position.clone(),
            zones: site.zones.clone(),
            machines: site.machines.clone(),
            tenants: site.tenants.clone(),
            route_classes: site.route_classes.iter().map(route_class).collect(),
            attempts: site.attempts.clone(),
            pods: site.pods.clone(),
            exposure: site.exposure.clone(),
            votes: site.votes.clone(),
            endpoint_list: site.endpoint_list.clone(),
            reuse_pod_ids: true,
        }
    }
}
