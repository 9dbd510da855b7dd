//! What a dispatcher asks of the protocol around it.

use super::{AttemptId, Dispatcher};
use havenplank::interface::{AttemptEnd, Build, LoadReport, Nanos, PodId, Vote};
use std::future::Future;
use std::rc::Rc;

/// A protocol around the engine: how its effects leave. It decides nothing.
pub trait Transport: Sized + 'static {
    /// A request as it will be sent, as often as it must be.
    type Request: 'static;
    /// A final answer on its way to the client.
    type Response: 'static;

    /// Carries one attempt out and calls [`Dispatcher::attempt_ended`] once with how it ended.
    fn send_attempt(
        dispatcher: Rc<Dispatcher<Self>>,
        request: Rc<Self::Request>,
        attempt: AttemptId,
        pod: PodId,
        timeout: Nanos,
    ) -> impl Future<Output = ()> + 'static;

    /// Builds the answer that a request was rejected; `retry_after` 0 gives the client no advice.
    fn rejected(&self, retry_after: Nanos) -> Self::Response;

    /// Builds the answer that a request failed.
    fn failed(&self, timed_out: bool) -> Self::Response;

    /// Sends a vote and sees to it that [`Engine::vote_answered`](crate::engine::Engine::vote_answered) hears of its
    /// end.
    fn cast_vote(
        dispatcher: &Rc<Dispatcher<Self>>,
        id: u64,
        build: Build,
        stage: usize,
        vote: Vote,
    );

    /// Checks a pod's health and sees to it that
    /// [`Engine::health_check_ended`](crate::engine::Engine::health_check_ended) hears of its end.
    fn health_check(dispatcher: &Rc<Dispatcher<Self>>, check: u64, pod: PodId);

    /// Asks service discovery for the complete endpoint list.
    fn poll_endpoints(dispatcher: &Rc<Dispatcher<Self>>);

    /// Begins or ends watching the endpoint list.
    fn watch_endpoints(dispatcher: &Rc<Dispatcher<Self>>, on: bool);
}

/// How an attempt ended, with the response where there is one.
pub struct AttemptResult<R> {
    /// How it ended.
    pub end: AttemptEnd,
    /// The load that its pod reported.
    pub load: Option<LoadReport>,
    /// What goes to the client if the engine says so.
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
