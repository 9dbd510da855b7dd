//! Finds out which peers have a version in force: the writer starts rounds of polls, and aggregators pass them on.

use super::poll::OpenPoll;
use super::status::RoundStatus;
use super::{Nanos, ReplicationSettings, Replicator, Role, MAX_OPEN_POLLS};
use crate::interval::Interval;
use crate::message::{LagReason, Message, Poll, Report, Tally};
use crate::version::Version;
use havenplank_membership::member::MemberId;
use std::collections::VecDeque;

/// A peer that the last round found behind, and since when consecutive rounds have found it behind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LaggingPeerStatus {
    /// The peer's name.
    pub name: String,
    /// Why it does not have the polled version in force.
    pub lag_reason: LagReason,
    /// When the first of these consecutive rounds ended, on the writer's monotonic clock, in nanoseconds.
    pub since: Nanos,
}

/// The writer's schedule of polling rounds, and the result of the last round.
pub(super) struct Polling {
    round: u64,
    next_round_at: Option<Nanos>,
    next_delay: Nanos,
    pub(super) last_round: Option<RoundStatus>,
}

impl Polling {
    pub(super) fn new(now: Nanos, role: Role, settings: &ReplicationSettings) -> Polling {
        let next_round_at = matches!(role, Role::Writer { .. })
            .then(|| now.saturating_add(settings.initial_poll_interval));
        Polling {
            round: 0,
            next_round_at,
            next_delay: settings.initial_poll_interval,
            last_round: None,
        }
    }

    /// Restarts the schedule with the shortest delay; a round that is due sooner keeps its time.
    pub(super) fn restart_schedule(&mut self, now: Nanos, settings: &ReplicationSettings) {
        let at = now.saturating_add(settings.initial_poll_interval);
        self.next_round_at = Some(self.next_round_at.map_or(at, |previous| previous.min(at)));
        self.next_delay = settings.initial_poll_interval;
    }

    pub(super) fn stop(&mut self) {
        self.next_round_at = None;
    }

    pub(super) fn next_wake(&self) -> Option<Nanos> {
        self.next_round_at
    }

    fn record_round(
        &mut self,
        now: Nanos,
        version: Version,
        tally: &Tally,
        settings: &ReplicationSettings,
    ) {
        let previous_round = self.last_round.take();
        let since = |name: &str| {
            let known = previous_round
                .iter()
                .flat_map(|round| &round.behind)
                .find(|peer| peer.name == name);
            known.map_or(now, |peer| peer.since)
        };
        let behind = tally.behind.iter().map(|peer| LaggingPeerStatus {
            name: peer.name.clone(),
            lag_reason: peer.lag_reason,
            since: since(&peer.name),
        });
        let behind = behind.collect();
        self.last_round = Some(RoundStatus {
            version,
            at: now,
            up_to_date: tally.up_to_date,
            total: tally.total,
            behind,
            unnamed_behind: tally.unnamed_behind,
        });
        if tally.up_to_date == tally.total {
            self.next_delay = settings.max_poll_interval;
        }
        if let Some(next_round_at) = &mut self.next_round_at {
            *next_round_at = (*next_round_at).min(now.saturating_add(self.next_delay));
        }
        self.next_delay = self
            .next_delay
            .saturating_mul(2)
            .min(settings.max_poll_interval);
    }
}

impl Replicator {
    pub(super) fn poll_if_due(&mut self, now: Nanos) {
        if self.polling.next_round_at.is_some_and(|at| at <= now) && !self.has_open_round() {
            self.start_round(now);
        }
        for index in 0..self.open_polls.len() {
            let requests = self.open_polls[index].take_due_requests(now, &mut self.rng);
            for (to, poll) in requests {
                self.send(&to, Message::Poll(poll));
            }
        }
        self.close_finished_polls(now);
    }

    /// Returns whether a round of this writer is under way. The next round waits for its end, which its timeout bounds.
    pub(super) fn has_open_round(&self) -> bool {
        self.open_polls.iter().any(|open| open.parent.is_none())
    }

    fn start_round(&mut self, now: Nanos) {
        self.polling.next_round_at = Some(now.saturating_add(self.settings.max_poll_interval));
        self.polling.round += 1;
        let timeout_ms = u32::try_from(self.settings.round_timeout / 1_000_000).unwrap_or(u32::MAX);
        let (round, claim) = (self.polling.round, self.verified.claim());
        self.open_poll(
            None,
            Poll {
                round,
                claim,
                interval: Interval::all(),
                timeout_ms,
            },
        );
    }

    fn open_poll(&mut self, parent: Option<MemberId>, poll: Poll) {
        if self.open_polls.len() >= MAX_OPEN_POLLS {
            self.open_polls.pop_front();
            self.counts.dropped_polls += 1;
        }
        let own_lag = self.installation.lag_reason(poll.claim);
        let (peers, branches) = (self.peers.clone(), self.settings.poll_branches);
        self.open_polls.push_back(OpenPoll::new(
            poll,
            parent,
            &self.me.member_id.name,
            own_lag,
            peers,
            branches,
        ));
    }

    pub(super) fn handle_poll(&mut self, now: Nanos, from: &MemberId, poll: Poll) {
        self.observe_claim(now, from, poll.claim);
        if self.reject_lower_epoch(from, poll.claim) {
            return;
        }
        self.last_poll_at = Some(now);
        if poll.claim.version > self.verified.version() {
            self.send_pull(now, from);
        }
        let is_same = |open: &OpenPoll| {
            open.parent.as_ref() == Some(from)
                && (open.poll.round, &open.poll.interval) == (poll.round, &poll.interval)
        };
        if !self.open_polls.iter().any(is_same) {
            self.open_poll(Some(from.clone()), poll);
            self.poll_if_due(now);
        }
    }

    pub(super) fn handle_report(&mut self, now: Nanos, from: &MemberId, report: Report) {
        let mut counted = false;
        for open in &mut self.open_polls {
            let is_same =
                open.poll.round == report.round && open.poll.claim.version == report.version;
            counted |= !counted && is_same && open.count_report(from, report.clone()).is_ok();
        }
        if !counted {
            self.counts.uncounted_reports += 1;
        }
        self.close_finished_polls(now);
    }

    /// Removes finished polls: sends their reports to the parents, and records the writer's own round.
    fn close_finished_polls(&mut self, now: Nanos) {
        let (finished, open): (VecDeque<_>, _) =
            self.open_polls.drain(..).partition(OpenPoll::is_finished);
        self.open_polls = open;
        for poll in finished {
            match poll.parent.clone() {
                Some(parent) => self.send(&parent, Message::Report(poll.into_report())),
                None => {
                    let version = poll.poll.claim.version;
                    self.polling
                        .record_round(now, version, poll.tally(), &self.settings);
                }
            }
        }
    }
}
