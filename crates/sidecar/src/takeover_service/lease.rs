//! Requests the lease on a client request: the right to send attempts for it.

use super::{LeaseReply, TakeoverService};
use havenplank_takeover::record::RequestId;
use havenplank_takeover::{Effect, IncomingRequest, Nanos, RequiredAcks};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// The arguments of a lease request.
#[derive(Clone, Copy, Debug)]
pub struct LeaseRequest<'a> {
    /// Identifies the client request among sidecars.
    pub id: RequestId,
    /// Hash of the content of the client request, to detect a different request under the same key.
    pub digest: u64,
    /// The encoded client request that backups keep.
    pub payload: &'a [u8],
    /// Whether the client request must not run twice. Such a request is rejected if its owner is uncertain.
    pub must_not_repeat: bool,
    /// Time left until the client's deadline, in nanoseconds.
    pub remaining: Nanos,
}

/// The state of a lease request right after its start.
enum Start {
    /// The reply is already known.
    Replied(LeaseReply),
    /// The lease request was sent to the backups, which must reply first.
    Waiting,
    /// Another sidecar owns the client request and will report its outcome.
    Joined,
}

impl TakeoverService {
    /// Requests the lease and waits until it is granted or refused, or until the owner of the client request reports an
    /// outcome. Waits no longer than the client's remaining time.
    pub async fn request_lease(&self, request: LeaseRequest<'_>) -> LeaseReply {
        let LeaseRequest { id, remaining, .. } = request;
        let (sender, reply) = oneshot::channel();
        match self.begin_lease_request(request) {
            Start::Replied(reply) => return reply,
            Start::Waiting => self.waiters.borrow_mut().entry(id).or_default().lease = Some(sender),
            Start::Joined => {
                let mut waiters_by_request = self.waiters.borrow_mut();
                waiters_by_request
                    .entry(id)
                    .or_default()
                    .outcome
                    .push(sender);
            }
        }
        let reply = timeout(Duration::from_nanos(remaining), reply).await;
        // After a timeout the receiver is closed, and its sender has to leave the table.
        self.forget_closed_waiters(id);
        reply
            .ok()
            .and_then(Result::ok)
            .unwrap_or(LeaseReply::Unknown)
    }

    fn begin_lease_request(&self, request: LeaseRequest<'_>) -> Start {
        let LeaseRequest { id, .. } = request;
        let required = match request.must_not_repeat {
            true => RequiredAcks::All,
            false => RequiredAcks::Majority,
        };
        let incoming = self.incoming(&request);
        let now = self.membership.now();
        self.takeover.borrow_mut().claim(now, incoming, required);
        let mut start = Start::Waiting;
        loop {
            let effect = self.takeover.borrow_mut().next_effect();
            let reply = match effect {
                Some(Effect::Finished(for_id, outcome)) if for_id == id => {
                    LeaseReply::Finished(outcome)
                }
                Some(Effect::KeyReused(for_id)) if for_id == id => LeaseReply::KeyReused,
                Some(Effect::Unprotected(for_id)) if for_id == id => LeaseReply::Unprotected,
                Some(Effect::Uncertain(for_id)) if for_id == id => LeaseReply::Uncertain,
                Some(Effect::Joined(for_id)) if for_id == id => {
                    start = Start::Joined;
                    continue;
                }
                Some(effect) => {
                    self.perform(effect);
                    continue;
                }
                None => return start,
            };
            return Start::Replied(reply);
        }
    }

    /// Requests the lease without waiting for it. If another sidecar holds the lease, the client request is served here
    /// nevertheless, because a repeat of it is harmless.
    pub fn request_lease_in_background(&self, request: LeaseRequest<'_>) {
        let incoming = self.incoming(&request);
        let now = self.membership.now();
        self.takeover
            .borrow_mut()
            .claim_in_background(now, incoming);
        self.perform_effects();
    }

    /// Chooses the backups of the client request, and converts it to an argument of the takeover state machine.
    fn incoming(&self, request: &LeaseRequest<'_>) -> IncomingRequest {
        IncomingRequest {
            request: request.id,
            digest: request.digest,
            payload: request.payload.to_vec(),
            remaining: request.remaining,
            backups: self.backups_of(request.id),
        }
    }
}
