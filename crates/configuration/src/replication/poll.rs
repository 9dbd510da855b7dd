//! One round of a poll at one head: who of an interval has a version in force.
//!
//! A head counts itself, splits the rest of its interval into disjoint ones and asks a random peer of each to be their
//! head. One that stays silent is replaced by another; where that one is silent too, the names known here are reported
//! as silent. The first report of an interval closes it, so that no name is counted twice.

use super::peers::Peers;
use super::Nanos;
use crate::interval::IntervalPart;
use crate::message::{LagReason, Poll, Report, Tally};
use havenplank_membership::member::MemberId;
use oorandom::Rand64;

/// Heads tried for one interval: with 1% loss each way two would leave one of 1,600 silent in every second round.
const ATTEMPTS: usize = 3;
/// Taken off the time-out of a poll for the way there and back, at most half of it.
const MARGIN_MS: u32 = 400;
const MS: Nanos = 1_000_000;

/// Why a report was not counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UncountedReason {
    /// Of an interval that was not asked for, or from somebody who was not asked.
    NotAsked,
    /// The interval was reported before.
    Closed,
}

/// An interval that was handed to another head.
struct Child {
    part: IntervalPart,
    /// Those asked so far, [`ATTEMPTS`] at most.
    heads: Vec<MemberId>,
    expires: Nanos,
    closed: bool,
}

pub struct OpenPoll {
    /// Who gets the report; `None` at the writer, whose poll it is.
    pub parent: Option<MemberId>,
    pub poll: Poll,
    peers: Peers,
    /// The branches of the rules and two more at most.
    children: Vec<Child>,
    tally: Tally,
    attempt_ms: u32,
}

impl OpenPoll {
    pub fn new(
        poll: Poll,
        parent: Option<MemberId>,
        own_name: &str,
        own: Option<LagReason>,
        peers: Peers,
        branches: usize,
    ) -> OpenPoll {
        let mut tally = Tally::default();
        match own {
            None => tally.add_having(),
            Some(lag_reason) => tally.add_behind(own_name, lag_reason),
        }
        let parts = poll
            .interval
            .split_around(own_name, branches, peers.len(), |place| peers.name(place));
        let child = |part| Child {
            part,
            heads: Vec::new(),
            expires: 0,
            closed: false,
        };
        let children = parts.into_iter().map(child).collect();
        let margin = MARGIN_MS.min(poll.timeout_ms / 2);
        let attempt_ms = (poll.timeout_ms - margin) / ATTEMPTS as u32;
        OpenPoll {
            parent,
            poll,
            peers,
            children,
            tally,
            attempt_ms,
        }
    }

    /// Asks the heads that are due, and gives up on intervals where all were silent.
    pub fn ask_due_heads(&mut self, now: Nanos, rng: &mut Rand64) -> Vec<(MemberId, Poll)> {
        let mut requests = Vec::new();
        for child in self
            .children
            .iter_mut()
            .filter(|child| !child.closed && child.expires <= now)
        {
            if child.heads.len() == ATTEMPTS {
                child.closed = true;
                for place in child.part.indices.clone() {
                    self.tally
                        .add_behind(self.peers.name(place), LagReason::Silent);
                }
                continue;
            }
            let head = next_head(child, &self.peers, rng);
            child.expires = now.saturating_add(u64::from(self.attempt_ms) * MS);
            child.heads.push(head.clone());
            let interval = child.part.interval.clone();
            requests.push((
                head,
                Poll {
                    interval,
                    timeout_ms: self.attempt_ms,
                    ..self.poll.clone()
                },
            ));
        }
        requests
    }

    /// Counts a report.
    ///
    /// # Errors
    /// Why it was not counted.
    pub fn report(&mut self, from: &MemberId, report: Report) -> Result<(), UncountedReason> {
        let was_asked = |child: &&mut Child| {
            child.part.interval == report.interval && child.heads.contains(from)
        };
        let child = self
            .children
            .iter_mut()
            .find(was_asked)
            .ok_or(UncountedReason::NotAsked)?;
        if child.closed {
            return Err(UncountedReason::Closed);
        }
        child.closed = true;
        self.tally.add(report.tally);
        Ok(())
    }

    pub fn next_wake(&self) -> Option<Nanos> {
        self.children
            .iter()
            .filter(|child| !child.closed)
            .map(|child| child.expires)
            .min()
    }

    pub fn is_finished(&self) -> bool {
        self.children.iter().all(|child| child.closed)
    }

    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    pub fn into_report(self) -> Report {
        let Poll {
            round,
            claim,
            interval,
            ..
        } = self.poll;
        Report {
            round,
            version: claim.version,
            interval,
            tally: self.tally,
        }
    }
}

/// A random peer of the interval, another one than before where there is one.
fn next_head(child: &Child, peers: &Peers, rng: &mut Rand64) -> MemberId {
    let names = &child.part.indices;
    let drawn = names.start + rng.rand_range(0..names.len() as u64) as usize;
    let tried = child.heads.contains(peers.member_id(drawn));
    let following = if drawn + 1 < names.end {
        drawn + 1
    } else {
        names.start
    };
    peers
        .member_id(if tried { following } else { drawn })
        .clone()
}

#[cfg(test)]
#[path = "../../tests/unit/poll.rs"]
mod tests;
