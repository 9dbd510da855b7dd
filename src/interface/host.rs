//! The effects that the router asks for.

use super::{AttemptOutcome, Build, HealthCheckResult, Nanos, PodId, RequestId, Vote, VoteReply};
use crate::router::Router;

/// What to do with the result of a step.
pub type Callback<R> = Box<dyn FnOnce(&mut Router, &mut dyn Host, R)>;

/// The effects a host carries out. Each acts at the host's present clock time, in the order called.
pub trait Host {
    /// The present time.
    fn now(&self) -> Nanos;
    /// Whether the request still wants its final answer; false once it was answered or its client left.
    fn is_open(&self, request: RequestId) -> bool;
    /// Sends an attempt of a request to a pod and waits for its answer until the timeout.
    fn send_attempt(
        &mut self,
        request: RequestId,
        pod: PodId,
        timeout: Nanos,
        on_done: Callback<AttemptOutcome>,
    );
    /// Stops waiting for the given attempt of a request, counted from 0; its outcome still comes.
    fn cancel_attempt(&mut self, request: RequestId, attempt: u32);
    /// Final answer: a retry is harmless. `retry_after` 0 gives the client no advice.
    fn reject(&mut self, request: RequestId, retry_after: Nanos);
    /// Final answer that promises nothing.
    fn fail(&mut self, request: RequestId);
    /// Sends a vote on a build's stage to the control plane.
    fn cast_vote(&mut self, build: Build, stage: usize, vote: Vote, on_done: Callback<VoteReply>);
    /// Sends a health check to a pod.
    fn health_check(&mut self, pod: PodId, on_done: Callback<HealthCheckResult>);
    /// Asks for the endpoint list once.
    fn poll_endpoints(&mut self);
    /// Starts or ends the watch on the endpoint list.
    fn watch_endpoints(&mut self, on: bool);
    /// Calls back after a span.
    fn set_timer(&mut self, after: Nanos, on_done: Callback<()>);
    /// Writes a line to the log.
    fn log(&mut self, line: &str);
}
