//! The endpoint list protocol: which endpoints there are, complete or by changes, pushed or polled.

mod cache;
mod calls;
mod endpoint;
mod notification;
mod request;

pub use cache::{decode_cached, encode_cached};
pub use calls::{Notification, Request, Service, Subscriber};
pub use endpoint::{ListedEndpoint, PROTOCOL};
pub use notification::{write_list, write_poll_failure, NotificationParser};
pub use request::{poll_line, watch_line, RequestParser};
