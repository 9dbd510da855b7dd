//! Which vote this instance casts on the build on trial, and when.
//!
//! Inputs: the sums of the sequential test, the time since the newest pod of the build started, the time to live
//! of votes and how many calls the control plane accepts. A vote in force is renewed late in its time to live, at
//! a random moment. Risks: an early vote to advance leaves too little time for votes against the build; a vote
//! that cannot move the release uses up calls that other votes need.

use crate::interface::{
    Build, Nanos, Phase, ReleaseControl, Stage, Vote, VoteReceipt, VoteSettings,
};
use crate::sequential_test::SequentialTest;
use crate::time::{MILLISECOND, SECOND};
use oorandom::Rand64;

/// The shortest time that the build must have run in the stage before a vote to advance.
pub(crate) const MIN_RUNNING_TIME_TO_ADVANCE: Nanos = 3 * SECOND;
/// The same shortest time where this instance has hardly any evidence.
const MIN_RUNNING_TIME_WITHOUT_EVIDENCE: Nanos = 6 * SECOND;
/// The time that the build has run in the stage after which doubt no longer delays a vote to advance.
const MAX_DOUBT_DELAY: Nanos = 12 * SECOND;
/// The number of attempts to the build that must have ended as evidence for a vote to advance.
pub(crate) const MIN_OUTCOMES_TO_ADVANCE: u32 = 10;
/// The shortest delay after a vote that did not count.
const RETRY_DELAY: Nanos = 100 * MILLISECOND;
/// The longest random addition to that delay, in milliseconds.
const RETRY_JITTER_MS: u64 = 300;
/// The earliest renewal of a vote, as a fraction of the time for which it can be renewed.
const RENEWAL_START: f64 = 0.75;
/// The longest random addition to that, as a fraction of the same time.
const RENEWAL_JITTER: f64 = 0.2;
/// The size of the burst of calls that the control plane accepts at once, in seconds of its call rate.
const CALL_BURST_S: f64 = 2.0;

/// A vote on one stage of a build.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) struct Ballot {
    pub(crate) build: Build,
    pub(crate) stage: usize,
    pub(crate) vote: Vote,
}

/// The state of this instance's vote.
pub(crate) struct VoteState {
    pub(crate) settings: VoteSettings,
    /// The last ballot, if the control plane counted it.
    in_force: Option<Ballot>,
    next_call_at: Nanos,
    call_in_flight: bool,
    /// Since when this instance has wanted to hold the stage, under [`ReleaseControl::Timed`].
    held_since: Option<Nanos>,
}

impl VoteState {
    pub(crate) fn new(settings: VoteSettings) -> VoteState {
        VoteState {
            settings,
            in_force: None,
            next_call_at: 0,
            call_in_flight: false,
            held_since: None,
        }
    }

    pub(crate) fn restart_stage(&mut self) {
        self.held_since = None;
    }

    /// Returns the ballot that this instance wants in force. `running_for` is the time since the newest pod of the
    /// build started or the stage began, whichever was later.
    pub(crate) fn wanted_ballot(
        &mut self,
        now: Nanos,
        test: &SequentialTest,
        stage: Stage,
        running_for: Nanos,
    ) -> Ballot {
        Ballot {
            build: stage.build,
            stage: stage.stage,
            vote: self.wanted_vote(now, test, stage.phase, running_for),
        }
    }

    fn wanted_vote(
        &mut self,
        now: Nanos,
        test: &SequentialTest,
        phase: Phase,
        running_for: Nanos,
    ) -> Vote {
        let on_trial = phase == Phase::Trial;
        if test.rejects() && (on_trial || phase == Phase::Released) {
            return Vote::RollBack;
        }
        if on_trial && self.settings.control == ReleaseControl::Timed {
            return self.timed_vote(now, test.in_doubt());
        }
        let passed = test.accepts() || test.outcomes >= MIN_OUTCOMES_TO_ADVANCE;
        let enough = passed && running_for >= MIN_RUNNING_TIME_TO_ADVANCE;
        let waited_long = self.settings.control == ReleaseControl::Quorum
            && running_for >= MIN_RUNNING_TIME_WITHOUT_EVIDENCE;
        let doubt = (test.in_doubt() || test.periods.active) && running_for < MAX_DOUBT_DELAY;
        if on_trial && !doubt && (waited_long || enough) {
            Vote::Advance
        } else {
            Vote::None
        }
    }

    /// Returns the vote under [`ReleaseControl::Timed`]: hold while in doubt, but for the duration of one stage at
    /// most, however often the doubt returns.
    fn timed_vote(&mut self, now: Nanos, in_doubt: bool) -> Vote {
        if self.held_since.is_none() && in_doubt {
            self.held_since = Some(now);
        }
        match self.held_since {
            Some(since) if in_doubt && now - since < self.settings.stage_duration => Vote::Hold,
            _ => Vote::None,
        }
    }

    /// Whether as many votes to advance can be in force at the same time as are needed to move a stage. The control
    /// plane accepts one burst of calls at once, and then its call rate for the time to live of a vote.
    fn can_advance(&self) -> bool {
        let settings = &self.settings;
        let ttl_s = settings.ttl as f64 / SECOND as f64;
        let max_in_force = settings.calls_per_second * (CALL_BURST_S + ttl_s);
        settings.control != ReleaseControl::Quorum
            || settings.calls_per_second <= 0.0
            || settings.advance_quorum as f64 <= max_in_force
    }

    /// Returns the vote to cast now, if any, and marks the call as in flight.
    pub(crate) fn take_due_vote(&mut self, now: Nanos, wanted: Ballot) -> Option<Vote> {
        let vote = if wanted.vote == Vote::Advance && !self.can_advance() {
            Vote::None
        } else {
            wanted.vote
        };
        let hold_in_force = self
            .in_force
            .is_some_and(|ballot| ballot.vote == Vote::Hold);
        let no_vote_to_cast = vote == Vote::None && !hold_in_force;
        let unchanged = self.in_force.is_none_or(|ballot| ballot == wanted);
        let too_early = now < self.next_call_at && unchanged;
        if self.call_in_flight || no_vote_to_cast || too_early {
            return None;
        }
        self.call_in_flight = true;
        Some(vote)
    }

    /// Records how a ballot cast at `cast_at` was received, and sets the time of the next call: late in the time to
    /// live of the vote, but early enough that a call that times out can be repeated before the vote expires.
    pub(crate) fn record_receipt(
        &mut self,
        now: Nanos,
        cast_at: Nanos,
        ballot: Ballot,
        receipt: VoteReceipt,
        random: &mut Rand64,
    ) {
        self.call_in_flight = false;
        let counted = receipt == VoteReceipt::Counted;
        self.in_force = counted.then_some(ballot);
        let retry_after = RETRY_DELAY + random.rand_range(0..RETRY_JITTER_MS) * MILLISECOND;
        let ttl = self.settings.ttl;
        let renewable_for = ttl.saturating_sub(self.settings.call_timeout).max(ttl / 4) as f64;
        let renewal = cast_at
            + (renewable_for * (RENEWAL_START + RENEWAL_JITTER * random.rand_float())) as Nanos;
        self.next_call_at = if counted { renewal } else { now + retry_after };
    }
}
