//! A whole snapshot, fetched bucket by bucket from any peer that holds the same version.

use super::budget::Budget;
use super::peers::Reach;
use super::{Event, Nanos, Replicator};
use crate::chunk::{next_chunk, Assembly, Chunk, Manifest};
use crate::message::{Claim, Message};
use crate::version::Version;
use havenplank_membership::member::MemberId;

/// A transfer under way; there is one at most.
pub(super) struct Transfer {
    claim: Claim,
    assembly: Assembly,
    source: MemberId,
    /// Until when the source may answer, where a chunk was asked for.
    until: Option<Nanos>,
    /// Sources that failed in a row.
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

    pub(super) fn next_wake(&self, fetching: &Budget) -> Nanos {
        self.until.unwrap_or_else(|| fetching.ready_at())
    }
}

impl Replicator {
    pub(super) fn manifest(&self) -> Message {
        Message::Manifest(Manifest::of(self.verified.head()))
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
        self.fetching.spend(now, bytes);
        let pending_pull = self.take_answer_from(from);
        if !pending_pull || self.transfer.is_some() || claim.version <= self.verified.version() {
            return;
        }
        match Assembly::new(self.verified.head(), manifest) {
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
                    until: None,
                    failures: 0,
                });
                self.finish_or_fetch(now);
            }
            Err(_) => {
                self.counts.bad_chunks += 1;
                self.retry(now);
            }
        }
    }

    /// Asks for the next chunk where the budget allows, and changes a silent source.
    pub(super) fn fetch_where_due(&mut self, now: Nanos) {
        let Some(transfer) = &self.transfer else {
            return;
        };
        match transfer.until {
            Some(until) if until <= now => self.change_source(now),
            Some(_) => {}
            None => self.want(now),
        }
    }

    fn want(&mut self, now: Nanos) {
        let left = self.fetching.left(now);
        let Some(transfer) = self.transfer.as_mut().filter(|_| left > 0) else {
            return;
        };
        transfer.until = Some(now.saturating_add(self.settings.answer_timeout));
        let message = Message::ChunkRequest {
            claim: transfer.claim,
            buckets: transfer.assembly.missing(),
        };
        let source = transfer.source.clone();
        self.send(&source, message);
    }

    fn finish_or_fetch(&mut self, now: Nanos) {
        match self.transfer.take() {
            Some(transfer) if transfer.missing() == 0 => self.finish(now, transfer),
            unfinished => {
                self.transfer = unfinished;
                self.want(now);
            }
        }
    }

    fn finish(&mut self, now: Nanos, transfer: Transfer) {
        let (claim, source) = (transfer.claim, transfer.source);
        let whole = transfer
            .assembly
            .finish()
            .ok()
            .filter(|snapshot| snapshot.digest() == claim.digest);
        let Some(snapshot) = whole else {
            self.counts.bad_chunks += 1;
            self.emit(Event::TransferFailed {
                version: claim.version,
            });
            self.retry(now);
            return;
        };
        if self.verified.replace(snapshot) {
            self.handle_newer_head(now);
            self.emit(Event::TransferDone {
                version: claim.version,
            });
            self.announce(None);
        }
        // Deltas since the transfer began.
        self.ask(now, &source);
    }

    /// Takes another source; where many failed, the transfer ends and the next pull may begin another.
    fn change_source(&mut self, now: Nanos) {
        let Some(mut transfer) = self.transfer.take() else {
            return;
        };
        transfer.failures += 1;
        let version = transfer.version();
        if transfer.failures > self.settings.max_source_failures {
            self.emit(Event::TransferFailed { version });
            self.retry(now);
            return;
        }
        self.emit(Event::SourceChanged {
            version,
            from: transfer.source.clone(),
        });
        let reach = if transfer.failures % 2 == 1 {
            Reach::Near
        } else {
            Reach::Any
        };
        if let Some(source) = self.peers.draw(&mut self.rng, &self.me, reach) {
            transfer.source = source;
        }
        transfer.until = None;
        self.transfer = Some(transfer);
        self.want(now);
    }

    pub(super) fn handle_chunk_request(
        &mut self,
        now: Nanos,
        from: &MemberId,
        claim: Claim,
        buckets: &[u16],
    ) {
        let allowed = self.serving.left(now) > 0;
        let found = self
            .verified
            .snapshot(claim)
            .filter(|_| allowed)
            .and_then(|verified| next_chunk(verified, buckets));
        let verified = self.verified.claim();
        match found {
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
        self.fetching.spend(now, bytes);
        let fits = |transfer: &&mut Transfer| {
            transfer.source == *from && transfer.version() == chunk.version
        };
        let Some(transfer) = self.transfer.as_mut().filter(fits) else {
            self.counts.repeats += 1;
            return;
        };
        if transfer.assembly.add_chunk(chunk).is_err() {
            self.counts.bad_chunks += 1;
            self.change_source(now);
            return;
        }
        transfer.until = None;
        transfer.failures = 0;
        self.finish_or_fetch(now);
    }

    pub(super) fn handle_unavailable(
        &mut self,
        now: Nanos,
        from: &MemberId,
        requested: Version,
        claim: Claim,
    ) {
        self.observe_claim(now, from, claim);
        let fits =
            |transfer: &Transfer| transfer.source == *from && transfer.version() == requested;
        if self.transfer.as_ref().is_some_and(fits) {
            self.change_source(now);
        }
    }
}
