//! Errors of a ledger that cannot be checked.

use havenplank::interface::Nanos;

/// Why a ledger gives no verdict.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum CheckError {
    /// The entry with the parameters of the rules is missing.
    #[error("the ledger has no entry \"figures\"; expected one with the parameters of the rules")]
    NoParameters,
    /// An entry contradicts those before it.
    #[error("at {at} ns: {source}")]
    Entry {
        /// The entry's time on the ledger's clock, in nanoseconds.
        at: Nanos,
        /// What is wrong with it.
        source: EntryError,
    },
}

/// How an entry contradicts those before it.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum EntryError {
    /// A request of a route class that does not exist.
    #[error(
        "a request has route class {class}; expected the index of a class in the entry \"figures\""
    )]
    UnknownClass {
        /// The index of the class, counted from 0.
        class: usize,
    },
    /// Something happened to a request that no client sent.
    #[error("{event} of ask {ask}, which no client sent; expected an entry \"asked\" before")]
    UnknownRequest {
        /// What the entry records.
        event: &'static str,
        /// The number of the request.
        ask: u64,
    },
    /// Something happened at a pod that never started.
    #[error(
        "{event} at {pod} (life {life}), which never started; expected an entry \"pod_up\" before",
        life = incarnation
    )]
    UnknownPod {
        /// What the entry records.
        event: &'static str,
        /// The pod's name.
        pod: String,
        /// The pod's incarnation.
        incarnation: u64,
    },
    /// A pod rejected an attempt that it never received.
    #[error(
        "ask {ask} turned away by {pod} (life {life}); expected an entry that it arrived there before",
        life = incarnation
    )]
    NeverArrived {
        /// The number of the request.
        ask: u64,
        /// The pod's name.
        pod: String,
        /// The pod's incarnation.
        incarnation: u64,
    },
}
