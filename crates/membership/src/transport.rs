//! The sockets of a sidecar: feeds [`Node`] with datagrams and time, and sends what it leaves. What is too long for a
//! datagram goes over TCP to the same address and port, a frame a letter.

use crate::frame::{MAX_DATAGRAM_BYTES, MAX_STREAM_BYTES};
use crate::member::MemberId;
use crate::node::{Node, NodeEvent};
use crate::port_pair::PortPair;
use crate::swim::MemberEvent;
use crate::Nanos;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, Notify, Semaphore};
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, sleep_until, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Datagrams read in one turn before others on the thread get theirs.
const TURN: usize = 64;
/// Streams from others held at once; a further one waits to be accepted.
const STREAMS: usize = 256;
/// Letters that wait for one stream; a further one is lost, as a datagram might have been.
const LETTERS: usize = 64;
const CONNECT: Duration = Duration::from_millis(500);
/// A stream that carried nothing for so long is closed by whoever opened it, later by whoever took it.
const IDLE: Duration = Duration::from_secs(20);

pub struct Transport {
    node: RefCell<Node>,
    socket: UdpSocket,
    listener: TcpListener,
    /// By address, streams that we opened; a row leaves with its stream, so that there are as many as fellows.
    streams: RefCell<HashMap<SocketAddr, mpsc::Sender<Bytes>>>,
    began: Instant,
    rearm: Notify,
    /// From the streams that others opened to the loop.
    heard: mpsc::Sender<Bytes>,
    hears: RefCell<Option<mpsc::Receiver<Bytes>>>,
    /// Datagrams that a full socket did not take, and letters beyond [`LETTERS`] for one stream.
    lost: Cell<u64>,
}

/// A number that grows with each start under a name.
pub fn new_incarnation() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(1, |since| since.as_millis() as u64)
}

/// Logs who came and went.
pub fn log_event(event: MemberEvent) {
    let (what, MemberId { name, incarnation }) = match event {
        MemberEvent::Joined(id) => ("fellow joined", id),
        MemberEvent::Suspected(id) => ("fellow suspected", id),
        MemberEvent::Refuted(id) => ("fellow cleared", id),
        MemberEvent::Lost(id) => ("fellow lost", id),
        MemberEvent::Left(id) => ("fellow left us", id),
        MemberEvent::IncarnationRaised(id) => ("own life was behind and is newer now", id),
    };
    tracing::info!(fellow = name, life = incarnation, "{what}");
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_STREAM_BYTES)
        .new_codec()
}

impl Transport {
    /// `make` gets the address that the socket is bound to.
    ///
    /// # Errors
    /// An address that cannot be bound.
    pub async fn bind(
        at: SocketAddr,
        make: impl FnOnce(Nanos, SocketAddr) -> Node,
    ) -> io::Result<Rc<Transport>> {
        let PortPair {
            datagrams: socket,
            streams: listener,
        } = PortPair::bind(at).await?;
        let bound = socket.local_addr()?;
        let (node, rearm, streams) = (
            RefCell::new(make(0, bound)),
            Notify::new(),
            RefCell::default(),
        );
        let (heard, hears) = mpsc::channel(LETTERS);
        let (began, hears) = (Instant::now(), RefCell::new(Some(hears)));
        let lost = Cell::new(0);
        Ok(Rc::new(Transport {
            node,
            socket,
            listener,
            streams,
            began,
            rearm,
            heard,
            hears,
            lost,
        }))
    }

    /// # Errors
    /// What the system says of the socket.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// What could not be put on its way, datagrams and letters, as a socket or a stream was full.
    pub fn dropped_sends(&self) -> u64 {
        self.lost.get()
    }

    /// Nanoseconds since the start, on the monotonic clock.
    pub fn now(&self) -> Nanos {
        self.began.elapsed().as_nanos() as Nanos
    }

    /// One call into the node, then all that it left to send.
    pub fn call<T>(self: &Rc<Self>, work: impl FnOnce(&mut Node, Nanos) -> T) -> T {
        let done = work(&mut self.node.borrow_mut(), self.now());
        self.flush();
        self.rearm.notify_one();
        done
    }

    /// What a full socket does not take is lost, as the network might have lost it.
    fn flush(self: &Rc<Self>) {
        loop {
            let Some((at, bytes)) = self.node.borrow_mut().next_datagram() else {
                break;
            };
            if self.socket.try_send_to(&bytes, at).is_err() {
                self.lost.set(self.lost.get() + 1);
            }
        }
        loop {
            let Some((at, bytes)) = self.node.borrow_mut().next_stream_message() else {
                break;
            };
            let mut streams = self.streams.borrow_mut();
            let envelopes = streams.entry(at).or_insert_with(|| {
                let (envelopes, waiting) = mpsc::channel(LETTERS);
                spawn_local(self.clone().carry(at, waiting));
                envelopes
            });
            if envelopes.try_send(bytes.into()).is_err() {
                self.lost.set(self.lost.get() + 1);
            }
        }
    }

    /// Carries letters to one address until nothing more comes or the stream breaks.
    async fn carry(self: Rc<Self>, at: SocketAddr, mut waiting: mpsc::Receiver<Bytes>) {
        if let Ok(Ok(stream)) = timeout(CONNECT, TcpStream::connect(at)).await {
            let _ = stream.set_nodelay(true);
            let mut frames = Framed::new(stream, codec());
            while let Ok(Some(envelope)) = timeout(IDLE, waiting.recv()).await {
                if !matches!(timeout(CONNECT, frames.send(envelope)).await, Ok(Ok(()))) {
                    break;
                }
            }
        }
        self.streams.borrow_mut().remove(&at);
    }

    /// Reads the letters of those who opened a stream to us.
    async fn listen(&self) {
        let places = Rc::new(Semaphore::new(STREAMS));
        let mut open = JoinSet::new();
        loop {
            let Ok(place) = places.acquire().await else {
                return;
            };
            tokio::select! {
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        place.forget();
                        let (places, heard) = (places.clone(), self.heard.clone());
                        open.spawn_local(async move {
                            let mut frames = Framed::new(stream, codec());
                            while let Ok(Some(Ok(envelope))) = timeout(2 * IDLE, frames.next()).await {
                                if heard.send(envelope.freeze()).await.is_err() {
                                    break;
                                }
                            }
                            places.add_permits(1);
                        });
                    }
                    // No descriptors left, most likely.
                    Err(_) => sleep(Duration::from_millis(50)).await,
                },
                Some(_) = open.join_next() => {}
            }
        }
    }

    /// Runs until it is dropped; `on` hears what happens, after the call that brought it.
    pub async fn run(self: Rc<Self>, mut on: impl FnMut(&Rc<Transport>, NodeEvent)) {
        // One byte more than the longest, so that a longer one shows as such.
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        let Some(mut hears) = self.hears.borrow_mut().take() else {
            return;
        };
        let listening = self.listen();
        tokio::pin!(listening);
        loop {
            let due = self
                .node
                .borrow()
                .next_wake()
                .map(|at| self.began + Duration::from_nanos(at));
            let due = due.unwrap_or_else(|| Instant::now() + Duration::from_secs(3_600));
            tokio::select! {
                _ = self.socket.readable() => {}
                () = sleep_until(due.into()) => {}
                () = self.rearm.notified() => {}
                () = &mut listening => {}
                Some(envelope) = hears.recv() => {
                    let now = self.now();
                    self.node.borrow_mut().receive_stream_message(now, &envelope);
                }
            }
            // What lies in the socket first: an answer that came in time must not count as late. But only a turn's
            // worth, lest a flood keep the timers from their due.
            self.read(&mut bytes);
            let now = self.now();
            self.node.borrow_mut().wake(now);
            self.flush();
            loop {
                let happened = self.node.borrow_mut().next_event();
                let Some(happened) = happened else { break };
                on(&self, happened);
            }
            tokio::task::yield_now().await;
        }
    }

    fn read(&self, bytes: &mut [u8]) {
        for _ in 0..TURN {
            // Where the system tells of an earlier datagram that nobody took, there is nothing to read.
            let Ok((length, _)) = self.socket.try_recv_from(bytes) else {
                return;
            };
            let now = self.now();
            self.node
                .borrow_mut()
                .receive_datagram(now, &bytes[..length]);
        }
    }
}
