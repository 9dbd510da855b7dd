//! What a sidecar may promise about a request that other sidecars may take over.

use super::{may_promise_harmless_retry, must_not_repeat, ProtectionState};
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
fn a_request_must_not_repeat_only_if_it_has_a_client_key_and_pods_may_run_it_twice() {
    let idempotent = rules(Idempotency::Idempotent, DedupScope::Zone);
    let keyed_everywhere = rules(Idempotency::Keyed, DedupScope::All);
    let keyed_in_zone = rules(Idempotency::Keyed, DedupScope::Zone);
    let non_idempotent = rules(Idempotency::NonIdempotent, DedupScope::All);
    for rules in [keyed_in_zone, non_idempotent] {
        assert!(must_not_repeat(&rules, true));
        assert!(!must_not_repeat(&rules, false));
    }
    for rules in [idempotent, keyed_everywhere] {
        assert!(!must_not_repeat(&rules, true));
    }
}

#[test]
fn promises_no_harmless_retry_without_a_client_key_while_backups_may_take_the_request_over() {
    let exposed = ProtectionState {
        has_client_key: false,
        announced: true,
        backed_up: true,
    };
    let may_promise = |state| may_promise_harmless_retry(Idempotency::NonIdempotent, state);
    assert!(!may_promise(exposed));
    assert!(may_promise(ProtectionState {
        has_client_key: true,
        ..exposed
    }));
    assert!(may_promise(ProtectionState {
        announced: false,
        ..exposed
    }));
    assert!(may_promise(ProtectionState {
        backed_up: false,
        ..exposed
    }));
    for idempotency in [Idempotency::Idempotent, Idempotency::Keyed] {
        assert!(may_promise_harmless_retry(idempotency, exposed));
    }
}
