//! Disputes: voters that are reached and differ from us on who votes or who is alive.
//!
//! A differing view may only mean that an update has not spread yet. It is a dispute once two views of the same peer
//! differed, [`Rules::dispute_delay`](super::Rules::dispute_delay) or more apart, and none between them agreed.

use super::view::MAX_NAMES;
use super::voter::{Disagreement, Voter};
use super::Quorum;
use crate::Nanos;
use std::collections::BTreeSet;

/// A voter whose views differ from ours, and in what.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispute {
    /// The name of that voter.
    pub peer: String,
    /// When its first differing view was received.
    pub since: Nanos,
    /// Voters that are missing at the peer and alive here, as far as its view names them.
    pub missing_at_peer: Vec<String>,
    /// Voters that are missing here and alive at the peer, as far as its view names the ones that it misses.
    pub missing_here: Vec<String>,
    /// Whether its set of voters differs from ours.
    pub voters_differ: bool,
}

impl Quorum {
    /// Returns all disputes.
    pub fn disputes(&self, now: Nanos) -> Vec<Dispute> {
        let missing = self.voters_to_check().filter(|voter| !voter.is_alive);
        let missing: BTreeSet<&str> = missing.map(Voter::name).collect();
        let voters_digest = self.voters.voters_digest(&self.me);
        self.voters_to_check()
            .filter(|voter| self.is_in_dispute(now, voter))
            .filter_map(|voter| describe(voter, &missing, voters_digest))
            .collect()
    }

    pub(super) fn is_any_in_dispute(&self, now: Nanos) -> bool {
        self.voters_to_check()
            .any(|voter| self.is_in_dispute(now, voter))
    }

    fn is_in_dispute(&self, now: Nanos, voter: &Voter) -> bool {
        voter
            .disagreement
            .is_some_and(|disagreement| disagreement.is_confirmed)
            && self.is_reached(now, voter)
    }

    /// Drops the disagreements that updates of our own tables have settled.
    pub(super) fn drop_settled_disagreements(&mut self) {
        let settled: Vec<String> = self
            .voters
            .to_check()
            .filter(|voter| self.has_settled(voter))
            .map(|voter| voter.name().to_string())
            .collect();
        for name in settled {
            self.voters.update(&name, |voter| voter.disagreement = None);
        }
    }

    /// Whether its last view differed when it was received, but agrees with ours by now.
    fn has_settled(&self, voter: &Voter) -> bool {
        let received = voter
            .received
            .as_ref()
            .map(|received| received.view.digests());
        voter.disagreement.is_some() && received == Some(self.voters.digests(&self.me))
    }

    /// Returns the disagreement with a voter whose newest view differs: the earlier one continued, unless that is
    /// settled.
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
