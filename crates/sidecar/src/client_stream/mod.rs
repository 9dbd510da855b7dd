//! A client's TCP stream that records when a request began to arrive, when its response was written and when the client
//! left, and that can be drained after the HTTP connection has ended.

mod departure;
mod drain;
mod held_bytes;

pub use departure::{ClientPresence, Departure};

use crate::read_ahead::ReadAheadMemory;
use crate::tracked_body::{TrackedRequestBody, TrackedResponseBody};
use departure::is_transient;
use held_bytes::HeldBytes;
use hyper::body::Incoming;
use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Limit on the bytes that the HTTP server reads at once. Its read buffer holds 8 KiB; a read that fills 8 KiB makes it
/// allocate buffers twice as large from then on.
const MAX_READ_BYTES: usize = (8 << 10) - 1;

/// The state that all clones of a [`ClientStream`] share.
struct StreamState {
    socket: TcpStream,
    /// When the first byte arrived of the request that is read next, or of the body that is being read; `None` before
    /// that, and once the body is complete.
    first_unread: Cell<Option<Instant>>,
    /// Bytes that were read before the HTTP connection asked for them; its next reads return them first.
    read_ahead: RefCell<HeldBytes>,
    /// Bytes that the HTTP connection has read of a request since the last complete one.
    partial_request: Cell<usize>,
    /// How the client left; `None` while it is there, as far as known. Reads end behind the bytes that were read ahead
    /// once it is set.
    departure: Cell<Option<Departure>>,
    /// Wakes the HTTP connection when bytes were read ahead.
    reader_waker: Cell<Option<Waker>>,
    /// Set once the HTTP connection has consumed a complete response body; cleared when all of it is written.
    response_consumed: Cell<bool>,
    /// When the last complete response was written.
    response_written: Cell<Option<Instant>>,
    /// Since when the socket accepts no more bytes; `None` while it does.
    write_blocked: Cell<Option<Instant>>,
}

/// A client's stream. Clones share the same stream.
#[derive(Clone)]
pub struct ClientStream(Rc<StreamState>);

impl ClientStream {
    /// Wraps a socket. What is read ahead is held in `memory`.
    pub fn new(socket: TcpStream, memory: Rc<ReadAheadMemory>) -> ClientStream {
        ClientStream(Rc::new(StreamState {
            socket,
            first_unread: Cell::default(),
            read_ahead: RefCell::new(HeldBytes::new(memory)),
            partial_request: Cell::default(),
            departure: Cell::default(),
            reader_waker: Cell::default(),
            response_consumed: Cell::default(),
            response_written: Cell::default(),
            write_blocked: Cell::default(),
        }))
    }

    /// Returns when the first byte of the next request arrived; `None` if no byte of it has arrived. Is not meaningful
    /// while the body of a request is being read.
    pub fn request_began(&self) -> Option<Instant> {
        self.0.first_unread.get()
    }

    /// Returns when the first byte of the request that was just read arrived, and resets that time for the next
    /// request.
    pub fn take_request_began(&self) -> Option<Instant> {
        self.0.partial_request.set(0);
        self.0.first_unread.take()
    }

    /// Returns how many bytes were read ahead and wait for the HTTP connection.
    pub fn read_ahead_bytes(&self) -> usize {
        self.0.read_ahead.borrow().len()
    }

    /// Returns how many bytes the HTTP connection has read of a request that is not complete.
    pub fn partial_request_bytes(&self) -> usize {
        self.0.partial_request.get()
    }

    /// Returns when the last byte of a response was written, if one was written since the last call.
    pub fn take_response_written(&self) -> Option<Instant> {
        self.0.response_written.take()
    }

    /// Returns since when writing a response is blocked because the client does not read.
    pub fn write_blocked_since(&self) -> Option<Instant> {
        self.0.write_blocked.get()
    }

    /// Wraps the body of the request whose head was just read, to record when it is complete.
    pub fn track_request_body(&self, body: Incoming) -> TrackedRequestBody {
        TrackedRequestBody::new(body, self.clone())
    }

    /// Wraps a response body to record when the HTTP connection has consumed all of it.
    pub fn track_response_body<B>(&self, body: B) -> TrackedResponseBody<B> {
        TrackedResponseBody::new(body, self.clone())
    }

    /// Records that the body of a request is complete: the bytes that arrived since its head were its own, and the next
    /// request has not begun.
    pub(crate) fn record_request_complete(&self) {
        self.0.partial_request.set(0);
        self.0.first_unread.set(None);
    }

    /// Records that the HTTP connection has consumed a complete response body.
    pub(crate) fn record_response_consumed(&self) {
        self.0.response_consumed.set(true);
    }

    /// Returns 1 if bytes have arrived, 0 at the end of the stream.
    fn peek(&self) -> io::Result<usize> {
        let mut byte = [MaybeUninit::uninit()];
        socket2::SockRef::from(&self.0.socket).peek(&mut byte)
    }

    /// Returns whether bytes from the client have arrived that the HTTP connection has not read. Peeks at the socket
    /// itself, because the runtime learns of new bytes only when it polls.
    pub fn has_unread(&self) -> bool {
        self.read_ahead_bytes() > 0 || self.peek().is_ok_and(|bytes| bytes > 0)
    }

    /// Returns whether the client has closed the connection. While unread bytes are in the socket, a close is detected
    /// once the runtime has polled. Unlike [`ClientStream::look_for_departure`] this may be called at any time.
    pub fn is_closed(&self) -> bool {
        if self.0.departure.get() == Some(Departure::Closed) {
            return true;
        }
        match self.peek() {
            Ok(0) => true,
            Ok(_) => self.is_close_reported(),
            Err(error) => !is_transient(&error),
        }
    }

    /// Holds bytes that were read ahead of the HTTP connection, and wakes it.
    fn hold(&self, bytes: &[u8]) {
        self.record_read();
        self.0.read_ahead.borrow_mut().push(bytes);
        self.wake_reader();
    }

    fn wake_reader(&self) {
        if let Some(reader_waker) = self.0.reader_waker.take() {
            reader_waker.wake();
        }
    }

    /// Passes bytes on that were read ahead; false if there are none.
    fn pass_on_read_ahead(&self, buf: &mut ReadBuf<'_>) -> bool {
        let mut read_ahead = self.0.read_ahead.borrow_mut();
        if read_ahead.len() == 0 {
            return false;
        }
        let length = read_ahead.len().min(buf.remaining()).min(MAX_READ_BYTES);
        read_ahead.take(length, |bytes| buf.put_slice(bytes));
        self.record_passed_on(length);
        true
    }

    /// Writes a response at once, without the HTTP connection, as far as the socket takes it.
    pub fn write_now(&self, response: &[u8]) {
        // A client that does not read gets the close alone.
        let _ = self.0.socket.try_write(response);
    }

    fn write_pending(&self) -> Poll<io::Result<usize>> {
        self.0
            .write_blocked
            .set(self.0.write_blocked.get().or_else(|| Some(Instant::now())));
        Poll::Pending
    }

    fn write_finished(&self, done: io::Result<usize>) -> Poll<io::Result<usize>> {
        self.0.write_blocked.set(None);
        Poll::Ready(done)
    }

    /// Records that bytes of a request were passed to the HTTP connection.
    fn record_passed_on(&self, bytes: usize) {
        let partial_request = &self.0.partial_request;
        partial_request.set(partial_request.get() + bytes);
    }

    fn record_read(&self) {
        if self.0.first_unread.get().is_none() {
            self.0.first_unread.set(Some(Instant::now()));
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.pass_on_read_ahead(buf) || self.0.departure.get().is_some() {
            return Poll::Ready(Ok(()));
        }
        self.0.reader_waker.set(Some(cx.waker().clone()));
        loop {
            ready!(self.0.socket.poll_read_ready(cx))?;
            let length = buf.remaining().min(MAX_READ_BYTES);
            match self.0.socket.try_read(buf.initialize_unfilled_to(length)) {
                Ok(read) => {
                    buf.advance(read);
                    if read > 0 {
                        self.record_read();
                        self.record_passed_on(read);
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(error) if is_transient(&error) => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            if self.0.socket.poll_write_ready(cx)?.is_pending() {
                return self.write_pending();
            }
            match self.0.socket.try_write(buf) {
                Err(error) if is_transient(&error) => {}
                done => return self.write_finished(done),
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            if self.0.socket.poll_write_ready(cx)?.is_pending() {
                return self.write_pending();
            }
            match self.0.socket.try_write_vectored(bufs) {
                Err(error) if is_transient(&error) => {}
                done => return self.write_finished(done),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// The HTTP connection calls this only when all bytes that it has consumed are written.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.0.response_consumed.take() {
            self.0.response_written.set(Some(Instant::now()));
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&self.0.socket).shutdown(Shutdown::Write))
    }
}
