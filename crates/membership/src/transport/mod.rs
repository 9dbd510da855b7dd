//! The sockets of a sidecar: feeds a [`Node`] with datagrams and time, and sends what it leaves. What is too long for a
//! datagram goes over TCP to the same address and port.

mod event_log;
mod streams;

pub use event_log::log_event;

use crate::frame::MAX_DATAGRAM_BYTES;
use crate::node::{Node, NodeEvent};
use crate::port_pair::PortPair;
use crate::Nanos;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use streams::{accept_streams, OutgoingStreams, MAX_WAITING_MESSAGES};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, Notify};
use tokio::time::sleep_until;

/// Datagrams read in one turn before other tasks of the thread get theirs.
const MAX_DATAGRAMS_PER_TURN: usize = 64;
/// How long the loop waits where the node has nothing due.
const LONGEST_WAIT: Duration = Duration::from_secs(3_600);

/// Returns a number that grows with each start under a name: the wall clock in milliseconds since 1970.
pub fn new_incarnation() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(1, |since| since.as_millis() as u64)
}

/// A node and its sockets. It lives on one thread, within a `LocalSet` or `LocalRuntime`.
pub struct Transport {
    node: RefCell<Node>,
    socket: UdpSocket,
    listener: TcpListener,
    streams: OutgoingStreams,
    began: Instant,
    /// Wakes the loop after a call, as something may be due sooner.
    rearm: Notify,
    /// From the streams that others opened to the loop.
    received: mpsc::Sender<Bytes>,
    /// The other end, until the loop takes it.
    receiver: RefCell<Option<mpsc::Receiver<Bytes>>>,
    dropped_sends: Cell<u64>,
}

impl Transport {
    /// Binds the sockets. `make` makes the node; it gets the time and the address that the sockets are bound to.
    ///
    /// # Errors
    /// An address that cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        make: impl FnOnce(Nanos, SocketAddr) -> Node,
    ) -> io::Result<Rc<Transport>> {
        let pair = PortPair::bind(address).await?;
        let node = make(0, pair.local_address()?);
        let (received, receiver) = mpsc::channel(MAX_WAITING_MESSAGES);
        Ok(Rc::new(Transport {
            node: RefCell::new(node),
            socket: pair.datagrams,
            listener: pair.streams,
            streams: OutgoingStreams::default(),
            began: Instant::now(),
            rearm: Notify::new(),
            received,
            receiver: RefCell::new(Some(receiver)),
            dropped_sends: Cell::new(0),
        }))
    }

    /// Returns the address that the sockets are bound to.
    ///
    /// # Errors
    /// What the system says of the socket.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Returns the number of datagrams that a full socket did not take, and of messages that too many waited before for
    /// one stream.
    pub fn dropped_sends(&self) -> u64 {
        self.dropped_sends.get()
    }

    /// Returns the nanoseconds since the start, on the monotonic clock.
    pub fn now(&self) -> Nanos {
        self.began.elapsed().as_nanos() as Nanos
    }

    /// Makes one call into the node, then sends all that it left.
    pub fn call<T>(&self, work: impl FnOnce(&mut Node, Nanos) -> T) -> T {
        let done = work(&mut self.node.borrow_mut(), self.now());
        self.flush();
        self.rearm.notify_one();
        done
    }

    /// Runs until it is dropped. `on_event` gets what happens, after the call that brought it.
    pub async fn run(self: Rc<Self>, mut on_event: impl FnMut(&Rc<Transport>, NodeEvent)) {
        let Some(mut receiver) = self.receiver.borrow_mut().take() else {
            return;
        };
        // One byte more than the longest, so that a longer one shows as such.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let accepting = accept_streams(&self.listener, self.received.clone());
        tokio::pin!(accepting);
        loop {
            tokio::select! {
                _ = self.socket.readable() => {}
                () = sleep_until(self.next_wake().into()) => {}
                () = self.rearm.notified() => {}
                () = &mut accepting => {}
                Some(message) = receiver.recv() => {
                    let now = self.now();
                    self.node.borrow_mut().receive_stream_message(now, &message);
                }
            }
            // What lies in the socket first: an answer that came in time must not count as late.
            self.read_datagrams(&mut buffer);
            let now = self.now();
            self.node.borrow_mut().wake(now);
            self.flush();
            while let Some(event) = self.next_event() {
                on_event(&self, event);
            }
            tokio::task::yield_now().await;
        }
    }

    fn next_wake(&self) -> Instant {
        let due = self.node.borrow().next_wake();
        match due {
            Some(due) => self.began + Duration::from_nanos(due),
            None => Instant::now() + LONGEST_WAIT,
        }
    }

    fn next_event(&self) -> Option<NodeEvent> {
        self.node.borrow_mut().next_event()
    }

    /// Reads a turn's worth of datagrams, lest a flood keep the timers from their due.
    fn read_datagrams(&self, buffer: &mut [u8]) {
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            // Where the system tells of an earlier datagram that nobody took, there is nothing to read.
            let Ok((length, _)) = self.socket.try_recv_from(buffer) else {
                return;
            };
            let now = self.now();
            let mut node = self.node.borrow_mut();
            node.receive_datagram(now, &buffer[..length]);
        }
    }

    /// Sends what the node left. What a full socket does not take is dropped, as the network might have lost it.
    fn flush(&self) {
        while let Some((address, datagram)) = self.next_datagram() {
            if self.socket.try_send_to(&datagram, address).is_err() {
                self.count_dropped_send();
            }
        }
        while let Some((address, message)) = self.next_stream_message() {
            if !self.streams.send(address, message.into()) {
                self.count_dropped_send();
            }
        }
    }

    fn next_datagram(&self) -> Option<(SocketAddr, Vec<u8>)> {
        self.node.borrow_mut().next_datagram()
    }

    fn next_stream_message(&self) -> Option<(SocketAddr, Vec<u8>)> {
        self.node.borrow_mut().next_stream_message()
    }

    fn count_dropped_send(&self) {
        self.dropped_sends.set(self.dropped_sends.get() + 1);
    }
}
