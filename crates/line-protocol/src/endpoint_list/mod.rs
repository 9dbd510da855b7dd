//! The endpoint list protocol: the service sends the complete list or its changes, on request or as a watch.

mod cache;
mod callbacks;
mod endpoint;
mod notification;
mod request;

pub use cache::{decode_cached, encode_cached};
pub use callbacks::{Notification, Request, Service, Subscriber};
pub use endpoint::{ListedEndpoint, PROTOCOL};
pub use notification::{write_list, write_poll_failure, NotificationParser};
pub use request::{poll_line, watch_line, RequestParser};
