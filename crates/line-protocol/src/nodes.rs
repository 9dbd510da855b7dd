//! The node list: which pods there are, whole or by changes, pushed or asked for.

use crate::lines::{self, Speech, MOST_PODS};
use havenplank::interface::{Build, Nanos, PodState};
use std::fmt::Write as _;
use std::net::SocketAddr;
use winnow::combinator::{alt, preceded};
use winnow::prelude::*;

pub const FEED: &str = "nodes";
const STATES: [(&str, PodState); 3] = [
    ("running", PodState::Running),
    ("draining", PodState::Draining),
    ("gone", PodState::Gone),
];

/// A pod as the list tells it. `life` is any number that changes when the process starts anew; `age` is the
/// time since then, 0 for long ago, so that no two machines need the same clock.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub name: String,
    pub address: SocketAddr,
    pub state: PodState,
    pub build: Build,
    pub life: u64,
    pub age: Nanos,
    pub zone: String,
    pub machine: String,
    pub cell: i64,
    pub size: f64,
}

/// What a follower of the list hears.
pub trait Hears {
    fn list(&mut self, whole: bool, pods: Vec<Listed>);
    /// The service could not answer what was asked last.
    fn failed(&mut self, why: &str);
}

/// What the service hears.
pub trait Asked {
    fn hello(&mut self, name: String);
    /// The whole list, once.
    fn whole(&mut self);
    fn watch(&mut self, on: bool);
}

/// A line or block of the service, as a call on whoever follows it.
pub type Call = Box<dyn FnOnce(&mut dyn Hears) + Send>;
pub type AskCall = Box<dyn FnOnce(&mut dyn Asked) + Send>;

/// The service's lines: `whole|changes SEQ COUNT` and that many `pod` lines, or `failed SEQ WHY`.
/// SEQ counts from 1 on each connection; a gap means that something was lost, and the feed starts anew.
#[derive(Default)]
pub struct Telling {
    greeted: bool,
    seq: u64,
    block: Option<(bool, usize)>,
    pods: Vec<Listed>,
}

impl Telling {
    fn order(&mut self, seq: u64) -> Result<(), String> {
        self.seq += 1;
        if seq == self.seq {
            Ok(())
        } else {
            Err(format!("number {seq}, expected {}", self.seq))
        }
    }

    fn end(&mut self) -> Option<Call> {
        let (whole, _) = self.block.take_if(|(_, count)| *count == self.pods.len())?;
        let pods = std::mem::take(&mut self.pods);
        Some(Box::new(move |heard| heard.list(whole, pods)))
    }
}

impl Speech for Telling {
    type Call = Call;

    fn line(&mut self, line: &str) -> Result<Option<Call>, String> {
        if !self.greeted {
            lines::greeting(line, FEED)?;
            self.greeted = true;
            return Ok(None);
        }
        if self.block.is_some() {
            self.pods.push(lines::whole(line, pod)?);
            return Ok(self.end());
        }
        if let Some(rest) = line.strip_prefix("failed ") {
            let (seq, why) = rest.split_once(' ').unwrap_or((rest, "no reason told"));
            self.order(lines::whole(seq, lines::count("a number"))?)?;
            let why = why.to_string();
            return Ok(Some(Box::new(move |heard| heard.failed(&why))));
        }
        let kind = alt(("whole ".value(true), "changes ".value(false)));
        let start = (
            kind.context(lines::wanted("whole, changes or failed")),
            lines::count("a number"),
            lines::then(lines::count("how many pods")),
        );
        let (whole, seq, count) = lines::whole(line, start)?;
        self.order(seq)?;
        let count = usize::try_from(count)
            .ok()
            .filter(|count| *count <= MOST_PODS);
        let count = count.ok_or_else(|| format!("too many pods, expected {MOST_PODS} at most"))?;
        self.block = Some((whole, count));
        Ok(self.end())
    }
}

fn pod(input: &mut &str) -> lines::Parsed<Listed> {
    let address = lines::word.verify_map(|word: &str| word.parse().ok());
    let (name, address, state, build, life, age) = (
        preceded("pod ", lines::word).context(lines::wanted("pod and its name")),
        lines::then(address).context(lines::wanted("an address with a port")),
        lines::then(lines::one_of(&STATES, "running, draining or gone")),
        lines::then(lines::small("a build")),
        lines::then(lines::count("a life")),
        lines::then(lines::count("an age in ns")),
    )
        .parse_next(input)?;
    let (zone, machine, cell, size) = (
        lines::then(lines::word).context(lines::wanted("a zone")),
        lines::then(lines::word).context(lines::wanted("a kind of machine")),
        lines::then(lines::signed("a cell")),
        lines::then(lines::number("a size")),
    )
        .parse_next(input)?;
    let (name, zone, machine) = (name.to_string(), zone.to_string(), machine.to_string());
    Ok(Listed {
        name,
        address,
        state,
        build,
        life,
        age,
        zone,
        machine,
        cell,
        size,
    })
}

/// The followers' lines: the greeting with a name, then `whole` or `watch on|off`.
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
        match line {
            "whole" => Ok(Some(Box::new(|asked| asked.whole()))),
            "watch on" => Ok(Some(Box::new(|asked| asked.watch(true)))),
            "watch off" => Ok(Some(Box::new(|asked| asked.watch(false)))),
            _ => Err("expected whole, watch on or watch off".to_string()),
        }
    }
}

/// Writes a list as the service tells it.
pub fn tell_list(out: &mut String, seq: u64, whole: bool, pods: &[Listed]) {
    let _ = writeln!(
        out,
        "{} {seq} {}",
        if whole { "whole" } else { "changes" },
        pods.len()
    );
    for pod in pods {
        let Listed {
            name,
            address,
            state,
            build,
            life,
            age,
            zone,
            machine,
            cell,
            size,
        } = pod;
        let state = STATES
            .iter()
            .find(|(_, known)| known == state)
            .map_or("gone", |(name, _)| name);
        let _ = writeln!(
            out,
            "pod {name} {address} {state} {build} {life} {age} {zone} {machine} {cell} {size}"
        );
    }
}

pub fn tell_failed(out: &mut String, seq: u64, why: &str) {
    let _ = writeln!(out, "failed {seq} {}", why.replace(['\n', '\r'], " "));
}

pub fn ask_whole() -> String {
    "whole\n".to_string()
}

pub fn ask_watch(on: bool) -> String {
    format!("watch {}\n", if on { "on" } else { "off" })
}

/// Reads a list kept in a file: the service's own lines, greeting and one whole list.
///
/// # Errors
/// The line and what was expected there; a file cut short is refused, too.
pub fn read_kept(text: &str) -> Result<Vec<Listed>, String> {
    struct Kept(Option<Vec<Listed>>);
    impl Hears for Kept {
        fn list(&mut self, whole: bool, pods: Vec<Listed>) {
            self.0 = whole.then_some(pods);
        }
        fn failed(&mut self, _why: &str) {}
    }
    // Cut within its last line, a number there could still read as one.
    if !text.ends_with('\n') {
        return Err("cut short, expected a line's end".to_string());
    }
    let (mut telling, mut kept) = (Telling::default(), Kept(None));
    for (n, line) in text.lines().enumerate() {
        if let Some(call) = telling
            .line(line)
            .map_err(|what| format!("line {}: {what}", n + 1))?
        {
            call(&mut kept);
        }
    }
    kept.0
        .ok_or_else(|| "cut short, expected one whole list".to_string())
}

/// Writes a list for [`read_kept`].
pub fn keep(pods: &[Listed]) -> String {
    let mut out = lines::hello(FEED, None);
    tell_list(&mut out, 1, true, pods);
    out
}
