//! Decides what a sidecar may promise about a request that other sidecars may take over. Performs no I/O.

use havenplank::interface::{DedupScope, Idempotency, RouteClass};

/// Returns whether a request must not run twice: its client relies on its key, and the pods do not drop every repeat.
/// Such a request is rejected if its owner is uncertain. Other requests are served without backups in that case.
pub fn must_not_repeat(rules: &RouteClass, has_client_key: bool) -> bool {
    let is_harmless = rules.idempotency == Idempotency::Idempotent;
    let pods_drop_repeats =
        rules.idempotency == Idempotency::Keyed && rules.dedup_scope == DedupScope::All;
    has_client_key && !is_harmless && !pods_drop_repeats
}

/// What a sidecar knows about the protection of a request when it responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProtectionState {
    /// The client sent a key, so its retry is recognised as the same request.
    pub has_client_key: bool,
    /// An attempt of the request was announced to backups.
    pub announced: bool,
    /// Backups hold the request.
    pub backed_up: bool,
}

/// Returns whether the client may be promised that a retry of its request is harmless.
///
/// The promise is unsafe if the client sent no key and the backups may still expect the request to be finished: if this
/// sidecar were lost now, a backup would take the request over, and both the takeover and the client's retry would run.
/// For a request that may be repeated, the promise is always allowed.
pub fn may_promise_harmless_retry(idempotency: Idempotency, state: ProtectionState) -> bool {
    let may_be_taken_over = !state.has_client_key && state.announced && state.backed_up;
    idempotency != Idempotency::NonIdempotent || !may_be_taken_over
}

#[cfg(test)]
#[path = "../tests/unit/takeover_policy.rs"]
mod tests;
