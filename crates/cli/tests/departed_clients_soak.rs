//! A seeded mix of clients that leave and clients that stay, of pods in trouble and of signals, on processes of both
//! programs. `DEPARTED_CLIENTS_SEEDS=1..61` plays other seeds than the few of the default run.

mod departures;

use departures::clients::{send_and_leave, Departure, Form, FORMS};
use departures::pods::{Attempt, Pods, Reaction, Treatment, UnreachablePods};
use departures::sidecars::{Program, Sidecar};
use departures::staying::{send_at_once, send_in_series, Report};
use departures::{late_attempts, CLIENT_TIME_MS, MS};
use oorandom::Rand32;
use rustix::process::Signal;
use std::collections::hash_map::DefaultHasher;
use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::ops::Range;
use std::thread::{self, sleep, JoinHandle};
use std::time::{Duration, Instant};

const DEFAULT_SEEDS: Range<u64> = 1..13;
const SIDE_BY_SIDE: usize = 3;
const MEMORY_MB: usize = 64;
const PLAY_TIME: Duration = Duration::from_millis(3000);
/// After this nothing of a client that left begins any more.
const WATCH_TIME: Duration = Duration::from_millis(2000);
const LEAVING_CLIENTS: u32 = 24;
const CROWD: u32 = 60;
const CLIENTS_PER_SEED: u32 = 1000;
const STAYING_CLIENTS: u32 = 8;
const PIPELINING_CLIENTS: u32 = 2;
const PIPELINED_REQUESTS: usize = 4;
/// Clients that pipeline get their last response before the play ends.
const LONGEST_HOLD_MS: u64 = 600;
/// A sidecar is held up for up to 0.15 s.
const LONGEST_STOP_MS: u32 = 150;
/// SIGKILL comes no sooner than the longest deadline, counted as 3 s, and 0.7 s more after SIGTERM.
const KILL_AFTER_TERM: Duration = Duration::from_millis(CLIENT_TIME_MS + 700);
/// What arrives on a kept connection later than this after SIGTERM may be cut off by SIGKILL.
const ANSWERED_AFTER_TERM: Duration = Duration::from_millis(700);

/// Pods treat attempts by a hash, each retry anew.
fn in_trouble(id: &str, earlier: usize) -> Treatment {
    let mut hasher = DefaultHasher::new();
    (id, earlier).hash(&mut hasher);
    let hash = hasher.finish();
    let reaction = match hash % 8 {
        0 | 1 => Reaction::TurnAway,
        2 => Reaction::Fail,
        3 => Reaction::Close,
        _ => Reaction::Serve,
    };
    let hold = match (hash / 8) % 4 {
        0 => (hash / 32) % LONGEST_HOLD_MS,
        _ => (hash / 32) % 40,
    };
    Treatment {
        hold: Duration::from_millis(hold),
        reaction,
    }
}

/// What a seed plays.
#[derive(Debug)]
struct Plan {
    /// The number of the first client: pods treat the requests of each seed otherwise.
    first_client: u32,
    program: Program,
    /// Connections to pods come up late.
    late_connections: bool,
    leaving: u32,
    /// Lengths of the spans for which the process is stopped.
    stops: Vec<Duration>,
    is_terminated: bool,
}

impl Plan {
    fn new(seed: u64, random: &mut Rand32) -> Plan {
        let programs = [
            Program::Platform,
            Program::Serve,
            Program::ServeWithTakeover,
        ];
        let stops = random.rand_range(0..4);
        Plan {
            first_client: seed as u32 * CLIENTS_PER_SEED,
            program: programs[random.rand_range(0..3) as usize],
            late_connections: random.rand_range(0..4) == 0,
            leaving: if random.rand_range(0..3) == 0 {
                CROWD
            } else {
                LEAVING_CLIENTS
            },
            stops: (0..stops)
                .map(|_| MS * random.rand_range(20..LONGEST_STOP_MS + 1))
                .collect(),
            is_terminated: random.rand_range(0..3) == 0,
        }
    }
}

/// What the clients of a play did and saw.
struct Clients {
    leaving: Vec<JoinHandle<Departure>>,
    staying: Vec<JoinHandle<Report>>,
}

impl Clients {
    fn start(plan: &Plan, random: &mut Rand32, sidecar: SocketAddr, until: Instant) -> Clients {
        let leaving = (0..plan.leaving).map(|n| {
            let client = plan.first_client + n;
            let form = FORMS[random.rand_range(0..FORMS.len() as u32) as usize];
            let begin_after = MS * random.rand_range(0..2000);
            let leave_after = MS * random.rand_range(1..400);
            thread::spawn(move || leave(sidecar, form, client, begin_after, leave_after))
        });
        let leaving = leaving.collect();
        let staying = (0..STAYING_CLIENTS + PIPELINING_CLIENTS).map(|n| {
            let client = (plan.first_client + CROWD + n) as usize;
            let body_bytes = if n.is_multiple_of(2) { 10 } else { 40_000 };
            thread::spawn(move || match n {
                ..STAYING_CLIENTS => send_in_series(sidecar, client, until),
                _ => send_at_once(sidecar, client, PIPELINED_REQUESTS, body_bytes),
            })
        });
        Clients {
            leaving,
            staying: staying.collect(),
        }
    }
}

fn leave(
    sidecar: SocketAddr,
    form: Form,
    client: u32,
    begin_after: Duration,
    leave_after: Duration,
) -> Departure {
    sleep(begin_after);
    send_and_leave(sidecar, form, client as usize, leave_after)
}

/// Stops the process for each span in turn, and has it read its configuration again after each where it does that.
fn signal_in_series(sidecar: &Sidecar, plan: &Plan, random: &mut Rand32) {
    for span in &plan.stops {
        sleep(MS * random.rand_range(100..600));
        sidecar.signal(Signal::STOP);
        sleep(*span);
        sidecar.signal(Signal::CONT);
        if plan.program == Program::Platform {
            sidecar.signal(Signal::HUP);
        }
    }
}

/// Plays a seed and returns what broke.
fn play(seed: u64) -> Vec<String> {
    let random = &mut Rand32::new(seed);
    let plan = Plan::new(seed, random);
    let unreachable = plan.late_connections.then(UnreachablePods::new);
    let (pods, addresses) = match &unreachable {
        Some(pods) => (None, pods.addresses()),
        None => {
            let pods = Pods::start(in_trouble);
            let addresses = pods.addresses.clone();
            (Some(pods), addresses)
        }
    };
    let mut sidecar = Sidecar::start(plan.program, &addresses, MEMORY_MB);
    let until = Instant::now() + PLAY_TIME;
    // After SIGTERM clients go on until SIGKILL.
    let clients_until = if plan.is_terminated {
        until + KILL_AFTER_TERM
    } else {
        until
    };
    let clients = Clients::start(&plan, random, sidecar.address, clients_until);
    let coming_up = unreachable.map(|pods| {
        sleep(MS * 300);
        pods.come_up(in_trouble)
    });
    signal_in_series(&sidecar, &plan, random);
    sleep(until.saturating_duration_since(Instant::now()));
    if plan.is_terminated {
        sidecar.signal(Signal::TERM);
        sidecar.ends_within(KILL_AFTER_TERM);
        sidecar.kill();
    }
    let joined = |client: JoinHandle<Departure>| client.join().expect("no panic");
    let departures: Vec<Departure> = clients.leaving.into_iter().map(joined).collect();
    let joined = |client: JoinHandle<Report>| client.join().expect("no panic");
    let reports: Vec<Report> = clients.staying.into_iter().map(joined).collect();
    sleep(WATCH_TIME);
    let attempts = pods.or(coming_up).expect("pods").attempts();
    let terminated_at = plan.is_terminated.then_some(until);
    let failures = check(&attempts, &departures, &reports, terminated_at);
    let answered: usize = reports.iter().map(|report| report.answered.len()).sum();
    let served: usize = reports.iter().map(|report| report.served()).sum();
    println!(
        "seed {seed}: {} attempts, {answered} answered, {served} served, {} broken, {plan:?}",
        attempts.len(),
        failures.len()
    );
    if !failures.is_empty() {
        println!(
            "seed {seed}: {reports:?}\n{}",
            sidecar.log_lines("").join("\n")
        );
    }
    let named = failures.into_iter().take(5);
    named.map(|what| format!("seed {seed}: {what}")).collect()
}

fn check(
    attempts: &[Attempt],
    departures: &[Departure],
    reports: &[Report],
    terminated_at: Option<Instant>,
) -> Vec<String> {
    let mut failures = Vec::new();
    for (id, after) in late_attempts(attempts, departures) {
        failures.push(format!("{id} begun {after:?} after its client left"));
    }
    let mut by_id: HashMap<&str, Vec<&Attempt>> = HashMap::new();
    for attempt in attempts {
        by_id.entry(&attempt.id).or_default().push(attempt);
    }
    for (id, attempts) in &by_id {
        let runs = attempts.iter().filter(|attempt| attempt.may_have_run());
        let must_run_once = id.ends_with("-w");
        if must_run_once && runs.count() > 1 {
            failures.push(format!("{id} may have run more than once"));
        }
    }
    for report in reports {
        failures.extend(report.failures.iter().cloned());
        for id in &report.unanswered {
            let first = by_id.get(id.as_str()).and_then(|attempts| attempts.first());
            let may_be_cut = |attempt: &Attempt| {
                terminated_at.is_some_and(|at| attempt.began > at + ANSWERED_AFTER_TERM)
            };
            if first.is_some_and(|attempt| !may_be_cut(attempt)) {
                failures.push(format!("{id} was sent to a pod and got no answer"));
            }
        }
        for (id, status) in report.answered.iter().filter(|(_, status)| *status != 200) {
            let attempts = by_id.get(id.as_str()).into_iter().flatten();
            let reactions: Vec<Reaction> = attempts.map(|attempt| attempt.reaction).collect();
            if reactions.contains(&Reaction::Serve) {
                failures.push(format!("{id} got {status}, of {reactions:?}"));
            }
        }
    }
    failures
}

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("DEPARTED_CLIENTS_SEEDS") else {
        return DEFAULT_SEEDS;
    };
    let (first, end) = text.split_once("..").expect("two numbers and .. between");
    first.parse().expect("a number")..end.parse().expect("a number")
}

/// Whatever clients send before they leave, and whatever befalls pods and the process meanwhile, no attempt begins for a
/// client that has left, and each client that stays gets one final answer to each request.
#[test]
fn no_attempt_begins_for_a_client_that_left_and_each_that_stays_is_answered() {
    let seeds: Vec<u64> = seeds().collect();
    let mut failures = Vec::new();
    for group in seeds.chunks(SIDE_BY_SIDE) {
        let playing = group.iter().map(|seed| {
            let seed = *seed;
            thread::spawn(move || play(seed))
        });
        let playing: Vec<_> = playing.collect();
        for seed in playing {
            failures.extend(seed.join().expect("no panic"));
        }
    }
    assert_eq!(failures, Vec::<String>::new());
}
