//! Exhaustive test of faults at small size: one owner, three backups and one request that must not run twice. Without a
//! fault, messages arrive in the order in which they were sent. The test places a given number of faults in all ways,
//! each at every point where it can occur: a message is lost, repeated, delayed behind all others or by a time step; a
//! sidecar is killed, paused or cut off from all others; two sidecars are cut off from each other. The test also tries
//! all durations of pauses, cuts and attempts, and whether the first attempt ran or not.
//!
//! To run it with more faults: HAVENPLANK_FAULTS=3 cargo test --release -p havenplank-takeover --test exhaustive_faults

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
const SIDECARS: usize = 4;
/// The length of a time step and the number of time steps. After the last one, all records have expired, on the slowest
/// clock, too.
const TIME_STEP: Nanos = 200 * MS;
const TIME_STEPS: u64 = 13;
/// The recorded number of states with one fault. A change to the decisions, or to what they depend on, changes this
/// number.
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
    /// The sidecars that it does not reach and that do not reach it.
    cut_off_from: [bool; SIDECARS],
    /// The index of its attempt that is running at a pod.
    attempt_at_pod: Option<usize>,
}

/// A state of the whole system: the sidecars, the messages in flight in their order, and the faults that may still
/// occur.
#[derive(Clone, Hash)]
struct SystemState {
    step: u64,
    sidecars: Vec<Option<Sidecar>>,
    /// Sender, receiver and message, in the order of arrival.
    in_flight: Vec<(usize, usize, Message)>,
    /// How many times the request ran.
    executions: usize,
    faults_left: usize,
    killed: bool,
    /// Whether an attempt has already ended without running.
    never_ran: bool,
}

#[derive(Clone, Copy, Debug)]
enum Action {
    /// Delivers the message at this index, the first one whose receiver is running.
    Deliver(usize),
    /// The attempt of this sidecar ends; it ran.
    AttemptRan(usize),
    Tick,
    Resume(usize),
    HealCuts,
    /// The attempt of this sidecar ends; it never ran.
    AttemptNeverRan(usize),
    // Faults:
    LoseMessage(usize),
    DuplicateMessage(usize),
    /// Moves the message behind all others.
    DelayMessage(usize),
    /// A time step passes while messages are in flight.
    LateTick,
    Kill(usize),
    Pause(usize),
    /// Cuts a sidecar off from all others.
    CutOff(usize),
    /// Cuts two sidecars off from each other.
    CutLink(usize, usize),
}

impl Action {
    fn is_fault(self) -> bool {
        !matches!(
            self,
            Action::Deliver(_)
                | Action::AttemptRan(_)
                | Action::AttemptNeverRan(_)
                | Action::Tick
                | Action::Resume(_)
                | Action::HealCuts
        )
    }
}

impl SystemState {
    fn new(faults_left: usize) -> SystemState {
        let rules = Rules {
            retention: 6 * TIME_STEP,
            ..Rules::default()
        };
        let sidecar = |id| {
            let takeover =
                Takeover::new(Self::clock(id, 0), id as u64, member_id(id), rules.clone());
            Some(Sidecar {
                takeover,
                paused: false,
                cut_off_from: [false; SIDECARS],
                attempt_at_pod: None,
            })
        };
        let sidecars = (0..SIDECARS).map(sidecar).collect();
        let (in_flight, killed, never_ran) = (Vec::new(), false, false);
        let mut state = SystemState {
            step: 0,
            sidecars,
            in_flight,
            executions: 0,
            faults_left,
            killed,
            never_ran,
        };
        let backups = (1..SIDECARS).map(member_id).collect();
        state.with_takeover(0, |takeover, now| {
            let incoming = IncomingRequest {
                request: REQUEST,
                digest: 5,
                payload: vec![1],
                remaining: 6 * TIME_STEP,
                backups,
            };
            takeover.claim(now, incoming, RequiredAcks::Majority);
        });
        state
    }

    /// Returns the time on the sidecar's own clock: clocks are 1% slow, exact or 1% fast.
    fn clock(id: usize, step: u64) -> Nanos {
        1_000 * MS + step * TIME_STEP / 100 * (99 + id as u64 % 3)
    }

    fn with_takeover(&mut self, id: usize, operation: impl FnOnce(&mut Takeover, Nanos)) {
        let now = Self::clock(id, self.step);
        let Some(sidecar) = &mut self.sidecars[id] else {
            return;
        };
        operation(&mut sidecar.takeover, now);
        while let Some(effect) = self.sidecars[id]
            .as_mut()
            .and_then(|sidecar| sidecar.takeover.next_effect())
        {
            self.perform_effect(id, now, effect);
        }
    }

    fn perform_effect(&mut self, id: usize, now: Nanos, effect: Effect) {
        let Some(sidecar) = &mut self.sidecars[id] else {
            return;
        };
        match effect {
            Effect::Send { to, message } => {
                let to: usize = to.name[2..].parse().unwrap();
                if sidecar.cut_off_from[to] || self.sidecars[to].is_none() {
                    return;
                }
                // A message that is sent again while an earlier copy is in flight replaces that copy: one is enough,
                // and it arrives when the earlier copy would.
                let is_same = |known: &(usize, usize, Message)| {
                    (known.0, known.1) == (id, to) && equal_except_time(&known.2, &message)
                };
                match self.in_flight.iter().position(is_same) {
                    Some(position) => self.in_flight[position].2 = message,
                    None => self.in_flight.push((id, to, message)),
                }
            }
            Effect::Claimed(request) => drop(sidecar.takeover.begin_attempt(now, request, "pod")),
            Effect::AttemptReady(request, index) if sidecar.takeover.may_send(now, request) => {
                sidecar.attempt_at_pod = Some(index);
                self.executions += 1;
            }
            Effect::Unprotected(_) => self.executions += 1,
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

    fn possible_actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        let is_running = |id: usize| {
            self.sidecars[id]
                .as_ref()
                .is_some_and(|sidecar| !sidecar.paused)
        };
        let deliverable = self.in_flight.iter().position(|(_, to, _)| is_running(*to));
        let may_fault = self.faults_left > 0;
        let is_any_cut = self
            .sidecars
            .iter()
            .flatten()
            .any(|sidecar| sidecar.cut_off_from.contains(&true));
        actions.extend((deliverable.is_none() && is_any_cut).then_some(Action::HealCuts));
        match deliverable {
            Some(n) => {
                actions.push(Action::Deliver(n));
                if may_fault {
                    actions.extend([
                        Action::LoseMessage(n),
                        Action::DuplicateMessage(n),
                        Action::LateTick,
                    ]);
                    actions
                        .extend((n + 1 < self.in_flight.len()).then_some(Action::DelayMessage(n)));
                }
            }
            None => actions.push(Action::Tick),
        }
        for id in 0..SIDECARS {
            let Some(sidecar) = &self.sidecars[id] else {
                continue;
            };
            if sidecar.attempt_at_pod.is_some() && !sidecar.paused {
                actions.push(Action::AttemptRan(id));
                actions.extend((!self.never_ran).then_some(Action::AttemptNeverRan(id)));
            }
            // A sidecar resumes only between two time steps. Messages for it wait until then as well.
            actions.extend((deliverable.is_none() && sidecar.paused).then_some(Action::Resume(id)));
            actions.extend((may_fault && !self.killed).then_some(Action::Kill(id)));
            actions.extend((may_fault && !sidecar.paused).then_some(Action::Pause(id)));
            if may_fault && !is_any_cut {
                actions.push(Action::CutOff(id));
                actions.extend((0..id).map(|other| Action::CutLink(id, other)));
            }
        }
        actions.retain(|action| {
            self.step < TIME_STEPS || !matches!(action, Action::Tick | Action::LateTick)
        });
        actions
    }

    fn apply(&self, action: Action) -> SystemState {
        let mut next = self.clone();
        match action {
            Action::Deliver(n) => next.deliver(n, true),
            Action::DuplicateMessage(n) => next.deliver(n, false),
            Action::LoseMessage(n) => drop(next.in_flight.remove(n)),
            Action::DelayMessage(n) => {
                let message = next.in_flight.remove(n);
                next.in_flight.push(message);
            }
            Action::Tick | Action::LateTick => {
                next.step += 1;
                for id in 0..SIDECARS {
                    if next.sidecars[id]
                        .as_ref()
                        .is_some_and(|sidecar| !sidecar.paused)
                    {
                        next.with_takeover(id, |takeover, now| takeover.wake(now));
                    }
                }
            }
            Action::AttemptRan(id) => {
                next.sidecars[id]
                    .iter_mut()
                    .for_each(|sidecar| sidecar.attempt_at_pod = None);
                next.with_takeover(id, |takeover, now| {
                    takeover.finish(now, REQUEST, Outcome::Served(vec![]))
                });
            }
            Action::AttemptNeverRan(id) => {
                next.never_ran = true;
                next.executions -= 1;
                let index = next.sidecars[id]
                    .as_mut()
                    .and_then(|sidecar| sidecar.attempt_at_pod.take())
                    .unwrap();
                next.with_takeover(id, |takeover, now| {
                    takeover.end_attempt(now, REQUEST, index, AttemptState::NeverRan);
                    takeover.begin_attempt(now, REQUEST, "pod");
                });
            }
            Action::Kill(id) => {
                next.killed = true;
                next.sidecars[id] = None;
                next.in_flight.retain(|(_, to, _)| *to != id);
            }
            Action::Pause(id) => next.sidecars[id]
                .iter_mut()
                .for_each(|sidecar| sidecar.paused = true),
            Action::Resume(id) => {
                next.sidecars[id]
                    .iter_mut()
                    .for_each(|sidecar| sidecar.paused = false);
                next.with_takeover(id, |takeover, now| takeover.wake(now));
            }
            Action::CutOff(id) => (0..SIDECARS)
                .filter(|other| *other != id)
                .for_each(|other| next.cut(id, other, true)),
            Action::CutLink(id, other) => next.cut(id, other, true),
            Action::HealCuts => next
                .sidecars
                .iter_mut()
                .flatten()
                .for_each(|sidecar| sidecar.cut_off_from = [false; SIDECARS]),
        }
        next.faults_left -= action.is_fault() as usize;
        next
    }

    fn cut(&mut self, first: usize, second: usize, is_cut: bool) {
        for (from, to) in [(first, second), (second, first)] {
            self.sidecars[from]
                .iter_mut()
                .for_each(|sidecar| sidecar.cut_off_from[to] = is_cut);
        }
    }

    fn deliver(&mut self, n: usize, remove: bool) {
        let (from, to, message) = self.in_flight[n].clone();
        if remove {
            self.in_flight.remove(n);
        }
        self.with_takeover(to, |takeover, now| {
            takeover.receive(now, &member_id(from), message)
        });
    }

    fn violation(&self) -> Option<String> {
        let may_act = |id: &usize| {
            let sidecar = self.sidecars[*id].as_ref();
            sidecar.is_some_and(|sidecar| {
                sidecar
                    .takeover
                    .may_send(Self::clock(*id, self.step), REQUEST)
            })
        };
        let owners: Vec<usize> = (0..SIDECARS).filter(may_act).collect();
        if owners.len() > 1 {
            return Some(format!("{owners:?} may all act on the request"));
        }
        (self.executions > 1).then(|| format!("the request ran {} times", self.executions))
    }

    fn fingerprint(&self) -> u64 {
        let mut hash = DefaultHasher::new();
        self.hash(&mut hash);
        hash.finish()
    }
}

/// A search through all states, with the fingerprints of the states visited so far.
struct Search {
    visited: Vec<Mutex<HashSet<u64>>>,
}

impl Search {
    /// Marks a state as visited, and returns whether it was visited before.
    fn mark_visited(&self, state: &SystemState) -> bool {
        let fingerprint = state.fingerprint();
        !self.visited[fingerprint as usize % self.visited.len()]
            .lock()
            .unwrap()
            .insert(fingerprint)
    }

    fn visited_count(&self) -> usize {
        self.visited
            .iter()
            .map(|visited| visited.lock().unwrap().len())
            .sum()
    }

    /// Explores all actions except faults. Returns each state that follows a fault, with the actions that led to it.
    fn explore_without_faults(
        &self,
        from: SystemState,
        path: Vec<Action>,
    ) -> Vec<(SystemState, Vec<Action>)> {
        let (mut pending, mut after_fault) = (vec![(from, path)], Vec::new());
        while let Some((state, path)) = pending.pop() {
            for action in state.possible_actions() {
                let next = state.apply(action);
                if self.mark_visited(&next) {
                    continue;
                }
                let path = [&path[..], &[action]].concat();
                if let Some(violation) = next.violation() {
                    panic!("{violation} after {path:?}");
                }
                if action.is_fault() {
                    &mut after_fault
                } else {
                    &mut pending
                }
                .push((next, path));
            }
        }
        after_fault
    }

    fn explore(&self, from: SystemState, path: Vec<Action>) {
        self.explore_without_faults(from, path)
            .into_par_iter()
            .for_each(|(state, path)| self.explore(state, path));
    }
}

/// Returns whether two messages are the same except for their times.
fn equal_except_time(left: &Message, right: &Message) -> bool {
    match (left, right) {
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
        (left, right) => left == right,
    }
}

#[test]
fn no_order_of_messages_and_no_fault_runs_a_request_twice() {
    let faults = std::env::var("HAVENPLANK_FAULTS")
        .ok()
        .map_or(1, |text| text.parse().unwrap());
    let search = Search {
        visited: (0..64).map(|_| Mutex::default()).collect(),
    };
    search.explore(SystemState::new(faults), Vec::new());
    println!("{} states, {faults} faults", search.visited_count());
    if faults == 1 {
        assert_eq!(search.visited_count(), RECORDED_STATES);
    }
    assert!(
        search.visited_count() > 1_000,
        "{} states: the search explored too little",
        search.visited_count()
    );
}
