//! The release desk over JSON-RPC: votes and their answers, followed news, complaints as flags.

use crate::config;
use crate::node::Shell;
use crate::steady::{self, Up};
use futures_util::StreamExt;
use havenplank::interface::{Build, Phase, Stage, Vote, VoteReceipt, VoteReply};
use havenplank_adapter::line::Fields;
use serde_json::json;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout, Instant};
use tokio_util::codec::{FramedRead, LinesCodec};

const CONNECT: Duration = Duration::from_secs(1);
/// A sign of life comes each second: two are missing.
const SILENCE: Duration = Duration::from_millis(2300);
/// How long the session at an old address may still bring the answers to its votes.
const LINGER: Duration = Duration::from_millis(1500);
/// Lines of the desk are shorter than this, as are ours.
const LINE_BYTES: usize = 8 << 10;
/// The module has one vote out at a time; one more than these is refused.
const VOTES: usize = 4;
/// The call that asks for news; votes count on from here.
const FOLLOW: u64 = 0;

/// Decodes the state of the newest build.
///
/// # Errors
/// The first field that is missing or wrong.
pub fn stage(fields: &Fields) -> Result<Stage, String> {
    let phase = match fields.text("progress")? {
        "canary" => Phase::Trial,
        "reverting" => Phase::RollingBack,
        "stable" => Phase::Released,
        "reverted" => Phase::Withdrawn,
        _ => {
            return Err(
                fields.complain("progress", "expected canary, reverting, stable or reverted")
            )
        }
    };
    let cap = fields.number("ceiling")?;
    if !(0.0..=1.0).contains(&cap) {
        return Err(fields.complain("ceiling", "expected a number from 0 to 1"));
    }
    Ok(Stage {
        build: fields.whole("image")?.min(u32::MAX as u64) as Build,
        stage: fields.whole("ring")? as usize,
        phase,
        cap,
        age: fields.whole_or("lag_ms", 0)?.saturating_mul(1_000_000),
    })
}

struct Ballot {
    vote: u64,
    line: String,
}

/// Where votes go: the newest session that stands.
#[derive(Default)]
pub struct Votes {
    to: RefCell<Option<mpsc::Sender<Ballot>>>,
}

impl Votes {
    /// Sends a vote on its way and sees to it that its end is heard: one not written is refused, one without
    /// an answer in time unknown.
    pub fn cast(&self, shell: &Rc<Shell>, vote: u64, build: Build, stage: usize, voice: Vote) {
        let opinion = match voice {
            Vote::None => "none",
            Vote::Advance => "on",
            Vote::Hold => "hold",
            Vote::RollBack => "back",
        };
        let params = json!({"image": build, "ring": stage, "opinion": opinion});
        let call = json!({"jsonrpc": "2.0", "id": vote + FOLLOW + 1, "method": "castBallot", "params": params});
        let ballot = Ballot {
            vote,
            line: format!("{call}\n"),
        };
        let to = self.to.borrow().clone();
        let sent = to.is_some_and(|to| to.try_send(ballot).is_ok());
        let (shell, wait) = (
            shell.clone(),
            Duration::from_nanos(shell.votes.call_timeout),
        );
        // In a task of its own, as the engine may be in the middle of what asked for it.
        spawn_local(async move {
            if sent {
                sleep(wait).await;
            }
            let heard = if sent {
                VoteReceipt::Unknown
            } else {
                VoteReceipt::Rejected
            };
            voted(&shell, vote, heard, None);
        });
    }
}

fn voted(shell: &Rc<Shell>, vote: u64, heard: VoteReceipt, stage: Option<Stage>) {
    shell.call(|engine, now| {
        engine.vote_answered(
            now,
            vote,
            VoteReply {
                receipt: heard,
                stage,
            },
        )
    });
}

pub async fn follow(shell: Rc<Shell>, at: watch::Receiver<SocketAddr>, seed: u64) {
    let session = |address, up| follow_once(shell.clone(), address, up);
    steady::keep("release desk", at, seed, LINGER, session).await;
}

/// One connection: what was asked on it and not answered, in order.
struct Session {
    shell: Rc<Shell>,
    asked: VecDeque<(u64, Option<u64>)>,
}

impl Drop for Session {
    /// Written whole and never answered: they may count.
    fn drop(&mut self) {
        let (shell, asked) = (self.shell.clone(), std::mem::take(&mut self.asked));
        let unknown = asked.into_iter().filter_map(|(_, vote)| vote);
        unknown.for_each(|vote| voted(&shell, vote, VoteReceipt::Unknown, None));
    }
}

async fn follow_once(shell: Rc<Shell>, address: SocketAddr, up: Up) -> String {
    let (to, mut ballots) = mpsc::channel(VOTES);
    let mut session = Session {
        shell: shell.clone(),
        asked: VecDeque::new(),
    };
    let ended = followed(&mut session, address, &up, to.clone(), &mut ballots).await;
    let mut current = shell.ballots.to.borrow_mut();
    if current
        .as_ref()
        .is_some_and(|current| current.same_channel(&to))
    {
        *current = None;
    }
    drop(current);
    ballots.close();
    while let Ok(ballot) = ballots.try_recv() {
        voted(&shell, ballot.vote, VoteReceipt::Rejected, None);
    }
    ended
        .err()
        .unwrap_or_else(|| "closed by the desk".to_string())
}

async fn followed(
    session: &mut Session,
    address: SocketAddr,
    up: &Up,
    to: mpsc::Sender<Ballot>,
    ballots: &mut mpsc::Receiver<Ballot>,
) -> Result<(), String> {
    let late = |what: &'static str| move |_| format!("{what}: no answer in time");
    let text = |error: std::io::Error| error.to_string();
    let stream = timeout(CONNECT, TcpStream::connect(address))
        .await
        .map_err(late("connect"))?;
    let mut stream = stream.map_err(text)?;
    let _ = stream.set_nodelay(true);
    let (lines, mut out) = stream.split();
    let mut lines = FramedRead::new(lines, LinesCodec::new_with_max_length(LINE_BYTES));
    let call = json!({"jsonrpc": "2.0", "id": FOLLOW, "method": "follow"});
    timeout(CONNECT, out.write_all(format!("{call}\n").as_bytes()))
        .await
        .map_err(late("follow"))?
        .map_err(text)?;
    session.asked.push_back((FOLLOW, None));
    let (mut spoke, mut heard) = (false, Instant::now());
    loop {
        tokio::select! {
            // From the last line on, whatever votes go out meanwhile: a silent desk gets one each second.
            () = sleep_until(heard + SILENCE) => return Err("no line in time".to_string()),
            line = lines.next() => {
                let Some(line) = line else { return Ok(()) };
                let line = line.map_err(|error| error.to_string())?;
                heard = Instant::now();
                hear(session, &line)?;
                if !spoke {
                    // Only now: a service that takes connections and says nothing gets no votes.
                    spoke = true;
                    *session.shell.ballots.to.borrow_mut() = Some(to.clone());
                    up.now();
                }
            }
            Some(ballot) = ballots.recv() => {
                let wrote = timeout(CONNECT, out.write_all(ballot.line.as_bytes())).await;
                if !matches!(wrote, Ok(Ok(()))) {
                    // Not whole: the desk cannot have read it.
                    voted(&session.shell, ballot.vote, VoteReceipt::Rejected, None);
                    return Err("a vote could not be written".to_string());
                }
                session.asked.push_back((ballot.vote + FOLLOW + 1, Some(ballot.vote)));
            }
        }
    }
}

/// One line of the desk. What cannot be read ends the session.
fn hear(session: &mut Session, line: &str) -> Result<(), String> {
    let line = config::object("desk", line.as_bytes())?;
    let f = line.of();
    let shell = session.shell.clone();
    if let Some(method) = f.maybe_text("method")? {
        match method {
            "progress" => {
                let stage = stage(&f.object("params")?)?;
                let Stage {
                    build,
                    stage: number,
                    phase,
                    cap,
                    ..
                } = stage;
                tracing::info!(build, stage = number, ?phase, cap, "stage");
                shell.call(|engine, now| engine.update_stage(now, stage));
            }
            "complaint" => {
                let told = f.object("params")?;
                let (pod, group) = (told.text("host")?, told.text("type")?);
                let ago = told.whole("lag_ms")?.saturating_mul(1_000_000);
                if !shell.report_fault(pod, group, ago) {
                    tracing::info!(
                        pod,
                        group,
                        "flagged answer of an unknown pod or path group passed over"
                    );
                }
            }
            _ => {}
        }
        return Ok(());
    }
    let id = f.whole("id")?;
    let vote = match session.asked.front() {
        Some((asked, vote)) if *asked == id => *vote,
        _ => return Err(f.complain("id", "an answer to nothing that was asked")),
    };
    let Some(vote) = vote else {
        if f.maybe_has("error") {
            return Err("follow was refused".to_string());
        }
        session.asked.pop_front();
        return Ok(());
    };
    let (heard, stage) = if f.maybe_has("error") {
        let heard = match f.object("error")?.text("message")? {
            "throttled" | "internal" | "invalid" => VoteReceipt::Rejected,
            "conflict" => VoteReceipt::Stale,
            _ => return Err("an error that the desk does not have".to_string()),
        };
        (heard, None)
    } else {
        (VoteReceipt::Counted, Some(stage(&f.object("result")?)?))
    };
    session.asked.pop_front();
    tracing::info!(vote, ?heard, "vote answered");
    voted(&shell, vote, heard, stage);
    Ok(())
}
