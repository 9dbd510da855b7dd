//! Requests that wait for their final response, and the tasks of their attempts.

use super::Transport;
use havenplank::interface::Nanos;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// The task that runs one attempt.
#[derive(Clone)]
pub(super) struct AttemptTask {
    handle: AbortHandle,
    began: Instant,
}

impl AttemptTask {
    /// Wraps the handle of a task that starts now.
    pub(super) fn new(handle: AbortHandle) -> AttemptTask {
        AttemptTask {
            handle,
            began: Instant::now(),
        }
    }

    /// Aborts the task and returns how long it ran, in nanoseconds; `None` if the task had ended before.
    pub(super) fn abort(&self) -> Option<Nanos> {
        if self.handle.is_finished() {
            return None;
        }
        self.handle.abort();
        Some(self.began.elapsed().as_nanos() as Nanos)
    }
}

/// A request whose client waits for its final response.
pub(super) struct PendingResponse<T: Transport> {
    pub(super) request: Rc<T::Request>,
    pub(super) responder: oneshot::Sender<T::Response>,
    /// The tasks of the request's attempts, indexed by attempt number; the engine numbers attempts in the order in
    /// which it requests them.
    pub(super) attempts: Vec<AttemptTask>,
}
