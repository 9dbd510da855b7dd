//! Many tenants in a file of JSON lines beside the script.

use crate::record::{Tenant, TenantLimits};
use serde::Deserialize;
use std::fs::File;
use std::io::{self, Read};
use std::path::{Component, Path};

/// The longest file of tenants: room for the most tenants that a configuration may have.
const MAX_FILE_BYTES: u64 = 64 << 20;
const EXPECTED_LINE: &str =
    r#"{"name": "...", "requests_per_s": 100, "in_flight": 10}, the limits if any"#;

/// A line that is no tenant.
pub(crate) struct LineError {
    pub line: usize,
    pub found: String,
    pub expected: &'static str,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    name: String,
    requests_per_s: Option<u32>,
    in_flight: Option<u32>,
}

/// Whether a path stays beside the script.
pub(crate) fn is_beside(path: &str) -> bool {
    let mut parts = Path::new(path).components();
    !path.is_empty() && parts.all(|part| matches!(part, Component::Normal(_)))
}

/// Why the file cannot be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum TenantFileError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("more than {MAX_FILE_BYTES} bytes")]
    TooLong,
}

/// Reads the text of the file.
///
/// # Errors
/// It cannot be read, is not UTF-8 or too long.
pub(crate) fn read(path: &Path) -> Result<String, TenantFileError> {
    let mut text = String::new();
    let mut file = File::open(path)?.take(MAX_FILE_BYTES + 1);
    file.read_to_string(&mut text)?;
    if text.len() as u64 > MAX_FILE_BYTES {
        return Err(TenantFileError::TooLong);
    }
    Ok(text)
}

/// Each line's number and tenant; empty lines are skipped. A line without a limit has the one given.
pub(crate) fn parse(
    text: &str,
    absent: TenantLimits,
) -> impl Iterator<Item = Result<(usize, Tenant), LineError>> + '_ {
    let numbered = (1..).zip(text.lines());
    let full = numbered.filter(|(_, text)| !text.trim().is_empty());
    full.map(
        move |(line, text)| match serde_json::from_str::<Line>(text) {
            Ok(Line {
                name,
                requests_per_s,
                in_flight,
            }) => {
                let limits = TenantLimits {
                    requests_per_s: requests_per_s.or(absent.requests_per_s),
                    in_flight: in_flight.or(absent.in_flight),
                };
                Ok((line, Tenant { name, limits }))
            }
            Err(error) => Err(LineError {
                line,
                found: error.to_string(),
                expected: EXPECTED_LINE,
            }),
        },
    )
}
