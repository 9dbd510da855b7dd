//! The interface of the router: what a host tells it and what it asks of a host.
//!
//! A host builds a [`Router`](crate::Router) from [`RouterSettings`], calls its methods as things arrive and
//! carries out what comes back through [`Host`]. Whatever takes a [`Callback`] is kept by the host and handed
//! its result once, so the state of a request in flight lives in its callbacks.

mod endpoint;
mod host;
mod release;
mod request;
mod settings;

pub use endpoint::{stable_hash, Endpoint, HealthCheckResult, LoadReport, PodState};
pub use host::{Callback, Host};
pub use release::{Phase, Stage, Tally, Vote, VoteReceipt, VoteReply};
pub use request::{AttemptEnd, AttemptOutcome, IncomingRequest, PriorAttempt};
pub use settings::{
    AttemptSettings, DedupScope, EndpointListSettings, ExposureSettings, FleetPosition,
    Idempotency, PodSettings, ReleaseControl, RouteClass, RouterSettings, VoteSettings,
};

/// Whole nanoseconds, as a point on the host's clock or a span.
pub type Nanos = u64;
/// A request in flight, by a number that the host gives it.
pub type RequestId = u64;
/// The index of a pod; a pod keeps its index while this instance runs.
pub type PodId = usize;
/// The index of a route class.
pub type RouteClassId = usize;
/// The index of a zone.
pub type ZoneId = usize;
/// The number of a build; a later build has the greater number.
pub type Build = u32;
