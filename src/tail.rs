//! The tail of the binomial, for many that share one chance of error. Arithmetic only.

/// The largest chance of each, up to `most`, with which at least `needed` of so many independent ones err together
/// with a chance of `together` at most.
pub fn part_of_chance(many: usize, needed: usize, together: f64, most: f64) -> f64 {
    let (mut part, mut above) = (0.0, most);
    for _ in 0..40 {
        let middle: f64 = 0.5 * (part + above);
        // The chance that fewer than needed err, term by term.
        let (mut term, mut fewer) = (many as f64 * (1.0 - middle).ln(), 0.0);
        for n in 0..needed.min(many + 1) {
            fewer += term.exp();
            let ways = (many - n) as f64 / (n + 1) as f64;
            term += (ways * middle / (1.0 - middle)).ln();
        }
        let rare = 1.0 - fewer <= together;
        (part, above) = if rare {
            (middle, above)
        } else {
            (part, middle)
        };
    }
    part
}

#[cfg(test)]
mod tests {
    use super::part_of_chance;

    #[test]
    fn known_tails() {
        let near = |found: f64, wanted: f64| {
            assert!((found / wanted - 1.0).abs() < 0.01, "{found}, not {wanted}")
        };
        // One of many: 1 - (1 - p)^n. Two of two: p squared. All others by summing the terms in full.
        near(
            part_of_chance(71, 1, 0.01, 0.5),
            1.0 - 0.99f64.powf(1.0 / 71.0),
        );
        near(part_of_chance(2, 2, 0.01, 0.5), 0.1);
        near(part_of_chance(288, 24, 0.01, 0.5), 0.0497);
        near(part_of_chance(380, 30, 0.01, 0.5), 0.0500);
        assert_eq!(
            part_of_chance(3, 5, 0.01, 0.1),
            part_of_chance(1, 9, 0.01, 0.1)
        );
    }
}
