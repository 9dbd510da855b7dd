//! Sends the recorded requests again, as clients of the sidecar.

use super::outcome::Outcomes;
use super::replay::Replay;
use super::script::RecordedRequest;
use crate::pod::REQUEST_HEADER;
use bytes::Bytes;
use havenplank::interface::Idempotency;
use havenplank_sidecar::engine::EngineSettings;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Header of the idempotency key.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Largest value of `grpc-timeout`, which has at most eight digits.
const MAX_TIMEOUT_VALUE: u64 = 99_999_999;
/// How long a client waits after its timeout before it leaves.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

type Sender = SendRequest<Full<Bytes>>;

/// What a client sees of an answer.
struct Answer {
    status: StatusCode,
    retry_after: bool,
}

/// Connections to the sidecar, kept for the next request.
pub(super) struct Clients {
    sidecar: SocketAddr,
    /// Idle connections; bounded by the requests in flight at one time.
    idle: RefCell<Vec<Sender>>,
}

impl Clients {
    pub(super) fn new(sidecar: SocketAddr) -> Clients {
        Clients {
            sidecar,
            idle: RefCell::default(),
        }
    }

    /// Sends a request and counts its outcome.
    pub(super) async fn send(&self, replay: &Replay, recorded: &RecordedRequest) {
        let settings = &replay.script.source.settings;
        let wait = Duration::from_nanos(recorded.attributes.remaining) + ANSWER_GRACE;
        let exchange = self.exchange(settings, recorded);
        let answer = timeout(wait, exchange).await.ok().flatten();
        count(&mut replay.counts.borrow_mut().driven, answer);
    }

    async fn exchange(
        &self,
        settings: &EngineSettings,
        recorded: &RecordedRequest,
    ) -> Option<Answer> {
        let mut sender = self.connection().await?;
        let request = build_request(settings, recorded)?;
        let response = sender.send_request(request).await.ok()?;
        let answer = Answer {
            status: response.status(),
            retry_after: response.headers().contains_key("retry-after"),
        };
        response.into_body().collect().await.ok()?;
        self.idle.borrow_mut().push(sender);
        Some(answer)
    }

    /// An idle connection that is still open, or a new one.
    async fn connection(&self) -> Option<Sender> {
        let idle = self.idle.borrow_mut().pop();
        let mut sender = match idle {
            Some(sender) => sender,
            None => connect(self.sidecar).await?,
        };
        if sender.ready().await.is_err() {
            sender = connect(self.sidecar).await?;
        }
        Some(sender)
    }
}

fn build_request(
    settings: &EngineSettings,
    recorded: &RecordedRequest,
) -> Option<Request<Full<Bytes>>> {
    let RecordedRequest {
        request: id,
        attributes,
        ..
    } = recorded;
    let idempotency = settings
        .route_classes
        .get(attributes.route_class)
        .map_or(Idempotency::Idempotent, |(_, rules)| rules.idempotency);
    let method = match idempotency {
        Idempotency::Idempotent => "GET",
        _ => "POST",
    };
    let timeout_us = (attributes.remaining / 1_000).min(MAX_TIMEOUT_VALUE);
    let mut request = Request::builder()
        .method(method)
        .uri(format!("/{}", attributes.route_class))
        .header("host", "drive")
        .header(REQUEST_HEADER, *id)
        .header("grpc-timeout", format!("{timeout_us}u"));
    if attributes.key != 0 {
        request = request.header("x-key", format!("{:x}", attributes.key));
    }
    if let Some(name) = attributes.tenant.and_then(|at| settings.tenants.get(at)) {
        request = request.header("x-customer", name);
    }
    if let Some(cost) = attributes.cost_hint {
        request = request.header("x-cost", cost / 1_000);
    }
    if idempotency == Idempotency::Keyed {
        request = request.header(IDEMPOTENCY_KEY_HEADER, format!("\"hit-{id}\""));
    }
    request.body(Full::new(Bytes::new())).ok()
}

fn count(outcomes: &mut Outcomes, answer: Option<Answer>) {
    outcomes.requests += 1;
    match answer {
        Some(Answer {
            status: StatusCode::SERVICE_UNAVAILABLE,
            retry_after: true,
        }) => outcomes.rejected += 1,
        Some(answer) if answer.status.is_server_error() => outcomes.failed += 1,
        Some(_) => outcomes.delivered += 1,
        None => outcomes.left += 1,
    }
}

async fn connect(address: SocketAddr) -> Option<Sender> {
    let stream = TcpStream::connect(address).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(async move {
        let _ = connection.await;
    });
    Some(sender)
}
