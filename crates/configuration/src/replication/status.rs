//! What a process knows of its configuration, for `GET /state` and logs.

use super::acknowledgement::LaggingPeerStatus;
use super::installation::Rejection;
use super::{Nanos, Replicator, Role};
use crate::digest::Digest;
use crate::message::Claim;
use crate::version::Version;

/// Messages that changed nothing, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// No message, or with a delta that is none.
    pub unreadable: u64,
    /// Deltas and chunks that were here already.
    pub repeats: u64,
    /// Deltas that did not apply.
    pub unfit_deltas: u64,
    /// Claims of a version that is verified here with another digest.
    pub conflicts: u64,
    /// Announcements and polls of an epoch that was replaced.
    pub lower_epochs: u64,
    /// Manifests and chunks that were not what they stated.
    pub bad_chunks: u64,
    /// Versions that the host did not take in, each time.
    pub rejected: u64,
    /// Reports that came late, twice, or unasked.
    pub uncounted_reports: u64,
    /// Rounds dropped, as too many were open.
    pub dropped_polls: u64,
}

/// What a process knows of its configuration. Times are on its own monotonic clock, in nanoseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The version in force.
    pub version: Version,
    /// The digest of the version in force.
    pub digest: Digest,
    /// Since when it is in force.
    pub in_force_since: Nanos,
    /// The newest version that was verified by its digest and is passed on.
    pub verified: Version,
    /// The newest version that any peer has claimed.
    pub newest_known: Version,
    /// Since when a newer version is known to exist that is not in force here.
    pub behind_since: Option<Nanos>,
    /// The version that the host could not take in last.
    pub rejected: Option<Rejection>,
    /// When any peer was last heard.
    pub last_message_at: Option<Nanos>,
    /// When a poll of the writer last came here. The writer polls everybody at least once a
    /// [`max_poll_interval`](super::ReplicationSettings::max_poll_interval): who has heard none for longer is cut off
    /// from it, and what is in force may be as old as that.
    pub last_poll_at: Option<Nanos>,
    /// How many peers are thought to live.
    pub peers: usize,
    /// The whole snapshot that is being fetched.
    pub transfer: Option<TransferStatus>,
    /// What a writer knows beyond a sidecar; `None` at a sidecar.
    pub writer: Option<WriterStatus>,
    /// Messages that changed nothing.
    pub counts: Counts,
}

/// A whole snapshot that is being fetched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransferStatus {
    /// Its version.
    pub version: Version,
    /// The name of the peer that gives it.
    pub source: String,
    /// Buckets that are missing yet.
    pub missing_buckets: usize,
}

/// What a writer knows beyond a sidecar.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriterStatus {
    /// The epoch of its versions.
    pub epoch: u64,
    /// By whom it was replaced; it publishes no more then.
    pub superseded: Option<Claim>,
    /// The last finished round of polls.
    pub round: Option<RoundStatus>,
}

/// A finished round of polls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoundStatus {
    /// The polled version.
    pub version: Version,
    /// When it ended, on the writer's monotonic clock, in nanoseconds.
    pub at: Nanos,
    /// How many have the version or a newer one in force.
    pub up_to_date: u32,
    /// How many were counted.
    pub total: u32,
    /// Those that do not have it, as far as they are named.
    pub behind: Vec<LaggingPeerStatus>,
    /// How many more do not have it.
    pub unnamed_behind: u32,
}

impl Replicator {
    /// Returns what this process knows of its configuration.
    pub fn status(&self) -> Status {
        let in_force = self.installation.snapshot();
        let transfer = self.transfer.as_ref().map(|transfer| TransferStatus {
            version: transfer.version(),
            source: transfer.source().name.clone(),
            missing_buckets: transfer.missing(),
        });
        Status {
            version: in_force.version(),
            digest: in_force.digest(),
            in_force_since: self.installation.since,
            verified: self.verified.version(),
            newest_known: self.newest_known.version,
            behind_since: self.behind_since,
            rejected: self.installation.rejected.clone(),
            last_message_at: self.last_message_at,
            last_poll_at: self.last_poll_at,
            peers: self.peers.len(),
            transfer,
            writer: self.writer_status(),
            counts: self.counts,
        }
    }

    fn writer_status(&self) -> Option<WriterStatus> {
        let Role::Writer { epoch } = self.role else {
            return None;
        };
        Some(WriterStatus {
            epoch,
            superseded: self.superseded,
            round: self.polling.last.clone(),
        })
    }
}
