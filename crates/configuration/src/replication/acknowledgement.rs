//! Who has which version: rounds of polls that the writer begins and every head passes on.

use super::poll::OpenPoll;
use super::status::RoundStatus;
use super::{Nanos, ReplicationSettings, Replicator, Role, OPEN_POLLS};
use crate::interval::Interval;
use crate::message::{LagReason, Message, Poll, Report, Tally};
use crate::version::Version;
use havenplank_membership::member::MemberId;
use std::collections::VecDeque;

/// A name that the last round found behind, and when a round of the present series first did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LaggingPeerStatus {
    /// The peer's name.
    pub name: String,
    /// How it stands to the polled version.
    pub lag_reason: LagReason,
    /// When a round of the present series first found it behind, on the writer's clock, in nanoseconds.
    pub since: Nanos,
}

/// The writer's schedule of polls and what the last round found.
pub(super) struct Polling {
    round: u64,
    next: Option<Nanos>,
    wait: Nanos,
    pub(super) last: Option<RoundStatus>,
}

impl Polling {
    pub(super) fn new(now: Nanos, role: Role, settings: &ReplicationSettings) -> Polling {
        let next = matches!(role, Role::Writer { .. })
            .then(|| now.saturating_add(settings.initial_poll_interval));
        Polling {
            round: 0,
            next,
            wait: settings.initial_poll_interval,
            last: None,
        }
    }

    /// Begins with short waits anew; a poll that is due sooner stays.
    pub(super) fn restart_schedule(&mut self, now: Nanos, settings: &ReplicationSettings) {
        let at = now.saturating_add(settings.initial_poll_interval);
        self.next = Some(self.next.map_or(at, |before| before.min(at)));
        self.wait = settings.initial_poll_interval;
    }

    pub(super) fn stop(&mut self) {
        self.next = None;
    }

    pub(super) fn next_wake(&self) -> Option<Nanos> {
        self.next
    }

    fn record_round(
        &mut self,
        now: Nanos,
        version: Version,
        tally: &Tally,
        settings: &ReplicationSettings,
    ) {
        let before = self.last.take();
        let since = |name: &str| {
            let known = before
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
        self.last = Some(RoundStatus {
            version,
            at: now,
            up_to_date: tally.up_to_date,
            total: tally.total,
            behind,
            unnamed_behind: tally.unnamed_behind,
        });
        if tally.up_to_date == tally.total {
            self.wait = settings.max_poll_interval;
        }
        if let Some(next) = &mut self.next {
            *next = (*next).min(now.saturating_add(self.wait));
        }
        self.wait = self.wait.saturating_mul(2).min(settings.max_poll_interval);
    }
}

impl Replicator {
    pub(super) fn poll_where_due(&mut self, now: Nanos) {
        if self.polling.next.is_some_and(|at| at <= now) && !self.has_open_round() {
            self.begin_round(now);
        }
        for open in 0..self.polls.len() {
            let pending_pull = self.polls[open].ask_due_heads(now, &mut self.rng);
            for (to, poll) in pending_pull {
                self.send(&to, Message::Poll(poll));
            }
        }
        self.close_finished(now);
    }

    /// Whether a round of this writer is under way. The next one waits for its end, which its time-out bounds.
    pub(super) fn has_open_round(&self) -> bool {
        self.polls.iter().any(|open| open.parent.is_none())
    }

    fn begin_round(&mut self, now: Nanos) {
        self.polling.next = Some(now.saturating_add(self.settings.max_poll_interval));
        self.polling.round += 1;
        let timeout_ms = u32::try_from(self.settings.round_timeout / 1_000_000).unwrap_or(u32::MAX);
        let (round, claim) = (self.polling.round, self.verified.claim());
        self.open(
            None,
            Poll {
                round,
                claim,
                interval: Interval::all(),
                timeout_ms,
            },
        );
    }

    fn open(&mut self, parent: Option<MemberId>, poll: Poll) {
        if self.polls.len() >= OPEN_POLLS {
            self.polls.pop_front();
            self.counts.dropped_polls += 1;
        }
        let own = self.installation.lag_reason(poll.claim);
        let (peers, branches) = (self.peers.clone(), self.settings.poll_branches);
        self.polls.push_back(OpenPoll::new(
            poll,
            parent,
            &self.me.member_id.name,
            own,
            peers,
            branches,
        ));
    }

    pub(super) fn handle_poll(&mut self, now: Nanos, from: &MemberId, poll: Poll) {
        self.observe_claim(now, from, poll.claim);
        if self.refuse_lower_epoch(from, poll.claim) {
            return;
        }
        self.last_poll_at = Some(now);
        if poll.claim.version > self.verified.version() {
            self.ask(now, from);
        }
        let same = |open: &OpenPoll| {
            open.parent.as_ref() == Some(from)
                && (open.poll.round, &open.poll.interval) == (poll.round, &poll.interval)
        };
        if !self.polls.iter().any(same) {
            self.open(Some(from.clone()), poll);
            self.poll_where_due(now);
        }
    }

    pub(super) fn handle_report(&mut self, now: Nanos, from: &MemberId, report: Report) {
        let mut counted = false;
        for open in &mut self.polls {
            let same = open.poll.round == report.round && open.poll.claim.version == report.version;
            counted |= !counted && same && open.report(from, report.clone()).is_ok();
        }
        if !counted {
            self.counts.uncounted_reports += 1;
        }
        self.close_finished(now);
    }

    /// Sends the reports of finished rounds, and takes in those of the own one.
    fn close_finished(&mut self, now: Nanos) {
        let (finished, open): (VecDeque<_>, _) =
            self.polls.drain(..).partition(OpenPoll::is_finished);
        self.polls = open;
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
