//! The versions verified by this process: the newest snapshot, recent older ones, and the deltas between them.

use crate::delta::Delta;
use crate::digest::Digest;
use crate::error::ApplyError;
use crate::history::History;
use crate::message::Claim;
use crate::snapshot::Snapshot;
use crate::version::Version;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Maximum number of snapshots kept, so that transfers of older versions can finish. Snapshots share all unchanged
/// buckets.
const MAX_RECENT_SNAPSHOTS: usize = 16;
/// Maximum number of deltas kept that arrived before the delta they build on; each arrived in one datagram. A further
/// one is dropped and pulled later.
const MAX_EARLY_DELTAS: usize = 32;

/// The result of applying a delta.
#[derive(Debug)]
pub enum DeltaOutcome {
    /// The delta and stored early deltas that continue from it were applied, in this order.
    Applied(Vec<Arc<Delta>>),
    /// The delta leads to no newer version.
    NotNewer,
    /// The delta builds on a version that has not been verified yet.
    Early,
    /// The delta cannot be applied to the newest verified version.
    DoesNotApply(ApplyError),
}

/// The versions that this process has verified.
pub struct VerifiedVersions {
    newest: Snapshot,
    /// Recent snapshots, the newest one last; at most [`MAX_RECENT_SNAPSHOTS`].
    recent: VecDeque<Snapshot>,
    history: History,
    /// Early deltas by the version that each builds on; at most [`MAX_EARLY_DELTAS`]. Those below the newest version
    /// are removed.
    early: BTreeMap<Version, Arc<Delta>>,
}

impl VerifiedVersions {
    pub fn new(newest: Snapshot, history: History) -> VerifiedVersions {
        let recent = VecDeque::from([newest.clone()]);
        VerifiedVersions {
            newest,
            recent,
            history,
            early: BTreeMap::new(),
        }
    }

    pub fn newest(&self) -> &Snapshot {
        &self.newest
    }

    pub fn version(&self) -> Version {
        self.newest.version()
    }

    pub fn claim(&self) -> Claim {
        Claim {
            version: self.newest.version(),
            digest: self.newest.digest(),
        }
    }

    /// Returns the digest of the claimed version if that version is kept here with a digest other than the claimed one.
    pub fn conflicting_digest(&self, claim: Claim) -> Option<Digest> {
        let held = self
            .recent
            .iter()
            .rev()
            .find(|snapshot| snapshot.version() == claim.version)?;
        (held.digest() != claim.digest).then(|| held.digest())
    }

    /// Returns the recent snapshot with exactly this version and digest.
    pub fn snapshot(&self, claim: Claim) -> Option<&Snapshot> {
        let is_same = |verified: &&Snapshot| {
            verified.version() == claim.version && verified.digest() == claim.digest
        };
        self.recent.iter().rev().find(is_same)
    }

    /// Returns the deltas from a version to the newest one; `None` if one of them is missing or the digests conflict.
    pub fn deltas_since(&self, claim: Claim) -> Option<Vec<Arc<Delta>>> {
        if self.conflicting_digest(claim).is_some() {
            return None;
        }
        self.history.since(claim.version)
    }

    /// Applies a delta, and stored early deltas that continue from it.
    pub fn apply_delta(&mut self, delta: Delta) -> DeltaOutcome {
        if delta.to <= self.version() {
            return DeltaOutcome::NotNewer;
        }
        if delta.from > self.version() {
            if self.early.len() < MAX_EARLY_DELTAS {
                self.early.entry(delta.from).or_insert(Arc::new(delta));
            }
            return DeltaOutcome::Early;
        }
        let mut applied = Vec::new();
        let mut next = Some(Arc::new(delta));
        while let Some(delta) = next {
            match self.newest.apply(&delta) {
                Ok(snapshot) => self.advance(snapshot, Arc::clone(&delta)),
                Err(error) if applied.is_empty() => return DeltaOutcome::DoesNotApply(error),
                Err(_) => break,
            }
            applied.push(delta);
            next = self.early.remove(&self.version());
        }
        DeltaOutcome::Applied(applied)
    }

    /// Sets the newest snapshot to the given result of a delta.
    pub fn advance(&mut self, snapshot: Snapshot, delta: Arc<Delta>) {
        self.history.push(delta);
        self.set_newest(snapshot);
    }

    /// Replaces the newest snapshot with a transferred one if that is newer; returns whether it is. No delta leads to
    /// it.
    pub fn replace(&mut self, snapshot: Snapshot) -> bool {
        if snapshot.version() <= self.version() {
            return false;
        }
        self.set_newest(snapshot);
        true
    }

    fn set_newest(&mut self, snapshot: Snapshot) {
        self.newest = snapshot.clone();
        self.recent.push_back(snapshot);
        if self.recent.len() > MAX_RECENT_SNAPSHOTS {
            self.recent.pop_front();
        }
        let version = self.version();
        self.early.retain(|from, _| *from >= version);
    }
}
