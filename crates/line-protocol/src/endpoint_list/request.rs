//! The lines that subscribers send: the greeting with a name, then `whole` or `watch on|off`.

use super::callbacks::Request;
use super::endpoint::PROTOCOL;
use crate::codec::{parse_greeting, LineParser};
use crate::error::ParseError;

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
        match line {
            "whole" => Ok(Some(Box::new(|service| service.poll()))),
            "watch on" => Ok(Some(Box::new(|service| service.watch(true)))),
            "watch off" => Ok(Some(Box::new(|service| service.watch(false)))),
            _ => Err(ParseError::UnknownMessage {
                expected: "expected whole, watch on or watch off",
            }),
        }
    }
}

/// Returns the line that requests the complete list, once.
pub fn poll_line() -> String {
    "whole\n".to_string()
}

/// Returns the line that starts or ends a watch on changes.
pub fn watch_line(on: bool) -> String {
    format!("watch {}\n", if on { "on" } else { "off" })
}
