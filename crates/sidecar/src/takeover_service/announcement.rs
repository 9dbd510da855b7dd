//! Announces attempts to the backups of their request.

use super::TakeoverService;
use havenplank_takeover::record::{AttemptState, RequestId};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::oneshot;

impl TakeoverService {
    /// Tells the backups of an attempt, and where `wait` says so waits until they know. `None` where it may not be
    /// sent.
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
        let mut all = self.waiters.borrow_mut();
        let waiters = all.entry(id).or_default();
        waiters.attempt_ready.insert(attempt, sender);
        ready
    }
}

/// One attempt that was announced to backups; whatever becomes of the task that carries it, they learn how it ended.
pub struct AnnouncedAttempt {
    service: Rc<TakeoverService>,
    id: RequestId,
    attempt: usize,
    sent: Cell<bool>,
    served: Cell<bool>,
}

impl AnnouncedAttempt {
    /// Notes whether it may have run from here on.
    pub fn set_sent(&self, sent: bool) {
        self.sent.set(sent);
    }

    /// Notes that the pod's answer proves that it never ran.
    pub fn set_never_ran(&self) {
        self.sent.set(false);
    }

    /// Notes that its response is the final answer, which says it all.
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
