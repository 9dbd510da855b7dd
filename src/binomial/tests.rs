//! The largest error rate, compared with known values.

use super::largest_error_rate;

#[test]
fn finds_the_error_rates_of_known_binomial_tails() {
    let assert_close = |found: f64, expected: f64| {
        assert!(
            (found / expected - 1.0).abs() < 0.01,
            "found {found}, expected {expected}"
        )
    };
    // One of n: solve 1 - (1 - p)^n for p. Two of two: p squared. The others are computed by adding up all terms.
    assert_close(
        largest_error_rate(71, 1, 0.01, 0.5),
        1.0 - 0.99f64.powf(1.0 / 71.0),
    );
    assert_close(largest_error_rate(2, 2, 0.01, 0.5), 0.1);
    assert_close(largest_error_rate(288, 24, 0.01, 0.5), 0.0497);
    assert_close(largest_error_rate(380, 30, 0.01, 0.5), 0.0500);
    assert_eq!(
        largest_error_rate(3, 5, 0.01, 0.1),
        largest_error_rate(1, 9, 0.01, 0.1)
    );
}
