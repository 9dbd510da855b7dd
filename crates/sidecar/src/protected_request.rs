//! Serves a request that other sidecars back up. The request is leased, its attempts are sent once the backups know of
//! them (idempotent routes may announce them in the background instead), and only the sidecar that finally owns the
//! request responds. `havenplank-takeover` decides when each step is allowed; the router of the engine decides which
//! step is next.

use crate::backup_record::{self, BackedUpRequest};
use crate::body::Body;
use crate::client_stream::{ClientPresence, ClientStream, Departure};
use crate::engine::RequestAttributes;
use crate::outcome::{outcome_of, response_of};
use crate::prepared_request::{PreparedRequest, Protection};
use crate::responses::{failed, rejected_with_retry_after, text_response};
use crate::shell::Shell;
use crate::takeover_policy::must_not_repeat;
use crate::takeover_service::{
    request_id_text, AnnouncedAttempt, LeaseReply, LeaseRequest, OwnerWatch, TakeoverService,
};
use havenplank::interface::{Nanos, PodId, PriorAttempt, RequestId as ShellRequestId};
use havenplank_takeover::record::{Attempt, AttemptState, Outcome, Record, RequestId};
use hyper::{Response, StatusCode};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::timeout;

const KEY_REUSED: &str =
    "Idempotency-Key: another hit was sent under it; expected the same hit or another key\n";

/// Serves a request in a separate task: attempts that were sent when its client disconnects continue, and the backups
/// get its outcome.
pub async fn serve(
    shell: Rc<Shell>,
    service: Rc<TakeoverService>,
    attributes: RequestAttributes,
    request: PreparedRequest,
    stream: &ClientStream,
) -> Response<Body> {
    let (responder, mut response_receiver) = oneshot::channel();
    let (departure_sender, departed) = oneshot::channel();
    let client = ConnectedClient {
        presence: stream.presence(),
        departed,
    };
    let serving = service.serving_guard();
    spawn_local(async move {
        let _serving = serving;
        let response = serve_leased(&shell, &service, attributes, request, client).await;
        // Fails if the client has disconnected; the backups store the outcome nevertheless.
        let _ = responder.send(response);
    });
    let response = tokio::select! {
        biased;
        response = &mut response_receiver => response,
        departure = stream.departed() => {
            drop(departure_sender);
            if departure == Departure::SentTooMuch {
                return failed(false);
            }
            response_receiver.await
        }
    };
    response.unwrap_or_else(|_| failed(false))
}

/// The client of a request, as seen by the task that serves the request.
struct ConnectedClient {
    presence: ClientPresence,
    /// Ends, with an error, when the client has left or its connection has ended.
    departed: oneshot::Receiver<Infallible>,
}

/// Where a request comes from.
enum Origin {
    /// From a client that is connected here.
    Client(ConnectedClient),
    /// From another sidecar, which sent these attempts.
    TakenOver(Vec<PriorAttempt>),
}

async fn serve_leased(
    shell: &Rc<Shell>,
    service: &Rc<TakeoverService>,
    attributes: RequestAttributes,
    request: PreparedRequest,
    client: ConnectedClient,
) -> Response<Body> {
    let (began, origin) = (Instant::now(), Origin::Client(client));
    let request = Rc::new(request);
    let Some(protection) = &request.protection else {
        return failed(false);
    };
    let owned = OwnedRequest {
        shell,
        service,
        id: protection.id,
    };
    let Some(payload) = backup_record::encode(&attributes, &request, protection) else {
        protection.backed_up.set(false);
        return owned.finish(origin, attributes, request).await;
    };
    let lease = LeaseRequest {
        id: protection.id,
        digest: protection.digest,
        payload: &payload,
        must_not_repeat: must_not_repeat(&request.route.rules, protection.has_client_key),
        remaining: attributes.remaining,
    };
    if protection.announces_before_attempt() {
        match request_lease(service, lease, began).await {
            LeaseReply::Granted => {}
            LeaseReply::Unprotected => protection.backed_up.set(false),
            refused => return refusal_response(shell, refused),
        }
    } else {
        service.request_lease_in_background(lease);
    }
    let attributes = RequestAttributes {
        remaining: remaining_since(began, attributes.remaining),
        ..attributes
    };
    owned.finish(origin, attributes, request.clone()).await
}

/// Requests a lease until it is granted or refused. If another sidecar held the lease and its backups have since
/// forgotten the request, the lease is requested again as long as the client waits.
async fn request_lease(
    service: &TakeoverService,
    request: LeaseRequest<'_>,
    began: Instant,
) -> LeaseReply {
    loop {
        let remaining = remaining_since(began, request.remaining);
        let lease = LeaseRequest {
            remaining,
            ..request
        };
        match service.request_lease(lease).await {
            LeaseReply::Unknown if elapsed(began) < request.remaining => {}
            reply => return reply,
        }
    }
}

fn elapsed(began: Instant) -> Nanos {
    Nanos::try_from(began.elapsed().as_nanos()).unwrap_or(Nanos::MAX)
}

fn remaining_since(began: Instant, remaining: Nanos) -> Nanos {
    remaining.saturating_sub(elapsed(began))
}

fn refusal_response(shell: &Shell, reply: LeaseReply) -> Response<Body> {
    match reply {
        LeaseReply::Uncertain => rejected_with_retry_after(shell.site.attempts.max_retry_after),
        LeaseReply::Finished(outcome) => response_of(outcome),
        LeaseReply::KeyReused => text_response(StatusCode::UNPROCESSABLE_ENTITY, KEY_REUSED),
        LeaseReply::Unknown | LeaseReply::Granted | LeaseReply::Unprotected => failed(true),
    }
}

/// A request that this sidecar owns.
struct OwnedRequest<'a> {
    shell: &'a Rc<Shell>,
    service: &'a Rc<TakeoverService>,
    id: RequestId,
}

impl OwnedRequest<'_> {
    /// Dispatches the request to pods until it has a response. If another sidecar takes the request over, waits for the
    /// response of that sidecar instead.
    async fn finish(
        &self,
        origin: Origin,
        attributes: RequestAttributes,
        request: Rc<PreparedRequest>,
    ) -> Response<Body> {
        let began = Instant::now();
        let remaining = Duration::from_nanos(attributes.remaining);
        let OwnerWatch { lost, outcome } = self.service.watch(self.id);
        let (responder, response_receiver) = oneshot::channel();
        let (dispatched, departed) = self.dispatch(origin, attributes, &request, responder);
        let end_after_departure = async {
            if let Some(departed) = departed {
                let _ = departed.await;
                self.shell.client_closed(dispatched);
            }
            std::future::pending::<Infallible>().await
        };
        let response = tokio::select! {
            // A response that is ready here is used, even if another sidecar took the request over at the same moment.
            biased;
            response = response_receiver => response.unwrap_or_else(|_| failed(false)),
            Ok(()) = lost => {
                self.shell.client_left(dispatched);
                let left = remaining.saturating_sub(began.elapsed());
                let outcome = timeout(left, outcome).await;
                self.service.forget_closed_waiters(self.id);
                return match outcome {
                    Ok(Ok(LeaseReply::Finished(outcome))) => response_of(outcome),
                    _ => failed(true),
                };
            }
            never = end_after_departure => match never {},
        };
        let (response, outcome) = outcome_of(response, &request).await;
        self.service.finish(self.id, outcome);
        response
    }

    /// Dispatches the request. Returns its number, and what ends when its client has left.
    fn dispatch(
        &self,
        origin: Origin,
        attributes: RequestAttributes,
        request: &Rc<PreparedRequest>,
        responder: oneshot::Sender<Response<Body>>,
    ) -> (ShellRequestId, Option<oneshot::Receiver<Infallible>>) {
        let (shell, request) = (self.shell, request.clone());
        match origin {
            Origin::Client(ConnectedClient { presence, departed }) => {
                let id = shell.dispatch(attributes, request, presence, responder);
                (id, Some(departed))
            }
            Origin::TakenOver(prior_attempts) => {
                let id = shell.dispatch_resumed(prior_attempts, attributes, request, responder);
                (id, None)
            }
        }
    }
}

/// The error that another sidecar owns the request, or that its owner is uncertain.
#[derive(Debug)]
pub struct NotOwner;

/// Announces to the backups that an attempt is about to be sent. Returns `None` if the request has no backups, or if an
/// attempt that need not wait for backups could not be announced.
///
/// # Errors
/// Fails if the attempt must not be sent, because this sidecar may not own the request.
pub async fn announce_attempt(
    shell: &Shell,
    protection: &Protection,
    pod: PodId,
) -> Result<Option<AnnouncedAttempt>, NotOwner> {
    let service = shell.takeover.as_ref();
    let Some(service) = service.filter(|_| protection.backed_up.get()) else {
        return Ok(None);
    };
    let pod = shell.engine().pod_name(pod).unwrap_or_default().to_string();
    let wait = protection.announces_before_attempt();
    protection.announced.set(true);
    match service.announce_attempt(protection.id, &pod, wait).await {
        None if wait => Err(NotOwner),
        announced => Ok(announced),
    }
}

/// Returns whether an attempt of this request may be sent at this moment. Must be called right before
/// the write, because the lease may expire.
pub fn may_send(shell: &Shell, request: &PreparedRequest) -> bool {
    let leased = |protection: &&Protection| {
        protection.announces_before_attempt() && protection.backed_up.get()
    };
    let Some(protection) = request.protection.as_ref().filter(leased) else {
        return true;
    };
    let service = shell.takeover.as_ref();
    let may_send = service.is_some_and(|service| service.may_send(protection.id));
    if !may_send {
        tracing::warn!(
            request_id = request_id_text(protection.id),
            "attempt not sent: the lease on the request is lost or uncertain"
        );
    }
    may_send
}

/// Finishes a request that this sidecar took over from another.
pub fn take_over(shell: &Rc<Shell>, record: Record) {
    let Some(service) = shell.takeover.clone() else {
        return;
    };
    let shell = shell.clone();
    spawn_local(async move {
        let (id, began) = (record.request, Instant::now());
        log_takeover(&record);
        let status = finish_record(&shell, &service, &record).await;
        let took_ms = began.elapsed().as_millis() as u64;
        tracing::info!(
            request_id = request_id_text(id),
            status = status.as_u16(),
            took_ms,
            "finished a request that was taken over"
        );
    });
}

fn log_takeover(record: &Record) {
    let may_have_run = record
        .attempts
        .iter()
        .filter(|attempt| may_have_run(attempt));
    tracing::info!(
        request_id = request_id_text(record.request),
        attempts = record.attempts.len(),
        may_have_run = may_have_run.count(),
        remaining_ms = record.remaining / 1_000_000,
        "request taken over"
    );
}

fn may_have_run(attempt: &Attempt) -> bool {
    attempt.state != AttemptState::NeverRan
}

async fn finish_record(
    shell: &Rc<Shell>,
    service: &Rc<TakeoverService>,
    record: &Record,
) -> StatusCode {
    let Some(backed_up) = backup_record::decode(&shell.routes(), record) else {
        tracing::warn!(
            request_id = request_id_text(record.request),
            "cannot finish a taken-over request: its record is unreadable or names an unknown route"
        );
        service.finish(record.request, Outcome::Failed { retryable: false });
        return StatusCode::BAD_GATEWAY;
    };
    let BackedUpRequest {
        attributes,
        request,
    } = backed_up;
    let to_prior = |attempt: &Attempt| PriorAttempt {
        pod: shell.engine().pod_id(&attempt.pod),
        ago: attempt.age,
        may_have_run: may_have_run(attempt),
    };
    let prior_attempts = record.attempts.iter().map(to_prior).collect();
    let owned = OwnedRequest {
        shell,
        service,
        id: record.request,
    };
    let response = owned.finish(
        Origin::TakenOver(prior_attempts),
        attributes,
        Rc::new(request),
    );
    response.await.status()
}
