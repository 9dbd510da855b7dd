//! Decides what a sidecar may promise of a request that others may take over. Free of I/O.

use havenplank::interface::{DedupScope, Idempotency, RouteClass};

/// Returns whether a request must not run twice, whatever that costs: its client counts on its key, and no pod drops a
/// repeat. Such a request is rejected where it is not sure who owns it; others are served without backups.
pub fn must_not_repeat(rules: &RouteClass, has_client_key: bool) -> bool {
    let is_harmless = rules.idempotency == Idempotency::Idempotent;
    let pods_drop_repeats =
        rules.idempotency == Idempotency::Keyed && rules.dedup_scope == DedupScope::All;
    has_client_key && !is_harmless && !pods_drop_repeats
}

/// What is known of a request when it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProtectionState {
    /// The client can name the request, and so finds it again.
    pub has_client_key: bool,
    /// Some attempt of it was announced to backups.
    pub announced: bool,
    /// Backups know of the request.
    pub backed_up: bool,
}

/// Returns whether a client may be told that its request never ran and that a retry does no harm.
///
/// Where it cannot name the request, and backups may believe for a moment longer that it is to be finished, that is not
/// sure: if this sidecar were lost now, both the retry and a takeover would run. A request that may be repeated is
/// always rejected.
pub fn may_promise_that_it_never_ran(idempotency: Idempotency, known: ProtectionState) -> bool {
    let may_be_taken_over = !known.has_client_key && known.announced && known.backed_up;
    idempotency != Idempotency::NonIdempotent || !may_be_taken_over
}

#[cfg(test)]
#[path = "../tests/unit/takeover_policy.rs"]
mod tests;
