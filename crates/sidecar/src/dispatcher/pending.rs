//! Requests that wait for their final response, and the tasks of their attempts.

use super::Transport;
use crate::client_stream::ClientPresence;
use havenplank::interface::Nanos;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// How far an attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptStage {
    /// It waits for a connection.
    Waiting,
    /// It was allowed to be written.
    Sent,
    /// It has ended.
    Ended,
}

/// The task that runs one attempt.
#[derive(Clone)]
pub(super) struct AttemptTask {
    handle: AbortHandle,
    began: Instant,
    pub(super) stage: Rc<Cell<AttemptStage>>,
}

impl AttemptTask {
    /// Wraps the handle of a task that starts now.
    pub(super) fn new(handle: AbortHandle) -> AttemptTask {
        AttemptTask {
            handle,
            began: Instant::now(),
            stage: Rc::new(Cell::new(AttemptStage::Waiting)),
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
    /// `None` for a request that was taken over: its client is not connected here.
    pub(super) client: Option<ClientPresence>,
    /// Whether the client has closed its connection and only attempts that were sent may still end.
    pub(super) is_client_closed: bool,
    /// Whether an attempt was sent.
    pub(super) was_sent: bool,
    /// The tasks of the request's attempts, indexed by attempt number; the engine numbers attempts in the order in
    /// which it requests them.
    pub(super) attempts: Vec<AttemptTask>,
}

impl<T: Transport> PendingResponse<T> {
    /// Returns whether an attempt was sent and has not ended.
    pub(super) fn awaits_pod(&self) -> bool {
        let mut stages = self.attempts.iter().map(|attempt| attempt.stage.get());
        stages.any(|stage| stage == AttemptStage::Sent)
    }
}
