//! The lines that the service sends: `whole|changes SEQ COUNT` followed by COUNT `pod` lines, or `failed SEQ REASON`.

use super::callbacks::Notification;
use super::endpoint::{ListedEndpoint, PROTOCOL};
use crate::codec::{parse_greeting, LineParser, Sequence, MAX_ENDPOINTS};
use crate::error::ParseError;
use crate::grammar::{
    self, after_space, expected, int64, name_of, non_negative, uint32, uint64, word,
};
use havenplank::interface::PodState;
use std::fmt::Write as _;
use winnow::combinator::{alt, preceded};
use winnow::prelude::*;

const STATES: [(&str, PodState); 3] = [
    ("running", PodState::Running),
    ("draining", PodState::Draining),
    ("gone", PodState::Gone),
];

/// A list of which not all entries have been received.
struct PartialList {
    complete: bool,
    /// Number of entries that the list's first line announced.
    announced: usize,
    endpoints: Vec<ListedEndpoint>,
}

/// Parses the lines that the service sends.
#[derive(Default)]
pub struct NotificationParser {
    greeted: bool,
    sequence: Sequence,
    partial: Option<PartialList>,
}

impl NotificationParser {
    fn begin_list(&mut self, line: &str) -> Result<(), ParseError> {
        let kind = alt(("whole ".value(true), "changes ".value(false)));
        let header = (
            kind.context(expected("whole, changes or failed")),
            uint64("a sequence number"),
            after_space(uint64("a number of pods")),
        );
        let (complete, number, count) = grammar::parse_complete(line, header)?;
        self.sequence.advance(number)?;
        let announced = usize::try_from(count)
            .ok()
            .filter(|count| *count <= MAX_ENDPOINTS)
            .ok_or(ParseError::TooManyEndpoints { max: MAX_ENDPOINTS })?;
        self.partial = Some(PartialList {
            complete,
            announced,
            endpoints: Vec::new(),
        });
        Ok(())
    }

    fn end_list(&mut self) -> Option<Notification> {
        let is_complete = |partial: &mut PartialList| partial.announced == partial.endpoints.len();
        let list = self.partial.take_if(is_complete)?;
        Some(Box::new(move |subscriber| {
            subscriber.update_endpoints(list.complete, list.endpoints);
        }))
    }

    fn parse_failure(&mut self, rest: &str) -> Result<Notification, ParseError> {
        let (number, reason) = rest.split_once(' ').unwrap_or((rest, "no reason given"));
        let number = grammar::parse_complete(number, uint64("a sequence number"))?;
        self.sequence.advance(number)?;
        let reason = reason.to_string();
        Ok(Box::new(move |subscriber| subscriber.poll_failed(&reason)))
    }
}

impl LineParser for NotificationParser {
    type Output = Notification;

    fn parse_line(&mut self, line: &str) -> Result<Option<Notification>, ParseError> {
        if !self.greeted {
            parse_greeting(line, PROTOCOL)?;
            self.greeted = true;
            return Ok(None);
        }
        if let Some(partial) = &mut self.partial {
            partial
                .endpoints
                .push(grammar::parse_complete(line, entry)?);
            return Ok(self.end_list());
        }
        if let Some(rest) = line.strip_prefix("failed ") {
            return self.parse_failure(rest).map(Some);
        }
        self.begin_list(line)?;
        Ok(self.end_list())
    }
}

/// Parses `pod NAME ADDRESS STATE BUILD INCARNATION AGE ZONE MACHINE CELL SIZE`.
fn entry(input: &mut &str) -> grammar::Parsed<ListedEndpoint> {
    let address = word.verify_map(|word: &str| word.parse().ok());
    let (name, address, state, build, incarnation, age) = (
        preceded("pod ", word).context(expected("pod and its name")),
        after_space(address).context(expected("an IP address with a port")),
        after_space(grammar::one_of(&STATES, "running, draining or gone")),
        after_space(uint32("a build")),
        after_space(uint64("an incarnation")),
        after_space(uint64("an age in ns")),
    )
        .parse_next(input)?;
    let (zone, machine, cell, size) = (
        after_space(word).context(expected("a zone")),
        after_space(word).context(expected("a machine type")),
        after_space(int64("a cell")),
        after_space(non_negative("a size")),
    )
        .parse_next(input)?;
    Ok(ListedEndpoint {
        name: name.to_string(),
        address,
        state,
        build,
        incarnation,
        age,
        zone: zone.to_string(),
        machine: machine.to_string(),
        cell,
        size,
    })
}

/// Appends a list, as the message with sequence number `number` on its connection.
pub fn write_list(out: &mut String, number: u64, complete: bool, endpoints: &[ListedEndpoint]) {
    let kind = if complete { "whole" } else { "changes" };
    let _ = writeln!(out, "{kind} {number} {}", endpoints.len());
    for endpoint in endpoints {
        write_entry(out, endpoint);
    }
}

fn write_entry(out: &mut String, endpoint: &ListedEndpoint) {
    let ListedEndpoint {
        name,
        address,
        state,
        build,
        incarnation,
        age,
        zone,
        machine,
        cell,
        size,
    } = endpoint;
    let state = name_of(&STATES, *state).unwrap_or("gone");
    let _ = writeln!(
        out,
        "pod {name} {address} {state} {build} {incarnation} {age} {zone} {machine} {cell} {size}"
    );
}

/// Appends the reply to a request that the service cannot serve, as the message with sequence number `number` on its
/// connection.
pub fn write_poll_failure(out: &mut String, number: u64, reason: &str) {
    let reason = reason.replace(['\n', '\r'], " ");
    let _ = writeln!(out, "failed {number} {reason}");
}
