//! Tests of the byte budget of transfers.

use super::*;

#[test]
fn pays_a_debt_at_the_configured_rate_and_grants_the_initial_burst_only_once() {
    let mut budget = Budget::new(0, 1_000, 100, 500);
    assert_eq!(budget.available(SECOND), 500);
    budget.spend(SECOND, 700);
    assert_eq!(budget.available(SECOND), 0);
    assert_eq!(budget.ready_at(), SECOND + SECOND / 1_000 * 201);
    let mut now = SECOND;
    while now < budget.ready_at() {
        assert_eq!(budget.available(now), 0);
        now += SECOND / 3_000;
    }
    assert_eq!(budget.available(2 * SECOND), 100);
}
