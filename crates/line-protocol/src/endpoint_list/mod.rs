//! The endpoint list protocol: which endpoints there are, complete or by changes, pushed or polled.

mod cache;
mod notification;
mod request;

pub use cache::{decode_cached, encode_cached};
pub use notification::{write_list, write_poll_failure, NotificationParser};
pub use request::{poll_line, watch_line, RequestParser};

use havenplank::interface::{Build, Nanos, PodState};
use std::net::SocketAddr;

/// The protocol's name in the greeting.
pub const PROTOCOL: &str = "nodes";

/// An endpoint as the list gives it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// The pod's name, unique in a list.
    pub name: String,
    /// Where the pod listens.
    pub address: SocketAddr,
    /// Whether it runs, drains or is gone.
    pub state: PodState,
    /// The build that it runs.
    pub build: Build,
    /// Any number that changes when the process starts anew.
    pub incarnation: u64,
    /// Time since the process started, 0 for long ago, so that no two machines need the same clock.
    pub age: Nanos,
    /// Name of its zone.
    pub zone: String,
    /// Name of its kind of machine.
    pub machine: String,
    /// The cell within which repeated requests are recognised.
    pub cell: i64,
    /// Its size relative to other pods.
    pub size: f64,
}

/// Receives what the service notifies its subscribers of.
pub trait Subscriber {
    /// The complete list, or the entries that changed since the last notification.
    fn update_endpoints(&mut self, complete: bool, endpoints: Vec<ListedEndpoint>);
    /// The service could not answer the last request.
    fn poll_failed(&mut self, reason: &str);
}

/// Receives what subscribers ask of the service.
pub trait Service {
    /// A subscriber of this name greeted.
    fn greeted(&mut self, name: String);
    /// The subscriber wants the complete list, once.
    fn poll(&mut self);
    /// The subscriber starts or ends a watch on changes.
    fn watch(&mut self, on: bool);
}

/// A line or block of lines of the service, as a call on a subscriber.
pub type Notification = Box<dyn FnOnce(&mut dyn Subscriber) + Send>;
/// A line of a subscriber, as a call on the service.
pub type Request = Box<dyn FnOnce(&mut dyn Service) + Send>;
