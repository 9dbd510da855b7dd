//! An emulated pod behind a real socket: cores, a queue, a slow start, and faults that a scenario injects.

use crate::ledger_writer::LedgerWriter;
use bytes::Bytes;
use havenplank::interface::{Build, DedupScope, Nanos};
use havenplank_invariants::ledger::{LedgerEvent, SlowStart};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, VIA};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use oorandom::Rand64;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::task::{spawn_local, JoinSet};
use tokio::time::sleep;

/// Header of a request's number in the ledger (`ask`); each retry of a client has a new one.
pub const REQUEST_HEADER: &str = "x-ask";
/// Header of the work that a request needs, in microseconds of a core.
pub const WORK_HEADER: &str = "x-work-us";
/// Header of a request's route class, by index.
pub const CLASS_HEADER: &str = "x-group";
/// Header of a pod's rejection, as the proof that the request did not run.
pub const UNPROCESSED_HEADER: &str = "x-never-ran";
/// Header that marks a wrong answer for the emulated client; sidecars do not interpret it.
pub const WRONG_ANSWER_HEADER: &str = "x-wrong";
/// Header of the idempotency key.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header of a load report.
const LOAD_REPORT_HEADER: &str = "endpoint-load-metrics";
/// How often a pod checks whether it must refuse connections.
const REFUSE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The capacity of the machine that a pod runs on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Machine {
    /// Requests that run at one time.
    pub cores: usize,
    /// Nanoseconds of work that a warm core does in a nanosecond.
    pub speed: f64,
    /// Maximum number of requests that wait for a core; one more is rejected without running.
    pub queue: usize,
    /// Share of its capacity that a pod has at its start.
    pub initial_capacity: f64,
    /// How long the slow start takes, in nanoseconds.
    pub warm_up: Nanos,
    /// Maximum work that a warming pod can receive within the window without failing, as a multiple of its capacity.
    pub overload_multiple: f64,
    /// The window over which that work is summed, in nanoseconds.
    pub overload_window: Nanos,
}

/// Faults of a pod or a build; all shares are from 0 to 1. Logs show the names of the fields.
#[derive(Clone, Debug, PartialEq)]
pub struct Faults {
    /// No request gets an answer.
    pub hang: bool,
    /// Share of requests that end in a server error.
    pub error: f64,
    /// The only route class with errors; all classes if not set.
    pub error_group: Option<usize>,
    /// Share of answers that are wrong.
    pub wrong: f64,
    /// Factor on the time that work takes.
    pub slow: f64,
    /// Factor on the time that work takes while more than half of the cores are busy.
    pub slow_busy: f64,
    /// Share of requests whose connection closes before they run.
    pub reset_before: f64,
    /// Share of requests whose connection closes after they ran.
    pub reset_after: f64,
    /// Share of requests that run and get no answer.
    pub lose_answer: f64,
    /// How long a new connection waits before it is served, in nanoseconds.
    pub slow_connect: Nanos,
    /// New connections are refused; open ones stay.
    pub refuse: bool,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            hang: false,
            error: 0.0,
            error_group: None,
            wrong: 0.0,
            slow: 1.0,
            slow_busy: 1.0,
            reset_before: 0.0,
            reset_after: 0.0,
            lose_answer: 0.0,
            slow_connect: 0,
            refuse: false,
        }
    }
}

impl Faults {
    /// Combines two sets of faults.
    pub fn with(&self, other: &Faults) -> Faults {
        let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
        Faults {
            hang: self.hang || other.hang,
            error: either(self.error, other.error),
            error_group: self.error_group.or(other.error_group),
            wrong: either(self.wrong, other.wrong),
            slow: self.slow * other.slow,
            slow_busy: self.slow_busy * other.slow_busy,
            reset_before: either(self.reset_before, other.reset_before),
            reset_after: either(self.reset_after, other.reset_after),
            lose_answer: either(self.lose_answer, other.lose_answer),
            slow_connect: self.slow_connect.max(other.slow_connect),
            refuse: self.refuse || other.refuse,
        }
    }
}

/// An idempotency key within its route class.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ScopedKey {
    key: String,
    route_class: usize,
}

/// Number of additions to [`SeenKeys`] between two removals of expired keys.
const EXPIRE_EVERY: u32 = 1_000;

/// Idempotency keys of requests that ran, shared by the pods that drop each other's repeats.
#[derive(Default)]
pub struct SeenKeys {
    /// When each key expires; bounded by the requests of a window and [`EXPIRE_EVERY`].
    seen: RefCell<HashMap<ScopedKey, Nanos>>,
    added: Cell<u32>,
}

impl SeenKeys {
    /// Remembers a key for the window; returns whether it is new.
    fn insert(&self, now: Nanos, key: ScopedKey, window: Nanos) -> bool {
        let mut seen = self.seen.borrow_mut();
        self.added.set(self.added.get() + 1);
        if self.added.get().is_multiple_of(EXPIRE_EVERY) {
            seen.retain(|_, expiry| *expiry >= now);
        }
        if seen.get(&key).is_some_and(|expiry| *expiry >= now) {
            return false;
        }
        seen.insert(key, now + window);
        true
    }
}

/// What a pod needs to know of a route class.
#[derive(Clone, Debug)]
pub struct ServedClass {
    /// Among which pods repeats are dropped.
    pub scope: DedupScope,
    /// Whether requests carry an idempotency key.
    pub keyed: bool,
    /// How long a repeat is dropped, in nanoseconds.
    pub dedup_window: Nanos,
}

/// The identity of a pod and where it runs.
#[derive(Clone, Debug)]
pub struct PodIdentity {
    /// Its name, unique in a scenario.
    pub name: String,
    /// Its incarnation: the number of its start, counted over all pods.
    pub incarnation: u64,
    /// The build that it runs.
    pub build: Build,
    /// The zone that it runs in.
    pub zone: String,
    /// Its cell, the narrowest scope of deduplication.
    pub cell: i64,
}

/// Work that reached a pod, and when.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Nanos,
    work: Nanos,
}

/// Work that reached a pod within the overload window.
#[derive(Debug, Default)]
struct RecentWork {
    /// Bounded by the requests of one window.
    arrivals: VecDeque<Arrival>,
    sum: f64,
}

impl RecentWork {
    /// Adds work, forgets what is older than the window, and returns the sum.
    fn add(&mut self, now: Nanos, work: Nanos, window: Nanos) -> f64 {
        self.arrivals.push_back(Arrival { at: now, work });
        self.sum += work as f64;
        let old = |arrival: &mut Arrival| arrival.at + window < now;
        while let Some(arrival) = self.arrivals.pop_front_if(old) {
            self.sum -= arrival.work as f64;
        }
        self.sum
    }
}

/// An emulated pod.
pub struct Pod {
    /// Its identity and where it runs.
    pub identity: PodIdentity,
    /// The machine that it runs on.
    pub machine: Machine,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// When it started.
    pub started_at: Nanos,
    /// Faults that the scenario injects for a time.
    pub faults: RefCell<Faults>,
    /// Faults of its build.
    pub build_faults: RefCell<Faults>,
    /// Factor by which a resource that all pods share slows them.
    pub shared_slowdown: Rc<Cell<f64>>,
    /// Whether it rejects new requests.
    pub draining: Cell<bool>,
    ledger: LedgerWriter,
    route_classes: Rc<Vec<ServedClass>>,
    /// The idempotency keys seen, by [`DedupScope`].
    seen_keys: [Rc<SeenKeys>; 3],
    cores: Semaphore,
    queued: Cell<usize>,
    /// Number of requests that run now.
    pub running: Cell<usize>,
    /// Attempts that arrived since the fleet last counted them.
    pub attempts: Cell<u64>,
    recent_work: RefCell<RecentWork>,
    random: RefCell<Rand64>,
    down: watch::Sender<bool>,
}

/// How an attempt ends.
enum Outcome {
    Answer(Response<Full<Bytes>>),
    /// The connection closes with no answer.
    Reset,
    /// No answer comes, and the connection stays open.
    Hang,
}

/// An attempt as its headers describe it.
struct Attempt {
    id: u64,
    work: Nanos,
    route_class: usize,
    sidecar: String,
    idempotency_key: String,
}

impl Attempt {
    fn read(headers: &HeaderMap) -> Attempt {
        let text = |name: &str| headers.get(name)?.to_str().ok();
        let number = |name: &str| text(name)?.parse::<u64>().ok();
        Attempt {
            id: number(REQUEST_HEADER).unwrap_or(0),
            work: number(WORK_HEADER).unwrap_or(1_000) * 1_000,
            route_class: number(CLASS_HEADER).unwrap_or(0) as usize,
            sidecar: via(headers),
            idempotency_key: text(IDEMPOTENCY_KEY_HEADER).unwrap_or_default().to_string(),
        }
    }
}

impl Pod {
    /// Starts a pod on an address that the system chooses, and serves until [`Pod::kill`].
    ///
    /// # Errors
    /// No socket can be bound.
    #[allow(clippy::too_many_arguments)] // called only by the fleet, with a different value for each
    pub async fn start(
        identity: PodIdentity,
        machine: Machine,
        route_classes: Rc<Vec<ServedClass>>,
        seen_keys: [Rc<SeenKeys>; 3],
        shared_slowdown: Rc<Cell<f64>>,
        build_faults: Faults,
        seed: u64,
        ledger: LedgerWriter,
    ) -> std::io::Result<Rc<Pod>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let slow_start = SlowStart {
            capacity: machine.cores as f64 * machine.speed * 1e9,
            initial_share: machine.initial_capacity,
            warm_up: machine.warm_up,
        };
        let PodIdentity {
            name,
            incarnation,
            build,
            zone,
            cell,
        } = identity.clone();
        let started_at = ledger.write(LedgerEvent::PodStarted {
            pod: name,
            incarnation,
            build,
            zone,
            cell,
            slow_start,
        });
        let pod = Rc::new(Pod {
            identity,
            machine,
            address: listener.local_addr()?,
            started_at,
            faults: RefCell::default(),
            build_faults: RefCell::new(build_faults),
            shared_slowdown,
            draining: Cell::new(false),
            ledger,
            route_classes,
            seen_keys,
            cores: Semaphore::new(machine.cores),
            queued: Cell::new(0),
            running: Cell::new(0),
            attempts: Cell::new(0),
            recent_work: RefCell::default(),
            random: RefCell::new(Rand64::new(seed as u128)),
            down: watch::Sender::new(false),
        });
        spawn_local(accept(pod.clone(), listener));
        Ok(pod)
    }

    /// Ends the pod at once: its connections break and it stops listening.
    pub fn kill(&self) {
        self.down.send_replace(true);
    }

    /// Whether the pod was killed or failed under load.
    pub fn is_down(&self) -> bool {
        *self.down.borrow()
    }

    /// Time since the pod's start.
    pub fn age(&self) -> Nanos {
        self.ledger.now().saturating_sub(self.started_at)
    }

    /// The share of its capacity that the pod has at its age.
    fn capacity_share(&self) -> f64 {
        let warm = (self.age() as f64 / self.machine.warm_up.max(1) as f64).min(1.0);
        self.machine.initial_capacity + (1.0 - self.machine.initial_capacity) * warm
    }

    /// Draws whether a fault with this share of requests happens.
    fn draw_fault(&self, share: f64) -> bool {
        share > 0.0 && self.random.borrow_mut().rand_float() < share
    }

    /// Counts work that reached the pod; a warming pod that receives too much fails permanently.
    fn add_load(&self, work: Nanos) {
        let window = self.machine.overload_window;
        let now = self.ledger.now();
        let recent = self.recent_work.borrow_mut().add(now, work, window);
        let capacity = self.machine.cores as f64 * self.machine.speed * self.capacity_share();
        let budget = self.machine.overload_multiple * capacity * window as f64;
        if self.age() < self.machine.warm_up && recent > budget && !self.is_down() {
            self.ledger.write(LedgerEvent::PodOverloaded {
                pod: self.identity.name.clone(),
                incarnation: self.identity.incarnation,
            });
            self.kill();
        }
    }

    /// Receives an attempt, and rejects it or runs it to its end.
    async fn receive(self: &Rc<Self>, request: Request<Incoming>) -> Outcome {
        let faults = self.faults.borrow().with(&self.build_faults.borrow());
        let (parts, body) = request.into_parts();
        if body.collect().await.is_err() {
            return Outcome::Reset;
        }
        let attempt = Attempt::read(&parts.headers);
        self.attempts.set(self.attempts.get() + 1);
        self.ledger.write(LedgerEvent::Arrived {
            ask: attempt.id,
            sidecar: attempt.sidecar.clone(),
            pod: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            work: attempt.work,
        });
        self.add_load(attempt.work);
        if self.is_down() {
            return Outcome::Reset;
        }
        let all_busy = self.cores.available_permits() == 0;
        if self.draining.get() || (all_busy && self.queued.get() >= self.machine.queue) {
            return self.reject(&attempt);
        }
        if faults.hang {
            return Outcome::Hang;
        }
        if self.draw_fault(faults.reset_before) {
            return Outcome::Reset;
        }
        // The work runs in a task of its own, so that it continues when the client closes the connection.
        let pod = self.clone();
        let ran = spawn_local(async move { pod.run(attempt, &faults).await });
        ran.await.unwrap_or(Outcome::Reset)
    }

    fn reject(&self, attempt: &Attempt) -> Outcome {
        self.ledger.write(LedgerEvent::Unprocessed {
            ask: attempt.id,
            pod: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
        });
        let mut answer = Response::new(Full::new(Bytes::new()));
        *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        let headers = answer.headers_mut();
        headers.insert(UNPROCESSED_HEADER, HeaderValue::from_static("1"));
        Outcome::Answer(answer)
    }

    /// Runs an attempt and ends it as the faults say.
    async fn run(&self, attempt: Attempt, faults: &Faults) -> Outcome {
        self.work(attempt.work, faults).await;
        if self.is_down() {
            return Outcome::Reset;
        }
        let is_first = self.is_first(&attempt);
        let class = attempt.route_class;
        let affected = faults.error_group.is_none_or(|failing| failing == class);
        let fails = affected && self.draw_fault(faults.error);
        if is_first && !fails {
            self.ledger.write(LedgerEvent::TookEffect {
                ask: attempt.id,
                pod: self.identity.name.clone(),
                incarnation: self.identity.incarnation,
            });
        }
        if self.draw_fault(faults.reset_after) {
            return Outcome::Reset;
        }
        if self.draw_fault(faults.lose_answer) {
            return Outcome::Hang;
        }
        if fails {
            let mut answer = success_response();
            *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            return Outcome::Answer(answer);
        }
        let answer = self.answer(faults);
        self.ledger.write(LedgerEvent::Succeeded {
            ask: attempt.id,
            pod: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
        });
        Outcome::Answer(answer)
    }

    /// Waits for a core and occupies it for as long as the work takes.
    async fn work(&self, work: Nanos, faults: &Faults) {
        self.queued.set(self.queued.get() + 1);
        let core = self.cores.acquire().await;
        self.queued.set(self.queued.get() - 1);
        self.running.set(self.running.get() + 1);
        let more_than_half = self.running.get() * 2 > self.machine.cores;
        let slow_busy = if more_than_half {
            faults.slow_busy
        } else {
            1.0
        };
        let speed = self.machine.speed * self.capacity_share()
            / (faults.slow * slow_busy * self.shared_slowdown.get());
        sleep(Duration::from_nanos((work as f64 / speed.max(0.01)) as u64)).await;
        self.running.set(self.running.get() - 1);
        drop(core);
    }

    /// Whether the attempt takes effect: it is not a repeat that the pods of its scope drop.
    fn is_first(&self, attempt: &Attempt) -> bool {
        let class = self.route_classes.get(attempt.route_class);
        let Some(class) = class.filter(|class| class.keyed) else {
            return true;
        };
        let key = ScopedKey {
            key: attempt.idempotency_key.clone(),
            route_class: attempt.route_class,
        };
        let seen_keys = &self.seen_keys[class.scope as usize];
        seen_keys.insert(self.ledger.now(), key, class.dedup_window)
    }

    /// A successful answer with a load report. The share [`Faults::wrong`] of answers is marked as wrong for the
    /// emulated client.
    fn answer(&self, faults: &Faults) -> Response<Full<Bytes>> {
        let mut answer = success_response();
        let load = format!(
            "TEXT cpu_utilization={:.3}, named_metrics.in_flight={}",
            self.running.get() as f64 / self.machine.cores as f64,
            self.running.get() + self.queued.get()
        );
        let headers = answer.headers_mut();
        if let Ok(load) = HeaderValue::from_str(&load) {
            headers.insert(LOAD_REPORT_HEADER, load);
        }
        if self.draw_fault(faults.wrong) {
            headers.insert(WRONG_ANSWER_HEADER, HeaderValue::from_static("1"));
        }
        answer
    }
}

fn success_response() -> Response<Full<Bytes>> {
    Response::new(Full::new(Bytes::from_static(b"found\n")))
}

/// The name of the sidecar that forwarded a request, from its last `Via` header.
fn via(headers: &HeaderMap) -> String {
    let last = headers
        .get_all(VIA)
        .iter()
        .next_back()
        .and_then(|via| via.to_str().ok());
    last.and_then(|via| via.rsplit(' ').next())
        .unwrap_or_default()
        .to_string()
}

/// Error of a service that closes the connection, so that the client gets no answer.
#[derive(Debug, thiserror::Error)]
#[error("reset on purpose")]
struct DeliberateReset;

/// Accepts connections until the pod is down; then all of them break.
async fn accept(pod: Rc<Pod>, listener: TcpListener) {
    let mut down = pod.down.subscribe();
    let mut connections = JoinSet::new();
    let mut listener = Some(listener);
    while !pod.is_down() {
        if pod.faults.borrow().refuse {
            listener = None;
        } else if listener.is_none() {
            listener = TcpListener::bind(pod.address).await.ok();
        }
        let Some(listener) = &listener else {
            sleep(REFUSE_CHECK_INTERVAL).await;
            continue;
        };
        tokio::select! {
            () = sleep(REFUSE_CHECK_INTERVAL) => {}
            _ = down.wait_for(|down| *down) => break,
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn_local(serve_connection(pod.clone(), stream));
            }
            Some(_) = connections.join_next() => {}
        }
    }
    // Dropping the set closes all connections.
}

async fn serve_connection(pod: Rc<Pod>, stream: TcpStream) {
    let wait = pod.faults.borrow().slow_connect;
    if wait > 0 {
        sleep(Duration::from_nanos(wait)).await;
    }
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let pod = pod.clone();
        async move {
            match pod.receive(request).await {
                Outcome::Answer(answer) => Ok(answer),
                Outcome::Reset => Err(DeliberateReset),
                Outcome::Hang => std::future::pending().await,
            }
        }
    });
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
