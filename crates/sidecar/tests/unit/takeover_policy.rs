//! What may be promised of a request that others may take over.

use super::{may_promise_that_it_never_ran, must_not_repeat, ProtectionState};
use havenplank::interface::{DedupScope, Idempotency, RouteClass};

fn rules(idempotency: Idempotency, dedup_scope: DedupScope) -> RouteClass {
    RouteClass {
        idempotency,
        dedup_scope,
        dedup_window: 0,
        latency_objective: 1,
        client_timeout: 1,
        priority_weight: 1.0,
        late_weight: 0.0,
        stream: false,
    }
}

#[test]
fn only_a_named_request_that_no_pod_drops_must_not_repeat() {
    let harmless = rules(Idempotency::Idempotent, DedupScope::Zone);
    let dropped = rules(Idempotency::Keyed, DedupScope::All);
    let keyed = rules(Idempotency::Keyed, DedupScope::Zone);
    let once = rules(Idempotency::NonIdempotent, DedupScope::All);
    for rules in [keyed, once] {
        assert!(must_not_repeat(&rules, true));
        assert!(!must_not_repeat(&rules, false));
    }
    for rules in [harmless, dropped] {
        assert!(!must_not_repeat(&rules, true));
    }
}

#[test]
fn a_rejection_is_not_promised_while_backups_may_still_take_an_unnamed_request_over() {
    let doubtful = ProtectionState {
        has_client_key: false,
        announced: true,
        backed_up: true,
    };
    let promised = |known| may_promise_that_it_never_ran(Idempotency::NonIdempotent, known);
    assert!(!promised(doubtful));
    assert!(promised(ProtectionState {
        has_client_key: true,
        ..doubtful
    }));
    assert!(promised(ProtectionState {
        announced: false,
        ..doubtful
    }));
    assert!(promised(ProtectionState {
        backed_up: false,
        ..doubtful
    }));
    for idempotency in [Idempotency::Idempotent, Idempotency::Keyed] {
        assert!(may_promise_that_it_never_ran(idempotency, doubtful));
    }
}
