//! Takeovers over the simulated network: what no seed may break, and what must come about while enough can talk.

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
    IncomingRequest(RequestId, u64),
    End(RequestId, usize),
}

/// A sidecar that finishes non-idempotent requests: one attempt, another only if the last one never ran.
struct Sidecar {
    takeover: Takeover,
    me: MemberId,
    members: Vec<MemberId>,
    actions: BTreeMap<(Nanos, u64), Action>,
    scheduled: u64,
    random: Rand64,
    out: VecDeque<(SocketAddr, Vec<u8>)>,
    /// Attempts written, that is effects, by request, and answers known here.
    written: Vec<RequestId>,
    answers: Vec<(RequestId, Outcome)>,
    taken_over: Vec<(Nanos, RequestId)>,
    unprotected: usize,
    differs: usize,
    /// Shares of attempts that never ran, and of those that are given up at once.
    never_ran: f64,
    gives_up: f64,
    /// How long an attempt takes at most, in ms.
    takes: u64,
    /// What was done for which request, since it was last read; not kept where nobody wants to know.
    story: Option<Vec<(RequestId, String)>>,
    /// Of all that arrived, in its order.
    arrived: blake3::Hasher,
}

fn member_id(id: Id) -> MemberId {
    MemberId {
        name: format!("s-{id}"),
        incarnation: 1,
    }
}

impl Sidecar {
    fn new(now: Nanos, id: Id, many: usize, seed: u64, rules: Rules) -> Sidecar {
        let me = member_id(id);
        Sidecar {
            takeover: Takeover::new(now, seed ^ id as u64, me.clone(), rules),
            me,
            members: (0..many).map(member_id).collect(),
            actions: BTreeMap::new(),
            scheduled: 0,
            random: Rand64::new((seed << 8 ^ id as u64) as u128),
            out: VecDeque::new(),
            written: Vec::new(),
            answers: Vec::new(),
            taken_over: Vec::new(),
            unprotected: 0,
            differs: 0,
            never_ran: 0.1,
            gives_up: 0.0,
            takes: 300,
            story: None,
            arrived: blake3::Hasher::new(),
        }
    }

    fn note(&mut self, request: RequestId, what: impl FnOnce() -> String) {
        if let Some(story) = &mut self.story {
            story.push((request, what()));
        }
    }

    fn at(&mut self, time: Nanos, act: Action) {
        self.scheduled += 1;
        self.actions.insert((time, self.scheduled), act);
    }

    fn backups(&self, request: RequestId, many: usize) -> Vec<MemberId> {
        let zone = |who: &MemberId| ZONES[who.name[2..].parse::<usize>().unwrap() % 3];
        let others = self.members.iter().filter(|who| **who != self.me);
        let others: Vec<Candidate<'_>> = others
            .map(|who| Candidate {
                id: who,
                zone: zone(who),
            })
            .collect();
        choose_backups(request, &others, many)
    }

    fn resume(&mut self, now: Nanos, record: &Record) {
        let (request, out) = (
            record.request,
            record
                .attempts
                .iter()
                .any(|attempt| attempt.state != AttemptState::NeverRan),
        );
        if out {
            self.takeover
                .finish(now, request, Outcome::Failed { retryable: false });
        } else {
            self.takeover.begin_attempt(now, request, "pod");
        }
    }

    fn carry_out(&mut self, now: Nanos) {
        while let Some(effect) = self.takeover.next_effect() {
            match effect {
                Effect::Send { to, message } => {
                    let id = to.name[2..].parse().unwrap();
                    let bytes = postcard::to_stdvec(&(&self.me, &to, &message)).unwrap();
                    self.out.push_back((Net::<Sidecar>::address(id), bytes));
                }
                Effect::Claimed(request) => {
                    self.takeover.begin_attempt(now, request, "pod");
                }
                Effect::AttemptReady(request, nth) => {
                    let may = self.takeover.may_send(now, request);
                    self.note(request, || {
                        format!(
                            "attempt {nth} {}",
                            if may { "WRITTEN" } else { "not allowed" }
                        )
                    });
                    if may {
                        self.written.push(request);
                        let takes = self.random.rand_range(1..self.takes) * MS;
                        self.at(now + takes, Action::End(request, nth));
                    }
                }
                Effect::TakenOver(record) => {
                    self.taken_over.push((now, record.request));
                    self.note(record.request, || {
                        format!(
                            "begins, term {} with past {:?}",
                            record.term, record.attempts
                        )
                    });
                    self.resume(now, &record);
                }
                Effect::Finished(request, done) => {
                    self.note(request, || format!("hears {done:?}"));
                    self.answers.push((request, done));
                }
                Effect::Unprotected(request) => {
                    self.note(request, || "WRITTEN unprotected".to_string());
                    self.unprotected += 1;
                    self.written.push(request);
                }
                Effect::KeyReused(_) => self.differs += 1,
                Effect::Joined(request) => self.note(request, || "joins".to_string()),
                Effect::Uncertain(request) => {
                    self.note(request, || "rejects, uncertain".to_string())
                }
                Effect::Lost(request) => self.note(request, || "lost it".to_string()),
                Effect::Unknown(request) => {
                    self.note(request, || "learns that nobody knows it".to_string())
                }
            }
        }
    }
}

impl Host for Sidecar {
    fn receive_datagram(&mut self, now: Nanos, bytes: &[u8]) {
        self.arrived.update(bytes);
        let (from, to, message): (MemberId, MemberId, Message) =
            postcard::from_bytes(bytes).unwrap();
        if to == self.me {
            self.takeover.receive(now, &from, message);
            self.carry_out(now);
        }
    }
    fn wake(&mut self, now: Nanos) {
        while let Some(entry) = self
            .actions
            .first_entry()
            .filter(|entry| entry.key().0 <= now)
        {
            match entry.remove() {
                Action::IncomingRequest(request, sum) => {
                    let backups = self.backups(request, 3);
                    // Clients retry with these only.
                    let strict = request % 3 == 0;
                    self.note(request, || {
                        let names: Vec<&str> = backups
                            .iter()
                            .map(|member_id| member_id.name.as_str())
                            .collect();
                        format!("takes it, backups {names:?}")
                    });
                    let required = match strict {
                        true => RequiredAcks::All,
                        false => RequiredAcks::Majority,
                    };
                    let incoming = IncomingRequest {
                        request,
                        digest: sum,
                        payload: vec![1],
                        remaining: 6 * S,
                        backups,
                    };
                    self.takeover.claim(now, incoming, required);
                }
                Action::End(request, nth) => {
                    let never = self.random.rand_float() < self.never_ran;
                    self.note(request, || {
                        format!(
                            "attempt {nth} ends, {}",
                            if never { "never ran" } else { "ran" }
                        )
                    });
                    if never {
                        // It never ran after all, so it was no effect; the next one may go.
                        let at = self
                            .written
                            .iter()
                            .position(|known| *known == request)
                            .unwrap();
                        self.written.remove(at);
                        self.takeover
                            .end_attempt(now, request, nth, AttemptState::NeverRan);
                        // Given up: the client is told that a retry does no harm, and may come back.
                        match self.random.rand_float() < self.gives_up {
                            true => self.takeover.finish(now, request, Outcome::Rejected),
                            false => drop(self.takeover.begin_attempt(now, request, "pod")),
                        }
                    } else {
                        self.takeover
                            .finish(now, request, Outcome::Served(vec![request as u8]));
                    }
                }
            }
            self.carry_out(now);
        }
        self.takeover.wake(now);
        self.carry_out(now);
    }
    fn next_wake(&self) -> Option<Nanos> {
        let act = self.actions.keys().next().map(|(time, _)| *time);
        self.takeover.next_wake().into_iter().chain(act).min()
    }
    fn datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.out.pop_front()
    }
}

struct Run {
    seed: u64,
    net: Net<Sidecar>,
    requests: Vec<RequestId>,
    /// Effects by request over all sidecars and incarnations.
    written: BTreeMap<RequestId, usize>,
    /// All that happened, by time: the request, none where it is about all, and what.
    story: Option<Vec<(Nanos, Option<RequestId>, String)>>,
    /// Requests with two acting owners, as far as seen.
    broken: Vec<String>,
}

impl Run {
    fn new(many: usize, seed: u64, weather: NetworkFaults) -> Run {
        let mut net = Net::new(seed, weather);
        for id in 0..many {
            let clock = Clock {
                began: id as Nanos * 991 * S,
                drift_ppm: (id as i64 % 3 - 1) * 10_000,
            };
            net.join(clock, |now, _| {
                Sidecar::new(now, id, many, seed, Rules::default())
            });
        }
        let (requests, written, broken) = (Vec::new(), BTreeMap::new(), Vec::new());
        Run {
            seed,
            net,
            requests,
            written,
            story: None,
            broken,
        }
    }

    fn tell(&mut self) {
        self.story = Some(Vec::new());
        self.net.datagram_log = Some(Vec::new());
        self.net.ids().for_each(|id| {
            self.net
                .host_mut(id)
                .into_iter()
                .for_each(|p| p.story = Some(vec![]))
        });
    }

    fn did(&mut self, what: String) {
        let now = self.net.now();
        self.story
            .iter_mut()
            .for_each(|story| story.push((now, None, what.clone())));
    }

    fn send_request(&mut self, id: Id, request: RequestId, after: Nanos) {
        let at = self.net.own_time(id) + after;
        self.net
            .host_mut(id)
            .unwrap()
            .at(at, Action::IncomingRequest(request, 5));
        if !self.requests.contains(&request) {
            self.requests.push(request);
        }
    }

    /// Plays on; after every step no request has two acting owners.
    fn play(&mut self, until: Nanos) {
        let (requests, story, broken) = (&self.requests, &mut self.story, &mut self.broken);
        self.net.run(until, |net, moved| {
            if let Some(story) = story {
                read(net, moved, story);
            }
            for request in requests {
                let may = |id: &Id| {
                    net.host(*id)
                        .is_some_and(|part| part.takeover.may_send(net.own_time(*id), *request))
                };
                let owners: Vec<Id> = net.ids().filter(may).collect();
                if owners.len() > 1 && broken.is_empty() {
                    broken.push(format!(
                        "{owners:?} may all act on request {request} at {}",
                        net.now()
                    ));
                }
            }
        });
        // Whoever was woken by hand said something, too.
        let ids: Vec<Id> = self.net.ids().collect();
        if let Some(story) = &mut self.story {
            ids.into_iter()
                .for_each(|id| read(&mut self.net, id, story));
        }
    }

    fn kill(&mut self, id: Id) {
        self.note(id);
        self.net.kill(id);
    }

    fn note(&mut self, id: Id) {
        if let Some(part) = self.net.host_mut(id) {
            std::mem::take(&mut part.written)
                .into_iter()
                .for_each(|request| *self.written.entry(request).or_default() += 1);
        }
    }

    /// What was broken, with the seed.
    fn broken(&mut self) -> Vec<String> {
        self.net.ids().for_each(|id| self.note(id));
        let twice = self.written.iter().filter(|(_, times)| **times > 1);
        let twice = twice.map(|(request, times)| format!("request {request} had {times} effects"));
        let all = self.broken.drain(..).chain(twice);
        all.map(|what| format!("seed {}: {what}", self.seed))
            .collect()
    }

    fn effects_once(&mut self) {
        assert_eq!(self.broken(), Vec::<String>::new());
    }
}

/// A record as owner, term, version, whether it is confirmed and what became of its attempts.
fn brief(message: &Message) -> (Option<RequestId>, String) {
    let of = |record: &Record| {
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
        Message::Store { record, .. } => (Some(record.request), format!("keep {}", of(record))),
        Message::RequestVote { request, term, .. } => {
            (Some(*request), format!("vote for term {term}"))
        }
        Message::VoteGranted {
            record,
            term,
            epoch,
            ..
        } => (
            Some(record.request),
            format!("voted for term {term}, epoch {epoch}, knows {}", of(record)),
        ),
        Message::Stored {
            request,
            term,
            version,
            epoch,
            ..
        } => (
            Some(*request),
            format!("kept term {term} version {version}, epoch {epoch}"),
        ),
        Message::RenewLease { .. } => (None, "renew".to_string()),
        Message::LeaseRenewed { epoch, .. } => (None, format!("renewed, epoch {epoch}")),
        Message::Owned { request, .. }
        | Message::Full { request }
        | Message::AwaitOutcome { request, .. } => (Some(*request), format!("{message:?}")),
        Message::Finished { request, .. }
        | Message::Unknown { request }
        | Message::Release { request, .. } => (Some(*request), format!("{message:?}")),
    }
}

/// Takes over what a part and the network wrote down.
fn read(net: &mut Net<Sidecar>, moved: Id, story: &mut Vec<(Nanos, Option<RequestId>, String)>) {
    let now = net.now();
    for passed in net
        .datagram_log
        .iter_mut()
        .flat_map(|written| written.drain(..))
    {
        let (from, to, message): (MemberId, MemberId, Message) =
            postcard::from_bytes(&passed.bytes).unwrap();
        let (request, said) = brief(&message);
        let way = match passed.outcome {
            DatagramOutcome::Received | DatagramOutcome::Buffered | DatagramOutcome::Dropped => {
                "arrives"
            }
            DatagramOutcome::Partitioned | DatagramOutcome::Lost | DatagramOutcome::Sent(_) => {
                "says"
            }
        };
        let what = format!(
            "{} to {} {way} {:?}: {said}",
            from.name, to.name, passed.outcome
        );
        story.push((passed.at, request, what));
    }
    let part = net
        .host_mut(moved)
        .and_then(|part| part.story.as_mut())
        .map(std::mem::take);
    for (request, what) in part.into_iter().flatten() {
        story.push((now, Some(request), format!("s-{moved} {what}")));
    }
}

/// What chance plays with.
#[derive(Clone, Copy, PartialEq)]
enum Kind {
    /// Attempts of 300 ms at most; splits, and sidecars of which nothing leaves.
    Short,
    /// Attempts that outlast leases, and cuts between two at a time, one way.
    Long,
}

/// Chance decides who takes what, who is killed, paused and cut off, and how long; nothing may ever happen twice.
fn chaos(seed: u64, kind: Kind, tell: bool) -> Played {
    let mut random = Rand64::new(seed as u128 + 77);
    let many = 4 + (seed % 4) as usize;
    let loss = [0.0, 0.1, 0.3][seed as usize % 3];
    let mut run = Run::new(
        many,
        seed,
        NetworkFaults {
            loss,
            duplicate: 0.1,
            delay: (100_000, 50 * MS),
        },
    );
    if tell {
        run.tell();
    }
    for id in 0..many {
        let part = run.net.host_mut(id).unwrap();
        (part.never_ran, part.gives_up) = [(0.1, 0.0), (0.5, 0.7)][(seed % 2) as usize];
        if kind == Kind::Long {
            (part.never_ran, part.gives_up, part.takes) = (0.6, 0.1, 1_500);
        }
    }
    for n in 0..20 {
        let id = random.rand_range(0..many as u64) as usize;
        let after = random.rand_range(0..4 * S);
        run.send_request(id, n as RequestId, after);
        if n % 3 == 0 {
            // The client retries elsewhere with the same key.
            let other = random.rand_range(0..many as u64) as usize;
            run.send_request(other, n as RequestId, after + random.rand_range(0..S));
        }
    }
    let (mut now, mut killed) = (0, 0);
    while now < 14 * S {
        now += random.rand_range(10 * MS..700 * MS);
        run.play(now);
        let id = random.rand_range(0..many as u64) as usize;
        match random.rand_range(0..7) {
            0 if killed < 1 => {
                killed += 1;
                run.did(format!("s-{id} is killed"));
                run.kill(id);
            }
            1 => {
                run.did(format!("s-{id} is paused"));
                run.net.pause(id);
            }
            2 | 3 => {
                run.did("all paused go on".to_string());
                (0..many).for_each(|id| run.net.unpause(id));
            }
            4 | 5 if kind == Kind::Long => {
                let other = (id + 1 + random.rand_range(0..many as u64 - 1) as usize) % many;
                run.did(format!("s-{other} does not hear s-{id}"));
                run.net.cut(id, other);
            }
            4 => {
                let (one, two): (Vec<Id>, Vec<Id>) =
                    (0..many).partition(|_| random.rand_float() < 0.5);
                run.did(format!("split into {one:?} and {two:?}"));
                run.net.split(&[&one, &two]);
            }
            5 => {
                run.did(format!("nothing leaves s-{id}"));
                (0..many)
                    .filter(|other| *other != id)
                    .for_each(|other| run.net.cut(id, other));
            }
            _ => {
                run.did("cuts are healed".to_string());
                run.net.heal();
            }
        }
    }
    run.did("all is healed and goes on".to_string());
    run.net.heal();
    (0..many).for_each(|id| run.net.unpause(id));
    // Attempts follow each other here however late it is; the last of them ends some time, and is known for a while.
    run.play(if kind == Kind::Long { 60 * S } else { 30 * S });
    let mut broken = run.broken();
    let parts = || run.net.ids().filter_map(|id| run.net.host(id));
    let left: Vec<TableSizes> = parts()
        .map(|part| part.takeover.table_sizes())
        .filter(|sizes| *sizes != TableSizes::default())
        .collect();
    if !left.is_empty() {
        broken.push(format!(
            "seed {seed}: {left:?} in tables when all times are up"
        ));
    }
    let taken_over = parts().map(|part| part.taken_over.len()).sum();
    Played {
        taken_over,
        effects: run.written.len(),
        broken,
        traffic: traffic(&run.net),
        story: run.story.unwrap_or_default(),
    }
}

/// Datagrams and bytes carried, and a hash of what arrived at those that still run.
fn traffic(net: &Net<Sidecar>) -> String {
    let mut arrived = blake3::Hasher::new();
    for part in net.ids().filter_map(|id| net.host(id)) {
        arrived.update(part.arrived.finalize().as_bytes());
    }
    let digest = &arrived.finalize().to_hex()[..16];
    format!("{} {} {digest}", net.sent, net.sent_bytes)
}

struct Played {
    taken_over: usize,
    effects: usize,
    broken: Vec<String>,
    traffic: String,
    story: Vec<(Nanos, Option<RequestId>, String)>,
}

fn number(name: &str) -> Option<u64> {
    let text = std::env::var(name).ok()?;
    Some(
        text.parse()
            .unwrap_or_else(|_| panic!("{name}: a whole number expected, not {text:?}")),
    )
}

/// By hand: HAVENPLANK_SEEDS=500000 plays more, HAVENPLANK_FROM begins later. HAVENPLANK_SEED=7 plays one and, with
/// `--nocapture`, prints its history; HAVENPLANK_REQUEST=8 keeps to one request.
fn all_seeds(kind: Kind) {
    if let Some(seed) = number("HAVENPLANK_SEED") {
        let (played, wanted) = (chaos(seed, kind, true), number("HAVENPLANK_REQUEST"));
        for (at, request, what) in &played.story {
            if request
                .is_none_or(|request| wanted.is_none_or(|wanted| request == wanted as RequestId))
            {
                println!(
                    "{:>10.3} ms {} {what}",
                    *at as f64 / 1e6,
                    request.map_or("-".into(), |m| m.to_string())
                );
            }
        }
        return assert_eq!(played.broken, Vec::<String>::new());
    }
    let from = number("HAVENPLANK_FROM").unwrap_or(0);
    let seeds = number("HAVENPLANK_SEEDS").unwrap_or(300);
    let sum = |a: (usize, usize, Vec<String>), b: (usize, usize, Vec<String>)| {
        (a.0 + b.0, a.1 + b.1, [a.2, b.2].concat())
    };
    let played = (from..from + seeds)
        .into_par_iter()
        .map(|seed| chaos(seed, kind, false));
    let all = played.map(|played| (played.taken_over, played.effects, played.broken));
    let (taken_over, effects, broken) = all.reduce(|| (0, 0, Vec::new()), sum);
    let bad: BTreeSet<&str> = broken
        .iter()
        .filter_map(|what| what.split(':').next())
        .collect();
    println!(
        "{taken_over} takeovers, {effects} effects, {} seeds broken",
        bad.len()
    );
    assert!(
        broken.is_empty(),
        "{} of {seeds} seeds; the first: {:#?}\none by itself: HAVENPLANK_SEED=N, with -- --nocapture",
        bad.len(),
        &broken[..broken.len().min(10)]
    );
    assert!(
        taken_over as u64 > seeds / 3 && effects as u64 > 5 * seeds,
        "{taken_over} takeovers, {effects} effects: too quiet to show anything"
    );
}

#[test]
fn chaos_with_short_attempts_has_one_acting_owner_and_no_effect_twice() {
    all_seeds(Kind::Short);
}

#[test]
fn chaos_with_attempts_that_outlast_leases_has_one_acting_owner_and_no_effect_twice() {
    all_seeds(Kind::Long);
}

/// 42080: two of three backups forgot what was finished, by clocks that run fast, and voted for what the third, who had
/// missed the last messages, still believed. 4583 and 4695: a dropped record that left the epoch as it was, and an owner
/// that had forgotten what it finished.
#[test]
fn seeds_that_once_broke_a_promise_break_none() {
    for seed in [4_583, 4_695, 42_080] {
        assert_eq!(chaos(seed, Kind::Short, false).broken, Vec::<String>::new());
    }
}

/// A backup is paused with the first messages of a request in its socket, and wakes when the others are about to forget,
/// or have forgotten, how it ended. What it reads there looks new to it.
#[test]
fn a_backup_that_slept_past_the_others_retention_takes_nothing_over() {
    let (mut knew, mut broken) = (0, Vec::new());
    for seed in 0..number("HAVENPLANK_SEEDS").unwrap_or(400) {
        let mut run = Run::new(
            4,
            seed,
            NetworkFaults {
                loss: 0.3,
                ..NetworkFaults::default()
            },
        );
        if number("HAVENPLANK_SEED") == Some(seed) {
            run.tell();
        }
        (0..4).for_each(|id| run.net.host_mut(id).unwrap().never_ran = 0.5);
        run.net.pause(3);
        run.send_request(0, 1, 0);
        // What it would be told of the end does not come.
        run.play(400 * MS);
        (0..3).for_each(|id| run.net.cut(id, 3));
        run.play(10_800 * MS + seed % 20 * 50 * MS);
        run.net.heal();
        run.net.unpause(3);
        let open = |record: &Record| record.confirmed && record.outcome.is_none();
        knew += run
            .net
            .host(3)
            .unwrap()
            .takeover
            .replica(1)
            .is_some_and(open) as usize;
        run.play(20 * S);
        broken.extend(run.broken());
        for (at, _, what) in run.story.iter().flatten() {
            println!("{:>10.3} ms {what}", *at as f64 / 1e6);
        }
    }
    assert!(
        broken.is_empty(),
        "{} seeds: {:#?}",
        broken.len(),
        &broken[..broken.len().min(10)]
    );
    assert!(
        knew > 20,
        "{knew}: too few woke with an open request to show anything"
    );
}

/// The shortening of a lease is hidden from chance by the jitter of candidacies: so its edge is tested by itself, with the
/// slowest owner, the fastest backups and messages that take no time.
#[test]
fn no_lease_outlasts_a_grant_while_clocks_drift_less_than_stated() {
    let lives: Vec<MemberId> = (0..4).map(member_id).collect();
    let rules = Rules::default();
    let (slow, fast) = (1_000_000 - rules.drift_ppm, 1_000_000 + rules.drift_ppm);
    let own = |time: Nanos, rate: u64| time / 1_000 * rate / 1_000;
    let mut all: Vec<Takeover> = lives
        .iter()
        .map(|me| Takeover::new(0, 1, me.clone(), rules.clone()))
        .collect();
    let incoming = IncomingRequest {
        request: 1,
        digest: 5,
        payload: vec![1],
        remaining: 6 * S,
        backups: lives[1..].to_vec(),
    };
    all[0].claim(0, incoming, RequiredAcks::Majority);
    // The first attempt is known to all at time 0, and nothing is received after.
    let mut turns = VecDeque::from([0]);
    while let Some(id) = turns.pop_front() {
        while let Some(effect) = all[id].next_effect() {
            match effect {
                Effect::Send { to, message } => {
                    let to = lives.iter().position(|member_id| *member_id == to).unwrap();
                    let from = lives[id].clone();
                    all[to].receive(0, &from, message);
                    turns.push_back(to);
                }
                Effect::Claimed(request) => drop(all[id].begin_attempt(0, request, "pod")),
                _ => {}
            }
        }
    }
    let first = (1..4)
        .filter_map(|id| all[id].next_wake())
        .min()
        .expect("backups wait for their promise to lapse");
    let lapses = first / fast * 1_000_000 + first % fast * 1_000_000 / fast;
    assert!(
        all[0].may_send(own(lapses * 9 / 10, slow), 1),
        "the owner may act for nine tenths of it"
    );
    assert!(
        !all[0].may_send(own(lapses, slow), 1),
        "the owner may act as a promise lapses, at {lapses}"
    );
}

/// All backups of a request are dead, and its client retries elsewhere: of the new claim's backups the
/// first owner is the only one to know.
#[test]
fn the_first_owner_remembers_when_all_its_backups_are_dead() {
    let mut knew = 0;
    for request in 0..60 {
        let mut run = Run::new(8, request as u64, NetworkFaults::default());
        let told = run.net.host(0).unwrap().backups(request, 3);
        run.net.host_mut(0).unwrap().never_ran = 0.0;
        run.send_request(0, request, 0);
        run.play(S);
        let dead: Vec<Id> = told
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
        // Where it is not among those asked, nobody asked knows: what docs/takeover-design.md says is left.
        if !run
            .net
            .host(other)
            .unwrap()
            .backups(request, 3)
            .contains(&member_id(0))
        {
            continue;
        }
        knew += 1;
        run.send_request(other, request, 0);
        run.play(3 * S);
        run.effects_once();
        assert_eq!(run.written.get(&request), Some(&1), "request {request}");
    }
    assert!(knew > 30, "{knew} of 60 requests asked the one that knew");
}

#[test]
fn requests_of_a_dead_sidecar_are_finished_while_a_majority_of_backups_lives() {
    let (mut in_time, mut taken) = (0, 0);
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
        run.play(150 * MS + seed * 5 * MS);
        run.kill(0);
        let killed = run.net.now();
        let known: Vec<RequestId> = (0..20)
            .filter(|request| {
                let kept = |id: Id| run.net.host(id)?.takeover.replica(*request);
                let kept: Vec<&Record> = (1..7).filter_map(kept).collect();
                kept.len() >= 2
                    && kept
                        .iter()
                        .all(|record| record.confirmed && record.outcome.is_none())
            })
            .collect();
        run.play(killed + 5 * S);
        for request in &known {
            taken += 1;
            let taken_over = (1..7).find_map(|id| {
                let part = run.net.host(id).unwrap();
                part.taken_over
                    .iter()
                    .find(|(_, known)| known == request)
                    .copied()
            });
            assert!(
                taken_over.is_some(),
                "seed {seed}: nobody finished {request}"
            );
            in_time += 1;
        }
        run.effects_once();
    }
    assert!(taken > 300 && in_time == taken, "{in_time} of {taken}");
}

#[test]
fn a_client_that_retries_elsewhere_joins_and_a_different_request_is_told_apart() {
    for seed in 0..40 {
        let mut run = Run::new(6, seed, NetworkFaults::default());
        run.send_request(0, 1, 0);
        run.send_request(1, 1, 20 * MS);
        run.send_request(2, 1, 400 * MS);
        let at = run.net.own_time(3) + 30 * MS;
        run.net
            .host_mut(3)
            .unwrap()
            .at(at, Action::IncomingRequest(1, 6));
        run.play(4 * S);
        run.effects_once();
        assert_eq!(run.written.get(&1), Some(&1));
        for id in [1, 2] {
            let part = run.net.host(id).unwrap();
            assert_eq!(
                part.answers,
                [(1, Outcome::Served(vec![1]))],
                "seed {seed}, sidecar {id}"
            );
        }
        assert_eq!(run.net.host(3).unwrap().differs, 1);
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
        let first = run.net.host_mut(0).unwrap();
        (first.never_ran, first.gives_up) = (1.0, 1.0);
        run.send_request(0, 1, 0);
        // Known nowhere but where it was rejected, where it rejected itself, and at a stranger.
        run.send_request((seed % 6) as Id, 1, 1_200 * MS);
        run.play(1_100 * MS);
        (0..6).for_each(|id| run.net.host_mut(id).unwrap().never_ran = 0.0);
        run.send_request(((seed + 1) % 6) as Id, 1, 2_500 * MS);
        run.play(6 * S);
        run.effects_once();
        assert_eq!(run.written.get(&1), Some(&1), "seed {seed}");
        let last = run.net.host(((seed + 1) % 6) as Id).unwrap();
        assert_eq!(
            last.answers.last(),
            Some(&(1, Outcome::Served(vec![1]))),
            "seed {seed}"
        );
    }
}

#[test]
fn a_claim_in_the_background_costs_nothing_when_finished_soon_and_is_known_when_not() {
    let mut run = Run::new(4, 1, NetworkFaults::default());
    let at = run.net.own_time(0);
    let first = run.net.host_mut(0).unwrap();
    for request in [1, 2] {
        let incoming = IncomingRequest {
            request,
            digest: 5,
            payload: vec![1],
            remaining: 6 * S,
            backups: first.backups(request, 3),
        };
        first.takeover.claim_in_background(at, incoming);
        assert_eq!(first.takeover.begin_attempt(at, request, "pod"), Some(0));
    }
    first
        .takeover
        .finish(at + 50 * MS, 1, Outcome::Served(vec![1]));
    assert!(first.takeover.next_effect().is_none());
    let only_the_second = TableSizes {
        owned: 1,
        ..TableSizes::default()
    };
    assert_eq!(first.takeover.table_sizes(), only_the_second);
    run.play(400 * MS);
    let keeps = |run: &Run, request| {
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
    assert_eq!((keeps(&run, 1), keeps(&run, 2)), (0, 3));
}

#[test]
fn records_stop_at_their_byte_limit_and_answers_beyond_it_are_not_kept() {
    let lives: Vec<MemberId> = (0..2).map(member_id).collect();
    let rules = Rules {
        max_replica_bytes: 1_000,
        ..Rules::default()
    };
    let mut backup = Takeover::new(0, 1, lives[1].clone(), rules);
    let record = |request: RequestId, version: u32, outcome: Option<Outcome>| Record {
        request,
        owner: lives[0].clone(),
        term: 0,
        version,
        confirmed: true,
        backups: vec![lives[1].clone()],
        digest: 5,
        payload: vec![0; 400],
        remaining: S,
        attempts: Vec::new(),
        outcome,
    };
    let mut reply_to = |record: Record| {
        backup.receive(0, &lives[0], Message::Store { record, stamp: 0 });
        match backup.next_effect() {
            Some(Effect::Send { message, .. }) => message,
            other => panic!("{other:?}"),
        }
    };
    for request in 1..=3 {
        assert!(
            matches!(reply_to(record(request, 1, None)), Message::Stored { .. }),
            "{request}: up to the bound and one over it"
        );
    }
    assert!(matches!(
        reply_to(record(4, 1, None)),
        Message::Full { request: 4 }
    ));
    // Requests that it keeps already go on: the end is known, the answer is not.
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
        &lives[0],
        Message::Store {
            record: record(4, 1, None),
            stamp: 0,
        },
    );
    assert!(backup.replica(4).is_some(), "room again once they are gone");
}

#[test]
fn without_backups_in_reach_a_request_is_served_unprotected_not_held_up() {
    let mut run = Run::new(4, 1, NetworkFaults::default());
    (1..4).for_each(|id| run.net.cut(id, 0));
    run.send_request(0, 1, 0);
    run.play(S);
    assert_eq!(run.net.host(0).unwrap().unprotected, 1);
}

#[test]
fn runs_by_seed_carry_the_recorded_messages_and_bytes() {
    let kinds = [Kind::Short, Kind::Long];
    let played = kinds.map(|kind| [0, 1, 2, 3].map(|seed| chaos(seed, kind, false).traffic));
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
    assert_eq!(played, recorded);
}
