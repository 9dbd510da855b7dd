//! The JSON that `GET /state` returns. Its keys are documented in `docs/running.md` and `docs/takeover.md`.

use crate::membership::MembershipStatus;
use crate::shell::Shell;
use crate::takeover_service::TakeoverStatus;
use serde_json::{json, Value};

const NANOS_PER_MILLI: u64 = 1_000_000;

/// Builds the state of a sidecar that operators see.
pub fn state_report(shell: &Shell) -> Value {
    let mut state = engine_report(shell);
    if let Some(configuration) = shell.configuration.get() {
        state["configuration"] = configuration.state();
    }
    if let Some(takeover) = &shell.takeover {
        state["takeover"] = takeover_report(&takeover.status());
    }
    if let Some(membership) = &shell.membership {
        let status = membership.status();
        state["fellowship"] = membership_report(&status);
        state["standing"] = quorum_report(&status);
    }
    state
}

fn engine_report(shell: &Shell) -> Value {
    let status = shell.status();
    let stage = status.stage.map(|stage| {
        json!({
            "build": stage.build,
            "stage": stage.stage,
            "phase": format!("{:?}", stage.phase),
            "cap": stage.cap,
        })
    });
    let sums = status.test_sums;
    json!({
        "name": shell.site.name,
        "hits_in_flight": status.requests,
        "pods_running": status.running_pods,
        "stage": stage,
        "sums": {"failures": sums.failures, "slow": sums.slow, "by_share": sums.alternating_periods},
    })
}

fn takeover_report(status: &TakeoverStatus) -> Value {
    json!({
        "held": status.owned,
        "kept": status.replicas,
        "waiting": status.waiting,
        "unguarded": status.unprotected,
        "turned_away": status.rejected_records,
        "taken_over": status.taken_over,
    })
}

fn membership_report(status: &MembershipStatus) -> Value {
    json!({
        "living": status.alive,
        "slowness": status.health_score,
        "sent": status.sent_messages,
        "sent_bytes": status.sent_bytes,
        "refused": status.rejected_frames,
        "overrun": status.dropped_receives,
        "unsent": status.dropped_sends,
    })
}

fn quorum_report(status: &MembershipStatus) -> Value {
    let disputes = status.disputes.iter().map(|dispute| {
        json!({
            "with": dispute.peer,
            "it_misses": dispute.missing_at_peer,
            "we_miss": dispute.missing_here,
            "roster": dispute.voters_differ,
        })
    });
    json!({
        "is": status.quorum_state,
        "for_ms": status.quorum_state_age / NANOS_PER_MILLI,
        "belong": status.voters,
        "reached": status.reachable_voters,
        "missing": status.unreachable_voters,
        "deaf_to_us": status.not_receiving_us,
        "unsteady": status.flapping,
        "disputes": disputes.collect::<Vec<_>>(),
    })
}
