//! One connection to the control plane: calls, their replies in the same order, and notifications in between.

use super::messages::{self, Call, Fault, Message, Reply, ReplyError};
use super::vote_reply::report_reply;
use crate::fields::FieldError;
use crate::limits::{
    CONTROL_PLANE_SILENCE_LIMIT, CONTROL_PLANE_WRITE_TIMEOUT, MAX_CONTROL_PLANE_LINE_BYTES,
};
use crate::reconnect::Liveness;
use crate::shell::Shell;
use crate::vote_queue::{session_queue, QueuedVote};
use futures_util::StreamExt;
use havenplank::interface::{Stage, VoteReceipt};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, timeout, Instant};
use tokio_util::codec::{FramedRead, LinesCodec, LinesCodecError};

/// Why a session ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum SessionError {
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    #[error("cannot connect within {} ms", CONTROL_PLANE_WRITE_TIMEOUT.as_millis())]
    ConnectTimedOut,
    #[error("cannot write the subscription to notifications: {0}")]
    Follow(#[source] io::Error),
    #[error("cannot write the subscription to notifications within {} ms", CONTROL_PLANE_WRITE_TIMEOUT.as_millis())]
    FollowTimedOut,
    #[error("nothing received for {} ms", CONTROL_PLANE_SILENCE_LIMIT.as_millis())]
    Silent,
    #[error("cannot read a line: {0}")]
    Line(#[from] LinesCodecError),
    #[error(transparent)]
    Fields(#[from] FieldError),
    #[error(transparent)]
    Reply(#[from] ReplyError),
    #[error("vote {vote} could not be written")]
    VoteNotWritten { vote: u64 },
    #[error("closed by the control plane")]
    Closed,
}

/// One session with the control plane.
struct Session {
    shell: Rc<Shell>,
    /// Calls written and not answered yet, oldest first. Bounded by the votes that the engine has in flight and the
    /// subscription.
    pending: VecDeque<Call>,
}

impl Drop for Session {
    /// Reports the unanswered votes as unknown: the control plane may have counted them.
    fn drop(&mut self) {
        for call in std::mem::take(&mut self.pending) {
            if let Call::Vote(vote) = call {
                report_reply(&self.shell, vote, VoteReceipt::Unknown, None);
            }
        }
    }
}

/// Runs one session and returns why it ended.
pub(super) async fn run(shell: Rc<Shell>, address: SocketAddr, liveness: Liveness) -> SessionError {
    let (queue, mut queued_votes) = session_queue();
    let mut session = Session {
        shell: shell.clone(),
        pending: VecDeque::new(),
    };
    let on_first_line = || {
        // Not before the first line: a service that accepts connections and sends nothing must get no votes.
        shell.votes.attach(queue.clone());
        liveness.confirm();
    };
    let ended = session
        .exchange(address, on_first_line, &mut queued_votes)
        .await;
    shell.votes.detach(&queue);
    reject_unwritten(&shell, &mut queued_votes);
    ended.err().unwrap_or(SessionError::Closed)
}

fn reject_unwritten(shell: &Rc<Shell>, queued_votes: &mut mpsc::Receiver<QueuedVote>) {
    queued_votes.close();
    while let Ok(queued_vote) = queued_votes.try_recv() {
        report_reply(shell, queued_vote.vote, VoteReceipt::Rejected, None);
    }
}

async fn connect(address: SocketAddr) -> Result<TcpStream, SessionError> {
    let connecting = TcpStream::connect(address);
    let stream = timeout(CONTROL_PLANE_WRITE_TIMEOUT, connecting)
        .await
        .map_err(|_| SessionError::ConnectTimedOut)?
        .map_err(SessionError::Connect)?;
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

impl Session {
    /// Runs until the control plane closes the connection, falls silent or sends a malformed line.
    async fn exchange(
        &mut self,
        address: SocketAddr,
        on_first_line: impl Fn(),
        queued_votes: &mut mpsc::Receiver<QueuedVote>,
    ) -> Result<(), SessionError> {
        let mut stream = connect(address).await?;
        let (reader, mut writer) = stream.split();
        let codec = LinesCodec::new_with_max_length(MAX_CONTROL_PLANE_LINE_BYTES);
        let mut lines: FramedRead<ReadHalf, LinesCodec> = FramedRead::new(reader, codec);
        self.write_follow(&mut writer).await?;
        let mut received_line = false;
        let mut last_line = Instant::now();
        loop {
            tokio::select! {
                // Counts from the last line received, not from votes written: the sidecar sends a vote each second
                // even to a silent service.
                () = sleep_until(last_line + CONTROL_PLANE_SILENCE_LIMIT) => return Err(SessionError::Silent),
                line = lines.next() => {
                    let Some(line) = line else { return Ok(()) };
                    let line = line?;
                    last_line = Instant::now();
                    self.handle_line(&line)?;
                    if !received_line {
                        received_line = true;
                        on_first_line();
                    }
                }
                Some(queued_vote) = queued_votes.recv() => self.write_vote(&mut writer, queued_vote).await?,
            }
        }
    }

    async fn write_follow(&mut self, writer: &mut WriteHalf<'_>) -> Result<(), SessionError> {
        let line = messages::follow_line();
        let writing = writer.write_all(line.as_bytes());
        timeout(CONTROL_PLANE_WRITE_TIMEOUT, writing)
            .await
            .map_err(|_| SessionError::FollowTimedOut)?
            .map_err(SessionError::Follow)?;
        self.pending.push_back(Call::Follow);
        Ok(())
    }

    async fn write_vote(
        &mut self,
        writer: &mut WriteHalf<'_>,
        queued_vote: QueuedVote,
    ) -> Result<(), SessionError> {
        let vote = queued_vote.vote;
        let writing = writer.write_all(queued_vote.line.as_bytes());
        let written = timeout(CONTROL_PLANE_WRITE_TIMEOUT, writing).await;
        if !matches!(written, Ok(Ok(()))) {
            // The line is incomplete, so the control plane cannot have read the vote.
            report_reply(&self.shell, vote, VoteReceipt::Rejected, None);
            return Err(SessionError::VoteNotWritten { vote });
        }
        self.pending.push_back(Call::Vote(vote));
        Ok(())
    }

    /// Handles one line. A malformed line ends the session.
    fn handle_line(&mut self, line: &str) -> Result<(), SessionError> {
        match messages::decode(line)? {
            Message::Stage(stage) => self.update_stage(stage),
            Message::Fault(fault) => self.report_fault(&fault),
            Message::Reply(reply) => self.handle_reply(&reply)?,
            Message::Other => {}
        }
        Ok(())
    }

    fn update_stage(&self, stage: Stage) {
        let Stage {
            build,
            stage: number,
            phase,
            cap,
            ..
        } = stage;
        tracing::info!(build, stage = number, ?phase, cap, "stage");
        self.shell
            .call(|engine, now| engine.update_stage(now, stage));
    }

    fn report_fault(&self, fault: &Fault) {
        let Fault {
            pod,
            route_class,
            ago,
        } = fault;
        if !self.shell.report_fault(pod, route_class, *ago) {
            tracing::info!(
                pod,
                route_class,
                "fault of an unknown pod or route class ignored"
            );
        }
    }

    fn handle_reply(&mut self, reply: &Reply) -> Result<(), ReplyError> {
        match reply.check_answers(self.pending.front().copied())? {
            Call::Follow => {
                reply.read_follow()?;
                self.pending.pop_front();
            }
            Call::Vote(vote) => {
                let vote_reply = reply.read_vote()?;
                self.pending.pop_front();
                tracing::info!(vote, receipt = ?vote_reply.receipt, "vote answered");
                report_reply(&self.shell, vote, vote_reply.receipt, vote_reply.stage);
            }
        }
        Ok(())
    }
}
