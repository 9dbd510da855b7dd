//! Collects a sidecar's calls on the control plane's line protocol until they are answered.

use havenplank::interface::{Build, Vote};
use havenplank_line_protocol::control_plane::Service;

/// A vote that has not been answered yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingVote {
    /// The number of the call, which the answer repeats.
    pub(crate) call: u64,
    pub(crate) build: Build,
    pub(crate) stage: usize,
    pub(crate) vote: Vote,
}

/// The calls of one connection. The owner takes them after each call, which bounds the buffer.
#[derive(Debug, Default)]
pub(crate) struct VoteInbox {
    /// The sidecar's name, once its greeting has arrived.
    pub(crate) sidecar: Option<String>,
    pending: Vec<PendingVote>,
}

impl VoteInbox {
    /// Takes the votes that arrived since the last call.
    pub(crate) fn take(&mut self) -> Vec<PendingVote> {
        std::mem::take(&mut self.pending)
    }
}

impl Service for VoteInbox {
    fn greeted(&mut self, name: String) {
        self.sidecar = Some(name);
    }

    fn cast_vote(&mut self, call: u64, build: Build, stage: usize, vote: Vote) {
        self.pending.push(PendingVote {
            call,
            build,
            stage,
            vote,
        });
    }
}
