//! What the lines of either side decode to: calls on a listener.

use havenplank::interface::{Build, Nanos, Stage, Vote, VoteReply};

/// The protocol's name in the greeting.
pub const PROTOCOL: &str = "desk";

/// How a build's requests of a route class fared, all sidecars together.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassTally {
    /// The build.
    pub build: Build,
    /// Name of the route class.
    pub class: String,
    /// Requests served or failed.
    pub count: u64,
    /// Those of them that failed.
    pub failed: u64,
    /// Their mean latency.
    pub mean_latency: Nanos,
    /// Time since they were counted.
    pub age: Nanos,
}

/// Receives what the control plane notifies its subscribers of. Route classes and pods go by name.
pub trait Subscriber {
    /// The state of the newest build changed.
    fn update_stage(&mut self, stage: Stage);
    /// The vote of that number was answered.
    fn vote_answered(&mut self, vote: u64, reply: VoteReply);
    /// Request counts of a build in a route class, all sidecars together.
    fn update_tally(&mut self, tally: ClassTally);
    /// A pod gave a wrong answer in a route class, `ago` before now.
    fn report_fault(&mut self, pod: String, class: String, ago: Nanos);
}

/// Receives what subscribers ask of the control plane.
pub trait Service {
    /// A subscriber of this name greeted.
    fn greeted(&mut self, name: String);
    /// The subscriber casts a vote on a build at a stage; `number` comes back with the answer.
    fn cast_vote(&mut self, number: u64, build: Build, stage: usize, vote: Vote);
}

/// A line of the control plane, as a call on a subscriber.
pub type Notification = Box<dyn FnOnce(&mut dyn Subscriber) + Send>;
/// A line of a subscriber, as a call on the control plane.
pub type Request = Box<dyn FnOnce(&mut dyn Service) + Send>;
