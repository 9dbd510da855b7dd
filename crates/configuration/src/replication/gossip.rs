//! Announcements to a few, and a pull from one random peer a period.

use super::peers::Reach;
use super::verified::DeltaOutcome;
use super::{Event, Nanos, Replicator, Role};
use crate::delta::Delta;
use crate::error::ApplyError;
use crate::message::{Claim, Message, MAX_DATAGRAM_BYTES, MAX_DELTAS, MAX_MESSAGE_BYTES};
use havenplank_membership::member::MemberId;
use std::sync::Arc;

/// What a message with deltas has around each of them, at most.
const DELTA_OVERHEAD: usize = 16;
/// What a message with deltas has around all of them, at most.
const DELTAS_OVERHEAD: usize = 128;

/// A pull that waits for its answer.
pub(super) struct PendingPull {
    peer: MemberId,
    until: Nanos,
}

impl Replicator {
    /// Tells a few random peers the newest verified version, with the delta that led to it where it fits a datagram.
    pub(super) fn announce(&mut self, delta: Option<&Delta>) {
        let claim = delta.map_or(self.verified.claim(), |delta| Claim {
            version: delta.to,
            digest: delta.digest,
        });
        let encoded = delta
            .map(Delta::encode)
            .filter(|bytes| bytes.len() + DELTAS_OVERHEAD <= MAX_DATAGRAM_BYTES);
        let mut announced_to: Vec<MemberId> = Vec::with_capacity(
            self.settings.same_region_fan_out + self.settings.other_region_fan_out,
        );
        for (reach, count) in [
            (Reach::Near, self.settings.same_region_fan_out),
            (Reach::Far, self.settings.other_region_fan_out),
        ] {
            for _ in 0..count {
                let drawn = self.peers.draw(&mut self.rng, &self.me, reach);
                announced_to.extend(drawn.filter(|peer| !announced_to.contains(peer)));
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

    pub(super) fn pull_where_due(&mut self, now: Nanos) {
        let retry_is_due = self.retry_at.is_some_and(|at| at <= now);
        if self.next_pull > now && !retry_is_due {
            return;
        }
        if retry_is_due {
            self.retry_at = None;
        }
        if self.next_pull <= now {
            // A tenth more or less, so that processes that started together drift apart.
            let tenth = (self.settings.pull_period / 10).max(1);
            let scattered = self.settings.pull_period - tenth + self.rng.rand_range(0..2 * tenth);
            self.next_pull = now.saturating_add(scattered);
        }
        // Every second one near: that is cheap and quick; the other one crosses what the first cannot.
        let reach = if self.rng.rand_range(0..2) == 0 {
            Reach::Near
        } else {
            Reach::Any
        };
        if let Some(peer) = self.peers.draw(&mut self.rng, &self.me, reach) {
            self.ask(now, &peer);
        }
    }

    /// Asks one peer what it has, unless an answer is awaited.
    pub(super) fn ask(&mut self, now: Nanos, peer: &MemberId) {
        if self
            .pending_pull
            .as_ref()
            .is_some_and(|pending_pull| pending_pull.until > now)
        {
            return;
        }
        let is_fetching = self.transfer.is_some();
        let left = if is_fetching {
            0
        } else {
            self.fetching.left(now)
        };
        let max_answer_bytes = u32::try_from(left).unwrap_or(u32::MAX);
        self.pending_pull = Some(PendingPull {
            peer: peer.clone(),
            until: now.saturating_add(self.settings.answer_timeout),
        });
        let message = Message::Pull {
            claim: self.verified.claim(),
            max_answer_bytes,
            manifest_only: self.needs_manifest,
        };
        self.send(peer, message);
    }

    /// Ends the wait for an answer, where this peer was asked.
    pub(super) fn take_answer_from(&mut self, from: &MemberId) -> bool {
        self.pending_pull
            .take_if(|pending_pull| pending_pull.peer == *from)
            .is_some()
    }

    /// Asks again soon, somebody at random.
    pub(super) fn retry(&mut self, now: Nanos) {
        let wait =
            self.settings.retry_delay + self.rng.rand_range(0..self.settings.retry_delay.max(1));
        let at = now.saturating_add(wait).max(self.fetching.ready_at());
        self.retry_at = Some(self.retry_at.map_or(at, |before| before.min(at)));
    }

    /// Takes note of what another holds.
    pub(super) fn observe_claim(&mut self, now: Nanos, from: &MemberId, claim: Claim) {
        let contradiction = self.verified.contradiction(claim);
        if let Some(verified) = contradiction {
            self.counts.conflicts += 1;
            if self.conflict.replace(claim) != Some(claim) {
                let (version, other, from) = (claim.version, claim.digest, from.clone());
                self.emit(Event::Conflict {
                    version,
                    verified,
                    other,
                    from,
                });
            }
        }
        self.stop_if_superseded(claim, contradiction.is_some());
        if claim.version > self.newest_known.version {
            self.newest_known = claim;
        }
        if self.newest_known.version > self.installation.version() {
            self.behind_since.get_or_insert(now);
        }
    }

    /// A writer stops where a higher epoch is known, or its own epoch has another writer.
    fn stop_if_superseded(&mut self, claim: Claim, contradicts: bool) {
        let Role::Writer { epoch } = self.role else {
            return;
        };
        let foreign = claim.version.epoch == epoch
            && (contradicts || claim.version > self.verified.version());
        if self.superseded.is_none() && (claim.version.epoch > epoch || foreign) {
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
            self.refuse_lower_epoch(from, claim);
            return;
        }
        let Some(delta) = delta else {
            self.ask(now, from);
            return;
        };
        match Delta::decode(&delta) {
            Ok(delta) if delta.to == claim.version && delta.digest == claim.digest => {
                let applied = self.take_delta(now, from, delta);
                applied.iter().for_each(|delta| self.announce(Some(delta)));
            }
            _ => self.counts.unreadable += 1,
        }
    }

    /// Tells a writer, or whoever repeats it, that a higher epoch is in force.
    pub(super) fn refuse_lower_epoch(&mut self, to: &MemberId, claim: Claim) -> bool {
        let lower = claim.version.epoch < self.verified.version().epoch;
        if lower {
            self.counts.lower_epochs += 1;
            let message = Message::Superseded {
                by: self.verified.claim(),
            };
            self.send(to, message);
        }
        lower
    }

    /// The deltas that led on, this one and early ones that follow it.
    fn take_delta(&mut self, now: Nanos, from: &MemberId, delta: Delta) -> Vec<Arc<Delta>> {
        match self.verified.take(delta) {
            DeltaOutcome::Applied(deltas) => {
                self.handle_newer_head(now);
                return deltas;
            }
            DeltaOutcome::Known => self.counts.repeats += 1,
            DeltaOutcome::Early => self.ask(now, from),
            DeltaOutcome::Unfit(error) => {
                self.counts.unfit_deltas += 1;
                self.needs_manifest |= !matches!(error, ApplyError::WrongBase { .. });
                self.ask(now, from);
            }
        }
        Vec::new()
    }

    /// What follows a newer head: the host gets it, and what was fetched for an older one ends.
    pub(super) fn handle_newer_head(&mut self, now: Nanos) {
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
            self.ask(now, from);
        } else if claim.version < verified.version
            && max_answer_bytes > 0
            && self.serving.left(now) > 0
        {
            self.serve(now, from, claim, max_answer_bytes, manifest_only);
            return;
        }
        self.send(from, Message::Current { claim: verified });
    }

    /// Gives what leads on from there: deltas as far as there is room, else the manifest.
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
            self.verified.since(claim)
        };
        let deltas = chain
            .map(|chain| first_that_fit(&chain, max_answer_bytes))
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

    /// Sends something long within the budget for others.
    pub(super) fn send_served(&mut self, now: Nanos, to: &MemberId, message: Message) {
        let bytes = match &message {
            Message::Deltas { deltas, .. } => deltas.iter().map(Vec::len).sum(),
            Message::Chunk(chunk) => chunk.body.len(),
            Message::Manifest(manifest) => size_of_val(manifest.buckets.as_slice()),
            _ => 0,
        };
        self.serving.spend(now, bytes + DELTAS_OVERHEAD);
        self.send(to, message);
    }

    pub(super) fn handle_current(&mut self, now: Nanos, from: &MemberId, claim: Claim) {
        self.observe_claim(now, from, claim);
        let answered = self.take_answer_from(from);
        if claim.version <= self.verified.version() || self.transfer.is_some() {
            return;
        }
        if answered {
            // It has more but gives nothing now, or our own budget was spent.
            self.retry(now);
        } else {
            self.ask(now, from);
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
        self.fetching.spend(now, bytes);
        let pending_pull = self.take_answer_from(from);
        // Whoever catches up on many versions tells of the last one alone: the others have them.
        if let Some(last) = self.take_deltas(now, from, deltas) {
            self.announce(Some(&last));
        }
        if pending_pull && claim.version > self.verified.version() {
            if self.fetching.left(now) > 0 {
                self.ask(now, from);
            } else {
                self.retry(now);
            }
        }
    }

    /// Applies deltas in order, as far as they lead on. The last one that did.
    fn take_deltas(
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
            let applied = self.take_delta(now, from, delta);
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
            self.ask(now, from);
        }
    }
}

/// The first deltas that fit, encoded; one at least, unless it fits no message.
fn first_that_fit(chain: &[Arc<Delta>], max_answer_bytes: u32) -> Vec<Vec<u8>> {
    let max_answer_bytes = (max_answer_bytes as usize).min(MAX_MESSAGE_BYTES / 2);
    let mut used = 0;
    let mut encoded = Vec::new();
    for delta in chain.iter().take(MAX_DELTAS) {
        let bytes = delta.encode();
        used += bytes.len() + DELTA_OVERHEAD;
        let fits = if encoded.is_empty() {
            used + DELTAS_OVERHEAD <= MAX_MESSAGE_BYTES
        } else {
            used <= max_answer_bytes
        };
        if !fits {
            break;
        }
        encoded.push(bytes);
    }
    encoded
}
