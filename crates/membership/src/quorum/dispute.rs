//! Disputes: voters that are reached and see otherwise who votes or who is there.
//!
//! A view that differs may only be an update under way. It is a dispute once the same peer's view differed twice, some
//! time apart, without having agreed between.

use super::view::MAX_NAMES;
use super::voter::{Disagreement, Voter};
use super::Quorum;
use crate::Nanos;
use std::collections::BTreeSet;

/// A voter that sees otherwise, and what.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispute {
    /// Its name.
    pub peer: String,
    /// When its first view that differed was received.
    pub since: Nanos,
    /// Whom it misses and we reach, as far as it named them.
    pub missing_at_peer: Vec<String>,
    /// Whom we miss and it reaches, as far as it named whom it misses.
    pub missing_here: Vec<String>,
    /// Whether it has other voters.
    pub voters_differ: bool,
}

impl Quorum {
    /// Returns all disputes.
    pub fn disputes(&self, now: Nanos) -> Vec<Dispute> {
        let missing = self.notable_voters().filter(|voter| !voter.is_alive);
        let missing: BTreeSet<&str> = missing.map(Voter::name).collect();
        let voters_digest = self.voters.voters_digest(&self.me);
        self.notable_voters()
            .filter(|voter| self.is_in_dispute(now, voter))
            .filter_map(|voter| describe(voter, &missing, voters_digest))
            .collect()
    }

    pub(super) fn is_any_in_dispute(&self, now: Nanos) -> bool {
        self.notable_voters()
            .any(|voter| self.is_in_dispute(now, voter))
    }

    fn is_in_dispute(&self, now: Nanos, voter: &Voter) -> bool {
        voter
            .disagreement
            .is_some_and(|disagreement| disagreement.is_confirmed)
            && self.is_reached(now, voter)
    }

    /// Drops the disagreements that our own updates have ended since.
    pub(super) fn drop_settled_disagreements(&mut self) {
        let settled: Vec<String> = self
            .voters
            .notable()
            .filter(|voter| self.has_settled(voter))
            .map(|voter| voter.name().to_string())
            .collect();
        for name in settled {
            self.voters.update(&name, |voter| voter.disagreement = None);
        }
    }

    /// Whether its last view differed when it was received, and is what we see by now.
    fn has_settled(&self, voter: &Voter) -> bool {
        let received = voter
            .received
            .as_ref()
            .map(|received| received.view.digests());
        voter.disagreement.is_some() && received == Some(self.voters.digests(&self.me))
    }

    /// The disagreement with a voter that has just said another view that differs.
    pub(super) fn continue_disagreement(&self, now: Nanos, voter: &Voter) -> Disagreement {
        let earlier = voter.disagreement.filter(|_| !self.has_settled(voter));
        let since = earlier.map_or(now, |disagreement| disagreement.since);
        let was_confirmed = earlier.is_some_and(|disagreement| disagreement.is_confirmed);
        Disagreement {
            since,
            is_confirmed: was_confirmed || now.saturating_sub(since) >= self.rules.dispute_delay,
        }
    }
}

fn describe(voter: &Voter, missing_here: &BTreeSet<&str>, voters_digest: u64) -> Option<Dispute> {
    let view = &voter.received.as_ref()?.view;
    let missing_at_peer: BTreeSet<&str> = view.missing.iter().map(String::as_str).collect();
    Some(Dispute {
        peer: voter.name().to_string(),
        since: voter.disagreement?.since,
        missing_at_peer: only_in_first(&missing_at_peer, missing_here),
        missing_here: only_in_first(missing_here, &missing_at_peer),
        voters_differ: view.voters_digest != voters_digest,
    })
}

fn only_in_first(first: &BTreeSet<&str>, second: &BTreeSet<&str>) -> Vec<String> {
    first
        .difference(second)
        .take(MAX_NAMES)
        .map(|name| name.to_string())
        .collect()
}
