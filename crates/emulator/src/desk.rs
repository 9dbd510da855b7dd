//! The emulated control plane: offers builds, moves their stages by votes or by time, announces stages late.

use crate::book::Book;
use crate::fleet::Fleet;
use crate::notation::{part, Offer, FIRST};
use crate::vote_inbox::{PendingVote, VoteInbox};
use futures_util::{SinkExt, StreamExt};
use havenplank::interface::{Build, Nanos, Phase, ReleaseControl, Stage, Vote, VoteReceipt};
use havenplank_invariants::ledger::{phase_name, Seen};
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
/// How long after the last pod of a stage started its clock starts.
const SETTLE_TIME: Nanos = 1_000 * MS;
/// How long a stage that votes move runs at least.
const MIN_STAGE_TIME: Nanos = 1_500 * MS;
/// How late a change of stage is announced.
const ANNOUNCE_DELAY: Nanos = 200 * MS;
/// How often a stage is announced again.
const ANNOUNCE_INTERVAL: Nanos = 4_000 * MS;
/// How long a vote's answer takes.
const VOTE_DELAY: Duration = Duration::from_millis(60);
/// How long pods of a build that is rolled back stay.
const ROLLBACK_TIME: Nanos = 500 * MS;
/// How often stages are evaluated, and how often a connection looks for news.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(50);
/// How often the listener looks whether the control plane is to be away.
const AWAY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest line that a sidecar may send, in bytes.
const MAX_LINE: usize = 1024;

/// By what the control plane moves stages.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Who moves stages.
    pub control: ReleaseControl,
    /// Sidecars that must vote to advance.
    pub advance_quorum: usize,
    /// Sidecars that must vote to roll back, or to hold a timed stage.
    pub rollback_quorum: usize,
    /// How long a vote stands, in nanoseconds.
    pub life: Nanos,
    /// How long a timed stage runs, in nanoseconds.
    pub step: Nanos,
    /// Votes taken a second, all sidecars together; 0 for no limit.
    pub calls_per_second: f64,
    /// Exposure cap of each stage.
    pub caps: Vec<f64>,
    /// Share of the pods that each stage gets.
    pub shares: Vec<f64>,
    /// Pods of a complete release.
    pub places: usize,
}

#[derive(Clone, Copy)]
struct CastVote {
    build: Build,
    stage: usize,
    vote: Vote,
    expires: Nanos,
}

/// Where the newest build stands.
#[derive(Clone, Copy, Debug)]
struct State {
    build: Build,
    stage: usize,
    phase: Phase,
    since: Nanos,
    /// When the stage's clock started.
    clock: Option<Nanos>,
}

/// The stage that a sidecar was told last, and when.
#[derive(Clone, Copy, Debug)]
struct Announced {
    build: Build,
    stage: usize,
    phase: Phase,
    at: Nanos,
}

impl Announced {
    fn new(state: &State, at: Nanos) -> Announced {
        Announced {
            build: state.build,
            stage: state.stage,
            phase: state.phase,
            at,
        }
    }

    fn is_of(&self, state: &State) -> bool {
        (self.build, self.stage, self.phase) == (state.build, state.stage, state.phase)
    }
}

/// Votes taken lately, as a bucket that leaks at the allowed rate.
#[derive(Clone, Copy, Debug, Default)]
struct CallRate {
    since: Nanos,
    used: f64,
}

impl CallRate {
    /// Counts a call; false if it is over the allowed rate, where there is one.
    fn admit(&mut self, now: Nanos, per_second: f64) -> bool {
        let leaked = (now - self.since) as f64 / 1e9 * per_second;
        self.used = (self.used - leaked).max(0.0) + 1.0;
        self.since = now;
        per_second <= 0.0 || self.used <= per_second
    }
}

/// The emulated control plane.
pub struct Desk {
    book: Book,
    fleet: Rc<Fleet>,
    terms: Terms,
    offers: Vec<Offer>,
    state: Cell<Option<State>>,
    /// The build that all pods run outside trials.
    released: Cell<Build>,
    /// The build before it, which a late rollback brings again.
    previous: Cell<Build>,
    offered: Cell<usize>,
    /// By sidecar: one vote each.
    votes: RefCell<HashMap<String, CastVote>>,
    calls: RefCell<CallRate>,
    /// Whether nothing listens.
    pub away: Cell<bool>,
    /// How much later than usual stages are announced, in nanoseconds.
    pub late: Cell<Nanos>,
    /// Whether votes are counted but not answered.
    pub mute: Cell<bool>,
    /// What happened to builds, for the report; bounded by the offers and their stages.
    pub story: RefCell<Vec<String>>,
    route_classes: Vec<String>,
}

impl Desk {
    /// A control plane that will offer these builds, at their times.
    pub fn new(
        book: Book,
        fleet: Rc<Fleet>,
        terms: Terms,
        offers: Vec<Offer>,
        route_classes: Vec<String>,
    ) -> Rc<Desk> {
        Rc::new(Desk {
            book,
            fleet,
            terms,
            offers,
            state: Cell::new(None),
            released: Cell::new(FIRST),
            previous: Cell::new(FIRST),
            offered: Cell::new(0),
            votes: RefCell::default(),
            calls: RefCell::default(),
            away: Cell::new(false),
            late: Cell::new(0),
            mute: Cell::new(false),
            story: RefCell::default(),
            route_classes,
        })
    }

    fn note(&self, what: String) {
        tracing::info!(what, "desk");
        self.story
            .borrow_mut()
            .push(format!("{:6.1} s  {what}", self.book.now() as f64 / 1e9));
    }

    fn enter(&self, build: Build, stage: usize, phase: Phase) {
        let since = self.book.now();
        self.state.set(Some(State {
            build,
            stage,
            phase,
            since,
            clock: None,
        }));
        self.note(format!("build {build} stage {stage}: {phase:?}"));
    }

    fn cap(&self, state: &State) -> f64 {
        match state.phase {
            Phase::Trial => self.terms.caps.get(state.stage).copied().unwrap_or(0.0),
            Phase::Released => 1.0,
            Phase::RollingBack | Phase::Withdrawn => 0.0,
        }
    }

    fn announcement(&self, state: &State) -> Stage {
        let State {
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
            age: self.book.now().saturating_sub(since),
        }
    }

    /// Runs the stages until dropped.
    pub async fn run(self: Rc<Self>) {
        loop {
            sleep(EVALUATION_INTERVAL).await;
            self.evaluate().await;
        }
    }

    /// Offers the next build if it is due, and moves the newest build on or back otherwise.
    async fn evaluate(&self) {
        let now = self.book.now();
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
                self.roll_back(&state);
            }
            Phase::RollingBack if now >= state.since + ROLLBACK_TIME => {
                self.drain_build(state.build);
                self.enter(state.build, state.stage, Phase::Withdrawn);
            }
            _ => {}
        }
    }

    /// Starts the trial of the next build; one that is still on trial is withdrawn first.
    async fn offer(&self, offer: &Offer) {
        if let Some(state) = self.state.get().filter(|state| state.phase == Phase::Trial) {
            self.note(format!(
                "build {} still on trial when the next came: taken off",
                state.build
            ));
            self.drain_build(state.build);
        }
        self.offered.set(self.offered.get() + 1);
        let build = FIRST + self.offered.get() as Build;
        let class = offer.group.as_ref().and_then(|name| {
            let mut known = self.route_classes.iter();
            known.position(|known| known == name)
        });
        self.fleet.spoil(build, offer, class);
        let quality = if offer.bad { "bad" } else { "good" };
        self.note(format!("build {build} offered, {quality}"));
        self.enter(build, 0, Phase::Trial);
        self.fill(build, 0).await;
    }

    async fn evaluate_trial(&self, mut state: State, now: Nanos) {
        if state.clock.is_none() {
            state.clock = Some(self.book.now() + SETTLE_TIME);
            self.state.set(Some(state));
        }
        let ran = now.saturating_sub(state.clock.unwrap_or(now));
        if self.rollback_is_voted(&state) {
            self.roll_back(&state);
        } else if self.moves_on(&state, ran) {
            self.advance(&state).await;
        }
    }

    /// Starts pods of the build before the released one, as its own are gone.
    async fn restore_previous(&self) {
        let previous = self.previous.get();
        for _ in self.fleet.of(previous).len()..self.terms.places {
            let _ = self.fleet.start(previous, None, false).await;
        }
        self.released.set(previous);
    }

    fn drain_build(&self, build: Build) {
        for pod in self.fleet.of(build) {
            self.fleet.drain(&pod);
        }
    }

    fn rollback_is_voted(&self, state: &State) -> bool {
        self.count(state, Vote::RollBack) >= self.rollback_quorum()
    }

    fn rollback_quorum(&self) -> usize {
        if self.terms.control == ReleaseControl::AnyVote {
            1
        } else {
            self.terms.rollback_quorum
        }
    }

    fn roll_back(&self, state: &State) {
        self.enter(state.build, state.stage, Phase::RollingBack);
    }

    fn moves_on(&self, state: &State, ran: Nanos) -> bool {
        match self.terms.control {
            ReleaseControl::AnyVote => {
                ran >= MIN_STAGE_TIME && self.count(state, Vote::Advance) >= 1
            }
            ReleaseControl::Quorum => {
                ran >= MIN_STAGE_TIME
                    && self.count(state, Vote::Advance) >= self.terms.advance_quorum
            }
            ReleaseControl::Timed => {
                ran >= self.terms.step && self.count(state, Vote::Hold) < self.terms.rollback_quorum
            }
        }
    }

    async fn advance(&self, state: &State) {
        let stage = state.stage + 1;
        if stage < self.terms.shares.len() {
            self.enter(state.build, stage, Phase::Trial);
            self.fill(state.build, stage).await;
            return;
        }
        self.enter(state.build, state.stage, Phase::Released);
        let old = self
            .fleet
            .running()
            .into_iter()
            .filter(|pod| pod.who.build < state.build);
        old.for_each(|pod| self.fleet.drain(&pod));
        self.previous.set(self.released.replace(state.build));
    }

    /// Starts the pods that a stage's share asks for.
    async fn fill(&self, build: Build, stage: usize) {
        let share = self.terms.shares.get(stage).copied().unwrap_or(1.0);
        for _ in self.fleet.of(build).len()..part(share, self.terms.places) {
            let _ = self.fleet.start(build, None, false).await;
        }
    }

    /// Sidecars whose vote stands for this.
    fn count(&self, state: &State, vote: Vote) -> usize {
        let now = self.book.now();
        let stands = |cast: &&CastVote| {
            cast.expires > now
                && cast.build == state.build
                && cast.vote == vote
                && (vote == Vote::RollBack || cast.stage == state.stage)
        };
        self.votes.borrow().values().filter(stands).count()
    }

    /// Takes a sidecar's vote in place of its last one.
    fn receive_vote(&self, sidecar: &str, pending: &PendingVote) -> VoteReceipt {
        let now = self.book.now();
        let per_second = self.terms.calls_per_second;
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
            expires: now + self.terms.life,
        };
        self.votes.borrow_mut().insert(sidecar.to_string(), cast);
        VoteReceipt::Counted
    }

    /// Whether a vote is of the build and the stage as they stand, and of a kind that matters there.
    fn is_current(&self, state: &State, pending: &PendingVote) -> bool {
        let trial = state.phase == Phase::Trial;
        let timed = self.terms.control == ReleaseControl::Timed;
        let same_stage = pending.stage == state.stage;
        state.build == pending.build
            && match pending.vote {
                Vote::None => true,
                Vote::RollBack => trial || state.phase == Phase::Released,
                Vote::Advance => trial && !timed && same_stage,
                Vote::Hold => trial && timed && same_stage,
            }
    }

    /// Serves on a listener, and later on its address, until dropped; while away, nothing listens there.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let Ok(address) = listener.local_addr() else {
            return;
        };
        let mut first = Some(listener);
        loop {
            while self.away.get() {
                first = None;
                sleep(AWAY_CHECK_INTERVAL).await;
            }
            let listener = match first.take() {
                Some(listener) => Ok(listener),
                None => TcpListener::bind(address).await,
            };
            let Ok(listener) = listener else {
                sleep(AWAY_CHECK_INTERVAL).await;
                continue;
            };
            let mut connections = JoinSet::new();
            while !self.away.get() {
                tokio::select! {
                    accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                        let desk = self.clone();
                        connections.spawn_local(async move { desk.serve_sidecar(stream).await });
                    },
                    Some(_) = connections.join_next() => {}
                    () = sleep(AWAY_CHECK_INTERVAL) => {}
                }
            }
        }
    }

    /// Writes into the ledger that a sidecar is told of a stage.
    fn record_announcement(&self, sidecar: &str, stage: &Stage) {
        self.book.write(Seen::News {
            sidecar: sidecar.to_string(),
            build: stage.build,
            stage: stage.stage,
            phase: phase_name(stage.phase),
            cap: stage.cap,
        });
    }

    /// Serves one sidecar until it leaves.
    async fn serve_sidecar(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let codec = LineCodec::new(control_plane::RequestParser::default(), MAX_LINE);
        let mut framed = Framed::new(stream, codec);
        let greeting = greeting(control_plane::PROTOCOL, None);
        if framed.send(greeting).await.is_err() {
            return;
        }
        let mut inbox = VoteInbox::default();
        let mut connection = Connection {
            desk: self,
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
            let now = self.book.now();
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

/// One sidecar's connection.
struct Connection<'a> {
    desk: &'a Desk,
    /// Number of the message sent last.
    sequence: u64,
    announced: Option<Announced>,
}

impl Connection<'_> {
    /// Announces the stage to a sidecar that does not know it in time, and again now and then.
    fn announce_due(&mut self, out: &mut String, sidecar: &str, now: Nanos) {
        let Some(state) = self.desk.state.get() else {
            return;
        };
        let due = match self.announced {
            None => true,
            Some(announced) if announced.is_of(&state) => now >= announced.at + ANNOUNCE_INTERVAL,
            Some(_) => now >= state.since + ANNOUNCE_DELAY + self.desk.late.get(),
        };
        if !due {
            return;
        }
        let stage = self.desk.announcement(&state);
        self.sequence += 1;
        self.desk.record_announcement(sidecar, &stage);
        control_plane::write_stage(out, self.sequence, &stage);
        self.announced = Some(Announced::new(&state, now));
    }

    /// Counts a vote and answers it, with the stage unless announcements are late.
    async fn answer_vote(
        &mut self,
        out: &mut String,
        sidecar: &str,
        vote: &PendingVote,
        now: Nanos,
    ) {
        sleep(VOTE_DELAY).await;
        let receipt = self.desk.receive_vote(sidecar, vote);
        if self.desk.mute.get() {
            return;
        }
        let on_time = self.desk.late.get() == 0;
        let state = self.desk.state.get().filter(|_| on_time);
        let stage = state.map(|state| self.desk.announcement(&state));
        if let (Some(state), Some(stage)) = (&state, &stage) {
            self.desk.record_announcement(sidecar, stage);
            self.announced = Some(Announced::new(state, now));
        }
        self.sequence += 1;
        control_plane::write_vote_reply(out, self.sequence, vote.call, receipt, stage.as_ref());
    }
}
