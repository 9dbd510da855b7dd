//! Maps the names and codes of the wire protocol to the router's terms.

use havenplank::interface::{
    AttemptEnd, DedupScope, Idempotency, Phase, PodState, ReleaseControl, Vote, VoteReceipt,
};

/// Verbs of the lines that the simulator sends to the adapter.
pub(crate) mod event {
    pub(crate) const ROUND_BEGINS: &str = "ROUND";
    pub(crate) const ROUND_ENDS: &str = "GO";
    pub(crate) const ENDPOINT_LIST: &str = "LIST";
    pub(crate) const INSTANCE_STARTED: &str = "ATTACH";
    pub(crate) const INSTANCE_STOPPED: &str = "POWER_OFF";
    pub(crate) const ENDPOINTS_CHANGED: &str = "ROSTER_CHANGE";
    pub(crate) const REQUEST: &str = "KNOCK";
    pub(crate) const ATTEMPT_ENDED: &str = "RETURNED";
    pub(crate) const CLIENT_LEFT: &str = "HANGUP";
    pub(crate) const RESPONSE_BEGINS: &str = "HEADERS";
    pub(crate) const TIMER_FIRED: &str = "ALARM";
    pub(crate) const STAGE: &str = "ROLLOUT_STATE";
    pub(crate) const TALLY: &str = "DIGEST";
    pub(crate) const FAULT_REPORTED: &str = "CONTESTED";
    pub(crate) const HEALTH_CHECKED: &str = "PING_RESULT";
    pub(crate) const PEER_MESSAGE: &str = "NEIGHBOUR_SAYS";
}

/// Verbs of the lines that the adapter sends to the simulator.
pub(crate) mod action {
    pub(crate) const ATTEMPT: &str = "ATTEMPT";
    pub(crate) const CANCEL: &str = "RETRACT";
    pub(crate) const REJECT: &str = "REFUSE";
    pub(crate) const FAIL: &str = "LOSE";
    pub(crate) const VOTE: &str = "VERDICT";
    pub(crate) const HEALTH_CHECK: &str = "TOUCH";
    pub(crate) const POLL_ENDPOINTS: &str = "QUERY_ALL";
    pub(crate) const WATCH_ENDPOINTS: &str = "TAIL";
    pub(crate) const LOG: &str = "TRACE";
    pub(crate) const SET_TIMER: &str = "TIMER";
    pub(crate) const ROUND_DONE: &str = "YIELD";
}

/// Fields of the lines in both directions.
pub(crate) mod field {
    pub(crate) const VERB: &str = "verb";
    pub(crate) const SIDECAR: &str = "sidecar";
    pub(crate) const REQUEST: &str = "opId";
    pub(crate) const POD: &str = "pod";
    pub(crate) const ATTEMPT: &str = "trial";
    pub(crate) const TIMEOUT: &str = "patienceNs";
    pub(crate) const RETRY_AFTER: &str = "waitNs";
    pub(crate) const BUILD: &str = "release";
    pub(crate) const STAGE: &str = "wave";
    pub(crate) const VOTE: &str = "sense";
    pub(crate) const TIMER: &str = "keyBack";
    pub(crate) const DELAY: &str = "fromNowNs";
    pub(crate) const WATCH: &str = "enable";
    pub(crate) const LOG_TEXT: &str = "message";
    pub(crate) const ROUND: &str = "turn";
    pub(crate) const LATENCY: &str = "latencyNs";
    pub(crate) const AGE: &str = "latenessNs";
    pub(crate) const ROUTE_CLASS: &str = "grade";
    pub(crate) const OUTCOME: &str = "ending";
    pub(crate) const LIST: &str = "bank";
}

/// The outcome code of success.
pub(crate) const SUCCESS: u64 = 100;
const TIMED_OUT: u64 = 303;
const NOT_SENT: u64 = 307;

pub(crate) fn attempt_end(code: u64) -> Option<AttemptEnd> {
    Some(match code {
        SUCCESS => AttemptEnd::Served,
        301 => AttemptEnd::Failed,
        302 => AttemptEnd::Rejected,
        TIMED_OUT => AttemptEnd::TimedOut,
        304 => AttemptEnd::ConnectFailed,
        305 => AttemptEnd::Reset,
        306 => AttemptEnd::Cancelled,
        NOT_SENT => AttemptEnd::NotSent,
        _ => return None,
    })
}

/// Returns how the control plane treated a vote, from the outcome code of the call.
pub(crate) fn vote_receipt(code: u64) -> VoteReceipt {
    match code {
        SUCCESS => VoteReceipt::Counted,
        NOT_SENT => VoteReceipt::Stale,
        TIMED_OUT => VoteReceipt::Unknown,
        _ => VoteReceipt::Rejected,
    }
}

pub(crate) fn vote_code(vote: Vote) -> u64 {
    match vote {
        Vote::None => 0,
        Vote::Advance => 1,
        Vote::Hold => 2,
        Vote::RollBack => 3,
    }
}

pub(crate) fn vote(code: u64) -> Option<Vote> {
    let votes = [Vote::None, Vote::Advance, Vote::Hold, Vote::RollBack];
    votes.into_iter().find(|vote| vote_code(*vote) == code)
}

pub(crate) fn phase(code: u64) -> Option<Phase> {
    Some(match code {
        0 => Phase::Trial,
        1 => Phase::RollingBack,
        2 => Phase::Released,
        3 => Phase::Withdrawn,
        _ => return None,
    })
}

pub(crate) fn pod_state(name: &str) -> Option<PodState> {
    Some(match name {
        "Running" => PodState::Running,
        "Stopping" => PodState::Draining,
        "Deleted" => PodState::Gone,
        _ => return None,
    })
}

pub(crate) fn idempotency(name: &str) -> Option<Idempotency> {
    Some(match name {
        "free" => Idempotency::Idempotent,
        "guarded" => Idempotency::Keyed,
        "single_shot" => Idempotency::NonIdempotent,
        _ => return None,
    })
}

pub(crate) fn dedup_scope(name: &str) -> Option<DedupScope> {
    Some(match name {
        "all" => DedupScope::All,
        "zone" => DedupScope::Zone,
        "cell" => DedupScope::Cell,
        _ => return None,
    })
}

pub(crate) fn release_control(name: &str) -> Option<ReleaseControl> {
    Some(match name {
        "first_voice" => ReleaseControl::AnyVote,
        "by_count" => ReleaseControl::Quorum,
        "automatic" => ReleaseControl::Timed,
        _ => return None,
    })
}
