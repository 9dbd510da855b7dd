//! A client's stream that knows when a request began, when its answer was written and when the client closed, and that
//! can be drained once HTTP is done with it.

use bytes::{Buf, BytesMut};
use hyper::body::{Body, Frame, SizeHint};
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// What is read and thrown away of a connection that closes, at most, and for how long.
const DRAIN_BYTES: usize = 1 << 20;
const DRAIN_TIME: Duration = Duration::from_millis(500);
/// What is read ahead of a client while its request is served, to see it close behind that. One that sends more is none
/// of the protocol, which has one request at a time; its close is not looked for.
const AHEAD_BYTES: usize = 16 << 10;

struct Stream {
    socket: TcpStream,
    /// When the first byte came that no request was read from yet.
    first_unread: Cell<Option<Instant>>,
    /// Read ahead of HTTP, which gets it first; whom to wake then.
    read_ahead: RefCell<BytesMut>,
    reader: Cell<Option<Waker>>,
    /// HTTP has taken the whole of an answer, and wrote all that it had.
    response_taken: Cell<bool>,
    response_written: Cell<Option<Instant>>,
    /// Since when the client takes no more of what is to be written.
    write_blocked: Cell<Option<Instant>>,
}

/// A client's stream; its clones are the same stream.
#[derive(Clone)]
pub struct ClientStream(Rc<Stream>);

impl ClientStream {
    /// Wraps a socket.
    pub fn new(socket: TcpStream) -> ClientStream {
        let (first_unread, reader, response_written, write_blocked) = Default::default();
        let (read_ahead, response_taken) = (RefCell::default(), Cell::new(false));
        ClientStream(Rc::new(Stream {
            socket,
            first_unread,
            read_ahead,
            reader,
            response_taken,
            response_written,
            write_blocked,
        }))
    }

    /// Returns when the first byte came that no request was read from yet.
    pub fn request_began(&self) -> Option<Instant> {
        self.0.first_unread.get()
    }

    /// Takes when the request that was just read began; what comes from here on is the next one.
    pub fn take_request_began(&self) -> Option<Instant> {
        self.0.first_unread.take()
    }

    /// Takes when the last byte of an answer was written, if one was since this was asked.
    pub fn take_response_written(&self) -> Option<Instant> {
        self.0.response_written.take()
    }

    /// Returns since when the client reads nothing of an answer that is there to be written.
    pub fn write_blocked_since(&self) -> Option<Instant> {
        self.0.write_blocked.get()
    }

    /// Wraps an answer's body, which notes when HTTP has taken all of it.
    pub fn track_body<B>(&self, body: B) -> TrackedBody<B> {
        TrackedBody {
            body,
            stream: self.clone(),
        }
    }

    fn peek(&self) -> io::Result<usize> {
        let mut byte = [MaybeUninit::uninit()];
        socket2::SockRef::from(&self.0.socket).peek(&mut byte)
    }

    /// Returns whether bytes of the client lie here that HTTP has not read. Asks the socket itself, as the runtime learns of
    /// bytes only when it polls.
    pub fn has_unread(&self) -> bool {
        !self.0.read_ahead.borrow().is_empty() || self.peek().is_ok_and(|bytes| bytes > 0)
    }

    /// Returns whether the client has closed, as far as no unread bytes lie in front of that.
    pub fn is_closed(&self) -> bool {
        match self.peek() {
            Ok(bytes) => bytes == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Ends once the client has closed, also behind bytes that HTTP does not read while a request is served.
    pub async fn closed(&self) {
        let mut read = [0; 512];
        loop {
            if self.0.socket.readable().await.is_err() {
                return;
            }
            if self.0.read_ahead.borrow().len() >= AHEAD_BYTES {
                return pending().await;
            }
            match self.0.socket.try_read(&mut read) {
                Ok(0) => return,
                Ok(more) => {
                    self.note_read();
                    self.0
                        .read_ahead
                        .borrow_mut()
                        .extend_from_slice(&read[..more]);
                    if let Some(reader) = self.0.reader.take() {
                        reader.wake();
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    fn write_waits(&self) -> Poll<io::Result<usize>> {
        self.0
            .write_blocked
            .set(self.0.write_blocked.get().or_else(|| Some(Instant::now())));
        Poll::Pending
    }

    fn write_done(&self, done: io::Result<usize>) -> Poll<io::Result<usize>> {
        self.0.write_blocked.set(None);
        Poll::Ready(done)
    }

    fn note_read(&self) {
        if self.0.first_unread.get().is_none() {
            self.0.first_unread.set(Some(Instant::now()));
        }
    }

    /// Shuts the write half, then reads on for a while: a close with unread bytes becomes a reset, which may overtake
    /// the last answer.
    pub async fn drain(&self) {
        let _ = socket2::SockRef::from(&self.0.socket).shutdown(Shutdown::Write);
        let rest = async {
            let (mut sink, mut read) = ([0u8; 4096], 0);
            while read < DRAIN_BYTES && self.0.socket.readable().await.is_ok() {
                match self.0.socket.try_read(&mut sink) {
                    Ok(0) => break,
                    Ok(more) => read += more,
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(_) => break,
                }
            }
        };
        let _ = timeout(DRAIN_TIME, rest).await;
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
            let part = read_ahead.len().min(buf.remaining());
            buf.put_slice(&read_ahead[..part]);
            read_ahead.advance(part);
            return Poll::Ready(Ok(()));
        }
        self.0.reader.set(Some(cx.waker().clone()));
        loop {
            ready!(self.0.socket.poll_read_ready(cx))?;
            match self.0.socket.try_read(buf.initialize_unfilled()) {
                Ok(read) => {
                    buf.advance(read);
                    if read > 0 {
                        self.note_read();
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
                return self.write_waits();
            }
            match self.0.socket.try_write(buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                done => return self.write_done(done),
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
                return self.write_waits();
            }
            match self.0.socket.try_write_vectored(bufs) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                done => return self.write_done(done),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// Called only where nothing is left to be written of what HTTP has taken.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.0.response_taken.take() {
            self.0.response_written.set(Some(Instant::now()));
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&self.0.socket).shutdown(Shutdown::Write))
    }
}

/// An answer on its way. HTTP drops it once all of it is taken, before it writes the last of it.
pub struct TrackedBody<B> {
    body: B,
    stream: ClientStream,
}

impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        self.stream.0.response_taken.set(true);
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
