//! The interface between a dispatcher and the protocol that carries its effects out.

use super::{AttemptId, Dispatcher};
use havenplank::interface::{AttemptEnd, Build, LoadReport, Nanos, PodId, Vote};
use std::future::Future;
use std::rc::Rc;

/// Carries out the engine's effects in one protocol. Makes no decisions.
pub trait Transport: Sized + 'static {
    /// A request in a form that can be sent any number of times.
    type Request: 'static;
    /// A final response to a client.
    type Response: 'static;

    /// Runs one attempt and calls [`Dispatcher::attempt_ended`] once, when the attempt has ended.
    fn send_attempt(
        dispatcher: Rc<Dispatcher<Self>>,
        request: Rc<Self::Request>,
        attempt: AttemptId,
        pod: PodId,
        timeout: Nanos,
    ) -> impl Future<Output = ()> + 'static;

    /// Builds the response that a request was rejected. `retry_after` is in nanoseconds; 0 gives the client no advice.
    fn rejected(&self, retry_after: Nanos) -> Self::Response;

    /// Builds the response that a request failed.
    fn failed(&self, timed_out: bool) -> Self::Response;

    /// Sends a vote and ensures that [`Engine::vote_answered`](crate::engine::Engine::vote_answered) is called with its
    /// result.
    fn cast_vote(
        dispatcher: &Rc<Dispatcher<Self>>,
        id: u64,
        build: Build,
        stage: usize,
        vote: Vote,
    );

    /// Checks a pod's health and ensures that
    /// [`Engine::health_check_ended`](crate::engine::Engine::health_check_ended) is called with the result.
    fn health_check(dispatcher: &Rc<Dispatcher<Self>>, check: u64, pod: PodId);

    /// Requests the complete endpoint list from service discovery once.
    fn poll_endpoints(dispatcher: &Rc<Dispatcher<Self>>);

    /// Starts (true) or stops (false) watching the endpoint list.
    fn watch_endpoints(dispatcher: &Rc<Dispatcher<Self>>, on: bool);
}

/// How an attempt ended, with its response if it has one.
pub struct AttemptResult<R> {
    /// How it ended.
    pub end: AttemptEnd,
    /// The load that the pod reported.
    pub load: Option<LoadReport>,
    /// The response that goes to the client if the engine chooses this attempt.
    pub response: Option<R>,
}

impl<R> From<AttemptEnd> for AttemptResult<R> {
    fn from(end: AttemptEnd) -> AttemptResult<R> {
        AttemptResult {
            end,
            load: None,
            response: None,
        }
    }
}
