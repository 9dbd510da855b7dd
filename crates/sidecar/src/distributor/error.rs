//! The errors of a distributor.

use super::writer::REPLACE_TIMEOUT;
use crate::listener::ListenError;
use crate::membership::MembershipError;
use havenplank_configuration::replication::PublishError;
use havenplank_configuration::store::StoreError;
use havenplank_configuration::version::Version;
use havenplank_settings::Problems;
use std::io;

/// The reason why a distributor cannot start or publish.
#[derive(Debug, thiserror::Error)]
pub enum DistributorError {
    /// The script has errors.
    #[error("{0}")]
    Script(#[from] Problems),
    /// The store cannot be used.
    #[error("--store: {0}")]
    Store(#[from] StoreError),
    /// The membership cannot start.
    #[error("{0}")]
    Membership(#[from] MembershipError),
    /// The address for operators cannot be listened on.
    #[error("{0}")]
    Listen(#[from] ListenError),
    /// The requested epoch is below the epoch of the store.
    #[error(
        "--epoch {requested}: the store holds version {stored}; expected the epoch of that version or a higher one"
    )]
    LowerEpoch {
        /// The requested epoch.
        requested: u64,
        /// The newest version in the store.
        stored: Version,
    },
    /// No peer reported a configuration in time.
    #[error(
        "--replace-writer: no peer reported a configuration within {} s; expected reachable peers at --meet, or \
         --epoch N above the epoch of the writer that is replaced",
        REPLACE_TIMEOUT.as_secs()
    )]
    NoConfigurationFromPeers,
    /// The replication does not accept the version for publishing.
    #[error("{0}")]
    Publish(#[from] PublishError),
    /// Peers know of a newer version than the store holds.
    #[error(
        "peers know of version {announced}, but the store of this distributor ends at version {stored}, so it is not \
         the store of their writer; start this one with --replace-writer"
    )]
    StoreBehindPeers {
        /// The newest version in the store.
        stored: Version,
        /// The newest version that peers have announced.
        announced: Version,
    },
    /// The handler of the signal that reloads the script cannot be installed.
    #[error("SIGHUP: {0}")]
    Signal(io::Error),
}
