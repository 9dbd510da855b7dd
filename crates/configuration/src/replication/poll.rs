//! One poll at one aggregator: counts which peers of an interval of names have a version in force.
//!
//! The aggregator counts itself, splits the rest of its interval into disjoint parts and polls one random peer of each
//! part, which becomes the aggregator of that part. If that peer does not answer in time, another peer of the part is
//! polled; after the last attempt all names of the part that are known here are counted as silent. The first report of
//! a part closes it, so that no name is counted twice.

use super::peers::Peers;
use super::Nanos;
use crate::interval::IntervalPart;
use crate::message::{LagReason, Poll, Report, Tally};
use havenplank_membership::member::MemberId;
use oorandom::Rand64;

/// Maximum number of aggregators polled for one part: with 2 attempts and 1% loss in each direction, one of 1,600 peers
/// would count as silent in every second round.
const MAX_ATTEMPTS: usize = 3;
/// Subtracted from the timeout of a poll for the network round-trip time, in milliseconds; at most half of the timeout.
const RTT_MARGIN_MS: u32 = 400;
const MS: Nanos = 1_000_000;

/// Why a report was not counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UncountedReason {
    /// Its interval or its sender was not polled.
    NotPolled,
    /// The part is closed already: it was counted, or its last attempt timed out.
    Closed,
}

/// A part of the interval that another aggregator counts.
struct ChildPart {
    part: IntervalPart,
    /// Peers polled for this part so far, at most [`MAX_ATTEMPTS`].
    aggregators: Vec<MemberId>,
    attempt_deadline: Nanos,
    closed: bool,
}

/// A poll that this process aggregates and that is not finished yet.
pub struct OpenPoll {
    /// The peer that gets the report; `None` at the writer, which started the round.
    pub parent: Option<MemberId>,
    pub poll: Poll,
    peers: Peers,
    /// At most `poll_branches` of the settings and two more.
    children: Vec<ChildPart>,
    tally: Tally,
    attempt_timeout_ms: u32,
}

impl OpenPoll {
    pub fn new(
        poll: Poll,
        parent: Option<MemberId>,
        own_name: &str,
        own_lag: Option<LagReason>,
        peers: Peers,
        branches: usize,
    ) -> OpenPoll {
        let mut tally = Tally::default();
        match own_lag {
            None => tally.add_up_to_date(),
            Some(lag_reason) => tally.add_behind(own_name, lag_reason),
        }
        let parts = poll
            .interval
            .split_around(own_name, branches, peers.len(), |index| peers.name(index));
        let child = |part| ChildPart {
            part,
            aggregators: Vec::new(),
            attempt_deadline: 0,
            closed: false,
        };
        let children = parts.into_iter().map(child).collect();
        let rtt_margin_ms = RTT_MARGIN_MS.min(poll.timeout_ms / 2);
        let attempt_timeout_ms = (poll.timeout_ms - rtt_margin_ms) / MAX_ATTEMPTS as u32;
        OpenPoll {
            parent,
            poll,
            peers,
            children,
            tally,
            attempt_timeout_ms,
        }
    }

    /// Returns the polls to send now: the first attempt for each part, and the next one where an attempt timed out. A
    /// part whose last attempt timed out is closed and its names are counted as silent.
    pub fn take_due_requests(&mut self, now: Nanos, rng: &mut Rand64) -> Vec<(MemberId, Poll)> {
        let mut requests = Vec::new();
        for child in self
            .children
            .iter_mut()
            .filter(|child| !child.closed && child.attempt_deadline <= now)
        {
            if child.aggregators.len() == MAX_ATTEMPTS {
                child.closed = true;
                for index in child.part.indices.clone() {
                    self.tally
                        .add_behind(self.peers.name(index), LagReason::Silent);
                }
                continue;
            }
            let aggregator = choose_aggregator(child, &self.peers, rng);
            child.attempt_deadline = now.saturating_add(u64::from(self.attempt_timeout_ms) * MS);
            child.aggregators.push(aggregator.clone());
            let interval = child.part.interval.clone();
            requests.push((
                aggregator,
                Poll {
                    interval,
                    timeout_ms: self.attempt_timeout_ms,
                    ..self.poll.clone()
                },
            ));
        }
        requests
    }

    /// Counts a report.
    ///
    /// # Errors
    /// The reason why the report was not counted.
    pub fn count_report(&mut self, from: &MemberId, report: Report) -> Result<(), UncountedReason> {
        let was_polled = |child: &&mut ChildPart| {
            child.part.interval == report.interval && child.aggregators.contains(from)
        };
        let child = self
            .children
            .iter_mut()
            .find(was_polled)
            .ok_or(UncountedReason::NotPolled)?;
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
            .map(|child| child.attempt_deadline)
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

/// Returns a random peer of the part. If that one was polled before, returns the next name of the part in its order.
fn choose_aggregator(child: &ChildPart, peers: &Peers, rng: &mut Rand64) -> MemberId {
    let indices = &child.part.indices;
    let picked = indices.start + rng.rand_range(0..indices.len() as u64) as usize;
    let was_polled = child.aggregators.contains(peers.member_id(picked));
    let following = if picked + 1 < indices.end {
        picked + 1
    } else {
        indices.start
    };
    peers
        .member_id(if was_polled { following } else { picked })
        .clone()
}

#[cfg(test)]
#[path = "../../tests/unit/poll.rs"]
mod tests;
