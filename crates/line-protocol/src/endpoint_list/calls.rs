//! What the lines of either side decode to: calls on a listener.

use super::endpoint::ListedEndpoint;

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
