//! Releases: the stage of the build on trial, and the votes on it.

use super::{Build, Nanos, RouteClassId};

/// A vote on a build's stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vote {
    /// Has no opinion, and withdraws an earlier vote.
    None,
    /// Move on to the next stage.
    Advance,
    /// Stay in the current stage.
    Hold,
    /// Return to the earlier build.
    RollBack,
}

/// The phase of a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Phase {
    /// The build is on trial: a cap limits its share of the attempts.
    Trial,
    /// The build is being rolled back.
    #[cfg_attr(feature = "serde", serde(rename = "GoingBack"))]
    RollingBack,
    /// The build passed all stages and is no longer capped.
    Released,
    /// The build was rolled back.
    Withdrawn,
}

/// The stage of the newest build that the control plane announced.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Stage {
    /// The build.
    pub build: Build,
    /// The number of the stage, from 0.
    pub stage: usize,
    /// The phase of the release.
    pub phase: Phase,
    /// The greatest share of the attempts that the build may take, from 0 to 1.
    pub cap: f64,
    /// The time since the release entered this state.
    pub age: Nanos,
}

/// How the control plane received a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteReceipt {
    /// The vote is in force.
    Counted,
    /// The vote was for a build or stage that is no longer current.
    Stale,
    /// It is unknown whether the vote is in force.
    Unknown,
    /// The control plane refused the vote, so it is not in force.
    Rejected,
}

/// The control plane's reply to a vote.
#[derive(Clone, Debug, PartialEq)]
pub struct VoteReply {
    /// How the vote was received.
    pub receipt: VoteReceipt,
    /// The current stage, where the reply states it.
    pub stage: Option<Stage>,
}

/// A sampled count of the attempts of all instances to one build, from the control plane.
#[derive(Clone, Debug, PartialEq)]
pub struct Tally {
    /// The build.
    pub build: Build,
    /// The route class.
    pub class: RouteClassId,
    /// The attempts counted.
    pub count: u64,
    /// The counted attempts that failed.
    pub failed: u64,
    /// The mean latency of the counted attempts that were served.
    pub mean_latency: Nanos,
    /// The time since the count was made.
    pub age: Nanos,
}
