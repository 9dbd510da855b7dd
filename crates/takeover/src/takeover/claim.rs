//! Claims of requests that arrived here. A claim ends in one of three ways: this sidecar owns the request, it joins
//! another owner's, or the request is served without backups.

use super::owner::OwnedRequest;
use super::{Effect, Takeover};
use crate::record::{Message, Record, RequestId};
use crate::Nanos;
use havenplank_membership::wire::Life;
use std::collections::{BTreeMap, BTreeSet};

impl Takeover {
    /// Claims a request that arrived here. `payload` is the request as it is stored; `backups` must not name this
    /// sidecar.
    ///
    /// `exactly_once` says that the client may have sent the request before and that a repeat could do harm. Most of the
    /// first claim's backups may be lost by now, so a majority of the current ones proves nothing: each of them must
    /// report that it knows no other owner.
    pub fn claim(
        &mut self,
        now: Nanos,
        request: RequestId,
        digest: u64,
        (payload, exactly_once): (Vec<u8>, bool),
        remaining: Nanos,
        backups: Vec<Life>,
    ) {
        if let Some(owned) = self.owned.get(&request) {
            if !owned.record.reopens_for(digest) {
                let effect = claim_effect(&owned.record, digest);
                return self.effects.push_back(effect);
            }
            self.retire(now, request);
        }
        let term = match self.replicas.get(&request) {
            None => 0,
            // A retry that the client was allowed starts anew, in a later term than any record of the first try.
            Some(replica) if replica.record.reopens_for(digest) => replica.term.saturating_add(1),
            Some(replica) => {
                let effect = claim_effect(&replica.record, digest);
                let backups = replica.record.backups.clone();
                return match effect {
                    Effect::Joined(_) => self.join(now, request, digest, remaining, backups),
                    effect => self.effects.push_back(effect),
                };
            }
        };
        if backups.is_empty() || self.owned.len() >= self.rules.max_owned {
            return self.claim_failed(request, exactly_once);
        }
        let record = self.new_record(request, term, digest, payload, remaining, backups);
        let claim_until = Some(now + self.rules.lease.min(remaining / 2));
        self.own(now, record, claim_until, now);
        if let Some(owned) = self.owned.get_mut(&request) {
            owned.exactly_once = exactly_once;
        }
    }

    fn claim_failed(&mut self, request: RequestId, exactly_once: bool) {
        self.unprotected += 1;
        self.effects.push_back(if exactly_once {
            Effect::Uncertain(request)
        } else {
            Effect::Unprotected(request)
        });
    }

    /// Claims an idempotent request, which is served whatever becomes of the claim. Its backups are told after a delay:
    /// most requests are finished by then and cost no message.
    pub fn claim_in_background(
        &mut self,
        now: Nanos,
        request: RequestId,
        digest: u64,
        payload: Vec<u8>,
        remaining: Nanos,
        backups: Vec<Life>,
    ) {
        if self.owned.contains_key(&request) || self.replicas.contains_key(&request) {
            return;
        }
        if backups.is_empty() || self.owned.len() >= self.rules.max_owned {
            self.unprotected += 1;
            return;
        }
        let record = self.new_record(request, 0, digest, payload, remaining, backups);
        let announce_at = now + self.rules.lease / 6;
        self.own(
            now,
            record,
            Some(announce_at + self.rules.lease.min(remaining / 2)),
            announce_at,
        );
    }

    fn new_record(
        &self,
        request: RequestId,
        term: u32,
        digest: u64,
        payload: Vec<u8>,
        remaining: Nanos,
        backups: Vec<Life>,
    ) -> Record {
        let (owner, attempts) = (self.me.clone(), Vec::new());
        Record {
            request,
            owner,
            term,
            version: 1,
            confirmed: false,
            backups,
            digest,
            payload,
            remaining,
            attempts,
            outcome: None,
        }
    }

    /// Enters a request as owned here and sends its record to the backups.
    pub(super) fn own(
        &mut self,
        now: Nanos,
        record: Record,
        claim_until: Option<Nanos>,
        announce_at: Nanos,
    ) {
        let request = record.request;
        let (acks, refused, pending_attempts) = (BTreeMap::new(), BTreeSet::new(), Vec::new());
        let exactly_once = false;
        let owned = OwnedRequest {
            record,
            as_of: now,
            acks,
            claim_until,
            exactly_once,
            refused,
            pending_attempts,
            announce_at,
            retry_at: now,
            retries: 0,
        };
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
            return self.claim_failed(request, owned.exactly_once);
        }
        let remaining = owned.record.remaining.saturating_sub(now - owned.as_of);
        self.join(now, request, digest, remaining, backups);
    }

    /// A backup reports another owner, to a claim, to an owner that has lost its lease, or to a waiting client.
    pub(super) fn on_owned(
        &mut self,
        now: Nanos,
        from: &Life,
        request: RequestId,
        term: u32,
        by: &Life,
        differs: bool,
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
        if *by == self.me && term <= owned.record.term {
            return;
        }
        // A claim that has moved on to a later term ignores reports of an earlier one.
        let answers = if owned.claim_until.is_some() {
            term >= owned.record.term
        } else {
            term > owned.record.term
        };
        if !answers {
            return;
        }
        owned.acks.remove(&from.name);
        owned.refused.insert(from.name.clone());
        // A single candidate may have failed to win its election; a majority of reports means that it won.
        let outvoted = owned.refused.len() >= owned.record.majority();
        let yields = owned.exactly_once || outvoted;
        match owned.claim_until.is_some() {
            true if differs => self.reject_claim(request),
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
    pub(super) fn on_full(&mut self, now: Nanos, from: &Life, request: RequestId) {
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
