//! The subscribers' lines: the greeting with a name, then `vote NUMBER BUILD STAGE VOTE`.

use super::calls::{Request, PROTOCOL};
use crate::codec::{parse_greeting, LineParser};
use crate::error::ParseError;
use crate::grammar::{self, name_of, then, uint32, uint64};
use havenplank::interface::{Build, Vote};
use winnow::combinator::preceded;

const VOTES: [(&str, Vote); 4] = [
    ("none", Vote::None),
    ("on", Vote::Advance),
    ("hold", Vote::Hold),
    ("back", Vote::RollBack),
];

/// Parses the subscribers' lines.
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
            preceded("vote ", uint64("a vote's number")),
            then(uint32("a build")),
            then(uint32("a stage")),
            then(grammar::one_of(&VOTES, "none, on, hold or back")),
        );
        let (number, build, stage, vote) = grammar::parse_whole(line, fields)?;
        Ok(Some(Box::new(move |service| {
            service.cast_vote(number, build, stage as usize, vote);
        })))
    }
}

/// Returns the line that casts a vote; `number` comes back with the answer.
pub fn vote_line(number: u64, build: Build, stage: usize, vote: Vote) -> String {
    let vote = name_of(&VOTES, vote).unwrap_or("?");
    format!("vote {number} {build} {stage} {vote}\n")
}
