//! What an engine is told, as data: for those that look on, and to tell it again.

use crate::engine::{Asked, Effect};
use havenplank::interface::*;
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use havenplank_settings::Site;
use serde::{Deserialize, Serialize};

/// What an engine and its readers are told before it starts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Terms {
    pub name: String,
    pub place: FleetPosition,
    pub zones: Vec<String>,
    pub machines: Vec<String>,
    #[serde(rename = "customers")]
    pub tenants: Vec<String>,
    pub groups: Vec<(String, RouteClass)>,
    pub forwards: AttemptSettings,
    pub pods: PodSettings,
    pub exposure: ExposureSettings,
    pub votes: VoteSettings,
    pub list: EndpointListSettings,
    /// Whether a pod's index goes to another once it is gone.
    #[serde(default = "yes")]
    pub reuse: bool,
}

fn yes() -> bool {
    true
}

impl From<&Site> for Terms {
    fn from(site: &Site) -> Terms {
        Terms {
            name: site.name.clone(),
            place: site.place.clone(),
            zones: site.zones.clone(),
            machines: site.machines.clone(),
            tenants: site.tenants.clone(),
            groups: site
                .groups
                .iter()
                .map(|group| (group.name.clone(), group.rules))
                .collect(),
            forwards: site.forwards.clone(),
            pods: site.pods.clone(),
            exposure: site.exposure.clone(),
            votes: site.votes.clone(),
            list: site.list.clone(),
            reuse: true,
        }
    }
}

/// One call on an engine, with what it said where it says something.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    Begin,
    IncomingRequest {
        hit: RequestId,
        asked: Asked,
    },
    /// The hit that comes next, as this id, was taken elsewhere, and forwarded so.
    Resumed {
        hit: RequestId,
        past: Vec<PriorAttempt>,
    },
    MayGo {
        hit: RequestId,
        nth: u32,
        may: bool,
    },
    AttemptEnd {
        hit: RequestId,
        nth: u32,
        end: AttemptEnd,
        took: Nanos,
        load: Option<LoadReport>,
        passed: bool,
    },
    Left {
        hit: RequestId,
    },
    /// `given`: the index of each pod, `None` where none was left for it.
    List {
        whole: bool,
        pods: Vec<ListedEndpoint>,
        given: Vec<Option<PodId>>,
    },
    ListFailed,
    News(Stage),
    Voted {
        vote: u64,
        news: VoteReply,
    },
    Probed {
        probe: u64,
        end: HealthCheckResult,
    },
    Tally(Tally),
    Flagged {
        pod: PodId,
        group: RouteClassId,
        ago: Nanos,
    },
    Wake(u64),
}

/// Looks on at an engine. It is called in the middle of decisions, so it must not wait for anything. Effects
/// are seen as they are taken, which is in the order left, but maybe after the next call.
pub trait Witness {
    fn told(&mut self, now: Nanos, told: Told);
    fn did(&mut self, now: Nanos, effect: &Effect);
}
