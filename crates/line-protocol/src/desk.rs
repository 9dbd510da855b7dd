//! The release desk: news of the stage, votes and their answers, tallies and flagged answers.

use crate::lines::{self, Speech};
use havenplank::interface::{Build, Nanos, Phase, Stage, Vote, VoteReceipt, VoteReply};
use std::fmt::Write as _;
use winnow::combinator::{opt, preceded};
use winnow::prelude::*;

pub const FEED: &str = "desk";
const PHASES: [(&str, Phase); 4] = [
    ("trial", Phase::Trial),
    ("going-back", Phase::RollingBack),
    ("released", Phase::Released),
    ("withdrawn", Phase::Withdrawn),
];
const VOICES: [(&str, Vote); 4] = [
    ("none", Vote::None),
    ("on", Vote::Advance),
    ("hold", Vote::Hold),
    ("back", Vote::RollBack),
];
const HEARD: [(&str, VoteReceipt); 4] = [
    ("counted", VoteReceipt::Counted),
    ("moot", VoteReceipt::Stale),
    ("unknown", VoteReceipt::Unknown),
    ("refused", VoteReceipt::Rejected),
];

/// What a follower of the desk hears. Path groups and pods are told by name.
pub trait Hears {
    fn stage(&mut self, stage: Stage);
    /// The answer to the vote of that number.
    fn voted(&mut self, vote: u64, news: VoteReply);
    fn tally(
        &mut self,
        build: Build,
        group: String,
        counts: (u64, u64),
        mean_latency: Nanos,
        age: Nanos,
    );
    fn flagged(&mut self, pod: String, group: String, ago: Nanos);
}

/// What the desk hears.
pub trait Asked {
    fn hello(&mut self, name: String);
    fn vote(&mut self, vote: u64, build: Build, stage: usize, voice: Vote);
}

pub type Call = Box<dyn FnOnce(&mut dyn Hears) + Send>;
pub type AskCall = Box<dyn FnOnce(&mut dyn Asked) + Send>;

/// The desk's lines: `stage`, `voted`, `tally` and `flagged`, each with SEQ, counted from 1 on a connection.
#[derive(Default)]
pub struct Telling {
    greeted: bool,
    seq: u64,
}

fn stage(input: &mut &str) -> lines::Parsed<Stage> {
    let (build, stage, phase, cap, age) = (
        lines::small("a build"),
        lines::then(lines::small("a stage")),
        lines::then(lines::one_of(
            &PHASES,
            "trial, going-back, released or withdrawn",
        )),
        lines::then(lines::number("a cap from 0 to 1").verify(|cap| *cap <= 1.0)),
        lines::then(lines::count("an age in ns")),
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

impl Speech for Telling {
    type Call = Call;

    fn line(&mut self, line: &str) -> Result<Option<Call>, String> {
        if !self.greeted {
            lines::greeting(line, FEED)?;
            self.greeted = true;
            return Ok(None);
        }
        const KNOWN: &str = "expected stage, voted, tally or flagged, each with a number";
        let (verb, rest) = line.split_once(' ').ok_or(KNOWN)?;
        let (seq, rest) = rest.split_once(' ').ok_or(KNOWN)?;
        let call: Call = match verb {
            "stage" => {
                let told = lines::whole(rest, stage)?;
                Box::new(move |heard| heard.stage(told))
            }
            "voted" => {
                let answer = (
                    lines::count("a vote's number"),
                    lines::then(lines::one_of(&HEARD, "counted, moot, unknown or refused")),
                    opt(lines::then(stage)),
                );
                let (vote, how, told) = lines::whole(rest, answer)?;
                Box::new(move |heard| {
                    heard.voted(
                        vote,
                        VoteReply {
                            receipt: how,
                            stage: told,
                        },
                    )
                })
            }
            "tally" => {
                let counts = (
                    lines::small("a build"),
                    lines::then(lines::word),
                    lines::then(lines::count("a count")),
                    lines::then(lines::count("how many failed")),
                    lines::then(lines::count("a mean latency in ns")),
                    lines::then(lines::count("an age in ns")),
                );
                let (build, group, all, failed, mean, age) = lines::whole(rest, counts)?;
                let group = group.to_string();
                Box::new(move |heard| heard.tally(build, group, (all, failed), mean, age))
            }
            "flagged" => {
                let what = (
                    lines::word,
                    lines::then(lines::word),
                    lines::then(lines::count("an age in ns")),
                );
                let (pod, group, ago) = lines::whole(rest, what)?;
                let (pod, group) = (pod.to_string(), group.to_string());
                Box::new(move |heard| heard.flagged(pod, group, ago))
            }
            _ => return Err(KNOWN.to_string()),
        };
        let seq = lines::whole(seq, lines::count("a number"))?;
        self.seq += 1;
        match seq == self.seq {
            true => Ok(Some(call)),
            false => Err(format!("number {seq}, expected {}", self.seq)),
        }
    }
}

/// The followers' lines: the greeting with a name, then `vote NUMBER BUILD STAGE VOICE`.
#[derive(Default)]
pub struct Asking {
    greeted: bool,
}

impl Speech for Asking {
    type Call = AskCall;

    fn line(&mut self, line: &str) -> Result<Option<AskCall>, String> {
        if !self.greeted {
            let name = lines::greeting(line, FEED)?;
            self.greeted = true;
            return Ok(Some(Box::new(move |asked| asked.hello(name))));
        }
        let vote = (
            preceded("vote ", lines::count("a vote's number")),
            lines::then(lines::small("a build")),
            lines::then(lines::small("a stage")),
            lines::then(lines::one_of(&VOICES, "none, on, hold or back")),
        );
        let (vote, build, stage, voice) = lines::whole(line, vote)?;
        Ok(Some(Box::new(move |asked| {
            asked.vote(vote, build, stage as usize, voice)
        })))
    }
}

fn name<T: PartialEq>(choices: &[(&'static str, T)], it: T) -> &'static str {
    choices
        .iter()
        .find(|(_, known)| *known == it)
        .map_or("?", |(name, _)| name)
}

fn put_stage(out: &mut String, stage: &Stage) {
    let Stage {
        build,
        stage,
        phase,
        cap,
        age,
    } = stage;
    let _ = write!(
        out,
        " {build} {stage} {} {cap} {age}",
        name(&PHASES, *phase)
    );
}

pub fn tell_stage(out: &mut String, seq: u64, stage: &Stage) {
    let _ = write!(out, "stage {seq}");
    put_stage(out, stage);
    out.push('\n');
}

pub fn tell_voted(
    out: &mut String,
    seq: u64,
    vote: u64,
    heard: VoteReceipt,
    stage: Option<&Stage>,
) {
    let _ = write!(out, "voted {seq} {vote} {}", name(&HEARD, heard));
    if let Some(stage) = stage {
        put_stage(out, stage);
    }
    out.push('\n');
}

pub fn tell_tally(
    out: &mut String,
    seq: u64,
    build: Build,
    group: &str,
    counts: (u64, u64),
    mean: Nanos,
    age: Nanos,
) {
    let _ = writeln!(
        out,
        "tally {seq} {build} {group} {} {} {mean} {age}",
        counts.0, counts.1
    );
}

pub fn tell_flagged(out: &mut String, seq: u64, pod: &str, group: &str, ago: Nanos) {
    let _ = writeln!(out, "flagged {seq} {pod} {group} {ago}");
}

pub fn ask_vote(vote: u64, build: Build, stage: usize, voice: Vote) -> String {
    format!("vote {vote} {build} {stage} {}\n", name(&VOICES, voice))
}
