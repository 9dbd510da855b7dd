//! Releases: the stage of the build on trial, and votes on it.

use super::{Build, Nanos, RouteClassId};

/// A vote on a build's stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vote {
    /// No opinion; withdraws an earlier vote.
    None,
    /// On to the next stage.
    Advance,
    /// Stay in this stage.
    Hold,
    /// Back to the earlier build.
    RollBack,
}

/// Where a release stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Phase {
    /// The build is on trial, under a cap.
    Trial,
    /// The build is being taken back.
    #[cfg_attr(feature = "serde", serde(rename = "GoingBack"))]
    RollingBack,
    /// The build passed.
    Released,
    /// The build was taken back.
    Withdrawn,
}

/// The stage of the newest build that the control plane announced.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Stage {
    /// The build.
    pub build: Build,
    /// The stage's number, from 0.
    pub stage: usize,
    /// Where the release stands.
    pub phase: Phase,
    /// The build's greatest share of the attempts, from 0 to 1.
    pub cap: f64,
    /// Time since this state began.
    pub age: Nanos,
}

/// How the control plane took a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteReceipt {
    /// It is in force.
    Counted,
    /// Not the present build or stage.
    Stale,
    /// It may count all the same.
    Unknown,
    /// It does not count.
    Rejected,
}

/// The answer to a vote; the stage comes with it where the control plane told it.
#[derive(Clone, Debug, PartialEq)]
pub struct VoteReply {
    /// How the vote was taken.
    pub receipt: VoteReceipt,
    /// The present stage.
    pub stage: Option<Stage>,
}

/// A sampled count of all instances' attempts to one build, from the control plane.
#[derive(Clone, Debug, PartialEq)]
pub struct Tally {
    /// The build.
    pub build: Build,
    /// The route class.
    pub class: RouteClassId,
    /// Attempts counted.
    pub count: u64,
    /// Those of them that failed.
    pub failed: u64,
    /// The mean latency of those that were served.
    pub mean_latency: Nanos,
    /// Time since they were counted.
    pub age: Nanos,
}
