//! One connection to the control plane: calls written, their replies in order, and notifications between them.

use super::messages::{self, Call, Fault, Message, Reply, ReplyError};
use super::vote_reply::report_reply;
use crate::fields::FieldError;
use crate::limits::{
    CONTROL_PLANE_SILENCE, CONTROL_PLANE_WRITE_TIMEOUT, MAX_CONTROL_PLANE_LINE_BYTES,
};
use crate::reconnect::Liveness;
use crate::shell::Shell;
use crate::vote_queue::{session_queue, Ballot};
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
    #[error("cannot ask for notifications: {0}")]
    Follow(#[source] io::Error),
    #[error("cannot ask for notifications within {} ms", CONTROL_PLANE_WRITE_TIMEOUT.as_millis())]
    FollowTimedOut,
    #[error("no line for {} ms", CONTROL_PLANE_SILENCE.as_millis())]
    Silent,
    #[error("a line cannot be read: {0}")]
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

/// Calls written on a connection and not answered, in order.
struct Session {
    shell: Rc<Shell>,
    /// Bounded by the votes that the router has out and the call that asks for notifications.
    pending: VecDeque<Call>,
}

impl Drop for Session {
    /// Calls written whole and never answered may count.
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
    let (queue, mut ballots) = session_queue();
    let mut session = Session {
        shell: shell.clone(),
        pending: VecDeque::new(),
    };
    let on_first_line = || {
        // Only now: a service that takes connections and says nothing gets no votes.
        shell.votes.attach(queue.clone());
        liveness.confirm();
    };
    let ended = session.exchange(address, on_first_line, &mut ballots).await;
    shell.votes.detach(&queue);
    reject_unwritten(&shell, &mut ballots);
    ended.err().unwrap_or(SessionError::Closed)
}

fn reject_unwritten(shell: &Rc<Shell>, ballots: &mut mpsc::Receiver<Ballot>) {
    ballots.close();
    while let Ok(ballot) = ballots.try_recv() {
        report_reply(shell, ballot.vote, VoteReceipt::Rejected, None);
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
    /// Runs until the control plane closes, falls silent or cannot be read.
    async fn exchange(
        &mut self,
        address: SocketAddr,
        on_first_line: impl Fn(),
        ballots: &mut mpsc::Receiver<Ballot>,
    ) -> Result<(), SessionError> {
        let mut stream = connect(address).await?;
        let (reader, mut writer) = stream.split();
        let codec = LinesCodec::new_with_max_length(MAX_CONTROL_PLANE_LINE_BYTES);
        let mut lines: FramedRead<ReadHalf, LinesCodec> = FramedRead::new(reader, codec);
        self.write_follow(&mut writer).await?;
        let mut spoke = false;
        let mut last_line = Instant::now();
        loop {
            tokio::select! {
                // From the last line on, whatever votes go out meanwhile: a silent service gets one each second.
                () = sleep_until(last_line + CONTROL_PLANE_SILENCE) => return Err(SessionError::Silent),
                line = lines.next() => {
                    let Some(line) = line else { return Ok(()) };
                    let line = line?;
                    last_line = Instant::now();
                    self.handle_line(&line)?;
                    if !spoke {
                        spoke = true;
                        on_first_line();
                    }
                }
                Some(ballot) = ballots.recv() => self.write_vote(&mut writer, ballot).await?,
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
        ballot: Ballot,
    ) -> Result<(), SessionError> {
        let vote = ballot.vote;
        let writing = writer.write_all(ballot.line.as_bytes());
        let written = timeout(CONTROL_PLANE_WRITE_TIMEOUT, writing).await;
        if !matches!(written, Ok(Ok(()))) {
            // Not whole: the control plane cannot have read it.
            report_reply(&self.shell, vote, VoteReceipt::Rejected, None);
            return Err(SessionError::VoteNotWritten { vote });
        }
        self.pending.push_back(Call::Vote(vote));
        Ok(())
    }

    /// Takes in one line. What cannot be read ends the session.
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
                let answer = reply.read_vote()?;
                self.pending.pop_front();
                tracing::info!(vote, receipt = ?answer.receipt, "vote answered");
                report_reply(&self.shell, vote, answer.receipt, answer.stage);
            }
        }
        Ok(())
    }
}
