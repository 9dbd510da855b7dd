//! The lines that the control plane sends: `stage`, `voted`, `tally` and `flagged`, each with its sequence number on
//! the connection.

use super::callbacks::{ClassTally, Notification, PROTOCOL};
use crate::codec::{parse_greeting, LineParser, Sequence};
use crate::error::ParseError;
use crate::grammar::{self, after_space, name_of, non_negative, uint32, uint64, word};
use havenplank::interface::{Nanos, Phase, Stage, VoteReceipt, VoteReply};
use std::fmt::Write as _;
use winnow::combinator::opt;
use winnow::prelude::*;

const PHASES: [(&str, Phase); 4] = [
    ("trial", Phase::Trial),
    ("going-back", Phase::RollingBack),
    ("released", Phase::Released),
    ("withdrawn", Phase::Withdrawn),
];
const RECEIPTS: [(&str, VoteReceipt); 4] = [
    ("counted", VoteReceipt::Counted),
    ("moot", VoteReceipt::Stale),
    ("unknown", VoteReceipt::Unknown),
    ("refused", VoteReceipt::Rejected),
];
/// Written for a value that is missing from its table; the tables are complete.
const MISSING_NAME: &str = "?";
const UNKNOWN_MESSAGE: ParseError = ParseError::UnknownMessage {
    expected: "expected stage, voted, tally or flagged, each with a sequence number",
};

/// Parses the lines that the control plane sends.
#[derive(Default)]
pub struct NotificationParser {
    greeted: bool,
    sequence: Sequence,
}

impl LineParser for NotificationParser {
    type Output = Notification;

    fn parse_line(&mut self, line: &str) -> Result<Option<Notification>, ParseError> {
        if !self.greeted {
            parse_greeting(line, PROTOCOL)?;
            self.greeted = true;
            return Ok(None);
        }
        let (verb, rest) = line.split_once(' ').ok_or(UNKNOWN_MESSAGE)?;
        let (number, rest) = rest.split_once(' ').ok_or(UNKNOWN_MESSAGE)?;
        let notification = match verb {
            "stage" => parse_stage(rest)?,
            "voted" => parse_vote_reply(rest)?,
            "tally" => parse_tally(rest)?,
            "flagged" => parse_fault(rest)?,
            _ => return Err(UNKNOWN_MESSAGE),
        };
        let number = grammar::parse_complete(number, uint64("a sequence number"))?;
        self.sequence.advance(number)?;
        Ok(Some(notification))
    }
}

fn parse_stage(rest: &str) -> Result<Notification, ParseError> {
    let stage = grammar::parse_complete(rest, stage)?;
    Ok(Box::new(move |subscriber| subscriber.update_stage(stage)))
}

fn parse_vote_reply(rest: &str) -> Result<Notification, ParseError> {
    let receipt = grammar::one_of(&RECEIPTS, "counted, moot, unknown or refused");
    let fields = (
        uint64("a vote number"),
        after_space(receipt),
        opt(after_space(stage)),
    );
    let (vote, receipt, stage) = grammar::parse_complete(rest, fields)?;
    let reply = VoteReply { receipt, stage };
    Ok(Box::new(move |subscriber| {
        subscriber.vote_answered(vote, reply);
    }))
}

fn parse_tally(rest: &str) -> Result<Notification, ParseError> {
    let fields = (
        uint32("a build"),
        after_space(word),
        after_space(uint64("a number of requests")),
        after_space(uint64("a number of failed requests")),
        after_space(uint64("a mean latency in ns")),
        after_space(uint64("an age in ns")),
    );
    let (build, class, count, failed, mean_latency, age) = grammar::parse_complete(rest, fields)?;
    let tally = ClassTally {
        build,
        class: class.to_string(),
        count,
        failed,
        mean_latency,
        age,
    };
    Ok(Box::new(move |subscriber| subscriber.update_tally(tally)))
}

fn parse_fault(rest: &str) -> Result<Notification, ParseError> {
    let fields = (word, after_space(word), after_space(uint64("an age in ns")));
    let (pod, class, ago) = grammar::parse_complete(rest, fields)?;
    let (pod, class) = (pod.to_string(), class.to_string());
    Ok(Box::new(move |subscriber| {
        subscriber.report_fault(pod, class, ago);
    }))
}

/// Parses `BUILD STAGE PHASE CAP AGE`.
fn stage(input: &mut &str) -> grammar::Parsed<Stage> {
    const PHASE: &str = "trial, going-back, released or withdrawn";
    let cap = non_negative("a cap from 0 to 1").verify(|cap| *cap <= 1.0);
    let (build, stage, phase, cap, age) = (
        uint32("a build"),
        after_space(uint32("a stage")),
        after_space(grammar::one_of(&PHASES, PHASE)),
        after_space(cap),
        after_space(uint64("an age in ns")),
    )
        .parse_next(input)?;
    Ok(Stage {
        build,
        stage: stage as usize,
        phase,
        cap,
        age,
    })
}

/// Appends the state of the newest build, as the message with sequence number `number` on its connection.
pub fn write_stage(out: &mut String, number: u64, stage: &Stage) {
    let _ = write!(out, "stage {number}");
    write_stage_fields(out, stage);
    out.push('\n');
}

fn write_stage_fields(out: &mut String, stage: &Stage) {
    let Stage {
        build,
        stage,
        phase,
        cap,
        age,
    } = stage;
    let phase = name_of(&PHASES, *phase).unwrap_or(MISSING_NAME);
    let _ = write!(out, " {build} {stage} {phase} {cap} {age}");
}

/// Appends the reply to a vote, as the message with sequence number `number` on its connection.
pub fn write_vote_reply(
    out: &mut String,
    number: u64,
    vote: u64,
    receipt: VoteReceipt,
    stage: Option<&Stage>,
) {
    let receipt = name_of(&RECEIPTS, receipt).unwrap_or(MISSING_NAME);
    let _ = write!(out, "voted {number} {vote} {receipt}");
    if let Some(stage) = stage {
        write_stage_fields(out, stage);
    }
    out.push('\n');
}

/// Appends a build's request counts in a route class, as the message with sequence number `number` on its connection.
pub fn write_tally(out: &mut String, number: u64, tally: &ClassTally) {
    let ClassTally {
        build,
        class,
        count,
        failed,
        mean_latency,
        age,
    } = tally;
    let _ = writeln!(
        out,
        "tally {number} {build} {class} {count} {failed} {mean_latency} {age}"
    );
}

/// Appends the report of a wrong response, as the message with sequence number `number` on its connection.
pub fn write_fault(out: &mut String, number: u64, pod: &str, class: &str, ago: Nanos) {
    let _ = writeln!(out, "flagged {number} {pod} {class} {ago}");
}
