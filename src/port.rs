//! The interface of the decision module: what a host tells it and what it asks of a host.
//!
//! A host builds a [`Logic`] from the small settings records below, calls its methods (`hit`, `resume`, `list`,
//! `list_failed`, `news`, `tally`, `flagged`) and carries out what comes back through [`Host`]. Whatever
//! takes a [`Then`] is kept by the host and handed its result once, so the state of a hit lives in its
//! closures.

use crate::logic::Logic;

/// Whole nanoseconds, as a point on the host's clock or a span.
pub type Ns = u64;
pub type HitId = u64;
/// Small indices given out at the door; a pod keeps its index while this instance runs.
pub type PodId = usize;
pub type GroupId = usize;
pub type ZoneId = usize;
pub type Build = u32;

/// What to do with the result of a step.
pub type Then<R> = Box<dyn FnOnce(&mut Logic, &mut dyn Host, R)>;

/// The effects a host carries out. Each acts at the host's present clock time, in the order called.
pub trait Host {
    fn now(&self) -> Ns;
    /// Whether the hit still wants its final answer; false once it was answered or its client left.
    fn open(&self, hit: HitId) -> bool;
    fn forward(&mut self, hit: HitId, pod: PodId, time_out: Ns, then: Then<Outcome>);
    /// Stops waiting for the given forward of a hit, counted from 0; its outcome still comes.
    fn cancel(&mut self, hit: HitId, forward: u32);
    /// Final answer: a retry is harmless. `come_back` 0 gives the client no advice.
    fn bounce(&mut self, hit: HitId, come_back: Ns);
    /// Final answer that promises nothing.
    fn error(&mut self, hit: HitId);
    fn vote(&mut self, build: Build, stage: usize, voice: Voice, then: Then<StageNews>);
    fn probe(&mut self, pod: PodId, then: Then<ProbeEnd>);
    fn ask_list(&mut self);
    fn watch_list(&mut self, on: bool);
    fn wake(&mut self, after: Ns, then: Then<()>);
    fn log(&mut self, line: &str);
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Kind {
    Repeatable,
    Tagged,
    Mutating,
}

/// The pods that drop a repeat of a tagged hit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Scope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct PathGroup {
    pub kind: Kind,
    pub scope: Scope,
    /// How long, from the first forward that may have run, repeats of a tagged hit are dropped.
    pub repeat_window: Ns,
    pub target_latency: Ns,
    pub client_timeout: Ns,
    pub benefit: f64,
    /// Share of the benefit that an answer past the target latency still earns.
    pub late_benefit: f64,
    pub stream: bool,
}

#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Place {
    pub rank: usize,
    pub instances: usize,
    pub zone: ZoneId,
}

#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ForwardRules {
    pub max_forwards: u32,
    /// Two forwards of one hit may be out at once.
    pub copies: bool,
    pub may_cancel: bool,
    /// Longest advice to come back that a client honours; 0 where none is passed on.
    pub max_come_back: Ns,
    /// Points lost when every forward crosses zones once.
    pub cross_zone_price: f64,
}

#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct PodRules {
    pub drain_grace: Ns,
    /// Share of its capacity that a pod has at its start, at least.
    pub cold_share: f64,
    pub warm_up: Ns,
    pub fall_multiple: f64,
    pub fall_window: Ns,
    pub may_probe: bool,
}

#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ExposureRules {
    pub window: Ns,
    pub free: f64,
    pub per_group: bool,
    /// Stages below this one take repeatable hits only.
    pub guarded_stages: usize,
    pub one_way: bool,
    /// The earlier build's pods stay until the release, so that they could carry all hits.
    pub beside: bool,
    /// The cap of each stage, from 0.
    pub caps: Vec<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Control {
    /// One voice moves a stage.
    Any,
    /// A stated number of instances must stand for a move.
    Count,
    /// Stages move by the clock unless held.
    Clock,
}

#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct VoteRules {
    pub control: Control,
    pub life: Ns,
    pub call_time_out: Ns,
    /// Instances that must stand for on where they are counted; 0 where that is not told.
    #[cfg_attr(feature = "serde", serde(default))]
    pub on_needs: usize,
    /// Instances that must stand for back.
    pub back_needs: usize,
    /// Calls a second that the platform takes from all instances together.
    pub calls_per_s: f64,
    /// How long a stage lasts under a clock.
    pub step: Ns,
}

#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ListRules {
    /// The list comes only when asked for.
    pub must_ask: bool,
    pub ask_within: Ns,
}

#[derive(Clone, Debug)]
pub struct Hit {
    pub id: HitId,
    pub group: GroupId,
    pub customer: Option<usize>,
    /// A hash of the hit's key, 0 where it has none.
    pub key: u64,
    pub left: Ns,
    pub cost_hint: Option<Ns>,
    pub repeat: bool,
}

/// A forward that another instance sent for a hit before this one went on with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Earlier {
    /// `None` for one that is not listed here.
    pub pod: Option<PodId>,
    pub ago: Ns,
    pub may_have_run: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    Delivered,
    Error,
    Full,
    TimeOut,
    NoConnection,
    Reset,
    Cancelled,
    NotSent,
}

impl Ended {
    /// Whether this proves that the forward never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Ended::Full | Ended::NoConnection | Ended::NotSent)
    }
}

/// What a pod said of its load; a site reports some of these or none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub in_flight: Option<f64>,
    pub queued: Option<f64>,
    pub busy: Option<f64>,
    pub latency_ms: Option<f64>,
    pub delivered_per_s: Option<f64>,
    pub failed_per_s: Option<f64>,
}

#[derive(Clone, Debug)]
pub struct Outcome {
    pub end: Ended,
    pub took: Ns,
    /// The hit has its final answer.
    pub over: bool,
    pub load: Option<Load>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct ProbeEnd {
    pub end: Ended,
    pub took: Ns,
    pub load: Option<Load>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PodState {
    Running,
    Draining,
    Gone,
}

/// FNV-1a, so that a key or a name is the same small value in every process; never 0, which stands for none.
pub fn mark_of(text: &[u8]) -> u64 {
    let mixed = text.iter().fold(0xcbf2_9ce4_8422_2325u64, |h, b| {
        (h ^ *b as u64).wrapping_mul(0x0100_0000_01b3)
    });
    mixed.max(1)
}

#[derive(Clone, Copy, Debug)]
pub struct PodEntry {
    pub pod: PodId,
    /// Its name's [`mark_of`]: the order of pods by it is the same at every instance.
    pub mark: u64,
    pub state: PodState,
    pub build: Build,
    /// 0 for long ago.
    pub started: Ns,
    pub zone: ZoneId,
    pub machine: usize,
    pub cell: i64,
    pub size: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Voice {
    None,
    On,
    Hold,
    Back,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Phase {
    Trial,
    GoingBack,
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
    pub age: Ns,
}

/// How the platform took a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    Counted,
    /// Not the present build or stage.
    Moot,
    /// It may count all the same.
    Unknown,
    Refused,
}

/// The answer to a vote; the stage comes with it where the platform told it.
#[derive(Clone, Debug, PartialEq)]
pub struct StageNews {
    pub heard: Heard,
    pub stage: Option<Stage>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Tally {
    pub build: Build,
    pub group: GroupId,
    pub count: u64,
    pub failed: u64,
    pub mean_latency: Ns,
    pub age: Ns,
}
