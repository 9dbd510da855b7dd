//! The tasks of this sidecar that wait for the progress of one request.

use super::LeaseReply;
use havenplank_takeover::record::Outcome;
use std::collections::HashMap;
use tokio::sync::oneshot;

/// The channels to the tasks that wait for the progress of one request.
#[derive(Default)]
pub(super) struct Waiters {
    /// Waits for the lease.
    pub(super) lease: Option<oneshot::Sender<LeaseReply>>,
    /// Wait for the outcome from the sidecar that owns the request.
    pub(super) outcome: Vec<oneshot::Sender<LeaseReply>>,
    /// By index of an attempt: waits until the backups know of the attempt.
    pub(super) attempt_ready: HashMap<usize, oneshot::Sender<()>>,
    /// Waits in case another sidecar takes the request over.
    pub(super) lost: Option<oneshot::Sender<()>>,
}

impl Waiters {
    pub(super) fn reply_to_lease(&mut self, reply: LeaseReply) {
        if let Some(waiter) = self.lease.take() {
            let _ = waiter.send(reply);
        }
    }

    /// Lets the task that waits for the lease wait for the outcome, because another sidecar owns the request.
    pub(super) fn wait_for_outcome(&mut self) {
        self.outcome.extend(self.lease.take());
    }

    pub(super) fn notify_attempt_ready(&mut self, attempt: usize) {
        if let Some(waiter) = self.attempt_ready.remove(&attempt) {
            let _ = waiter.send(());
        }
    }

    pub(super) fn notify_lost(&mut self) {
        self.attempt_ready.clear();
        if let Some(waiter) = self.lost.take() {
            let _ = waiter.send(());
        }
    }

    pub(super) fn reply_finished(&mut self, outcome: &Outcome) {
        let waiters = self.lease.take().into_iter().chain(self.outcome.drain(..));
        for waiter in waiters {
            let _ = waiter.send(LeaseReply::Finished(outcome.clone()));
        }
        self.notify_lost();
    }

    pub(super) fn reply_unknown(&mut self) {
        for waiter in self.outcome.drain(..) {
            let _ = waiter.send(LeaseReply::Unknown);
        }
    }

    /// Drops the waiters whose receivers are closed, and returns whether any waiter is left.
    pub(super) fn is_needed(&mut self) -> bool {
        self.outcome.retain(|waiter| !waiter.is_closed());
        let waits_for_lease = self
            .lease
            .as_ref()
            .is_some_and(|waiter| !waiter.is_closed());
        let is_watched = self.lost.as_ref().is_some_and(|waiter| !waiter.is_closed());
        waits_for_lease || is_watched || !self.outcome.is_empty() || !self.attempt_ready.is_empty()
    }
}
