//! The tail of the binomial distribution.

#[cfg(test)]
mod tests;

const BISECTION_STEPS: u32 = 40;

/// Returns the largest error rate, up to `max_rate`, that each of `instances` independent tests may have if the
/// probability that `needed` or more of them err is to be at most `joint_rate`.
pub(crate) fn largest_error_rate(
    instances: usize,
    needed: usize,
    joint_rate: f64,
    max_rate: f64,
) -> f64 {
    let mut allowed = 0.0;
    let mut too_high = max_rate;
    for _ in 0..BISECTION_STEPS {
        let middle: f64 = 0.5 * (allowed + too_high);
        if 1.0 - probability_of_fewer(instances, needed, middle) <= joint_rate {
            allowed = middle;
        } else {
            too_high = middle;
        }
    }
    allowed
}

/// Returns the probability that fewer than `needed` of `instances` tests err, each with the probability `rate`.
fn probability_of_fewer(instances: usize, needed: usize, rate: f64) -> f64 {
    let mut log_term = instances as f64 * (1.0 - rate).ln();
    let mut sum = 0.0;
    for n in 0..needed.min(instances + 1) {
        sum += log_term.exp();
        let coefficient_ratio = (instances - n) as f64 / (n + 1) as f64;
        log_term += (coefficient_ratio * rate / (1.0 - rate)).ln();
    }
    sum
}
