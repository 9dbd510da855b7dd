//! One decision module and what it asks of the world, with time handed in and effects left in a queue.

use crate::events::{EngineSettings, Event, Observer};
use crate::pod_registry::PodRegistry;
use crate::route_slots::{Slot, SlotCounts, Slots};
use havenplank::interface::*;
use havenplank::logic::Router;
use havenplank::Visits;
use havenplank_line_protocol::nodes::Listed;
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
    SendAttempt {
        request: RequestId,
        attempt: u32,
        pod: PodId,
        timeout: Nanos,
    },
    CancelAttempt {
        request: RequestId,
        attempt: u32,
    },
    /// The final answer: retry is harmless, and when to come back, 0 for no advice.
    Reject {
        request: RequestId,
        retry_after: Nanos,
    },
    /// The final answer: promises nothing. `late` where the hit's time ran out.
    Fail {
        request: RequestId,
        timed_out: bool,
    },
    /// Its answer goes to [`Engine::voted`].
    CastVote {
        id: u64,
        build: Build,
        stage: usize,
        vote: Vote,
    },
    /// Its end goes to [`Engine::probed`].
    HealthCheck {
        check: u64,
        pod: PodId,
    },
    PollEndpoints,
    WatchEndpoints(bool),
    Log(String),
}

/// A hit as the door read it: all that the decisions see of it.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestAttributes {
    pub route_class: RouteClassId,
    pub tenant: Option<usize>,
    pub key: u64,
    pub remaining: Nanos,
    pub cost_hint: Option<Nanos>,
    pub is_retry: bool,
}

struct AttemptInFlight {
    pod: PodId,
    /// The pod as it was listed when it was chosen, to tell whether it still is that one.
    chosen: Option<Endpoint>,
    at: Nanos,
    then: Callback<AttemptOutcome>,
}

struct InFlightRequest {
    group: RouteClassId,
    /// Keeps the group's index from another route until the request has ended.
    _slot: Option<Slot>,
    key: u64,
    deadline: Nanos,
    open: bool,
    /// When the first forward was chosen that has ended and may have run.
    ran: Option<Nanos>,
    forwards: Vec<Option<AttemptInFlight>>,
}

/// The module's host.
struct EngineHost {
    now: Nanos,
    pods: PodRegistry,
    entries: Vec<Option<Endpoint>>,
    /// Emptied of a hit once it is answered and its last forward has ended: bounded by the hits in flight,
    /// which the shell bounds.
    hits: HashMap<RequestId, InFlightRequest>,
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

impl EngineHost {
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

impl Host for EngineHost {
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
        held.forwards.push(Some(AttemptInFlight {
            pod,
            chosen,
            at: self.now,
            then,
        }));
        self.pods.sent(pod);
        self.effects.push_back(Effect::SendAttempt {
            request: hit,
            attempt: nth,
            pod,
            timeout: time_out,
        });
    }

    fn cancel_attempt(&mut self, hit: RequestId, nth: u32) {
        if self
            .hits
            .get(&hit)
            .is_some_and(|held| (nth as usize) < held.forwards.len())
        {
            self.effects.push_back(Effect::CancelAttempt {
                request: hit,
                attempt: nth,
            });
        }
    }

    fn reject(&mut self, hit: RequestId, retry_after: Nanos) {
        if self.is_open(hit) {
            self.effects.push_back(Effect::Reject {
                request: hit,
                retry_after,
            });
            self.close(hit);
        }
    }

    fn fail(&mut self, hit: RequestId) {
        if let Some(held) = self.hits.get(&hit).filter(|held| held.open) {
            self.effects.push_back(Effect::Fail {
                request: hit,
                timed_out: self.now >= held.deadline,
            });
            self.close(hit);
        }
    }

    fn cast_vote(&mut self, build: Build, stage: usize, voice: Vote, then: Callback<VoteReply>) {
        let vote = self.call();
        self.votes.insert(vote, then);
        self.effects.push_back(Effect::CastVote {
            id: vote,
            build,
            stage,
            vote: voice,
        });
    }

    fn health_check(&mut self, pod: PodId, then: Callback<HealthCheckResult>) {
        let probe = self.call();
        self.probes.insert(probe, then);
        self.effects
            .push_back(Effect::HealthCheck { check: probe, pod });
    }

    fn poll_endpoints(&mut self) {
        self.effects.push_back(Effect::PollEndpoints);
    }

    fn watch_endpoints(&mut self, on: bool) {
        self.effects.push_back(Effect::WatchEndpoints(on));
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
pub struct EngineStatus {
    pub hits: usize,
    pub pods: usize,
    pub stage: Option<Stage>,
    /// The judge's sums: on failures, on slow answers, of the trial by share.
    pub sums: (f64, f64, f64),
}

/// One sidecar's decisions. Each method runs to its end and leaves effects for [`Engine::effect`]; `now`
/// never goes back.
pub struct Engine {
    router: Router,
    host: EngineHost,
    slots: Slots,
    stage: Option<Stage>,
    observer: Option<Box<dyn Observer>>,
    /// What was done elsewhere for the hit that comes next.
    prior_attempts: Option<Vec<PriorAttempt>>,
}

impl Engine {
    pub fn new(now: Nanos, seed: u64, terms: &EngineSettings) -> Engine {
        let host = EngineHost {
            now,
            pods: PodRegistry::new(
                terms.zones.clone(),
                terms.machines.clone(),
                terms.reuse_pod_ids,
            ),
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
        let router = Router::new(
            host.now,
            seed,
            terms.position.clone(),
            terms
                .route_classes
                .iter()
                .map(|(_, rules)| *rules)
                .collect(),
            terms.attempts.clone(),
            terms.pods.clone(),
            terms.exposure.clone(),
            terms.votes.clone(),
            terms.endpoint_list.clone(),
        );
        let slots = Slots::new(terms.route_classes.iter().cloned());
        Engine {
            router,
            host,
            slots,
            stage: None,
            observer: None,
            prior_attempts: None,
        }
    }

    /// Puts these routes in force in place of all before, between two requests: each ends by the rules it began with.
    /// The slot of each route, in their order; its index goes to another route only once every copy of it is dropped.
    /// A changed route goes on with what was learnt of the one of its name, as its pods answer no other than before.
    pub fn set_routes(&mut self, now: Nanos, routes: &[(String, RouteClass)]) -> Vec<Slot> {
        self.at(now);
        let (slots, changes) = self.slots.replace(routes);
        let in_force: Vec<RouteClassId> = slots.iter().map(Slot::group).collect();
        self.router.set_route_classes(&changes, &in_force);
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
    pub fn with_observer(mut self, observer: Box<dyn Observer>) -> Engine {
        self.observer = Some(observer);
        self
    }

    /// Before the call that it tells of has any effect. What is told is only made where somebody looks on.
    fn saw(&mut self, told: impl FnOnce() -> Event) {
        if let Some(observer) = &mut self.observer {
            observer.told(self.host.now, told());
        }
    }

    /// Tells the engine again what it was told once; whether it says of a forward that it may go, or of an
    /// answer that it goes to the client, where that is asked.
    pub fn replay(&mut self, now: Nanos, told: Event) -> Option<bool> {
        match told {
            Event::Started => self.start(now),
            Event::RequestArrived {
                attributes: asked, ..
            } => {
                self.handle_request(now, asked);
            }
            Event::RequestResumed {
                prior_attempts: past,
                ..
            } => self.resume_next_request(now, past),
            Event::SendPermission {
                request: hit,
                attempt: nth,
                ..
            } => return Some(self.may_send(now, hit, nth)),
            Event::AttemptEnded {
                request: hit,
                attempt: nth,
                end,
                took,
                load,
                ..
            } => return Some(self.attempt_ended(now, hit, nth, end, took, load)),
            Event::ClientLeft { request: hit } => self.client_left(now, hit),
            Event::EndpointsListed {
                complete: whole,
                pods,
                ..
            } => {
                self.update_endpoints(now, whole, pods);
            }
            Event::EndpointWatchFailed => self.endpoint_watch_failed(now),
            Event::StageChanged(stage) => self.update_stage(now, stage),
            Event::VoteAnswered { vote, reply: news } => self.vote_answered(now, vote, news),
            Event::HealthCheckEnded {
                check: probe,
                result: end,
            } => self.health_check_ended(now, probe, end),
            Event::TallyReported(tally) => self.tallied(now, tally),
            Event::FaultReported {
                pod,
                route_class: group,
                ago,
            } => self.flag(now, pod, group, ago),
            Event::TimerFired(wake) => {
                self.at(now);
                self.woken(wake);
            }
        }
        None
    }

    /// Tells the module that it may start; what it asks of the node list comes then.
    pub fn start(&mut self, now: Nanos) {
        self.at(now);
        self.saw(|| Event::Started);
        self.router.start(&mut self.host);
    }

    fn at(&mut self, now: Nanos) {
        self.host.now = self.host.now.max(now);
    }

    /// The next thing to carry out.
    pub fn next_effect(&mut self) -> Option<Effect> {
        let effect = self.host.effects.pop_front()?;
        if let Some(observer) = &mut self.observer {
            observer.did(self.host.now, &effect);
        }
        Some(effect)
    }

    pub fn next_timer(&self) -> Option<Nanos> {
        self.host.wakes.peek().map(|Reverse((at, _))| *at)
    }

    /// Runs every wake that is due.
    pub fn run_timers(&mut self, now: Nanos) {
        self.at(now);
        while self.next_timer().is_some_and(|at| at <= self.host.now) {
            let Some(Reverse((_, id))) = self.host.wakes.pop() else {
                break;
            };
            self.woken(id);
        }
    }

    /// One wake, named, as others may come between two that are due at once.
    fn woken(&mut self, wake: u64) {
        if let Some(then) = self.host.waking.remove(&wake) {
            self.saw(|| Event::TimerFired(wake));
            then(&mut self.router, &mut self.host, ());
        }
        while self
            .host
            .wakes
            .peek()
            .is_some_and(|Reverse((_, id))| !self.host.waking.contains_key(id))
        {
            self.host.wakes.pop();
        }
    }

    /// Takes a hit: from here on it is owed one final answer.
    pub fn handle_request(&mut self, now: Nanos, asked: RequestAttributes) -> RequestId {
        self.at(now);
        let id = self.host.next_hit;
        self.host.next_hit += 1;
        self.saw(|| Event::RequestArrived {
            request: id,
            attributes: asked.clone(),
        });
        let RequestAttributes {
            route_class: group,
            tenant,
            key,
            remaining: left,
            cost_hint,
            is_retry: repeat,
        } = asked;
        let deadline = self.host.now.saturating_add(left);
        let past = self
            .prior_attempts
            .iter()
            .flatten()
            .filter(|earlier| earlier.may_have_run);
        let ran = past
            .map(|earlier| self.host.now.saturating_sub(earlier.ago))
            .min();
        let _slot = self.slots.hold(group);
        let held = InFlightRequest {
            group,
            _slot,
            key,
            deadline,
            open: true,
            ran,
            forwards: Vec::new(),
        };
        self.host.hits.insert(id, held);
        let hit = IncomingRequest {
            id,
            class: group,
            tenant,
            key,
            remaining: left,
            cost_hint,
            is_retry: repeat,
        };
        match self.prior_attempts.take() {
            Some(past) => self.router.resume_request(&mut self.host, hit, &past),
            None => self.router.handle_request(&mut self.host, hit),
        }
        id
    }

    /// The next hit was taken by another sidecar, which forwarded it so; to be called right before it.
    pub fn resume_next_request(&mut self, now: Nanos, past: Vec<PriorAttempt>) {
        self.at(now);
        let hit = self.host.next_hit;
        self.saw(|| Event::RequestResumed {
            request: hit,
            prior_attempts: past.clone(),
        });
        self.prior_attempts = Some(past);
    }

    /// The index of a pod that is listed.
    pub fn pod_id(&self, pod: &str) -> Option<PodId> {
        self.host.pods.find(pod)
    }

    /// Whether a forward may still go out now: its hit wants an answer, and the rules leave its pod open.
    pub fn may_send(&mut self, now: Nanos, hit: RequestId, nth: u32) -> bool {
        self.at(now);
        let may = self.may(hit, nth);
        self.saw(|| Event::SendPermission {
            request: hit,
            attempt: nth,
            allowed: may,
        });
        may
    }

    fn may(&mut self, hit: RequestId, nth: u32) -> bool {
        let Some(held) = self.host.hits.get(&hit).filter(|held| held.open) else {
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
            self.router
                .may_still_send(self.host.now, (group, key), &chosen, (at, ran))
        })
    }

    /// How a forward ended. Whether its answer goes to the client as the hit's final one.
    pub fn attempt_ended(
        &mut self,
        now: Nanos,
        hit: RequestId,
        nth: u32,
        end: AttemptEnd,
        took: Nanos,
        load: Option<LoadReport>,
    ) -> bool {
        self.at(now);
        let Some(held) = self.host.hits.get_mut(&hit) else {
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
        self.saw(|| Event::AttemptEnded {
            request: hit,
            attempt: nth,
            end,
            took,
            load,
            delivered: passed,
        });
        self.host.pods.ended(out.pod);
        (out.then)(
            &mut self.router,
            &mut self.host,
            AttemptOutcome {
                end,
                took,
                over,
                load,
            },
        );
        self.host.sweep(hit);
        passed
    }

    /// The client went away: nothing more is owed, though forwards that are out still tell how they end.
    pub fn client_left(&mut self, now: Nanos, hit: RequestId) {
        self.at(now);
        self.saw(|| Event::ClientLeft { request: hit });
        self.host.close(hit);
    }

    /// Takes a list in; the index of each of its pods, as long as it is listed and forwards are out there.
    pub fn update_endpoints(
        &mut self,
        now: Nanos,
        whole: bool,
        pods: Vec<Listed>,
    ) -> Vec<Option<PodId>> {
        self.at(now);
        let told = self.observer.is_some().then(|| pods.clone());
        let entries = self.host.pods.apply(self.host.now, whole, pods);
        let given: Vec<Option<PodId>> = entries
            .iter()
            .map(|entry| entry.map(|entry| entry.pod))
            .collect();
        if let Some(pods) = told {
            self.saw(|| Event::EndpointsListed {
                complete: whole,
                pods,
                pod_ids: given.clone(),
            });
        }
        let entries: Vec<Endpoint> = entries.into_iter().flatten().collect();
        if whole {
            self.host.entries.fill(None);
        }
        for entry in &entries {
            if self.host.entries.len() <= entry.pod {
                self.host.entries.resize(entry.pod + 1, None);
            }
            self.host.entries[entry.pod] = Some(*entry);
        }
        self.router
            .update_endpoints(&mut self.host, whole, &entries);
        self.host.pods.sweep();
        given
    }

    pub fn endpoint_watch_failed(&mut self, now: Nanos) {
        self.at(now);
        self.saw(|| Event::EndpointWatchFailed);
        self.router.endpoint_watch_failed(&mut self.host);
    }

    pub fn update_stage(&mut self, now: Nanos, stage: Stage) {
        self.at(now);
        self.saw(|| Event::StageChanged(stage));
        self.stage = Some(stage);
        self.router.update_stage(&mut self.host, stage);
    }

    /// The answer to a vote; one that was answered before, or never cast, is passed over.
    pub fn vote_answered(&mut self, now: Nanos, vote: u64, news: VoteReply) {
        self.at(now);
        if let Some(then) = self.host.votes.remove(&vote) {
            self.saw(|| Event::VoteAnswered {
                vote,
                reply: news.clone(),
            });
            self.stage = news.stage.or(self.stage);
            then(&mut self.router, &mut self.host, news);
        }
    }

    pub fn health_check_ended(&mut self, now: Nanos, probe: u64, end: HealthCheckResult) {
        self.at(now);
        if let Some(then) = self.host.probes.remove(&probe) {
            self.saw(|| Event::HealthCheckEnded {
                check: probe,
                result: end.clone(),
            });
            then(&mut self.router, &mut self.host, end);
        }
    }

    /// Counts that the desk took; false where the path group is not one of the settings.
    pub fn update_tally(
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
        self.saw(|| Event::TallyReported(tally.clone()));
        self.router.update_tally(&mut self.host, tally);
    }

    /// A client found an answer wrong; false where the pod or path group is not known.
    pub fn report_fault(&mut self, now: Nanos, pod: &str, group: &str, ago: Nanos) -> bool {
        let (Some(pod), Some(group)) = (self.host.pods.find(pod), self.group(group)) else {
            return false;
        };
        self.flag(now, pod, group, ago);
        true
    }

    fn flag(&mut self, now: Nanos, pod: PodId, group: RouteClassId, ago: Nanos) {
        self.at(now);
        self.saw(|| Event::FaultReported {
            pod,
            route_class: group,
            ago,
        });
        self.router.report_fault(&mut self.host, pod, group, ago);
    }

    fn group(&self, name: &str) -> Option<RouteClassId> {
        self.slots.find(name)
    }

    pub fn pod_address(&self, pod: PodId) -> Option<SocketAddr> {
        self.host.pods.address(pod)
    }

    pub fn pod_name(&self, pod: PodId) -> Option<&str> {
        self.host.pods.name(pod)
    }

    /// The list as last told, to be kept for a start without the node list's service.
    pub fn listed_pods(&self) -> Vec<Listed> {
        self.host.pods.listed(self.host.now)
    }

    /// Hits held: those owed an answer, and those whose forwards are still out though their client left.
    pub fn requests_held(&self) -> usize {
        self.host.hits.len()
    }

    /// Forwards that have not ended.
    pub fn attempts_in_flight(&self) -> usize {
        self.host
            .hits
            .values()
            .map(|held| held.forwards.iter().flatten().count())
            .sum()
    }

    /// How many pods the decisions looked at since the start.
    pub fn visits(&self) -> Visits {
        self.router.visits()
    }

    pub fn status(&self) -> EngineStatus {
        let pods = self
            .host
            .entries
            .iter()
            .flatten()
            .filter(|pod| pod.state == PodState::Running)
            .count();
        EngineStatus {
            hits: self.host.hits.len(),
            pods,
            stage: self.stage,
            sums: self.router.sums(),
        }
    }
}
