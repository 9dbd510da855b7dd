//! `havenplank serve` before pods whose good answers now and then come twice, the second some milliseconds late.

use crate::world::*;
use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The least of the 14 to 17 of `gdansk-code`; half of them in the sidecar's room.
const PODS: usize = 14;
const ROOMS: [&str; 2] = ["oliwa", "przymorze"];
const CLIENTS: u64 = 30;
const PERIOD_MS: u64 = 250;
const WORK_MS: u64 = 75;
/// One way between sidecar and pod in its room and in the other: 0.097 to 0.34 ms and 0.7 to 1.3 ms on `gdansk-code`.
const ONE_WAY: [Duration; 2] = [Duration::from_micros(200), Duration::from_micros(1000)];
/// One answer in so many comes twice.
const ONE_IN: u64 = 10;
/// How much later the second answer leaves the pod: some milliseconds.
const SECOND_AFTER_US: [u64; 5] = [1000, 2000, 3000, 4000, 5000];
const RUN_S: u64 = 40;

/// What the pods did.
#[derive(Default)]
struct Counts {
    answers: AtomicU64,
    seconds: AtomicUsize,
    withheld: AtomicUsize,
}

/// The requests of one connection with the times at which they reach the pod.
type Queue = Arc<Mutex<VecDeque<(Instant, Option<Message>)>>>;

fn start_pod(
    world: &Arc<World>,
    counts: &Arc<Counts>,
    one_way: Duration,
    trouble: bool,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (world, counts) = (world.clone(), counts.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (world, counts) = (world.clone(), counts.clone());
            thread::spawn(move || serve(&world, &counts, stream, one_way, trouble));
        }
    });
    address
}

/// Serves one connection. Bytes of either direction are under way for `one_way`.
fn serve(world: &World, counts: &Counts, stream: TcpStream, one_way: Duration, trouble: bool) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let queue: Queue = Arc::default();
    let arriving = queue.clone();
    thread::spawn(move || {
        let mut reader = BufReader::new(stream);
        loop {
            let message = read_message(&mut reader).ok().flatten();
            let is_end = message.is_none();
            let reaches_at = Instant::now() + one_way;
            arriving.lock().unwrap().push_back((reaches_at, message));
            if is_end {
                return;
            }
        }
    });
    let something_waits = || {
        let queue = queue.lock().unwrap();
        queue.front().is_some_and(|(at, _)| *at <= Instant::now())
    };
    loop {
        if !something_waits() {
            thread::sleep(Duration::from_micros(100));
            continue;
        }
        let Some((_, Some(request))) = queue.lock().unwrap().pop_front() else {
            return;
        };
        let id = request.header("x-correlation-id").to_string();
        world.note(format!("pod runs {id}"));
        thread::sleep(ms(WORK_MS));
        let number = counts.answers.fetch_add(1, SeqCst);
        let body = format!("done {id} ");
        let length = body.len();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
        let mut send = || {
            thread::sleep(one_way);
            writer.write_all(answer.as_bytes()).is_ok()
        };
        let answered_at = Instant::now();
        if !send() {
            return;
        }
        if !trouble || number % ONE_IN != 0 {
            continue;
        }
        let after = SECOND_AFTER_US[(number / ONE_IN) as usize % SECOND_AFTER_US.len()];
        let due = answered_at + Duration::from_micros(after);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        // Only when nothing else is waiting on the connection.
        if something_waits() {
            counts.withheld.fetch_add(1, SeqCst);
            continue;
        }
        counts.seconds.fetch_add(1, SeqCst);
        world.note(format!("pod answers {id} a second time"));
        if !send() {
            return;
        }
    }
}

/// A service of `serve`'s line protocols that greets, says what it has, and holds the connection.
fn start_line_service(text: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let mut open = Vec::new();
        for mut stream in listener.incoming().flatten() {
            let _ = stream.write_all(text.as_bytes());
            open.push(stream);
        }
    });
    address
}

fn settings(listen: SocketAddr, admin: SocketAddr, nodes: SocketAddr, desk: SocketAddr) -> String {
    format!(
        r#"sidecar(name = "sidecar-0", instances = 1, rank = 0, zones = ["oliwa", "przymorze"], zone = "oliwa",
    machines = ["duzy-4c"], listen = "{listen}", admin = "{admin}")
path_group(name = "query", methods = ["GET"], paths = ["/query", "/query/*"], kind = "repeatable",
    target_latency = "750ms", client_timeout = "2500ms")
limits(forwards = 4)
pods(drain_grace = "1s", cold_share = 0.33, warm_up = "4900ms", fall_multiple = 2.0, fall_window = "1s")
exposure(window = "2s", free = 2.0, caps = [0.056, 0.14, 0.35, 0.77, 1.0])
votes(control = "count", on_needs = 1, back_needs = 1, life = "10s", call_time_out = "2s", calls_per_s = 10.0)
nodes(address = "{nodes}")
desk(address = "{desk}")
"#
    )
}

pub fn run(root: &Path, folder: &Path, trouble: bool) -> Result<bool, String> {
    let world = World::new();
    let counts: Arc<Counts> = Arc::default();
    let taken: Arc<Mutex<Vec<Taken>>> = Arc::default();
    let mut list = format!("hello nodes 1\nwhole 1 {PODS}\n");
    for n in 0..PODS {
        let room = n % 2;
        let address = start_pod(&world, &counts, ONE_WAY[room], trouble);
        list += &format!(
            "pod pod-{n} {address} running 41 1 0 {} duzy-4c 0 1.0\n",
            ROOMS[room]
        );
    }
    let nodes = start_line_service(list);
    let desk = start_line_service("hello desk 1\nstage 1 41 3 released 1.0 60000000000\n".into());
    let (listen, admin) = (free_address(), free_address());
    let temp = Folder::new();
    let script = temp.0.join("site.star");
    let text = settings(listen, admin, nodes, desk);
    std::fs::write(&script, text).map_err(|error| error.to_string())?;
    let line = format!("exec target/release/havenplank serve {}", script.display());
    let sidecar = Sidecar::start_by(root, &temp.0, &line, 1, &[]);
    let mut sidecar = sidecar.map_err(|error| error.to_string())?;
    if !sidecar.wait_log("listening") {
        return Err(format!("the sidecar is not ready: {}", sidecar.log()));
    }
    thread::sleep(ms(500));
    world.say("the sidecar is ready");
    for n in 0..CLIENTS {
        let settings = ClientSettings {
            sidecar: listen,
            period: ms(PERIOD_MS),
            first: ms(n * 8),
            class: "query",
            body_bytes: 0,
            time: ms(2500),
        };
        start_client(&world, &taken, settings);
    }
    thread::sleep(Duration::from_secs(RUN_S));
    world.ended.store(true, SeqCst);
    thread::sleep(ms(3000));
    if sidecar.has_ended() {
        return Err(format!("the sidecar ended: {}", sidecar.log()));
    }
    sidecar.kill();
    let taken = taken.lock().unwrap();
    let is = |foreign_is: bool| {
        let wanted = move |request: &&Taken| matches!(request.ended, Ended::Answered { status: 200, foreign } if foreign == foreign_is);
        taken.iter().filter(wanted).count()
    };
    let (own, foreign) = (is(false), is(true));
    world.say(format!(
        "pods: {} answers, {} of them sent twice, {} second ones withheld as a request was waiting",
        counts.answers.load(SeqCst),
        counts.seconds.load(SeqCst),
        counts.withheld.load(SeqCst)
    ));
    world.say(format!(
        "clients: {} requests, {own} served with their own answer, {foreign} with one made for another request",
        taken.len()
    ));
    world.write_record(folder);
    if own < 500 {
        return Err(format!("too little traffic: {}", sidecar.log()));
    }
    Ok(foreign == 0)
}
