//! Scenario files: who is there and what goes wrong when, a statement a line, in a notation of our own.
//!
//! docs/running.md lists the statements. `#` begins a comment. A mistake is told with its line and column.

use crate::pod::Faults;
use havenplank::interface::{Build, Nanos};
use winnow::ascii::{alphanumeric1, dec_uint, float, space1};
use winnow::combinator::{alt, cut_err, opt, preceded, repeat, separated_pair};
use winnow::error::{ContextError, ErrMode, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::token::take_while;

type ParseResult<T> = Result<T, ErrMode<ContextError>>;

/// FaultKind a scenario is made of.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The settings script of its sidecars, as seen from the scenario file.
    pub settings: String,
    pub length: Nanos,
    /// Hits a second that clients ask for, their own retries not counted.
    pub rate: f64,
    pub sidecars: usize,
    pub pods: usize,
    pub cores: usize,
    pub speed: f64,
    pub queue: usize,
    pub initial_capacity: f64,
    pub warm_up: Nanos,
    pub zones: Vec<String>,
    pub loads: Vec<Load>,
    /// The share of the pods that each stage gets.
    pub stages: Vec<f64>,
    pub offers: Vec<Offer>,
    pub control: String,
    pub advance_quorum: f64,
    pub rollback_quorum: f64,
    /// How late the list tells of a change, and how often it looks.
    pub endpoint_list_delay: Nanos,
    pub endpoint_list_interval: Nanos,
    /// Shares of clients that try again, that heed advice to come back, and that leave early.
    pub retry: f64,
    pub heed_retry_after: f64,
    pub leave_early: f64,
    /// The share of wrong answers that clients report.
    pub report_wrong: f64,
    pub faults: Vec<TimedFault>,
}

/// FaultKind clients ask of a path group.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    pub route_class: String,
    pub work: Nanos,
    pub share: f64,
    pub keys: u64,
}

/// A build offered, and what is wrong with it.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    pub at: Nanos,
    pub bad: bool,
    pub faults: Faults,
    pub route_class: Option<String>,
    /// Bad only so long after its pods' start.
    pub fault_delay: Nanos,
    /// Slows all pods by this factor, in step with the share of traffic that it gets.
    pub shared_slowdown: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct TimedFault {
    pub at: Nanos,
    pub duration: Nanos,
    pub kind: FaultKind,
}

#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    Pods(usize, Faults),
    ZoneLost(String),
    NodesAway,
    NodesStale(Nanos),
    DeskAway,
    DeskLate(Nanos),
    /// Votes are counted, but their answers never come.
    DeskMute,
    Rate(f64),
    /// So many sidecars are killed, and come back after a while.
    Kill(usize, Nanos),
    /// All of them, so many at a time, one batch after the other over the event's span.
    Roll(usize, Nanos),
    /// So many are told to stop, and come back after a while.
    Stop(usize, Nanos),
    /// Pods that drain and are replaced.
    Drain(usize),
    /// Pods that die and are replaced.
    Die(usize),
}

impl Default for Scenario {
    fn default() -> Scenario {
        const S: Nanos = 1_000_000_000;
        Scenario {
            settings: "../site.star".to_string(),
            length: 30 * S,
            rate: 300.0,
            sidecars: 3,
            pods: 20,
            cores: 3,
            speed: 1.0,
            queue: 30,
            initial_capacity: 0.4,
            warm_up: 3 * S,
            zones: vec!["room-1".to_string()],
            loads: Vec::new(),
            stages: vec![0.1, 0.3, 0.6, 1.0],
            offers: Vec::new(),
            control: "count".to_string(),
            advance_quorum: 0.6,
            rollback_quorum: 0.3,
            endpoint_list_delay: S / 2,
            endpoint_list_interval: S / 4,
            retry: 0.5,
            heed_retry_after: 0.7,
            leave_early: 0.005,
            report_wrong: 0.5,
            faults: Vec::new(),
        }
    }
}

fn expected(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

fn name(input: &mut &str) -> ParseResult<String> {
    take_while(1..=64, |c: char| {
        c.is_ascii_alphanumeric() || "-_.".contains(c)
    })
    .map(str::to_string)
    .context(expected("a name"))
    .parse_next(input)
}

fn span(input: &mut &str) -> ParseResult<Nanos> {
    let unit = alt(("ms".value(1e6), "us".value(1e3), "s".value(1e9)));
    let parsed = (float, unit)
        .verify(|(n, unit): &(f64, f64)| n.is_finite() && *n >= 0.0 && n * unit < 1e14);
    parsed
        .map(|(n, unit)| (n * unit) as Nanos)
        .context(expected("a span such as 250ms or 3s"))
        .parse_next(input)
}

fn number(input: &mut &str) -> ParseResult<f64> {
    float
        .verify(|n: &f64| n.is_finite() && (0.0..=1e6).contains(n))
        .context(expected("a number that is not negative"))
        .parse_next(input)
}

fn share(input: &mut &str) -> ParseResult<f64> {
    float
        .verify(|n: &f64| (0.0..=1.0).contains(n))
        .context(expected("a share from 0 to 1"))
        .parse_next(input)
}

fn count(input: &mut &str) -> ParseResult<usize> {
    dec_uint::<_, u32, _>
        .verify(|n| *n <= 100_000)
        .map(|n| n as usize)
        .context(expected("a whole number up to 100000"))
        .parse_next(input)
}

/// ` word value`.
fn keyword_value<'a, T>(
    word: &'static str,
    value: impl Parser<&'a str, T, ErrMode<ContextError>>,
) -> impl Parser<&'a str, T, ErrMode<ContextError>> {
    preceded((space1, word, space1), cut_err(value))
}

/// Any of a fault's words, each with its value, in any order.
fn faults(input: &mut &str) -> ParseResult<(Faults, Option<String>, Nanos, f64)> {
    let (mut all, mut route_class, mut fault_delay, mut shared_slowdown) =
        (Faults::default(), None, 0, 1.0);
    loop {
        let start = *input;
        let word: Option<&str> = opt(preceded(space1, alphanumeric1)).parse_next(input)?;
        let Some(word) = word else {
            return Ok((all, route_class, fault_delay, shared_slowdown));
        };
        let mut share = || preceded(space1, cut_err(share)).parse_next(input);
        match word {
            "errors" => all.error = share()?,
            "wrong" => all.wrong = share()?,
            "resets" => all.reset_before = share()?,
            "breaks" => all.reset_after = share()?,
            "loses" => all.lose_answer = share()?,
            "hang" => all.hang = true,
            "refuse" => all.refuse = true,
            "slow" => {
                all.slow = preceded(space1, cut_err(number))
                    .parse_next(input)?
                    .max(0.1)
            }
            "busy" => {
                all.slow_busy = preceded(space1, cut_err(number))
                    .parse_next(input)?
                    .max(0.1)
            }
            "shared" => {
                shared_slowdown = preceded(space1, cut_err(number))
                    .parse_next(input)?
                    .max(1.0)
            }
            "connect" => all.slow_connect = preceded(space1, cut_err(span)).parse_next(input)?,
            "late" => fault_delay = preceded(space1, cut_err(span)).parse_next(input)?,
            "group" => route_class = Some(preceded(space1, cut_err(name)).parse_next(input)?),
            _ => {
                *input = start;
                return Ok((all, route_class, fault_delay, shared_slowdown));
            }
        }
    }
}

fn fault_kind(input: &mut &str) -> ParseResult<FaultKind> {
    let word = take_while(1.., |c: char| c.is_ascii_alphabetic());
    let known = "pods, zone, nodes, desk, rate, kill, roll, stop, drain or die";
    let word: &str = word.context(expected(known)).parse_next(input)?;
    space1.context(expected("a value")).parse_next(input)?;
    match word {
        "pods" => (count, faults)
            .map(|(count, (faults, ..))| FaultKind::Pods(count, faults))
            .parse_next(input),
        "zone" => (name, space1, "lost")
            .map(|(zone, ..)| FaultKind::ZoneLost(zone))
            .parse_next(input),
        "nodes" => alt((
            "away".value(FaultKind::NodesAway),
            keyword_span("stale").map(FaultKind::NodesStale),
        ))
        .context(expected("away, or stale and a span"))
        .parse_next(input),
        "desk" => {
            let how = (
                "away".value(FaultKind::DeskAway),
                "mute".value(FaultKind::DeskMute),
            );
            alt((how.0, how.1, keyword_span("late").map(FaultKind::DeskLate)))
                .context(expected("away, mute, or late and a span"))
                .parse_next(input)
        }
        "rate" => number.map(FaultKind::Rate).parse_next(input),
        "kill" => (count, keyword_value("down", span))
            .map(|(n, down)| FaultKind::Kill(n, down))
            .parse_next(input),
        "roll" => (count, keyword_value("down", span))
            .map(|(n, down)| FaultKind::Roll(n, down))
            .parse_next(input),
        "stop" => (count, keyword_value("down", span))
            .map(|(n, down)| FaultKind::Stop(n, down))
            .parse_next(input),
        "drain" => count.map(FaultKind::Drain).parse_next(input),
        "die" => count.map(FaultKind::Die).parse_next(input),
        _ => {
            let mut error = ContextError::new();
            error.push(expected(known));
            Err(ErrMode::Cut(error))
        }
    }
}

fn keyword_span<'a>(word: &'static str) -> impl Parser<&'a str, Nanos, ErrMode<ContextError>> {
    preceded((word, space1), cut_err(span))
}

fn timed_fault(input: &mut &str) -> ParseResult<TimedFault> {
    let (at, duration, _, kind) =
        (span, opt(keyword_value("for", span)), space1, fault_kind).parse_next(input)?;
    Ok(TimedFault {
        at,
        duration: duration.unwrap_or(0),
        kind,
    })
}

fn offer(input: &mut &str) -> ParseResult<Offer> {
    let kind = alt(("good".value(false), "bad".value(true))).context(expected("good or bad"));
    let (at, _, bad, (faults, route_class, fault_delay, shared_slowdown)) =
        (span, space1, kind, faults).parse_next(input)?;
    Ok(Offer {
        at,
        bad,
        faults,
        route_class,
        fault_delay,
        shared_slowdown,
    })
}

fn load(input: &mut &str) -> ParseResult<Load> {
    let (route_class, _, work) = (name, space1, span).parse_next(input)?;
    let (share, keys) = (
        keyword_value("share", share),
        opt(keyword_value("keys", count)),
    )
        .parse_next(input)?;
    Ok(Load {
        route_class,
        work,
        share,
        keys: keys.unwrap_or(1_000).max(1) as u64,
    })
}

/// Reads one statement into the scenario.
fn statement(scenario: &mut Scenario, input: &mut &str) -> ParseResult<()> {
    let word = take_while(1.., |c: char| c.is_ascii_alphabetic() || c == '_');
    let word: &str = word.context(expected("a statement")).parse_next(input)?;
    space1.context(expected("a value")).parse_next(input)?;
    match word {
        "settings" => scenario.settings = settings_path(input)?,
        "length" => scenario.length = span(input)?,
        "rate" => scenario.rate = number(input)?,
        "sidecars" => scenario.sidecars = count(input)?.max(1),
        "pods" => pods(scenario, input)?,
        "zones" => scenario.zones = one_or_more(name, input)?,
        "work" => scenario.loads.push(load(input)?),
        "stages" => scenario.stages = one_or_more(share, input)?,
        "offer" => scenario.offers.push(offer(input)?),
        "control" => control(scenario, input)?,
        "notice" => {
            let both = separated_pair(span, (space1, "period", space1), span);
            (
                scenario.endpoint_list_delay,
                scenario.endpoint_list_interval,
            ) = { both }.parse_next(input)?;
        }
        "clients" => clients(scenario, input)?,
        "at" => scenario.faults.push(timed_fault(input)?),
        _ => return Err(unknown_statement()),
    }
    Ok(())
}

fn settings_path(input: &mut &str) -> ParseResult<String> {
    take_while(1..=256, |c: char| c.is_ascii_graphic())
        .map(str::to_string)
        .parse_next(input)
}

/// One value or more, with spaces between them.
fn one_or_more<'a, T>(
    mut value: impl FnMut(&mut &'a str) -> ParseResult<T>,
    input: &mut &'a str,
) -> ParseResult<Vec<T>> {
    let first = value(input)?;
    let more: Vec<T> = repeat(0.., preceded(space1, value)).parse_next(input)?;
    Ok(std::iter::once(first).chain(more).collect())
}

/// The pods' number and, where given, what each can do.
fn pods(scenario: &mut Scenario, input: &mut &str) -> ParseResult<()> {
    scenario.pods = count(input)?.max(1);
    let more = (
        opt(keyword_value("cores", count)),
        opt(keyword_value("speed", number)),
        opt(keyword_value("queue", count)),
        opt(keyword_value("cold", share)),
        opt(keyword_value("warm", span)),
    );
    let (cores, speed, queue, cold, warm) = { more }.parse_next(input)?;
    scenario.cores = cores.unwrap_or(scenario.cores).max(1);
    scenario.speed = speed.unwrap_or(scenario.speed).max(0.01);
    scenario.queue = queue.unwrap_or(scenario.queue);
    scenario.initial_capacity = cold.unwrap_or(scenario.initial_capacity);
    scenario.warm_up = warm.unwrap_or(scenario.warm_up);
    Ok(())
}

/// Who moves the stages, and the quorums.
fn control(scenario: &mut Scenario, input: &mut &str) -> ParseResult<()> {
    let kinds = alt(("any", "count", "clock")).context(expected("any, count or clock"));
    scenario.control = { kinds }.map(str::to_string).parse_next(input)?;
    let quorums = (
        opt(keyword_value("on", share)),
        opt(keyword_value("back", share)),
    );
    let (advance, rollback) = { quorums }.parse_next(input)?;
    scenario.advance_quorum = advance.unwrap_or(scenario.advance_quorum);
    scenario.rollback_quorum = rollback.unwrap_or(scenario.rollback_quorum);
    Ok(())
}

/// The shares of clients that retry, heed advice, leave early and report wrong answers.
fn clients(scenario: &mut Scenario, input: &mut &str) -> ParseResult<()> {
    let shares = (
        share,
        keyword_value("honour", share),
        keyword_value("impatient", share),
        keyword_value("flagged", share),
    );
    (
        scenario.retry,
        scenario.heed_retry_after,
        scenario.leave_early,
        scenario.report_wrong,
    ) = { shares }.parse_next(input)?;
    Ok(())
}

fn unknown_statement() -> ErrMode<ContextError> {
    let known = "settings, length, rate, sidecars, pods, zones, work, stages, offer, control, notice, clients, at";
    let mut error = ContextError::new();
    error.push(expected(known));
    ErrMode::Cut(error)
}

/// Reads a scenario file.
///
/// # Errors
/// Every line that is wrong, with its column and what was expected.
pub fn read(text: &str) -> Result<Scenario, Vec<String>> {
    let (mut scenario, mut problems) = (Scenario::default(), Vec::new());
    for (n, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or("").trim();
        if line.is_empty() {
            continue;
        }
        let mut rest = line;
        let parsed = statement(&mut scenario, &mut rest);
        let column = line.len() - rest.len() + 1;
        match parsed {
            Ok(()) if rest.is_empty() => {}
            Ok(()) => problems.push(format!(
                "line {}: column {column}: nothing more was expected",
                n + 1
            )),
            Err(error) => {
                let error = error
                    .into_inner()
                    .map(|error| error.to_string().replace('\n', "; "));
                let error = error.unwrap_or_else(|_| "more was expected".to_string());
                problems.push(format!("line {}: column {column}: {error}", n + 1));
            }
        }
    }
    if scenario.loads.is_empty() {
        problems.push("no work; expected a line such as work query 60ms share 0.8".to_string());
    }
    match problems.is_empty() {
        true => Ok(scenario),
        false => Err(problems),
    }
}

/// How many of `all` a share stands for, one at least.
pub fn share_of(share: f64, all: usize) -> usize {
    ((share * all as f64).ceil() as usize).clamp(1, all.max(1))
}

/// Builds are numbered from 1, the one that runs at the start.
pub const FIRST_BUILD: Build = 1;
