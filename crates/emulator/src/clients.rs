//! Emulated clients: open-loop load with timeouts, retries where they are harmless, and clients that leave early.

use crate::ledger_writer::LedgerWriter;
use crate::pod::{CLASS_HEADER, REQUEST_HEADER, WORK_HEADER, WRONG_ANSWER_HEADER};
use crate::scenario_file::Scenario;
use bytes::Bytes;
use havenplank::interface::{Idempotency, Nanos};
use havenplank_invariants::ledger::{Answer, LedgerEvent};
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

/// Maximum number of attempts of one request, including the first.
const MAX_ATTEMPTS: u32 = 4;
/// A connection idle for longer is not used again: the other side may be closing it.
const MAX_IDLE: Duration = Duration::from_secs(1);
/// How long after its timeout a client still waits, to distinguish a late answer from a missing one.
const LATE_ANSWER_GRACE: Duration = Duration::from_millis(500);
/// How long connecting, or reporting a fault, may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

type Sender = SendRequest<Full<Bytes>>;

/// A sidecar as clients know it. Its connections are dropped when it restarts.
pub struct Target {
    /// The sidecar's name.
    pub name: String,
    /// The address for requests, while the sidecar runs.
    pub address: Cell<Option<SocketAddr>>,
    /// The address for fault reports, while the sidecar runs.
    pub admin: Cell<Option<SocketAddr>>,
    /// Idle connections and since when; bounded by the requests in flight at one time.
    idle: RefCell<Vec<(Sender, Instant)>>,
}

impl Target {
    /// A sidecar that has not started yet.
    pub fn new(name: &str) -> Rc<Target> {
        let name = name.to_string();
        Rc::new(Target {
            name,
            address: Cell::new(None),
            admin: Cell::new(None),
            idle: RefCell::default(),
        })
    }

    /// Sets the addresses of a sidecar that has started.
    pub fn mark_up(&self, address: SocketAddr, admin: SocketAddr) {
        self.idle.borrow_mut().clear();
        self.address.set(Some(address));
        self.admin.set(Some(admin));
    }

    /// Forgets the addresses and connections of a sidecar that ends.
    pub fn mark_down(&self) {
        self.address.set(None);
        self.admin.set(None);
        self.idle.borrow_mut().clear();
    }

    /// An idle connection that is still open, or a new one.
    async fn connection(&self) -> Option<Sender> {
        loop {
            let Some((mut sender, since)) = self.idle.borrow_mut().pop() else {
                break;
            };
            if since.elapsed() < MAX_IDLE && sender.ready().await.is_ok() {
                return Some(sender);
            }
        }
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address.get()?))
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

/// A request that was drawn at random for a client; each retry sends it again.
struct ClientRequest {
    id: u64,
    /// Index of its route class.
    class: usize,
    key: u64,
    work: Nanos,
    /// Whether the client retries rejected and failed requests.
    retries: bool,
    heeds_retry_after: bool,
    timeout: Nanos,
}

/// How long a client waits for an answer, and the outcome that is recorded if none comes.
struct WaitLimit {
    limit: Duration,
    at_limit: Answer,
}

/// The outcome of one attempt for its client.
struct AttemptOutcome {
    answer: Answer,
    retry_after: Nanos,
    wrong: bool,
}

impl AttemptOutcome {
    /// No sidecar accepted a connection.
    const UNREACHABLE: AttemptOutcome = AttemptOutcome {
        answer: Answer::Bounced,
        retry_after: 0,
        wrong: false,
    };
}

/// What the connection returned.
struct Reply {
    answer: Answer,
    retry_after: Nanos,
    /// The pod that gave a wrong answer.
    wrong_pod: Option<String>,
}

impl Reply {
    fn without_body(answer: Answer) -> Reply {
        Reply {
            answer,
            retry_after: 0,
            wrong_pod: None,
        }
    }

    fn leaves_connection_usable(&self) -> bool {
        matches!(
            self.answer,
            Answer::Delivered | Answer::Bounced | Answer::Errored
        )
    }
}

/// Sends a message and reads the complete answer.
async fn exchange(sender: &mut Sender, message: Request<Full<Bytes>>) -> Reply {
    let response = match sender.try_send_request(message).await {
        Ok(response) => response,
        Err(error) if error.message().is_some() => return Reply::without_body(Answer::NotTaken),
        Err(_) => return Reply::without_body(Answer::Broken),
    };
    let (parts, body) = response.into_parts();
    if body.collect().await.is_err() {
        return Reply::without_body(Answer::Broken);
    }
    let text = |name: &str| parts.headers.get(name)?.to_str().ok();
    let retry_after = text(RETRY_AFTER.as_str()).and_then(|secs| secs.parse::<u64>().ok());
    let answer = match parts.status {
        StatusCode::SERVICE_UNAVAILABLE if retry_after.is_some() => Answer::Bounced,
        StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => Answer::Errored,
        StatusCode::OK => Answer::Delivered,
        _ => Answer::NotTaken,
    };
    Reply {
        answer,
        retry_after: retry_after.unwrap_or(0) * 1_000_000_000,
        wrong_pod: text(WRONG_ANSWER_HEADER)
            .and(text("x-pod"))
            .map(str::to_string),
    }
}

/// Outcomes of one route class's requests; a client's retries count as the same request.
#[derive(Clone)]
pub struct ClassOutcomes {
    /// The route class.
    pub route_class: String,
    /// Value of a request that is answered within the latency objective.
    pub priority_weight: f64,
    /// Requests sent.
    pub requests: u64,
    /// Requests answered within the latency objective.
    pub in_time: u64,
    /// Requests answered later.
    pub late: u64,
    /// Requests rejected with advice to retry.
    pub rejected: u64,
    /// Requests that ended in an error.
    pub failed: u64,
    /// Requests whose client left before its timeout.
    pub left: u64,
    /// Requests with a wrong answer.
    pub wrong: u64,
    /// Time from the first attempt to the answer, in microseconds.
    pub took_us: Histogram<u64>,
}

/// All emulated clients of a scenario.
pub struct Clients {
    ledger: LedgerWriter,
    site: Rc<Site>,
    scenario: Scenario,
    targets: Vec<Rc<Target>>,
    /// Factor on the scenario's request rate.
    pub rate_factor: Cell<f64>,
    /// Outcomes by route class.
    pub outcomes: RefCell<Vec<ClassOutcomes>>,
    /// Attempts sent, including retries.
    pub attempts: Cell<u64>,
    /// The next number of a request or an attempt.
    next: Cell<u64>,
    random: RefCell<Rand64>,
}

impl Clients {
    /// Clients of these sidecars, with the scenario's load.
    pub fn new(
        ledger: LedgerWriter,
        site: Rc<Site>,
        scenario: &Scenario,
        targets: Vec<Rc<Target>>,
        seed: u64,
    ) -> Rc<Clients> {
        let no_outcomes = |class: &havenplank_settings::RouteClassSettings| ClassOutcomes {
            route_class: class.name.clone(),
            priority_weight: class.rules.priority_weight,
            requests: 0,
            in_time: 0,
            late: 0,
            rejected: 0,
            failed: 0,
            left: 0,
            wrong: 0,
            // Up to one minute, with 3 significant digits; the bounds are fixed, so this cannot fail.
            took_us: Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds that fit"),
        };
        let outcomes = RefCell::new(site.route_classes.iter().map(no_outcomes).collect());
        Rc::new(Clients {
            ledger,
            site,
            scenario: scenario.clone(),
            targets,
            rate_factor: Cell::new(1.0),
            outcomes,
            attempts: Cell::new(0),
            next: Cell::new(1),
            random: RefCell::new(Rand64::new(seed as u128)),
        })
    }

    /// Draws a number from 0 to 1.
    fn draw(&self) -> f64 {
        self.random.borrow_mut().rand_float()
    }

    fn next_number(&self) -> u64 {
        self.next.replace(self.next.get() + 1)
    }

    /// Sends requests at the scenario's rate for its length, however slow the answers are, then waits for those in
    /// flight.
    pub async fn run(self: &Rc<Self>) {
        let began = tokio::time::Instant::now();
        let mut at = Duration::ZERO;
        let mut in_flight = JoinSet::new();
        loop {
            let rate = (self.scenario.rate * self.rate_factor.get()).max(0.001);
            at += Duration::from_secs_f64(-(1.0 - self.draw()).ln() / rate);
            if at.as_nanos() as Nanos >= self.scenario.length {
                break;
            }
            sleep_until(began + at).await;
            let clients = self.clone();
            in_flight.spawn_local(async move { clients.send().await });
            while in_flight.try_join_next().is_some() {}
        }
        while in_flight.join_next().await.is_some() {}
    }

    /// Sends one request, with retries, and counts its outcome.
    async fn send(self: Rc<Self>) {
        let Some(request) = self.draw_request() else {
            return;
        };
        let began = Instant::now();
        self.outcomes.borrow_mut()[request.class].requests += 1;
        let mut last = Answer::Errored;
        for _ in 0..MAX_ATTEMPTS {
            let outcome = self.attempt(&request).await;
            last = outcome.answer;
            if outcome.answer == Answer::Delivered {
                self.count_delivered(&request, began.elapsed(), outcome.wrong);
                return;
            }
            if !self.may_retry(&request, outcome.answer) {
                break;
            }
            sleep(self.draw_pause(&request, outcome.retry_after)).await;
        }
        let outcomes = &mut self.outcomes.borrow_mut()[request.class];
        match last {
            Answer::Left => outcomes.left += 1,
            Answer::Bounced => outcomes.rejected += 1,
            _ => outcomes.failed += 1,
        }
    }

    /// Draws a request of one of the scenario's loads; `None` if the settings lack its route class.
    fn draw_request(&self) -> Option<ClientRequest> {
        let mut remaining = self.draw()
            * self
                .scenario
                .loads
                .iter()
                .map(|load| load.share)
                .sum::<f64>();
        let load = self.scenario.loads.iter().find(|load| {
            remaining -= load.share;
            remaining < 0.0
        });
        let load = load.unwrap_or(&self.scenario.loads[0]);
        let classes = &self.site.route_classes;
        let class = classes
            .iter()
            .position(|class| class.name == load.route_class)?;
        let client_timeout = classes[class].rules.client_timeout as f64;
        Some(ClientRequest {
            id: self.next_number(),
            class,
            key: (self.draw() * load.keys as f64) as u64 + 1,
            work: (load.work as f64 * (0.5 - 0.5 * (1.0 - self.draw()).ln())) as Nanos,
            retries: self.draw() < self.scenario.retry,
            heeds_retry_after: self.draw() < self.scenario.heed_retry_after,
            timeout: (client_timeout * (0.5 + 0.5 * self.draw())) as Nanos,
        })
    }

    fn count_delivered(&self, request: &ClientRequest, took: Duration, wrong: bool) {
        let objective = self.site.route_classes[request.class]
            .rules
            .latency_objective;
        let outcomes = &mut self.outcomes.borrow_mut()[request.class];
        outcomes.wrong += wrong as u64;
        if took.as_nanos() as Nanos <= objective {
            outcomes.in_time += 1;
        } else {
            outcomes.late += 1;
        }
        let _ = outcomes.took_us.record(took.as_micros() as u64);
    }

    /// Whether the client retries: an idempotent request after any failure, others only after a rejection, which says
    /// that a retry is harmless.
    fn may_retry(&self, request: &ClientRequest, answer: Answer) -> bool {
        let harmless = match self.site.route_classes[request.class].rules.idempotency {
            Idempotency::Idempotent => true,
            _ => answer == Answer::Bounced,
        };
        request.retries && harmless && answer != Answer::Left
    }

    fn draw_pause(&self, request: &ClientRequest, retry_after: Nanos) -> Duration {
        let pause = 0.05 + 0.2 * self.draw();
        let pause = if request.heeds_retry_after {
            pause.max(retry_after as f64 / 1e9)
        } else {
            pause
        };
        Duration::from_secs_f64(pause)
    }

    /// Sends a request once, to one of the running sidecars.
    async fn attempt(self: &Rc<Self>, request: &ClientRequest) -> AttemptOutcome {
        let Some(target) = self.draw_target() else {
            return AttemptOutcome::UNREACHABLE;
        };
        let Some(mut sender) = target.connection().await else {
            return AttemptOutcome::UNREACHABLE;
        };
        let attempt = self.next_number();
        self.attempts.set(self.attempts.get() + 1);
        let message = self.message(attempt, request);
        self.ledger.write(LedgerEvent::RequestSent {
            ask: attempt,
            operation: request.id,
            sidecar: target.name.clone(),
            class: request.class,
            key: request.key,
            remaining: request.timeout,
        });
        let wait = self.draw_wait_limit(request.timeout);
        let ended = timeout(wait.limit, exchange(&mut sender, message)).await;
        let reply = ended.unwrap_or(Reply::without_body(wait.at_limit));
        self.ledger.write(LedgerEvent::Answered {
            ask: attempt,
            answer: reply.answer,
            retry_after: reply.retry_after,
        });
        if reply.leaves_connection_usable() {
            target.idle.borrow_mut().push((sender, Instant::now()));
        }
        let wrong = reply.wrong_pod.is_some();
        if let Some(pod) = reply
            .wrong_pod
            .filter(|_| self.draw() < self.scenario.report_wrong)
        {
            let (clients, class) = (self.clone(), request.class);
            spawn_local(async move { clients.report_wrong_answer(&target, &pod, class).await });
        }
        AttemptOutcome {
            answer: reply.answer,
            retry_after: reply.retry_after,
            wrong,
        }
    }

    /// Draws a running sidecar, if there is one.
    fn draw_target(&self) -> Option<Rc<Target>> {
        let running: Vec<&Rc<Target>> = self
            .targets
            .iter()
            .filter(|target| target.address.get().is_some())
            .collect();
        if running.is_empty() {
            return None;
        }
        Some(running[(self.draw() * running.len() as f64) as usize].clone())
    }

    fn draw_wait_limit(&self, client_timeout: Nanos) -> WaitLimit {
        let leaves = self.draw() < self.scenario.leave_early;
        let limit = if leaves {
            client_timeout as f64 * 0.2 * self.draw()
        } else {
            client_timeout as f64 + LATE_ANSWER_GRACE.as_nanos() as f64
        };
        WaitLimit {
            limit: Duration::from_nanos(limit as u64),
            at_limit: if leaves {
                Answer::Left
            } else {
                Answer::Missing
            },
        }
    }

    /// The HTTP message of an attempt.
    fn message(&self, attempt: u64, request: &ClientRequest) -> Request<Full<Bytes>> {
        let class = &self.site.route_classes[request.class];
        let headers = &self.site.headers;
        let method = class.methods.first().map_or("GET", String::as_str);
        let path = class.paths.first().map_or("/", String::as_str);
        let body = if method == "GET" {
            Bytes::new()
        } else {
            Bytes::from_static(b"repository\n")
        };
        let mut message = Request::builder()
            .method(method)
            .uri(path.trim_end_matches('*'))
            .header("host", "search.example.org")
            .header(REQUEST_HEADER, attempt)
            .header(CLASS_HEADER, request.class)
            .header(WORK_HEADER, request.work / 1_000)
            .header(&headers.idempotency_key, request.key)
            .header(
                &headers.timeout,
                format!("{}m", request.timeout / 1_000_000),
            );
        if class.rules.idempotency == Idempotency::Keyed {
            message = message.header("idempotency-key", format!("\"hit-{}\"", request.id));
        }
        // All values are numbers, constants or from checked settings.
        message
            .body(Full::new(body))
            .expect("a well-formed request")
    }

    /// Reports a wrong answer to the sidecar, some time after the client got it.
    async fn report_wrong_answer(&self, target: &Target, pod: &str, class: usize) {
        let delay_s = 0.3 + 0.7 * self.draw();
        sleep(Duration::from_secs_f64(delay_s)).await;
        let Some(admin) = target.admin.get() else {
            return;
        };
        let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(admin)).await else {
            return;
        };
        let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
            return;
        };
        spawn_local(async move {
            let _ = connection.await;
        });
        let class = &self.site.route_classes[class].name;
        let report =
            serde_json::json!({"pod": pod, "path_group": class, "ago_ms": (delay_s * 1e3) as u64});
        let mut request = Request::new(Full::new(Bytes::from(report.to_string())));
        *request.method_mut() = hyper::Method::POST;
        *request.uri_mut() = hyper::Uri::from_static("/flagged");
        request
            .headers_mut()
            .insert("host", HeaderValue::from_static("admin"));
        let _ = timeout(CONNECT_TIMEOUT, sender.send_request(request)).await;
    }
}
