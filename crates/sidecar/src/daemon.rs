//! Runs one sidecar on one thread: builds it from its settings, starts its tasks, and shuts it down without losing a
//! request.

use crate::body_memory::BodyMemory;
use crate::configuration::{self, CachedConfiguration};
use crate::dispatcher::Dispatcher;
use crate::engine::events::Observer;
use crate::engine::{Engine, EngineSettings, EPOCH};
use crate::listener::{accept, listen, Audience, ListenError};
use crate::membership::{Membership, MembershipError};
use crate::read_ahead::ReadAheadMemory;
use crate::routes::RouteTable;
use crate::shell::{Shell, Sidecar};
use crate::takeover_service::TakeoverService;
use crate::upstream::UpstreamConnections;
use crate::{control_plane, discovery, endpoint_cache, protected_request};
use havenplank_configuration::store::StoreError;
use havenplank_settings::{ListenerSettings, Site};
use havenplank_takeover::record::Record;
use hyper::header::{HeaderName, HeaderValue};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashSet;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, timeout};

/// Limit on the lines that wait to be sent on a subscription. A line beyond it counts as not sent.
const MAX_QUEUED_LINES: usize = 64;
/// Limit on the open connections of operators.
const MAX_OPERATOR_CONNECTIONS: usize = 64;
/// How long a shutdown waits for connections to close after the longest client timeout has passed.
const SHUTDOWN_MARGIN: Duration = Duration::from_secs(1);
/// The shortest period at which idle connections to pods are closed.
const MIN_SWEEP_PERIOD: Duration = Duration::from_millis(100);
/// The header in which pods get the time that an attempt may take, if the settings name no valid header.
const DEFAULT_TIMEOUT_HEADER: HeaderName = HeaderName::from_static("grpc-timeout");
/// Combined with the seed, so that the two subscriptions draw different random numbers.
const DISCOVERY_SEED: u64 = 1;
/// See [`DISCOVERY_SEED`].
const CONTROL_PLANE_SEED: u64 = 2;

/// Why a sidecar cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address is in use or does not belong to this machine.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The sidecar's name is not a valid header value.
    #[error(
        "sidecar name {0:?} cannot be sent in a Via header; expected visible ASCII characters"
    )]
    Name(String),
    /// The membership cannot start.
    #[error(transparent)]
    Membership(#[from] MembershipError),
    /// The cached configuration cannot be read.
    #[error("configuration.keep: {0}")]
    Configuration(#[from] StoreError),
}

/// The addresses that a running sidecar listens on.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// The address for clients.
    pub listen: SocketAddr,
    /// The address for operators.
    pub admin: SocketAddr,
}

/// Runs a sidecar on the current thread until `stop` completes. It then accepts no more requests, gives each request in
/// flight its final response, and returns.
///
/// `ready` is called once the sidecar listens. `observer` receives all events and effects of its engine. Needs a tokio
/// runtime with time and I/O that can run local tasks: a `LocalRuntime`, which is cheaper, or a `LocalSet`. Shares no
/// state with other sidecars in the process.
///
/// # Errors
/// Fails if it cannot listen on an address, if its name is not a valid header value, or if its keys or its cached
/// configuration cannot be read. An unreachable service discovery or control plane is not an error: the sidecar keeps
/// trying to connect.
pub async fn serve(
    site: Site,
    seed: u64,
    observer: Option<Box<dyn Observer>>,
    ready: impl FnOnce(Addresses),
    stop: impl Future<Output = ()>,
) -> Result<(), StartError> {
    let mut engine = Engine::new(EPOCH, seed, &EngineSettings::from(&site));
    if let Some(observer) = observer {
        engine = engine.with_observer(observer);
    }
    let cached = site.configuration.as_ref();
    let cached = cached
        .map(|settings| CachedConfiguration::open(&settings.cache_folder))
        .transpose()?;
    let (clients, listen_address) = listen(site.listener.listen).await?;
    let (operators, admin) = listen(site.listener.admin).await?;
    let SidecarParts {
        shell,
        lines,
        taken_over,
    } = SidecarParts::build(site, engine).await?;
    if let Some(cached) = cached {
        configuration::start(&shell, cached, seed);
    }
    run_membership(&shell);
    if let Some(path) = &shell.site.cached_list {
        endpoint_cache::load(&shell, path);
    }
    let _tasks = start_tasks(&shell, seed, lines, taken_over);
    shell.call(|engine, now| engine.start(now));
    let listeners = Listeners::start(&shell, clients, operators);
    ready(Addresses {
        listen: listen_address,
        admin,
    });
    stop.await;
    listeners.stop(&shell).await;
    Ok(())
}

/// The lines to send to service discovery and to the control plane.
struct OutgoingLines {
    discovery: mpsc::Receiver<String>,
    control_plane: mpsc::Receiver<String>,
}

/// Returns the bytes of the bodies of all requests that may be in flight.
fn bodies_of_all_requests(limits: &ListenerSettings) -> usize {
    limits.max_requests.saturating_mul(limits.max_body_bytes)
}

/// The parts of a sidecar whose tasks are not started yet.
struct SidecarParts {
    shell: Rc<Shell>,
    lines: OutgoingLines,
    /// Requests taken over from other sidecars, to be finished by this one; `None` without takeover.
    taken_over: Option<mpsc::UnboundedReceiver<Record>>,
}

impl SidecarParts {
    async fn build(site: Site, engine: Engine) -> Result<SidecarParts, StartError> {
        let via = HeaderValue::from_str(&format!("1.1 {}", site.name));
        let via = via.map_err(|_| StartError::Name(site.name.clone()))?;
        let (discovery_requests, discovery) = mpsc::channel(MAX_QUEUED_LINES);
        let (control_plane_requests, control_plane) = mpsc::channel(MAX_QUEUED_LINES);
        let timeout_header = HeaderName::try_from(&site.headers.timeout);
        let membership = bind_membership(&site).await?;
        let (takeover, taken_over) = start_takeover(&site, membership.as_ref()).unzip();
        let routes = RouteTable::from_settings(&site.route_classes, engine.slots(), &site.tenants);
        let sidecar = Sidecar {
            routes: RefCell::new(Rc::new(routes)),
            configuration: OnceCell::new(),
            request_memory: BodyMemory::new(bodies_of_all_requests(&site.listener)),
            read_ahead: Rc::new(ReadAheadMemory::for_connections(
                site.listener.max_connections,
            )),
            upstream: UpstreamConnections::new(&site.upstream),
            endpoints_changed: Notify::new(),
            discovery_requests,
            control_plane_requests,
            control_plane_up: Cell::new(false),
            stopping: Cell::new(false),
            via,
            membership,
            takeover,
            timeout_header: timeout_header.unwrap_or(DEFAULT_TIMEOUT_HEADER),
            site,
        };
        Ok(SidecarParts {
            shell: Dispatcher::new(engine, sidecar),
            lines: OutgoingLines {
                discovery,
                control_plane,
            },
            taken_over,
        })
    }
}

async fn bind_membership(site: &Site) -> Result<Option<Rc<Membership>>, MembershipError> {
    let Some(settings) = &site.membership else {
        return Ok(None);
    };
    let zone = site
        .zones
        .get(site.position.zone)
        .cloned()
        .unwrap_or_default();
    let membership = Membership::bind(settings, &site.name, &zone).await?;
    let address = membership.address();
    let address = address.map_or(String::new(), |address| address.to_string());
    // Tools read the address of the membership from the log line with this message.
    tracing::info!(listen = address, "fellowship");
    Ok(Some(membership))
}

type Takeover = (Rc<TakeoverService>, mpsc::UnboundedReceiver<Record>);

fn start_takeover(site: &Site, membership: Option<&Rc<Membership>>) -> Option<Takeover> {
    let (settings, membership) = site.takeover.as_ref().zip(membership)?;
    let takeover = TakeoverService::start(settings, membership);
    tracing::info!(
        backups = settings.backups,
        "requests in flight are backed up"
    );
    Some(takeover)
}

/// Starts to exchange messages with other sidecars. Must be called after every user of the membership has registered
/// its message handlers.
fn run_membership(shell: &Shell) {
    let settings = shell.site.membership.as_ref();
    if let Some((settings, membership)) = settings.zip(shell.membership.as_ref()) {
        membership.run(settings.keys.clone());
    }
}

/// Starts the background tasks. They end when the returned set is dropped.
fn start_tasks(
    shell: &Rc<Shell>,
    seed: u64,
    lines: OutgoingLines,
    taken_over: Option<mpsc::UnboundedReceiver<Record>>,
) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn_local(shell.clone().run_timers());
    tasks.spawn_local(sweep_upstream(shell.clone()));
    tasks.spawn_local(endpoint_cache::run(shell.clone()));
    if let Some(taken_over) = taken_over {
        tasks.spawn_local(take_over(shell.clone(), taken_over));
    }
    let seed_of = |subscription: u64| seed ^ subscription;
    tasks.spawn_local(discovery::run(
        shell.clone(),
        seed_of(DISCOVERY_SEED),
        lines.discovery,
    ));
    tasks.spawn_local(control_plane::run(
        shell.clone(),
        seed_of(CONTROL_PLANE_SEED),
        lines.control_plane,
    ));
    tasks
}

async fn take_over(shell: Rc<Shell>, mut taken_over: mpsc::UnboundedReceiver<Record>) {
    while let Some(record) = taken_over.recv().await {
        protected_request::take_over(&shell, record);
    }
}

/// Closes connections to pods that have been idle too long or whose pods are no longer listed.
async fn sweep_upstream(shell: Rc<Shell>) {
    let half_idle = Duration::from_nanos(shell.site.upstream.idle_timeout / 2);
    let period = half_idle.max(MIN_SWEEP_PERIOD);
    loop {
        sleep(period).await;
        let pods = shell.listed_pods().into_iter();
        let listed: HashSet<SocketAddr> = pods.map(|pod| pod.address).collect();
        shell.upstream.sweep(&listed);
    }
}

/// The tasks that accept connections.
struct Listeners {
    clients: tokio::task::JoinHandle<()>,
    /// Set to true when no more clients are to be accepted.
    stopping: watch::Sender<bool>,
    /// Operators are served until the end: their connections get no shutdown signal, and close when this set is
    /// dropped.
    operators: JoinSet<()>,
    /// Kept alive, because a dropped sender would count as a shutdown signal for the connections of operators.
    _operators_stop: watch::Sender<bool>,
}

impl Listeners {
    fn start(shell: &Rc<Shell>, clients: TcpListener, operators: TcpListener) -> Listeners {
        let (stopping, stopped) = watch::channel(false);
        let connections = shell.site.listener.max_connections;
        let (clients_audience, operators_audience) = (Audience::Clients, Audience::Operators);
        let clients = accept(
            shell.clone(),
            clients,
            connections,
            clients_audience,
            stopped,
        );
        let (operators_stop, never_stopped) = watch::channel(false);
        let mut operator_tasks = JoinSet::new();
        operator_tasks.spawn_local(accept(
            shell.clone(),
            operators,
            MAX_OPERATOR_CONNECTIONS,
            operators_audience,
            never_stopped,
        ));
        Listeners {
            clients: spawn_local(clients),
            stopping,
            operators: operator_tasks,
            _operators_stop: operators_stop,
        }
    }

    /// Stops accepting clients, and waits until every connection has sent the responses that its client waits for and
    /// has closed.
    async fn stop(self, shell: &Shell) {
        shell.stopping.set(true);
        let _ = self.stopping.send(true);
        tracing::info!(hits_in_flight = shell.status().requests, "stopping");
        // No client can wait for a response longer than this.
        let longest = Duration::from_nanos(shell.engine().longest_client_timeout());
        let closed = timeout(longest + SHUTDOWN_MARGIN, self.clients).await;
        let left = shell.in_flight();
        if let Some(membership) = &shell.membership {
            membership.leave();
        }
        tracing::info!(
            all_closed = closed.is_ok(),
            hits_in_flight = left,
            "stopped"
        );
        drop(self.operators);
    }
}
