//! The emulated control plane: offers builds, advances their stages by votes or by time, and announces stages with a
//! delay.

use crate::fleet::Fleet;
use crate::ledger_writer::LedgerWriter;
use crate::scenario_file::{share_of, Offer, FIRST_BUILD};
use crate::vote_inbox::{PendingVote, VoteInbox};
use futures_util::{SinkExt, StreamExt};
use havenplank::interface::{Build, Nanos, Phase, ReleaseControl, Stage, Vote, VoteReceipt};
use havenplank_invariants::ledger::{phase_name, LedgerEvent};
use havenplank_line_protocol::codec::{greeting, LineCodec};
use havenplank_line_protocol::control_plane;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio_util::codec::Framed;

const MS: Nanos = 1_000_000;
/// Log target of release events: log filters and readers know it by this name.
const LOG_TARGET: &str = "havenplank_emulator::desk";
/// Time from the start of a stage's last pod until the duration of the stage begins to count.
const SETTLE_TIME: Nanos = 1_000 * MS;
/// Shortest duration of a stage that votes advance.
const MIN_STAGE_TIME: Nanos = 1_500 * MS;
/// Delay until a change of stage is announced.
const ANNOUNCE_DELAY: Nanos = 200 * MS;
/// Interval at which the same stage is announced again.
const ANNOUNCE_INTERVAL: Nanos = 4_000 * MS;
/// Delay until a vote is answered.
const VOTE_DELAY: Duration = Duration::from_millis(60);
/// How long the pods of a build that is rolled back keep running.
const ROLLBACK_TIME: Nanos = 500 * MS;
/// How often stages are evaluated, and how often a connection checks whether to announce one.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(50);
/// How often the listener checks whether the scenario has made the control plane unavailable.
const AVAILABILITY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest line that a sidecar may send, in bytes.
const MAX_LINE_BYTES: usize = 1024;

/// The rules by which the control plane advances stages and rolls builds back.
#[derive(Clone, Debug)]
pub struct ReleaseRules {
    /// What advances stages: any vote, a quorum or time.
    pub control: ReleaseControl,
    /// Number of sidecars that must vote to advance a stage.
    pub advance_quorum: usize,
    /// Number of sidecars that must vote to roll a build back, or to hold a timed stage.
    pub rollback_quorum: usize,
    /// How long a vote is valid, in nanoseconds.
    pub vote_ttl: Nanos,
    /// How long a timed stage runs, in nanoseconds.
    pub stage_duration: Nanos,
    /// Votes admitted per second from all sidecars together; 0 for no limit.
    pub calls_per_second: f64,
    /// Exposure cap of each stage.
    pub caps: Vec<f64>,
    /// Share of the pods that run the build on trial, by stage.
    pub shares: Vec<f64>,
    /// Number of pods of a complete release.
    pub total_pods: usize,
}

#[derive(Clone, Copy)]
struct CastVote {
    build: Build,
    stage: usize,
    vote: Vote,
    expires: Nanos,
}

/// The stage and the phase of the newest build.
#[derive(Clone, Copy, Debug)]
struct ReleaseState {
    build: Build,
    stage: usize,
    phase: Phase,
    since: Nanos,
    /// When the duration of the stage begins to count; not set while its pods start.
    timed_from: Option<Nanos>,
}

/// The stage that was last announced to a sidecar, and when.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    build: Build,
    stage: usize,
    phase: Phase,
    at: Nanos,
}

impl Announcement {
    fn new(state: &ReleaseState, at: Nanos) -> Announcement {
        Announcement {
            build: state.build,
            stage: state.stage,
            phase: state.phase,
            at,
        }
    }

    fn is_current_for(&self, state: &ReleaseState) -> bool {
        (self.build, self.stage, self.phase) == (state.build, state.stage, state.phase)
    }
}

/// Limits the rate of votes with a leaky bucket.
#[derive(Clone, Copy, Debug, Default)]
struct CallRate {
    since: Nanos,
    level: f64,
}

impl CallRate {
    /// Counts a vote; returns false if it exceeds the allowed rate, if there is one.
    fn admit(&mut self, now: Nanos, per_second: f64) -> bool {
        let leaked = (now - self.since) as f64 / 1e9 * per_second;
        self.level = (self.level - leaked).max(0.0) + 1.0;
        self.since = now;
        per_second <= 0.0 || self.level <= per_second
    }
}

/// The emulated control plane.
pub struct ControlPlane {
    ledger: LedgerWriter,
    fleet: Rc<Fleet>,
    rules: ReleaseRules,
    offers: Vec<Offer>,
    state: Cell<Option<ReleaseState>>,
    /// The build that is released.
    released: Cell<Build>,
    /// The build released before it, which a rollback after the release restores.
    previous: Cell<Build>,
    /// Number of builds offered so far.
    offered: Cell<usize>,
    /// The last vote of each sidecar.
    votes: RefCell<HashMap<String, CastVote>>,
    calls: RefCell<CallRate>,
    /// Whether the control plane is unavailable: nothing listens at its address.
    pub is_unavailable: Cell<bool>,
    /// Further delay of announcements, in nanoseconds.
    pub extra_announce_delay: Cell<Nanos>,
    /// Whether votes are counted but not answered.
    pub withholds_vote_replies: Cell<bool>,
    /// The history of the builds for the report, one line per event; bounded by the offers and their stages.
    pub release_log: RefCell<Vec<String>>,
    route_classes: Vec<String>,
}

impl ControlPlane {
    /// A control plane that offers these builds at their times.
    pub fn new(
        ledger: LedgerWriter,
        fleet: Rc<Fleet>,
        rules: ReleaseRules,
        offers: Vec<Offer>,
        route_classes: Vec<String>,
    ) -> Rc<ControlPlane> {
        Rc::new(ControlPlane {
            ledger,
            fleet,
            rules,
            offers,
            state: Cell::new(None),
            released: Cell::new(FIRST_BUILD),
            previous: Cell::new(FIRST_BUILD),
            offered: Cell::new(0),
            votes: RefCell::default(),
            calls: RefCell::default(),
            is_unavailable: Cell::new(false),
            extra_announce_delay: Cell::new(0),
            withholds_vote_replies: Cell::new(false),
            release_log: RefCell::default(),
            route_classes,
        })
    }

    /// Logs an event of a release and adds it to the history.
    fn log_release(&self, what: String) {
        tracing::info!(target: LOG_TARGET, what, "desk");
        self.release_log
            .borrow_mut()
            .push(format!("{:6.1} s  {what}", self.ledger.now() as f64 / 1e9));
    }

    fn enter(&self, build: Build, stage: usize, phase: Phase) {
        let since = self.ledger.now();
        self.state.set(Some(ReleaseState {
            build,
            stage,
            phase,
            since,
            timed_from: None,
        }));
        self.log_release(format!("build {build} stage {stage}: {phase:?}"));
    }

    fn cap(&self, state: &ReleaseState) -> f64 {
        match state.phase {
            Phase::Trial => self.rules.caps.get(state.stage).copied().unwrap_or(0.0),
            Phase::Released => 1.0,
            Phase::RollingBack | Phase::Withdrawn => 0.0,
        }
    }

    fn announcement(&self, state: &ReleaseState) -> Stage {
        let ReleaseState {
            build,
            stage,
            phase,
            since,
            ..
        } = *state;
        Stage {
            build,
            stage,
            phase,
            cap: self.cap(state),
            age: self.ledger.now().saturating_sub(since),
        }
    }

    /// Offers builds and evaluates their stages until dropped.
    pub async fn run(self: Rc<Self>) {
        loop {
            sleep(EVALUATION_INTERVAL).await;
            self.evaluate().await;
        }
    }

    /// Offers the next build if it is due; otherwise advances the newest build or rolls it back.
    async fn evaluate(&self) {
        let now = self.ledger.now();
        let next = self.offers.get(self.offered.get());
        if let Some(offer) = next.filter(|offer| offer.at <= now) {
            self.offer(offer).await;
            return;
        }
        let Some(state) = self.state.get() else {
            return;
        };
        match state.phase {
            Phase::Trial => self.evaluate_trial(state, now).await,
            Phase::Released if self.rollback_is_voted(&state) => {
                self.restore_previous().await;
                self.start_rollback(&state);
            }
            Phase::RollingBack if now >= state.since + ROLLBACK_TIME => {
                self.drain_build(state.build);
                self.enter(state.build, state.stage, Phase::Withdrawn);
            }
            _ => {}
        }
    }

    /// Starts the trial of the next build; the pods of a build that is still on trial are drained first.
    async fn offer(&self, offer: &Offer) {
        if let Some(state) = self.state.get().filter(|state| state.phase == Phase::Trial) {
            self.log_release(format!(
                "build {} still on trial when the next came: taken off",
                state.build
            ));
            self.drain_build(state.build);
        }
        self.offered.set(self.offered.get() + 1);
        let build = FIRST_BUILD + self.offered.get() as Build;
        let class = offer.route_class.as_ref().and_then(|name| {
            let mut names = self.route_classes.iter();
            names.position(|known| known == name)
        });
        self.fleet.set_build_faults(build, offer, class);
        let quality = if offer.bad { "bad" } else { "good" };
        self.log_release(format!("build {build} offered, {quality}"));
        self.enter(build, 0, Phase::Trial);
        self.start_stage_pods(build, 0).await;
    }

    async fn evaluate_trial(&self, mut state: ReleaseState, now: Nanos) {
        if state.timed_from.is_none() {
            state.timed_from = Some(self.ledger.now() + SETTLE_TIME);
            self.state.set(Some(state));
        }
        let elapsed = now.saturating_sub(state.timed_from.unwrap_or(now));
        if self.rollback_is_voted(&state) {
            self.start_rollback(&state);
        } else if self.may_advance(&state, elapsed) {
            self.advance(&state).await;
        }
    }

    /// Starts pods of the build before the released one, whose own pods were drained at the release.
    async fn restore_previous(&self) {
        let previous = self.previous.get();
        for _ in self.fleet.running_of_build(previous).len()..self.rules.total_pods {
            let _ = self.fleet.start(previous, None, false).await;
        }
        self.released.set(previous);
    }

    fn drain_build(&self, build: Build) {
        for pod in self.fleet.running_of_build(build) {
            self.fleet.drain(&pod);
        }
    }

    fn rollback_is_voted(&self, state: &ReleaseState) -> bool {
        self.count_votes(state, Vote::RollBack) >= self.rollback_quorum()
    }

    fn rollback_quorum(&self) -> usize {
        if self.rules.control == ReleaseControl::AnyVote {
            1
        } else {
            self.rules.rollback_quorum
        }
    }

    fn start_rollback(&self, state: &ReleaseState) {
        self.enter(state.build, state.stage, Phase::RollingBack);
    }

    fn may_advance(&self, state: &ReleaseState, elapsed: Nanos) -> bool {
        match self.rules.control {
            ReleaseControl::AnyVote => {
                elapsed >= MIN_STAGE_TIME && self.count_votes(state, Vote::Advance) >= 1
            }
            ReleaseControl::Quorum => {
                elapsed >= MIN_STAGE_TIME
                    && self.count_votes(state, Vote::Advance) >= self.rules.advance_quorum
            }
            ReleaseControl::Timed => {
                elapsed >= self.rules.stage_duration
                    && self.count_votes(state, Vote::Hold) < self.rules.rollback_quorum
            }
        }
    }

    async fn advance(&self, state: &ReleaseState) {
        let stage = state.stage + 1;
        if stage < self.rules.shares.len() {
            self.enter(state.build, stage, Phase::Trial);
            self.start_stage_pods(state.build, stage).await;
            return;
        }
        self.enter(state.build, state.stage, Phase::Released);
        let old = self
            .fleet
            .running()
            .into_iter()
            .filter(|pod| pod.identity.build < state.build);
        old.for_each(|pod| self.fleet.drain(&pod));
        self.previous.set(self.released.replace(state.build));
    }

    /// Starts pods until the build has the share of all pods that its stage requires.
    async fn start_stage_pods(&self, build: Build, stage: usize) {
        let share = self.rules.shares.get(stage).copied().unwrap_or(1.0);
        for _ in self.fleet.running_of_build(build).len()..share_of(share, self.rules.total_pods) {
            let _ = self.fleet.start(build, None, false).await;
        }
    }

    /// Number of sidecars with this valid vote on the build, and on the stage unless it is a vote to roll back.
    fn count_votes(&self, state: &ReleaseState, vote: Vote) -> usize {
        let now = self.ledger.now();
        let is_valid = |cast: &&CastVote| {
            cast.expires > now
                && cast.build == state.build
                && cast.vote == vote
                && (vote == Vote::RollBack || cast.stage == state.stage)
        };
        self.votes.borrow().values().filter(is_valid).count()
    }

    /// Replaces a sidecar's last vote by this one, unless the vote is over the rate limit or stale.
    fn receive_vote(&self, sidecar: &str, pending: &PendingVote) -> VoteReceipt {
        let now = self.ledger.now();
        let per_second = self.rules.calls_per_second;
        if !self.calls.borrow_mut().admit(now, per_second) {
            return VoteReceipt::Rejected;
        }
        let state = self.state.get();
        if !state.is_some_and(|state| self.is_current(&state, pending)) {
            return VoteReceipt::Stale;
        }
        let cast = CastVote {
            build: pending.build,
            stage: pending.stage,
            vote: pending.vote,
            expires: now + self.rules.vote_ttl,
        };
        self.votes.borrow_mut().insert(sidecar.to_string(), cast);
        VoteReceipt::Counted
    }

    /// Whether a vote is on the current build and stage, and of a kind that has an effect there.
    fn is_current(&self, state: &ReleaseState, pending: &PendingVote) -> bool {
        let trial = state.phase == Phase::Trial;
        let timed = self.rules.control == ReleaseControl::Timed;
        let same_stage = pending.stage == state.stage;
        state.build == pending.build
            && match pending.vote {
                Vote::None => true,
                Vote::RollBack => trial || state.phase == Phase::Released,
                Vote::Advance => trial && !timed && same_stage,
                Vote::Hold => trial && timed && same_stage,
            }
    }

    /// Serves until dropped: first on the listener, and after each time of being unavailable on a new one at its
    /// address.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let Ok(address) = listener.local_addr() else {
            return;
        };
        let mut first = Some(listener);
        loop {
            while self.is_unavailable.get() {
                first = None;
                sleep(AVAILABILITY_CHECK_INTERVAL).await;
            }
            let listener = match first.take() {
                Some(listener) => Ok(listener),
                None => TcpListener::bind(address).await,
            };
            let Ok(listener) = listener else {
                sleep(AVAILABILITY_CHECK_INTERVAL).await;
                continue;
            };
            let mut connections = JoinSet::new();
            while !self.is_unavailable.get() {
                tokio::select! {
                    accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                        let control_plane = self.clone();
                        connections.spawn_local(async move { control_plane.serve_sidecar(stream).await });
                    },
                    Some(_) = connections.join_next() => {}
                    () = sleep(AVAILABILITY_CHECK_INTERVAL) => {}
                }
            }
        }
    }

    /// Records in the ledger that a stage is announced to a sidecar.
    fn record_announcement(&self, sidecar: &str, stage: &Stage) {
        self.ledger.write(LedgerEvent::StageAnnounced {
            sidecar: sidecar.to_string(),
            build: stage.build,
            stage: stage.stage,
            phase: phase_name(stage.phase),
            cap: stage.cap,
        });
    }

    /// Serves one sidecar until it disconnects.
    async fn serve_sidecar(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let codec = LineCodec::new(control_plane::RequestParser::default(), MAX_LINE_BYTES);
        let mut framed = Framed::new(stream, codec);
        let greeting = greeting(control_plane::PROTOCOL, None);
        if framed.send(greeting).await.is_err() {
            return;
        }
        let mut inbox = VoteInbox::default();
        let mut connection = Connection {
            control_plane: self,
            sequence: 0,
            announced: None,
        };
        loop {
            tokio::select! {
                received = framed.next() => match received {
                    Some(Ok(call)) => call(&mut inbox),
                    _ => return,
                },
                () = sleep(EVALUATION_INTERVAL) => {}
            }
            let Some(sidecar) = inbox.sidecar.clone() else {
                continue;
            };
            let mut out = String::new();
            let now = self.ledger.now();
            connection.announce_due(&mut out, &sidecar, now);
            for vote in inbox.take() {
                connection.answer_vote(&mut out, &sidecar, &vote, now).await;
            }
            if !out.is_empty() && framed.send(out).await.is_err() {
                return;
            }
        }
    }
}

/// The connection of one sidecar.
struct Connection<'a> {
    control_plane: &'a ControlPlane,
    /// Sequence number of the last message.
    sequence: u64,
    announced: Option<Announcement>,
}

impl Connection<'_> {
    /// Announces a changed stage after the delay, and the same stage again at an interval.
    fn announce_due(&mut self, out: &mut String, sidecar: &str, now: Nanos) {
        let Some(state) = self.control_plane.state.get() else {
            return;
        };
        let due = match self.announced {
            None => true,
            Some(announced) if announced.is_current_for(&state) => {
                now >= announced.at + ANNOUNCE_INTERVAL
            }
            Some(_) => {
                now >= state.since + ANNOUNCE_DELAY + self.control_plane.extra_announce_delay.get()
            }
        };
        if !due {
            return;
        }
        let stage = self.control_plane.announcement(&state);
        self.sequence += 1;
        self.control_plane.record_announcement(sidecar, &stage);
        control_plane::write_stage(out, self.sequence, &stage);
        self.announced = Some(Announcement::new(&state, now));
    }

    /// Counts a vote and answers it; the answer holds the stage unless announcements are delayed further.
    async fn answer_vote(
        &mut self,
        out: &mut String,
        sidecar: &str,
        vote: &PendingVote,
        now: Nanos,
    ) {
        sleep(VOTE_DELAY).await;
        let receipt = self.control_plane.receive_vote(sidecar, vote);
        if self.control_plane.withholds_vote_replies.get() {
            return;
        }
        let on_time = self.control_plane.extra_announce_delay.get() == 0;
        let state = self.control_plane.state.get().filter(|_| on_time);
        let stage = state.map(|state| self.control_plane.announcement(&state));
        if let (Some(state), Some(stage)) = (&state, &stage) {
            self.control_plane.record_announcement(sidecar, stage);
            self.announced = Some(Announcement::new(state, now));
        }
        self.sequence += 1;
        control_plane::write_vote_reply(out, self.sequence, vote.call, receipt, stage.as_ref());
    }
}
