//! One decision module and what it asks of the world, with time handed in and effects left in a queue.

use crate::roll::Roll;
use crate::slots::{Slot, SlotCounts, Slots};
use crate::told::{Terms, Told, Witness};
use havenplank::logic::Logic;
use havenplank::port::*;
use havenplank::Visits;
use havenplank_line_protocol::nodes::Listed;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;

/// Where the clock of an engine begins: ages of pods and stages are taken off it, and on a clock that begins
/// lower what would lie before 0 counts as long ago.
pub const EPOCH: Ns = 1 << 50;

/// Something to carry out, in the order left.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// The `nth` forward of a hit, counted from 0; its end goes to [`Engine::ended`], once.
    Forward {
        hit: HitId,
        nth: u32,
        pod: PodId,
        time_out: Ns,
    },
    Cancel {
        hit: HitId,
        nth: u32,
    },
    /// The final answer: retry is harmless, and when to come back, 0 for no advice.
    Bounce {
        hit: HitId,
        come_back: Ns,
    },
    /// The final answer: promises nothing. `late` where the hit's time ran out.
    Error {
        hit: HitId,
        late: bool,
    },
    /// Its answer goes to [`Engine::voted`].
    Vote {
        vote: u64,
        build: Build,
        stage: usize,
        voice: Voice,
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
    pub group: GroupId,
    pub customer: Option<usize>,
    pub key: u64,
    pub left: Ns,
    pub cost_hint: Option<Ns>,
    pub repeat: bool,
}

struct Out {
    pod: PodId,
    /// The pod as it was listed when it was chosen, to tell whether it still is that one.
    chosen: Option<PodEntry>,
    at: Ns,
    then: Then<Outcome>,
}

struct Held {
    group: GroupId,
    /// Keeps the group's index from another route until the request has ended.
    _slot: Option<Slot>,
    key: u64,
    deadline: Ns,
    open: bool,
    /// When the first forward was chosen that has ended and may have run.
    ran: Option<Ns>,
    forwards: Vec<Option<Out>>,
}

/// The module's host.
struct Desk {
    now: Ns,
    roll: Roll,
    entries: Vec<Option<PodEntry>>,
    /// Emptied of a hit once it is answered and its last forward has ended: bounded by the hits in flight,
    /// which the shell bounds.
    hits: HashMap<HitId, Held>,
    next_hit: HitId,
    wakes: BinaryHeap<Reverse<(Ns, u64)>>,
    waking: HashMap<u64, Then<()>>,
    next_wake: u64,
    /// One at a time is all that the module asks for.
    votes: HashMap<u64, Then<StageNews>>,
    probes: HashMap<u64, Then<ProbeEnd>>,
    next_call: u64,
    effects: VecDeque<Effect>,
}

impl Desk {
    fn close(&mut self, hit: HitId) {
        if let Some(held) = self.hits.get_mut(&hit) {
            held.open = false;
        }
        self.sweep(hit);
    }

    fn sweep(&mut self, hit: HitId) {
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
    fn now(&self) -> Ns {
        self.now
    }

    fn open(&self, hit: HitId) -> bool {
        self.hits.get(&hit).is_some_and(|held| held.open)
    }

    fn forward(&mut self, hit: HitId, pod: PodId, time_out: Ns, then: Then<Outcome>) {
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

    fn cancel(&mut self, hit: HitId, nth: u32) {
        if self
            .hits
            .get(&hit)
            .is_some_and(|held| (nth as usize) < held.forwards.len())
        {
            self.effects.push_back(Effect::Cancel { hit, nth });
        }
    }

    fn bounce(&mut self, hit: HitId, come_back: Ns) {
        if self.open(hit) {
            self.effects.push_back(Effect::Bounce { hit, come_back });
            self.close(hit);
        }
    }

    fn error(&mut self, hit: HitId) {
        if let Some(held) = self.hits.get(&hit).filter(|held| held.open) {
            self.effects.push_back(Effect::Error {
                hit,
                late: self.now >= held.deadline,
            });
            self.close(hit);
        }
    }

    fn vote(&mut self, build: Build, stage: usize, voice: Voice, then: Then<StageNews>) {
        let vote = self.call();
        self.votes.insert(vote, then);
        self.effects.push_back(Effect::Vote {
            vote,
            build,
            stage,
            voice,
        });
    }

    fn probe(&mut self, pod: PodId, then: Then<ProbeEnd>) {
        let probe = self.call();
        self.probes.insert(probe, then);
        self.effects.push_back(Effect::Probe { probe, pod });
    }

    fn ask_list(&mut self) {
        self.effects.push_back(Effect::AskList);
    }

    fn watch_list(&mut self, on: bool) {
        self.effects.push_back(Effect::WatchList(on));
    }

    fn wake(&mut self, after: Ns, then: Then<()>) {
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
    logic: Logic,
    desk: Desk,
    slots: Slots,
    stage: Option<Stage>,
    witness: Option<Box<dyn Witness>>,
    /// What was done elsewhere for the hit that comes next.
    resumed: Option<Vec<Earlier>>,
}

impl Engine {
    pub fn new(now: Ns, seed: u64, terms: &Terms) -> Engine {
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
        let logic = Logic::new(
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
    pub fn set_routes(&mut self, now: Ns, routes: &[(String, PathGroup)]) -> Vec<Slot> {
        self.at(now);
        let (slots, changes) = self.slots.replace(routes);
        let in_force: Vec<GroupId> = slots.iter().map(Slot::group).collect();
        self.logic.set_groups(&changes, &in_force);
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
    pub fn longest_time_out(&self) -> Ns {
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
    pub fn tell(&mut self, now: Ns, told: Told) -> Option<bool> {
        match told {
            Told::Begin => self.begin(now),
            Told::Hit { asked, .. } => {
                self.hit(now, asked);
            }
            Told::Resumed { past, .. } => self.resumed(now, past),
            Told::MayGo { hit, nth, .. } => return Some(self.may_go(now, hit, nth)),
            Told::Ended {
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
    pub fn begin(&mut self, now: Ns) {
        self.at(now);
        self.saw(|| Told::Begin);
        self.logic.begin(&mut self.desk);
    }

    fn at(&mut self, now: Ns) {
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

    pub fn next_wake(&self) -> Option<Ns> {
        self.desk.wakes.peek().map(|Reverse((at, _))| *at)
    }

    /// Runs every wake that is due.
    pub fn wake(&mut self, now: Ns) {
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
    pub fn hit(&mut self, now: Ns, asked: Asked) -> HitId {
        self.at(now);
        let id = self.desk.next_hit;
        self.desk.next_hit += 1;
        self.saw(|| Told::Hit {
            hit: id,
            asked: asked.clone(),
        });
        let Asked {
            group,
            customer,
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
        let hit = Hit {
            id,
            group,
            customer,
            key,
            left,
            cost_hint,
            repeat,
        };
        match self.resumed.take() {
            Some(past) => self.logic.resume(&mut self.desk, hit, &past),
            None => self.logic.hit(&mut self.desk, hit),
        }
        id
    }

    /// The next hit was taken by another sidecar, which forwarded it so; to be called right before it.
    pub fn resumed(&mut self, now: Ns, past: Vec<Earlier>) {
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
    pub fn may_go(&mut self, now: Ns, hit: HitId, nth: u32) -> bool {
        self.at(now);
        let may = self.may(hit, nth);
        self.saw(|| Told::MayGo { hit, nth, may });
        may
    }

    fn may(&mut self, hit: HitId, nth: u32) -> bool {
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
                .still(self.desk.now, (group, key), &chosen, (at, ran))
        })
    }

    /// How a forward ended. Whether its answer goes to the client as the hit's final one.
    pub fn ended(
        &mut self,
        now: Ns,
        hit: HitId,
        nth: u32,
        end: Ended,
        took: Ns,
        load: Option<Load>,
    ) -> bool {
        self.at(now);
        let Some(held) = self.desk.hits.get_mut(&hit) else {
            return false;
        };
        let Some(out) = held.forwards.get_mut(nth as usize).and_then(Option::take) else {
            return false;
        };
        let passed = held.open && end == Ended::Delivered;
        held.open &= !passed;
        if !end.never_ran() {
            held.ran = Some(held.ran.map_or(out.at, |ran| ran.min(out.at)));
        }
        let over = !held.open;
        self.saw(|| Told::Ended {
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
            Outcome {
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
    pub fn left(&mut self, now: Ns, hit: HitId) {
        self.at(now);
        self.saw(|| Told::Left { hit });
        self.desk.close(hit);
    }

    /// Takes a list in; the index of each of its pods, as long as it is listed and forwards are out there.
    pub fn list(&mut self, now: Ns, whole: bool, pods: Vec<Listed>) -> Vec<Option<PodId>> {
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
        let entries: Vec<PodEntry> = entries.into_iter().flatten().collect();
        if whole {
            self.desk.entries.fill(None);
        }
        for entry in &entries {
            if self.desk.entries.len() <= entry.pod {
                self.desk.entries.resize(entry.pod + 1, None);
            }
            self.desk.entries[entry.pod] = Some(*entry);
        }
        self.logic.list(&mut self.desk, whole, &entries);
        self.desk.roll.sweep();
        given
    }

    pub fn list_failed(&mut self, now: Ns) {
        self.at(now);
        self.saw(|| Told::ListFailed);
        self.logic.list_failed(&mut self.desk);
    }

    pub fn news(&mut self, now: Ns, stage: Stage) {
        self.at(now);
        self.saw(|| Told::News(stage));
        self.stage = Some(stage);
        self.logic.news(&mut self.desk, stage);
    }

    /// The answer to a vote; one that was answered before, or never cast, is passed over.
    pub fn voted(&mut self, now: Ns, vote: u64, news: StageNews) {
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

    pub fn probed(&mut self, now: Ns, probe: u64, end: ProbeEnd) {
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
        now: Ns,
        build: Build,
        group: &str,
        counts: (u64, u64),
        mean: Ns,
        age: Ns,
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

    fn tallied(&mut self, now: Ns, tally: Tally) {
        self.at(now);
        self.saw(|| Told::Tally(tally.clone()));
        self.logic.tally(&mut self.desk, tally);
    }

    /// A client found an answer wrong; false where the pod or path group is not known.
    pub fn flagged(&mut self, now: Ns, pod: &str, group: &str, ago: Ns) -> bool {
        let (Some(pod), Some(group)) = (self.desk.roll.find(pod), self.group(group)) else {
            return false;
        };
        self.flag(now, pod, group, ago);
        true
    }

    fn flag(&mut self, now: Ns, pod: PodId, group: GroupId, ago: Ns) {
        self.at(now);
        self.saw(|| Told::Flagged { pod, group, ago });
        self.logic.flagged(&mut self.desk, pod, group, ago);
    }

    fn group(&self, name: &str) -> Option<GroupId> {
        self.slots.find(name)
    }

    pub fn address(&self, pod: PodId) -> Option<SocketAddr> {
        self.desk.roll.address(pod)
    }

    pub fn pod_name(&self, pod: PodId) -> Option<&str> {
        self.desk.roll.name(pod)
    }

    /// The list as last told, to be kept for a start without the node list's service.
    pub fn listed(&self) -> Vec<Listed> {
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
