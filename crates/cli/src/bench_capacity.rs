//! `havenplank bench capacity`: runs the scale tests, prints their tables and writes them as JSON.

use crate::{bench_proxy_capacity, write_json, USAGE};
use anyhow::Context;
use clap::ValueEnum;
use havenplank_capacity::report::Section;
use havenplank_capacity::{configuration, discovery, membership, membership_sockets, tables};
use indicatif::{ProgressBar, ProgressStyle};
use serde_json::json;
use std::io::IsTerminal;
use std::path::Path;
use std::time::Duration;

/// Numbers of sidecars that receive a configuration in the simulation, in a quick run.
const QUICK_SIZES: &[usize] = &[100, 400];
/// Numbers of sidecars that receive a configuration in the simulation, in a full run.
const FULL_SIZES: &[usize] = &[100, 400, 1_600];
/// Seed of the simulation.
const SEED: u64 = 1;

/// A scale test.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum ScaleTest {
    /// Membership and quorum state of 50 to 1,600 sidecars on the simulated network.
    Membership,
    /// The same membership code over loopback sockets, with as many sidecars as fit on the machine.
    Sockets,
    /// One sidecar with up to 21,000 pods, 4,500 routes and 150,000 tenants.
    Tables,
    /// The sidecar process compared with a bare proxy, with small and with large tables.
    Proxy,
    /// Traffic that service discovery and the control plane send for 1,600 sidecars.
    Discovery,
    /// Distribution of a changed configuration to 1,600 sidecars.
    Configuration,
}

/// Runs the given scale tests, or all if none is given, and prints the tables of each as soon as it ends.
pub fn bench(tests: &[ScaleTest], quick: bool, json: Option<&Path>) -> anyhow::Result<u8> {
    let tests = if tests.is_empty() {
        ScaleTest::value_variants()
    } else {
        tests
    };
    let mut sections = Vec::new();
    for test in tests {
        let spinner = start_spinner(*test);
        let measured = measure(*test, quick);
        spinner.finish_and_clear();
        match measured.with_context(|| format!("{test:?}")) {
            Ok(measured) => {
                measured.iter().for_each(|section| println!("{section}"));
                sections.extend(measured);
            }
            Err(error) => {
                eprintln!("havenplank: {error:#}");
                return Ok(USAGE);
            }
        }
    }
    if let Some(file) = json {
        write_json(file, &json!(sections))?;
    }
    Ok(0)
}

/// Returns a spinner on a terminal, and a hidden bar if standard error is piped.
fn start_spinner(test: ScaleTest) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new_spinner().with_message(format!("{test:?}"));
    if let Ok(style) = ProgressStyle::with_template("{spinner} {msg} {elapsed_precise}") {
        bar.set_style(style);
    }
    bar.enable_steady_tick(Duration::from_millis(200));
    bar
}

/// Runs one scale test in its quick or its full form.
fn measure(test: ScaleTest, quick: bool) -> anyhow::Result<Vec<Section>> {
    Ok(match test {
        ScaleTest::Membership => {
            let options = if quick {
                membership::Options::quick()
            } else {
                membership::Options::full()
            };
            membership::membership(&options)
        }
        ScaleTest::Sockets => {
            let options = if quick {
                membership_sockets::Options::quick()
            } else {
                membership_sockets::Options::full()
            };
            membership_sockets::membership_on_sockets(&options)?
        }
        ScaleTest::Tables => {
            let options = if quick {
                tables::Options::quick()
            } else {
                tables::Options::full()
            };
            tables::tables(&options)?
        }
        ScaleTest::Proxy => bench_proxy_capacity::measure(quick)?,
        ScaleTest::Discovery => {
            let options = if quick {
                discovery::Options::quick()
            } else {
                discovery::Options::full()
            };
            discovery::discovery(&options)?
        }
        ScaleTest::Configuration => {
            let sizes = if quick { QUICK_SIZES } else { FULL_SIZES };
            configuration::measure(sizes, SEED)
        }
    })
}
