//! What is held here: the newest verified snapshot, the ones before it, and the deltas that led to it.

use crate::delta::Delta;
use crate::digest::Digest;
use crate::error::ApplyError;
use crate::history::History;
use crate::message::Claim;
use crate::snapshot::Snapshot;
use crate::version::Version;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Snapshots kept for transfers that have begun; they share all buckets that did not change.
const RECENT: usize = 16;
/// Deltas that came before the one they build on; each came in one datagram. A further one is dropped and pulled later.
const EARLY: usize = 32;

/// What became of a delta.
#[derive(Debug)]
pub enum DeltaOutcome {
    /// It and early ones that follow it were applied, in this order.
    Applied(Vec<Arc<Delta>>),
    /// It leads to nothing newer.
    Known,
    /// It builds on a version that is not here yet.
    Early,
    /// It does not lead on from what is held.
    Unfit(ApplyError),
}

pub struct VerifiedVersions {
    head: Snapshot,
    /// The newest last, `head` among them; [`RECENT`] at most.
    recent: VecDeque<Snapshot>,
    history: History,
    /// By the version that each builds on; [`EARLY`] at most, emptied as the head passes them.
    early: BTreeMap<Version, Arc<Delta>>,
}

impl VerifiedVersions {
    pub fn new(head: Snapshot, history: History) -> VerifiedVersions {
        let recent = VecDeque::from([head.clone()]);
        VerifiedVersions {
            head,
            recent,
            history,
            early: BTreeMap::new(),
        }
    }

    pub fn head(&self) -> &Snapshot {
        &self.head
    }

    pub fn version(&self) -> Version {
        self.head.version()
    }

    pub fn claim(&self) -> Claim {
        Claim {
            version: self.head.version(),
            digest: self.head.digest(),
        }
    }

    /// The digest under which a recent version is held, where it is another than the claimed one.
    pub fn contradiction(&self, claim: Claim) -> Option<Digest> {
        let same = self
            .recent
            .iter()
            .rev()
            .find(|snapshot| snapshot.version() == claim.version)?;
        (same.digest() != claim.digest).then(|| same.digest())
    }

    /// The recent snapshot of exactly this version and digest.
    pub fn snapshot(&self, claim: Claim) -> Option<&Snapshot> {
        let fits = |verified: &&Snapshot| {
            verified.version() == claim.version && verified.digest() == claim.digest
        };
        self.recent.iter().rev().find(fits)
    }

    /// The deltas that lead on from a version, where all are there.
    pub fn since(&self, claim: Claim) -> Option<Vec<Arc<Delta>>> {
        if self.contradiction(claim).is_some() {
            return None;
        }
        self.history.since(claim.version)
    }

    /// Applies a delta, and early ones that follow it.
    pub fn take(&mut self, delta: Delta) -> DeltaOutcome {
        if delta.to <= self.version() {
            return DeltaOutcome::Known;
        }
        if delta.from > self.version() {
            if self.early.len() < EARLY {
                self.early.entry(delta.from).or_insert(Arc::new(delta));
            }
            return DeltaOutcome::Early;
        }
        let mut applied = Vec::new();
        let mut next = Some(Arc::new(delta));
        while let Some(delta) = next {
            match self.head.apply(&delta) {
                Ok(snapshot) => self.advance(snapshot, Arc::clone(&delta)),
                Err(error) if applied.is_empty() => return DeltaOutcome::Unfit(error),
                Err(_) => break,
            }
            applied.push(delta);
            next = self.early.remove(&self.version());
        }
        DeltaOutcome::Applied(applied)
    }

    /// Takes over a delta whose result is known.
    pub fn advance(&mut self, snapshot: Snapshot, delta: Arc<Delta>) {
        self.history.push(delta);
        self.set_head(snapshot);
    }

    /// Takes over a whole snapshot, where it is newer. No delta leads to it.
    pub fn replace(&mut self, snapshot: Snapshot) -> bool {
        if snapshot.version() <= self.version() {
            return false;
        }
        self.set_head(snapshot);
        true
    }

    fn set_head(&mut self, snapshot: Snapshot) {
        self.head = snapshot.clone();
        self.recent.push_back(snapshot);
        if self.recent.len() > RECENT {
            self.recent.pop_front();
        }
        let version = self.version();
        self.early.retain(|from, _| *from >= version);
    }
}
