//! The status of the replication in one process, for `GET /state` and for logs.

use super::acknowledgement::LaggingPeerStatus;
use super::installation::Rejection;
use super::{Nanos, Replicator, Role};
use crate::digest::Digest;
use crate::message::Claim;
use crate::version::Version;

/// Counts of messages and events that changed nothing, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages that could not be decoded, or that contained a delta that could not be decoded or did not match its
    /// claim.
    pub unreadable: u64,
    /// Deltas that led to no newer version, and chunks that no transfer was waiting for.
    pub repeats: u64,
    /// Deltas that did not apply.
    pub unfit_deltas: u64,
    /// Claims of a version that is verified here with a different digest.
    pub conflicts: u64,
    /// Announcements and polls of an epoch that has been replaced.
    pub lower_epochs: u64,
    /// Manifests and chunks that were invalid or did not match their digests.
    pub bad_chunks: u64,
    /// Rejections by the host; each offer of a version counts.
    pub rejected: u64,
    /// Reports that arrived late, a second time, or without a poll.
    pub uncounted_reports: u64,
    /// Polls dropped because too many were open.
    pub dropped_polls: u64,
}

/// The status of the configuration in one process. Times are on its own monotonic clock, in nanoseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The version in force.
    pub version: Version,
    /// The digest of the version in force.
    pub digest: Digest,
    /// When that version was put in force.
    pub in_force_since: Nanos,
    /// The newest version that was verified by its digest; it is passed on to peers.
    pub verified: Version,
    /// The newest version that a peer has claimed or that was verified here.
    pub newest_known: Version,
    /// Since when a newer version is known that is not in force here; `None` if the newest known version is in force.
    pub behind_since: Option<Nanos>,
    /// The last rejection by the host; `None` once the host has installed another offer.
    pub rejected: Option<Rejection>,
    /// When the last message of any peer arrived.
    pub last_message_at: Option<Nanos>,
    /// When the last poll of the writer arrived. The writer polls every process at least once per
    /// [`max_poll_interval`](super::ReplicationSettings::max_poll_interval). A process that has received no poll for
    /// longer is cut off from the writer, and its version in force may be that old.
    pub last_poll_at: Option<Nanos>,
    /// How many peers are alive according to the membership.
    pub peers: usize,
    /// The transfer that is under way.
    pub transfer: Option<TransferStatus>,
    /// The status that only a writer has; `None` at a sidecar.
    pub writer: Option<WriterStatus>,
    /// Counts of messages and events that changed nothing.
    pub counts: Counts,
}

/// A transfer of a complete snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransferStatus {
    /// The version of the snapshot.
    pub version: Version,
    /// The name of the peer that it is fetched from.
    pub source: String,
    /// How many buckets are still missing.
    pub missing_buckets: usize,
}

/// The status that only a writer has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriterStatus {
    /// The epoch of the versions that it publishes.
    pub epoch: u64,
    /// The claim that showed that this writer has been replaced; it publishes nothing from then on.
    pub superseded: Option<Claim>,
    /// The last finished polling round.
    pub round: Option<RoundStatus>,
}

/// A finished polling round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoundStatus {
    /// The polled version.
    pub version: Version,
    /// When the round ended, on the writer's monotonic clock, in nanoseconds.
    pub at: Nanos,
    /// How many peers have the version or a newer one in force, the writer included.
    pub up_to_date: u32,
    /// How many peers were counted, the writer included.
    pub total: u32,
    /// Peers that do not have it, as far as the reports name them.
    pub behind: Vec<LaggingPeerStatus>,
    /// How many further peers do not have it.
    pub unnamed_behind: u32,
}

impl Replicator {
    /// Returns the status of the configuration in this process.
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
            in_force_since: self.installation.in_force_since,
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
            round: self.polling.last_round.clone(),
        })
    }
}
