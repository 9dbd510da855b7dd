//! Between what is verified here and what the host has in force.

use super::{Effect, Event, Nanos, Replicator};
use crate::message::{Claim, LagReason};
use crate::snapshot::Snapshot;
use crate::version::Version;

/// The longest reason that is kept and told.
const MAX_REASON_BYTES: usize = 256;

/// A version that the host could not take in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The version.
    pub version: Version,
    /// Why, in the words of the host.
    pub reason: String,
}

/// What the host has, and what it was offered.
pub(super) struct Installation {
    in_force: Snapshot,
    pub(super) since: Nanos,
    offered: Option<Snapshot>,
    pub(super) rejected: Option<Rejection>,
    retry: Option<OfferRetry>,
}

/// When a rejected version is offered again.
#[derive(Clone, Copy)]
struct OfferRetry {
    at: Nanos,
    /// The wait after that.
    backoff: Nanos,
}

impl Installation {
    pub(super) fn new(now: Nanos, in_force: Snapshot) -> Installation {
        Installation {
            in_force,
            since: now,
            offered: None,
            rejected: None,
            retry: None,
        }
    }

    pub(super) fn version(&self) -> Version {
        self.in_force.version()
    }

    pub(super) fn snapshot(&self) -> &Snapshot {
        &self.in_force
    }

    /// A version that is in force without being offered, as at the writer.
    pub(super) fn replace(&mut self, now: Nanos, snapshot: Snapshot) {
        *self = Installation::new(now, snapshot);
    }

    pub(super) fn next_wake(&self) -> Option<Nanos> {
        self.retry.map(|retry| retry.at)
    }

    /// `None` where the claimed version or a newer one is in force.
    pub(super) fn lag_reason(&self, claim: Claim) -> Option<LagReason> {
        let version = self.version();
        if version > claim.version
            || (version == claim.version && self.in_force.digest() == claim.digest)
        {
            return None;
        }
        let rejected = self
            .rejected
            .as_ref()
            .is_some_and(|rejected| rejected.version == claim.version);
        Some(match (version == claim.version, rejected) {
            (true, _) => LagReason::Differs,
            (false, true) => LagReason::Rejected,
            (false, false) => LagReason::Behind(version),
        })
    }
}

impl Replicator {
    /// The host has taken over the version that was offered last. Any other is passed over.
    pub fn confirm_installed(&mut self, now: Nanos, version: Version) {
        let fits = |offered: &mut Snapshot| offered.version() == version;
        let Some(snapshot) = self.installation.offered.take_if(fits) else {
            return;
        };
        self.installation.replace(now, snapshot);
        if self.newest_known.version <= version {
            self.behind_since = None;
        }
    }

    /// The host cannot take over the version that was offered last. What was in force stays; the version is offered
    /// again with growing waits, as what stood in its way may be gone, or until a newer one takes its place.
    pub fn report_rejected(&mut self, now: Nanos, version: Version, reason: &str) {
        let fits = |offered: &mut Snapshot| offered.version() == version;
        if self.installation.offered.take_if(fits).is_none() {
            return;
        }
        let before = self.installation.rejected.as_ref();
        let is_repeat = before.is_some_and(|before| before.version == version);
        let backoff = match self.installation.retry {
            Some(retry) if is_repeat => retry.backoff,
            _ => self.settings.initial_offer_backoff,
        };
        self.installation.retry = Some(OfferRetry {
            at: now.saturating_add(backoff),
            backoff: backoff
                .saturating_mul(2)
                .min(self.settings.max_offer_backoff),
        });
        let rejection = Rejection {
            version,
            reason: shortened(reason),
        };
        self.installation.rejected = Some(rejection.clone());
        self.counts.rejected += 1;
        self.emit(Event::Rejected(rejection));
    }

    /// Offers the newest verified version to the host.
    pub(super) fn offer(&mut self, now: Nanos) {
        let head = self.verified.head().clone();
        self.behind_since.get_or_insert(now);
        self.installation.offered = Some(head.clone());
        self.effects
            .retain(|effect| !matches!(effect, Effect::Install(_)));
        self.effects.push_back(Effect::Install(head));
    }

    pub(super) fn offer_where_due(&mut self, now: Nanos) {
        let due = self.installation.retry.filter(|retry| retry.at <= now);
        if let Some(retry) = due {
            // Moved on at once, so that a host that does not answer is not asked in each turn.
            self.installation.retry = Some(OfferRetry {
                at: now.saturating_add(retry.backoff),
                ..retry
            });
            self.offer(now);
        }
    }
}

/// At most [`MAX_REASON_BYTES`] of a text, in whole characters.
fn shortened(reason: &str) -> String {
    let end = (0..=MAX_REASON_BYTES.min(reason.len()))
        .rev()
        .find(|end| reason.is_char_boundary(*end));
    reason[..end.unwrap_or(0)].to_string()
}
