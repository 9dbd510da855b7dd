//! The control plane protocol: the state of the newest build, votes and their answers, request counts, faults.

mod calls;
mod notification;
mod request;

pub use calls::{ClassTally, Notification, Request, Service, Subscriber, PROTOCOL};
pub use notification::{
    write_fault, write_stage, write_tally, write_vote_reply, NotificationParser,
};
pub use request::{vote_line, RequestParser};
