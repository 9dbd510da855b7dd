//! A sidecar is killed and started again while a build is on trial.

use crate::world::*;
use std::path::Path;
use std::sync::{atomic::Ordering::SeqCst, Arc, Mutex};
use std::thread;

/// The rule of `krakow-search`: in any 6 s, 3 attempts plus the cap last told of the requests taken.
const WINDOW_S: f64 = 6.0;
const FREE: f64 = 3.0;
const CAP: f64 = 0.136;
/// On sockets 2 attempts and 4% above the cap pass, and every time limit is 50 ms longer. The 4% are read in the way
/// that allows more: as 4 in 100 of the requests.
const EXTRA_ATTEMPTS: f64 = 2.0;
const EXTRA_SHARE: f64 = 0.04;
const SLACK_S: f64 = 0.05;
/// The list comes seconds late: 4.4 s at most by the site file.
const LISTED_AFTER_MS: u64 = 4000;
/// When the sidecar is killed, after the build was offered.
const KILL_AFTER_MS: u64 = 2000;

pub fn run(root: &Path, folder: &Path, trouble: bool) -> Result<bool, String> {
    let world = World::new();
    let arrivals: Arrivals = Arc::default();
    let taken: Arc<Mutex<Vec<Taken>>> = Arc::default();
    let pod = |name: &str, build, born_ms| {
        let settings = PodSettings {
            name: name.into(),
            build,
            born_ms,
            work: ms(100),
            answer_bytes: 64,
        };
        Pod::start(&world, &arrivals, settings)
    };
    let old: Vec<Arc<Pod>> = (0..2).map(|n| pod(&format!("old-{n}"), 41, 0)).collect();
    let mut known: Vec<String> = old.iter().map(|pod| pod.entry("active")).collect();
    let discovery = Discovery::start(&world);
    let released = r#""image":41,"ring":3,"progress":"stable","ceiling":1.0"#;
    let platform = Platform::start(&world, released);
    let listen = free_address();
    let temp = Folder::new();
    let start = |number, known_seq, known: &[String]| {
        let config = Config {
            listen,
            discovery: discovery.address,
            control_service: platform.address,
            news: platform.state(),
            known_seq,
            known,
            instances: 3,
            memory_mb: 192,
            sockets: 1024,
        };
        let sidecar = Sidecar::start(root, &temp.0, &config.text(), number);
        let sidecar = sidecar.map_err(|error| error.to_string())?;
        if !sidecar.wait_ready(listen) {
            return Err(format!("the sidecar is not ready: {}", sidecar.log()));
        }
        Ok(sidecar)
    };
    let mut sidecar = start(1, 1, &known)?;
    for n in 0..40u64 {
        let (class, body_bytes, time) = match n % 10 {
            0..=6 => ("query", 0, ms(2000)),
            _ => ("reindex", 100, ms(3000)),
        };
        let settings = ClientSettings {
            sidecar: listen,
            period: ms(460),
            first: ms(n * 11),
            class,
            body_bytes,
            time,
        };
        start_client(&world, &taken, settings);
    }
    thread::sleep(ms(8000));
    world.say("build 42 is offered: one pod of it, stage 0, cap 0.136");
    let new = pod("new-0", 42, unix_ms() - LISTED_AFTER_MS);
    known.push(new.entry("active"));
    discovery.change(2, &[new.entry("active")]);
    platform.change(r#""image":42,"ring":0,"progress":"canary","ceiling":0.136"#);
    thread::sleep(ms(KILL_AFTER_MS));
    if trouble {
        world.say(format!("SIGKILL to the sidecar, process {}", sidecar.pid()));
        sidecar.kill();
        sidecar = start(2, 2, &known)?;
        world.say(format!(
            "started again under its name, process {}",
            sidecar.pid()
        ));
    }
    thread::sleep(ms(9000));
    world.ended.store(true, SeqCst);
    thread::sleep(ms(1000));
    if sidecar.has_ended() {
        return Err(format!("the sidecar ended: {}", sidecar.log()));
    }
    sidecar.kill();
    let requests: Vec<f64> = taken
        .lock()
        .unwrap()
        .iter()
        .map(|request| request.at)
        .collect();
    let arrivals = arrivals.lock().unwrap();
    let on_trial = arrivals.iter().filter(|arrival| arrival.build == 42);
    let on_trial: Vec<f64> = on_trial.map(|arrival| arrival.at).collect();
    let mut nearest = (f64::MIN, String::new());
    for end in &on_trial {
        let in_window = |at: &&f64| **at <= *end && **at > end - WINDOW_S;
        let attempts = on_trial.iter().filter(in_window).count() as f64;
        let in_wider = |at: &&f64| **at <= end + SLACK_S && **at > end - WINDOW_S - SLACK_S;
        let taken = requests.iter().filter(in_wider).count() as f64;
        let rule = FREE + CAP * taken;
        let limit = rule + EXTRA_SHARE * taken + EXTRA_ATTEMPTS;
        if attempts - limit > nearest.0 {
            let text = format!(
                "in the 6 s up to {end:.3}: {attempts} attempts at build 42, {taken} requests taken; \
                 the rule allows {rule:.1}, with 2 attempts and 4% {limit:.1}"
            );
            nearest = (attempts - limit, text);
        }
    }
    world.say(nearest.1);
    world.write_record(folder);
    if requests.len() < 500 || on_trial.len() < 30 {
        return Err("too little traffic".into());
    }
    Ok(nearest.0 <= 0.0)
}
