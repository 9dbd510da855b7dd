//! The JSON-RPC messages of the control plane: the only place that knows their methods, fields and values.

use crate::fields::{self, parse_object, FieldError};
use crate::units::NANOS_PER_MILLI;
use havenplank::interface::{Build, Nanos, Phase, Stage, Vote, VoteReceipt, VoteReply};
use havenplank_adapter::line::{Fields, Line};
use serde_json::json;

/// The JSON-RPC id of the call that subscribes to notifications. The ids of votes follow it.
const FOLLOW_ID: u64 = 0;

/// A call on a control plane connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Call {
    /// Subscribes to notifications.
    Follow,
    /// Casts the vote with this id of the engine.
    Vote(u64),
}

impl Call {
    fn id(self) -> u64 {
        match self {
            Call::Follow => FOLLOW_ID,
            Call::Vote(vote) => vote + FOLLOW_ID + 1,
        }
    }
}

/// Returns the line that subscribes to notifications.
pub(super) fn follow_line() -> String {
    let call = json!({"jsonrpc": "2.0", "id": Call::Follow.id(), "method": "follow"});
    format!("{call}\n")
}

/// Returns the line that casts a vote.
pub(super) fn vote_line(id: u64, build: Build, stage: usize, vote: Vote) -> String {
    let opinion = match vote {
        Vote::None => "none",
        Vote::Advance => "on",
        Vote::Hold => "hold",
        Vote::RollBack => "back",
    };
    let params = json!({"image": build, "ring": stage, "opinion": opinion});
    let id = Call::Vote(id).id();
    let call = json!({"jsonrpc": "2.0", "id": id, "method": "castBallot", "params": params});
    format!("{call}\n")
}

/// Decodes the stage of the newest build.
///
/// # Errors
/// Fails at the first field that is missing or wrong.
pub(crate) fn decode_stage(fields: &Fields) -> Result<Stage, FieldError> {
    let phase = decode_phase(fields)?;
    let cap = fields.number("ceiling")?;
    if !(0.0..=1.0).contains(&cap) {
        return Err(fields::invalid(
            fields,
            "ceiling",
            "expected a number from 0 to 1",
        ));
    }
    let build = fields.integer("image")?.min(u64::from(Build::MAX));
    Ok(Stage {
        build: build as Build,
        stage: fields.integer("ring")? as usize,
        phase,
        cap,
        age: fields
            .integer_or("lag_ms", 0)?
            .saturating_mul(NANOS_PER_MILLI),
    })
}

fn decode_phase(fields: &Fields) -> Result<Phase, FieldError> {
    match fields.text("progress")? {
        "canary" => Ok(Phase::Trial),
        "reverting" => Ok(Phase::RollingBack),
        "stable" => Ok(Phase::Released),
        "reverted" => Ok(Phase::Withdrawn),
        _ => Err(fields::invalid(
            fields,
            "progress",
            "expected canary, reverting, stable or reverted",
        )),
    }
}

/// A report that a client received a wrong response.
#[derive(Debug, PartialEq)]
pub(super) struct Fault {
    pub(super) pod: String,
    pub(super) route_class: String,
    /// How long ago the attempt that got the response was sent.
    pub(super) ago: Nanos,
}

/// A message from the control plane.
pub(super) enum Message {
    /// The stage of the newest build.
    Stage(Stage),
    /// A wrong response of a pod.
    Fault(Fault),
    /// A ping, or a notification that the sidecar does not use.
    Other,
    /// The reply to a call.
    Reply(Reply),
}

/// Decodes one line.
///
/// # Errors
/// Fails on a line that is not a JSON object, and at the first field that is missing or wrong.
pub(super) fn decode(line: &str) -> Result<Message, FieldError> {
    let line = parse_object("control plane", line.as_bytes())?;
    let fields = line.fields();
    match fields.optional_text("method")? {
        Some("progress") => Ok(Message::Stage(decode_stage(&fields.object("params")?)?)),
        Some("complaint") => Ok(Message::Fault(decode_fault(&fields.object("params")?)?)),
        Some(_) => Ok(Message::Other),
        None => Ok(Message::Reply(Reply { line })),
    }
}

fn decode_fault(params: &Fields) -> Result<Fault, FieldError> {
    Ok(Fault {
        pod: params.text("host")?.to_string(),
        route_class: params.text("type")?.to_string(),
        ago: params.integer("lag_ms")?.saturating_mul(NANOS_PER_MILLI),
    })
}

/// Why a reply is unusable.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReplyError {
    #[error(transparent)]
    Fields(#[from] FieldError),
    #[error("the control plane rejected the subscription to notifications")]
    FollowRefused,
    #[error("unknown error message {0:?}, expected throttled, internal, invalid or conflict")]
    UnknownError(String),
}

/// A reply to a call. How it is decoded depends on the call that it answers.
pub(super) struct Reply {
    line: Line,
}

impl Reply {
    /// Checks that the reply answers the oldest unanswered call, and returns that call.
    pub(super) fn check_answers(&self, oldest: Option<Call>) -> Result<Call, ReplyError> {
        let fields = self.line.fields();
        let id = fields.integer("id").map_err(FieldError::from)?;
        match oldest {
            Some(call) if call.id() == id => Ok(call),
            _ => Err(
                fields::invalid(&fields, "id", "expected the id of the oldest pending call").into(),
            ),
        }
    }

    /// Decodes the reply to the subscription.
    pub(super) fn read_follow(&self) -> Result<(), ReplyError> {
        if self.line.fields().has("error") {
            return Err(ReplyError::FollowRefused);
        }
        Ok(())
    }

    /// Decodes the reply to a vote.
    pub(super) fn read_vote(&self) -> Result<VoteReply, ReplyError> {
        let fields = self.line.fields();
        if !fields.has("error") {
            let result = fields.object("result").map_err(FieldError::from)?;
            let stage = decode_stage(&result)?;
            return Ok(VoteReply {
                receipt: VoteReceipt::Counted,
                stage: Some(stage),
            });
        }
        let error = fields.object("error").map_err(FieldError::from)?;
        let receipt = match error.text("message").map_err(FieldError::from)? {
            "throttled" | "internal" | "invalid" => VoteReceipt::Rejected,
            "conflict" => VoteReceipt::Stale,
            other => return Err(ReplyError::UnknownError(other.to_string())),
        };
        Ok(VoteReply {
            receipt,
            stage: None,
        })
    }
}
