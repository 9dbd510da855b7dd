//! Events of a request: it arrives, its attempts are sent and end, its client disconnects.

use super::events::Event;
use super::request::InFlightRequest;
use super::{Engine, RequestAttributes};
use havenplank::interface::{
    AttemptEnd, AttemptOutcome, LoadReport, Nanos, PriorAttempt, RequestId,
};

impl Engine {
    /// Accepts a request, which then gets exactly one final response unless its client disconnects first.
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

    /// Declares that the next request was accepted by another sidecar, which sent these attempts for it. Must be called
    /// right before [`Engine::handle_request`].
    pub fn resume_next_request(&mut self, now: Nanos, prior_attempts: Vec<PriorAttempt>) {
        self.advance(now);
        let request = self.host.next_request;
        self.observe(|| Event::RequestResumed {
            request,
            prior_attempts: prior_attempts.clone(),
        });
        self.prior_attempts = Some(prior_attempts);
    }

    /// Returns whether an attempt may still be written now: its request must wait for its final response, and the rules
    /// must still allow its pod.
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
        let times = (attempt.chosen_at, request.first_possible_run_before(number));
        attempt.chosen_endpoint.is_some_and(|endpoint| {
            self.router
                .may_still_send(self.host.now, key, &endpoint, times)
        })
    }

    /// Records how an attempt ended, and that it took `took` nanoseconds. Returns whether its response goes to the
    /// client as the request's final response. Ignores an attempt that has already ended.
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
            request.record_possible_run(attempt.chosen_at);
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
        self.host.remove_if_finished(id);
        delivered
    }

    /// Ends the wait for a final response. Attempts in flight continue, and their ends are still reported.
    pub fn client_left(&mut self, now: Nanos, request: RequestId) {
        self.advance(now);
        self.observe(|| Event::ClientLeft { request });
        self.host.close(request);
    }
}
