//! Why a distributor cannot start or publish.

use super::writer::REPLACE_PATIENCE;
use crate::listener::ListenError;
use crate::membership::MembershipError;
use havenplank_configuration::replication::PublishError;
use havenplank_configuration::store::StoreError;
use havenplank_configuration::version::Version;
use havenplank_settings::Problems;
use std::io;

/// Why a distributor cannot start or publish.
#[derive(Debug, thiserror::Error)]
pub enum DistributorError {
    /// The script has mistakes.
    #[error("{0}")]
    Script(#[from] Problems),
    /// The store cannot be used.
    #[error("--store: {0}")]
    Store(#[from] StoreError),
    /// The membership cannot start.
    #[error("{0}")]
    Membership(#[from] MembershipError),
    /// The operators' address cannot be listened on.
    #[error("{0}")]
    Listen(#[from] ListenError),
    /// The epoch asked for is below that of the store.
    #[error(
        "--epoch {asked}: the store holds version {stored}; expected its epoch or a higher one"
    )]
    LowerEpoch {
        /// The epoch asked for.
        asked: u64,
        /// The store's newest version.
        stored: Version,
    },
    /// No peer said what is in force.
    #[error(
        "--replace-writer: no peer told of a configuration within {} s; expected peers at --meet, or --epoch N above the \
         epoch of the writer that is replaced",
        REPLACE_PATIENCE.as_secs()
    )]
    NoConfigurationFromPeers,
    /// The version is not taken for publishing.
    #[error("{0}")]
    Publish(#[from] PublishError),
    /// Peers have a newer version than the store.
    #[error(
        "peers hold version {theirs}, the store of this distributor ends at {ours}: it is not the store of their writer; \
         start this one with --replace-writer"
    )]
    StoreBehindPeers {
        /// The store's newest version.
        ours: Version,
        /// The newest version of peers.
        theirs: Version,
    },
    /// The signal that reloads the script cannot be waited for.
    #[error("SIGHUP: {0}")]
    Signal(io::Error),
}
