//! A client's connection: its stream, what it is at, and the task that serves it.

use crate::connection_slots::{Activity, ConnectionSlot};
use havenplank_sidecar::client_stream::ClientStream;
use std::cell::{Cell, RefCell};
use std::time::Instant;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// A client's connection.
pub(crate) struct ClientConnection {
    pub(crate) stream: ClientStream,
    /// As it was last set; whether a request is being read the stream tells.
    slot: Cell<ConnectionSlot>,
    task: RefCell<Option<AbortHandle>>,
}

impl ClientConnection {
    pub(crate) fn new(stream: TcpStream) -> ClientConnection {
        ClientConnection {
            stream: ClientStream::new(stream),
            slot: Cell::new(ConnectionSlot::new(Instant::now())),
            task: RefCell::default(),
        }
    }

    /// Returns the connection as it stands now.
    pub(crate) fn slot(&self) -> ConnectionSlot {
        if let Some(written_at) = self.stream.take_response_written() {
            self.slot.set(ConnectionSlot {
                idle_since: written_at,
                activity: Activity::Idle,
                ..self.slot.get()
            });
        }
        let mut slot = self.slot.get();
        if let (Activity::Idle, Some(began)) = (slot.activity, self.stream.request_began()) {
            slot.activity = Activity::Reading { began };
        }
        slot
    }

    fn set_activity(&self, activity: Activity) {
        self.slot.set(ConnectionSlot {
            activity,
            ..self.slot.get()
        });
    }

    /// HTTP has read a request's head. The response before it is settled first.
    pub(crate) fn begin_response(&self) {
        self.slot();
        self.set_activity(Activity::Responding { write_by: None });
    }

    /// A response is handed over to HTTP; `deadline` is that of its request, where it had one.
    pub(crate) fn hand_over_response(&self, deadline: Option<Instant>) {
        let write_by = ConnectionSlot::write_by(Instant::now(), deadline);
        self.set_activity(Activity::Responding {
            write_by: Some(write_by),
        });
    }

    /// A request was read whole.
    pub(crate) fn mark_requested(&self) {
        self.slot.set(ConnectionSlot {
            has_requested: true,
            ..self.slot.get()
        });
    }

    /// Returns whether a request has come of which nothing was read: it lies in the socket, and the runtime has not
    /// polled it yet.
    pub(crate) fn has_unread_request(&self) -> bool {
        self.stream.request_began().is_none() && self.stream.has_unread()
    }

    /// Sets the task that serves the connection.
    pub(crate) fn set_task(&self, task: AbortHandle) {
        *self.task.borrow_mut() = Some(task);
    }

    /// Ends the task that serves the connection, which closes it.
    pub(crate) fn abort(&self) {
        let task = self.task.borrow_mut().take();
        if let Some(task) = task {
            task.abort();
        }
    }
}
