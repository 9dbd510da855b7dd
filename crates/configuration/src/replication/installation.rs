//! Offers verified versions to the host, and records which version the host has in force.

use super::{Effect, Event, Nanos, Replicator};
use crate::message::{Claim, LagReason};
use crate::snapshot::Snapshot;
use crate::version::Version;

/// Longest reason of a rejection that is kept and reported, in bytes; the rest is cut off.
const MAX_REASON_BYTES: usize = 256;

/// A version that the host rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The version.
    pub version: Version,
    /// The reason that the host gave, truncated if it is long.
    pub reason: String,
}

/// The version that the host has in force, and the version that it was offered.
pub(super) struct Installation {
    in_force: Snapshot,
    pub(super) in_force_since: Nanos,
    offered: Option<Snapshot>,
    pub(super) rejected: Option<Rejection>,
    retry: Option<OfferRetry>,
}

/// When a rejected version is offered again.
#[derive(Clone, Copy)]
struct OfferRetry {
    at: Nanos,
    /// The delay between this offer and the next one.
    backoff: Nanos,
}

impl Installation {
    pub(super) fn new(now: Nanos, in_force: Snapshot) -> Installation {
        Installation {
            in_force,
            in_force_since: now,
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

    /// Sets the version in force and clears any offer and rejection.
    pub(super) fn replace(&mut self, now: Nanos, snapshot: Snapshot) {
        *self = Installation::new(now, snapshot);
    }

    pub(super) fn next_wake(&self) -> Option<Nanos> {
        self.retry.map(|retry| retry.at)
    }

    /// Returns why the claimed version is not in force; `None` if it or a newer one is in force.
    pub(super) fn lag_reason(&self, claim: Claim) -> Option<LagReason> {
        let version = self.version();
        if version > claim.version
            || (version == claim.version && self.in_force.digest() == claim.digest)
        {
            return None;
        }
        let is_rejected = self
            .rejected
            .as_ref()
            .is_some_and(|rejected| rejected.version == claim.version);
        Some(match (version == claim.version, is_rejected) {
            (true, _) => LagReason::Differs,
            (false, true) => LagReason::Rejected,
            (false, false) => LagReason::Behind(version),
        })
    }
}

impl Replicator {
    /// Records that the host has installed the version that was offered last. Any other version is ignored.
    pub fn confirm_installed(&mut self, now: Nanos, version: Version) {
        let is_offered = |offered: &mut Snapshot| offered.version() == version;
        let Some(snapshot) = self.installation.offered.take_if(is_offered) else {
            return;
        };
        self.installation.replace(now, snapshot);
        if self.newest_known.version <= version {
            self.behind_since = None;
        }
    }

    /// Records that the host rejected the version that was offered last. The version in force stays. The rejected
    /// version is offered again after growing delays, because the obstacle may have gone, until a newer version
    /// replaces it.
    pub fn report_rejected(&mut self, now: Nanos, version: Version, reason: &str) {
        let is_offered = |offered: &mut Snapshot| offered.version() == version;
        if self.installation.offered.take_if(is_offered).is_none() {
            return;
        }
        let previous = self.installation.rejected.as_ref();
        let is_repeat = previous.is_some_and(|previous| previous.version == version);
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
            reason: truncate_reason(reason),
        };
        self.installation.rejected = Some(rejection.clone());
        self.counts.rejected += 1;
        self.emit(Event::Rejected(rejection));
    }

    /// Offers the newest verified version to the host.
    pub(super) fn offer(&mut self, now: Nanos) {
        let newest = self.verified.newest().clone();
        self.behind_since.get_or_insert(now);
        self.installation.offered = Some(newest.clone());
        self.effects
            .retain(|effect| !matches!(effect, Effect::Install(_)));
        self.effects.push_back(Effect::Install(newest));
    }

    pub(super) fn offer_if_due(&mut self, now: Nanos) {
        let due = self.installation.retry.filter(|retry| retry.at <= now);
        if let Some(retry) = due {
            // The next offer is scheduled now, so that a host that does not answer is not offered the version at each
            // wake.
            self.installation.retry = Some(OfferRetry {
                at: now.saturating_add(retry.backoff),
                ..retry
            });
            self.offer(now);
        }
    }
}

/// Returns the start of a reason, at most [`MAX_REASON_BYTES`] long and cut at a character boundary.
fn truncate_reason(reason: &str) -> String {
    let end = (0..=MAX_REASON_BYTES.min(reason.len()))
        .rev()
        .find(|end| reason.is_char_boundary(*end));
    reason[..end.unwrap_or(0)].to_string()
}
