//! Loads and checks settings scripts for the sub-commands.

use crate::{DONE, USAGE};
use anyhow::bail;
use havenplank_settings::{Given, Site};
use std::path::Path;

/// Loads a settings script with values for its `given` calls. Prints the mistakes of a bad script and returns `None`.
///
/// # Errors
/// A value that is not NAME=VALUE.
pub fn load(file: &Path, given: &[String]) -> anyhow::Result<Option<Site>> {
    match havenplank_settings::load(file, &parse_given(given)?) {
        Ok(site) => Ok(Some(site)),
        Err(problems) => {
            eprintln!("{problems}");
            Ok(None)
        }
    }
}

/// Runs `havenplank check`: loads a settings script and prints the number of its path groups, or its mistakes.
///
/// # Errors
/// A value that is not NAME=VALUE.
pub fn check(file: &Path, given: &[String]) -> anyhow::Result<u8> {
    let Some(site) = load(file, given)? else {
        return Ok(USAGE);
    };
    let routes = match site.configuration {
        Some(_) => "routes from a distributor".to_string(),
        None => format!("{} path groups", site.route_classes.len()),
    };
    println!("{}: {routes}, no mistakes", file.display());
    Ok(DONE)
}

/// Parses values for the `given` calls of a script.
///
/// # Errors
/// A value that is not NAME=VALUE.
pub fn parse_given(pairs: &[String]) -> anyhow::Result<Given> {
    let mut values = Given::new();
    for pair in pairs {
        let Some((name, value)) = pair.split_once('=') else {
            bail!("--given {pair:?}: expected NAME=VALUE");
        };
        values.insert(name.to_string(), value.to_string());
    }
    Ok(values)
}
