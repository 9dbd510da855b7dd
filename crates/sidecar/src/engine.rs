//! One decision module and what it asks of the world, with time handed in and effects left in a queue.

use crate::roll::Roll;
use crate::slots::{Slot, SlotCounts, Slots};
use crate::told::{Terms, Told, Witness};
use havenplank::interface::*;
use havenplank::logic::Router;
use havenplank::Visits;
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;

/// Where the clock of an engine begins: ages of pods and stages are taken off it, and on a clock that begins
/// lower what would lie before 0 counts as long ago.
pub const EPOCH: Nanos = 1 << 50;

/// Something to carry out, in the order left.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// The `nth` forward of a hit, counted from 0; its end goes to [`Engine::ended`], once.
    Forward {
        hit: RequestId,
        nth: u32,
        pod: PodId,
        time_out: Nanos,
    },
    Cancel {
        hit: RequestId,
        nth: u32,
    },
    /// The final answer: retry is harmless, and when to come back, 0 for no advice.
    Bounce {
        hit: RequestId,
        retry_after: Nanos,
    },
    /// The final answer: promises nothing. `late` where the hit's time ran out.
    Error {
        hit: RequestId,
        late: bool,
    },
    /// Its answer goes to [`Engine::voted`].
    Vote {
        vote: u64,
        build: Build,
        stage: usize,
        voice: Vote,
    },
    /// Its end goes to [`Engine::probed`].
    Probe {
        probe: u64,
        pod: PodId,
    },
    AskList,
    WatchList(bool),
    Log(String),
}

/// A hit as the door read it: all that the decisions see of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Asked {
    pub group: RouteClassId,
    pub tenant: Option<usize>,
    pub key: u64,
    pub left: Nanos,
    pub cost_hint: Option<Nanos>,
    pub repeat: bool,
}

struct Out {
    pod: PodId,
    /// The pod as it was listed when it was chosen, to tell whether it still is that one.
    chosen: Option<Endpoint>,
    at: Nanos,
    then: Callback<AttemptOutcome>,
}

struct Held {
    group: RouteClassId,
    /// Keeps the group's index from another route until the request has ended.
    _slot: Option<Slot>,
    key: u64,
    deadline: Nanos,
    open: bool,
    /// When the first forward was chosen that has ended and may have run.
    ran: Option<Nanos>,
    forwards: Vec<Option<Out>>,
}

/// The module's host.
struct Desk {
    now: Nanos,
    roll: Roll,
    entries: Vec<Option<Endpoint>>,
    /// Emptied of a hit once it is answered and its last forward has ended: bounded by the hits in flight,
    /// which the shell bounds.
    hits: HashMap<RequestId, Held>,
    next_hit: RequestId,
    wakes: BinaryHeap<Reverse<(Nanos, u64)>>,
    waking: HashMap<u64, Callback<()>>,
    next_wake: u64,
    /// One at a time is all that the module asks for.
    votes: HashMap<u64, Callback<VoteReply>>,
    probes: HashMap<u64, Callback<HealthCheckResult>>,
    next_call: u64,
    effects: VecDeque<Effect>,
}

impl Desk {
    fn close(&mut self, hit: RequestId) {
        if let Some(held) = self.hits.get_mut(&hit) {
            held.open = false;
        }
        self.sweep(hit);
    }

    fn sweep(&mut self, hit: RequestId) {
        if self
            .hits
            .get(&hit)
            .is_some_and(|held| !held.open && held.forwards.iter().all(Option::is_none))
        {
            self.hits.remove(&hit);
        }
    }

    fn call(&mut self) -> u64 {
        self.next_call += 1;
        self.next_call
    }
}

impl Host for Desk {
    fn now(&self) -> Nanos {
        self.now
    }

    fn is_open(&self, hit: RequestId) -> bool {
        self.hits.get(&hit).is_some_and(|held| held.open)
    }

    fn send_attempt(
        &mut self,
        hit: RequestId,
        pod: PodId,
        time_out: Nanos,
        then: Callback<AttemptOutcome>,
    ) {
        let Some(held) = self.hits.get_mut(&hit).filter(|held| held.open) else {
            return;
        };
        let nth = held.forwards.len() as u32;
        let chosen = self.entries.get(pod).copied().flatten();
        held.forwards.push(Some(Out {
            pod,
            chosen,
            at: self.now,
            then,
        }));
        self.roll.sent(pod);
        self.effects.push_back(Effect::Forward {
            hit,
            nth,
            pod,
            time_out,
        });
    }

    fn cancel_attempt(&mut self, hit: RequestId, nth: u32) {
        if self
            .hits
            .get(&hit)
            .is_some_and(|held| (nth as usize) < held.forwards.len())
        {
            self.effects.push_back(Effect::Cancel { hit, nth });
        }
    }

    fn reject(&mut self, hit: RequestId, retry_after: Nanos) {
        if self.is_open(hit) {
            self.effects.push_back(Effect::Bounce { hit, retry_after });
            self.close(hit);
        }
    }

    fn fail(&mut self, hit: RequestId) {
        if let Some(held) = self.hits.get(&hit).filter(|held| held.open) {
            self.effects.push_back(Effect::Error {
                hit,
                late: self.now >= held.deadline,
            });
            self.close(hit);
        }
    }

    fn cast_vote(&mut self, build: Build, stage: usize, voice: Vote, then: Callback<VoteReply>) {
        let vote = self.call();
        self.votes.insert(vote, then);
        self.effects.push_back(Effect::Vote {
            vote,
            build,
            stage,
            voice,
        });
    }

    fn health_check(&mut self, pod: PodId, then: Callback<HealthCheckResult>) {
        let probe = self.call();
        self.probes.insert(probe, then);
        self.effects.push_back(Effect::Probe { probe, pod });
    }

    fn poll_endpoints(&mut self) {
        self.effects.push_back(Effect::AskList);
    }

    fn watch_endpoints(&mut self, on: bool) {
        self.effects.push_back(Effect::WatchList(on));
    }

    fn set_timer(&mut self, after: Nanos, then: Callback<()>) {
        self.next_wake += 1;
        self.wakes
            .push(Reverse((self.now.saturating_add(after), self.next_wake)));
        self.waking.insert(self.next_wake, then);
    }

    fn log(&mut self, line: &str) {
        self.effects.push_back(Effect::Log(line.to_string()));
    }
}

/// What an operator may look at.
#[derive(Clone, Debug, PartialEq)]
pub struct Glance {
    pub hits: usize,
    pub pods: usize,
    pub stage: Option<Stage>,
    /// The judge's sums: on failures, on slow answers, of the trial by share.
    pub sums: (f64, f64, f64),
}

/// One sidecar's decisions. Each method runs to its end and leaves effects for [`Engine::effect`]; `now`
/// never goes back.
pub struct Engine {
    logic: Router,
    desk: Desk,
    slots: Slots,
    stage: Option<Stage>,
    witness: Option<Box<dyn Witness>>,
    /// What was done elsewhere for the hit that comes next.
    resumed: Option<Vec<PriorAttempt>>,
}

impl Engine {
    pub fn new(now: Nanos, seed: u64, terms: &Terms) -> Engine {
        let desk = Desk {
            now,
            roll: Roll::new(terms.zones.clone(), terms.machines.clone(), terms.reuse),
            entries: Vec::new(),
            hits: HashMap::new(),
            next_hit: 0,
            wakes: BinaryHeap::new(),
            waking: HashMap::new(),
            next_wake: 0,
            votes: HashMap::new(),
            probes: HashMap::new(),
            next_call: 0,
            effects: VecDeque::new(),
        };
        let logic = Router::new(
            desk.now,
            seed,
            terms.place.clone(),
            terms.groups.iter().map(|(_, rules)| *rules).collect(),
            terms.forwards.clone(),
            terms.pods.clone(),
            terms.exposure.clone(),
            terms.votes.clone(),
            terms.list.clone(),
        );
        let slots = Slots::new(terms.groups.iter().cloned());
        Engine {
            logic,
            desk,
            slots,
            stage: None,
            witness: None,
            resumed: None,
        }
    }

    /// Puts these routes in force in place of all before, between two requests: each ends by the rules it began with.
    /// The slot of each route, in their order; its index goes to another route only once every copy of it is dropped.
    /// A changed route goes on with what was learnt of the one of its name, as its pods answer no other than before.
    pub fn set_routes(&mut self, now: Nanos, routes: &[(String, RouteClass)]) -> Vec<Slot> {
        self.at(now);
        let (slots, changes) = self.slots.replace(routes);
        let in_force: Vec<RouteClassId> = slots.iter().map(Slot::group).collect();
        self.logic.set_route_classes(&changes, &in_force);
        slots
    }

    /// The slots in force, in the order of their indices.
    pub fn slots(&self) -> Vec<Slot> {
        self.slots.in_force()
    }

    pub fn slot_counts(&self) -> SlotCounts {
        self.slots.counts()
    }

    /// The longest time that a client of any route in force, or of a request that is held, may wait.
    pub fn longest_time_out(&self) -> Nanos {
        self.slots.longest_time_out()
    }

    /// Lets a witness see all that the engine is told and does from here on.
    pub fn watched_by(mut self, witness: Box<dyn Witness>) -> Engine {
        self.witness = Some(witness);
        self
    }

    /// Before the call that it tells of has any effect. What is told is only made where somebody looks on.
    fn saw(&mut self, told: impl FnOnce() -> Told) {
        if let Some(witness) = &mut self.witness {
            witness.told(self.desk.now, told());
        }
    }

    /// Tells the engine again what it was told once; whether it says of a forward that it may go, or of an
    /// answer that it goes to the client, where that is asked.
    pub fn tell(&mut self, now: Nanos, told: Told) -> Option<bool> {
        match told {
            Told::Begin => self.begin(now),
            Told::IncomingRequest { asked, .. } => {
                self.hit(now, asked);
            }
            Told::Resumed { past, .. } => self.resumed(now, past),
            Told::MayGo { hit, nth, .. } => return Some(self.may_go(now, hit, nth)),
            Told::AttemptEnd {
                hit,
                nth,
                end,
                took,
                load,
                ..
            } => return Some(self.ended(now, hit, nth, end, took, load)),
            Told::Left { hit } => self.left(now, hit),
            Told::List { whole, pods, .. } => {
                self.list(now, whole, pods);
            }
            Told::ListFailed => self.list_failed(now),
            Told::News(stage) => self.news(now, stage),
            Told::Voted { vote, news } => self.voted(now, vote, news),
            Told::Probed { probe, end } => self.probed(now, probe, end),
            Told::Tally(tally) => self.tallied(now, tally),
            Told::Flagged { pod, group, ago } => self.flag(now, pod, group, ago),
            Told::Wake(wake) => {
                self.at(now);
                self.woken(wake);
            }
        }
        None
    }

    /// Tells the module that it may start; what it asks of the node list comes then.
    pub fn begin(&mut self, now: Nanos) {
        self.at(now);
        self.saw(|| Told::Begin);
        self.logic.start(&mut self.desk);
    }

    fn at(&mut self, now: Nanos) {
        self.desk.now = self.desk.now.max(now);
    }

    /// The next thing to carry out.
    pub fn effect(&mut self) -> Option<Effect> {
        let effect = self.desk.effects.pop_front()?;
        if let Some(witness) = &mut self.witness {
            witness.did(self.desk.now, &effect);
        }
        Some(effect)
    }

    pub fn next_wake(&self) -> Option<Nanos> {
        self.desk.wakes.peek().map(|Reverse((at, _))| *at)
    }

    /// Runs every wake that is due.
    pub fn wake(&mut self, now: Nanos) {
        self.at(now);
        while self.next_wake().is_some_and(|at| at <= self.desk.now) {
            let Some(Reverse((_, id))) = self.desk.wakes.pop() else {
                break;
            };
            self.woken(id);
        }
    }

    /// One wake, named, as others may come between two that are due at once.
    fn woken(&mut self, wake: u64) {
        if let Some(then) = self.desk.waking.remove(&wake) {
            self.saw(|| Told::Wake(wake));
            then(&mut self.logic, &mut self.desk, ());
        }
        while self
            .desk
            .wakes
            .peek()
            .is_some_and(|Reverse((_, id))| !self.desk.waking.contains_key(id))
        {
            self.desk.wakes.pop();
        }
    }

    /// Takes a hit: from here on it is owed one final answer.
    pub fn hit(&mut self, now: Nanos, asked: Asked) -> RequestId {
        self.at(now);
        let id = self.desk.next_hit;
        self.desk.next_hit += 1;
        self.saw(|| Told::IncomingRequest {
            hit: id,
            asked: asked.clone(),
        });
        let Asked {
            group,
            tenant,
            key,
            left,
            cost_hint,
            repeat,
        } = asked;
        let deadline = self.desk.now.saturating_add(left);
        let past = self
            .resumed
            .iter()
            .flatten()
            .filter(|earlier| earlier.may_have_run);
        let ran = past
            .map(|earlier| self.desk.now.saturating_sub(earlier.ago))
            .min();
        let _slot = self.slots.hold(group);
        let held = Held {
            group,
            _slot,
            key,
            deadline,
            open: true,
            ran,
            forwards: Vec::new(),
        };
        self.desk.hits.insert(id, held);
        let hit = IncomingRequest {
            id,
            class: group,
            tenant,
            key,
            remaining: left,
            cost_hint,
            is_retry: repeat,
        };
        match self.resumed.take() {
            Some(past) => self.logic.resume_request(&mut self.desk, hit, &past),
            None => self.logic.handle_request(&mut self.desk, hit),
        }
        id
    }

    /// The next hit was taken by another sidecar, which forwarded it so; to be called right before it.
    pub fn resumed(&mut self, now: Nanos, past: Vec<PriorAttempt>) {
        self.at(now);
        let hit = self.desk.next_hit;
        self.saw(|| Told::Resumed {
            hit,
            past: past.clone(),
        });
        self.resumed = Some(past);
    }

    /// The index of a pod that is listed.
    pub fn find(&self, pod: &str) -> Option<PodId> {
        self.desk.roll.find(pod)
    }

    /// Whether a forward may still go out now: its hit wants an answer, and the rules leave its pod open.
    pub fn may_go(&mut self, now: Nanos, hit: RequestId, nth: u32) -> bool {
        self.at(now);
        let may = self.may(hit, nth);
        self.saw(|| Told::MayGo { hit, nth, may });
        may
    }

    fn may(&mut self, hit: RequestId, nth: u32) -> bool {
        let Some(held) = self.desk.hits.get(&hit).filter(|held| held.open) else {
            return false;
        };
        let Some(Some(out)) = held.forwards.get(nth as usize) else {
            return false;
        };
        let (group, key, at) = (held.group, held.key, out.at);
        // One that is still out may have run as well.
        let before = held.forwards[..nth as usize]
            .iter()
            .flatten()
            .map(|out| out.at);
        let ran = before.chain(held.ran).min();
        out.chosen.is_some_and(|chosen| {
            self.logic
                .may_still_send(self.desk.now, (group, key), &chosen, (at, ran))
        })
    }

    /// How a forward ended. Whether its answer goes to the client as the hit's final one.
    pub fn ended(
        &mut self,
        now: Nanos,
        hit: RequestId,
        nth: u32,
        end: AttemptEnd,
        took: Nanos,
        load: Option<LoadReport>,
    ) -> bool {
        self.at(now);
        let Some(held) = self.desk.hits.get_mut(&hit) else {
            return false;
        };
        let Some(out) = held.forwards.get_mut(nth as usize).and_then(Option::take) else {
            return false;
        };
        let passed = held.open && end == AttemptEnd::Served;
        held.open &= !passed;
        if !end.never_ran() {
            held.ran = Some(held.ran.map_or(out.at, |ran| ran.min(out.at)));
        }
        let over = !held.open;
        self.saw(|| Told::AttemptEnd {
            hit,
            nth,
            end,
            took,
            load,
            passed,
        });
        self.desk.roll.ended(out.pod);
        (out.then)(
            &mut self.logic,
            &mut self.desk,
            AttemptOutcome {
                end,
                took,
                over,
                load,
            },
        );
        self.desk.sweep(hit);
        passed
    }

    /// The client went away: nothing more is owed, though forwards that are out still tell how they end.
    pub fn left(&mut self, now: Nanos, hit: RequestId) {
        self.at(now);
        self.saw(|| Told::Left { hit });
        self.desk.close(hit);
    }

    /// Takes a list in; the index of each of its pods, as long as it is listed and forwards are out there.
    pub fn list(
        &mut self,
        now: Nanos,
        whole: bool,
        pods: Vec<ListedEndpoint>,
    ) -> Vec<Option<PodId>> {
        self.at(now);
        let told = self.witness.is_some().then(|| pods.clone());
        let entries = self.desk.roll.apply(self.desk.now, whole, pods);
        let given: Vec<Option<PodId>> = entries
            .iter()
            .map(|entry| entry.map(|entry| entry.pod))
            .collect();
        if let Some(pods) = told {
            self.saw(|| Told::List {
                whole,
                pods,
                given: given.clone(),
            });
        }
        let entries: Vec<Endpoint> = entries.into_iter().flatten().collect();
        if whole {
            self.desk.entries.fill(None);
        }
        for entry in &entries {
            if self.desk.entries.len() <= entry.pod {
                self.desk.entries.resize(entry.pod + 1, None);
            }
            self.desk.entries[entry.pod] = Some(*entry);
        }
        self.logic.update_endpoints(&mut self.desk, whole, &entries);
        self.desk.roll.sweep();
        given
    }

    pub fn list_failed(&mut self, now: Nanos) {
        self.at(now);
        self.saw(|| Told::ListFailed);
        self.logic.endpoint_watch_failed(&mut self.desk);
    }

    pub fn news(&mut self, now: Nanos, stage: Stage) {
        self.at(now);
        self.saw(|| Told::News(stage));
        self.stage = Some(stage);
        self.logic.update_stage(&mut self.desk, stage);
    }

    /// The answer to a vote; one that was answered before, or never cast, is passed over.
    pub fn voted(&mut self, now: Nanos, vote: u64, news: VoteReply) {
        self.at(now);
        if let Some(then) = self.desk.votes.remove(&vote) {
            self.saw(|| Told::Voted {
                vote,
                news: news.clone(),
            });
            self.stage = news.stage.or(self.stage);
            then(&mut self.logic, &mut self.desk, news);
        }
    }

    pub fn probed(&mut self, now: Nanos, probe: u64, end: HealthCheckResult) {
        self.at(now);
        if let Some(then) = self.desk.probes.remove(&probe) {
            self.saw(|| Told::Probed {
                probe,
                end: end.clone(),
            });
            then(&mut self.logic, &mut self.desk, end);
        }
    }

    /// Counts that the desk took; false where the path group is not one of the settings.
    pub fn tally(
        &mut self,
        now: Nanos,
        build: Build,
        group: &str,
        counts: (u64, u64),
        mean: Nanos,
        age: Nanos,
    ) -> bool {
        let Some(group) = self.group(group) else {
            return false;
        };
        let (count, failed) = counts;
        self.tallied(
            now,
            Tally {
                build,
                group,
                count,
                failed,
                mean_latency: mean,
                age,
            },
        );
        true
    }

    fn tallied(&mut self, now: Nanos, tally: Tally) {
        self.at(now);
        self.saw(|| Told::Tally(tally.clone()));
        self.logic.update_tally(&mut self.desk, tally);
    }

    /// A client found an answer wrong; false where the pod or path group is not known.
    pub fn flagged(&mut self, now: Nanos, pod: &str, group: &str, ago: Nanos) -> bool {
        let (Some(pod), Some(group)) = (self.desk.roll.find(pod), self.group(group)) else {
            return false;
        };
        self.flag(now, pod, group, ago);
        true
    }

    fn flag(&mut self, now: Nanos, pod: PodId, group: RouteClassId, ago: Nanos) {
        self.at(now);
        self.saw(|| Told::Flagged { pod, group, ago });
        self.logic.report_fault(&mut self.desk, pod, group, ago);
    }

    fn group(&self, name: &str) -> Option<RouteClassId> {
        self.slots.find(name)
    }

    pub fn address(&self, pod: PodId) -> Option<SocketAddr> {
        self.desk.roll.address(pod)
    }

    pub fn pod_name(&self, pod: PodId) -> Option<&str> {
        self.desk.roll.name(pod)
    }

    /// The list as last told, to be kept for a start without the node list's service.
    pub fn listed(&self) -> Vec<ListedEndpoint> {
        self.desk.roll.listed(self.desk.now)
    }

    /// Hits held: those owed an answer, and those whose forwards are still out though their client left.
    pub fn held(&self) -> usize {
        self.desk.hits.len()
    }

    /// Forwards that have not ended.
    pub fn out(&self) -> usize {
        self.desk
            .hits
            .values()
            .map(|held| held.forwards.iter().flatten().count())
            .sum()
    }

    /// How many pods the decisions looked at since the start.
    pub fn visits(&self) -> Visits {
        self.logic.visits()
    }

    pub fn glance(&self) -> Glance {
        let pods = self
            .desk
            .entries
            .iter()
            .flatten()
            .filter(|pod| pod.state == PodState::Running)
            .count();
        Glance {
            hits: self.desk.hits.len(),
            pods,
            stage: self.stage,
            sums: self.logic.sums(),
        }
    }
}
