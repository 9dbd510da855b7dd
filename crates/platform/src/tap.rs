//! A client's stream that tells when a hit began, and that can be drained once HTTP is done with it.

use std::cell::Cell;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// What is read and thrown away of a connection that closes, at most, and for how long.
const DRAIN_BYTES: usize = 1 << 20;
const DRAIN_TIME: Duration = Duration::from_millis(500);

#[derive(Clone)]
pub struct Tap {
    stream: Rc<TcpStream>,
    /// When the first byte came that no hit was read from yet.
    first: Rc<Cell<Option<Instant>>>,
}

impl Tap {
    pub fn new(stream: TcpStream) -> Tap {
        Tap { stream: Rc::new(stream), first: Rc::default() }
    }

    pub fn began(&self) -> Option<Instant> {
        self.first.get()
    }

    /// When the hit that was just read began; what comes from here on is the next one.
    pub fn take_began(&self) -> Option<Instant> {
        self.first.take()
    }

    /// Reads on for a while after the last answer: a close with unread bytes becomes a reset, which may
    /// overtake that answer.
    pub async fn drain(&self) {
        let _ = socket2::SockRef::from(&*self.stream).shutdown(Shutdown::Write);
        let rest = async {
            let (mut sink, mut read) = ([0u8; 4096], 0);
            while read < DRAIN_BYTES && self.stream.readable().await.is_ok() {
                match self.stream.try_read(&mut sink) {
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

impl AsyncRead for Tap {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf.initialize_unfilled()) {
                Ok(read) => {
                    buf.advance(read);
                    if read > 0 && self.first.get().is_none() {
                        self.first.set(Some(Instant::now()));
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for Tap {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write(buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                done => return Poll::Ready(done),
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write_vectored(bufs) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                done => return Poll::Ready(done),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}
