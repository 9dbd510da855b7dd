//! The errors that stop a scale test.

use havenplank_settings::Problems;
use std::io;

/// An error that stops a scale test.
#[derive(Debug, thiserror::Error)]
pub enum CapacityError {
    /// The settings check rejects the settings script that was generated for a size.
    #[error("invalid settings of the scale test: {0}")]
    Settings(#[from] Problems),
    /// An operating system call failed.
    #[error("cannot {action}: {source}")]
    Io {
        /// The action that failed, as an infinitive: `create a file`.
        action: String,
        /// The cause.
        source: io::Error,
    },
    /// A histogram of call times cannot be created.
    #[error("cannot create the histogram of call times: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// The codec cannot decode an endpoint list that it has encoded.
    #[error("cannot decode the encoded endpoint list of the scale test: {0}")]
    Encoding(String),
}

impl CapacityError {
    /// Returns a function that adds the failed action, as an infinitive, to an I/O error.
    pub fn io(action: &str) -> impl FnOnce(io::Error) -> CapacityError + '_ {
        move |source| CapacityError::Io {
            action: action.to_string(),
            source,
        }
    }
}
