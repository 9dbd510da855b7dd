//! Announces the attempts of a request to its backups.

use super::TakeoverService;
use havenplank_takeover::record::{AttemptState, RequestId};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::oneshot;

impl TakeoverService {
    /// Announces an attempt to the backups of its request. If `wait` is set, waits until they have acknowledged it.
    /// Returns `None` if this sidecar does not own the request; with `wait`, the attempt must not be sent then.
    pub async fn announce_attempt(
        self: &Rc<Self>,
        id: RequestId,
        pod: &str,
        wait: bool,
    ) -> Option<AnnouncedAttempt> {
        let now = self.membership.now();
        let attempt = self.takeover.borrow_mut().begin_attempt(now, id, pod)?;
        let announced = AnnouncedAttempt {
            service: self.clone(),
            id,
            attempt,
            sent: Cell::new(false),
            served: Cell::new(false),
        };
        let ready = wait.then(|| self.wait_for_backups(id, attempt));
        self.perform_effects();
        if let Some(ready) = ready {
            ready.await.ok()?;
        }
        Some(announced)
    }

    fn wait_for_backups(&self, id: RequestId, attempt: usize) -> oneshot::Receiver<()> {
        let (sender, ready) = oneshot::channel();
        let mut waiters_by_request = self.waiters.borrow_mut();
        let waiters = waiters_by_request.entry(id).or_default();
        waiters.attempt_ready.insert(attempt, sender);
        ready
    }
}

/// One attempt that was announced to backups. When the value is dropped, even by a cancelled task, the backups are
/// notified of how the attempt ended.
pub struct AnnouncedAttempt {
    service: Rc<TakeoverService>,
    id: RequestId,
    attempt: usize,
    sent: Cell<bool>,
    served: Cell<bool>,
}

impl AnnouncedAttempt {
    /// Sets whether the attempt may have run, because it has been sent.
    pub fn set_sent(&self, sent: bool) {
        self.sent.set(sent);
    }

    /// Records that the attempt provably never ran.
    pub fn set_never_ran(&self) {
        self.sent.set(false);
    }

    /// Records that the response of the attempt is the final response. The backups get that as the outcome of the
    /// request, so the end of the attempt is not announced separately.
    pub fn set_served(&self) {
        self.served.set(true);
    }
}

impl Drop for AnnouncedAttempt {
    fn drop(&mut self) {
        if self.served.get() {
            return;
        }
        let now = self.service.membership.now();
        let state = if self.sent.get() {
            AttemptState::MayHaveRun
        } else {
            AttemptState::NeverRan
        };
        let mut takeover = self.service.takeover.borrow_mut();
        takeover.end_attempt(now, self.id, self.attempt, state);
        drop(takeover);
        self.service.perform_effects();
    }
}
