//! The queue of votes to be written, that of the newest established control plane session.

use crate::limits::VOTE_QUEUE_CAPACITY;
use std::cell::RefCell;
use tokio::sync::mpsc;

/// A vote waiting to be written.
#[derive(Debug)]
pub(crate) struct QueuedVote {
    /// The engine's id of the vote.
    pub(crate) vote: u64,
    /// The call as it is written, including the newline.
    pub(crate) line: String,
}

/// Creates the queue of one session, bounded by [`VOTE_QUEUE_CAPACITY`].
pub(crate) fn session_queue() -> (mpsc::Sender<QueuedVote>, mpsc::Receiver<QueuedVote>) {
    mpsc::channel(VOTE_QUEUE_CAPACITY)
}

/// The queue that accepts votes at present, if any.
#[derive(Default)]
pub(crate) struct VoteQueue {
    current: RefCell<Option<mpsc::Sender<QueuedVote>>>,
}

impl VoteQueue {
    /// Queues a vote. Returns false if no session is attached or its queue is full.
    pub(crate) fn try_send(&self, queued_vote: QueuedVote) -> bool {
        let current = self.current.borrow().clone();
        current.is_some_and(|queue| queue.try_send(queued_vote).is_ok())
    }

    /// Directs votes to the queue of this session from now on.
    pub(crate) fn attach(&self, queue: mpsc::Sender<QueuedVote>) {
        *self.current.borrow_mut() = Some(queue);
    }

    /// Removes the queue of a session that ended; no effect if another session has replaced it.
    pub(crate) fn detach(&self, queue: &mpsc::Sender<QueuedVote>) {
        let mut current = self.current.borrow_mut();
        if current
            .as_ref()
            .is_some_and(|current| current.same_channel(queue))
        {
            *current = None;
        }
    }
}
