//! The kind numbers of records in a file, and an empty payload of each kind to decode into.

use crate::record::Payload;
use havenplank::interface::{
    AttemptEnd, HealthCheckResult, Phase, PodState, Stage, Tally, Vote, VoteReceipt, VoteReply,
};
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use havenplank_sidecar::engine::{Effect, RequestAttributes};
use havenplank_sidecar::events::Event;
use std::net::SocketAddr;

/// An empty stage to decode into.
pub(super) const BLANK_STAGE: Stage = Stage {
    build: 0,
    stage: 0,
    phase: Phase::Trial,
    cap: 0.0,
    age: 0,
};

/// Returns the kind number of a payload. New kinds get new numbers, and a number is never reused.
pub(super) fn kind_number(payload: &Payload) -> u16 {
    match payload {
        Payload::Event(event) => match event {
            Event::Started => 1,
            Event::RequestArrived { .. } => 2,
            Event::SendPermission { .. } => 3,
            Event::AttemptEnded { .. } => 4,
            Event::ClientLeft { .. } => 5,
            Event::EndpointsListed { .. } => 6,
            Event::EndpointWatchFailed => 7,
            Event::StageChanged(_) => 8,
            Event::VoteAnswered { .. } => 9,
            Event::HealthCheckEnded { .. } => 10,
            Event::TallyReported(_) => 11,
            Event::FaultReported { .. } => 12,
            Event::TimerFired(_) => 13,
            Event::RequestResumed { .. } => 14,
        },
        Payload::Effect(effect) => match effect {
            Effect::SendAttempt { .. } => 16,
            Effect::CancelAttempt { .. } => 17,
            Effect::Reject { .. } => 18,
            Effect::Fail { .. } => 19,
            Effect::CastVote { .. } => 20,
            Effect::HealthCheck { .. } => 21,
            Effect::PollEndpoints => 22,
            Effect::WatchEndpoints(_) => 23,
            Effect::Log(_) => 24,
        },
        Payload::Lost { .. } => 25,
    }
}

/// Returns an empty payload of a kind, whose fields the decoder fills; `None` for an unknown kind, which a
/// newer version may have written.
pub(super) fn blank_payload(kind: u64) -> Option<Payload> {
    match kind {
        1..=14 => blank_event(kind).map(Payload::Event),
        16..=24 => blank_effect(kind).map(Payload::Effect),
        25 => Some(Payload::Lost {
            requests: 0,
            records: 0,
        }),
        _ => None,
    }
}

fn blank_event(kind: u64) -> Option<Event> {
    Some(match kind {
        1 => Event::Started,
        2 => blank_arrival(),
        3 => Event::SendPermission {
            request: 0,
            attempt: 0,
            allowed: false,
        },
        4 => blank_attempt_end(),
        5 => Event::ClientLeft { request: 0 },
        6 => Event::EndpointsListed {
            complete: false,
            pods: Vec::new(),
            pod_ids: Vec::new(),
        },
        7 => Event::EndpointWatchFailed,
        8 => Event::StageChanged(BLANK_STAGE),
        9 => blank_vote_answer(),
        10 => blank_health_check_end(),
        11 => Event::TallyReported(blank_tally()),
        12 => Event::FaultReported {
            pod: 0,
            route_class: 0,
            ago: 0,
        },
        13 => Event::TimerFired(0),
        14 => Event::RequestResumed {
            request: 0,
            prior_attempts: Vec::new(),
        },
        _ => return None,
    })
}

fn blank_arrival() -> Event {
    Event::RequestArrived {
        request: 0,
        attributes: RequestAttributes {
            route_class: 0,
            tenant: None,
            key: 0,
            remaining: 0,
            cost_hint: None,
            is_retry: false,
        },
    }
}

fn blank_attempt_end() -> Event {
    Event::AttemptEnded {
        request: 0,
        attempt: 0,
        end: AttemptEnd::Failed,
        took: 0,
        load: None,
        delivered: false,
    }
}

fn blank_vote_answer() -> Event {
    Event::VoteAnswered {
        vote: 0,
        reply: VoteReply {
            receipt: VoteReceipt::Unknown,
            stage: None,
        },
    }
}

fn blank_health_check_end() -> Event {
    Event::HealthCheckEnded {
        check: 0,
        result: HealthCheckResult {
            end: AttemptEnd::Failed,
            took: 0,
            load: None,
        },
    }
}

fn blank_tally() -> Tally {
    Tally {
        build: 0,
        class: 0,
        count: 0,
        failed: 0,
        mean_latency: 0,
        age: 0,
    }
}

fn blank_effect(kind: u64) -> Option<Effect> {
    Some(match kind {
        16 => Effect::SendAttempt {
            request: 0,
            attempt: 0,
            pod: 0,
            timeout: 0,
        },
        17 => Effect::CancelAttempt {
            request: 0,
            attempt: 0,
        },
        18 => Effect::Reject {
            request: 0,
            retry_after: 0,
        },
        19 => Effect::Fail {
            request: 0,
            timed_out: false,
        },
        20 => Effect::CastVote {
            id: 0,
            build: 0,
            stage: 0,
            vote: Vote::None,
        },
        21 => Effect::HealthCheck { check: 0, pod: 0 },
        22 => Effect::PollEndpoints,
        23 => Effect::WatchEndpoints(false),
        24 => Effect::Log(String::new()),
        _ => return None,
    })
}

/// Returns an empty endpoint to decode into.
pub(super) fn blank_endpoint() -> ListedEndpoint {
    ListedEndpoint {
        name: String::new(),
        address: SocketAddr::from(([0, 0, 0, 0], 0)),
        state: PodState::Running,
        build: 0,
        incarnation: 0,
        age: 0,
        zone: String::new(),
        machine: String::new(),
        cell: 0,
        size: 0.0,
    }
}
