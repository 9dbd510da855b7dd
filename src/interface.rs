//! The interface of the decision module: what a host tells it and what it asks of a host.
//!
//! A host builds a [`Router`] from the small settings records below, calls its methods (`hit`, `resume`, `list`,
//! `list_failed`, `news`, `tally`, `flagged`) and carries out what comes back through [`Host`]. Whatever
//! takes a [`Callback`] is kept by the host and handed its result once, so the state of a hit lives in its
//! closures.

use crate::logic::Router;

/// Whole nanoseconds, as a point on the host's clock or a span.
pub type Nanos = u64;
pub type RequestId = u64;
/// Small indices given out at the door; a pod keeps its index while this instance runs.
pub type PodId = usize;
pub type RouteClassId = usize;
pub type ZoneId = usize;
pub type Build = u32;

/// What to do with the result of a step.
pub type Callback<R> = Box<dyn FnOnce(&mut Router, &mut dyn Host, R)>;

/// The effects a host carries out. Each acts at the host's present clock time, in the order called.
pub trait Host {
    fn now(&self) -> Nanos;
    /// Whether the hit still wants its final answer; false once it was answered or its client left.
    fn is_open(&self, request: RequestId) -> bool;
    fn send_attempt(
        &mut self,
        request: RequestId,
        pod: PodId,
        timeout: Nanos,
        on_done: Callback<AttemptOutcome>,
    );
    /// Stops waiting for the given forward of a hit, counted from 0; its outcome still comes.
    fn cancel_attempt(&mut self, request: RequestId, attempt: u32);
    /// Final answer: a retry is harmless. `retry_after` 0 gives the client no advice.
    fn reject(&mut self, request: RequestId, retry_after: Nanos);
    /// Final answer that promises nothing.
    fn fail(&mut self, request: RequestId);
    fn cast_vote(&mut self, build: Build, stage: usize, vote: Vote, on_done: Callback<VoteReply>);
    fn health_check(&mut self, pod: PodId, on_done: Callback<HealthCheckResult>);
    fn poll_endpoints(&mut self);
    fn watch_endpoints(&mut self, on: bool);
    fn set_timer(&mut self, after: Nanos, on_done: Callback<()>);
    fn log(&mut self, line: &str);
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Idempotency {
    #[cfg_attr(feature = "serde", serde(rename = "Repeatable"))]
    Idempotent,
    #[cfg_attr(feature = "serde", serde(rename = "Tagged"))]
    Keyed,
    #[cfg_attr(feature = "serde", serde(rename = "Mutating"))]
    NonIdempotent,
}

/// The pods that drop a repeat of a tagged hit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum DedupScope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct RouteClass {
    #[cfg_attr(feature = "serde", serde(rename = "kind"))]
    pub idempotency: Idempotency,
    #[cfg_attr(feature = "serde", serde(rename = "scope"))]
    pub dedup_scope: DedupScope,
    /// How long, from the first forward that may have run, repeats of a tagged hit are dropped.
    #[cfg_attr(feature = "serde", serde(rename = "repeat_window"))]
    pub dedup_window: Nanos,
    #[cfg_attr(feature = "serde", serde(rename = "target_latency"))]
    pub latency_objective: Nanos,
    pub client_timeout: Nanos,
    #[cfg_attr(feature = "serde", serde(rename = "benefit"))]
    pub priority_weight: f64,
    /// Share of the priority weight that an answer past the target latency still earns.
    #[cfg_attr(feature = "serde", serde(rename = "late_benefit"))]
    pub late_weight: f64,
    pub stream: bool,
}

#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct FleetPosition {
    pub rank: usize,
    pub instances: usize,
    pub zone: ZoneId,
}

#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct AttemptSettings {
    #[cfg_attr(feature = "serde", serde(rename = "max_forwards"))]
    pub max_attempts: u32,
    /// Two forwards of one hit may be out at once.
    #[cfg_attr(feature = "serde", serde(rename = "copies"))]
    pub hedging: bool,
    pub may_cancel: bool,
    /// Longest advice to come back that a client honours; 0 where none is passed on.
    #[cfg_attr(feature = "serde", serde(rename = "max_come_back"))]
    pub max_retry_after: Nanos,
    /// Points lost when every forward crosses zones once.
    #[cfg_attr(feature = "serde", serde(rename = "cross_zone_price"))]
    pub cross_zone_cost: f64,
}

#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct PodSettings {
    pub drain_grace: Nanos,
    /// Share of its capacity that a pod has at its start, at least.
    #[cfg_attr(feature = "serde", serde(rename = "cold_share"))]
    pub initial_capacity: f64,
    pub warm_up: Nanos,
    #[cfg_attr(feature = "serde", serde(rename = "fall_multiple"))]
    pub overload_multiple: f64,
    #[cfg_attr(feature = "serde", serde(rename = "fall_window"))]
    pub overload_window: Nanos,
    #[cfg_attr(feature = "serde", serde(rename = "may_probe"))]
    pub health_checks: bool,
}

#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ExposureSettings {
    pub window: Nanos,
    #[cfg_attr(feature = "serde", serde(rename = "free"))]
    pub free_attempts: f64,
    #[cfg_attr(feature = "serde", serde(rename = "per_group"))]
    pub per_class: bool,
    /// Stages below this one take repeatable hits only.
    #[cfg_attr(feature = "serde", serde(rename = "guarded_stages"))]
    pub idempotent_only_stages: usize,
    #[cfg_attr(feature = "serde", serde(rename = "one_way"))]
    pub sticky_keys: bool,
    /// The earlier build's pods stay until the release, so that they could carry all hits.
    #[cfg_attr(feature = "serde", serde(rename = "beside"))]
    pub blue_green: bool,
    /// The cap of each stage, from 0.
    pub caps: Vec<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum ReleaseControl {
    /// One voice moves a stage.
    #[cfg_attr(feature = "serde", serde(rename = "Any"))]
    AnyVote,
    /// A stated number of instances must stand for a move.
    #[cfg_attr(feature = "serde", serde(rename = "Count"))]
    Quorum,
    /// Stages move by the clock unless held.
    #[cfg_attr(feature = "serde", serde(rename = "Clock"))]
    Timed,
}

#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct VoteSettings {
    pub control: ReleaseControl,
    #[cfg_attr(feature = "serde", serde(rename = "life"))]
    pub ttl: Nanos,
    #[cfg_attr(feature = "serde", serde(rename = "call_time_out"))]
    pub call_timeout: Nanos,
    /// Instances that must stand for on where they are counted; 0 where that is not told.
    #[cfg_attr(feature = "serde", serde(default))]
    #[cfg_attr(feature = "serde", serde(rename = "on_needs"))]
    pub advance_quorum: usize,
    /// Instances that must stand for back.
    #[cfg_attr(feature = "serde", serde(rename = "back_needs"))]
    pub rollback_quorum: usize,
    /// Calls a second that the platform takes from all instances together.
    #[cfg_attr(feature = "serde", serde(rename = "calls_per_s"))]
    pub calls_per_second: f64,
    /// How long a stage lasts under a clock.
    #[cfg_attr(feature = "serde", serde(rename = "step"))]
    pub stage_duration: Nanos,
}

#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct EndpointListSettings {
    /// The list comes only when asked for.
    #[cfg_attr(feature = "serde", serde(rename = "must_ask"))]
    pub poll_only: bool,
    #[cfg_attr(feature = "serde", serde(rename = "ask_within"))]
    pub poll_interval: Nanos,
}

#[derive(Clone, Debug)]
pub struct IncomingRequest {
    pub id: RequestId,
    pub class: RouteClassId,
    pub tenant: Option<usize>,
    /// A hash of the hit's key, 0 where it has none.
    pub key: u64,
    pub remaining: Nanos,
    pub cost_hint: Option<Nanos>,
    pub is_retry: bool,
}

/// A forward that another instance sent for a hit before this one went on with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PriorAttempt {
    /// `None` for one that is not listed here.
    pub pod: Option<PodId>,
    pub ago: Nanos,
    pub may_have_run: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    Served,
    Failed,
    Rejected,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    NotSent,
}

impl AttemptEnd {
    /// Whether this proves that the forward never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            AttemptEnd::Rejected | AttemptEnd::ConnectFailed | AttemptEnd::NotSent
        )
    }
}

/// What a pod said of its load; a site reports some of these or none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    pub in_flight: Option<f64>,
    pub queued: Option<f64>,
    pub busy: Option<f64>,
    pub latency_ms: Option<f64>,
    pub delivered_per_s: Option<f64>,
    pub failed_per_s: Option<f64>,
}

#[derive(Clone, Debug)]
pub struct AttemptOutcome {
    pub end: AttemptEnd,
    pub took: Nanos,
    /// The hit has its final answer.
    pub over: bool,
    pub load: Option<LoadReport>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct HealthCheckResult {
    pub end: AttemptEnd,
    pub took: Nanos,
    pub load: Option<LoadReport>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PodState {
    Running,
    Draining,
    Gone,
}

/// FNV-1a, so that a key or a name is the same small value in every process; never 0, which stands for none.
pub fn stable_hash(text: &[u8]) -> u64 {
    let mixed = text.iter().fold(0xcbf2_9ce4_8422_2325u64, |h, b| {
        (h ^ *b as u64).wrapping_mul(0x0100_0000_01b3)
    });
    mixed.max(1)
}

#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    pub pod: PodId,
    /// Its name's [`stable_hash`]: the order of pods by it is the same at every instance.
    pub name_hash: u64,
    pub state: PodState,
    pub build: Build,
    /// 0 for long ago.
    pub started: Nanos,
    pub zone: ZoneId,
    pub machine: usize,
    pub cell: i64,
    pub size: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vote {
    None,
    Advance,
    Hold,
    RollBack,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Phase {
    Trial,
    #[cfg_attr(feature = "serde", serde(rename = "GoingBack"))]
    RollingBack,
    Released,
    Withdrawn,
}

#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Stage {
    pub build: Build,
    pub stage: usize,
    pub phase: Phase,
    pub cap: f64,
    /// Time since this state began.
    pub age: Nanos,
}

/// How the platform took a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteReceipt {
    Counted,
    /// Not the present build or stage.
    Stale,
    /// It may count all the same.
    Unknown,
    Rejected,
}

/// The answer to a vote; the stage comes with it where the platform told it.
#[derive(Clone, Debug, PartialEq)]
pub struct VoteReply {
    pub receipt: VoteReceipt,
    pub stage: Option<Stage>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Tally {
    pub build: Build,
    pub group: RouteClassId,
    pub count: u64,
    pub failed: u64,
    pub mean_latency: Nanos,
    pub age: Nanos,
}
