//! Claims of requests that arrived here. A claim ends in one of these ways:
//! - Enough backups acknowledge it: this sidecar owns the request.
//! - Another sidecar owns the request: this sidecar joins it and waits for its outcome.
//! - The outcome of the request is already known: it is the answer.
//! - The idempotency key belongs to a different request: the request is rejected.
//! - Too few backups acknowledge it: the request is served without backups or, with [`RequiredAcks::All`], rejected.

use super::owner::{OwnedRequest, FIRST_VERSION};
use super::{Effect, Takeover};
use crate::message::Message;
use crate::record::{Record, RequestId};
use crate::Nanos;
use havenplank_membership::member::MemberId;

/// The delay of a background claim is the lease duration divided by this.
const BACKGROUND_DELAY_DIVISOR: Nanos = 6;

/// The term of a request without any other known claim.
const FIRST_TERM: u32 = 0;

/// A request that arrived here, with what its backups store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IncomingRequest {
    /// The request.
    pub request: RequestId,
    /// A hash of the request, which reveals a different request with the same idempotency key.
    pub digest: u64,
    /// The encoded request.
    pub payload: Vec<u8>,
    /// The time left until the client's deadline.
    pub remaining: Nanos,
    /// The backups. This sidecar must not be among them.
    pub backups: Vec<MemberId>,
}

/// How many backups must acknowledge a claim before the request may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequiredAcks {
    /// More than half of the backups.
    Majority,
    /// All backups: each must report that it knows no other owner. The client may have sent the request before, and a
    /// repeat could do harm. Most backups of the first claim may be lost by now, so a majority of the current backups
    /// proves nothing.
    All,
}

impl Takeover {
    /// Claims a request that arrived here. The claim succeeds once as many backups as `required` have acknowledged it.
    pub fn claim(&mut self, now: Nanos, incoming: IncomingRequest, required: RequiredAcks) {
        let (request, digest) = (incoming.request, incoming.digest);
        if let Some(owned) = self.owned.get(&request) {
            if !owned.record.allows_retry_of(digest) {
                let effect = effect_for_known_request(&owned.record, digest);
                return self.effects.push_back(effect);
            }
            self.move_to_replicas(now, request);
        }
        let term = match self.replicas.get(&request) {
            None => FIRST_TERM,
            // A permitted retry is a new claim, in a later term than any record of the earlier claim.
            Some(replica) if replica.record.allows_retry_of(digest) => {
                replica.term.saturating_add(1)
            }
            Some(replica) => {
                let effect = effect_for_known_request(&replica.record, digest);
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
        let claim_deadline = self.claim_deadline(now, incoming.remaining);
        let owned = OwnedRequest {
            claim_deadline: Some(claim_deadline),
            required,
            ..OwnedRequest::new(now, self.new_record(incoming, term))
        };
        self.add_owned(now, owned);
    }

    fn claim_failed(&mut self, request: RequestId, required: RequiredAcks) {
        self.unprotected += 1;
        self.effects.push_back(match required {
            RequiredAcks::All => Effect::Uncertain(request),
            RequiredAcks::Majority => Effect::Unprotected(request),
        });
    }

    /// Claims an idempotent request, which is served whether or not the claim succeeds. The record goes to the backups
    /// after a delay: most requests are finished by then and cost no message.
    pub fn claim_in_background(&mut self, now: Nanos, incoming: IncomingRequest) {
        let request = incoming.request;
        if self.owned.contains_key(&request) || self.replicas.contains_key(&request) {
            return;
        }
        if incoming.backups.is_empty() || self.owned.len() >= self.rules.max_owned {
            self.unprotected += 1;
            return;
        }
        let announce_at = now + self.rules.lease / BACKGROUND_DELAY_DIVISOR;
        let claim_deadline = self.claim_deadline(announce_at, incoming.remaining);
        let owned = OwnedRequest {
            claim_deadline: Some(claim_deadline),
            announce_at,
            ..OwnedRequest::new(now, self.new_record(incoming, FIRST_TERM))
        };
        self.add_owned(now, owned);
    }

    /// Returns when a claim times out: after one lease duration, or after half of the client's remaining time if that
    /// is shorter, so that the rest suffices to serve the request without backups.
    fn claim_deadline(&self, begin: Nanos, remaining: Nanos) -> Nanos {
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

    /// Adds a request that this sidecar owns or claims, and sends its record to the backups.
    pub(super) fn add_owned(&mut self, now: Nanos, owned: OwnedRequest) {
        let request = owned.record.request;
        self.owned.insert(request, owned);
        self.replicate(now, request);
    }

    /// Ends a claim without enough backups. If a backup has reported another owner, this sidecar joins the request of
    /// that owner; otherwise the claim fails.
    pub(super) fn abandon_claim(&mut self, now: Nanos, request: RequestId) {
        let Some(owned) = self.owned.remove(&request) else {
            return;
        };
        let Record {
            term,
            digest,
            backups,
            ..
        } = owned.record.clone();
        // The release goes to all backups: one whose acknowledgement was lost may keep the record, which would block
        // the client's next retry.
        backups
            .iter()
            .for_each(|backup| self.send(backup, Message::Release { request, term }));
        if owned.refused_by.is_empty() {
            return self.claim_failed(request, owned.required);
        }
        let remaining = owned.record.remaining.saturating_sub(now - owned.as_of);
        self.join(now, request, digest, remaining, backups);
    }

    /// Handles the report of another owner. The report may concern a claim, an owner that has lost its lease, or a
    /// waiting client.
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
            waiting.last_reported = now;
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
        let is_claim = owned.claim_deadline.is_some();
        // A claim that has moved on to a later term ignores reports about an earlier term.
        let is_outdated = match is_claim {
            true => term < owned.record.term,
            false => term <= owned.record.term,
        };
        if is_outdated {
            return;
        }
        owned.acks.remove(&from.name);
        owned.refused_by.insert(from.name.clone());
        // One report may name a candidate that did not win its election. Reports by a majority mean that it won.
        let majority_refused = owned.refused_by.len() >= owned.record.majority();
        let ends_claim = owned.required == RequiredAcks::All || majority_refused;
        match is_claim {
            true if key_reused => self.reject_claim(request),
            true if ends_claim => self.abandon_claim(now, request),
            false if majority_refused => self.lose_ownership(now, request),
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

    /// Handles the report of a backup that has no room for the record of a claim.
    pub(super) fn on_out_of_capacity(&mut self, now: Nanos, from: &MemberId, request: RequestId) {
        let Some(owned) = self
            .owned
            .get_mut(&request)
            .filter(|owned| owned.claim_deadline.is_some())
        else {
            return;
        };
        // The other backups may suffice; if not, the claim times out.
        owned.acks.remove(&from.name);
        self.apply_acks(now, request);
    }
}

/// Returns the effect of a claim for a request that is already known here.
fn effect_for_known_request(record: &Record, digest: u64) -> Effect {
    if record.digest != digest {
        return Effect::KeyReused(record.request);
    }
    match record.outcome.clone() {
        Some(outcome) => Effect::Finished(record.request, outcome),
        None => Effect::Joined(record.request),
    }
}
