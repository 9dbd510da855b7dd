//! Clients: they ask at their own pace, wait as long as they said, try again where that is harmless, leave.

use crate::book::Book;
use crate::notation::Day;
use crate::pod::{ASK, GROUP, WORK, WRONG};
use bytes::Bytes;
use havenplank::interface::{Idempotency, Nanos};
use havenplank_invariants::ledger::{Answer, Seen};
use havenplank_settings::Site;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use oorandom::Rand64;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, sleep_until, timeout};

const TRIES: u32 = 4;
/// A kept connection idle for longer is not used again: the other side may be closing it.
const IDLE: Duration = Duration::from_secs(1);
/// How long past its time a client still listens, to tell a late answer from none.
const LISTENS: Duration = Duration::from_millis(500);
const CONNECT: Duration = Duration::from_millis(250);

type Sender = SendRequest<Full<Bytes>>;

/// A sidecar as clients know it. Its connections are dropped when it comes up anew.
pub struct Target {
    pub name: String,
    pub address: Cell<Option<SocketAddr>>,
    pub admin: Cell<Option<SocketAddr>>,
    idle: RefCell<Vec<(Sender, Instant)>>,
}

impl Target {
    pub fn new(name: &str) -> Rc<Target> {
        let name = name.to_string();
        Rc::new(Target {
            name,
            address: Cell::new(None),
            admin: Cell::new(None),
            idle: RefCell::default(),
        })
    }

    pub fn comes_up(&self, address: SocketAddr, admin: SocketAddr) {
        self.idle.borrow_mut().clear();
        self.address.set(Some(address));
        self.admin.set(Some(admin));
    }

    pub fn goes_down(&self) {
        self.address.set(None);
        self.admin.set(None);
        self.idle.borrow_mut().clear();
    }

    async fn connection(&self) -> Option<Sender> {
        loop {
            let Some((mut sender, since)) = self.idle.borrow_mut().pop() else {
                break;
            };
            if since.elapsed() < IDLE && sender.ready().await.is_ok() {
                return Some(sender);
            }
        }
        let stream = timeout(CONNECT, TcpStream::connect(self.address.get()?))
            .await
            .ok()?
            .ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .ok()?;
        spawn_local(async move {
            let _ = connection.await;
        });
        Some(sender)
    }
}

/// How the hits of one path group fared, a client's own tries counted under the first.
#[derive(Clone)]
pub struct Fared {
    pub group: String,
    /// What one of its hits is worth, answered within the target latency.
    pub priority_weight: f64,
    pub asked: u64,
    pub in_time: u64,
    pub late: u64,
    pub bounced: u64,
    pub errored: u64,
    pub left: u64,
    pub wrong: u64,
    /// Microseconds from the first try to the answer delivered.
    pub took_us: Histogram<u64>,
}

pub struct Clients {
    book: Book,
    site: Rc<Site>,
    day: Day,
    targets: Vec<Rc<Target>>,
    /// Told by the script: how much more than usual is asked.
    pub surge: Cell<f64>,
    pub fared: RefCell<Vec<Fared>>,
    /// Final answers by what they were, over all tries.
    pub tries: Cell<u64>,
    next: Cell<u64>,
    chance: RefCell<Rand64>,
}

impl Clients {
    pub fn new(
        book: Book,
        site: Rc<Site>,
        day: &Day,
        targets: Vec<Rc<Target>>,
        seed: u64,
    ) -> Rc<Clients> {
        let new = |group: &havenplank_settings::RouteClassSettings| Fared {
            group: group.name.clone(),
            priority_weight: group.rules.priority_weight,
            asked: 0,
            in_time: 0,
            late: 0,
            bounced: 0,
            errored: 0,
            left: 0,
            wrong: 0,
            // One minute at most, to three digits: fixed bounds, so it cannot fail.
            took_us: Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds that fit"),
        };
        let fared = RefCell::new(site.route_classes.iter().map(new).collect());
        Rc::new(Clients {
            book,
            site,
            day: day.clone(),
            targets,
            surge: Cell::new(1.0),
            fared,
            tries: Cell::new(0),
            next: Cell::new(1),
            chance: RefCell::new(Rand64::new(seed as u128)),
        })
    }

    fn draw(&self) -> f64 {
        self.chance.borrow_mut().rand_float()
    }

    fn number(&self) -> u64 {
        self.next.replace(self.next.get() + 1)
    }

    /// Asks until the day's length is over, however slow the answers; then waits for those still out.
    pub async fn run(self: &Rc<Self>) {
        let began = tokio::time::Instant::now();
        let mut at = Duration::ZERO;
        let mut out = JoinSet::new();
        loop {
            let rate = (self.day.rate * self.surge.get()).max(0.001);
            at += Duration::from_secs_f64(-(1.0 - self.draw()).ln() / rate);
            if at.as_nanos() as Nanos >= self.day.length {
                break;
            }
            sleep_until(began + at).await;
            let clients = self.clone();
            out.spawn_local(async move { clients.hit().await });
            while out.try_join_next().is_some() {}
        }
        while out.join_next().await.is_some() {}
    }

    async fn hit(self: Rc<Self>) {
        let mut left = self.draw() * self.day.loads.iter().map(|load| load.share).sum::<f64>();
        let load = self.day.loads.iter().find(|load| {
            left -= load.share;
            left < 0.0
        });
        let load = load.unwrap_or(&self.day.loads[0]);
        let Some(group) = self
            .site
            .route_classes
            .iter()
            .position(|group| group.name == load.group)
        else {
            return;
        };
        let rules = self.site.route_classes[group].rules;
        let (hit, began) = (self.number(), Instant::now());
        let key = (self.draw() * load.keys as f64) as u64 + 1;
        let work = load.work as f64 * (0.5 - 0.5 * (1.0 - self.draw()).ln());
        let (stubborn, heeds) = (
            self.draw() < self.day.retries,
            self.draw() < self.day.honour,
        );
        let waits = (rules.client_timeout as f64 * (0.5 + 0.5 * self.draw())) as Nanos;
        self.fared.borrow_mut()[group].asked += 1;
        let mut last = Answer::Errored;
        for _ in 0..TRIES {
            let (answer, retry_after, wrong) =
                self.ask(hit, group, key, work as Nanos, waits).await;
            last = answer;
            if answer == Answer::Delivered {
                let took = began.elapsed();
                let fared = &mut self.fared.borrow_mut()[group];
                fared.wrong += wrong as u64;
                let in_time = took.as_nanos() as Nanos <= rules.latency_objective;
                *if in_time {
                    &mut fared.in_time
                } else {
                    &mut fared.late
                } += 1;
                let _ = fared.took_us.record(took.as_micros() as u64);
                return;
            }
            // Only a bounce says that a retry is harmless; a repeatable hit needs no leave.
            let harmless = match rules.idempotency {
                Idempotency::Idempotent => true,
                _ => answer == Answer::Bounced,
            };
            if !stubborn || !harmless || answer == Answer::Left {
                break;
            }
            let pause = 0.05 + 0.2 * self.draw();
            let pause = if heeds {
                pause.max(retry_after as f64 / 1e9)
            } else {
                pause
            };
            sleep(Duration::from_secs_f64(pause)).await;
        }
        let fared = &mut self.fared.borrow_mut()[group];
        match last {
            Answer::Left => fared.left += 1,
            Answer::Bounced => fared.bounced += 1,
            _ => fared.errored += 1,
        }
    }

    /// One try; its answer, the advice to come back, and whether the answer is wrong.
    async fn ask(
        self: &Rc<Self>,
        hit: u64,
        group: usize,
        key: u64,
        work: Nanos,
        waits: Nanos,
    ) -> (Answer, Nanos, bool) {
        let unreachable = (Answer::Bounced, 0, false);
        let up: Vec<&Rc<Target>> = self
            .targets
            .iter()
            .filter(|target| target.address.get().is_some())
            .collect();
        if up.is_empty() {
            return unreachable;
        }
        let target = up[(self.draw() * up.len() as f64) as usize].clone();
        let Some(mut sender) = target.connection().await else {
            return unreachable;
        };
        let ask = self.number();
        self.tries.set(self.tries.get() + 1);
        let request = self.request(ask, hit, group, key, work, waits);
        let (sidecar, left) = (target.name.clone(), waits);
        self.book.write(Seen::Asked {
            ask,
            hit,
            sidecar,
            group,
            key,
            left,
        });
        let leaves = self.draw() < self.day.impatient;
        let patience = if leaves {
            waits as f64 * 0.2 * self.draw()
        } else {
            waits as f64 + LISTENS.as_nanos() as f64
        };
        let exchange = async {
            let response = match sender.try_send_request(request).await {
                Ok(response) => response,
                Err(error) if error.message().is_some() => return (Answer::NotTaken, 0, None),
                Err(_) => return (Answer::Broken, 0, None),
            };
            let (parts, body) = response.into_parts();
            if body.collect().await.is_err() {
                return (Answer::Broken, 0, None);
            }
            let text = |name: &str| {
                parts
                    .headers
                    .get(name)
                    .and_then(|value| value.to_str().ok())
            };
            let retry_after = text(RETRY_AFTER.as_str()).and_then(|secs| secs.parse::<u64>().ok());
            let answer = match parts.status {
                StatusCode::SERVICE_UNAVAILABLE if retry_after.is_some() => Answer::Bounced,
                StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => Answer::Errored,
                StatusCode::OK => Answer::Delivered,
                _ => Answer::NotTaken,
            };
            let wrong = text(WRONG).and(text("x-pod")).map(str::to_string);
            (answer, retry_after.unwrap_or(0) * 1_000_000_000, wrong)
        };
        let ended = timeout(Duration::from_nanos(patience as u64), exchange).await;
        let (answer, retry_after, wrong) = match ended {
            Ok(ended) => ended,
            Err(_) if leaves => (Answer::Left, 0, None),
            Err(_) => (Answer::Missing, 0, None),
        };
        self.book.write(Seen::Answered {
            ask,
            answer,
            retry_after,
        });
        if matches!(
            answer,
            Answer::Delivered | Answer::Bounced | Answer::Errored
        ) {
            target.idle.borrow_mut().push((sender, Instant::now()));
        }
        if let Some(pod) = wrong.clone().filter(|_| self.draw() < self.day.flagged) {
            let (clients, target) = (self.clone(), target.clone());
            spawn_local(async move { clients.flag(&target, &pod, group).await });
        }
        (answer, retry_after, wrong.is_some())
    }

    fn request(
        &self,
        ask: u64,
        hit: u64,
        group: usize,
        key: u64,
        work: Nanos,
        waits: Nanos,
    ) -> Request<Full<Bytes>> {
        let (rules, headers) = (&self.site.route_classes[group], &self.site.headers);
        let method = rules.methods.first().map_or("GET", String::as_str);
        let path = rules
            .paths
            .first()
            .map_or("/", String::as_str)
            .trim_end_matches('*');
        let body = if method == "GET" {
            Bytes::new()
        } else {
            Bytes::from_static(b"repository\n")
        };
        let mark =
            (rules.rules.idempotency == Idempotency::Keyed).then(|| format!("\"hit-{hit}\""));
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "search.example.org")
            .header(ASK, ask)
            .header(GROUP, group)
            .header(WORK, work / 1_000)
            .header(&headers.idempotency_key, key)
            .header(&headers.timeout, format!("{}m", waits / 1_000_000));
        if let Some(mark) = mark {
            request = request.header("idempotency-key", mark);
        }
        // The parts are all our own or from checked settings.
        request
            .body(Full::new(body))
            .expect("a request that is well formed")
    }

    /// Tells the sidecar of a wrong answer, as clients do when they find out.
    async fn flag(&self, target: &Target, pod: &str, group: usize) {
        let found = 0.3 + 0.7 * self.draw();
        sleep(Duration::from_secs_f64(found)).await;
        let Some(admin) = target.admin.get() else {
            return;
        };
        let Ok(Ok(stream)) = timeout(CONNECT, TcpStream::connect(admin)).await else {
            return;
        };
        let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
            return;
        };
        spawn_local(async move {
            let _ = connection.await;
        });
        let group = &self.site.route_classes[group].name;
        let told =
            serde_json::json!({"pod": pod, "path_group": group, "ago_ms": (found * 1e3) as u64});
        let mut request = Request::new(Full::new(Bytes::from(told.to_string())));
        *request.method_mut() = hyper::Method::POST;
        *request.uri_mut() = hyper::Uri::from_static("/flagged");
        request
            .headers_mut()
            .insert("host", HeaderValue::from_static("admin"));
        let _ = timeout(CONNECT, sender.send_request(request)).await;
    }
}
