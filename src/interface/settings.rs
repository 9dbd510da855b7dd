//! What a router is built from: records that are checked by whoever reads them.

use super::{Nanos, ZoneId};

/// Everything a router is built from, besides the time and the seed.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// This instance's place in the fleet.
    pub position: FleetPosition,
    /// The route classes by index.
    pub route_classes: Vec<RouteClass>,
    /// What the attempts of a request may do.
    pub attempts: AttemptSettings,
    /// What pods bear.
    pub pods: PodSettings,
    /// How a build on trial is kept within its cap.
    pub exposure: ExposureSettings,
    /// How releases are voted on.
    pub votes: VoteSettings,
    /// How the endpoint list comes.
    pub endpoint_list: EndpointListSettings,
}

/// What a repeat of a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Idempotency {
    /// A repeat does no harm anywhere.
    #[cfg_attr(feature = "serde", serde(rename = "Repeatable"))]
    Idempotent,
    /// A repeat with the same idempotency key is dropped, within a scope and a time.
    #[cfg_attr(feature = "serde", serde(rename = "Tagged"))]
    Keyed,
    /// A repeat does the work again.
    #[cfg_attr(feature = "serde", serde(rename = "Mutating"))]
    NonIdempotent,
}

/// The pods that drop a repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum DedupScope {
    /// All pods.
    All,
    /// Those of the zone where it ran.
    Zone,
    /// Those of the cell where it ran.
    Cell,
}

/// What requests of one kind need and bear.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct RouteClass {
    /// What a repeat does.
    #[cfg_attr(feature = "serde", serde(rename = "kind"))]
    pub idempotency: Idempotency,
    /// Which pods drop a repeat of a keyed request.
    #[cfg_attr(feature = "serde", serde(rename = "scope"))]
    pub dedup_scope: DedupScope,
    /// How long, from the first attempt that may have run, repeats of a keyed request are dropped.
    #[cfg_attr(feature = "serde", serde(rename = "repeat_window"))]
    pub dedup_window: Nanos,
    /// The latency within which an answer earns the whole priority weight.
    #[cfg_attr(feature = "serde", serde(rename = "target_latency"))]
    pub latency_objective: Nanos,
    /// How long clients wait.
    pub client_timeout: Nanos,
    /// What an answer is worth against those of other classes.
    #[cfg_attr(feature = "serde", serde(rename = "benefit"))]
    pub priority_weight: f64,
    /// Share of the priority weight that an answer past the latency objective still earns.
    #[cfg_attr(feature = "serde", serde(rename = "late_benefit"))]
    pub late_weight: f64,
    /// Answers are streams.
    pub stream: bool,
}

/// An instance's place in the fleet.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct FleetPosition {
    /// Its number, from 0.
    pub rank: usize,
    /// How many instances there are.
    pub instances: usize,
    /// The zone it runs in.
    pub zone: ZoneId,
}

/// What the attempts of a request may do.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct AttemptSettings {
    /// Attempts of one request, at most.
    #[cfg_attr(feature = "serde", serde(rename = "max_forwards"))]
    pub max_attempts: u32,
    /// Two attempts of one request may be in flight at once.
    #[cfg_attr(feature = "serde", serde(rename = "copies"))]
    pub hedging: bool,
    /// An attempt may be cancelled.
    pub may_cancel: bool,
    /// Longest retry-after advice that a client honours; 0 where none is passed on.
    #[cfg_attr(feature = "serde", serde(rename = "max_come_back"))]
    pub max_retry_after: Nanos,
    /// Points lost when every attempt crosses zones once.
    #[cfg_attr(feature = "serde", serde(rename = "cross_zone_price"))]
    pub cross_zone_cost: f64,
}

/// What pods bear.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct PodSettings {
    /// How long after it began to drain a pod may still be sent to.
    pub drain_grace: Nanos,
    /// Share of its capacity that a pod has at its start, at least.
    #[cfg_attr(feature = "serde", serde(rename = "cold_share"))]
    pub initial_capacity: f64,
    /// How long a pod needs from its start to its whole capacity.
    pub warm_up: Nanos,
    /// The multiple of its capacity that makes a pod fail.
    #[cfg_attr(feature = "serde", serde(rename = "fall_multiple"))]
    pub overload_multiple: f64,
    /// Over which time that is counted.
    #[cfg_attr(feature = "serde", serde(rename = "fall_window"))]
    pub overload_window: Nanos,
    /// Pods answer health checks.
    #[cfg_attr(feature = "serde", serde(rename = "may_probe"))]
    pub health_checks: bool,
}

/// How a build on trial is kept within its cap.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ExposureSettings {
    /// Over which time attempts and requests are counted.
    pub window: Nanos,
    /// Attempts in a window that no cap counts.
    #[cfg_attr(feature = "serde", serde(rename = "free"))]
    pub free_attempts: f64,
    /// The cap holds for each route class, not for all together.
    #[cfg_attr(feature = "serde", serde(rename = "per_group"))]
    pub per_class: bool,
    /// Stages below this one take idempotent requests only.
    #[cfg_attr(feature = "serde", serde(rename = "guarded_stages"))]
    pub idempotent_only_stages: usize,
    /// A key that the newest build answered may not go to an earlier one.
    #[cfg_attr(feature = "serde", serde(rename = "one_way"))]
    pub sticky_keys: bool,
    /// The earlier build's pods stay until the release, so that they could carry all requests.
    #[cfg_attr(feature = "serde", serde(rename = "beside"))]
    pub blue_green: bool,
    /// The cap of each stage, from 0.
    pub caps: Vec<f64>,
}

/// What moves a release from stage to stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum ReleaseControl {
    /// One vote moves a stage.
    #[cfg_attr(feature = "serde", serde(rename = "Any"))]
    AnyVote,
    /// A stated number of votes must be in force for a move.
    #[cfg_attr(feature = "serde", serde(rename = "Count"))]
    Quorum,
    /// Stages move by the clock unless held.
    #[cfg_attr(feature = "serde", serde(rename = "Clock"))]
    Timed,
}

/// How releases are voted on.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct VoteSettings {
    /// What moves a release.
    pub control: ReleaseControl,
    /// How long a vote is in force.
    #[cfg_attr(feature = "serde", serde(rename = "life"))]
    pub ttl: Nanos,
    /// How long an answer to a vote may take.
    #[cfg_attr(feature = "serde", serde(rename = "call_time_out"))]
    pub call_timeout: Nanos,
    /// Votes to advance that a move needs where they are counted; 0 where that is not told.
    #[cfg_attr(feature = "serde", serde(default))]
    #[cfg_attr(feature = "serde", serde(rename = "on_needs"))]
    pub advance_quorum: usize,
    /// Votes to roll back that a move needs.
    #[cfg_attr(feature = "serde", serde(rename = "back_needs"))]
    pub rollback_quorum: usize,
    /// Calls a second that the control plane takes from all instances together.
    #[cfg_attr(feature = "serde", serde(rename = "calls_per_s"))]
    pub calls_per_second: f64,
    /// How long a stage lasts under a clock.
    #[cfg_attr(feature = "serde", serde(rename = "step"))]
    pub stage_duration: Nanos,
}

/// How the endpoint list comes.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct EndpointListSettings {
    /// The list comes only when asked for.
    #[cfg_attr(feature = "serde", serde(rename = "must_ask"))]
    pub must_subscribe: bool,
    /// The longest time between two polls.
    #[cfg_attr(feature = "serde", serde(rename = "ask_within"))]
    pub max_subscribe_interval: Nanos,
}
