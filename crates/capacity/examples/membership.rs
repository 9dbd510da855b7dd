//! Prints what membership costs: `cargo run --release -p havenplank-capacity --example membership -- full`.
//!
//! Instead of `full`, which measures all sizes and phases, the arguments can be:
//! - `start SIZES WINDOW_ENDS_S`: only the common start and a few restarts, for example `start 100,400 60,120`
//! - `faults SIZES PHASE_S`: all phases, with the duration of a phase in seconds
//! - `sockets SIZES WINDOW_ENDS_S`: the common start over loopback sockets
//!
//! Any other arguments, or none, select a quick run.

use havenplank_capacity::membership::{membership, Options};
use havenplank_capacity::membership_sockets::{self, membership_on_sockets};

fn comma_separated<T: std::str::FromStr>(text: &str) -> Vec<T> {
    text.split(',')
        .filter_map(|number| number.parse().ok())
        .collect()
}

fn main() -> std::io::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    if let ["sockets", sizes, windows] = words.as_slice() {
        let options = membership_sockets::Options {
            sizes: comma_separated(sizes),
            windows_s: comma_separated(windows),
        };
        membership_on_sockets(&options)?
            .iter()
            .for_each(|section| println!("{section}"));
        return Ok(());
    }
    let options = match words.as_slice() {
        ["full"] => Options::full(),
        ["start", sizes, windows] => Options {
            sizes: comma_separated(sizes),
            windows_s: comma_separated(windows),
            phase_s: 10,
            faults: false,
        },
        ["faults", sizes, phase] => Options {
            sizes: comma_separated(sizes),
            windows_s: vec![60],
            phase_s: phase.parse().unwrap_or(60),
            faults: true,
        },
        _ => Options::quick(),
    };
    for section in membership(&options) {
        println!("{section}");
    }
    Ok(())
}
