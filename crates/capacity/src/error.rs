//! Why a scale test could not be run to its end.

use havenplank_settings::Problems;
use std::io;

#[derive(Debug, thiserror::Error)]
pub enum CapacityError {
    #[error("settings of the scale test: {0}")]
    Settings(#[from] Problems),
    #[error("{what}: {source}")]
    Io { what: String, source: io::Error },
    #[error("histogram of times: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    #[error("encoded list of the scale test: {0}")]
    Encoding(String),
}

impl CapacityError {
    /// For `map_err`, with what was tried.
    pub fn io(what: &str) -> impl FnOnce(io::Error) -> CapacityError + '_ {
        move |source| CapacityError::Io {
            what: what.to_string(),
            source,
        }
    }
}
