//! Errors of a drive.

use havenplank_trace::TraceError;

/// Why a drive failed.
#[derive(Debug, thiserror::Error)]
pub enum DriveError {
    /// The trace could not be read.
    #[error("{0}")]
    Trace(#[from] TraceError),
    /// A socket, a file or the sidecar process failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The trace holds no requests or too many; says which.
    #[error("{0}")]
    UnsuitableTrace(String),
    /// The sidecar did not listen in time; holds the lines that it logged.
    #[error("the sidecar did not listen within 20 s: {0}")]
    NotListening(String),
}
