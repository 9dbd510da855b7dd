//! The one UDP socket of a sidecar: feeds [`Node`] with datagrams and time, and sends what it leaves.

use crate::node::{Happened, Node};
use crate::wire::LONGEST;
use crate::Ns;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::sleep_until;

/// Datagrams read in one turn before others on the thread get theirs.
const TURN: usize = 64;

pub struct Talker {
    node: RefCell<Node>,
    socket: UdpSocket,
    began: Instant,
    rearm: Notify,
}

impl Talker {
    /// `make` gets the address that the socket is bound to.
    ///
    /// # Errors
    /// An address that cannot be bound.
    pub async fn bind(at: SocketAddr, make: impl FnOnce(Ns, SocketAddr) -> Node) -> io::Result<Rc<Talker>> {
        let socket = UdpSocket::bind(at).await?;
        let bound = socket.local_addr()?;
        let (node, rearm) = (RefCell::new(make(0, bound)), Notify::new());
        Ok(Rc::new(Talker { node, socket, began: Instant::now(), rearm }))
    }

    /// # Errors
    /// What the system says of the socket.
    pub fn at(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Nanoseconds since the start, on the monotonic clock.
    pub fn now(&self) -> Ns {
        self.began.elapsed().as_nanos() as Ns
    }

    /// One call into the node, then all that it left to send.
    pub fn call<T>(&self, work: impl FnOnce(&mut Node, Ns) -> T) -> T {
        let done = work(&mut self.node.borrow_mut(), self.now());
        self.flush();
        self.rearm.notify_one();
        done
    }

    /// What a full socket does not take is lost, as the network might have lost it.
    fn flush(&self) {
        loop {
            let Some((at, bytes)) = self.node.borrow_mut().datagram() else { return };
            let _ = self.socket.try_send_to(&bytes, at);
        }
    }

    /// Runs until it is dropped; `on` hears what happens, after the call that brought it.
    pub async fn run(self: Rc<Self>, mut on: impl FnMut(&Rc<Talker>, Happened)) {
        // One byte more than the longest, so that a longer one shows as such.
        let mut bytes = [0; LONGEST + 1];
        loop {
            let due = self.node.borrow().next_wake().map(|at| self.began + Duration::from_nanos(at));
            let due = due.unwrap_or_else(|| Instant::now() + Duration::from_secs(3_600));
            tokio::select! {
                _ = self.socket.readable() => {}
                () = sleep_until(due.into()) => {}
                () = self.rearm.notified() => {}
            }
            // What lies in the socket first: an answer that came in time must not count as late. But only a turn's
            // worth, lest a flood keep the timers from their due.
            self.read(&mut bytes);
            let now = self.now();
            self.node.borrow_mut().wake(now);
            self.flush();
            loop {
                let happened = self.node.borrow_mut().happened();
                let Some(happened) = happened else { break };
                on(&self, happened);
            }
            tokio::task::yield_now().await;
        }
    }

    fn read(&self, bytes: &mut [u8]) {
        for _ in 0..TURN {
            // Where the system tells of an earlier datagram that nobody took, there is nothing to read.
            let Ok((length, _)) = self.socket.try_recv_from(bytes) else { return };
            let now = self.now();
            self.node.borrow_mut().heard(now, &bytes[..length]);
        }
    }
}
