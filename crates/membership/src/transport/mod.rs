//! The sockets of a sidecar: passes datagrams and the time to a [`Node`], and sends the frames that it queues. Messages
//! that are too long for a datagram go over TCP to the same address and port.

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

/// Limit on the datagrams read in one turn, before the other tasks of the thread run.
const MAX_DATAGRAMS_PER_TURN: usize = 64;
/// How long the loop waits if the node has no timer scheduled.
const LONGEST_WAIT: Duration = Duration::from_secs(3_600);

/// Returns an incarnation that grows with each start under a name: the wall clock in milliseconds since 1970.
pub fn new_incarnation() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(1, |since| since.as_millis() as u64)
}

/// A node and its sockets. It runs on one thread, within a `LocalSet` or `LocalRuntime`.
pub struct Transport {
    node: RefCell<Node>,
    socket: UdpSocket,
    listener: TcpListener,
    streams: OutgoingStreams,
    started_at: Instant,
    /// Wakes the loop after a call, because a timer may be due sooner than before.
    rearm: Notify,
    /// Passes messages from the streams that others opened to the loop.
    message_sender: mpsc::Sender<Bytes>,
    /// The receiving end of that channel, until [`Transport::run`] takes it.
    message_receiver: RefCell<Option<mpsc::Receiver<Bytes>>>,
    dropped_sends: Cell<u64>,
}

impl Transport {
    /// Binds the sockets. `make_node` makes the node from the time and the address that the sockets are bound to.
    ///
    /// # Errors
    /// An address that cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        make_node: impl FnOnce(Nanos, SocketAddr) -> Node,
    ) -> io::Result<Rc<Transport>> {
        let pair = PortPair::bind(address).await?;
        let node = make_node(0, pair.local_address()?);
        let (message_sender, message_receiver) = mpsc::channel(MAX_WAITING_MESSAGES);
        Ok(Rc::new(Transport {
            node: RefCell::new(node),
            socket: pair.datagrams,
            listener: pair.streams,
            streams: OutgoingStreams::default(),
            started_at: Instant::now(),
            rearm: Notify::new(),
            message_sender,
            message_receiver: RefCell::new(Some(message_receiver)),
            dropped_sends: Cell::new(0),
        }))
    }

    /// Returns the address that the sockets are bound to.
    ///
    /// # Errors
    /// The error of the operating system for the UDP socket.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Returns the number of datagrams that the socket did not accept because its buffer was full, and of messages that
    /// were dropped because too many were waiting for the same stream.
    pub fn dropped_sends(&self) -> u64 {
        self.dropped_sends.get()
    }

    /// Returns the time since the start on the monotonic clock, in nanoseconds.
    pub fn now(&self) -> Nanos {
        self.started_at.elapsed().as_nanos() as Nanos
    }

    /// Calls the node, then sends the frames that it queued.
    pub fn call<T>(&self, action: impl FnOnce(&mut Node, Nanos) -> T) -> T {
        let result = action(&mut self.node.borrow_mut(), self.now());
        self.flush();
        self.rearm.notify_one();
        result
    }

    /// Runs until the returned future is dropped. Calls `on_event` for each event, after the call of the node that
    /// caused it.
    pub async fn run(self: Rc<Self>, mut on_event: impl FnMut(&Rc<Transport>, NodeEvent)) {
        let Some(mut message_receiver) = self.message_receiver.borrow_mut().take() else {
            return;
        };
        // One byte more than the longest datagram, so that a longer one is rejected rather than truncated to that
        // length.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let accepting = accept_streams(&self.listener, self.message_sender.clone());
        tokio::pin!(accepting);
        loop {
            tokio::select! {
                _ = self.socket.readable() => {}
                () = sleep_until(self.next_wake().into()) => {}
                () = self.rearm.notified() => {}
                () = &mut accepting => {}
                Some(message) = message_receiver.recv() => {
                    let now = self.now();
                    self.node.borrow_mut().receive_stream_message(now, &message);
                }
            }
            // Reads the datagrams in the socket before the timers run: an answer that arrived in time must not count as
            // late.
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
            Some(due) => self.started_at + Duration::from_nanos(due),
            None => Instant::now() + LONGEST_WAIT,
        }
    }

    fn next_event(&self) -> Option<NodeEvent> {
        self.node.borrow_mut().next_event()
    }

    /// Reads a limited number of datagrams, so that a flood does not delay the timers.
    fn read_datagrams(&self, buffer: &mut [u8]) {
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            // Nothing can be read if the socket is empty, nor if the system reports that an earlier datagram had no
            // receiver.
            let Ok((length, _)) = self.socket.try_recv_from(buffer) else {
                return;
            };
            let now = self.now();
            let mut node = self.node.borrow_mut();
            node.receive_datagram(now, &buffer[..length]);
        }
    }

    /// Sends the frames that the node queued. A datagram that the socket does not accept is dropped, as the network
    /// might have lost it.
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
