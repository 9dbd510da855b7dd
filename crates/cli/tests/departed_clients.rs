//! Clients that leave processes of `havenplank platform` and `havenplank serve`, and the attempts that begin after that.

mod departures;

use departures::clients::{get, post, send_and_leave, Departure, Form, FORMS};
use departures::pods::{Attempt, Pods, Reaction, Treatment, UnreachablePods};
use departures::sidecars::{Program, Sidecar};
use departures::staying::{send_at_once, Connection, Outcome};
use departures::{late_attempts, MS};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: usize = 16;
const SIDE_BY_SIDE: usize = 3;
const MEMORY_MB: usize = 64;
const PROGRAMS: [Program; 3] = [
    Program::Platform,
    Program::Serve,
    Program::ServeWithTakeover,
];
/// A client that sends what it should not is owed an error or a close within this time.
const MAX_ERROR_TIME: Duration = Duration::from_secs(3);
const LEAVE_AFTER: Duration = Duration::from_millis(90);
/// After this no attempt of a client that left begins any more, also where its sidecar does not notice.
const WATCH_TIME: Duration = Duration::from_millis(2200);

/// Pods hold each attempt for 0.5 s, then turn it away.
fn hold_then_turn_away(_: &str, _: usize) -> Treatment {
    Treatment {
        hold: 500 * MS,
        reaction: Reaction::TurnAway,
    }
}

fn leave_all(sidecar: SocketAddr, form: Form) -> Vec<Departure> {
    let leave = |client| thread::spawn(move || send_and_leave(sidecar, form, client, LEAVE_AFTER));
    let clients: Vec<_> = (0..CLIENTS).map(leave).collect();
    let join = |client: thread::JoinHandle<Departure>| client.join().expect("no panic");
    clients.into_iter().map(join).collect()
}

/// Plays each form on a sidecar of its own, some side by side, and returns what `play` returns for those that fail.
fn play_forms(play: impl Fn(Form) -> Option<String> + Sync) -> Vec<String> {
    let mut failures = Vec::new();
    for forms in FORMS.chunks(SIDE_BY_SIDE) {
        thread::scope(|scope| {
            let playing = forms.iter().map(|form| scope.spawn(|| play(*form)));
            let playing: Vec<_> = playing.collect();
            for form in playing {
                failures.extend(form.join().expect("no panic"));
            }
        });
    }
    failures
}

/// Returns a line for the log if attempts began too late, and prints it in any case.
fn describe(what: String, attempts: &[Attempt], departures: &[Departure]) -> Option<String> {
    let late = late_attempts(attempts, departures);
    let latest = late.iter().map(|(_, after)| *after).max();
    let line = format!(
        "{what}: {} begun, {} late, {latest:?}",
        attempts.len(),
        late.len()
    );
    println!("{line}");
    (!late.is_empty()).then_some(line)
}

/// Clients leave while pods hold their requests, or while these wait behind others.
fn leave_held_requests(program: Program) -> Vec<String> {
    play_forms(|form| {
        let pods = Pods::start(hold_then_turn_away);
        let sidecar = Sidecar::start(program, &pods.addresses, MEMORY_MB);
        let departures = leave_all(sidecar.address, form);
        thread::sleep(WATCH_TIME);
        let attempts = pods.attempts();
        let is_sent = form.fits_read_ahead();
        assert!(!is_sent || !attempts.is_empty(), "{program:?} {form:?}");
        describe(format!("{program:?} {form:?}"), &attempts, &departures)
    })
}

/// Clients leave while their requests wait for connections to pods that come up late.
fn leave_waiting_requests(program: Program) -> Vec<String> {
    play_forms(|form| {
        let pods = UnreachablePods::new();
        let sidecar = Sidecar::start(program, &pods.addresses(), MEMORY_MB);
        let departures = leave_all(sidecar.address, form);
        let pods = pods.come_up(hold_then_turn_away);
        thread::sleep(WATCH_TIME);
        let what = format!("{program:?} {form:?}, late connections");
        describe(what, &pods.attempts(), &departures)
    })
}

const NONE: Vec<String> = Vec::new();

/// A client sent a request and much behind it, and closed its connection: requests of it were sent to pods up to seconds
/// after that.
#[test]
fn the_platform_begins_no_attempt_after_its_client_has_left() {
    assert_eq!(leave_held_requests(Program::Platform), NONE);
}

/// Requests waited for a connection that came up late, and were sent then although their clients had left meanwhile.
#[test]
fn the_platform_sends_no_request_on_a_late_connection_after_its_client_has_left() {
    assert_eq!(leave_waiting_requests(Program::Platform), NONE);
}

/// `serve` took each close for a half-close and sent the client's requests on.
#[test]
fn serve_begins_no_attempt_after_its_client_has_left() {
    assert_eq!(leave_held_requests(Program::Serve), NONE);
}

/// The same where requests wait for a connection.
#[test]
fn serve_sends_no_request_on_a_late_connection_after_its_client_has_left() {
    assert_eq!(leave_waiting_requests(Program::Serve), NONE);
}

/// The same where other sidecars back the requests up: these go on in a task of their own.
#[test]
fn serve_with_takeover_begins_no_attempt_after_its_client_has_left() {
    assert_eq!(leave_held_requests(Program::ServeWithTakeover), NONE);
    assert_eq!(leave_waiting_requests(Program::ServeWithTakeover), NONE);
}

/// Requests that are sent at once, without waiting, and that are read ahead while the first is in flight, are all served
/// in order if their client stays.
#[test]
fn a_client_that_sends_its_requests_at_once_and_stays_gets_all_responses() {
    let pods = Pods::start(|_, _| Treatment {
        hold: 50 * MS,
        reaction: Reaction::Serve,
    });
    for program in PROGRAMS {
        let sidecar = Sidecar::start(program, &pods.addresses, MEMORY_MB);
        for (client, body_bytes) in [(0, 10), (1, 40_000)] {
            let report = send_at_once(sidecar.address, client, 12, body_bytes);
            assert_eq!(report.failures, NONE, "{program:?}");
            assert_eq!(report.served(), 12, "{program:?} {report:?}");
        }
    }
}

/// A client that sends more behind its request than is read ahead cannot be told from one that has left: it is owed an
/// error or a close, and each of its requests that was read gets an answer.
#[test]
fn a_client_that_sends_too_much_and_stays_gets_errors_and_a_close_in_time() {
    let pods = Pods::start(hold_then_turn_away);
    for program in PROGRAMS {
        let sidecar = Sidecar::start(program, &pods.addresses, MEMORY_MB);
        let bodies: String = (1..100).map(|n| post(&format!("c1-{n}"), 40_000)).collect();
        for (client, behind) in [(0, vec![0; 8_000_000]), (1, bodies.into_bytes())] {
            let began = Instant::now();
            let mut connection = Connection::open(sidecar.address).expect("a listener");
            let request = get(&format!("c{client}-0"));
            connection.send_beside([request.into_bytes(), behind].concat());
            let mut statuses = Vec::new();
            while let Outcome::Answered(response) = connection.read_response(MAX_ERROR_TIME) {
                statuses.push(response.status);
            }
            println!(
                "{program:?} {client}: {statuses:?} in {:?}",
                began.elapsed()
            );
            assert!(!statuses.is_empty(), "{program:?} {client}: no answer");
            assert!(statuses.iter().all(|status| *status >= 400), "{statuses:?}");
            assert!(began.elapsed() < MAX_ERROR_TIME, "{:?}", began.elapsed());
        }
    }
}
