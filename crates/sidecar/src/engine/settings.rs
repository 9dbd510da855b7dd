//! What an engine is built from; stored in the head of each trace.

use havenplank::interface::{
    AttemptSettings, EndpointListSettings, ExposureSettings, FleetPosition, PodSettings,
    RouteClass, VoteSettings,
};
use havenplank_settings::Site;
use serde::{Deserialize, Serialize};

/// The settings of one engine, and the names that its traces are read by. The serialised names are those of
/// stored traces.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineSettings {
    /// The sidecar's name.
    pub name: String,
    /// Its place in the fleet.
    #[serde(rename = "place")]
    pub position: FleetPosition,
    /// Zones by their index in the decisions.
    pub zones: Vec<String>,
    /// Kinds of machine by their index in the decisions.
    pub machines: Vec<String>,
    /// Tenants by their index in the decisions.
    #[serde(rename = "customers")]
    pub tenants: Vec<String>,
    /// Route classes by their index in the decisions, each with its name.
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
    /// Rules for following the endpoint list.
    #[serde(rename = "list")]
    pub endpoint_list: EndpointListSettings,
    /// Whether a pod's index goes to another pod once it is gone. Off for a recorded host that kept each name its
    /// index for good.
    #[serde(rename = "reuse", default = "reuses_pod_ids")]
    pub reuse_pod_ids: bool,
}

fn reuses_pod_ids() -> bool {
    true
}

impl From<&Site> for EngineSettings {
    fn from(site: &Site) -> EngineSettings {
        let route_class =
            |group: &havenplank_settings::RouteClassSettings| (group.name.clone(), group.rules);
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
            endpoint_list: site.list.clone(),
            reuse_pod_ids: true,
        }
    }
}
