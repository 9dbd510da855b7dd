//! The shell: one engine with its clients, pods, node list and release desk on one thread; start, reload, stop.

use crate::config::Config;
use crate::control_plane::Votes;
use crate::listener::{self, Listener};
use crate::pods::{self, Ask, Pods};
use crate::slots::{Shares, COMING};
use crate::{control_plane, discovery};
use bytes::Bytes;
use havenplank::interface::*;
use havenplank_sidecar::dispatcher::{AttemptId, Dispatcher, Transport};
use havenplank_sidecar::engine::{Engine, EPOCH};
use havenplank_sidecar::{listen, responses, StartError};
use http_body_util::Full;
use hyper::Response;
use std::cell::Cell;
use std::collections::HashSet;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, sleep_until};

const BEAT: Duration = Duration::from_millis(20);
/// What a connection may need past the longest client time-out once we stop: its hit is read, and its answer written
/// and drained.
const LEFT: Duration = Duration::from_secs(3);

/// What a running sidecar is told by whoever started it.
pub enum Orders {
    /// A new configuration: the addresses of node list and release desk in it hold from now on.
    Reload(Box<Config>),
    /// Take no more hits, answer those taken, and return.
    Stop,
}

/// The platform around the engine.
pub struct Node {
    pub groups: Vec<(String, RouteClass)>,
    pub tenants: Vec<String>,
    pub votes: VoteSettings,
    pub answer_margin: Nanos,
    pub listener: Listener,
    pub pods: Pods,
    pub ballots: Votes,
    pub stopping: Cell<bool>,
}

pub type Shell = Dispatcher<Node>;

impl Transport for Node {
    type Request = Ask;
    type Response = Response<Full<Bytes>>;

    fn send_attempt(
        hub: Rc<Shell>,
        ask: Rc<Ask>,
        attempt: AttemptId,
        pod: PodId,
        time_out: Nanos,
    ) -> impl Future<Output = ()> + 'static {
        pods::forward(hub, ask, attempt, pod, time_out)
    }

    fn rejected(&self, retry_after: Nanos) -> Response<Full<Bytes>> {
        listener::bounced(retry_after)
    }

    fn failed(&self, late: bool) -> Response<Full<Bytes>> {
        responses::failed(late)
    }

    fn cast_vote(hub: &Rc<Shell>, vote: u64, build: Build, stage: usize, voice: Vote) {
        hub.ballots.cast(hub, vote, build, stage, voice);
    }

    fn health_check(hub: &Rc<Shell>, probe: u64, pod: PodId) {
        spawn_local(pods::probe(hub.clone(), probe, pod));
    }

    /// The watch always stands, and brings the whole list where changes are not enough.
    fn poll_endpoints(_: &Rc<Shell>) {}

    fn watch_endpoints(_: &Rc<Shell>, _: bool) {}
}

/// Runs one sidecar on the present thread until it is ordered to stop. Needs a `LocalRuntime` of tokio with
/// time and I/O. `ready` is called with the address once it listens.
///
/// # Errors
/// An address that cannot be listened on. Services that are out of reach are no error: they are tried on.
pub async fn serve(
    config: Config,
    mut orders: mpsc::Receiver<Orders>,
    ready: impl FnOnce(SocketAddr),
) -> Result<(), StartError> {
    let Config { terms, seed, .. } = config;
    let engine = Engine::new(EPOCH, seed, &terms);
    let (listener, address) = listen(config.listen).await?;
    let shares = Shares::of(config.sockets);
    let shell = Dispatcher::new(
        engine,
        Node {
            groups: terms.route_classes.clone(),
            tenants: terms.tenants.clone(),
            votes: terms.votes.clone(),
            answer_margin: config.answer_margin,
            listener: Listener::new(shares),
            pods: Pods::new(config.links, config.load, shares.pods, config.memory),
            ballots: Votes::default(),
            stopping: Cell::new(false),
        },
    );
    let (since, known) = config.known;
    shell.call(|engine, now| engine.update_endpoints(now, true, known));
    if let Some(stage) = config.stage {
        shell.call(|engine, now| engine.update_stage(now, stage));
    }
    shell.call(|engine, now| engine.start(now));
    let (nodes_at, nodes) = watch::channel(config.nodes);
    let (desk_at, desk) = watch::channel(config.desk);
    let (stopping, stop) = watch::channel(None);
    let (close, closes) = oneshot::channel();
    let mut tasks = JoinSet::new();
    tasks.spawn_local(shell.clone().run_timers());
    tasks.spawn_local(discovery::follow(shell.clone(), nodes, since, seed ^ 1));
    tasks.spawn_local(control_plane::follow(shell.clone(), desk, seed ^ 2));
    tasks.spawn_local(sweep(shell.clone()));
    tasks.spawn_local(beat(shell.clone()));
    let accepting = spawn_local(listener::accept(shell.clone(), listener, stop, closes));
    ready(address);
    while let Some(order) = orders.recv().await {
        match order {
            Orders::Reload(config) => {
                tracing::info!(nodes = %config.nodes, desk = %config.desk, "reloaded");
                nodes_at.send_if_modified(|at| std::mem::replace(at, config.nodes) != config.nodes);
                desk_at.send_if_modified(|at| std::mem::replace(at, config.desk) != config.desk);
            }
            Orders::Stop => break,
        }
    }
    let told = Instant::now();
    shell.stopping.set(true);
    let _ = stopping.send(Some(told));
    tracing::info!(hits = shell.in_flight(), "stopping");
    sleep_until((told + COMING).into()).await;
    let _ = close.send(());
    // Until it has taken what had come by then.
    let _ = accepting.await;
    // Each connection that is left ends by its own times; this bounds them all.
    let longest = shell
        .groups
        .iter()
        .map(|(_, rules)| rules.client_timeout)
        .max()
        .unwrap_or(0);
    let until = Instant::now() + Duration::from_nanos(longest) + LEFT;
    while shell.listener.open() > 0 && Instant::now() < until {
        sleep(Duration::from_millis(10)).await;
    }
    tracing::info!(hits = shell.in_flight(), "stopped");
    Ok(())
}

async fn sweep(shell: Rc<Shell>) {
    loop {
        sleep(Duration::from_secs(1)).await;
        let listed: HashSet<SocketAddr> = shell
            .listed_pods()
            .into_iter()
            .map(|pod| pod.address)
            .collect();
        shell.pods.sweep(&listed);
    }
}

fn resident_kb() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.trim().trim_end_matches("kB").trim().parse().ok()
}

/// Once a second, what the engine believes beside what the sockets show.
async fn beat(shell: Rc<Shell>) {
    let (mut told, mut longest) = (Instant::now(), Duration::ZERO);
    loop {
        let began = Instant::now();
        sleep(BEAT).await;
        longest = longest.max(began.elapsed().saturating_sub(BEAT));
        if told.elapsed() < Duration::from_secs(1) {
            continue;
        }
        let (pods, listener) = (&shell.pods, &shell.listener);
        let (links, idle) = pods.count();
        let (unasked, half_asked) = listener.unasked();
        let descriptors = std::fs::read_dir("/proc/self/fd").map_or(0, Iterator::count);
        tracing::info!(
            hits = shell.engine().requests_held(),
            hits_at_door = listener.serving(),
            forwards = shell.engine().attempts_in_flight(),
            forwards_on_wire = pods.seen.out.get(),
            sent = pods.seen.sent.get(),
            clients = listener.open(),
            unasked,
            half_asked,
            links,
            idle_links = idle,
            keep_ms = pods.idle_timeout().as_millis() as u64,
            links_opened = pods.seen.opened.get(),
            refused = listener.refused.get(),
            turned_out = listener.evicted.get(),
            descriptors,
            resident_kb = resident_kb().unwrap_or(0),
            longest_gap_us = longest.as_micros() as u64,
            "state"
        );
        (told, longest) = (Instant::now(), Duration::ZERO);
    }
}
