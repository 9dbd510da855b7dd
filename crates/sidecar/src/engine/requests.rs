//! A request's way through the engine: it arrives, its attempts are sent and end, its client leaves.

use super::events::Event;
use super::request::InFlightRequest;
use super::{Engine, RequestAttributes};
use havenplank::interface::{
    AttemptEnd, AttemptOutcome, LoadReport, Nanos, PriorAttempt, RequestId,
};

impl Engine {
    /// Takes a request: from here on it gets one final answer.
    pub fn handle_request(&mut self, now: Nanos, attributes: RequestAttributes) -> RequestId {
        self.advance(now);
        let id = self.host.next_request;
        self.host.next_request += 1;
        self.observe(|| Event::RequestArrived {
            request: id,
            attributes: attributes.clone(),
        });
        let prior_attempts = self.prior_attempts.take();
        let in_flight = InFlightRequest::new(
            self.host.now,
            &attributes,
            self.slots.hold(attributes.route_class),
            prior_attempts.as_deref().unwrap_or_default(),
        );
        self.host.requests.insert(id, in_flight);
        let request = attributes.into_request(id);
        match prior_attempts {
            Some(prior) => self.router.resume_request(&mut self.host, request, &prior),
            None => self.router.handle_request(&mut self.host, request),
        }
        id
    }

    /// Says that the next request was taken by another sidecar, which sent these attempts; to be called right before
    /// [`Engine::handle_request`].
    pub fn resume_next_request(&mut self, now: Nanos, prior_attempts: Vec<PriorAttempt>) {
        self.advance(now);
        let request = self.host.next_request;
        self.observe(|| Event::RequestResumed {
            request,
            prior_attempts: prior_attempts.clone(),
        });
        self.prior_attempts = Some(prior_attempts);
    }

    /// Returns whether an attempt may still be written now: its request wants an answer, and the rules leave its pod
    /// open.
    pub fn may_send(&mut self, now: Nanos, request: RequestId, attempt: u32) -> bool {
        self.advance(now);
        let allowed = self.is_sendable(request, attempt);
        self.observe(|| Event::SendPermission {
            request,
            attempt,
            allowed,
        });
        allowed
    }

    fn is_sendable(&mut self, id: RequestId, number: u32) -> bool {
        let request = self.host.requests.get(&id);
        let Some(request) = request.filter(|request| request.awaits_answer) else {
            return false;
        };
        let Some(attempt) = request.attempt(number) else {
            return false;
        };
        let key = (request.route_class, request.key);
        let times = (attempt.chosen_at, request.first_run_before(number));
        attempt.chosen.is_some_and(|chosen| {
            self.router
                .may_still_send(self.host.now, key, &chosen, times)
        })
    }

    /// Takes in how an attempt ended, after `took`. Returns whether its response goes to the client as the request's
    /// final answer. An attempt that has ended before is passed over.
    pub fn attempt_ended(
        &mut self,
        now: Nanos,
        id: RequestId,
        number: u32,
        end: AttemptEnd,
        took: Nanos,
        load: Option<LoadReport>,
    ) -> bool {
        self.advance(now);
        let Some(request) = self.host.requests.get_mut(&id) else {
            return false;
        };
        let Some(attempt) = request.take_attempt(number) else {
            return false;
        };
        let delivered = request.awaits_answer && end == AttemptEnd::Served;
        request.awaits_answer &= !delivered;
        if !end.never_ran() {
            request.may_have_run(attempt.chosen_at);
        }
        let request_finished = !request.awaits_answer;
        self.observe(|| Event::AttemptEnded {
            request: id,
            attempt: number,
            end,
            took,
            load,
            delivered,
        });
        self.host.pods.attempt_ended(attempt.pod);
        let outcome = AttemptOutcome {
            end,
            took,
            request_finished,
            load,
        };
        (attempt.on_done)(&mut self.router, &mut self.host, outcome);
        self.host.remove_if_over(id);
        delivered
    }

    /// Ends the wait for an answer, as the client went away; attempts in flight still tell how they end.
    pub fn client_left(&mut self, now: Nanos, request: RequestId) {
        self.advance(now);
        self.observe(|| Event::ClientLeft { request });
        self.host.close(request);
    }
}
