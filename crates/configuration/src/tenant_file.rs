//! Tenants in a file of JSON lines in the folder of the script.

use crate::record::{Tenant, TenantLimits};
use serde::Deserialize;
use std::fs::File;
use std::io::{self, Read};
use std::path::{Component, Path};

/// Longest file of tenants; large enough for the maximum number of tenants in a configuration.
const MAX_FILE_BYTES: u64 = 64 << 20;
const EXPECTED_LINE: &str =
    r#"{"name": "...", "requests_per_s": 100, "in_flight": 10}, with each limit optional"#;

/// A line that does not describe a tenant.
pub(crate) struct LineError {
    pub line: usize,
    pub found: String,
    pub expected: &'static str,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TenantLine {
    name: String,
    requests_per_s: Option<u32>,
    in_flight: Option<u32>,
}

/// Returns whether a relative path stays in the folder of the script.
pub(crate) fn is_within_script_folder(path: &str) -> bool {
    let mut parts = Path::new(path).components();
    !path.is_empty() && parts.all(|part| matches!(part, Component::Normal(_)))
}

/// Why the file cannot be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum TenantFileError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("the file is longer than {MAX_FILE_BYTES} bytes")]
    TooLong,
}

/// Reads the text of the file.
///
/// # Errors
/// The file cannot be read, is not UTF-8 or is too long.
pub(crate) fn read(path: &Path) -> Result<String, TenantFileError> {
    let mut text = String::new();
    let mut file = File::open(path)?.take(MAX_FILE_BYTES + 1);
    file.read_to_string(&mut text)?;
    if text.len() as u64 > MAX_FILE_BYTES {
        return Err(TenantFileError::TooLong);
    }
    Ok(text)
}

/// Returns the number and tenant of each line that is not empty. A line without a limit gets the default one.
pub(crate) fn parse(
    text: &str,
    default_limits: TenantLimits,
) -> impl Iterator<Item = Result<(usize, Tenant), LineError>> + '_ {
    let numbered = (1..).zip(text.lines());
    let non_empty = numbered.filter(|(_, text)| !text.trim().is_empty());
    non_empty.map(
        move |(line, text)| match serde_json::from_str::<TenantLine>(text) {
            Ok(TenantLine {
                name,
                requests_per_s,
                in_flight,
            }) => {
                let limits = TenantLimits {
                    requests_per_s: requests_per_s.or(default_limits.requests_per_s),
                    in_flight: in_flight.or(default_limits.in_flight),
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
