//! The control plane over JSON-RPC: votes and their replies, the state of the newest build, faults of pods.
//!
//! `messages` is the wire, `session` one connection. This module casts votes and keeps a session up.

pub(crate) mod messages;
mod session;
mod vote_reply;

use crate::limits::VOTE_REPLY_LINGER;
use crate::reconnect;
use crate::shell::Shell;
use crate::vote_queue::Ballot;
use havenplank::interface::{Build, Vote, VoteReceipt};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;
use vote_reply::report_reply;

/// Keeps a session up; ends only when the sender of `address` is dropped.
pub(crate) async fn follow(shell: Rc<Shell>, address: watch::Receiver<SocketAddr>, seed: u64) {
    let session = |address, liveness| session::run(shell.clone(), address, liveness);
    reconnect::maintain("control plane", address, seed, VOTE_REPLY_LINGER, session).await;
}

/// Sends a vote and sees to it that the engine hears of its end: one that is not written is rejected, one without a
/// reply within the call's time-out unknown.
pub(crate) fn cast_vote(shell: &Rc<Shell>, id: u64, build: Build, stage: usize, vote: Vote) {
    let ballot = Ballot {
        vote: id,
        line: messages::vote_line(id, build, stage, vote),
    };
    let queued = shell.votes.try_send(ballot);
    let timeout = Duration::from_nanos(shell.vote_settings.call_timeout);
    let shell = shell.clone();
    // In a task of its own, as the engine may be in the middle of what asked for it.
    spawn_local(async move {
        if queued {
            sleep(timeout).await;
            report_reply(&shell, id, VoteReceipt::Unknown, None);
        } else {
            report_reply(&shell, id, VoteReceipt::Rejected, None);
        }
    });
}
