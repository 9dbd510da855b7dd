//! Replays recorded events.

use super::events::Event;
use super::Engine;
use havenplank::interface::Nanos;

impl Engine {
    /// Makes the call that an event recorded, and returns the result of a call that returns a bool: whether an attempt
    /// may be sent, or whether its response goes to the client.
    pub fn replay(&mut self, now: Nanos, event: Event) -> Option<bool> {
        match event {
            Event::SendPermission {
                request, attempt, ..
            } => return Some(self.may_send(now, request, attempt)),
            Event::AttemptEnded {
                request,
                attempt,
                end,
                took,
                load,
                ..
            } => return Some(self.attempt_ended(now, request, attempt, end, took, load)),
            Event::RequestArrived { attributes, .. } => {
                self.handle_request(now, attributes);
            }
            Event::RequestResumed { prior_attempts, .. } => {
                self.resume_next_request(now, prior_attempts);
            }
            Event::ClientLeft { request } => self.client_left(now, request),
            Event::Started => self.start(now),
            Event::TimerFired(timer) => {
                self.advance(now);
                self.run_timer(timer);
            }
            shared => self.replay_shared(now, shared),
        }
        None
    }

    /// Replays an event from service discovery, the control plane, a health check or a report of a wrong response.
    fn replay_shared(&mut self, now: Nanos, event: Event) {
        match event {
            Event::EndpointsListed { complete, pods, .. } => {
                self.update_endpoints(now, complete, pods);
            }
            Event::EndpointWatchFailed => self.endpoint_watch_failed(now),
            Event::StageChanged(stage) => self.update_stage(now, stage),
            Event::VoteAnswered { vote, reply } => self.vote_answered(now, vote, reply),
            Event::HealthCheckEnded { check, result } => {
                self.health_check_ended(now, check, result);
            }
            Event::TallyReported(tally) => self.record_tally(now, tally),
            Event::FaultReported {
                pod,
                route_class,
                ago,
            } => self.record_fault(now, pod, route_class, ago),
            Event::Started
            | Event::RequestArrived { .. }
            | Event::RequestResumed { .. }
            | Event::SendPermission { .. }
            | Event::AttemptEnded { .. }
            | Event::ClientLeft { .. }
            | Event::TimerFired(_) => {}
        }
    }
}
