//! A pod as a model behind a real socket: cores, a queue, a cold start, and faults that a script turns on.

use crate::book::Book;
use bytes::Bytes;
use havenplank::interface::{Build, DedupScope, Nanos};
use havenplank_invariants::ledger::{Cold, Seen};
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
use tokio::net::TcpListener;
use tokio::sync::{watch, Semaphore};
use tokio::task::{spawn_local, JoinSet};
use tokio::time::sleep;

pub const ASK: &str = "x-ask";
pub const WORK: &str = "x-work-us";
pub const GROUP: &str = "x-group";
pub const UNSEEN: &str = "x-never-ran";
/// Tells the client's stand-in, and nobody else, that an answer is wrong.
pub const WRONG: &str = "x-wrong";
const MARK: &str = "idempotency-key";
/// How often a pod looks whether it is to refuse connections.
const LOOKS: Duration = Duration::from_millis(20);

/// What kind of machine a pod runs on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Machine {
    pub cores: usize,
    pub speed: f64,
    /// Hits that wait for a core, at most; one more is turned away unseen.
    pub queue: usize,
    pub initial_capacity: f64,
    pub warm_up: Nanos,
    pub overload_multiple: f64,
    pub overload_window: Nanos,
}

/// What may be wrong with a pod or a build; all shares from 0 to 1.
#[derive(Clone, Debug, PartialEq)]
pub struct Faults {
    pub hang: bool,
    pub error: f64,
    /// Errors of one path group only.
    pub error_group: Option<usize>,
    pub wrong: f64,
    pub slow: f64,
    /// Slow only while more than half of its cores are busy.
    pub slow_busy: f64,
    pub reset_before: f64,
    pub reset_after: f64,
    pub lose_answer: f64,
    pub slow_connect: Nanos,
    /// Nothing listens; connections that are open go on.
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
    /// Both at once.
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

/// Marks of hits that took effect, shared by the pods that drop each other's repeats.
#[derive(Default)]
pub struct Marks {
    /// Until when a repeat is dropped; emptied of what has passed once a thousand were added.
    seen: RefCell<HashMap<(String, usize), Nanos>>,
    added: Cell<u32>,
}

impl Marks {
    /// Whether this mark is new, and remembers it.
    fn first(&self, now: Nanos, mark: (String, usize), window: Nanos) -> bool {
        let mut seen = self.seen.borrow_mut();
        self.added.set(self.added.get() + 1);
        if self.added.get().is_multiple_of(1_000) {
            seen.retain(|_, until| *until >= now);
        }
        if seen.get(&mark).is_some_and(|until| *until >= now) {
            return false;
        }
        seen.insert(mark, now + window);
        true
    }
}

/// What a pod must know of a path group.
#[derive(Clone, Debug)]
pub struct Served {
    pub scope: DedupScope,
    pub tagged: bool,
    pub dedup_window: Nanos,
}

/// Who a pod is.
#[derive(Clone, Debug)]
pub struct Who {
    pub name: String,
    pub life: u64,
    pub build: Build,
    pub zone: String,
    pub cell: i64,
}

pub struct Pod {
    pub who: Who,
    pub machine: Machine,
    pub address: SocketAddr,
    pub up_at: Nanos,
    pub faults: RefCell<Faults>,
    pub build_faults: RefCell<Faults>,
    /// Slowness of what all pods share.
    pub shared: Rc<Cell<f64>>,
    pub draining: Cell<bool>,
    book: Book,
    groups: Rc<Vec<Served>>,
    marks: [Rc<Marks>; 3],
    cores: Semaphore,
    queued: Cell<usize>,
    pub busy: Cell<usize>,
    pub forwards: Cell<u64>,
    recent: RefCell<(VecDeque<(Nanos, Nanos)>, f64)>,
    chance: RefCell<Rand64>,
    down: watch::Sender<bool>,
}

enum Done {
    Answer(Response<Full<Bytes>>),
    /// The connection closes with no answer.
    Reset,
    Never,
}

impl Pod {
    /// Starts a pod on an address that the system chooses, and serves until [`Pod::kill`].
    ///
    /// # Errors
    /// No address to be had.
    #[allow(clippy::too_many_arguments)]
    pub async fn start(
        who: Who,
        machine: Machine,
        groups: Rc<Vec<Served>>,
        marks: [Rc<Marks>; 3],
        shared: Rc<Cell<f64>>,
        build_faults: Faults,
        seed: u64,
        book: Book,
    ) -> std::io::Result<Rc<Pod>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let cold = Cold {
            capacity: machine.cores as f64 * machine.speed * 1e9,
            share: machine.initial_capacity,
            warm_up: machine.warm_up,
        };
        let Who {
            name,
            life,
            build,
            zone,
            cell,
        } = who.clone();
        let up_at = book.write(Seen::PodUp {
            pod: name,
            life,
            build,
            zone,
            cell,
            cold,
        });
        let pod = Rc::new(Pod {
            who,
            machine,
            address: listener.local_addr()?,
            up_at,
            faults: RefCell::default(),
            build_faults: RefCell::new(build_faults),
            shared,
            draining: Cell::new(false),
            book,
            groups,
            marks,
            cores: Semaphore::new(machine.cores),
            queued: Cell::new(0),
            busy: Cell::new(0),
            forwards: Cell::new(0),
            recent: RefCell::default(),
            chance: RefCell::new(Rand64::new(seed as u128)),
            down: watch::Sender::new(false),
        });
        spawn_local(accept(pod.clone(), listener));
        Ok(pod)
    }

    /// Ends it at once: connections break, nothing listens there any more.
    pub fn kill(&self) {
        self.down.send_replace(true);
    }

    pub fn is_down(&self) -> bool {
        *self.down.borrow()
    }

    pub fn age(&self) -> Nanos {
        self.book.now().saturating_sub(self.up_at)
    }

    fn warmth(&self) -> f64 {
        let warm = (self.age() as f64 / self.machine.warm_up.max(1) as f64).min(1.0);
        self.machine.initial_capacity + (1.0 - self.machine.initial_capacity) * warm
    }

    fn happens(&self, share: f64) -> bool {
        share > 0.0 && self.chance.borrow_mut().rand_float() < share
    }

    /// Counts work that reached it; a cold pod that gets too much falls over and stays down.
    fn bear(&self, work: Nanos) {
        let (now, window) = (self.book.now(), self.machine.overload_window);
        let (recent, sum) = &mut *self.recent.borrow_mut();
        recent.push_back((now, work));
        *sum += work as f64;
        while let Some((_, old)) = recent.pop_front_if(|(at, _)| *at + window < now) {
            *sum -= old as f64;
        }
        let capacity = self.machine.cores as f64 * self.machine.speed * self.warmth();
        let budget = self.machine.overload_multiple * capacity * window as f64;
        if self.age() < self.machine.warm_up && *sum > budget && !self.is_down() {
            self.book.write(Seen::PodFell {
                pod: self.who.name.clone(),
                life: self.who.life,
            });
            self.kill();
        }
    }

    async fn hit(self: &Rc<Self>, request: Request<Incoming>) -> Done {
        let faults = self.faults.borrow().with(&self.build_faults.borrow());
        let (parts, body) = request.into_parts();
        if body.collect().await.is_err() {
            return Done::Reset;
        }
        let number = |name: &str| parts.headers.get(name)?.to_str().ok()?.parse::<u64>().ok();
        let (ask, work) = (
            number(ASK).unwrap_or(0),
            number(WORK).unwrap_or(1_000) * 1_000,
        );
        let group = number(GROUP).unwrap_or(0) as usize;
        let (pod, life) = (self.who.name.clone(), self.who.life);
        let sidecar = via(&parts.headers);
        self.forwards.set(self.forwards.get() + 1);
        self.book.write(Seen::Arrived {
            ask,
            sidecar,
            pod: pod.clone(),
            life,
            work,
        });
        self.bear(work);
        if self.is_down() {
            return Done::Reset;
        }
        let waits = self.cores.available_permits() == 0;
        if self.draining.get() || (waits && self.queued.get() >= self.machine.queue) {
            self.book.write(Seen::Unseen { ask, pod, life });
            let mut answer = Response::new(Full::new(Bytes::new()));
            *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            answer
                .headers_mut()
                .insert(UNSEEN, HeaderValue::from_static("1"));
            return Done::Answer(answer);
        }
        if faults.hang {
            return Done::Never;
        }
        if self.happens(faults.reset_before) {
            return Done::Reset;
        }
        // Once begun, work goes on whether or not anyone still waits for it.
        let (pod, headers) = (self.clone(), parts.headers);
        let ran = spawn_local(async move { pod.run(ask, work, group, &headers, &faults).await });
        ran.await.unwrap_or(Done::Reset)
    }

    async fn run(
        &self,
        ask: u64,
        work: Nanos,
        group: usize,
        headers: &HeaderMap,
        faults: &Faults,
    ) -> Done {
        self.queued.set(self.queued.get() + 1);
        let core = self.cores.acquire().await;
        self.queued.set(self.queued.get() - 1);
        self.busy.set(self.busy.get() + 1);
        let crowded = self.busy.get() * 2 > self.machine.cores;
        let busy = if crowded { faults.slow_busy } else { 1.0 };
        let pace = self.machine.speed * self.warmth() / (faults.slow * busy * self.shared.get());
        sleep(Duration::from_nanos((work as f64 / pace.max(0.01)) as u64)).await;
        self.busy.set(self.busy.get() - 1);
        drop(core);
        if self.is_down() {
            return Done::Reset;
        }
        let (pod, life) = (self.who.name.clone(), self.who.life);
        let served = self.groups.get(group);
        let mark = headers
            .get(MARK)
            .and_then(|mark| mark.to_str().ok())
            .unwrap_or_default()
            .to_string();
        let fresh = served.filter(|served| served.tagged).is_none_or(|served| {
            let marks = &self.marks[served.scope as usize];
            marks.first(self.book.now(), (mark, group), served.dedup_window)
        });
        let mine = faults.error_group.is_none_or(|failing| failing == group);
        let fails = mine && self.happens(faults.error);
        if fresh && !fails {
            self.book.write(Seen::Ran {
                ask,
                pod: pod.clone(),
                life,
            });
        }
        if self.happens(faults.reset_after) {
            return Done::Reset;
        }
        if self.happens(faults.lose_answer) {
            return Done::Never;
        }
        let mut answer = Response::new(Full::new(Bytes::from_static(b"found\n")));
        if fails {
            *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            return Done::Answer(answer);
        }
        let load = format!(
            "TEXT cpu_utilization={:.3}, named_metrics.in_flight={}",
            self.busy.get() as f64 / self.machine.cores as f64,
            self.busy.get() + self.queued.get()
        );
        if let Ok(load) = HeaderValue::from_str(&load) {
            answer.headers_mut().insert("endpoint-load-metrics", load);
        }
        if self.happens(faults.wrong) {
            answer
                .headers_mut()
                .insert(WRONG, HeaderValue::from_static("1"));
        }
        self.book.write(Seen::Gave { ask, pod, life });
        Done::Answer(answer)
    }
}

/// The sidecar that forwarded, as the last `Via` names it.
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

/// A connection that is closed from within an answer shows the client no answer at all.
#[derive(Debug, thiserror::Error)]
#[error("reset on purpose")]
struct OnPurpose;

async fn accept(pod: Rc<Pod>, listener: TcpListener) {
    let mut down = pod.down.subscribe();
    let mut open = JoinSet::new();
    let mut listener = Some(listener);
    while !pod.is_down() {
        if pod.faults.borrow().refuse {
            listener = None;
        } else if listener.is_none() {
            listener = TcpListener::bind(pod.address).await.ok();
        }
        let Some(listener) = &listener else {
            sleep(LOOKS).await;
            continue;
        };
        tokio::select! {
            () = sleep(LOOKS) => {}
            _ = down.wait_for(|down| *down) => break,
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let pod = pod.clone();
                open.spawn_local(async move {
                    let wait = pod.faults.borrow().slow_connect;
                    if wait > 0 {
                        sleep(Duration::from_nanos(wait)).await;
                    }
                    let _ = stream.set_nodelay(true);
                    let service = service_fn(|request| {
                        let pod = pod.clone();
                        async move {
                            match pod.hit(request).await {
                                Done::Answer(answer) => Ok(answer),
                                Done::Reset => Err(OnPurpose),
                                Done::Never => std::future::pending().await,
                            }
                        }
                    });
                    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
            Some(_) = open.join_next() => {}
        }
    }
    // Dropping the set breaks every connection.
}
