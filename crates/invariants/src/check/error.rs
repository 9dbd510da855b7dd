//! Why a ledger cannot be checked.

use havenplank::interface::Nanos;

/// Why a ledger gives no verdict.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum CheckError {
    /// The figures that the rules are checked by are missing.
    #[error("no figures; expected an entry of them")]
    NoFigures,
    /// An entry does not follow from those before it.
    #[error("at {at} ns: {source}")]
    Entry {
        /// The entry's time on the ledger's clock, in nanoseconds.
        at: Nanos,
        /// What is wrong with it.
        source: EntryError,
    },
}

/// Why an entry does not follow from those before it.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum EntryError {
    /// A request of a route class that does not exist.
    #[error("path group {class}, which the figures do not name")]
    UnknownClass {
        /// The class, counted from 0.
        class: usize,
    },
    /// Something happened to a request that no client sent.
    #[error("{event} of ask {ask}; expected an entry that it was asked before")]
    UnknownRequest {
        /// What happened.
        event: &'static str,
        /// The number of the request.
        ask: u64,
    },
    /// Something happened at a pod that never started.
    #[error("{event} at {pod} (life {life}); expected an entry that it started before")]
    UnknownPod {
        /// What happened.
        event: &'static str,
        /// The pod's name.
        pod: String,
        /// Which start of the pod.
        life: u64,
    },
    /// A pod turned away an attempt that it never read.
    #[error("ask {ask} turned away by {pod} (life {life}); expected an entry that it arrived there before")]
    NeverArrived {
        /// The number of the request.
        ask: u64,
        /// The pod's name.
        pod: String,
        /// Which start of the pod.
        life: u64,
    },
}
