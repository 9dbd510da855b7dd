//! `havenplank bench capacity`: the scale tests, printed as tables or written as JSON.

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

/// Sidecars to which a configuration spreads in the simulation.
const QUICK_SIZES: &[usize] = &[100, 400];
const FULL_SIZES: &[usize] = &[100, 400, 1_600];
const SEED: u64 = 1;

/// What a scale test measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Part {
    /// Membership and standing of 50 to 1,600 sidecars on the simulated network.
    Membership,
    /// The same code over loopback sockets, as many as fit.
    Sockets,
    /// One sidecar with up to 21,000 pods, 4,500 routes and 150,000 tenants.
    Tables,
    /// The real proxy beside a bare one, with small tables and large ones.
    Proxy,
    /// What service discovery and the control plane send for 1,600 sidecars.
    Discovery,
    /// A change of configuration on its way to 1,600 sidecars.
    Configuration,
}

/// Runs the named scale tests, or all of them, and prints each as it ends.
pub fn bench(parts: &[Part], quick: bool, json: Option<&Path>) -> anyhow::Result<u8> {
    let parts = if parts.is_empty() {
        Part::value_variants()
    } else {
        parts
    };
    let mut sections = Vec::new();
    for part in parts {
        let progress = progress(*part);
        let measured = measure(*part, quick);
        progress.finish_and_clear();
        match measured.with_context(|| format!("{part:?}")) {
            Ok(measured) => {
                measured.iter().for_each(|section| println!("{section}"));
                sections.extend(measured);
            }
            Err(refused) => {
                eprintln!("havenplank: {refused:#}");
                return Ok(USAGE);
            }
        }
    }
    if let Some(file) = json {
        write_json(file, &json!(sections))?;
    }
    Ok(0)
}

/// A spinner on a terminal; nothing when standard error is piped.
fn progress(part: Part) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new_spinner().with_message(format!("{part:?}"));
    if let Ok(style) = ProgressStyle::with_template("{spinner} {msg} {elapsed_precise}") {
        bar.set_style(style);
    }
    bar.enable_steady_tick(Duration::from_millis(200));
    bar
}

/// One scale test in its quick or its full form.
fn measure(part: Part, quick: bool) -> anyhow::Result<Vec<Section>> {
    Ok(match part {
        Part::Membership => {
            let options = if quick {
                membership::Options::quick()
            } else {
                membership::Options::full()
            };
            membership::membership(&options)
        }
        Part::Sockets => {
            let options = if quick {
                membership_sockets::Options::quick()
            } else {
                membership_sockets::Options::full()
            };
            membership_sockets::membership_on_sockets(&options)?
        }
        Part::Tables => {
            let options = if quick {
                tables::Options::quick()
            } else {
                tables::Options::full()
            };
            tables::tables(&options)?
        }
        Part::Proxy => bench_proxy_capacity::measure(quick)?,
        Part::Discovery => {
            let options = if quick {
                discovery::Options::quick()
            } else {
                discovery::Options::full()
            };
            discovery::discovery(&options)?
        }
        Part::Configuration => {
            let sizes = if quick { QUICK_SIZES } else { FULL_SIZES };
            configuration::measure(sizes, SEED)
        }
    })
}
