//! The traits whose methods a decoded line calls, one trait for each side of the connection.

use havenplank::interface::{Build, Nanos, Stage, Vote, VoteReply};

/// The protocol's name in the greeting.
pub const PROTOCOL: &str = "desk";

/// Request counts of one build in one route class, over all sidecars.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassTally {
    /// The build.
    pub build: Build,
    /// Name of the route class.
    pub class: String,
    /// Number of requests, both served and failed.
    pub count: u64,
    /// Number of failed requests among them.
    pub failed: u64,
    /// Mean latency of the requests, in nanoseconds.
    pub mean_latency: Nanos,
    /// Time since the requests were counted, in nanoseconds.
    pub age: Nanos,
}

/// Receives the notifications of the control plane. Route classes and pods are identified by name.
pub trait Subscriber {
    /// Called when the state of the newest build has changed.
    fn update_stage(&mut self, stage: Stage);
    /// Called with the reply to the vote that was cast under this number.
    fn vote_answered(&mut self, vote: u64, reply: VoteReply);
    /// Called with new request counts of a build in a route class, over all sidecars.
    fn update_tally(&mut self, tally: ClassTally);
    /// Called when a pod was reported for a wrong response in a route class, `ago` nanoseconds before now.
    fn report_fault(&mut self, pod: String, class: String, ago: Nanos);
}

/// Receives the requests of subscribers to the control plane.
pub trait Service {
    /// Called when a subscriber has sent its greeting, with its name.
    fn greeted(&mut self, name: String);
    /// Called when the subscriber casts a vote on a build at a stage. The reply has to repeat `number`.
    fn cast_vote(&mut self, number: u64, build: Build, stage: usize, vote: Vote);
}

/// A decoded line of the control plane: a closure that calls a method of the subscriber.
pub type Notification = Box<dyn FnOnce(&mut dyn Subscriber) + Send>;
/// A decoded line of a subscriber: a closure that calls a method of the control plane.
pub type Request = Box<dyn FnOnce(&mut dyn Service) + Send>;
