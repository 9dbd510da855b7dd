//! Claims of requests that arrived here. A claim ends in one of three ways: this sidecar owns the request, it joins
//! another owner's, or the request is served without backups.

use super::owner::{OwnedRequest, FIRST_VERSION};
use super::{Effect, Takeover};
use crate::message::Message;
use crate::record::{Record, RequestId};
use crate::Nanos;
use havenplank_membership::member::MemberId;

/// The delay of a claim in the background is the lease divided by this.
const BACKGROUND_DELAY_PER_LEASE: Nanos = 6;

/// The term of a request that no other claim is known of.
const FIRST_TERM: u32 = 0;

/// A request that arrived here, as its backups are to keep it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IncomingRequest {
    /// The request.
    pub request: RequestId,
    /// A hash of the request, which reveals a different request under the same key.
    pub digest: u64,
    /// The encoded request.
    pub payload: Vec<u8>,
    /// The time left until the client's deadline.
    pub remaining: Nanos,
    /// Its backups; this sidecar must not be among them.
    pub backups: Vec<MemberId>,
}

/// How many backups must acknowledge a claim before the request may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequiredAcks {
    /// More than half of them.
    Majority,
    /// Each of them must report that it knows no other owner. The client may have sent the request before and a repeat
    /// could do harm, and most of the first claim's backups may be lost by now, so a majority of the current ones proves
    /// nothing.
    All,
}

impl Takeover {
    /// Claims a request that arrived here, once as many backups as `required` have acknowledged it.
    pub fn claim(&mut self, now: Nanos, incoming: IncomingRequest, required: RequiredAcks) {
        let (request, digest) = (incoming.request, incoming.digest);
        if let Some(owned) = self.owned.get(&request) {
            if !owned.record.allows_retry_of(digest) {
                let effect = claim_effect(&owned.record, digest);
                return self.effects.push_back(effect);
            }
            self.retire(now, request);
        }
        let term = match self.replicas.get(&request) {
            None => FIRST_TERM,
            // A retry that the client was allowed starts anew, in a later term than any record of the first try.
            Some(replica) if replica.record.allows_retry_of(digest) => {
                replica.term.saturating_add(1)
            }
            Some(replica) => {
                let effect = claim_effect(&replica.record, digest);
                let backups = replica.record.backups.clone();
                return match effect {
                    Effect::Joined(_) => {
                        self.join(now, request, digest, incoming.remaining, backups)
                    }
                    effect => self.effects.push_back(effect),
                };
            }
        };
        if incoming.backups.is_empty() || self.owned.len() >= self.rules.max_owned {
            return self.claim_failed(request, required);
        }
        let claim_until = self.claim_until(now, incoming.remaining);
        let owned = OwnedRequest {
            claim_until: Some(claim_until),
            required,
            ..OwnedRequest::new(now, self.new_record(incoming, term))
        };
        self.own(now, owned);
    }

    fn claim_failed(&mut self, request: RequestId, required: RequiredAcks) {
        self.unprotected += 1;
        self.effects.push_back(match required {
            RequiredAcks::All => Effect::Uncertain(request),
            RequiredAcks::Majority => Effect::Unprotected(request),
        });
    }

    /// Claims an idempotent request, which is served whatever becomes of the claim. Its backups are told after a delay:
    /// most requests are finished by then and cost no message.
    pub fn claim_in_background(&mut self, now: Nanos, incoming: IncomingRequest) {
        let request = incoming.request;
        if self.owned.contains_key(&request) || self.replicas.contains_key(&request) {
            return;
        }
        if incoming.backups.is_empty() || self.owned.len() >= self.rules.max_owned {
            self.unprotected += 1;
            return;
        }
        let announce_at = now + self.rules.lease / BACKGROUND_DELAY_PER_LEASE;
        let claim_until = self.claim_until(announce_at, incoming.remaining);
        let owned = OwnedRequest {
            claim_until: Some(claim_until),
            announce_at,
            ..OwnedRequest::new(now, self.new_record(incoming, FIRST_TERM))
        };
        self.own(now, owned);
    }

    /// The time-out of a claim: a lease, and half of the client's time at most, so that the rest suffices to serve the
    /// request without backups.
    fn claim_until(&self, begin: Nanos, remaining: Nanos) -> Nanos {
        begin + self.rules.lease.min(remaining / 2)
    }

    fn new_record(&self, incoming: IncomingRequest, term: u32) -> Record {
        Record {
            request: incoming.request,
            owner: self.me.clone(),
            term,
            version: FIRST_VERSION,
            confirmed: false,
            backups: incoming.backups,
            digest: incoming.digest,
            payload: incoming.payload,
            remaining: incoming.remaining,
            attempts: Vec::new(),
            outcome: None,
        }
    }

    /// Enters a request as owned here and sends its record to the backups.
    pub(super) fn own(&mut self, now: Nanos, owned: OwnedRequest) {
        let request = owned.record.request;
        self.owned.insert(request, owned);
        self.replicate(now, request);
    }

    /// Ends a claim without enough backups: joins the other owner if there is one, else goes without backups.
    pub(super) fn give_up(&mut self, now: Nanos, request: RequestId) {
        let Some(owned) = self.owned.remove(&request) else {
            return;
        };
        let Record {
            term,
            digest,
            backups,
            ..
        } = owned.record.clone();
        // All of them: one whose acknowledgement was lost may keep the record and would block the client's next try.
        backups
            .iter()
            .for_each(|backup| self.send(backup, Message::Release { request, term }));
        if owned.refused.is_empty() {
            return self.claim_failed(request, owned.required);
        }
        let remaining = owned.record.remaining.saturating_sub(now - owned.as_of);
        self.join(now, request, digest, remaining, backups);
    }

    /// A backup reports another owner, to a claim, to an owner that has lost its lease, or to a waiting client.
    pub(super) fn on_owned(
        &mut self,
        now: Nanos,
        from: &MemberId,
        request: RequestId,
        term: u32,
        owner: &MemberId,
        key_reused: bool,
    ) {
        if let Some(waiting) = self.waiting.get_mut(&request) {
            waiting.last_known = now;
        }
        let Some(owned) = self
            .owned
            .get_mut(&request)
            .filter(|owned| owned.record.backups.contains(from))
        else {
            return;
        };
        if *owner == self.me && term <= owned.record.term {
            return;
        }
        let is_claim = owned.claim_until.is_some();
        // A claim that has moved on to a later term ignores reports of an earlier one.
        let is_outdated = match is_claim {
            true => term < owned.record.term,
            false => term <= owned.record.term,
        };
        if is_outdated {
            return;
        }
        owned.acks.remove(&from.name);
        owned.refused.insert(from.name.clone());
        // A single candidate may have failed to win its election; a majority of reports means that it won.
        let outvoted = owned.refused.len() >= owned.record.majority();
        let yields = owned.required == RequiredAcks::All || outvoted;
        match is_claim {
            true if key_reused => self.reject_claim(request),
            true if yields => self.give_up(now, request),
            false if outvoted => self.lose(now, request),
            _ => {}
        }
    }

    /// Ends a claim whose idempotency key belongs to a different request.
    fn reject_claim(&mut self, request: RequestId) {
        let Some(owned) = self.owned.remove(&request) else {
            return;
        };
        let Record { term, backups, .. } = owned.record;
        backups
            .iter()
            .for_each(|backup| self.send(backup, Message::Release { request, term }));
        self.effects.push_back(Effect::KeyReused(request));
    }

    /// A backup has no room for the record of a claim.
    pub(super) fn on_out_of_capacity(&mut self, now: Nanos, from: &MemberId, request: RequestId) {
        let Some(owned) = self
            .owned
            .get_mut(&request)
            .filter(|owned| owned.claim_until.is_some())
        else {
            return;
        };
        // The other backups may suffice; if not, the claim runs into its time-out.
        owned.acks.remove(&from.name);
        self.advance(now, request);
    }
}

/// What a claim is told of a request that is known here already.
fn claim_effect(record: &Record, digest: u64) -> Effect {
    if record.digest != digest {
        return Effect::KeyReused(record.request);
    }
    match record.outcome.clone() {
        Some(outcome) => Effect::Finished(record.request, outcome),
        None => Effect::Joined(record.request),
    }
}
