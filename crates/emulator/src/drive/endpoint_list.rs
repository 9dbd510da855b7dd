//! The emulated discovery service: sends the recorded endpoint lists at their times.

use super::replay::{PodKey, Replay};
use super::script::Notification;
use futures_util::{SinkExt, StreamExt};
use havenplank::interface::PodState;
use havenplank_line_protocol::codec::{greeting, LineCodec};
use havenplank_line_protocol::endpoint_list::{
    write_list, write_poll_failure, ListedEndpoint, RequestParser, Service, PROTOCOL,
};
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Framed;

/// Longest line that a sidecar may send, in bytes.
const MAX_LINE_BYTES: usize = 1024;

/// Whether a sidecar has polled since the last answer.
#[derive(Default)]
struct PollInbox {
    polled: bool,
}

impl Service for PollInbox {
    fn greeted(&mut self, _name: String) {
        self.polled = true;
    }

    fn poll(&mut self) {
        self.polled = true;
    }

    fn watch(&mut self, on: bool) {
        self.polled |= on;
    }
}

/// Serves one connection after the other until dropped.
pub(super) async fn serve(replay: Rc<Replay>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let connection = Connection {
            replay: &replay,
            sequence: 0,
            next: 0,
        };
        connection.run(stream).await;
    }
}

/// One sidecar's connection.
struct Connection<'a> {
    replay: &'a Replay,
    /// Sequence number of the last message.
    sequence: u64,
    /// Index of the next notification of the script.
    next: usize,
}

impl Connection<'_> {
    async fn run(mut self, stream: TcpStream) {
        let codec = LineCodec::new(RequestParser::default(), MAX_LINE_BYTES);
        let mut framed = Framed::new(stream, codec);
        if framed.send(greeting(PROTOCOL, None)).await.is_err() {
            return;
        }
        let mut inbox = PollInbox::default();
        loop {
            tokio::select! {
                received = framed.next() => match received {
                    Some(Ok(call)) => call(&mut inbox),
                    _ => return,
                },
                () = self.replay.until_notification(self.next) => {}
            }
            let mut out = String::new();
            self.write_due(&mut out);
            if std::mem::take(&mut inbox.polled) && out.is_empty() {
                self.write_known(&mut out);
            }
            if !out.is_empty() && framed.send(out).await.is_err() {
                return;
            }
        }
    }

    /// Writes the lists and failures that are due.
    fn write_due(&mut self, out: &mut String) {
        while let Some(notification) = self.replay.due_notification(self.next) {
            self.next += 1;
            match notification {
                Notification::Endpoints { complete, pods } => {
                    let pods = self.replay.with_addresses(pods);
                    self.replay.remember_endpoints(*complete, &pods);
                    self.sequence += 1;
                    write_list(out, self.sequence, *complete, &pods);
                }
                Notification::PollFailed => {
                    self.sequence += 1;
                    write_poll_failure(out, self.sequence, "as recorded");
                }
                _ => {}
            }
        }
    }

    /// Answers a poll with the last list sent, if there is one.
    fn write_known(&mut self, out: &mut String) {
        let endpoints = self.replay.endpoints.borrow();
        if endpoints.is_empty() {
            return;
        }
        self.sequence += 1;
        let pods: Vec<ListedEndpoint> = endpoints.values().cloned().collect();
        write_list(out, self.sequence, true, &pods);
    }
}

impl Replay {
    /// Replaces the addresses of a list by those of the emulated pods.
    fn with_addresses(&self, pods: &[ListedEndpoint]) -> Vec<ListedEndpoint> {
        let addresses = self.pods.borrow();
        let with_address = |pod: &ListedEndpoint| {
            let known = addresses.get(&PodKey::of(pod));
            ListedEndpoint {
                address: known.copied().unwrap_or(pod.address),
                ..pod.clone()
            }
        };
        pods.iter().map(with_address).collect()
    }

    fn remember_endpoints(&self, complete: bool, pods: &[ListedEndpoint]) {
        let mut endpoints = self.endpoints.borrow_mut();
        if complete {
            endpoints.clear();
        }
        for pod in pods {
            endpoints.insert(pod.name.clone(), pod.clone());
        }
        endpoints.retain(|_, pod| pod.state != PodState::Gone);
    }
}
