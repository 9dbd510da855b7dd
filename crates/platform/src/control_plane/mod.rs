//! The control plane protocol over JSON-RPC: votes and their replies, the stage of the newest build, faults of pods.
//!
//! `messages` encodes and decodes, `session` is one connection. This module casts votes and keeps a session running.

pub(crate) mod messages;
mod session;
mod vote_reply;

use crate::limits::VOTE_REPLY_LINGER;
use crate::reconnect;
use crate::shell::Shell;
use crate::vote_queue::QueuedVote;
use havenplank::interface::{Build, Vote, VoteReceipt};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;
use vote_reply::report_reply;

/// Keeps a session running until the sender of `address` is dropped.
pub(crate) async fn follow(shell: Rc<Shell>, address: watch::Receiver<SocketAddr>, seed: u64) {
    let session = |address, liveness| session::run(shell.clone(), address, liveness);
    reconnect::maintain("control plane", address, seed, VOTE_REPLY_LINGER, session).await;
}

/// Queues a vote, and makes sure that the engine receives its result: rejected if it is not written, unknown if no
/// reply comes within the timeout of the call.
pub(crate) fn cast_vote(shell: &Rc<Shell>, id: u64, build: Build, stage: usize, vote: Vote) {
    let queued_vote = QueuedVote {
        vote: id,
        line: messages::vote_line(id, build, stage, vote),
    };
    let queued = shell.votes.try_send(queued_vote);
    let timeout = Duration::from_nanos(shell.vote_settings.call_timeout);
    let shell = shell.clone();
    // In its own task, because the engine may still be inside the call that requested this vote.
    spawn_local(async move {
        if queued {
            sleep(timeout).await;
            report_reply(&shell, id, VoteReceipt::Unknown, None);
        } else {
            report_reply(&shell, id, VoteReceipt::Rejected, None);
        }
    });
}
