//! What becomes of a request whose client has left.

use super::pending::{AttemptStage, PendingResponse};
use super::{AttemptId, Dispatcher, Transport};
use crate::client_stream::ClientPresence;
use havenplank::interface::{AttemptEnd, RequestId};
use std::rc::Rc;

impl<T: Transport> Dispatcher<T> {
    /// Ends the wait for a final response because the client disconnected. Attempts in flight continue. Has no effect
    /// on a request that has its final response.
    pub fn client_left(self: &Rc<Self>, request: RequestId) {
        let pending = self.pending.borrow_mut().remove(&request);
        if pending.is_some() {
            self.call(|engine, now| engine.client_left(now, request));
        }
    }

    /// Does the same as [`Dispatcher::client_left`] and also cancels the attempts in flight: for protocols in which a
    /// client that closes its connection no longer wants the request to run. Returns whether the request was in flight.
    pub fn cancel_request(self: &Rc<Self>, request: RequestId) -> bool {
        self.abandon(request).is_some()
    }

    /// Removes a request whose client has left and cancels its attempts in flight.
    fn abandon(self: &Rc<Self>, request: RequestId) -> Option<PendingResponse<T>> {
        let pending = self.pending.borrow_mut().remove(&request)?;
        tracing::debug!(
            request,
            was_sent = pending.was_sent,
            "request ended: its client has left"
        );
        self.call(|engine, now| engine.client_left(now, request));
        for (number, task) in (0..).zip(&pending.attempts) {
            // The attempt that ends just now may run in this task.
            if task.stage.get() != AttemptStage::Ended {
                self.abort_attempt(AttemptId { request, number }, task);
            }
        }
        Some(pending)
    }

    /// Begins no further attempt for a request whose client has closed its connection. Attempts that were sent continue,
    /// and one of them may still be served; without any, the request ends now.
    pub fn client_closed(self: &Rc<Self>, request: RequestId) {
        let mut all = self.pending.borrow_mut();
        let Some(pending) = all.get_mut(&request) else {
            return;
        };
        pending.is_client_closed = true;
        let awaits_pod = pending.awaits_pod();
        drop(all);
        if !awaits_pod {
            self.end_abandoned(request);
        }
    }

    /// Ends a request whose client has closed its connection and of which no attempt is sent any more.
    pub(super) fn end_abandoned(self: &Rc<Self>, request: RequestId) {
        let Some(pending) = self.abandon(request) else {
            return;
        };
        let response = if pending.was_sent {
            self.transport.failed(false)
        } else {
            self.transport.rejected(0)
        };
        // Nobody receives it if the connection has ended, which is not an error.
        let _ = pending.responder.send(response);
    }

    /// Returns whether the client of an attempt has left, right before the attempt is written.
    pub(super) fn has_client_left(&self, attempt: AttemptId) -> bool {
        let AttemptId { request, number } = attempt;
        let mut all = self.pending.borrow_mut();
        let Some(pending) = all.get_mut(&request) else {
            return false;
        };
        let has_left = pending
            .client
            .as_ref()
            .is_some_and(ClientPresence::has_left);
        if has_left {
            pending.is_client_closed = true;
            self.withheld_attempts.set(self.withheld_attempts.get() + 1);
            tracing::debug!(
                request,
                attempt = number,
                "attempt not sent: its client has left"
            );
        }
        has_left
    }

    /// Records that an attempt is about to be written.
    pub(super) fn record_sent(&self, attempt: AttemptId) {
        let mut all = self.pending.borrow_mut();
        let Some(pending) = all.get_mut(&attempt.request) else {
            return;
        };
        pending.was_sent = true;
        if let Some(task) = pending.attempts.get(attempt.number as usize) {
            task.stage.set(AttemptStage::Sent);
        }
        tracing::debug!(
            request = attempt.request,
            attempt = attempt.number,
            "attempt sent"
        );
    }

    /// Records that an attempt has ended. Returns whether that ends a request whose client has closed its connection.
    pub(super) fn record_ended(&self, attempt: AttemptId, end: AttemptEnd) -> bool {
        let all = self.pending.borrow();
        let Some(pending) = all.get(&attempt.request) else {
            return false;
        };
        if let Some(task) = pending.attempts.get(attempt.number as usize) {
            task.stage.set(AttemptStage::Ended);
        }
        pending.is_client_closed && end != AttemptEnd::Served && !pending.awaits_pod()
    }

    /// Returns the number of attempts that were not sent because their clients had left, since the start.
    pub fn withheld_attempts(&self) -> u64 {
        self.withheld_attempts.get()
    }
}
