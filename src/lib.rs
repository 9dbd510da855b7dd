//! havenplank: the decisions of a sidecar that routes requests and votes on releases.
//!
//! An instance is one sidecar of the fleet, and each instance has one [`Router`]. A router is built from
//! [`interface::RouterSettings`]. Its host calls a method for each event and carries out the effects that the router
//! requests through [`interface::Host`]. The router does no I/O, has no clock and draws its random numbers from a seed,
//! so the same calls always give the same decisions. Each decision has a module of its own; the `router` module calls
//! them in the order in which a request needs them.

#![warn(missing_docs)]
#![warn(
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::wildcard_imports,
    clippy::type_complexity
)]

pub mod interface;

mod admission;
mod binomial;
mod endpoint_list;
mod exposure;
mod hedging;
mod latency;
mod learning_rate;
mod outlier;
mod pod_table;
mod request;
mod retry;
mod route_class;
mod router;
mod selection;
mod sequential_test;
mod slow_start;
mod time;
mod voting;
mod window;

pub use pod_table::PodVisits;
pub use route_class::RouteClassChange;
pub use router::Router;
