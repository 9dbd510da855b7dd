//! Fetches a complete snapshot in chunks of buckets, from any peer that has the same version.

use super::budget::Budget;
use super::peers::RegionFilter;
use super::{Event, Nanos, Replicator};
use crate::chunk::{next_chunk, Assembly, Chunk, Manifest};
use crate::message::{Claim, Message};
use crate::version::Version;
use havenplank_membership::member::MemberId;

/// The transfer that is under way; a process has at most one.
pub(super) struct Transfer {
    claim: Claim,
    assembly: Assembly,
    source: MemberId,
    /// When the pending chunk request times out; `None` if no request is pending.
    answer_deadline: Option<Nanos>,
    /// How many sources have failed in a row.
    failures: u32,
}

impl Transfer {
    pub(super) fn version(&self) -> Version {
        self.claim.version
    }

    pub(super) fn source(&self) -> &MemberId {
        &self.source
    }

    pub(super) fn missing(&self) -> usize {
        self.assembly.missing().len()
    }

    pub(super) fn next_wake(&self, fetch_budget: &Budget) -> Nanos {
        self.answer_deadline
            .unwrap_or_else(|| fetch_budget.ready_at())
    }
}

impl Replicator {
    pub(super) fn manifest(&self) -> Message {
        Message::Manifest(Manifest::of(self.verified.newest()))
    }

    pub(super) fn handle_manifest(
        &mut self,
        now: Nanos,
        from: &MemberId,
        manifest: Manifest,
        bytes: usize,
    ) {
        let claim = Claim {
            version: manifest.version,
            digest: manifest.digest,
        };
        self.observe_claim(now, from, claim);
        self.fetch_budget.spend(now, bytes);
        let is_answer = self.clear_pending_pull(from);
        if !is_answer || self.transfer.is_some() || claim.version <= self.verified.version() {
            return;
        }
        match Assembly::new(self.verified.newest(), manifest) {
            Ok(assembly) => {
                let missing = assembly.missing().len();
                self.emit(Event::TransferBegan {
                    version: claim.version,
                    missing,
                });
                let source = from.clone();
                self.transfer = Some(Transfer {
                    claim,
                    assembly,
                    source,
                    answer_deadline: None,
                    failures: 0,
                });
                self.finish_or_request_chunk(now);
            }
            Err(_) => {
                self.counts.bad_chunks += 1;
                self.schedule_retry(now);
            }
        }
    }

    /// Requests the next chunk if the budget allows it, and changes the source if a request has timed out.
    pub(super) fn fetch_if_due(&mut self, now: Nanos) {
        let Some(transfer) = &self.transfer else {
            return;
        };
        match transfer.answer_deadline {
            Some(deadline) if deadline <= now => self.change_source(now),
            Some(_) => {}
            None => self.request_chunk(now),
        }
    }

    fn request_chunk(&mut self, now: Nanos) {
        let available = self.fetch_budget.available(now);
        let Some(transfer) = self.transfer.as_mut().filter(|_| available > 0) else {
            return;
        };
        transfer.answer_deadline = Some(now.saturating_add(self.settings.answer_timeout));
        let message = Message::ChunkRequest {
            claim: transfer.claim,
            buckets: transfer.assembly.missing(),
        };
        let source = transfer.source.clone();
        self.send(&source, message);
    }

    fn finish_or_request_chunk(&mut self, now: Nanos) {
        match self.transfer.take() {
            Some(transfer) if transfer.missing() == 0 => self.finish(now, transfer),
            unfinished => {
                self.transfer = unfinished;
                self.request_chunk(now);
            }
        }
    }

    fn finish(&mut self, now: Nanos, transfer: Transfer) {
        let (claim, source) = (transfer.claim, transfer.source);
        let verified = transfer
            .assembly
            .finish()
            .ok()
            .filter(|snapshot| snapshot.digest() == claim.digest);
        let Some(snapshot) = verified else {
            self.counts.bad_chunks += 1;
            self.emit(Event::TransferFailed {
                version: claim.version,
            });
            self.schedule_retry(now);
            return;
        };
        if self.verified.replace(snapshot) {
            self.handle_new_verified_version(now);
            self.emit(Event::TransferDone {
                version: claim.version,
            });
            self.announce(None);
        }
        // Newer deltas may have reached the source since the transfer began.
        self.send_pull(now, &source);
    }

    /// Continues from another source. After too many failures in a row the transfer ends; the next pull may begin
    /// another.
    fn change_source(&mut self, now: Nanos) {
        let Some(mut transfer) = self.transfer.take() else {
            return;
        };
        transfer.failures += 1;
        let version = transfer.version();
        if transfer.failures > self.settings.max_source_failures {
            self.emit(Event::TransferFailed { version });
            self.schedule_retry(now);
            return;
        }
        self.emit(Event::SourceChanged {
            version,
            from: transfer.source.clone(),
        });
        let region_filter = if transfer.failures % 2 == 1 {
            RegionFilter::Same
        } else {
            RegionFilter::Any
        };
        if let Some(source) = self
            .peers
            .pick_random(&mut self.rng, &self.me, region_filter)
        {
            transfer.source = source;
        }
        transfer.answer_deadline = None;
        self.transfer = Some(transfer);
        self.request_chunk(now);
    }

    pub(super) fn handle_chunk_request(
        &mut self,
        now: Nanos,
        from: &MemberId,
        claim: Claim,
        buckets: &[u16],
    ) {
        let has_budget = self.serve_budget.available(now) > 0;
        let chunk = self
            .verified
            .snapshot(claim)
            .filter(|_| has_budget)
            .and_then(|verified| next_chunk(verified, buckets));
        let verified = self.verified.claim();
        match chunk {
            Some(chunk) => self.send_served(now, from, Message::Chunk(chunk)),
            None => self.send(
                from,
                Message::Unavailable {
                    requested: claim.version,
                    claim: verified,
                },
            ),
        }
    }

    pub(super) fn handle_chunk(&mut self, now: Nanos, from: &MemberId, chunk: Chunk, bytes: usize) {
        self.fetch_budget.spend(now, bytes);
        let matches_transfer = |transfer: &&mut Transfer| {
            transfer.source == *from && transfer.version() == chunk.version
        };
        let Some(transfer) = self.transfer.as_mut().filter(matches_transfer) else {
            self.counts.repeats += 1;
            return;
        };
        if transfer.assembly.add_chunk(chunk).is_err() {
            self.counts.bad_chunks += 1;
            self.change_source(now);
            return;
        }
        transfer.answer_deadline = None;
        transfer.failures = 0;
        self.finish_or_request_chunk(now);
    }

    pub(super) fn handle_unavailable(
        &mut self,
        now: Nanos,
        from: &MemberId,
        requested: Version,
        claim: Claim,
    ) {
        self.observe_claim(now, from, claim);
        let matches_transfer =
            |transfer: &Transfer| transfer.source == *from && transfer.version() == requested;
        if self.transfer.as_ref().is_some_and(matches_transfer) {
            self.change_source(now);
        }
    }
}
