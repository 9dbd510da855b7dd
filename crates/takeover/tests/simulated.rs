//! Takeovers over the simulated network: guarantees that hold for every seed, and progress while enough sidecars can
//! reach each other.

use havenplank_emulator::net::{Clock, DatagramOutcome, Host, Id, Nanos, Net, NetworkFaults};
use havenplank_membership::member::MemberId;
use havenplank_takeover::message::Message;
use havenplank_takeover::placement::{choose_backups, Candidate};
use havenplank_takeover::record::{AttemptState, Outcome, Record, RequestId};
use havenplank_takeover::{Effect, IncomingRequest, RequiredAcks, Rules, TableSizes, Takeover};
use oorandom::Rand64;
use rayon::prelude::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;
const ZONES: [&str; 3] = ["a", "b", "c"];

enum Action {
    /// A request arrives, with this digest.
    IncomingRequest(RequestId, u64),
    /// The attempt with this index ends.
    EndAttempt(RequestId, usize),
}

/// A sidecar that serves non-idempotent requests: it makes one attempt, and another only if the last one never ran.
struct Sidecar {
    takeover: Takeover,
    me: MemberId,
    members: Vec<MemberId>,
    /// Actions by time. The number keeps actions of the same time in the order of scheduling.
    scheduled_actions: BTreeMap<(Nanos, u64), Action>,
    scheduled_count: u64,
    random: Rand64,
    outgoing: VecDeque<(SocketAddr, Vec<u8>)>,
    /// The requests of the attempts that were written, except attempts that turned out never to have run. Each entry
    /// counts as one run of its request.
    written_attempts: Vec<RequestId>,
    /// Outcomes that this sidecar received from others.
    received_outcomes: Vec<(RequestId, Outcome)>,
    taken_over: Vec<(Nanos, RequestId)>,
    unprotected: usize,
    reused_keys: usize,
    /// The share of attempts that never ran, and the share of those after which the request is rejected at once.
    never_ran_share: f64,
    rejected_share: f64,
    /// The maximum duration of an attempt, in ms.
    max_attempt_ms: u64,
    /// What this sidecar did for which request since the log was last read; `None` if nothing is logged.
    event_log: Option<Vec<(RequestId, String)>>,
    /// A hash of all datagrams received, in the order of arrival.
    received_hash: blake3::Hasher,
}

fn member_id(id: Id) -> MemberId {
    MemberId {
        name: format!("s-{id}"),
        incarnation: 1,
    }
}

impl Sidecar {
    fn new(now: Nanos, id: Id, sidecar_count: usize, seed: u64, rules: Rules) -> Sidecar {
        let me = member_id(id);
        Sidecar {
            takeover: Takeover::new(now, seed ^ id as u64, me.clone(), rules),
            me,
            members: (0..sidecar_count).map(member_id).collect(),
            scheduled_actions: BTreeMap::new(),
            scheduled_count: 0,
            random: Rand64::new((seed << 8 ^ id as u64) as u128),
            outgoing: VecDeque::new(),
            written_attempts: Vec::new(),
            received_outcomes: Vec::new(),
            taken_over: Vec::new(),
            unprotected: 0,
            reused_keys: 0,
            never_ran_share: 0.1,
            rejected_share: 0.0,
            max_attempt_ms: 300,
            event_log: None,
            received_hash: blake3::Hasher::new(),
        }
    }

    fn log_event(&mut self, request: RequestId, description: impl FnOnce() -> String) {
        if let Some(event_log) = &mut self.event_log {
            event_log.push((request, description()));
        }
    }

    fn schedule(&mut self, time: Nanos, action: Action) {
        self.scheduled_count += 1;
        self.scheduled_actions
            .insert((time, self.scheduled_count), action);
    }

    fn backups_for(&self, request: RequestId, count: usize) -> Vec<MemberId> {
        let zone = |member: &MemberId| ZONES[member.name[2..].parse::<usize>().unwrap() % 3];
        let others = self.members.iter().filter(|member| **member != self.me);
        let others: Vec<Candidate<'_>> = others
            .map(|member| Candidate {
                id: member,
                zone: zone(member),
            })
            .collect();
        choose_backups(request, &others, count)
    }

    fn resume(&mut self, now: Nanos, record: &Record) {
        let (request, may_have_run) = (
            record.request,
            record
                .attempts
                .iter()
                .any(|attempt| attempt.state != AttemptState::NeverRan),
        );
        if may_have_run {
            self.takeover
                .finish(now, request, Outcome::Failed { retryable: false });
        } else {
            self.takeover.begin_attempt(now, request, "pod");
        }
    }

    fn perform_effects(&mut self, now: Nanos) {
        while let Some(effect) = self.takeover.next_effect() {
            match effect {
                Effect::Send { to, message } => {
                    let id = to.name[2..].parse().unwrap();
                    let bytes = postcard::to_stdvec(&(&self.me, &to, &message)).unwrap();
                    self.outgoing
                        .push_back((Net::<Sidecar>::address(id), bytes));
                }
                Effect::Claimed(request) => {
                    self.takeover.begin_attempt(now, request, "pod");
                }
                Effect::AttemptReady(request, index) => {
                    let is_allowed = self.takeover.may_send(now, request);
                    self.log_event(request, || {
                        format!(
                            "attempt {index} {}",
                            if is_allowed { "WRITTEN" } else { "not allowed" }
                        )
                    });
                    if is_allowed {
                        self.written_attempts.push(request);
                        let duration = self.random.rand_range(1..self.max_attempt_ms) * MS;
                        self.schedule(now + duration, Action::EndAttempt(request, index));
                    }
                }
                Effect::TakenOver(record) => {
                    self.taken_over.push((now, record.request));
                    self.log_event(record.request, || {
                        format!(
                            "takes over in term {} after attempts {:?}",
                            record.term, record.attempts
                        )
                    });
                    self.resume(now, &record);
                }
                Effect::Finished(request, outcome) => {
                    self.log_event(request, || format!("receives outcome {outcome:?}"));
                    self.received_outcomes.push((request, outcome));
                }
                Effect::Unprotected(request) => {
                    self.log_event(request, || "WRITTEN unprotected".to_string());
                    self.unprotected += 1;
                    self.written_attempts.push(request);
                }
                Effect::KeyReused(_) => self.reused_keys += 1,
                Effect::Joined(request) => {
                    self.log_event(request, || "joins another owner".to_string())
                }
                Effect::Uncertain(request) => {
                    self.log_event(request, || "rejects it as uncertain".to_string())
                }
                Effect::OwnershipLost(request) => {
                    self.log_event(request, || "loses its ownership".to_string())
                }
                Effect::Unknown(request) => {
                    self.log_event(request, || "learns that no backup knows it".to_string())
                }
            }
        }
    }
}

impl Host for Sidecar {
    fn receive_datagram(&mut self, now: Nanos, bytes: &[u8]) {
        self.received_hash.update(bytes);
        let (from, to, message): (MemberId, MemberId, Message) =
            postcard::from_bytes(bytes).unwrap();
        if to == self.me {
            self.takeover.receive(now, &from, message);
            self.perform_effects(now);
        }
    }
    fn wake(&mut self, now: Nanos) {
        while let Some(entry) = self
            .scheduled_actions
            .first_entry()
            .filter(|entry| entry.key().0 <= now)
        {
            match entry.remove() {
                Action::IncomingRequest(request, request_digest) => {
                    let backups = self.backups_for(request, 3);
                    // Clients retry only these requests.
                    let needs_all_acks = request % 3 == 0;
                    self.log_event(request, || {
                        let names: Vec<&str> = backups
                            .iter()
                            .map(|member_id| member_id.name.as_str())
                            .collect();
                        format!("claims it with backups {names:?}")
                    });
                    let required = match needs_all_acks {
                        true => RequiredAcks::All,
                        false => RequiredAcks::Majority,
                    };
                    let incoming = IncomingRequest {
                        request,
                        digest: request_digest,
                        payload: vec![1],
                        remaining: 6 * S,
                        backups,
                    };
                    self.takeover.claim(now, incoming, required);
                }
                Action::EndAttempt(request, index) => {
                    let never_ran = self.random.rand_float() < self.never_ran_share;
                    self.log_event(request, || {
                        format!(
                            "attempt {index} ends, {}",
                            if never_ran { "never ran" } else { "ran" }
                        )
                    });
                    if never_ran {
                        // The attempt never ran, so it does not count as a run of the request, and the next attempt may
                        // be written.
                        let position = self
                            .written_attempts
                            .iter()
                            .position(|known| *known == request)
                            .unwrap();
                        self.written_attempts.remove(position);
                        self.takeover
                            .end_attempt(now, request, index, AttemptState::NeverRan);
                        // When the request is rejected, the answer says that a retry does no harm, and the client may
                        // send it again.
                        match self.random.rand_float() < self.rejected_share {
                            true => self.takeover.finish(now, request, Outcome::Rejected),
                            false => drop(self.takeover.begin_attempt(now, request, "pod")),
                        }
                    } else {
                        self.takeover
                            .finish(now, request, Outcome::Served(vec![request as u8]));
                    }
                }
            }
            self.perform_effects(now);
        }
        self.takeover.wake(now);
        self.perform_effects(now);
    }
    fn next_wake(&self) -> Option<Nanos> {
        let next_action = self.scheduled_actions.keys().next().map(|(time, _)| *time);
        self.takeover
            .next_wake()
            .into_iter()
            .chain(next_action)
            .min()
    }
    fn datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.outgoing.pop_front()
    }
}

/// One run of the simulation, with its requests and the violations found.
struct Run {
    seed: u64,
    net: Net<Sidecar>,
    requests: Vec<RequestId>,
    /// How many times each request ran, over all sidecars and incarnations.
    execution_counts: BTreeMap<RequestId, usize>,
    /// All events by time, with their request (`None` for events that concern no single request) and a description.
    event_log: Option<Vec<(Nanos, Option<RequestId>, String)>>,
    /// Requests found with two acting owners; only the first is recorded.
    violations: Vec<String>,
}

impl Run {
    fn new(sidecar_count: usize, seed: u64, faults: NetworkFaults) -> Run {
        let mut net = Net::new(seed, faults);
        for id in 0..sidecar_count {
            let clock = Clock {
                began: id as Nanos * 991 * S,
                drift_ppm: (id as i64 % 3 - 1) * 10_000,
            };
            net.join(clock, |now, _| {
                Sidecar::new(now, id, sidecar_count, seed, Rules::default())
            });
        }
        let (requests, execution_counts, violations) = (Vec::new(), BTreeMap::new(), Vec::new());
        Run {
            seed,
            net,
            requests,
            execution_counts,
            event_log: None,
            violations,
        }
    }

    fn enable_event_log(&mut self) {
        self.event_log = Some(Vec::new());
        self.net.datagram_log = Some(Vec::new());
        self.net.ids().for_each(|id| {
            self.net
                .host_mut(id)
                .into_iter()
                .for_each(|sidecar| sidecar.event_log = Some(vec![]))
        });
    }

    fn log_event(&mut self, description: String) {
        let now = self.net.now();
        self.event_log
            .iter_mut()
            .for_each(|event_log| event_log.push((now, None, description.clone())));
    }

    fn send_request(&mut self, id: Id, request: RequestId, after: Nanos) {
        let at = self.net.own_time(id) + after;
        self.net
            .host_mut(id)
            .unwrap()
            .schedule(at, Action::IncomingRequest(request, 5));
        if !self.requests.contains(&request) {
            self.requests.push(request);
        }
    }

    /// Runs the simulation up to a time. Records a violation if a request has two acting owners after any step.
    fn run_until(&mut self, until: Nanos) {
        let (requests, event_log, violations) =
            (&self.requests, &mut self.event_log, &mut self.violations);
        self.net.run(until, |net, active| {
            if let Some(event_log) = event_log {
                collect_events(net, active, event_log);
            }
            for request in requests {
                let may_act = |id: &Id| {
                    net.host(*id).is_some_and(|sidecar| {
                        sidecar.takeover.may_send(net.own_time(*id), *request)
                    })
                };
                let owners: Vec<Id> = net.ids().filter(may_act).collect();
                if owners.len() > 1 && violations.is_empty() {
                    violations.push(format!(
                        "{owners:?} may all act on request {request} at {}",
                        net.now()
                    ));
                }
            }
        });
        // Sidecars that a test called directly have logged events, too.
        let ids: Vec<Id> = self.net.ids().collect();
        if let Some(event_log) = &mut self.event_log {
            ids.into_iter()
                .for_each(|id| collect_events(&mut self.net, id, event_log));
        }
    }

    fn kill(&mut self, id: Id) {
        self.count_executions(id);
        self.net.kill(id);
    }

    fn count_executions(&mut self, id: Id) {
        if let Some(sidecar) = self.net.host_mut(id) {
            std::mem::take(&mut sidecar.written_attempts)
                .into_iter()
                .for_each(|request| *self.execution_counts.entry(request).or_default() += 1);
        }
    }

    /// Returns and clears the violations, with the seed.
    fn take_violations(&mut self) -> Vec<String> {
        self.net.ids().for_each(|id| self.count_executions(id));
        let repeated = self
            .execution_counts
            .iter()
            .filter(|(_, times)| **times > 1);
        let repeated =
            repeated.map(|(request, times)| format!("request {request} ran {times} times"));
        let all = self.violations.drain(..).chain(repeated);
        all.map(|violation| format!("seed {}: {violation}", self.seed))
            .collect()
    }

    fn assert_no_violations(&mut self) {
        assert_eq!(self.take_violations(), Vec::<String>::new());
    }
}

/// Summarises a message. A record appears as its owner, term, version, whether it is confirmed, the states of its
/// attempts and its outcome.
fn summarise(message: &Message) -> (Option<RequestId>, String) {
    let describe = |record: &Record| {
        let states: Vec<AttemptState> = record
            .attempts
            .iter()
            .map(|attempt| attempt.state)
            .collect();
        let confirmed = if record.confirmed {
            "confirmed"
        } else {
            "not confirmed"
        };
        let Record {
            owner,
            term,
            version,
            outcome,
            ..
        } = record;
        format!(
            "{} term {term} version {version} {confirmed} {states:?} {outcome:?}",
            owner.name
        )
    };
    match message {
        Message::Store { record, .. } => {
            (Some(record.request), format!("store {}", describe(record)))
        }
        Message::RequestVote { request, term, .. } => {
            (Some(*request), format!("request vote for term {term}"))
        }
        Message::VoteGranted {
            record,
            term,
            epoch,
            ..
        } => (
            Some(record.request),
            format!(
                "vote granted for term {term}, epoch {epoch}, with {}",
                describe(record)
            ),
        ),
        Message::Stored {
            request,
            term,
            version,
            epoch,
            ..
        } => (
            Some(*request),
            format!("stored term {term} version {version}, epoch {epoch}"),
        ),
        Message::RenewLease { .. } => (None, "renew lease".to_string()),
        Message::LeaseRenewed { epoch, .. } => (None, format!("lease renewed, epoch {epoch}")),
        Message::Owned { request, .. }
        | Message::OutOfCapacity { request }
        | Message::AwaitOutcome { request, .. } => (Some(*request), format!("{message:?}")),
        Message::Finished { request, .. }
        | Message::UnknownRequest { request }
        | Message::Release { request, .. } => (Some(*request), format!("{message:?}")),
    }
}

/// Moves the logs of the network and of one sidecar into the event log of the run.
fn collect_events(
    net: &mut Net<Sidecar>,
    active: Id,
    event_log: &mut Vec<(Nanos, Option<RequestId>, String)>,
) {
    let now = net.now();
    for datagram in net.datagram_log.iter_mut().flat_map(|log| log.drain(..)) {
        let (from, to, message): (MemberId, MemberId, Message) =
            postcard::from_bytes(&datagram.bytes).unwrap();
        let (request, summary) = summarise(&message);
        let verb = match datagram.outcome {
            DatagramOutcome::Received | DatagramOutcome::Buffered | DatagramOutcome::Dropped => {
                "arrives"
            }
            DatagramOutcome::Partitioned | DatagramOutcome::Lost | DatagramOutcome::Sent(_) => {
                "sends"
            }
        };
        let description = format!(
            "{} to {} {verb} {:?}: {summary}",
            from.name, to.name, datagram.outcome
        );
        event_log.push((datagram.at, request, description));
    }
    let entries = net
        .host_mut(active)
        .and_then(|sidecar| sidecar.event_log.as_mut())
        .map(std::mem::take);
    for (request, description) in entries.into_iter().flatten() {
        event_log.push((now, Some(request), format!("s-{active} {description}")));
    }
}

/// The kinds of attempts and faults in a random run.
#[derive(Clone, Copy, PartialEq)]
enum Scenario {
    /// Attempts of at most 300 ms; the network is split, or no datagram from a sidecar arrives.
    ShortAttempts,
    /// Attempts that outlast leases; links between two sidecars are cut in one direction.
    LongAttempts,
}

/// Runs random requests with random kills, pauses and cuts of random duration, and checks that no request runs twice.
fn random_run(seed: u64, scenario: Scenario, with_log: bool) -> RunResult {
    let mut random = Rand64::new(seed as u128 + 77);
    let sidecar_count = 4 + (seed % 4) as usize;
    let loss = [0.0, 0.1, 0.3][seed as usize % 3];
    let mut run = Run::new(
        sidecar_count,
        seed,
        NetworkFaults {
            loss,
            duplicate: 0.1,
            delay: (100_000, 50 * MS),
        },
    );
    if with_log {
        run.enable_event_log();
    }
    for id in 0..sidecar_count {
        let sidecar = run.net.host_mut(id).unwrap();
        (sidecar.never_ran_share, sidecar.rejected_share) =
            [(0.1, 0.0), (0.5, 0.7)][(seed % 2) as usize];
        if scenario == Scenario::LongAttempts {
            (
                sidecar.never_ran_share,
                sidecar.rejected_share,
                sidecar.max_attempt_ms,
            ) = (0.6, 0.1, 1_500);
        }
    }
    for n in 0..20 {
        let id = random.rand_range(0..sidecar_count as u64) as usize;
        let after = random.rand_range(0..4 * S);
        run.send_request(id, n as RequestId, after);
        if n % 3 == 0 {
            // The client retries at another sidecar with the same key.
            let other = random.rand_range(0..sidecar_count as u64) as usize;
            run.send_request(other, n as RequestId, after + random.rand_range(0..S));
        }
    }
    let (mut now, mut killed) = (0, 0);
    while now < 14 * S {
        now += random.rand_range(10 * MS..700 * MS);
        run.run_until(now);
        let id = random.rand_range(0..sidecar_count as u64) as usize;
        match random.rand_range(0..7) {
            0 if killed < 1 => {
                killed += 1;
                run.log_event(format!("s-{id} is killed"));
                run.kill(id);
            }
            1 => {
                run.log_event(format!("s-{id} is paused"));
                run.net.pause(id);
            }
            2 | 3 => {
                run.log_event("all paused sidecars resume".to_string());
                (0..sidecar_count).for_each(|id| run.net.unpause(id));
            }
            4 | 5 if scenario == Scenario::LongAttempts => {
                let other = (id + 1 + random.rand_range(0..sidecar_count as u64 - 1) as usize)
                    % sidecar_count;
                run.log_event(format!("s-{other} receives nothing from s-{id}"));
                run.net.cut(id, other);
            }
            4 => {
                let (first, second): (Vec<Id>, Vec<Id>) =
                    (0..sidecar_count).partition(|_| random.rand_float() < 0.5);
                run.log_event(format!("split into {first:?} and {second:?}"));
                run.net.split(&[&first, &second]);
            }
            5 => {
                run.log_event(format!("no datagram from s-{id} arrives"));
                (0..sidecar_count)
                    .filter(|other| *other != id)
                    .for_each(|other| run.net.cut(id, other));
            }
            _ => {
                run.log_event("cuts are healed".to_string());
                run.net.heal();
            }
        }
    }
    run.log_event("all cuts are healed and all sidecars resume".to_string());
    run.net.heal();
    (0..sidecar_count).for_each(|id| run.net.unpause(id));
    // Long attempts may follow each other far beyond the deadline. The run continues until the last attempt has ended
    // and its record has expired.
    run.run_until(if scenario == Scenario::LongAttempts {
        60 * S
    } else {
        30 * S
    });
    let mut violations = run.take_violations();
    let sidecars = || run.net.ids().filter_map(|id| run.net.host(id));
    let remaining: Vec<TableSizes> = sidecars()
        .map(|sidecar| sidecar.takeover.table_sizes())
        .filter(|sizes| *sizes != TableSizes::default())
        .collect();
    if !remaining.is_empty() {
        violations.push(format!(
            "seed {seed}: tables not empty after all time limits: {remaining:?}"
        ));
    }
    let taken_over = sidecars().map(|sidecar| sidecar.taken_over.len()).sum();
    RunResult {
        taken_over,
        requests_run: run.execution_counts.len(),
        violations,
        traffic: traffic(&run.net),
        event_log: run.event_log.unwrap_or_default(),
    }
}

/// Returns the numbers of datagrams and bytes sent, and a hash of what the sidecars still running have received.
fn traffic(net: &Net<Sidecar>) -> String {
    let mut received = blake3::Hasher::new();
    for sidecar in net.ids().filter_map(|id| net.host(id)) {
        received.update(sidecar.received_hash.finalize().as_bytes());
    }
    let digest = &received.finalize().to_hex()[..16];
    format!("{} {} {digest}", net.sent, net.sent_bytes)
}

struct RunResult {
    taken_over: usize,
    requests_run: usize,
    violations: Vec<String>,
    traffic: String,
    event_log: Vec<(Nanos, Option<RequestId>, String)>,
}

fn number_from_env(name: &str) -> Option<u64> {
    let text = std::env::var(name).ok()?;
    Some(
        text.parse()
            .unwrap_or_else(|_| panic!("{name}: expected a whole number, found {text:?}")),
    )
}

/// Runs many seeds. To run it by hand: HAVENPLANK_SEEDS=500000 runs more seeds, and HAVENPLANK_FROM sets the first one.
/// HAVENPLANK_SEED=7 runs one seed and, with `--nocapture`, prints its events; HAVENPLANK_REQUEST=8 limits them to one
/// request.
fn check_seeds(scenario: Scenario) {
    if let Some(seed) = number_from_env("HAVENPLANK_SEED") {
        let (result, wanted_request) = (
            random_run(seed, scenario, true),
            number_from_env("HAVENPLANK_REQUEST"),
        );
        for (at, request, description) in &result.event_log {
            if request.is_none_or(|request| {
                wanted_request.is_none_or(|wanted| request == wanted as RequestId)
            }) {
                println!(
                    "{:>10.3} ms {} {description}",
                    *at as f64 / 1e6,
                    request.map_or("-".into(), |request| request.to_string())
                );
            }
        }
        return assert_eq!(result.violations, Vec::<String>::new());
    }
    let from = number_from_env("HAVENPLANK_FROM").unwrap_or(0);
    let seeds = number_from_env("HAVENPLANK_SEEDS").unwrap_or(300);
    let merge = |a: (usize, usize, Vec<String>), b: (usize, usize, Vec<String>)| {
        (a.0 + b.0, a.1 + b.1, [a.2, b.2].concat())
    };
    let results = (from..from + seeds)
        .into_par_iter()
        .map(|seed| random_run(seed, scenario, false));
    let all = results.map(|result| (result.taken_over, result.requests_run, result.violations));
    let (taken_over, requests_run, violations) = all.reduce(|| (0, 0, Vec::new()), merge);
    let failed_seeds: BTreeSet<&str> = violations
        .iter()
        .filter_map(|description| description.split(':').next())
        .collect();
    println!(
        "{taken_over} takeovers, {requests_run} requests run, {} seeds with violations",
        failed_seeds.len()
    );
    assert!(
        violations.is_empty(),
        "{} of {seeds} seeds have violations; the first ones: {:#?}\nto run one seed: HAVENPLANK_SEED=N, with -- --nocapture",
        failed_seeds.len(),
        &violations[..violations.len().min(10)]
    );
    assert!(
        taken_over as u64 > seeds / 3 && requests_run as u64 > 5 * seeds,
        "{taken_over} takeovers, {requests_run} requests run: too few for the test to show anything"
    );
}

#[test]
fn random_faults_with_short_attempts_leave_one_acting_owner_and_run_no_request_twice() {
    check_seeds(Scenario::ShortAttempts);
}

#[test]
fn random_faults_with_attempts_that_outlast_leases_leave_one_acting_owner_and_run_no_request_twice()
{
    check_seeds(Scenario::LongAttempts);
}

/// Guards against violations that these seeds once found. 42080: two of three backups had fast clocks and dropped a
/// finished request. They then voted for the third, which had missed the last messages and still held the request as
/// unfinished. 4583 and 4695: a record was dropped without beginning a new epoch, and an owner had dropped a request
/// that it had finished.
#[test]
fn seeds_that_once_had_violations_have_none() {
    for seed in [4_583, 4_695, 42_080] {
        assert_eq!(
            random_run(seed, Scenario::ShortAttempts, false).violations,
            Vec::<String>::new()
        );
    }
}

/// A backup is paused with the first messages of a request in its socket buffer. It resumes when the other backups are
/// about to drop the record of the outcome, or have dropped it. The messages in its buffer then look new to it, and it
/// must not take the request over.
#[test]
fn a_backup_that_was_paused_past_the_retention_of_the_others_takes_nothing_over() {
    let (mut resumed_with_open_request, mut violations) = (0, Vec::new());
    for seed in 0..number_from_env("HAVENPLANK_SEEDS").unwrap_or(400) {
        let mut run = Run::new(
            4,
            seed,
            NetworkFaults {
                loss: 0.3,
                ..NetworkFaults::default()
            },
        );
        if number_from_env("HAVENPLANK_SEED") == Some(seed) {
            run.enable_event_log();
        }
        (0..4).for_each(|id| run.net.host_mut(id).unwrap().never_ran_share = 0.5);
        run.net.pause(3);
        run.send_request(0, 1, 0);
        // The messages about the outcome do not reach the paused backup.
        run.run_until(400 * MS);
        (0..3).for_each(|id| run.net.cut(id, 3));
        run.run_until(10_800 * MS + seed % 20 * 50 * MS);
        run.net.heal();
        run.net.unpause(3);
        let is_open = |record: &Record| record.confirmed && record.outcome.is_none();
        resumed_with_open_request += run
            .net
            .host(3)
            .unwrap()
            .takeover
            .replica(1)
            .is_some_and(is_open) as usize;
        run.run_until(20 * S);
        violations.extend(run.take_violations());
        for (at, _, description) in run.event_log.iter().flatten() {
            println!("{:>10.3} ms {description}", *at as f64 / 1e6);
        }
    }
    assert!(
        violations.is_empty(),
        "{} violations: {:#?}",
        violations.len(),
        &violations[..violations.len().min(10)]
    );
    assert!(
        resumed_with_open_request > 20,
        "{resumed_with_open_request} backups resumed with an unfinished request: too few to show anything"
    );
}

/// In random runs, the jitter of candidacies hides whether a lease is shortened by the clock drift. This test checks
/// the limit by itself, with the slowest owner, the fastest backups and messages that arrive at once.
#[test]
fn a_lease_expires_before_its_grant_while_clock_drift_is_within_the_limit() {
    let member_ids: Vec<MemberId> = (0..4).map(member_id).collect();
    let rules = Rules::default();
    let (slow, fast) = (1_000_000 - rules.drift_ppm, 1_000_000 + rules.drift_ppm);
    let own_time = |time: Nanos, rate: u64| time / 1_000 * rate / 1_000;
    let mut takeovers: Vec<Takeover> = member_ids
        .iter()
        .map(|me| Takeover::new(0, 1, me.clone(), rules.clone()))
        .collect();
    let incoming = IncomingRequest {
        request: 1,
        digest: 5,
        payload: vec![1],
        remaining: 6 * S,
        backups: member_ids[1..].to_vec(),
    };
    takeovers[0].claim(0, incoming, RequiredAcks::Majority);
    // All backups store the first attempt at time 0, and no message is received after that.
    let mut pending = VecDeque::from([0]);
    while let Some(id) = pending.pop_front() {
        while let Some(effect) = takeovers[id].next_effect() {
            match effect {
                Effect::Send { to, message } => {
                    let to = member_ids
                        .iter()
                        .position(|member_id| *member_id == to)
                        .unwrap();
                    let from = member_ids[id].clone();
                    takeovers[to].receive(0, &from, message);
                    pending.push_back(to);
                }
                Effect::Claimed(request) => drop(takeovers[id].begin_attempt(0, request, "pod")),
                _ => {}
            }
        }
    }
    let first_wake = (1..4)
        .filter_map(|id| takeovers[id].next_wake())
        .min()
        .expect("each backup has a timer for the end of its grant");
    let grant_expiry = first_wake / fast * 1_000_000 + first_wake % fast * 1_000_000 / fast;
    assert!(
        takeovers[0].may_send(own_time(grant_expiry * 9 / 10, slow), 1),
        "the owner must be able to act for nine tenths of the grant"
    );
    assert!(
        !takeovers[0].may_send(own_time(grant_expiry, slow), 1),
        "the owner may still act when a grant expires, at {grant_expiry}"
    );
}

/// All backups of a request are dead, and its client retries at another sidecar. Of the backups of the new claim, only
/// the first owner knows the request.
#[test]
fn the_first_owner_still_knows_a_request_when_all_its_backups_are_dead() {
    let mut cases = 0;
    for request in 0..60 {
        let mut run = Run::new(8, request as u64, NetworkFaults::default());
        let first_backups = run.net.host(0).unwrap().backups_for(request, 3);
        run.net.host_mut(0).unwrap().never_ran_share = 0.0;
        run.send_request(0, request, 0);
        run.run_until(S);
        let dead: Vec<Id> = first_backups
            .iter()
            .map(|member_id| member_id.name[2..].parse().unwrap())
            .collect();
        dead.iter().for_each(|id| run.kill(*id));
        let living: Vec<MemberId> = (0..8)
            .filter(|id| !dead.contains(id))
            .map(member_id)
            .collect();
        for id in (0..8).filter(|id| !dead.contains(id)) {
            run.net.host_mut(id).unwrap().members = living.clone();
        }
        let other = (1..8).find(|id| !dead.contains(id)).unwrap();
        // If the first owner is not a backup of the new claim, no backup of that claim knows the request.
        // docs/takeover-design.md describes this remaining case.
        if !run
            .net
            .host(other)
            .unwrap()
            .backups_for(request, 3)
            .contains(&member_id(0))
        {
            continue;
        }
        cases += 1;
        run.send_request(other, request, 0);
        run.run_until(3 * S);
        run.assert_no_violations();
        assert_eq!(
            run.execution_counts.get(&request),
            Some(&1),
            "request {request}"
        );
    }
    assert!(
        cases > 30,
        "in {cases} of 60 runs, the first owner was a backup of the new claim: too few to show anything"
    );
}

#[test]
fn requests_of_a_dead_sidecar_are_finished_while_a_majority_of_backups_lives() {
    let (mut finished, mut expected) = (0, 0);
    for seed in 0..40 {
        let mut run = Run::new(
            7,
            seed,
            NetworkFaults {
                loss: 0.05,
                ..NetworkFaults::default()
            },
        );
        (0..20).for_each(|n| run.send_request(0, n, n as Nanos * 10 * MS));
        run.run_until(150 * MS + seed * 5 * MS);
        run.kill(0);
        let killed = run.net.now();
        let stored_requests: Vec<RequestId> = (0..20)
            .filter(|request| {
                let stored = |id: Id| run.net.host(id)?.takeover.replica(*request);
                let stored: Vec<&Record> = (1..7).filter_map(stored).collect();
                stored.len() >= 2
                    && stored
                        .iter()
                        .all(|record| record.confirmed && record.outcome.is_none())
            })
            .collect();
        run.run_until(killed + 5 * S);
        for request in &stored_requests {
            expected += 1;
            let taken_over = (1..7).find_map(|id| {
                let sidecar = run.net.host(id).unwrap();
                sidecar
                    .taken_over
                    .iter()
                    .find(|(_, known)| known == request)
                    .copied()
            });
            assert!(
                taken_over.is_some(),
                "seed {seed}: no sidecar took over request {request}"
            );
            finished += 1;
        }
        run.assert_no_violations();
    }
    assert!(
        expected > 300 && finished == expected,
        "{finished} of {expected} requests were taken over"
    );
}

#[test]
fn a_client_that_retries_elsewhere_joins_and_a_different_request_with_its_key_is_detected() {
    for seed in 0..40 {
        let mut run = Run::new(6, seed, NetworkFaults::default());
        run.send_request(0, 1, 0);
        run.send_request(1, 1, 20 * MS);
        run.send_request(2, 1, 400 * MS);
        let at = run.net.own_time(3) + 30 * MS;
        run.net
            .host_mut(3)
            .unwrap()
            .schedule(at, Action::IncomingRequest(1, 6));
        run.run_until(4 * S);
        run.assert_no_violations();
        assert_eq!(run.execution_counts.get(&1), Some(&1));
        for id in [1, 2] {
            let sidecar = run.net.host(id).unwrap();
            assert_eq!(
                sidecar.received_outcomes,
                [(1, Outcome::Served(vec![1]))],
                "seed {seed}, sidecar {id}"
            );
        }
        assert_eq!(run.net.host(3).unwrap().reused_keys, 1);
    }
}

#[test]
fn a_rejected_client_may_retry_anywhere_with_its_key() {
    for seed in 0..40 {
        let mut run = Run::new(
            6,
            seed,
            NetworkFaults {
                loss: 0.1,
                ..NetworkFaults::default()
            },
        );
        let first_owner = run.net.host_mut(0).unwrap();
        (first_owner.never_ran_share, first_owner.rejected_share) = (1.0, 1.0);
        run.send_request(0, 1, 0);
        // Depending on the seed, the client retries at the sidecar that rejected the request, at one of its backups, or
        // at a sidecar that does not know it.
        run.send_request((seed % 6) as Id, 1, 1_200 * MS);
        run.run_until(1_100 * MS);
        (0..6).for_each(|id| run.net.host_mut(id).unwrap().never_ran_share = 0.0);
        run.send_request(((seed + 1) % 6) as Id, 1, 2_500 * MS);
        run.run_until(6 * S);
        run.assert_no_violations();
        assert_eq!(run.execution_counts.get(&1), Some(&1), "seed {seed}");
        let last_owner = run.net.host(((seed + 1) % 6) as Id).unwrap();
        assert_eq!(
            last_owner.received_outcomes.last(),
            Some(&(1, Outcome::Served(vec![1]))),
            "seed {seed}"
        );
    }
}

#[test]
fn a_background_claim_sends_nothing_when_finished_soon_and_reaches_all_backups_otherwise() {
    let mut run = Run::new(4, 1, NetworkFaults::default());
    let at = run.net.own_time(0);
    let owner = run.net.host_mut(0).unwrap();
    for request in [1, 2] {
        let incoming = IncomingRequest {
            request,
            digest: 5,
            payload: vec![1],
            remaining: 6 * S,
            backups: owner.backups_for(request, 3),
        };
        owner.takeover.claim_in_background(at, incoming);
        assert_eq!(owner.takeover.begin_attempt(at, request, "pod"), Some(0));
    }
    owner
        .takeover
        .finish(at + 50 * MS, 1, Outcome::Served(vec![1]));
    assert!(owner.takeover.next_effect().is_none());
    let only_the_second = TableSizes {
        owned: 1,
        ..TableSizes::default()
    };
    assert_eq!(owner.takeover.table_sizes(), only_the_second);
    run.run_until(400 * MS);
    let stored_at = |run: &Run, request| {
        (1..4)
            .filter(|id| {
                run.net
                    .host(*id)
                    .unwrap()
                    .takeover
                    .replica(request)
                    .is_some()
            })
            .count()
    };
    assert_eq!((stored_at(&run, 1), stored_at(&run, 2)), (0, 3));
}

#[test]
fn new_records_are_rejected_and_answers_are_not_kept_above_the_byte_limit() {
    let member_ids: Vec<MemberId> = (0..2).map(member_id).collect();
    let rules = Rules {
        max_replica_bytes: 1_000,
        ..Rules::default()
    };
    let mut backup = Takeover::new(0, 1, member_ids[1].clone(), rules);
    let record = |request: RequestId, version: u32, outcome: Option<Outcome>| Record {
        request,
        owner: member_ids[0].clone(),
        term: 0,
        version,
        confirmed: true,
        backups: vec![member_ids[1].clone()],
        digest: 5,
        payload: vec![0; 400],
        remaining: S,
        attempts: Vec::new(),
        outcome,
    };
    let mut reply_to = |record: Record| {
        backup.receive(0, &member_ids[0], Message::Store { record, sent_at: 0 });
        match backup.next_effect() {
            Some(Effect::Send { message, .. }) => message,
            other => panic!("{other:?}"),
        }
    };
    for request in 1..=3 {
        assert!(
            matches!(reply_to(record(request, 1, None)), Message::Stored { .. }),
            "record {request}: accepted while the total before it is below the limit"
        );
    }
    assert!(matches!(
        reply_to(record(4, 1, None)),
        Message::OutOfCapacity { request: 4 }
    ));
    // An update of a stored record is still accepted: its outcome is kept, but the answer is not.
    assert!(matches!(
        reply_to(record(1, 2, Some(Outcome::Served(vec![1; 50])))),
        Message::Stored { .. }
    ));
    assert_eq!(
        backup.replica(1).and_then(|kept| kept.outcome.clone()),
        Some(Outcome::Served(Vec::new()))
    );
    backup.wake(10 * S);
    assert_eq!(backup.table_sizes(), TableSizes::default());
    backup.wake(10 * S);
    backup.receive(
        10 * S,
        &member_ids[0],
        Message::Store {
            record: record(4, 1, None),
            sent_at: 0,
        },
    );
    assert!(
        backup.replica(4).is_some(),
        "a record must be accepted again once the others have expired"
    );
}

#[test]
fn without_reachable_backups_a_request_is_served_unprotected_without_waiting() {
    let mut run = Run::new(4, 1, NetworkFaults::default());
    (1..4).for_each(|id| run.net.cut(id, 0));
    run.send_request(0, 1, 0);
    run.run_until(S);
    assert_eq!(run.net.host(0).unwrap().unprotected, 1);
}

#[test]
fn runs_by_seed_send_the_recorded_messages_and_bytes() {
    let scenarios = [Scenario::ShortAttempts, Scenario::LongAttempts];
    let traffic = scenarios
        .map(|scenario| [0, 1, 2, 3].map(|seed| random_run(seed, scenario, false).traffic));
    let recorded = [
        [
            "767 27271 43b61e29ad0d5207",
            "937 34798 bf551759fc4c609f",
            "1029 38685 8e5f5b91f5ca6b56",
            "1115 40547 2bad821ac25931b3",
        ],
        [
            "1713 62077 c2e0bd6267a26421",
            "1773 63755 86076d7a0414b104",
            "2338 85082 d74eeb75c1e28b10",
            "2006 70791 0e11cd63c12f96ab",
        ],
    ];
    assert_eq!(traffic, recorded);
}
