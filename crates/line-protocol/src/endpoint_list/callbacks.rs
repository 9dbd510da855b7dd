//! The traits whose methods a decoded line calls, one trait for each side of the connection.

use super::endpoint::ListedEndpoint;

/// Receives the notifications of the endpoint list service.
pub trait Subscriber {
    /// Called with the complete list, or with the entries that changed since the last notification.
    fn update_endpoints(&mut self, complete: bool, endpoints: Vec<ListedEndpoint>);
    /// Called when the service could not serve the last request.
    fn poll_failed(&mut self, reason: &str);
}

/// Receives the requests of subscribers to the service.
pub trait Service {
    /// Called when a subscriber has sent its greeting, with its name.
    fn greeted(&mut self, name: String);
    /// Called when the subscriber requests the complete list, once.
    fn poll(&mut self);
    /// Called when the subscriber starts or ends a watch on changes.
    fn watch(&mut self, on: bool);
}

/// A decoded line or block of lines of the service: a closure that calls a method of the subscriber.
pub type Notification = Box<dyn FnOnce(&mut dyn Subscriber) + Send>;
/// A decoded line of a subscriber: a closure that calls a method of the service.
pub type Request = Box<dyn FnOnce(&mut dyn Service) + Send>;
