//! Whether the client of a request in flight is still there.
//!
//! Nothing but reading on learns of a close that lies behind other bytes, so this reads ahead as far as
//! [`crate::read_ahead`] decides.

use super::{ClientStream, StreamState};
use crate::read_ahead::{next_bytes, STEP_BYTES, WINDOW_UPDATE_TIME};
use std::future::Future;
use std::io::{self, ErrorKind, Read as _};
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use tokio::io::Interest;
use tokio::time::sleep;

/// Why a client's request is not sent to pods any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// The client has closed or reset the connection.
    Closed,
    /// The client has sent more behind its request than is read ahead, so that its close could not be detected.
    SentTooMuch,
}

/// What reading ahead has found.
enum Look {
    /// Nothing more is to be read.
    Quiet,
    /// Bytes were read, and more may have arrived.
    Again,
    /// The client has left.
    Left(Departure),
}

impl ClientStream {
    /// Returns how the client has left, as far as known.
    pub fn departure(&self) -> Option<Departure> {
        self.0.departure.get()
    }

    /// Reads ahead all that has arrived and returns how the client has left, if it has. Looks at the socket itself,
    /// because the runtime learns of events only when it polls. Must not be called while a request is being read.
    pub fn look_for_departure(&self) -> Option<Departure> {
        loop {
            match self.look() {
                Look::Quiet => return None,
                Look::Again => {}
                Look::Left(departure) => return Some(departure),
            }
        }
    }

    /// Does the same as [`ClientStream::look_for_departure`] and gives bytes that a closed receive window kept back
    /// the time to arrive. For a client of which nothing was read since it sent its request.
    pub async fn find_departure(&self) -> Option<Departure> {
        loop {
            let held = self.read_ahead_bytes();
            if let Some(departure) = self.look_for_departure() {
                return Some(departure);
            }
            if self.read_ahead_bytes() == held {
                return None;
            }
            sleep(WINDOW_UPDATE_TIME).await;
        }
    }

    /// Completes when the client has left; reads ahead until then. [`ClientStream::look_for_departure`] must have been
    /// called since the request was read.
    pub async fn departed(&self) -> Departure {
        loop {
            // An error says that the runtime shuts down, which the look does not take for a close.
            let is_running = self.0.socket.ready(Interest::READABLE).await.is_ok();
            if let Some(departure) = self.look_for_departure() {
                return departure;
            }
            if !is_running {
                return Departure::Closed;
            }
        }
    }

    /// Returns a handle that tells whether the client is still there and does not keep the connection open.
    pub fn presence(&self) -> ClientPresence {
        ClientPresence(Rc::downgrade(&self.0))
    }

    fn look(&self) -> Look {
        if let Some(departure) = self.0.departure.get() {
            return Look::Left(departure);
        }
        let (held_bytes, room_bytes) = {
            let read_ahead = self.0.read_ahead.borrow();
            (read_ahead.len(), read_ahead.room())
        };
        let look = match next_bytes(held_bytes, room_bytes) {
            0 => self.look_by_peeking(),
            max_bytes => self.look_by_reading(max_bytes),
        };
        if let Look::Left(departure) = look {
            self.0.departure.set(Some(departure));
            self.wake_reader();
        }
        look
    }

    fn look_by_reading(&self, max_bytes: usize) -> Look {
        let mut read = [0; STEP_BYTES];
        match (&*socket2::SockRef::from(&self.0.socket)).read(&mut read[..max_bytes]) {
            Ok(0) => Look::Left(Departure::Closed),
            Ok(length) => {
                self.hold(&read[..length]);
                Look::Again
            }
            Err(error) => self.look_after_error(&error),
        }
    }

    fn look_by_peeking(&self) -> Look {
        match self.peek() {
            Ok(0) => Look::Left(Departure::Closed),
            Ok(_) => Look::Left(Departure::SentTooMuch),
            Err(error) => self.look_after_error(&error),
        }
    }

    fn look_after_error(&self, error: &io::Error) -> Look {
        match error.kind() {
            ErrorKind::WouldBlock => {
                self.await_next_event();
                Look::Quiet
            }
            ErrorKind::Interrupted => Look::Again,
            // Says nothing about the connection. The runtime still takes the socket for readable, so it is looked at again.
            ErrorKind::OutOfMemory => Look::Quiet,
            _ => Look::Left(Departure::Closed),
        }
    }

    /// Returns whether the system has reported to the runtime that the client closed the connection.
    pub(super) fn is_close_reported(&self) -> bool {
        let ready = pin!(self.0.socket.ready(Interest::READABLE));
        match ready.poll(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(Ok(ready)) => ready.is_read_closed(),
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        }
    }

    /// Makes the runtime take the socket for empty, so that it waits for the next event: more bytes, or a close.
    fn await_next_event(&self) {
        let would_block = || io::Result::<()>::Err(ErrorKind::WouldBlock.into());
        let _ = self.0.socket.try_io(Interest::READABLE, would_block);
    }
}

/// Returns whether a call on a socket that failed is simply to be repeated, once the socket is ready.
pub(super) fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

/// Tells whether the client of a request is still there. A connection that has ended counts as closed.
#[derive(Clone)]
pub struct ClientPresence(Weak<StreamState>);

impl ClientPresence {
    /// Looks at the socket and returns whether the client has left; see [`ClientStream::look_for_departure`].
    pub fn has_left(&self) -> bool {
        let Some(stream) = self.0.upgrade() else {
            return true;
        };
        ClientStream(stream).look_for_departure().is_some()
    }
}
