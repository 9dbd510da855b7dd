//! The effects that an engine asks its caller to carry out.

use havenplank::interface::{Build, Nanos, PodId, RequestId, Vote};

/// One effect. The caller carries effects out in the order in which [`Engine::next_effect`](super::Engine::next_effect)
/// returns them.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send an attempt of a request; report its end once, to [`Engine::attempt_ended`](super::Engine::attempt_ended).
    SendAttempt {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt's number within its request, counted from 0.
        attempt: u32,
        /// The pod to send the attempt to.
        pod: PodId,
        /// How long the attempt may take.
        timeout: Nanos,
    },
    /// Cancel an attempt that is in flight.
    CancelAttempt {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt's number within its request.
        attempt: u32,
    },
    /// Send the final response that the request was rejected, so that a retry is harmless.
    Reject {
        /// The rejected request.
        request: RequestId,
        /// How long the client should wait before it retries; 0 for no advice.
        retry_after: Nanos,
    },
    /// Send the final response that the request failed: it may or may not have run.
    Fail {
        /// The failed request.
        request: RequestId,
        /// Whether the request's deadline has passed.
        timed_out: bool,
    },
    /// Cast a vote on a build; report the reply to [`Engine::vote_answered`](super::Engine::vote_answered).
    CastVote {
        /// Identifies the vote in its reply.
        id: u64,
        /// The build that the vote is about.
        build: Build,
        /// The stage of the build's release.
        stage: usize,
        /// The vote itself.
        vote: Vote,
    },
    /// Check a pod's health; report the result to [`Engine::health_check_ended`](super::Engine::health_check_ended).
    HealthCheck {
        /// Identifies the check in its result.
        check: u64,
        /// The pod to check.
        pod: PodId,
    },
    /// Request the complete endpoint list from service discovery once.
    PollEndpoints,
    /// Start (true) or stop (false) watching the endpoint list.
    WatchEndpoints(bool),
    /// Write a line about a decision to the log.
    Log(String),
}
