//! Requests that wait for their final answer, and the tasks of their attempts.

use super::Transport;
use havenplank::interface::Nanos;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// The task that carries an attempt out.
#[derive(Clone)]
pub(super) struct AttemptTask {
    handle: AbortHandle,
    began: Instant,
}

impl AttemptTask {
    /// Notes a task that begins now.
    pub(super) fn new(handle: AbortHandle) -> AttemptTask {
        AttemptTask {
            handle,
            began: Instant::now(),
        }
    }

    /// Aborts the task and returns how long it ran, in ns; `None` where it had ended.
    pub(super) fn abort(&self) -> Option<Nanos> {
        if self.handle.is_finished() {
            return None;
        }
        self.handle.abort();
        Some(self.began.elapsed().as_nanos() as Nanos)
    }
}

/// A request whose client waits for its final answer.
pub(super) struct PendingResponse<T: Transport> {
    pub(super) request: Rc<T::Request>,
    pub(super) responder: oneshot::Sender<T::Response>,
    /// By their numbers; the engine hands attempts out in that order.
    pub(super) attempts: Vec<AttemptTask>,
}
