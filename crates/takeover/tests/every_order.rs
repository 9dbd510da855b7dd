//! Faults at every point, at small size: an owner and three backups, one request that must not run twice. Messages arrive
//! in the order in which they were sent; from there so many faults are placed in all ways, each at every point where it
//! fits: a message lost, repeated, held back behind all others or for a step of time, a sidecar killed, paused or cut
//! off, two that do not hear each other. How long a pause, a cut or an attempt lasts is tried in all ways, too, and
//! whether the first attempt ran.
//!
//! By hand, more faults: HAVENPLANK_FAULTS=3 cargo test --release -p havenplank-takeover --test every_order

use havenplank_membership::member::MemberId;
use havenplank_takeover::message::Message;
use havenplank_takeover::record::{AttemptState, Outcome, RequestId};
use havenplank_takeover::{Effect, IncomingRequest, Nanos, RequiredAcks, Rules, Takeover};
use rayon::prelude::*;
use std::collections::hash_map::DefaultHasher;
use std::collections::HashSet;
use std::hash::{Hash, Hasher};
use std::sync::Mutex;

const MS: Nanos = 1_000_000;
const REQUEST: RequestId = 1;
const MANY: usize = 4;
/// What a step of time is, and how many there are: until all records are forgotten by the slowest clock.
const STEP: Nanos = 200 * MS;
const STEPS: u64 = 13;
/// All states with one fault, as recorded: a change of the decisions or of what they depend on moves it.
const RECORDED_STATES: usize = 1_390_875;

fn member_id(id: usize) -> MemberId {
    MemberId {
        name: format!("s-{id}"),
        incarnation: 1,
    }
}

#[derive(Clone, Hash)]
struct Sidecar {
    takeover: Takeover,
    paused: bool,
    /// Whom it does not reach, nor they it.
    cut: [bool; MANY],
    /// Its attempt that is at a pod.
    out: Option<usize>,
}

/// One state of all: sidecars, the messages in flight in their order, and what may still go wrong.
#[derive(Clone, Hash)]
struct World {
    step: u64,
    sidecars: Vec<Option<Sidecar>>,
    in_flight: Vec<(usize, usize, Message)>,
    effects: usize,
    faults: usize,
    killed: bool,
    never_ran: bool,
}

#[derive(Clone, Copy, Debug)]
enum Action {
    /// The nth message arrives; it is the first whose sidecar runs.
    Comes(usize),
    Ran(usize),
    Tick,
    Wakes(usize),
    Heals,
    NeverRan(usize),
    // Faults.
    Lost(usize),
    Doubled(usize),
    /// It goes behind all others.
    Held(usize),
    /// A step of time passes while messages are in flight.
    Late,
    Killed(usize),
    Paused(usize),
    Cut(usize),
    Parted(usize, usize),
}

impl Action {
    fn fault(self) -> bool {
        !matches!(
            self,
            Action::Comes(_)
                | Action::Ran(_)
                | Action::NeverRan(_)
                | Action::Tick
                | Action::Wakes(_)
                | Action::Heals
        )
    }
}

impl World {
    fn new(faults: usize) -> World {
        let rules = Rules {
            retention: 6 * STEP,
            ..Rules::default()
        };
        let sidecar = |id| {
            let takeover =
                Takeover::new(Self::clock(id, 0), id as u64, member_id(id), rules.clone());
            Some(Sidecar {
                takeover,
                paused: false,
                cut: [false; MANY],
                out: None,
            })
        };
        let sidecars = (0..MANY).map(sidecar).collect();
        let (in_flight, killed, never_ran) = (Vec::new(), false, false);
        let mut world = World {
            step: 0,
            sidecars,
            in_flight,
            effects: 0,
            faults,
            killed,
            never_ran,
        };
        let backups = (1..MANY).map(member_id).collect();
        world.call(0, |takeover, now| {
            let incoming = IncomingRequest {
                request: REQUEST,
                digest: 5,
                payload: vec![1],
                remaining: 6 * STEP,
                backups,
            };
            takeover.claim(now, incoming, RequiredAcks::Majority);
        });
        world
    }

    /// Clocks 1% slow, right and 1% fast.
    fn clock(id: usize, step: u64) -> Nanos {
        1_000 * MS + step * STEP / 100 * (99 + id as u64 % 3)
    }

    fn call(&mut self, id: usize, call: impl FnOnce(&mut Takeover, Nanos)) {
        let now = Self::clock(id, self.step);
        let Some(sidecar) = &mut self.sidecars[id] else {
            return;
        };
        call(&mut sidecar.takeover, now);
        while let Some(effect) = self.sidecars[id]
            .as_mut()
            .and_then(|one| one.takeover.next_effect())
        {
            self.carry_out(id, now, effect);
        }
    }

    fn carry_out(&mut self, id: usize, now: Nanos, effect: Effect) {
        let Some(sidecar) = &mut self.sidecars[id] else {
            return;
        };
        match effect {
            Effect::Send { to, message } => {
                let to: usize = to.name[2..].parse().unwrap();
                if sidecar.cut[to] || self.sidecars[to].is_none() {
                    return;
                }
                // Said again while it is under way: one of them is enough, which comes when the other would.
                let same = |known: &(usize, usize, Message)| {
                    (known.0, known.1) == (id, to) && alike(&known.2, &message)
                };
                match self.in_flight.iter().position(same) {
                    Some(at) => self.in_flight[at].2 = message,
                    None => self.in_flight.push((id, to, message)),
                }
            }
            Effect::Claimed(request) => drop(sidecar.takeover.begin_attempt(now, request, "pod")),
            Effect::AttemptReady(request, nth) if sidecar.takeover.may_send(now, request) => {
                sidecar.out = Some(nth);
                self.effects += 1;
            }
            Effect::Unprotected(_) => self.effects += 1,
            Effect::TakenOver(record) => {
                if record
                    .attempts
                    .iter()
                    .any(|attempt| attempt.state != AttemptState::NeverRan)
                {
                    sidecar.takeover.finish(
                        now,
                        record.request,
                        Outcome::Failed { retryable: false },
                    );
                } else {
                    sidecar.takeover.begin_attempt(now, record.request, "pod");
                }
            }
            _ => {}
        }
    }

    fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        let runs = |id: usize| self.sidecars[id].as_ref().is_some_and(|one| !one.paused);
        let first = self.in_flight.iter().position(|(_, to, _)| runs(*to));
        let fault = self.faults > 0;
        let cut = self
            .sidecars
            .iter()
            .flatten()
            .any(|one| one.cut.contains(&true));
        actions.extend((first.is_none() && cut).then_some(Action::Heals));
        match first {
            Some(n) => {
                actions.push(Action::Comes(n));
                if fault {
                    actions.extend([Action::Lost(n), Action::Doubled(n), Action::Late]);
                    actions.extend((n + 1 < self.in_flight.len()).then_some(Action::Held(n)));
                }
            }
            None => actions.push(Action::Tick),
        }
        for id in 0..MANY {
            let Some(one) = &self.sidecars[id] else {
                continue;
            };
            if one.out.is_some() && !one.paused {
                actions.push(Action::Ran(id));
                actions.extend((!self.never_ran).then_some(Action::NeverRan(id)));
            }
            // Between two steps of time only: what comes meanwhile waits for that as well.
            actions.extend((first.is_none() && one.paused).then_some(Action::Wakes(id)));
            actions.extend((fault && !self.killed).then_some(Action::Killed(id)));
            actions.extend((fault && !one.paused).then_some(Action::Paused(id)));
            if fault && !cut {
                actions.push(Action::Cut(id));
                actions.extend((0..id).map(|other| Action::Parted(id, other)));
            }
        }
        actions.retain(|apply| self.step < STEPS || !matches!(apply, Action::Tick | Action::Late));
        actions
    }

    fn apply(&self, apply: Action) -> World {
        let mut next = self.clone();
        match apply {
            Action::Comes(n) => next.comes(n, true),
            Action::Doubled(n) => next.comes(n, false),
            Action::Lost(n) => drop(next.in_flight.remove(n)),
            Action::Held(n) => {
                let message = next.in_flight.remove(n);
                next.in_flight.push(message);
            }
            Action::Tick | Action::Late => {
                next.step += 1;
                for id in 0..MANY {
                    if next.sidecars[id].as_ref().is_some_and(|one| !one.paused) {
                        next.call(id, |takeover, now| takeover.wake(now));
                    }
                }
            }
            Action::Ran(id) => {
                next.sidecars[id].iter_mut().for_each(|one| one.out = None);
                next.call(id, |takeover, now| {
                    takeover.finish(now, REQUEST, Outcome::Served(vec![]))
                });
            }
            Action::NeverRan(id) => {
                next.never_ran = true;
                next.effects -= 1;
                let nth = next.sidecars[id]
                    .as_mut()
                    .and_then(|one| one.out.take())
                    .unwrap();
                next.call(id, |takeover, now| {
                    takeover.end_attempt(now, REQUEST, nth, AttemptState::NeverRan);
                    takeover.begin_attempt(now, REQUEST, "pod");
                });
            }
            Action::Killed(id) => {
                next.killed = true;
                next.sidecars[id] = None;
                next.in_flight.retain(|(_, to, _)| *to != id);
            }
            Action::Paused(id) => next.sidecars[id]
                .iter_mut()
                .for_each(|one| one.paused = true),
            Action::Wakes(id) => {
                next.sidecars[id]
                    .iter_mut()
                    .for_each(|one| one.paused = false);
                next.call(id, |takeover, now| takeover.wake(now));
            }
            Action::Cut(id) => (0..MANY)
                .filter(|other| *other != id)
                .for_each(|other| next.cut(id, other, true)),
            Action::Parted(id, other) => next.cut(id, other, true),
            Action::Heals => next
                .sidecars
                .iter_mut()
                .flatten()
                .for_each(|one| one.cut = [false; MANY]),
        }
        next.faults -= apply.fault() as usize;
        next
    }

    fn cut(&mut self, one: usize, other: usize, cut: bool) {
        for (from, to) in [(one, other), (other, one)] {
            self.sidecars[from]
                .iter_mut()
                .for_each(|sidecar| sidecar.cut[to] = cut);
        }
    }

    fn comes(&mut self, n: usize, gone: bool) {
        let (from, to, message) = self.in_flight[n].clone();
        if gone {
            self.in_flight.remove(n);
        }
        self.call(to, |takeover, now| {
            takeover.receive(now, &member_id(from), message)
        });
    }

    fn broken(&self) -> Option<String> {
        let may = |id: &usize| {
            let one = self.sidecars[*id].as_ref();
            one.is_some_and(|one| one.takeover.may_send(Self::clock(*id, self.step), REQUEST))
        };
        let owners: Vec<usize> = (0..MANY).filter(may).collect();
        if owners.len() > 1 {
            return Some(format!("{owners:?} may all act"));
        }
        (self.effects > 1).then(|| format!("{} effects", self.effects))
    }

    fn known(&self) -> u64 {
        let mut hash = DefaultHasher::new();
        self.hash(&mut hash);
        hash.finish()
    }
}

/// States that were met, and how each way went on.
struct Search {
    seen: Vec<Mutex<HashSet<u64>>>,
}

impl Search {
    fn met(&self, world: &World) -> bool {
        let known = world.known();
        !self.seen[known as usize % self.seen.len()]
            .lock()
            .unwrap()
            .insert(known)
    }

    fn states(&self) -> usize {
        self.seen
            .iter()
            .map(|seen| seen.lock().unwrap().len())
            .sum()
    }

    /// Plays on without a fault, and hands out each state in which the next one may come.
    fn goes_on(&self, from: World, way: Vec<Action>) -> Vec<(World, Vec<Action>)> {
        let (mut open, mut forks) = (vec![(from, way)], Vec::new());
        while let Some((world, way)) = open.pop() {
            for apply in world.actions() {
                let next = world.apply(apply);
                if self.met(&next) {
                    continue;
                }
                let way = [&way[..], &[apply]].concat();
                if let Some(what) = next.broken() {
                    panic!("{what} after {way:?}");
                }
                if apply.fault() { &mut forks } else { &mut open }.push((next, way));
            }
        }
        forks
    }

    fn all(&self, from: World, way: Vec<Action>) {
        self.goes_on(from, way)
            .into_par_iter()
            .for_each(|(world, way)| self.all(world, way));
    }
}

/// The same message, but for its time.
fn alike(one: &Message, other: &Message) -> bool {
    match (one, other) {
        (Message::Store { record: a, .. }, Message::Store { record: b, .. }) => {
            (a.term, a.version, &a.owner) == (b.term, b.version, &b.owner)
        }
        (
            Message::Stored {
                term: a,
                version: b,
                epoch: c,
                ..
            },
            Message::Stored {
                term,
                version,
                epoch,
                ..
            },
        ) => (a, b, c) == (term, version, epoch),
        (Message::RenewLease { .. }, Message::RenewLease { .. }) => true,
        (Message::LeaseRenewed { epoch: a, .. }, Message::LeaseRenewed { epoch, .. }) => a == epoch,
        (Message::RequestVote { term: a, .. }, Message::RequestVote { term, .. }) => a == term,
        (one, other) => one == other,
    }
}

#[test]
fn no_order_of_messages_and_no_fault_runs_a_request_twice() {
    let faults = std::env::var("HAVENPLANK_FAULTS")
        .ok()
        .map_or(1, |text| text.parse().unwrap());
    let search = Search {
        seen: (0..64).map(|_| Mutex::default()).collect(),
    };
    search.all(World::new(faults), Vec::new());
    println!("{} states, {faults} faults", search.states());
    if faults == 1 {
        assert_eq!(search.states(), RECORDED_STATES);
    }
    assert!(
        search.states() > 1_000,
        "{} states: nothing was played",
        search.states()
    );
}
