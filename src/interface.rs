//! The interface between the router and its host: the events that go in and the effects that come out.
//!
//! A host builds a [`Router`](crate::Router) from [`RouterSettings`], calls its methods as events arrive and
//! carries out the effects that the router requests through [`Host`]. An effect with a result comes with a
//! [`Callback`]; the host keeps the callback and calls it once, with the result. So the state of a request in
//! flight is held by its callbacks.

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

/// Whole nanoseconds: a time on the host's clock, or a duration.
pub type Nanos = u64;
/// The id of a request in flight, assigned by the host.
pub type RequestId = u64;
/// The index of a pod. A pod keeps its index as long as this instance runs.
pub type PodId = usize;
/// The index of a route class.
pub type RouteClassId = usize;
/// The index of a zone.
pub type ZoneId = usize;
/// The number of a build. A later build has a greater number.
pub type Build = u32;
