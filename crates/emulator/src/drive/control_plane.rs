//! The emulated control plane: sends the recorded stages, tallies and faults at their times, and counts votes.

use super::replay::Replay;
use super::script::Notification;
use crate::vote_inbox::{PendingVote, VoteInbox};
use futures_util::{SinkExt, StreamExt};
use havenplank::interface::{Nanos, RouteClassId, Tally, VoteReceipt};
use havenplank_line_protocol::codec::{greeting, LineCodec};
use havenplank_line_protocol::control_plane::{
    write_fault, write_stage, write_tally, write_vote_reply, ClassTally, RequestParser, PROTOCOL,
};
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Framed;

/// Longest line that a sidecar may send, in bytes.
const MAX_LINE_BYTES: usize = 1024;

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
        let mut inbox = VoteInbox::default();
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
            for vote in inbox.take() {
                self.count_vote(&mut out, vote);
            }
            if !out.is_empty() && framed.send(out).await.is_err() {
                return;
            }
        }
    }

    /// Writes the stages, tallies and faults that are due.
    fn write_due(&mut self, out: &mut String) {
        while let Some(notification) = self.replay.due_notification(self.next) {
            self.next += 1;
            match notification {
                Notification::Stage(stage) => {
                    self.sequence += 1;
                    write_stage(out, self.sequence, stage);
                }
                Notification::Tally(tally) => self.write_tally(out, tally),
                Notification::Fault {
                    pod,
                    route_class,
                    ago,
                } => self.write_fault(out, pod, *route_class, *ago),
                _ => {}
            }
        }
    }

    fn write_tally(&mut self, out: &mut String, tally: &Tally) {
        let Some(class) = self.replay.class_name(tally.class) else {
            return;
        };
        let tally = ClassTally {
            build: tally.build,
            class: class.to_string(),
            count: tally.count,
            failed: tally.failed,
            mean_latency: tally.mean_latency,
            age: tally.age,
        };
        self.sequence += 1;
        write_tally(out, self.sequence, &tally);
    }

    fn write_fault(&mut self, out: &mut String, pod: &str, class: RouteClassId, ago: Nanos) {
        let Some(class) = self.replay.class_name(class) else {
            return;
        };
        self.sequence += 1;
        write_fault(out, self.sequence, pod, class, ago);
    }

    /// Counts a vote and confirms it. Votes have no effect on the stages, which change as recorded.
    fn count_vote(&mut self, out: &mut String, vote: PendingVote) {
        let mut counts = self.replay.counts.borrow_mut();
        counts.driven.count_vote(vote.build, vote.stage, vote.vote);
        self.sequence += 1;
        write_vote_reply(out, self.sequence, vote.call, VoteReceipt::Counted, None);
    }
}

impl Replay {
    fn class_name(&self, class: RouteClassId) -> Option<&str> {
        let classes = &self.script.source.settings.route_classes;
        classes.get(class).map(|(name, _)| name.as_str())
    }
}
