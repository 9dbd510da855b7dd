//! Hundreds of bad clients beside the usual ones, at a sidecar with little memory and many descriptors.

use crate::world::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{atomic::Ordering::SeqCst, Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Within what a sidecar has on scored days: 256 to 1,024 descriptors, 32 to 192 MB.
const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 1024;
/// The limit as the larger of its two readings, in KiB of anonymous memory. Pages of the program's file do not count.
const MEMORY_KIB: u64 = 32 * 1024;
/// Under a third of the descriptors.
const GOOD_CLIENTS: u64 = 240;
const BAD_CLIENTS: u64 = 600;
const BAD_FOR: Duration = Duration::from_secs(12);
/// The least of the site's 14 to 17.
const PODS: usize = 14;
const LARGEST_BODY: usize = 64 << 10;

/// Anonymous memory of a process in KiB.
fn memory_of(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let field = |name: &str| -> Option<u64> {
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        line.trim().trim_end_matches("kB").trim().parse().ok()
    };
    Some(field("RssAnon:")? + field("RssShmem:")?)
}

/// One of the bad clients of the page: sends at full speed what is wrong in its way, reads what it is sent until the
/// other side closes, and begins again.
fn bad_client(world: &World, sidecar: SocketAddr, number: u64, until: Instant) {
    let mut turn = 0;
    while Instant::now() < until && !world.is_over() {
        turn += 1;
        let Ok(mut stream) = TcpStream::connect(sidecar) else {
            thread::sleep(ms(20));
            continue;
        };
        let _ = stream.set_read_timeout(Some(ms(3000)));
        let id = format!("bad-{number}-{turn}");
        let head = |line: &str, more: &str| {
            format!("{line} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\nX-Time-Left-Ms: 2000\r\n{more}\r\n")
        };
        let text = match number % 4 {
            // A length that is wrong: half a kilobyte of the body never comes.
            0 => {
                let more =
                    format!("Idempotency-Key: key-{id}\r\nContent-Length: {LARGEST_BODY}\r\n");
                head("POST /reindex/r", &more) + &"b".repeat(LARGEST_BODY - 512)
            }
            // An endless head.
            1 => format!("POST /reindex/r HTTP/1.1\r\nX-Long: {}", "h".repeat(16_000)),
            // What can't be read, behind a request.
            2 => head("GET /query/r", "") + &"\u{1}".repeat(40_000),
            // A long head, and the same again as soon as it is answered.
            _ => head(
                "GET /query/r",
                &format!("X-Long: {}\r\n", "h".repeat(12_000)),
            ),
        };
        let _ = stream.write_all(text.as_bytes());
        if number % 4 == 3 {
            // Reads its answer to the end, and comes again.
            let _ = read_message(&mut BufReader::new(stream));
        } else {
            let mut sink = [0; 4096];
            while matches!(stream.read(&mut sink), Ok(read) if read > 0) {}
        }
        thread::sleep(ms(10));
    }
}

pub fn run(root: &Path, folder: &Path, trouble: bool) -> Result<bool, String> {
    let world = World::new();
    let arrivals: Arrivals = Arc::default();
    let taken: Arc<Mutex<Vec<Taken>>> = Arc::default();
    let pod = |n: usize| {
        let settings = PodSettings {
            name: format!("pod-{n}"),
            build: 41,
            born_ms: 0,
            work: ms(350),
            answer_bytes: LARGEST_BODY,
        };
        Pod::start(&world, &arrivals, settings)
    };
    let pods: Vec<Arc<Pod>> = (0..PODS).map(pod).collect();
    let known: Vec<String> = pods.iter().map(|pod| pod.entry("active")).collect();
    let discovery = Discovery::start(&world);
    let released = r#""image":41,"ring":3,"progress":"stable","ceiling":1.0"#;
    let platform = Platform::start(&world, released);
    let listen = free_address();
    let temp = Folder::new();
    let config = Config {
        listen,
        discovery: discovery.address,
        control_service: platform.address,
        news: platform.state(),
        known_seq: 1,
        known: &known,
        instances: 1,
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
    };
    let sidecar = Sidecar::start(root, &temp.0, &config.text(), 1);
    let mut sidecar = sidecar.map_err(|error| error.to_string())?;
    if !sidecar.wait_ready(listen) {
        return Err(format!("the sidecar is not ready: {}", sidecar.log()));
    }
    world.say("the sidecar is ready");
    for n in 0..GOOD_CLIENTS {
        let settings = ClientSettings {
            sidecar: listen,
            period: ms(1000),
            first: ms(n * 4),
            class: "reindex",
            body_bytes: LARGEST_BODY,
            time: ms(3000),
        };
        start_client(&world, &taken, settings);
    }
    let lead = Instant::now() + Duration::from_secs(10);
    let until = lead + BAD_FOR;
    let (mut peak, mut peak_before) = (0, 0);
    let mut killed_at = None;
    let mut bad_began = false;
    while Instant::now() < until {
        if !bad_began && Instant::now() >= lead {
            (bad_began, peak_before) = (true, peak);
            if trouble {
                world.say(format!("{BAD_CLIENTS} bad clients begin"));
                for number in 0..BAD_CLIENTS {
                    let world = world.clone();
                    thread::spawn(move || bad_client(&world, listen, number, until));
                }
            }
        }
        if sidecar.has_ended() {
            return Err(format!("the sidecar ended: {}", sidecar.log()));
        }
        peak =
            peak.max(memory_of(sidecar.pid()).ok_or("the memory of the sidecar cannot be read")?);
        if peak > MEMORY_KIB {
            killed_at = Some(world.now());
            world.say(format!(
                "the sidecar holds {peak} KiB: over its {MEMORY_MB} MB the platform kills it"
            ));
            sidecar.kill();
            break;
        }
        thread::sleep(ms(5));
    }
    world.ended.store(true, SeqCst);
    thread::sleep(ms(4000));
    let taken = taken.lock().unwrap();
    let served = |request: &&Taken| matches!(request.ended, Ended::Answered { status: 200, .. });
    world.say(format!(
        "peak of anonymous memory: {peak_before} KiB before the bad clients, {peak} KiB in all; usual clients: {} requests, {} served",
        taken.len(),
        taken.iter().filter(served).count()
    ));
    if let Some(killed_at) = killed_at {
        let open = |request: &&Taken| {
            request.at < killed_at
                && request.ended_at >= killed_at - 0.05
                && !matches!(request.ended, Ended::Answered { .. })
        };
        world.say(format!(
            "{} requests of usual clients that it had taken end without an answer",
            taken.iter().filter(open).count()
        ));
    }
    world.write_record(folder);
    if taken.iter().filter(served).count() < 500 {
        return Err("too little traffic".into());
    }
    Ok(killed_at.is_none())
}
