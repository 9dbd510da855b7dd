//! What an engine asks its transport to carry out.

use havenplank::interface::{Build, Nanos, PodId, RequestId, Vote};

/// Something to carry out, in the order left.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send an attempt of a request; its end goes to [`Engine::attempt_ended`](super::Engine::attempt_ended), once.
    SendAttempt {
        /// The request that it is an attempt of.
        request: RequestId,
        /// The attempt's number within its request, counted from 0.
        attempt: u32,
        /// Where it goes.
        pod: PodId,
        /// How long it may take.
        timeout: Nanos,
    },
    /// End an attempt that is in flight.
    CancelAttempt {
        /// The request that it is an attempt of.
        request: RequestId,
        /// The attempt's number within its request.
        attempt: u32,
    },
    /// Answer finally that the request was rejected: it never ran, and a retry is harmless.
    Reject {
        /// The request that is answered.
        request: RequestId,
        /// When the client may retry, 0 for no advice.
        retry_after: Nanos,
    },
    /// Answer finally that the request failed: it may have run, nothing is promised.
    Fail {
        /// The request that is answered.
        request: RequestId,
        /// Whether its deadline has passed.
        timed_out: bool,
    },
    /// Cast a vote on a build; the reply goes to [`Engine::vote_answered`](super::Engine::vote_answered).
    CastVote {
        /// Names the vote in its reply.
        id: u64,
        /// The build that is voted on.
        build: Build,
        /// The stage of its release.
        stage: usize,
        /// What is voted.
        vote: Vote,
    },
    /// Check a pod's health; the result goes to [`Engine::health_check_ended`](super::Engine::health_check_ended).
    HealthCheck {
        /// Names the check in its result.
        check: u64,
        /// The pod that is checked.
        pod: PodId,
    },
    /// Ask service discovery for the complete endpoint list.
    PollEndpoints,
    /// Begin or end watching the endpoint list.
    WatchEndpoints(bool),
    /// Write a line on a decision to the log.
    Log(String),
}
