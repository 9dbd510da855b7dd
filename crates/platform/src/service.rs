//! Starts, reloads and stops one sidecar.

use crate::client_session::StopTime;
use crate::client_table::ClientTable;
use crate::config::Config;
use crate::connection_slots::{DescriptorBudget, STOP_ACCEPT_TIME};
use crate::limits::{STOP_MARGIN, STOP_POLL_INTERVAL, SWEEP_INTERVAL};
use crate::memory_budget::MemoryBudget;
use crate::pod_client::PodClient;
use crate::response_memory::ResponseMemory;
use crate::shell::{Platform, Shell};
use crate::vote_queue::VoteQueue;
use crate::{control_plane, discovery, listener, state_log};
use havenplank_sidecar::body_memory::BodyMemory;
use havenplank_sidecar::engine::{Engine, EPOCH};
use havenplank_sidecar::heap_room::{AllocatedBytes, HeapRoom};
use havenplank_sidecar::read_ahead::ReadAheadMemory;
use havenplank_sidecar::{listen, StartError};
use std::cell::Cell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{spawn_local, JoinHandle, JoinSet};
use tokio::time::{sleep, sleep_until};

/// A command to a running sidecar.
pub enum Command {
    /// Apply a new configuration. Only its addresses of discovery and the control plane are used.
    Reload(Box<Config>),
    /// Stop accepting requests, answer those accepted, and return.
    Stop,
}

/// Runs one sidecar on the current thread until it is asked to stop. Requires a tokio `LocalRuntime` with time and I/O.
/// `allocated_bytes` reports the memory of the process; `ready` is called with the listening address once the sidecar
/// listens.
///
/// # Errors
/// Fails if the address cannot be listened on. Services that are unreachable are not an error: connecting is retried.
pub async fn serve(
    config: Config,
    allocated_bytes: AllocatedBytes,
    commands: mpsc::Receiver<Command>,
    ready: impl FnOnce(SocketAddr),
) -> Result<(), StartError> {
    let (listener, address) = listen(config.listen).await?;
    let shell = new_shell(&config, allocated_bytes);
    let services = ServiceAddresses::new(&config);
    start_engine(&shell, &config);
    let mut tasks = JoinSet::new();
    tasks.spawn_local(shell.clone().run_timers());
    services.follow(&shell, &config, &mut tasks);
    tasks.spawn_local(sweep_pod_connections(shell.clone()));
    tasks.spawn_local(state_log::run(shell.clone()));
    let acceptor = Acceptor::start(&shell, listener);
    ready(address);
    run_commands(commands, &services).await;
    acceptor.stop(&shell).await;
    Ok(())
}

fn new_shell(config: &Config, allocated_bytes: AllocatedBytes) -> Rc<Shell> {
    let engine = Engine::new(EPOCH, config.seed, &config.engine);
    let budget = DescriptorBudget::new(config.descriptors);
    let memory = MemoryBudget::new(config.memory_bytes, config.initial_list.endpoints.len());
    let pods = PodClient::new(
        config.pod_connections,
        config.load_fields.clone(),
        budget.pods,
        ResponseMemory::new(&memory, allocated_bytes),
    );
    let platform = Platform {
        route_classes: config.engine.route_classes.clone(),
        tenants: config.engine.tenants.clone(),
        vote_settings: config.engine.votes.clone(),
        response_margin: config.response_margin,
        allocated_bytes,
        memory,
        clients: ClientTable::new(budget),
        request_memory: BodyMemory::with_heap(
            memory.request_bodies,
            HeapRoom::new(allocated_bytes, memory.body_heap),
        ),
        read_ahead: Rc::new(ReadAheadMemory::with_heap(
            memory.client_heap,
            HeapRoom::new(allocated_bytes, memory.client_heap),
        )),
        pods,
        votes: VoteQueue::default(),
        list_status: discovery::ListStatus::default(),
        stopping: Cell::new(false),
    };
    Shell::new(engine, platform)
}

/// Passes the endpoint list and the stage in the configuration to the engine, and starts it.
fn start_engine(shell: &Rc<Shell>, config: &Config) {
    let endpoints = config.initial_list.endpoints.clone();
    shell.call(|engine, now| engine.update_endpoints(now, true, endpoints));
    if let Some(stage) = config.stage {
        shell.call(|engine, now| engine.update_stage(now, stage));
    }
    shell.call(|engine, now| engine.start(now));
}

/// The addresses of discovery and the control plane, which a reload may change.
struct ServiceAddresses {
    discovery: watch::Sender<SocketAddr>,
    control_plane: watch::Sender<SocketAddr>,
}

impl ServiceAddresses {
    fn new(config: &Config) -> ServiceAddresses {
        ServiceAddresses {
            discovery: watch::Sender::new(config.discovery),
            control_plane: watch::Sender::new(config.control_plane),
        }
    }

    fn follow(&self, shell: &Rc<Shell>, config: &Config, tasks: &mut JoinSet<()>) {
        let start = discovery::Start {
            since: config.initial_list.version,
            max_update_bytes: shell.memory.list_update,
            seed: config.seed ^ 1,
        };
        let address = self.discovery.subscribe();
        tasks.spawn_local(discovery::follow(shell.clone(), address, start));
        tasks.spawn_local(control_plane::follow(
            shell.clone(),
            self.control_plane.subscribe(),
            config.seed ^ 2,
        ));
    }

    fn reload(&self, config: &Config) {
        let Config {
            discovery,
            control_plane,
            ..
        } = config;
        tracing::info!(%discovery, %control_plane, "reloaded");
        set_if_changed(&self.discovery, *discovery);
        set_if_changed(&self.control_plane, *control_plane);
    }
}

fn set_if_changed(sender: &watch::Sender<SocketAddr>, address: SocketAddr) {
    sender.send_if_modified(|current| std::mem::replace(current, address) != address);
}

/// Performs commands until `Command::Stop` or until all senders are dropped.
async fn run_commands(mut commands: mpsc::Receiver<Command>, services: &ServiceAddresses) {
    while let Some(command) = commands.recv().await {
        match command {
            Command::Reload(config) => services.reload(&config),
            Command::Stop => return,
        }
    }
}

/// The task that accepts connections, and the channels that stop it.
struct Acceptor {
    task: JoinHandle<()>,
    stop: watch::Sender<StopTime>,
    close: oneshot::Sender<()>,
}

impl Acceptor {
    fn start(shell: &Rc<Shell>, listener: TcpListener) -> Acceptor {
        let (stop, stop_time) = watch::channel(None);
        let (close, closed) = oneshot::channel();
        let task = listener::accept(shell.clone(), listener, stop_time, closed);
        Acceptor {
            task: spawn_local(task),
            stop,
            close,
        }
    }

    /// Accepts new connections for [`STOP_ACCEPT_TIME`], then returns once all have closed.
    async fn stop(self, shell: &Rc<Shell>) {
        let stopped_at = Instant::now();
        shell.stopping.set(true);
        let _ = self.stop.send(Some(stopped_at));
        let activities = shell.clients.activity_counts();
        tracing::info!(
            requests = shell.in_flight(),
            clients = shell.clients.open_count(),
            clients_reading_further = activities.reading_further,
            "stopping"
        );
        sleep_until((stopped_at + STOP_ACCEPT_TIME).into()).await;
        let _ = self.close.send(());
        // The task ends once it has served the connections left in the kernel's accept queue.
        let _ = self.task.await;
        wait_until_clients_closed(shell).await;
        tracing::info!(requests = shell.in_flight(), "stopped");
    }
}

/// Waits until all client connections have closed. Each has its own time limits; this is an upper limit for all.
async fn wait_until_clients_closed(shell: &Shell) {
    let timeouts = shell.route_classes.iter();
    let longest = timeouts.map(|(_, rules)| rules.client_timeout).max();
    let longest = Duration::from_nanos(longest.unwrap_or(0));
    let until = Instant::now() + longest + STOP_MARGIN;
    while shell.clients.open_count() > 0 && Instant::now() < until {
        sleep(STOP_POLL_INTERVAL).await;
    }
}

/// Closes unusable idle connections to pods at every [`SWEEP_INTERVAL`].
async fn sweep_pod_connections(shell: Rc<Shell>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        let listed = shell.listed_pods();
        let listed: HashSet<SocketAddr> = listed.into_iter().map(|pod| pod.address).collect();
        shell.pods.pool.sweep(&listed);
    }
}
