//! Announces new versions to a few random peers, and pulls from one random peer per period.

use super::peers::RegionFilter;
use super::verified::DeltaOutcome;
use super::{Event, Nanos, Replicator, Role};
use crate::delta::Delta;
use crate::error::ApplyError;
use crate::message::{Claim, Message, MAX_DATAGRAM_BYTES, MAX_DELTAS, MAX_MESSAGE_BYTES};
use havenplank_membership::member::MemberId;
use std::sync::Arc;

/// Upper bound of the bytes that a message adds to each delta in it.
const DELTA_OVERHEAD_BYTES: usize = 16;
/// Upper bound of the bytes that a message has besides its deltas and the overhead of each.
const DELTAS_MESSAGE_OVERHEAD_BYTES: usize = 128;

/// A pull that was sent and not answered yet.
pub(super) struct PendingPull {
    peer: MemberId,
    deadline: Nanos,
}

impl Replicator {
    /// Announces a delta's version to a few random peers, with the delta itself if it fits a datagram; without a delta,
    /// announces the newest verified version.
    pub(super) fn announce(&mut self, delta: Option<&Delta>) {
        let claim = delta.map_or(self.verified.claim(), |delta| Claim {
            version: delta.to,
            digest: delta.digest,
        });
        let encoded = delta
            .map(Delta::encode)
            .filter(|bytes| bytes.len() + DELTAS_MESSAGE_OVERHEAD_BYTES <= MAX_DATAGRAM_BYTES);
        let mut announced_to: Vec<MemberId> = Vec::with_capacity(
            self.settings.same_region_fan_out + self.settings.other_region_fan_out,
        );
        for (region_filter, count) in [
            (RegionFilter::Same, self.settings.same_region_fan_out),
            (RegionFilter::Other, self.settings.other_region_fan_out),
        ] {
            for _ in 0..count {
                let peer = self
                    .peers
                    .pick_random(&mut self.rng, &self.me, region_filter);
                announced_to.extend(peer.filter(|peer| !announced_to.contains(peer)));
            }
        }
        for peer in announced_to {
            self.send(
                &peer,
                Message::Announce {
                    claim,
                    delta: encoded.clone(),
                },
            );
        }
    }

    pub(super) fn pull_if_due(&mut self, now: Nanos) {
        let retry_is_due = self.retry_pull_at.is_some_and(|at| at <= now);
        if self.next_pull_at > now && !retry_is_due {
            return;
        }
        if retry_is_due {
            self.retry_pull_at = None;
        }
        if self.next_pull_at <= now {
            // The period varies by up to a tenth, so that processes that started together drift apart.
            let tenth = (self.settings.pull_period / 10).max(1);
            let jittered_period =
                self.settings.pull_period - tenth + self.rng.rand_range(0..2 * tenth);
            self.next_pull_at = now.saturating_add(jittered_period);
        }
        // About half of the pulls stay in the own region, which is cheap and quick. The others may go to any peer, so
        // that versions cross regions.
        let region_filter = if self.rng.rand_range(0..2) == 0 {
            RegionFilter::Same
        } else {
            RegionFilter::Any
        };
        if let Some(peer) = self
            .peers
            .pick_random(&mut self.rng, &self.me, region_filter)
        {
            self.send_pull(now, &peer);
        }
    }

    /// Sends a pull to one peer, unless the answer to another pull is awaited.
    pub(super) fn send_pull(&mut self, now: Nanos, peer: &MemberId) {
        if self
            .pending_pull
            .as_ref()
            .is_some_and(|pending_pull| pending_pull.deadline > now)
        {
            return;
        }
        let is_fetching = self.transfer.is_some();
        let available = if is_fetching {
            0
        } else {
            self.fetch_budget.available(now)
        };
        let max_answer_bytes = u32::try_from(available).unwrap_or(u32::MAX);
        self.pending_pull = Some(PendingPull {
            peer: peer.clone(),
            deadline: now.saturating_add(self.settings.answer_timeout),
        });
        let message = Message::Pull {
            claim: self.verified.claim(),
            max_answer_bytes,
            manifest_only: self.needs_manifest,
        };
        self.send(peer, message);
    }

    /// Ends the pending pull if it was sent to this peer; returns whether it was.
    pub(super) fn clear_pending_pull(&mut self, from: &MemberId) -> bool {
        self.pending_pull
            .take_if(|pending_pull| pending_pull.peer == *from)
            .is_some()
    }

    /// Schedules another pull from a random peer after a short random delay, once the fetch budget allows it.
    pub(super) fn schedule_retry(&mut self, now: Nanos) {
        let delay =
            self.settings.retry_delay + self.rng.rand_range(0..self.settings.retry_delay.max(1));
        let at = now.saturating_add(delay).max(self.fetch_budget.ready_at());
        self.retry_pull_at = Some(self.retry_pull_at.map_or(at, |previous| previous.min(at)));
    }

    /// Records the version that a peer claims to have, and checks it for conflicts.
    pub(super) fn observe_claim(&mut self, now: Nanos, from: &MemberId, claim: Claim) {
        let conflicting_digest = self.verified.conflicting_digest(claim);
        if let Some(verified) = conflicting_digest {
            self.counts.conflicts += 1;
            if self.last_conflict.replace(claim) != Some(claim) {
                let (version, other, from) = (claim.version, claim.digest, from.clone());
                self.emit(Event::Conflict {
                    version,
                    verified,
                    other,
                    from,
                });
            }
        }
        self.stop_if_superseded(claim, conflicting_digest.is_some());
        if claim.version > self.newest_known.version {
            self.newest_known = claim;
        }
        if self.newest_known.version > self.installation.version() {
            self.behind_since.get_or_insert(now);
        }
    }

    /// Stops this writer if a higher epoch is known, or if another process writes in its own epoch.
    fn stop_if_superseded(&mut self, claim: Claim, conflicts: bool) {
        let Role::Writer { epoch } = self.role else {
            return;
        };
        let has_other_writer =
            claim.version.epoch == epoch && (conflicts || claim.version > self.verified.version());
        if self.superseded.is_none() && (claim.version.epoch > epoch || has_other_writer) {
            self.superseded = Some(claim);
            self.polling.stop();
            self.emit(Event::Superseded { by: claim });
        }
    }

    pub(super) fn handle_announce(
        &mut self,
        now: Nanos,
        from: &MemberId,
        claim: Claim,
        delta: Option<Vec<u8>>,
    ) {
        self.observe_claim(now, from, claim);
        if claim.version <= self.verified.version() {
            self.reject_lower_epoch(from, claim);
            return;
        }
        let Some(delta) = delta else {
            self.send_pull(now, from);
            return;
        };
        match Delta::decode(&delta) {
            Ok(delta) if delta.to == claim.version && delta.digest == claim.digest => {
                let applied = self.apply_delta(now, from, delta);
                applied.iter().for_each(|delta| self.announce(Some(delta)));
            }
            _ => self.counts.unreadable += 1,
        }
    }

    /// Answers a claim of a lower epoch with the higher epoch that is verified here; returns whether the claim had one.
    /// The peer may be the replaced writer or a peer that passed its message on.
    pub(super) fn reject_lower_epoch(&mut self, to: &MemberId, claim: Claim) -> bool {
        let is_lower = claim.version.epoch < self.verified.version().epoch;
        if is_lower {
            self.counts.lower_epochs += 1;
            let message = Message::Superseded {
                by: self.verified.claim(),
            };
            self.send(to, message);
        }
        is_lower
    }

    /// Applies a delta. Returns the deltas that were applied: this one and stored early ones that continue from it.
    fn apply_delta(&mut self, now: Nanos, from: &MemberId, delta: Delta) -> Vec<Arc<Delta>> {
        match self.verified.apply_delta(delta) {
            DeltaOutcome::Applied(deltas) => {
                self.handle_new_verified_version(now);
                return deltas;
            }
            DeltaOutcome::NotNewer => self.counts.repeats += 1,
            DeltaOutcome::Early => self.send_pull(now, from),
            DeltaOutcome::DoesNotApply(error) => {
                self.counts.unfit_deltas += 1;
                self.needs_manifest |= !matches!(error, ApplyError::WrongBase { .. });
                self.send_pull(now, from);
            }
        }
        Vec::new()
    }

    /// Offers a newly verified version to the host, and ends a transfer that is not newer.
    pub(super) fn handle_new_verified_version(&mut self, now: Nanos) {
        self.needs_manifest = false;
        self.newest_known = self.newest_known_or_verified();
        let verified = self.verified.version();
        self.transfer
            .take_if(|transfer| transfer.version() <= verified);
        self.offer(now);
    }

    pub(super) fn handle_pull(
        &mut self,
        now: Nanos,
        from: &MemberId,
        claim: Claim,
        max_answer_bytes: u32,
        manifest_only: bool,
    ) {
        self.observe_claim(now, from, claim);
        let verified = self.verified.claim();
        if claim.version > verified.version {
            self.send_pull(now, from);
        } else if claim.version < verified.version
            && max_answer_bytes > 0
            && self.serve_budget.available(now) > 0
        {
            self.serve(now, from, claim, max_answer_bytes, manifest_only);
            return;
        }
        self.send(from, Message::Current { claim: verified });
    }

    /// Answers a pull with as many deltas as fit, or with the manifest if no delta fits or deltas do not help.
    fn serve(
        &mut self,
        now: Nanos,
        to: &MemberId,
        claim: Claim,
        max_answer_bytes: u32,
        manifest_only: bool,
    ) {
        let chain = if manifest_only {
            None
        } else {
            self.verified.deltas_since(claim)
        };
        let deltas = chain
            .map(|chain| deltas_that_fit(&chain, max_answer_bytes))
            .filter(|deltas| !deltas.is_empty());
        let message = match deltas {
            Some(deltas) => Message::Deltas {
                claim: self.verified.claim(),
                deltas,
            },
            None => self.manifest(),
        };
        self.send_served(now, to, message);
    }

    /// Sends a message and charges its size to the budget for serving others.
    pub(super) fn send_served(&mut self, now: Nanos, to: &MemberId, message: Message) {
        let bytes = match &message {
            Message::Deltas { deltas, .. } => deltas.iter().map(Vec::len).sum(),
            Message::Chunk(chunk) => chunk.body.len(),
            Message::Manifest(manifest) => size_of_val(manifest.buckets.as_slice()),
            _ => 0,
        };
        self.serve_budget
            .spend(now, bytes + DELTAS_MESSAGE_OVERHEAD_BYTES);
        self.send(to, message);
    }

    pub(super) fn handle_current(&mut self, now: Nanos, from: &MemberId, claim: Claim) {
        self.observe_claim(now, from, claim);
        let is_answer = self.clear_pending_pull(from);
        if claim.version <= self.verified.version() || self.transfer.is_some() {
            return;
        }
        if is_answer {
            // The peer has a newer version but serves nothing now, or the fetch budget here was spent.
            self.schedule_retry(now);
        } else {
            self.send_pull(now, from);
        }
    }

    pub(super) fn handle_deltas(
        &mut self,
        now: Nanos,
        from: &MemberId,
        claim: Claim,
        deltas: &[Vec<u8>],
        bytes: usize,
    ) {
        self.observe_claim(now, from, claim);
        self.fetch_budget.spend(now, bytes);
        let is_answer = self.clear_pending_pull(from);
        // A process that catches up on many versions announces only the last one, because its peers have the others.
        if let Some(last) = self.apply_deltas(now, from, deltas) {
            self.announce(Some(&last));
        }
        if is_answer && claim.version > self.verified.version() {
            if self.fetch_budget.available(now) > 0 {
                self.send_pull(now, from);
            } else {
                self.schedule_retry(now);
            }
        }
    }

    /// Applies deltas in order until one does not apply. Returns the last one that was applied.
    fn apply_deltas(
        &mut self,
        now: Nanos,
        from: &MemberId,
        deltas: &[Vec<u8>],
    ) -> Option<Arc<Delta>> {
        let mut last = None;
        for encoded in deltas {
            let Ok(delta) = Delta::decode(encoded) else {
                self.counts.unreadable += 1;
                break;
            };
            if delta.to <= self.verified.version() {
                continue;
            }
            let applied = self.apply_delta(now, from, delta);
            if applied.is_empty() {
                break;
            }
            last = applied.last().cloned();
        }
        last
    }

    pub(super) fn handle_superseded(&mut self, now: Nanos, from: &MemberId, by: Claim) {
        self.observe_claim(now, from, by);
        if by.version > self.verified.version() {
            self.send_pull(now, from);
        }
    }
}

/// Returns the first deltas that fit the answer, encoded. The first one may exceed `max_answer_bytes`, unless no
/// message can hold it.
fn deltas_that_fit(chain: &[Arc<Delta>], max_answer_bytes: u32) -> Vec<Vec<u8>> {
    let max_answer_bytes = (max_answer_bytes as usize).min(MAX_MESSAGE_BYTES / 2);
    let mut used = 0;
    let mut encoded = Vec::new();
    for delta in chain.iter().take(MAX_DELTAS) {
        let bytes = delta.encode();
        used += bytes.len() + DELTA_OVERHEAD_BYTES;
        let is_within_limit = if encoded.is_empty() {
            used + DELTAS_MESSAGE_OVERHEAD_BYTES <= MAX_MESSAGE_BYTES
        } else {
            used <= max_answer_bytes
        };
        if !is_within_limit {
            break;
        }
        encoded.push(bytes);
    }
    encoded
}
