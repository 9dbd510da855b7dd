//! What a process knows of its configuration, for `GET /state` and logs.

use super::acknowledgement::BehindSince;
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
    pub repeats: u64,
    pub unfit_deltas: u64,
    /// Claims of a version that is held with another digest.
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

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// In force, with its digest and since when.
    pub version: Version,
    pub digest: Digest,
    pub in_force_since: Nanos,
    /// Verified and passed on.
    pub verified: Version,
    pub newest_heard: Version,
    /// Since when a newer version is known to exist that is not in force here.
    pub behind_since: Option<Nanos>,
    pub rejected: Option<Rejection>,
    /// When any peer was last heard, and when a poll of the writer last came here. The writer polls everybody at least
    /// once a [`ReplicationSettings::max_poll_interval`](super::ReplicationSettings): who has heard none for longer is cut off from it, and what is in
    /// force may be as old as that.
    pub heard_at: Option<Nanos>,
    pub polled_at: Option<Nanos>,
    pub peers: usize,
    pub transfer: Option<TransferStatus>,
    pub writer: Option<WriterStatus>,
    pub counts: Counts,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransferStatus {
    pub version: Version,
    pub source: String,
    pub missing_buckets: usize,
}

/// What a writer knows beyond a sidecar.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriterStatus {
    pub epoch: u64,
    /// It publishes no more.
    pub superseded: Option<Claim>,
    /// The last finished round.
    pub round: Option<RoundStatus>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoundStatus {
    pub version: Version,
    pub at: Nanos,
    pub have: u32,
    pub of: u32,
    pub behind: Vec<BehindSince>,
    pub more: u32,
}

impl Replicator {
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
            newest_heard: self.newest_heard.version,
            behind_since: self.behind_since,
            rejected: self.installation.rejected.clone(),
            heard_at: self.heard_at,
            polled_at: self.polled_at,
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
