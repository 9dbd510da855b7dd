//! Which vote this instance casts on the build on trial, and when.
//!
//! Inputs: the sums of the sequential test, the time since the newest pod of the build started, the votes'
//! lifetime and how many calls the control plane takes. A vote in force is renewed late in its life, at
//! scattered moments. Harm: an early vote to advance takes the time that votes against need; a vote that can
//! move nothing keeps others from being heard.

use crate::interface::{
    Build, Nanos, Phase, ReleaseControl, Stage, Vote, VoteReceipt, VoteSettings,
};
use crate::sequential_test::SequentialTest;
use crate::time::{MILLISECOND, SECOND};
use oorandom::Rand64;

/// From the newest pod's start to a vote to advance, at least.
pub(crate) const MIN_RUNNING_TIME_TO_ADVANCE: Nanos = 3 * SECOND;
/// The same where this instance has hardly any evidence.
const MIN_RUNNING_TIME_WITHOUT_EVIDENCE: Nanos = 6 * SECOND;
/// For how long doubt keeps back a vote to advance.
const MAX_DOUBT_DELAY: Nanos = 12 * SECOND;
/// Attempts that ended on the build and are evidence enough to advance.
pub(crate) const MIN_OUTCOMES_TO_ADVANCE: u32 = 10;
/// After a vote that did not count, at least, and the spread of the moments after that.
const RETRY_DELAY: Nanos = 100 * MILLISECOND;
const RETRY_JITTER_MS: u64 = 300;
/// From which part of a vote's life it is renewed, and over which part the moments are spread.
const RENEWAL_START: f64 = 0.75;
const RENEWAL_JITTER: f64 = 0.2;
/// The seconds' worth of calls that the control plane takes at once.
const CALL_BURST_S: f64 = 2.0;

/// A vote on one stage of a build.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) struct Ballot {
    pub(crate) build: Build,
    pub(crate) stage: usize,
    pub(crate) vote: Vote,
}

/// This instance's vote.
pub(crate) struct VoteState {
    pub(crate) settings: VoteSettings,
    /// The last ballot, if it counted.
    in_force: Option<Ballot>,
    next_call_at: Nanos,
    call_in_flight: bool,
    /// Since when this stage is held, where stages move by the clock.
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

    /// The ballot this instance wants in force. `running_for`: since the newest pod of the build started.
    pub(crate) fn wanted(
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
        let waited = self.settings.control == ReleaseControl::Quorum
            && running_for >= MIN_RUNNING_TIME_WITHOUT_EVIDENCE;
        let doubt = (test.in_doubt() || test.periods.active) && running_for < MAX_DOUBT_DELAY;
        if on_trial && !doubt && (waited || enough) {
            Vote::Advance
        } else {
            Vote::None
        }
    }

    /// Holds for one stage's duration at most, however often the doubt comes back.
    fn timed_vote(&mut self, now: Nanos, in_doubt: bool) -> Vote {
        if self.held_since.is_none() && in_doubt {
            self.held_since = Some(now);
        }
        match self.held_since {
            Some(since) if in_doubt && now - since < self.settings.stage_duration => Vote::Hold,
            _ => Vote::None,
        }
    }

    /// Whether as many votes to advance can be in force together as move a stage: of those that the control
    /// plane takes within a vote's life, a burst comes at once.
    fn can_advance(&self) -> bool {
        let settings = &self.settings;
        let life_s = settings.ttl as f64 / SECOND as f64;
        let most = settings.calls_per_second * (CALL_BURST_S + life_s);
        settings.control != ReleaseControl::Quorum
            || settings.calls_per_second <= 0.0
            || settings.advance_quorum as f64 <= most
    }

    /// The vote to cast now, if any; the call is then taken as in flight.
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
        let early = now < self.next_call_at && unchanged;
        if self.call_in_flight || no_vote_to_cast || early {
            return None;
        }
        self.call_in_flight = true;
        Some(vote)
    }

    /// Takes in how a ballot that was cast at `cast_at` was received, and plans the next call: late in the
    /// vote's life, but so that a call that times out can be made again before it lapses.
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
        let life = ttl.saturating_sub(self.settings.call_timeout).max(ttl / 4) as f64;
        let renewal =
            cast_at + (life * (RENEWAL_START + RENEWAL_JITTER * random.rand_float())) as Nanos;
        self.next_call_at = if counted { renewal } else { now + retry_after };
    }
}
