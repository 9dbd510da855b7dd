//! What an engine is told, as data: for those that look on, and to tell it again.

use crate::engine::{Effect, RequestAttributes};
use havenplank::interface::*;
use havenplank_line_protocol::nodes::Listed;
use havenplank_settings::Site;
use serde::{Deserialize, Serialize};

/// What an engine and its readers are told before it starts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineSettings {
    pub name: String,
    #[serde(rename = "place")]
    pub position: FleetPosition,
    pub zones: Vec<String>,
    pub machines: Vec<String>,
    #[serde(rename = "customers")]
    pub tenants: Vec<String>,
    #[serde(rename = "groups")]
    pub route_classes: Vec<(String, RouteClass)>,
    #[serde(rename = "forwards")]
    pub attempts: AttemptSettings,
    pub pods: PodSettings,
    pub exposure: ExposureSettings,
    pub votes: VoteSettings,
    #[serde(rename = "list")]
    pub endpoint_list: EndpointListSettings,
    /// Whether a pod's index goes to another once it is gone.
    #[serde(default = "yes")]
    #[serde(rename = "reuse")]
    pub reuse_pod_ids: bool,
}

fn yes() -> bool {
    true
}

impl From<&Site> for EngineSettings {
    fn from(site: &Site) -> EngineSettings {
        EngineSettings {
            name: site.name.clone(),
            position: site.place.clone(),
            zones: site.zones.clone(),
            machines: site.machines.clone(),
            tenants: site.tenants.clone(),
            route_classes: site
                .groups
                .iter()
                .map(|group| (group.name.clone(), group.rules))
                .collect(),
            attempts: site.forwards.clone(),
            pods: site.pods.clone(),
            exposure: site.exposure.clone(),
            votes: site.votes.clone(),
            endpoint_list: site.list.clone(),
            reuse_pod_ids: true,
        }
    }
}

/// One call on an engine, with what it said where it says something.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Started,
    RequestArrived {
        request: RequestId,
        attributes: RequestAttributes,
    },
    /// The hit that comes next, as this id, was taken elsewhere, and forwarded so.
    RequestResumed {
        request: RequestId,
        prior_attempts: Vec<PriorAttempt>,
    },
    SendPermission {
        request: RequestId,
        attempt: u32,
        allowed: bool,
    },
    AttemptEnded {
        request: RequestId,
        attempt: u32,
        end: AttemptEnd,
        took: Nanos,
        load: Option<LoadReport>,
        delivered: bool,
    },
    ClientLeft {
        request: RequestId,
    },
    /// `given`: the index of each pod, `None` where none was left for it.
    EndpointsListed {
        complete: bool,
        pods: Vec<Listed>,
        pod_ids: Vec<Option<PodId>>,
    },
    EndpointWatchFailed,
    StageChanged(Stage),
    VoteAnswered {
        vote: u64,
        reply: VoteReply,
    },
    HealthCheckEnded {
        check: u64,
        result: HealthCheckResult,
    },
    TallyReported(Tally),
    FaultReported {
        pod: PodId,
        route_class: RouteClassId,
        ago: Nanos,
    },
    TimerFired(u64),
}

/// Looks on at an engine. It is called in the middle of decisions, so it must not wait for anything. Effects
/// are seen as they are taken, which is in the order left, but maybe after the next call.
pub trait Observer {
    fn told(&mut self, now: Nanos, told: Event);
    fn did(&mut self, now: Nanos, effect: &Effect);
}
