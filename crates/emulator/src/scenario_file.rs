//! Parses scenario files: what runs and which faults are injected when, one statement per line.
//!
//! docs/running.md lists the statements. `#` begins a comment. Errors name the line and the column.

use crate::pod::Faults;
use havenplank::interface::{Build, Nanos};
use winnow::ascii::{alphanumeric1, dec_uint, float, space1};
use winnow::combinator::{alt, cut_err, opt, preceded, repeat, separated_pair};
use winnow::error::{ContextError, ErrMode, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::token::take_while;

type ParseResult<T> = Result<T, ErrMode<ContextError>>;

/// A scenario: what runs, under which load, and which faults are injected. Times are in nanoseconds.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Path of the sidecars' settings script, relative to the scenario file.
    pub settings: String,
    /// How long clients send requests.
    pub length: Nanos,
    /// Requests per second that clients send, retries not counted.
    pub rate: f64,
    /// Number of sidecars.
    pub sidecars: usize,
    /// Number of pods of a complete release.
    pub pods: usize,
    /// Requests that a pod runs at one time.
    pub cores: usize,
    /// Nanoseconds of work that a warm core does in a nanosecond.
    pub speed: f64,
    /// Maximum number of requests that wait for a core of a pod.
    pub queue: usize,
    /// Share of its capacity that a pod has at its start.
    pub initial_capacity: f64,
    /// How long the slow start of a pod takes.
    pub warm_up: Nanos,
    /// The zones that pods and sidecars are spread over.
    pub zones: Vec<String>,
    /// The load by route class.
    pub loads: Vec<Load>,
    /// The share of the pods that run a build on trial, by stage.
    pub stages: Vec<f64>,
    /// The builds that the control plane offers.
    pub offers: Vec<Offer>,
    /// What advances stages: `any` (one vote), `count` (a quorum) or `clock` (time).
    pub control: String,
    /// Share of the sidecars whose votes advance a stage.
    pub advance_quorum: f64,
    /// Share of the sidecars whose votes roll a build back.
    pub rollback_quorum: f64,
    /// How long after a change of the pods the endpoint list announces it.
    pub endpoint_list_delay: Nanos,
    /// How often the endpoint list is checked for changes.
    pub endpoint_list_interval: Nanos,
    /// Share of clients that retry.
    pub retry: f64,
    /// Share of clients that heed the advice when to retry.
    pub heed_retry_after: f64,
    /// Share of clients that leave before their timeout.
    pub leave_early: f64,
    /// Share of wrong answers that clients report.
    pub report_wrong: f64,
    /// The faults to inject.
    pub faults: Vec<TimedFault>,
}

/// The load of one route class.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// The name of the route class.
    pub route_class: String,
    /// Mean work of a request, in nanoseconds of a core.
    pub work: Nanos,
    /// Share of all requests, relative to the shares of the other loads.
    pub share: f64,
    /// Number of different idempotency keys.
    pub keys: u64,
}

/// A build that the control plane offers, and its faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// When it is offered.
    pub at: Nanos,
    /// Whether the scenario calls it bad.
    pub bad: bool,
    /// Faults of its pods.
    pub faults: Faults,
    /// The only route class with errors; all classes if not set.
    pub route_class: Option<String>,
    /// How long after the start of a pod its faults begin.
    pub fault_delay: Nanos,
    /// Factor by which it slows the pods of all builds, weighted by its share of the traffic.
    pub shared_slowdown: f64,
}

/// A fault, and when it is injected.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedFault {
    /// When it begins.
    pub at: Nanos,
    /// How long it lasts.
    pub duration: Nanos,
    /// What is injected.
    pub kind: FaultKind,
}

/// A kind of fault, as a line `at` of a scenario names it. Logs show the names of the variants.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// This many pods have these faults.
    Pods(usize, Faults),
    /// All pods of a zone are killed, and replaced afterwards.
    ZoneLost(String),
    /// The discovery service is unavailable.
    NodesAway,
    /// The endpoint list is stale by this long.
    NodesStale(Nanos),
    /// The control plane is unavailable.
    DeskAway,
    /// Stages are announced later by this long.
    DeskLate(Nanos),
    /// Votes are counted but not answered.
    DeskMute,
    /// Factor on the request rate.
    Rate(f64),
    /// This many sidecars are killed, and restarted after this long.
    Kill(usize, Nanos),
    /// All sidecars are killed and restarted after this long, in batches of this size that are spread over the
    /// duration.
    Roll(usize, Nanos),
    /// This many sidecars are asked to stop, and restarted after this long.
    Stop(usize, Nanos),
    /// This many pods drain and are replaced.
    Drain(usize),
    /// This many pods die and are replaced.
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

/// Describes what the parser expected, for its error message.
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

/// A time span with its unit, in nanoseconds.
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

/// Parses ` keyword value`.
fn keyword_value<'a, T>(
    word: &'static str,
    value: impl Parser<&'a str, T, ErrMode<ContextError>>,
) -> impl Parser<&'a str, T, ErrMode<ContextError>> {
    preceded((space1, word, space1), cut_err(value))
}

/// Parses the faults of pods or of a build, each with its value, in any order.
///
/// Returns them with the route class, the delay and the shared slowdown.
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
    let keywords = "pods, zone, nodes, desk, rate, kill, roll, stop, drain or die";
    let word: &str = word.context(expected(keywords)).parse_next(input)?;
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
            let states = (
                "away".value(FaultKind::DeskAway),
                "mute".value(FaultKind::DeskMute),
            );
            alt((
                states.0,
                states.1,
                keyword_span("late").map(FaultKind::DeskLate),
            ))
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
            error.push(expected(keywords));
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

/// Parses one statement into the scenario.
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

/// Parses one value or more, separated by spaces.
fn one_or_more<'a, T>(
    mut value: impl FnMut(&mut &'a str) -> ParseResult<T>,
    input: &mut &'a str,
) -> ParseResult<Vec<T>> {
    let first = value(input)?;
    let more: Vec<T> = repeat(0.., preceded(space1, value)).parse_next(input)?;
    Ok(std::iter::once(first).chain(more).collect())
}

/// Parses the number of pods and, where given, what each can do.
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

/// Parses what advances stages, and the quorums.
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

/// Parses the shares of clients that retry, heed advice when to retry, leave early and report wrong answers.
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
    let keywords = "settings, length, rate, sidecars, pods, zones, work, stages, offer, control, notice, clients, at";
    let mut error = ContextError::new();
    error.push(expected(keywords));
    ErrMode::Cut(error)
}

/// Parses a scenario file.
///
/// # Errors
/// Returns a message for each invalid line, with the column and what was expected.
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

/// A share of `all`, rounded up, at least 1.
pub fn share_of(share: f64, all: usize) -> usize {
    ((share * all as f64).ceil() as usize).clamp(1, all.max(1))
}

/// The build that runs at the start; builds are numbered from it.
pub const FIRST_BUILD: Build = 1;
