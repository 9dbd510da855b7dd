//! The shell of a sidecar: sockets, feeds and time around one engine, on one thread.

use crate::admin;
use crate::client_stream::ClientStream;
use crate::configuration::{self, Kept};
use crate::dispatcher::Dispatcher;
use crate::engine::{Engine, EngineSettings, EPOCH};
use crate::events::Observer;
use crate::exactly_once;
use crate::membership::{Fellowship, FellowshipError};
use crate::proxy::{self, Body};
use crate::routes::RouteTable;
use crate::takeover_service::Guard;
use crate::transport::{Lines, Shell};
use crate::upstream::Links;
use havenplank::interface::*;
use havenplank_configuration::store::StoreError;
use havenplank_line_protocol::client::{subscribe, Handler, Service};
use havenplank_line_protocol::control_plane::ClassTally;
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use havenplank_line_protocol::{control_plane, endpoint_list, ProtocolError};
use havenplank_settings::Site;
use hyper::header::{HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashSet;
use std::convert::Infallible;
use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, Notify, Semaphore};
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, timeout};

/// Lines that wait to be sent on a feed; one more counts as not sent.
const ASKS: usize = 64;
/// Connections of operators at once.
const ADMINS: usize = 64;
/// How long a connection that should close is left to HTTP while bytes lie unread on it.
const UNREAD: Duration = Duration::from_millis(2);
/// How long a stop waits, past the longest client time-out, for connections to close.
const STOP_MARGIN: Duration = Duration::from_secs(1);

#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error("listen on {address}: {error}; expected a free address of this machine")]
    Listen {
        address: SocketAddr,
        error: std::io::Error,
    },
    #[error("{0:?}: not a name that a Via header can carry")]
    Name(String),
    #[error("{0}")]
    Fellowship(#[from] FellowshipError),
    #[error("configuration.keep: {0}")]
    Configuration(#[from] StoreError),
}

/// Where a running sidecar listens.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub listen: SocketAddr,
    pub admin: SocketAddr,
}

/// Listens on an address, and tells which it is where the system chose the port.
///
/// # Errors
/// An address that is taken or not this machine's.
pub async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let bound = async {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        Ok((listener, address))
    };
    bound
        .await
        .map_err(|error| StartError::Listen { address, error })
}

/// What the system has accepted at a listener that closes. Asked of the system itself: dropped with its listener,
/// such a connection is reset, with a hit on it maybe. What comes between the last look and the drop is reset still.
pub fn take_queued_connections(listener: TcpListener) -> impl Iterator<Item = TcpStream> {
    let listener = listener.into_std().ok();
    std::iter::from_fn(move || loop {
        let accepted = listener.as_ref()?.accept().and_then(|(stream, _)| {
            stream.set_nonblocking(true)?;
            TcpStream::from_std(stream)
        });
        match accepted {
            Ok(stream) => return Some(stream),
            Err(error)
                if matches!(
                    error.kind(),
                    ErrorKind::ConnectionAborted | ErrorKind::Interrupted
                ) => {}
            Err(_) => return None,
        }
    })
}

/// Runs a sidecar on the present thread until `stop` is done; then takes no more hits, gives each that it
/// holds its one final answer, and returns. `ready` is called once it listens; `witness` sees all that the
/// engine is told and does. Needs a tokio runtime with
/// time and I/O, and a place for local tasks: a `LocalRuntime`, which is the cheaper, or a `LocalSet`. Shares
/// nothing with others in the process.
///
/// # Errors
/// An address that cannot be listened on. Feeds that are out of reach are no error: they are tried on.
pub async fn serve(
    site: Site,
    seed: u64,
    witness: Option<Box<dyn Observer>>,
    ready: impl FnOnce(Addresses),
    stop: impl Future<Output = ()>,
) -> Result<(), StartError> {
    let mut engine = Engine::new(EPOCH, seed, &EngineSettings::from(&site));
    if let Some(witness) = witness {
        engine = engine.with_observer(witness);
    }
    let kept = site
        .configuration
        .as_ref()
        .map(|settings| Kept::open(&settings.keep))
        .transpose()?;
    let (hits, at) = listen(site.door.listen).await?;
    let (admins, admin) = listen(site.door.admin).await?;
    let via = HeaderValue::from_str(&format!("1.1 {}", site.name));
    let via = via.map_err(|_| StartError::Name(site.name.clone()))?;
    let (nodes_asks, nodes_asked) = mpsc::channel(ASKS);
    let (desk_asks, desk_asked) = mpsc::channel(ASKS);
    let (stopping, stopped) = watch::channel(false);
    let timeout_header = HeaderName::try_from(&site.headers.timeout);
    let fellowship = match &site.fellowship {
        None => None,
        Some(settings) => {
            let zone = site.zones.get(site.place.zone).cloned().unwrap_or_default();
            let fellowship = Fellowship::bind(settings, &site.name, &zone).await?;
            let at = fellowship.at().map_or(String::new(), |at| at.to_string());
            tracing::info!(listen = at, "fellowship");
            Some(fellowship)
        }
    };
    let (guard, begins) = match site.takeover.as_ref().zip(fellowship.as_ref()) {
        None => (None, None),
        Some((settings, fellowship)) => {
            let (guard, begins) = Guard::start(settings, fellowship);
            tracing::info!(guardians = settings.guardians, "work in hand is guarded");
            (Some(guard), Some(begins))
        }
    };
    let routes = RouteTable::from_settings(&site.groups, engine.slots(), &site.tenants);
    let lines = Lines {
        routes: RefCell::new(Rc::new(routes)),
        configuration: OnceCell::new(),
        links: Links::new(&site.links),
        keep: Notify::new(),
        nodes_asks,
        desk_asks,
        desk_up: Cell::new(false),
        stopping: Cell::new(false),
        via,
        fellowship,
        guard,
        timeout_header: timeout_header.unwrap_or(HeaderName::from_static("grpc-timeout")),
        site,
    };
    let shell = Dispatcher::new(engine, lines);
    if let Some(kept) = kept {
        configuration::start(&shell, kept, seed);
    }
    let site = &shell.site;
    // Once all who talk have said which kinds they read.
    if let Some((settings, fellowship)) = site.fellowship.as_ref().zip(shell.fellowship.as_ref()) {
        fellowship.run(settings.keys.clone());
    }
    if let Some(path) = &site.kept_list {
        start_from_kept(&shell, path);
    }
    let mut tasks = JoinSet::new();
    tasks.spawn_local(shell.clone().run_timers());
    tasks.spawn_local(sweep_links(shell.clone()));
    tasks.spawn_local(keep_list(shell.clone()));
    if let Some(mut begins) = begins {
        let shell = shell.clone();
        tasks.spawn_local(async move {
            while let Some(record) = begins.recv().await {
                exactly_once::take_over(&shell, record);
            }
        });
    }
    let (nodes_at, desk_at, name) = (site.nodes.clone(), site.desk.clone(), site.name.clone());
    let (mut link, feed_name) = (NodesLink(shell.clone()), name.clone());
    tasks.spawn_local(async move {
        let service = Service {
            protocol: endpoint_list::PROTOCOL,
            address: nodes_at.address,
            max_line_bytes: nodes_at.line_bytes,
        };
        subscribe::<endpoint_list::NotificationParser>(
            service,
            &feed_name,
            seed ^ 1,
            nodes_asked,
            &mut link,
        )
        .await;
    });
    let (mut link, feed_name) = (DeskLink(shell.clone()), name);
    tasks.spawn_local(async move {
        let service = Service {
            protocol: control_plane::PROTOCOL,
            address: desk_at.address,
            max_line_bytes: desk_at.line_bytes,
        };
        subscribe::<control_plane::NotificationParser>(
            service,
            &feed_name,
            seed ^ 2,
            desk_asked,
            &mut link,
        )
        .await;
    });
    shell.call(|engine, now| engine.start(now));
    let connections = site.door.connections;
    let door = spawn_local(accept(shell.clone(), hits, connections, stopped, true));
    // Operators may look on until the end.
    let (_open, never) = watch::channel(false);
    tasks.spawn_local(accept(shell.clone(), admins, ADMINS, never, false));
    ready(Addresses { listen: at, admin });
    stop.await;
    shell.stopping.set(true);
    let _ = stopping.send(true);
    let longest = shell.engine().longest_time_out();
    let held = shell.status().requests;
    tracing::info!(hits_in_flight = held, "stopping");
    // Each connection ends with the answer it owes, and none can owe one longer than this.
    let closed = timeout(Duration::from_nanos(longest) + STOP_MARGIN, door).await;
    let left = shell.in_flight();
    if let Some(fellowship) = &shell.fellowship {
        fellowship.leave();
    }
    tracing::info!(
        all_closed = closed.is_ok(),
        hits_in_flight = left,
        "stopped"
    );
    Ok(())
}

/// Accepts connections until told to stop, and returns once all have closed.
async fn accept(
    shell: Rc<Shell>,
    listener: TcpListener,
    most: usize,
    stopped: watch::Receiver<bool>,
    hits: bool,
) {
    let places = Arc::new(Semaphore::new(most));
    let (mut open, mut told) = (JoinSet::new(), stopped.clone());
    let seat = |open: &mut JoinSet<()>, stream, place| {
        let (shell, stopped) = (shell.clone(), stopped.clone());
        open.spawn_local(async move {
            match hits {
                true => connection(&shell, stream, stopped, proxy::serve).await,
                false => connection(&shell, stream, stopped, admin::serve).await,
            }
            drop(place);
        });
    };
    loop {
        let next = async {
            let place = places.clone().acquire_owned().await;
            (place, listener.accept().await)
        };
        tokio::select! {
            _ = told.wait_for(|stopped| *stopped) => break,
            (place, accepted) = next => match accepted {
                Ok((stream, _)) => seat(&mut open, stream, place.ok()),
                // No descriptors left, most likely: what is open must close first, so wait a little.
                Err(error) => {
                    tracing::warn!(%error, "accept failed");
                    sleep(Duration::from_millis(50)).await;
                }
            },
            Some(_) = open.join_next() => {}
        }
    }
    for stream in take_queued_connections(listener) {
        // Closed unread where every place is taken: the client asks elsewhere.
        if let Ok(place) = places.clone().try_acquire_owned() {
            seat(&mut open, stream, Some(place));
        }
    }
    while open.join_next().await.is_some() {}
}

async fn connection<F, Fut>(
    shell: &Rc<Shell>,
    stream: TcpStream,
    mut stopped: watch::Receiver<bool>,
    serve: F,
) where
    F: Fn(Rc<Shell>, Request<hyper::body::Incoming>) -> Fut,
    Fut: Future<Output = Result<Response<Body>, Infallible>>,
{
    let _ = stream.set_nodelay(true);
    let (door, tap) = (&shell.site.door, ClientStream::new(stream));
    // Since when it waits for a head; none from a hit's reading until its answer is written.
    let idle = Cell::new(Some(Instant::now()));
    let service = service_fn(|request| {
        // The answer before it is settled by this one.
        let _ = tap.take_response_written();
        let _ = tap.take_request_began();
        idle.set(None);
        let (served, tap) = (serve(shell.clone(), request), &tap);
        async move { Ok::<_, Infallible>(served.await?.map(|body| tap.track_body(body))) }
    });
    // A client that reads nothing of its answer is waited for as one that sends nothing of its head.
    let waits = || {
        idle.set(tap.take_response_written().or(idle.get()));
        idle.get().or(tap.write_blocked_since())
    };
    let connection = http1::Builder::new()
        .max_buf_size(door.head_bytes)
        // A client that sends no more may still read: its hit gets its answer.
        .half_close(true)
        .serve_connection(TokioIo::new(tap.clone()), service);
    tokio::pin!(connection);
    let head_time = Duration::from_nanos(door.head_time);
    // One timer for all heads of a connection: one for each is a part of a hit's cost that shows.
    let slow = async {
        loop {
            let waited = waits().map_or(Duration::ZERO, |since| since.elapsed());
            if waited >= head_time {
                break;
            }
            sleep(head_time - waited).await;
        }
    };
    let ended = tokio::select! {
        ended = &mut connection => ended,
        () = slow => return,
        _ = stopped.wait_for(|stopped| *stopped) => {
            // A hit that lies unread in its socket is taken: asked to end, HTTP closes where it has read nothing.
            let unread = async {
                while waits().is_some() && tap.request_began().is_none() && tap.has_unread() {
                    sleep(UNREAD).await;
                }
            };
            tokio::select! {
                biased;
                _ = &mut connection => return,
                () = unread => {}
            }
            connection.as_mut().graceful_shutdown();
            // A head half sent is not taken any more; what is served is.
            let half = async {
                while waits().is_none() {
                    sleep(Duration::from_millis(50)).await;
                }
                sleep(head_time).await;
            };
            tokio::select! {
                ended = &mut connection => ended,
                () = half => return,
            }
        }
    };
    if let Err(error) = ended {
        tracing::debug!(%error, "connection ended");
    }
}

/// Takes in the list kept by an earlier life. Its pods' ages go on from when the file was written.
fn start_from_kept(shell: &Rc<Shell>, path: &Path) {
    let read = || -> Result<Vec<ListedEndpoint>, String> {
        let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
        let mut pods = endpoint_list::decode_cached(&text).map_err(|error| error.to_string())?;
        let written = std::fs::metadata(path).and_then(|meta| meta.modified());
        let age = written
            .ok()
            .and_then(|at| SystemTime::now().duration_since(at).ok())
            .unwrap_or_default();
        for pod in pods.iter_mut().filter(|pod| pod.age > 0) {
            pod.age = pod.age.saturating_add(age.as_nanos() as Nanos);
        }
        Ok(pods)
    };
    match read() {
        Ok(pods) => {
            tracing::info!(pods = pods.len(), "list kept by an earlier life taken in");
            shell.call(|engine, now| engine.update_endpoints(now, true, pods));
        }
        Err(why) => tracing::warn!(file = %path.display(), why, "no kept list"),
    }
}

async fn sweep_links(shell: Rc<Shell>) {
    let period = Duration::from_nanos(shell.site.links.idle / 2).max(Duration::from_millis(100));
    loop {
        sleep(period).await;
        let listed: HashSet<SocketAddr> = shell
            .listed_pods()
            .into_iter()
            .map(|pod| pod.address)
            .collect();
        shell.links.sweep(&listed);
    }
}

/// Writes the list beside its file and moves it there, so that a kill leaves the old one or the new one.
async fn keep_list(shell: Rc<Shell>) {
    let Some(path) = shell.site.kept_list.clone() else {
        return;
    };
    loop {
        shell.keep.notified().await;
        let text = endpoint_list::encode_cached(&shell.listed_pods());
        let path = path.clone();
        let written = tokio::task::spawn_blocking(move || {
            let mut beside = path.clone().into_os_string();
            beside.push(".new");
            std::fs::write(&beside, text).and_then(|()| std::fs::rename(&beside, &path))
        });
        if let Ok(Err(error)) = written.await {
            tracing::warn!(%error, "the list could not be kept");
        }
    }
}

struct NodesLink(Rc<Shell>);

impl Handler<endpoint_list::Notification> for NodesLink {
    fn connected(&mut self) {
        tracing::info!("node list connected");
    }

    fn received(&mut self, call: endpoint_list::Notification) {
        call(&mut NodesHeard(&self.0));
    }

    /// The last list stays in force.
    fn disconnected(&mut self, why: &ProtocolError) {
        tracing::warn!(%why, "node list lost");
        self.0.call(|engine, now| engine.endpoint_watch_failed(now));
    }

    fn unsent(&mut self, _line: String) {
        self.0.call(|engine, now| engine.endpoint_watch_failed(now));
    }
}

struct NodesHeard<'a>(&'a Rc<Shell>);

impl endpoint_list::Subscriber for NodesHeard<'_> {
    fn update_endpoints(&mut self, whole: bool, pods: Vec<ListedEndpoint>) {
        tracing::debug!(whole, pods = pods.len(), "node list");
        self.0
            .call(|engine, now| engine.update_endpoints(now, whole, pods));
        self.0.keep.notify_one();
    }

    fn poll_failed(&mut self, why: &str) {
        tracing::warn!(why, "node list failed");
        self.0.call(|engine, now| engine.endpoint_watch_failed(now));
    }
}

struct DeskLink(Rc<Shell>);

impl Handler<control_plane::Notification> for DeskLink {
    fn connected(&mut self) {
        tracing::info!("release desk connected");
        self.0.desk_up.set(true);
    }

    fn received(&mut self, call: control_plane::Notification) {
        call(&mut DeskHeard(&self.0));
    }

    /// The last stage stays in force; votes that are out have their time to be answered.
    fn disconnected(&mut self, why: &ProtocolError) {
        tracing::warn!(%why, "release desk lost");
        self.0.desk_up.set(false);
    }

    fn unsent(&mut self, _line: String) {}
}

struct DeskHeard<'a>(&'a Rc<Shell>);

impl control_plane::Subscriber for DeskHeard<'_> {
    fn update_stage(&mut self, stage: Stage) {
        let Stage {
            build,
            stage: number,
            phase,
            cap,
            ..
        } = stage;
        tracing::info!(build, stage = number, ?phase, cap, "stage");
        self.0.call(|engine, now| engine.update_stage(now, stage));
    }

    fn vote_answered(&mut self, vote: u64, news: VoteReply) {
        tracing::info!(vote, heard = ?news.receipt, "vote answered");
        self.0
            .call(|engine, now| engine.vote_answered(now, vote, news));
    }

    fn update_tally(&mut self, tally: ClassTally) {
        let (build, group) = (tally.build, tally.class);
        let (counts, mean, age) = ((tally.count, tally.failed), tally.mean_latency, tally.age);
        if !self
            .0
            .call(|engine, now| engine.update_tally(now, build, &group, counts, mean, age))
        {
            tracing::info!(group, "tally of an unknown path group passed over");
        }
    }

    fn report_fault(&mut self, pod: String, group: String, ago: Nanos) {
        if !self.0.report_fault(&pod, &group, ago) {
            tracing::info!(
                pod,
                group,
                "flagged answer of an unknown pod or path group passed over"
            );
        }
    }
}
