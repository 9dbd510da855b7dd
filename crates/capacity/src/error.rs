//! Why a scale test could not be run to its end.

use havenplank_settings::Problems;
use std::io;

/// Why a scale test could not be run to its end.
#[derive(Debug, thiserror::Error)]
pub enum CapacityError {
    /// The settings of a size are refused.
    #[error("settings of the scale test: {0}")]
    Settings(#[from] Problems),
    /// The system refused something.
    #[error("{what}: {source}")]
    Io {
        /// What was tried.
        what: String,
        /// Why it failed.
        source: io::Error,
    },
    /// A histogram of times cannot be made.
    #[error("histogram of times: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// A list that was written cannot be read.
    #[error("encoded list of the scale test: {0}")]
    Encoding(String),
}

impl CapacityError {
    /// Returns what turns an error of the system into one that says what was tried.
    pub fn io(what: &str) -> impl FnOnce(io::Error) -> CapacityError + '_ {
        move |source| CapacityError::Io {
            what: what.to_string(),
            source,
        }
    }
}
