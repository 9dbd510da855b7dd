//! A client connection: its stream, its state and the task that serves it.

use crate::connection_slots::{Activity, ConnectionState};
use havenplank_sidecar::client_stream::ClientStream;
use havenplank_sidecar::read_ahead::ReadAheadMemory;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// A client connection.
pub(crate) struct ClientConnection {
    pub(crate) stream: ClientStream,
    /// The state as last set. `Activity::Reading` is never stored here: [`ClientConnection::state`] derives it from the
    /// stream.
    state: Cell<ConnectionState>,
    task: RefCell<Option<AbortHandle>>,
}

impl ClientConnection {
    /// What is read ahead of the HTTP server is held in `memory`.
    pub(crate) fn new(stream: TcpStream, memory: Rc<ReadAheadMemory>) -> ClientConnection {
        ClientConnection {
            stream: ClientStream::new(stream, memory),
            state: Cell::new(ConnectionState::new(Instant::now())),
            task: RefCell::default(),
        }
    }

    /// Returns the present state, updated by what the stream has read and written meanwhile.
    pub(crate) fn state(&self) -> ConnectionState {
        if let Some(written_at) = self.stream.take_response_written() {
            self.state.set(ConnectionState {
                idle_since: written_at,
                activity: Activity::Idle,
                ..self.state.get()
            });
        }
        let mut state = self.state.get();
        if let (Activity::Idle, Some(began)) = (state.activity, self.stream.request_began()) {
            state.activity = Activity::Reading { began };
        }
        state
    }

    fn set_activity(&self, activity: Activity) {
        self.state.set(ConnectionState {
            activity,
            ..self.state.get()
        });
    }

    /// Records that the HTTP server has read the head of a request. Reading the state first records the end of the
    /// previous response.
    pub(crate) fn begin_response(&self) {
        self.state();
        self.set_activity(Activity::Responding { write_by: None });
    }

    /// Records that a response was passed to the HTTP server; `deadline` is that of its request, if any.
    pub(crate) fn hand_over_response(&self, deadline: Option<Instant>) {
        let write_by = ConnectionState::write_by(Instant::now(), deadline);
        self.set_activity(Activity::Responding {
            write_by: Some(write_by),
        });
    }

    /// Records that a complete request was read.
    pub(crate) fn mark_requested(&self) {
        self.state.set(ConnectionState {
            has_requested: true,
            ..self.state.get()
        });
    }

    /// Returns whether a request has arrived of which nothing was read yet: its bytes are in the socket, which the
    /// runtime has not polled since.
    pub(crate) fn has_unread_request(&self) -> bool {
        self.stream.request_began().is_none() && self.stream.has_unread()
    }

    /// Sets the task that serves the connection.
    pub(crate) fn set_task(&self, task: AbortHandle) {
        *self.task.borrow_mut() = Some(task);
    }

    /// Aborts the task that serves the connection, which closes the connection.
    pub(crate) fn abort(&self) {
        let task = self.task.borrow_mut().take();
        if let Some(task) = task {
            task.abort();
        }
    }
}
