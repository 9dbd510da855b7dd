//! The lines that subscribers send: the greeting with a name, then `vote NUMBER BUILD STAGE VOTE`.

use super::callbacks::{Request, PROTOCOL};
use crate::codec::{parse_greeting, LineParser};
use crate::error::ParseError;
use crate::grammar::{self, after_space, name_of, uint32, uint64};
use havenplank::interface::{Build, Vote};
use winnow::combinator::preceded;

const VOTES: [(&str, Vote); 4] = [
    ("none", Vote::None),
    ("on", Vote::Advance),
    ("hold", Vote::Hold),
    ("back", Vote::RollBack),
];

/// Parses the lines that subscribers send.
#[derive(Default)]
pub struct RequestParser {
    greeted: bool,
}

impl LineParser for RequestParser {
    type Output = Request;

    fn parse_line(&mut self, line: &str) -> Result<Option<Request>, ParseError> {
        if !self.greeted {
            let name = parse_greeting(line, PROTOCOL)?;
            self.greeted = true;
            return Ok(Some(Box::new(move |service| service.greeted(name))));
        }
        let fields = (
            preceded("vote ", uint64("a vote number")),
            after_space(uint32("a build")),
            after_space(uint32("a stage")),
            after_space(grammar::one_of(&VOTES, "none, on, hold or back")),
        );
        let (number, build, stage, vote) = grammar::parse_complete(line, fields)?;
        Ok(Some(Box::new(move |service| {
            service.cast_vote(number, build, stage as usize, vote);
        })))
    }
}

/// Returns the line that casts a vote; the reply will repeat `number`.
pub fn vote_line(number: u64, build: Build, stage: usize, vote: Vote) -> String {
    let vote = name_of(&VOTES, vote).unwrap_or("?");
    format!("vote {number} {build} {stage} {vote}\n")
}
