//! Error rates with known values.

use super::largest_error_rate;

#[test]
fn finds_the_error_rates_of_known_binomial_tails() {
    let near = |found: f64, wanted: f64| {
        assert!((found / wanted - 1.0).abs() < 0.01, "{found}, not {wanted}")
    };
    // One of many: 1 - (1 - p)^n. Two of two: p squared. All others by summing the terms in full.
    near(
        largest_error_rate(71, 1, 0.01, 0.5),
        1.0 - 0.99f64.powf(1.0 / 71.0),
    );
    near(largest_error_rate(2, 2, 0.01, 0.5), 0.1);
    near(largest_error_rate(288, 24, 0.01, 0.5), 0.0497);
    near(largest_error_rate(380, 30, 0.01, 0.5), 0.0500);
    assert_eq!(
        largest_error_rate(3, 5, 0.01, 0.1),
        largest_error_rate(1, 9, 0.01, 0.1)
    );
}
