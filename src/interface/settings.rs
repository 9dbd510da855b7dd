//! The settings of a router. The code that reads them checks their values; the router does not.

use super::{Nanos, ZoneId};

/// The settings of a router. Besides them it needs the current time and a seed.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// The position of this instance in the fleet.
    pub position: FleetPosition,
    /// The route classes, by index.
    pub route_classes: Vec<RouteClass>,
    /// The limits on the attempts of a request.
    pub attempts: AttemptSettings,
    /// What pods can handle.
    pub pods: PodSettings,
    /// How the exposure of a build on trial is limited.
    pub exposure: ExposureSettings,
    /// How this instance votes on releases.
    pub votes: VoteSettings,
    /// How the endpoint list is obtained.
    pub endpoint_list: EndpointListSettings,
}

/// What happens when a request is sent a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Idempotency {
    /// A repeat does no harm at any pod.
    #[cfg_attr(feature = "serde", serde(rename = "Repeatable"))]
    Idempotent,
    /// A pod drops a repeat with the same idempotency key, within a scope and a time window.
    #[cfg_attr(feature = "serde", serde(rename = "Tagged"))]
    Keyed,
    /// A repeat has its effect again.
    #[cfg_attr(feature = "serde", serde(rename = "Mutating"))]
    NonIdempotent,
}

/// The pods that drop a repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum DedupScope {
    /// All pods.
    All,
    /// The pods of the zone where the request ran.
    Zone,
    /// The pods of the cell where the request ran.
    Cell,
}

/// The rules for the requests of one route class.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct RouteClass {
    /// What happens when a request is sent a second time.
    #[cfg_attr(feature = "serde", serde(rename = "kind"))]
    pub idempotency: Idempotency,
    /// Which pods drop a repeat of a keyed request.
    #[cfg_attr(feature = "serde", serde(rename = "scope"))]
    pub dedup_scope: DedupScope,
    /// For how long repeats of a keyed request are dropped, from the first attempt that may have run.
    #[cfg_attr(feature = "serde", serde(rename = "repeat_window"))]
    pub dedup_window: Nanos,
    /// The latency up to which an answer has its full value, the priority weight.
    #[cfg_attr(feature = "serde", serde(rename = "target_latency"))]
    pub latency_objective: Nanos,
    /// How long clients wait for an answer.
    pub client_timeout: Nanos,
    /// The value of an answer within the latency objective, relative to the answers of other classes.
    #[cfg_attr(feature = "serde", serde(rename = "benefit"))]
    pub priority_weight: f64,
    /// The value of an answer after the latency objective, as a fraction of the priority weight.
    #[cfg_attr(feature = "serde", serde(rename = "late_benefit"))]
    pub late_weight: f64,
    /// Answers are streamed.
    pub stream: bool,
}

/// The position of an instance, which is one sidecar, in the fleet.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct FleetPosition {
    /// The number of this instance, from 0.
    pub rank: usize,
    /// The number of instances.
    pub instances: usize,
    /// The zone where this instance runs.
    pub zone: ZoneId,
}

/// The limits on the attempts of a request.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct AttemptSettings {
    /// The greatest number of attempts that one request may have.
    #[cfg_attr(feature = "serde", serde(rename = "max_forwards"))]
    pub max_attempts: u32,
    /// Two attempts of one request may be in flight at once.
    #[cfg_attr(feature = "serde", serde(rename = "copies"))]
    pub hedging: bool,
    /// The router may cancel attempts.
    pub may_cancel: bool,
    /// The longest retry-after advice that clients follow; 0 where no advice reaches them.
    #[cfg_attr(feature = "serde", serde(rename = "max_come_back"))]
    pub max_retry_after: Nanos,
    /// The cost of cross-zone traffic when every attempt crosses zones once; 0 where such traffic is free. The greater
    /// the cost, the more the router prefers pods of its own zone.
    #[cfg_attr(feature = "serde", serde(rename = "cross_zone_price"))]
    pub cross_zone_cost: f64,
}

/// What pods can handle.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct PodSettings {
    /// How long after the start of its drain a pod may still be sent requests.
    pub drain_grace: Nanos,
    /// The share of its full capacity that a pod has at least when it starts.
    #[cfg_attr(feature = "serde", serde(rename = "cold_share"))]
    pub initial_capacity: f64,
    /// The time from a pod's start until it has its full capacity.
    pub warm_up: Nanos,
    /// The load at which a pod fails, as a multiple of its capacity.
    #[cfg_attr(feature = "serde", serde(rename = "fall_multiple"))]
    pub overload_multiple: f64,
    /// The time window over which the load for `overload_multiple` is counted.
    #[cfg_attr(feature = "serde", serde(rename = "fall_window"))]
    pub overload_window: Nanos,
    /// Pods answer health checks.
    #[cfg_attr(feature = "serde", serde(rename = "may_probe"))]
    pub health_checks: bool,
}

/// How the exposure of a build on trial is limited.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ExposureSettings {
    /// The time window over which attempts and requests are counted.
    pub window: Nanos,
    /// The attempts in a window that are allowed in addition to the cap.
    #[cfg_attr(feature = "serde", serde(rename = "free"))]
    pub free_attempts: f64,
    /// The cap applies to each route class separately, not to all classes together.
    #[cfg_attr(feature = "serde", serde(rename = "per_group"))]
    pub per_class: bool,
    /// In stages with a number below this one, a build takes idempotent requests only.
    #[cfg_attr(feature = "serde", serde(rename = "guarded_stages"))]
    pub idempotent_only_stages: usize,
    /// A request with a key that the newest build answered before may not go to an earlier build.
    #[cfg_attr(feature = "serde", serde(rename = "one_way"))]
    pub sticky_keys: bool,
    /// The pods of the earlier build run until the release is complete, so that they can carry all requests.
    #[cfg_attr(feature = "serde", serde(rename = "beside"))]
    pub blue_green: bool,
    /// The cap of each stage, from stage 0 on, each from 0 to 1.
    pub caps: Vec<f64>,
}

/// What moves a release from stage to stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum ReleaseControl {
    /// One vote is enough to move a release to another stage.
    #[cfg_attr(feature = "serde", serde(rename = "Any"))]
    AnyVote,
    /// A release moves to another stage once the required number of votes are in force.
    #[cfg_attr(feature = "serde", serde(rename = "Count"))]
    Quorum,
    /// A release moves to the next stage after a fixed time, unless a vote holds the stage.
    #[cfg_attr(feature = "serde", serde(rename = "Clock"))]
    Timed,
}

/// How this instance votes on releases.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct VoteSettings {
    /// What moves a release from stage to stage.
    pub control: ReleaseControl,
    /// How long a vote is in force.
    #[cfg_attr(feature = "serde", serde(rename = "life"))]
    pub ttl: Nanos,
    /// How long the reply to a vote may take.
    #[cfg_attr(feature = "serde", serde(rename = "call_time_out"))]
    pub call_timeout: Nanos,
    /// The votes to advance that the next stage needs under [`ReleaseControl::Quorum`]; 0 where the number is unknown.
    #[cfg_attr(feature = "serde", serde(default))]
    #[cfg_attr(feature = "serde", serde(rename = "on_needs"))]
    pub advance_quorum: usize,
    /// The votes to roll back that a rollback needs.
    #[cfg_attr(feature = "serde", serde(rename = "back_needs"))]
    pub rollback_quorum: usize,
    /// The calls per second that the control plane accepts from all instances together.
    #[cfg_attr(feature = "serde", serde(rename = "calls_per_s"))]
    pub calls_per_second: f64,
    /// The duration of a stage under [`ReleaseControl::Timed`].
    #[cfg_attr(feature = "serde", serde(rename = "step"))]
    pub stage_duration: Nanos,
}

/// How the endpoint list is obtained.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct EndpointListSettings {
    /// The list is sent only to instances that have requested a watch on it.
    #[cfg_attr(feature = "serde", serde(rename = "must_ask"))]
    pub must_watch: bool,
    /// The longest delay before a failed watch is requested again.
    #[cfg_attr(feature = "serde", serde(rename = "ask_within"))]
    pub max_watch_retry_delay: Nanos,
}
