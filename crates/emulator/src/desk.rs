//! The release desk's stand-in: offers builds, moves stages by votes or the clock, tells of them late.

use crate::book::Book;
use crate::fleet::Fleet;
use crate::notation::{part, Offer, FIRST};
use crate::vote_inbox::VoteInbox;
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
const SETTLES: Nanos = 1_000 * MS;
const BAKE: Nanos = 1_500 * MS;
/// How late news of a change are, how often they are told again, and how long a vote's answer takes.
const NEWS_LATE: Nanos = 200 * MS;
const AGAIN: Nanos = 4_000 * MS;
const ANSWERS: Duration = Duration::from_millis(60);
/// How long pods of a build that goes back stay.
const GOES_BACK: Nanos = 500 * MS;

#[derive(Clone, Debug)]
pub struct Terms {
    pub control: ReleaseControl,
    pub advance_quorum: usize,
    pub rollback_quorum: usize,
    pub life: Nanos,
    pub step: Nanos,
    pub calls_per_second: f64,
    pub caps: Vec<f64>,
    pub shares: Vec<f64>,
    pub places: usize,
}

#[derive(Clone, Copy)]
struct CastVote {
    build: Build,
    stage: usize,
    voice: Vote,
    until: Nanos,
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

pub struct Desk {
    book: Book,
    fleet: Rc<Fleet>,
    terms: Terms,
    offers: Vec<Offer>,
    state: Cell<Option<State>>,
    /// The build that all pods run outside trials, and the one before it, which a late back brings again.
    released: Cell<Build>,
    before: Cell<Build>,
    offered: Cell<usize>,
    /// By sidecar: one vote each.
    votes: RefCell<HashMap<String, CastVote>>,
    calls: RefCell<(Nanos, f64)>,
    pub away: Cell<bool>,
    pub late: Cell<Nanos>,
    pub mute: Cell<bool>,
    /// What happened to builds, for the day's report.
    pub story: RefCell<Vec<String>>,
    groups: Vec<String>,
}

impl Desk {
    pub fn new(
        book: Book,
        fleet: Rc<Fleet>,
        terms: Terms,
        offers: Vec<Offer>,
        groups: Vec<String>,
    ) -> Rc<Desk> {
        Rc::new(Desk {
            book,
            fleet,
            terms,
            offers,
            state: Cell::new(None),
            released: Cell::new(FIRST),
            before: Cell::new(FIRST),
            offered: Cell::new(0),
            votes: RefCell::default(),
            calls: RefCell::new((0, 0.0)),
            away: Cell::new(false),
            late: Cell::new(0),
            mute: Cell::new(false),
            story: RefCell::default(),
            groups,
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

    fn told(&self, state: &State) -> Stage {
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
            sleep(Duration::from_millis(50)).await;
            self.look().await;
        }
    }

    async fn look(&self) {
        let now = self.book.now();
        let next = self
            .offers
            .get(self.offered.get())
            .filter(|offer| offer.at <= now);
        if let Some(offer) = next {
            if let Some(state) = self.state.get().filter(|state| state.phase == Phase::Trial) {
                self.note(format!(
                    "build {} still on trial when the next came: taken off",
                    state.build
                ));
                self.fleet
                    .of(state.build)
                    .iter()
                    .for_each(|pod| self.fleet.drain(pod));
            }
            self.offered.set(self.offered.get() + 1);
            let build = FIRST + self.offered.get() as Build;
            let group = offer
                .group
                .as_ref()
                .and_then(|name| self.groups.iter().position(|known| known == name));
            self.fleet.spoil(build, offer, group);
            self.note(format!(
                "build {build} offered, {}",
                if offer.bad { "bad" } else { "good" }
            ));
            self.enter(build, 0, Phase::Trial);
            self.fill(build, 0).await;
            return;
        }
        let Some(mut state) = self.state.get() else {
            return;
        };
        match state.phase {
            Phase::Trial => {
                if state.clock.is_none() {
                    state.clock = Some(self.book.now() + SETTLES);
                    self.state.set(Some(state));
                }
                let ran = now.saturating_sub(state.clock.unwrap_or(now));
                if self.count(&state, Vote::RollBack) >= self.rollback_quorum() {
                    self.go_back(&state);
                } else if self.moves_on(&state, ran) {
                    self.advance(&state).await;
                }
            }
            Phase::Released if self.count(&state, Vote::RollBack) >= self.rollback_quorum() => {
                // The earlier pods are gone: new ones of the earlier build first.
                let before = self.before.get();
                for _ in self.fleet.of(before).len()..self.terms.places {
                    let _ = self.fleet.start(before, None, false).await;
                }
                self.released.set(before);
                self.go_back(&state);
            }
            Phase::RollingBack if now >= state.since + GOES_BACK => {
                self.fleet
                    .of(state.build)
                    .iter()
                    .for_each(|pod| self.fleet.drain(pod));
                self.enter(state.build, state.stage, Phase::Withdrawn);
            }
            _ => {}
        }
    }

    fn rollback_quorum(&self) -> usize {
        if self.terms.control == ReleaseControl::AnyVote {
            1
        } else {
            self.terms.rollback_quorum
        }
    }

    fn go_back(&self, state: &State) {
        self.enter(state.build, state.stage, Phase::RollingBack);
    }

    fn moves_on(&self, state: &State, ran: Nanos) -> bool {
        match self.terms.control {
            ReleaseControl::AnyVote => ran >= BAKE && self.count(state, Vote::Advance) >= 1,
            ReleaseControl::Quorum => {
                ran >= BAKE && self.count(state, Vote::Advance) >= self.terms.advance_quorum
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
        self.before.set(self.released.replace(state.build));
    }

    /// Starts the pods that a stage's share asks for.
    async fn fill(&self, build: Build, stage: usize) {
        let share = self.terms.shares.get(stage).copied().unwrap_or(1.0);
        for _ in self.fleet.of(build).len()..part(share, self.terms.places) {
            let _ = self.fleet.start(build, None, false).await;
        }
    }

    /// Sidecars whose vote stands for this.
    fn count(&self, state: &State, voice: Vote) -> usize {
        let now = self.book.now();
        let stands = |vote: &&CastVote| {
            vote.until > now
                && vote.build == state.build
                && vote.voice == voice
                && (voice == Vote::RollBack || vote.stage == state.stage)
        };
        self.votes.borrow().values().filter(stands).count()
    }

    fn vote(&self, sidecar: &str, build: Build, stage: usize, voice: Vote) -> VoteReceipt {
        let now = self.book.now();
        let (since, used) = &mut *self.calls.borrow_mut();
        *used = (*used - (now - *since) as f64 / 1e9 * self.terms.calls_per_second).max(0.0) + 1.0;
        *since = now;
        if self.terms.calls_per_second > 0.0 && *used > self.terms.calls_per_second {
            return VoteReceipt::Rejected;
        }
        let fits = self.state.get().is_some_and(|state| {
            let trial = state.phase == Phase::Trial;
            let clock = self.terms.control == ReleaseControl::Timed;
            state.build == build
                && match voice {
                    Vote::None => true,
                    Vote::RollBack => trial || state.phase == Phase::Released,
                    Vote::Advance => trial && !clock && stage == state.stage,
                    Vote::Hold => trial && clock && stage == state.stage,
                }
        });
        if !fits {
            return VoteReceipt::Stale;
        }
        let vote = CastVote {
            build,
            stage,
            voice,
            until: now + self.terms.life,
        };
        self.votes.borrow_mut().insert(sidecar.to_string(), vote);
        VoteReceipt::Counted
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
                sleep(Duration::from_millis(20)).await;
            }
            let listener = match first.take() {
                Some(listener) => Ok(listener),
                None => TcpListener::bind(address).await,
            };
            let Ok(listener) = listener else {
                sleep(Duration::from_millis(20)).await;
                continue;
            };
            let mut followers = JoinSet::new();
            while !self.away.get() {
                tokio::select! {
                    accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                        let desk = self.clone();
                        followers.spawn_local(async move { desk.follower(stream).await });
                    },
                    Some(_) = followers.join_next() => {}
                    () = sleep(Duration::from_millis(20)) => {}
                }
            }
        }
    }

    fn tell(&self, sidecar: &str, stage: &Stage) {
        let Stage {
            build,
            stage,
            phase,
            cap,
            ..
        } = *stage;
        let (sidecar, phase) = (sidecar.to_string(), phase_name(phase));
        self.book.write(Seen::News {
            sidecar,
            build,
            stage,
            phase,
            cap,
        });
    }

    async fn follower(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut framed = Framed::new(
            stream,
            LineCodec::new(control_plane::RequestParser::default(), 1024),
        );
        if framed
            .send(greeting(control_plane::PROTOCOL, None))
            .await
            .is_err()
        {
            return;
        }
        let (mut asks, mut seq) = (VoteInbox::default(), 0);
        // What was told last, and when it is told again.
        let mut told: Option<(Build, usize, Phase, Nanos)> = None;
        loop {
            tokio::select! {
                said = framed.next() => match said {
                    Some(Ok(call)) => call(&mut asks),
                    _ => return,
                },
                () = sleep(Duration::from_millis(50)) => {}
            }
            let Some(name) = asks.sidecar.clone() else {
                continue;
            };
            let mut out = String::new();
            let now = self.book.now();
            if let Some(state) = self.state.get() {
                let now_is = (state.build, state.stage, state.phase);
                let known = told.map(|(build, stage, phase, _)| (build, stage, phase));
                let due = match told {
                    None => true,
                    Some(_) if known != Some(now_is) => {
                        now >= state.since + NEWS_LATE + self.late.get()
                    }
                    Some((.., at)) => now >= at + AGAIN,
                };
                if due {
                    let stage = self.told(&state);
                    seq += 1;
                    self.tell(&name, &stage);
                    control_plane::write_stage(&mut out, seq, &stage);
                    told = Some((state.build, state.stage, state.phase, now));
                }
            }
            for pending in asks.take() {
                sleep(ANSWERS).await;
                let heard = self.vote(&name, pending.build, pending.stage, pending.vote);
                if self.mute.get() {
                    continue;
                }
                let stage = self
                    .state
                    .get()
                    .filter(|_| self.late.get() == 0)
                    .map(|state| self.told(&state));
                if let Some(stage) = &stage {
                    self.tell(&name, stage);
                    let state = self.state.get();
                    told = state
                        .map(|state| (state.build, state.stage, state.phase, now))
                        .or(told);
                }
                seq += 1;
                control_plane::write_vote_reply(&mut out, seq, pending.call, heard, stage.as_ref());
            }
            if !out.is_empty() && framed.send(out).await.is_err() {
                return;
            }
        }
    }
}
