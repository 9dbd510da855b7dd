//! The effects that the router requests from its host.

use super::{AttemptOutcome, Build, HealthCheckResult, Nanos, PodId, RequestId, Vote, VoteReply};
use crate::router::Router;

/// Continues the work of the router with the result of an effect.
pub type Callback<R> = Box<dyn FnOnce(&mut Router, &mut dyn Host, R)>;

/// The effects that a host carries out. Each takes place at the host's current time, in the order of the calls.
pub trait Host {
    /// Returns the current time.
    fn now(&self) -> Nanos;
    /// Whether the request still awaits its final answer: it is neither answered nor abandoned by its client.
    fn is_open(&self, request: RequestId) -> bool;
    /// Sends an attempt of a request to a pod and waits for the answer for `timeout` at most.
    fn send_attempt(
        &mut self,
        request: RequestId,
        pod: PodId,
        timeout: Nanos,
        on_done: Callback<AttemptOutcome>,
    );
    /// Cancels an attempt of a request. Attempts are counted from 0. The callback of the attempt is still called,
    /// with its outcome.
    fn cancel_attempt(&mut self, request: RequestId, attempt: u32);
    /// Gives the final answer that the request was rejected and a retry by the client is harmless. A `retry_after`
    /// of 0 gives the client no advice on when to retry.
    fn reject(&mut self, request: RequestId, retry_after: Nanos);
    /// Gives the final answer that the request failed, without a promise that a retry is harmless.
    fn fail(&mut self, request: RequestId);
    /// Sends a vote on a build's stage to the control plane.
    fn cast_vote(&mut self, build: Build, stage: usize, vote: Vote, on_done: Callback<VoteReply>);
    /// Sends a health check to a pod.
    fn health_check(&mut self, pod: PodId, on_done: Callback<HealthCheckResult>);
    /// Requests the endpoint list once.
    fn poll_endpoints(&mut self);
    /// Starts or ends the watch on the endpoint list: a subscription to the list and its changes.
    fn watch_endpoints(&mut self, on: bool);
    /// Calls `on_done` after a delay.
    fn set_timer(&mut self, after: Nanos, on_done: Callback<()>);
    /// Writes a line to the log.
    fn log(&mut self, line: &str);
}
