//! Asks for the lease on a request: the right to send attempts for it.

use super::{LeaseReply, TakeoverService};
use havenplank_takeover::record::RequestId;
use havenplank_takeover::{Effect, IncomingRequest, Nanos, RequiredAcks};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// A request for which a lease is asked.
#[derive(Clone, Copy, Debug)]
pub struct LeaseRequest<'a> {
    /// Names the request among sidecars.
    pub id: RequestId,
    /// Hash of what was asked.
    pub digest: u64,
    /// The request as its backups keep it.
    pub payload: &'a [u8],
    /// Whether it must not run twice, whatever that costs.
    pub must_not_repeat: bool,
    /// Time left until its client gives up.
    pub remaining: Nanos,
}

/// How far a lease request came at once.
enum Begun {
    Replied(LeaseReply),
    /// Backups are asked.
    Waits,
    /// Another sidecar owns it, and tells its outcome.
    Joined,
}

impl TakeoverService {
    /// Asks for the lease on a request, and waits until it is ours or has its outcome: no longer than its client does.
    pub async fn request_lease(&self, request: LeaseRequest<'_>) -> LeaseReply {
        let LeaseRequest { id, remaining, .. } = request;
        let (sender, reply) = oneshot::channel();
        match self.begin_lease_request(request) {
            Begun::Replied(reply) => return reply,
            Begun::Waits => self.waiters.borrow_mut().entry(id).or_default().lease = Some(sender),
            Begun::Joined => {
                let mut all = self.waiters.borrow_mut();
                all.entry(id).or_default().outcome.push(sender);
            }
        }
        let reply = timeout(Duration::from_nanos(remaining), reply).await;
        // Whoever waited in vain is not notified any more.
        self.forget_closed_waiters(id);
        reply
            .ok()
            .and_then(Result::ok)
            .unwrap_or(LeaseReply::Unknown)
    }

    fn begin_lease_request(&self, request: LeaseRequest<'_>) -> Begun {
        let LeaseRequest { id, .. } = request;
        let required = match request.must_not_repeat {
            true => RequiredAcks::All,
            false => RequiredAcks::Majority,
        };
        let incoming = self.incoming(&request);
        let now = self.membership.now();
        self.takeover.borrow_mut().claim(now, incoming, required);
        let mut begun = Begun::Waits;
        loop {
            let effect = self.takeover.borrow_mut().next_effect();
            let reply = match effect {
                Some(Effect::Finished(known, outcome)) if known == id => {
                    LeaseReply::Finished(outcome)
                }
                Some(Effect::KeyReused(known)) if known == id => LeaseReply::KeyReused,
                Some(Effect::Unprotected(known)) if known == id => LeaseReply::Unprotected,
                Some(Effect::Uncertain(known)) if known == id => LeaseReply::Uncertain,
                Some(Effect::Joined(known)) if known == id => {
                    begun = Begun::Joined;
                    continue;
                }
                Some(effect) => {
                    self.perform(effect);
                    continue;
                }
                None => return begun,
            };
            return Begun::Replied(reply);
        }
    }

    /// Asks for the lease without waiting; where another has it, the request is served all the same, as a repeat does
    /// no harm.
    pub fn request_lease_in_background(&self, request: LeaseRequest<'_>) {
        let incoming = self.incoming(&request);
        let now = self.membership.now();
        self.takeover
            .borrow_mut()
            .claim_in_background(now, incoming);
        self.perform_effects();
    }

    /// Returns a request as the decisions take it, with its backups.
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
