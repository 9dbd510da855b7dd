//! The control plane protocol: the state of the newest build, votes and their replies, request counts, reported faults.

mod callbacks;
mod notification;
mod request;

pub use callbacks::{ClassTally, Notification, Request, Service, Subscriber, PROTOCOL};
pub use notification::{
    write_fault, write_stage, write_tally, write_vote_reply, NotificationParser,
};
pub use request::{vote_line, RequestParser};
