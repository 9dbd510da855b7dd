//! The counts of a drive, as recorded and as measured in the drive.

use havenplank::interface::{Build, Vote};
use std::collections::BTreeMap;

/// Outcomes of a trace's requests, and its votes: as recorded, or as measured in the drive.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcomes {
    /// Requests sent by clients.
    pub requests: u64,
    /// Requests answered by a pod.
    pub delivered: u64,
    /// Requests that the sidecar rejected with advice to retry.
    pub rejected: u64,
    /// Requests that ended in a server error.
    pub failed: u64,
    /// Requests whose client left before an answer.
    pub left: u64,
    /// Attempts sent to pods.
    pub attempts: u64,
    /// Votes cast by build, stage and vote.
    pub votes: BTreeMap<(Build, usize, String), u64>,
}

impl Outcomes {
    /// Counts one vote.
    pub(crate) fn count_vote(&mut self, build: Build, stage: usize, vote: Vote) {
        let key = (build, stage, format!("{vote:?}"));
        *self.votes.entry(key).or_default() += 1;
    }
}

/// The result of a drive.
#[derive(Debug, Default)]
pub struct DriveOutcome {
    /// The counts of the recording.
    pub recorded: Outcomes,
    /// The counts of the drive.
    pub driven: Outcomes,
    /// Attempts that ended like a recorded attempt of the same request to the same build.
    pub as_recorded: u64,
    /// Attempts that ended like the build's last attempt at that time, as none of the same request was recorded.
    pub as_build: u64,
    /// Faults of the drive itself, one line each.
    pub unexpected_faults: Vec<String>,
}
