//! Those here that wait for word on one request.

use super::LeaseReply;
use havenplank_takeover::record::Outcome;
use std::collections::HashMap;
use tokio::sync::oneshot;

/// Those here that wait for word on one request.
#[derive(Default)]
pub(super) struct Waiters {
    pub(super) lease: Option<oneshot::Sender<LeaseReply>>,
    pub(super) outcome: Vec<oneshot::Sender<LeaseReply>>,
    pub(super) attempt_ready: HashMap<usize, oneshot::Sender<()>>,
    pub(super) lost: Option<oneshot::Sender<()>>,
}

impl Waiters {
    pub(super) fn reply_to_lease(&mut self, reply: LeaseReply) {
        if let Some(waiter) = self.lease.take() {
            let _ = waiter.send(reply);
        }
    }

    /// Waits for the outcome in place of the lease, as another sidecar owns the request.
    pub(super) fn join(&mut self) {
        self.outcome.extend(self.lease.take());
    }

    pub(super) fn attempt_ready(&mut self, attempt: usize) {
        if let Some(waiter) = self.attempt_ready.remove(&attempt) {
            let _ = waiter.send(());
        }
    }

    pub(super) fn lose(&mut self) {
        self.attempt_ready.clear();
        if let Some(waiter) = self.lost.take() {
            let _ = waiter.send(());
        }
    }

    pub(super) fn finish(&mut self, outcome: &Outcome) {
        let waiters = self.lease.take().into_iter().chain(self.outcome.drain(..));
        for waiter in waiters {
            let _ = waiter.send(LeaseReply::Finished(outcome.clone()));
        }
        self.lose();
    }

    pub(super) fn give_up(&mut self) {
        for waiter in self.outcome.drain(..) {
            let _ = waiter.send(LeaseReply::Unknown);
        }
    }

    /// Drops whoever went away, and returns whether anybody is left.
    pub(super) fn is_needed(&mut self) -> bool {
        self.outcome.retain(|waiter| !waiter.is_closed());
        let leases = self
            .lease
            .as_ref()
            .is_some_and(|waiter| !waiter.is_closed());
        let owns = self.lost.as_ref().is_some_and(|waiter| !waiter.is_closed());
        leases || owns || !self.outcome.is_empty() || !self.attempt_ready.is_empty()
    }
}
