//! Discovery answers each call late. A pod drained before the sidecar started.

use crate::world::*;
use std::path::Path;
use std::sync::{atomic::Ordering::SeqCst, Arc, Mutex};
use std::thread;

/// How late discovery answers a call.
const ANSWERS_AFTER_MS: u64 = 1500;
/// A change counts as told at the latest 6 s after discovery had it and could be reached.
const TOLD_AFTER_S: f64 = 6.0;
/// The grace of `krakow-search`, and 50 ms on sockets.
const GRACE_S: f64 = 0.5 + 0.05;

pub fn run(root: &Path, folder: &Path, trouble: bool) -> Result<bool, String> {
    let world = World::new();
    let arrivals: Arrivals = Arc::default();
    let taken: Arc<Mutex<Vec<Taken>>> = Arc::default();
    let pod = |n: usize| {
        let settings = PodSettings {
            name: format!("pod-{n}"),
            build: 41,
            born_ms: 0,
            work: ms(60),
            answer_bytes: 64,
        };
        Pod::start(&world, &arrivals, settings)
    };
    let pods: Vec<Arc<Pod>> = (0..4).map(pod).collect();
    let known: Vec<String> = pods.iter().map(|pod| pod.entry("active")).collect();
    let discovery = Discovery::start(&world);
    if trouble {
        discovery.answer_after_ms.store(ANSWERS_AFTER_MS, SeqCst);
    }
    world.say("pod-0 drains: discovery has that as version 2");
    discovery.change(2, &[pods[0].entry("leaving")]);
    *pods[0].mood.lock().unwrap() = Mood::Drains;
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
        memory_mb: 192,
        sockets: 1024,
    };
    let sidecar = Sidecar::start(root, &temp.0, &config.text(), 1);
    let mut sidecar = sidecar.map_err(|error| error.to_string())?;
    if !sidecar.wait_ready(listen) {
        return Err(format!("the sidecar is not ready: {}", sidecar.log()));
    }
    let ready = world.now();
    world.say("the sidecar is ready; its file has version 1 of the list");
    for n in 0..20u64 {
        let settings = ClientSettings {
            sidecar: listen,
            period: ms(250),
            first: ms(n * 12),
            class: "query",
            body_bytes: 0,
            time: ms(2000),
        };
        start_client(&world, &taken, settings);
    }
    thread::sleep(ms(30_000));
    world.ended.store(true, SeqCst);
    thread::sleep(ms(1000));
    if sidecar.has_ended() {
        return Err(format!("the sidecar ended: {}", sidecar.log()));
    }
    sidecar.kill();
    let until = ready + TOLD_AFTER_S + GRACE_S;
    let arrivals = arrivals.lock().unwrap();
    let at_drained = arrivals.iter().filter(|arrival| arrival.pod == "pod-0");
    let at_drained: Vec<f64> = at_drained.map(|arrival| arrival.at).collect();
    let late = at_drained.iter().filter(|at| **at > until).count();
    let last = at_drained.last().copied().unwrap_or(0.0);
    world.say(format!(
        "discovery was called {} times",
        discovery.calls.load(SeqCst)
    ));
    world.say(format!(
        "pod-0 got {} requests, {late} of them after {until:.3}; the last at {last:.3}; {} requests were taken",
        at_drained.len(),
        taken.lock().unwrap().len()
    ));
    world.write_record(folder);
    if taken.lock().unwrap().len() < 500 {
        return Err("too little traffic".into());
    }
    Ok(late == 0)
}
