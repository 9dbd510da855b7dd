//! A client's TCP stream that records when a request began to arrive, when its response was written and when the client
//! closed the connection, and that can be drained after the HTTP connection has ended.

use crate::tracked_body::{TrackedRequestBody, TrackedResponseBody};
use bytes::{Buf, BytesMut};
use hyper::body::Incoming;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::{self, Read as _};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::coop::consume_budget;
use tokio::time::timeout;

/// Limit on the bytes that are read and discarded while a connection closes.
const MAX_DRAIN_BYTES: usize = 1 << 20;
/// Limit on the time for which bytes are read and discarded while a connection closes.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(500);
/// Limit on the bytes that are read ahead while a request is served. A close behind them is then detected even if the
/// system does not report it before they are read.
const MAX_READ_AHEAD_BYTES: usize = 16 << 10;

/// Limit on the bytes that the HTTP server reads at once. Its read buffer holds 8 KiB; a read that fills 8 KiB makes it
/// allocate buffers twice as large from then on.
const MAX_READ_BYTES: usize = (8 << 10) - 1;
/// Bytes that are read ahead at once.
const READ_AHEAD_STEP_BYTES: usize = 4 << 10;
/// Bytes that are discarded at once while a connection closes.
const DRAIN_STEP_BYTES: usize = 4 << 10;

/// What happened on a socket.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SocketEvent {
    /// Bytes have arrived.
    Bytes,
    /// The client has closed or reset the connection; unread bytes may precede that.
    Closed,
}

impl SocketEvent {
    fn is_closed(self) -> bool {
        self == SocketEvent::Closed
    }
}

/// The state that all clones of a [`ClientStream`] share.
struct StreamState {
    socket: TcpStream,
    /// When the first byte arrived of the request that is read next, or of the body that is being read; `None` before
    /// that, and once the body is complete.
    first_unread: Cell<Option<Instant>>,
    /// Bytes that were read before the HTTP connection asked for them; its next reads return them first.
    read_ahead: RefCell<BytesMut>,
    /// Bytes that the HTTP connection has read of a request since the last complete one.
    partial_request: Cell<usize>,
    /// The socket may have unread bytes although the runtime takes it for empty; see [`ClientStream::await_event`].
    may_have_unread: Cell<bool>,
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
    /// Wraps a socket.
    pub fn new(socket: TcpStream) -> ClientStream {
        let (first_unread, reader_waker, response_written, write_blocked) = Default::default();
        let (read_ahead, response_consumed) = (RefCell::default(), Cell::new(false));
        let (partial_request, may_have_unread) = (Cell::new(0), Cell::new(false));
        ClientStream(Rc::new(StreamState {
            socket,
            first_unread,
            read_ahead,
            partial_request,
            may_have_unread,
            reader_waker,
            response_consumed,
            response_written,
            write_blocked,
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

    fn peek(&self) -> io::Result<usize> {
        let mut byte = [MaybeUninit::uninit()];
        socket2::SockRef::from(&self.0.socket).peek(&mut byte)
    }

    /// Returns whether bytes from the client have arrived that the HTTP connection has not read. Peeks at the socket
    /// itself, because the runtime learns of new bytes only when it polls.
    pub fn has_unread(&self) -> bool {
        !self.0.read_ahead.borrow().is_empty() || self.peek().is_ok_and(|bytes| bytes > 0)
    }

    /// Returns whether the client has closed the connection. While unread bytes are in the socket, a close is detected
    /// once the runtime has polled.
    pub fn is_closed(&self) -> bool {
        match self.peek() {
            Ok(0) => true,
            Ok(_) => self.is_close_reported(),
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Returns whether the system has reported to the runtime that the client closed the connection.
    fn is_close_reported(&self) -> bool {
        let ready = pin!(self.0.socket.ready(Interest::READABLE));
        match ready.poll(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(Ok(ready)) => ready.is_read_closed(),
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        }
    }

    /// Completes when the client has closed the connection, or reset it, also if unread bytes precede the close. Reads
    /// ahead while `has_memory` permits it: not every system reports a close before those bytes are read.
    pub async fn closed(&self, has_memory: impl Fn() -> bool) {
        loop {
            if !self.0.may_have_unread.get() && self.await_event().await.is_closed() {
                return;
            }
            let room = MAX_READ_AHEAD_BYTES.saturating_sub(self.read_ahead_bytes());
            if room == 0 || !has_memory() {
                self.ignore_unread();
                if self.await_event().await.is_closed() {
                    return;
                }
                continue;
            }
            match self.read_ahead(room.min(READ_AHEAD_STEP_BYTES)) {
                Ok(0) => return,
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    /// Waits until the socket has bytes or the client has closed the connection.
    async fn await_event(&self) -> SocketEvent {
        match self.0.socket.ready(Interest::READABLE).await {
            Ok(ready) if !ready.is_read_closed() => SocketEvent::Bytes,
            _ => SocketEvent::Closed,
        }
    }

    /// Makes the runtime take the socket for empty, so that [`ClientStream::await_event`] waits for what comes next: more
    /// bytes, or a close. The next read looks at the socket itself.
    fn ignore_unread(&self) {
        self.0.may_have_unread.set(true);
        let would_block = || io::Result::<()>::Err(io::ErrorKind::WouldBlock.into());
        let _ = self.0.socket.try_io(Interest::READABLE, would_block);
    }

    /// Reads bytes that have arrived. Fails with `WouldBlock` if there are none.
    fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        if !self.0.may_have_unread.get() {
            return self.0.socket.try_read(buffer);
        }
        let read = (&*socket2::SockRef::from(&self.0.socket)).read(buffer);
        if matches!(&read, Err(error) if error.kind() == io::ErrorKind::WouldBlock) {
            self.0.may_have_unread.set(false);
        }
        read
    }

    /// Waits until a read may find bytes.
    async fn readable(&self) -> io::Result<()> {
        if self.0.may_have_unread.get() {
            return Ok(());
        }
        self.0.socket.readable().await
    }

    /// Waits until a read may find bytes, within the task's budget: a socket that always has bytes must not keep the
    /// task from yielding.
    fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.0.may_have_unread.get() {
            return pin!(consume_budget()).poll(cx).map(Ok);
        }
        self.0.socket.poll_read_ready(cx)
    }

    /// Reads at most `limit` bytes ahead of the HTTP connection and returns their number; 0 at the end of the stream.
    fn read_ahead(&self, limit: usize) -> io::Result<usize> {
        let mut read = [0; READ_AHEAD_STEP_BYTES];
        let length = self.try_read(&mut read[..limit])?;
        if length > 0 {
            self.record_read();
            let mut read_ahead = self.0.read_ahead.borrow_mut();
            read_ahead.extend_from_slice(&read[..length]);
        }
        if let Some(reader_waker) = self.0.reader_waker.take() {
            reader_waker.wake();
        }
        Ok(length)
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

    /// Shuts the write half down, then reads and discards for a limited time. Closing a socket with unread bytes sends
    /// a reset, which may reach the client before the last response.
    pub async fn drain(&self) {
        let _ = socket2::SockRef::from(&self.0.socket).shutdown(Shutdown::Write);
        let rest = async {
            let mut read = 0;
            while read < MAX_DRAIN_BYTES && self.readable().await.is_ok() {
                match self.discard() {
                    Ok(0) => break,
                    Ok(more) => read += more,
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(_) => break,
                }
            }
        };
        let _ = timeout(MAX_DRAIN_TIME, rest).await;
    }

    /// Reads and discards bytes once. The buffer is on the stack, not in the future of every connection.
    fn discard(&self) -> io::Result<usize> {
        let mut sink = [0; DRAIN_STEP_BYTES];
        self.try_read(&mut sink)
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut read_ahead = self.0.read_ahead.borrow_mut();
        if !read_ahead.is_empty() {
            let length = read_ahead.len().min(buf.remaining()).min(MAX_READ_BYTES);
            buf.put_slice(&read_ahead[..length]);
            read_ahead.advance(length);
            if read_ahead.is_empty() {
                // Releases the buffer: few connections read ahead again.
                *read_ahead = BytesMut::new();
            }
            self.record_passed_on(length);
            return Poll::Ready(Ok(()));
        }
        self.0.reader_waker.set(Some(cx.waker().clone()));
        loop {
            ready!(self.poll_readable(cx))?;
            let length = buf.remaining().min(MAX_READ_BYTES);
            match self.try_read(buf.initialize_unfilled_to(length)) {
                Ok(read) => {
                    buf.advance(read);
                    if read > 0 {
                        self.record_read();
                        self.record_passed_on(read);
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
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
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
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
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
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
