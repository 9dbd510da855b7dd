//! Prints the figures of configuration replication, scenario by scenario:
//! `cargo run --release -p havenplank-capacity --example configuration [SIZE...]`.

use havenplank_capacity::configuration::{section, SCENARIOS};

const SEED: u64 = 1;

fn main() {
    let sizes: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|size| size.parse().ok())
        .collect();
    let sizes = if sizes.is_empty() {
        vec![100, 200, 400, 800, 1_600]
    } else {
        sizes
    };
    for scenario in &SCENARIOS {
        println!("{}", section(scenario, &sizes, SEED));
    }
}
