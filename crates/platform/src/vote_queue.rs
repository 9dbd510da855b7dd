//! Where votes wait to be written: the queue of the newest control plane session that stands.

use crate::limits::VOTE_QUEUE;
use std::cell::RefCell;
use tokio::sync::mpsc;

/// A vote as it goes on the wire.
#[derive(Debug)]
pub(crate) struct Ballot {
    /// The engine's id of the vote.
    pub(crate) vote: u64,
    /// The call, with its line's end.
    pub(crate) line: String,
}

/// Creates the queue of one session, bounded by [`VOTE_QUEUE`].
pub(crate) fn session_queue() -> (mpsc::Sender<Ballot>, mpsc::Receiver<Ballot>) {
    mpsc::channel(VOTE_QUEUE)
}

/// The queue that takes votes now, if any.
#[derive(Default)]
pub(crate) struct VoteQueue {
    current: RefCell<Option<mpsc::Sender<Ballot>>>,
}

impl VoteQueue {
    /// Queues a vote; returns false where no session stands or its queue is full.
    pub(crate) fn try_send(&self, ballot: Ballot) -> bool {
        let current = self.current.borrow().clone();
        current.is_some_and(|queue| queue.try_send(ballot).is_ok())
    }

    /// Votes go to this session from now on.
    pub(crate) fn attach(&self, queue: mpsc::Sender<Ballot>) {
        *self.current.borrow_mut() = Some(queue);
    }

    /// A session ended; no effect where votes go to another by now.
    pub(crate) fn detach(&self, queue: &mpsc::Sender<Ballot>) {
        let mut current = self.current.borrow_mut();
        if current
            .as_ref()
            .is_some_and(|current| current.same_channel(queue))
        {
            *current = None;
        }
    }
}
