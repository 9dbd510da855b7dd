//! The token bucket of transfers.

use super::*;

#[test]
fn a_debt_is_paid_at_the_steady_rate_and_a_first_burst_is_not_repeated() {
    let mut budget = Budget::new(0, 1_000, 100, 500);
    assert_eq!(budget.left(SECOND), 500);
    budget.spend(SECOND, 700);
    assert_eq!(budget.left(SECOND), 0);
    assert_eq!(budget.ready_at(), SECOND + SECOND / 1_000 * 201);
    let mut now = SECOND;
    while now < budget.ready_at() {
        assert_eq!(budget.left(now), 0);
        now += SECOND / 3_000;
    }
    assert_eq!(budget.left(2 * SECOND), 100);
}
