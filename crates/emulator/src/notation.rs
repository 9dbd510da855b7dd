//! Day files: who is there and what goes wrong when, a statement a line, in a notation of our own.
//!
//! docs/running.md lists the statements. `#` begins a comment. A mistake is told with its line and column.

use crate::pod::Faults;
use havenplank::interface::{Build, Nanos};
use winnow::ascii::{alphanumeric1, dec_uint, float, space1};
use winnow::combinator::{alt, cut_err, opt, preceded, repeat, separated_pair};
use winnow::error::{ContextError, ErrMode, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::token::take_while;

type Res<T> = Result<T, ErrMode<ContextError>>;

/// What a day is made of.
#[derive(Clone, Debug)]
pub struct Day {
    /// The settings script of its sidecars, as seen from the day file.
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
    pub notice: Nanos,
    pub period: Nanos,
    /// Shares of clients that try again, that heed advice to come back, and that leave early.
    pub retries: f64,
    pub honour: f64,
    pub impatient: f64,
    /// The share of wrong answers that clients report.
    pub flagged: f64,
    pub events: Vec<Event>,
}

/// What clients ask of a path group.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    pub group: String,
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
    pub group: Option<String>,
    /// Bad only so long after its pods' start.
    pub late: Nanos,
    /// Slows all pods by this factor, in step with the share of traffic that it gets.
    pub shared: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    pub at: Nanos,
    pub lasts: Nanos,
    pub what: What,
}

#[derive(Clone, Debug, PartialEq)]
pub enum What {
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

impl Default for Day {
    fn default() -> Day {
        const S: Nanos = 1_000_000_000;
        Day {
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
            notice: S / 2,
            period: S / 4,
            retries: 0.5,
            honour: 0.7,
            impatient: 0.005,
            flagged: 0.5,
            events: Vec::new(),
        }
    }
}

fn want(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

fn name(input: &mut &str) -> Res<String> {
    take_while(1..=64, |c: char| {
        c.is_ascii_alphanumeric() || "-_.".contains(c)
    })
    .map(str::to_string)
    .context(want("a name"))
    .parse_next(input)
}

fn span(input: &mut &str) -> Res<Nanos> {
    let unit = alt(("ms".value(1e6), "us".value(1e3), "s".value(1e9)));
    let told = (float, unit)
        .verify(|(n, unit): &(f64, f64)| n.is_finite() && *n >= 0.0 && n * unit < 1e14);
    told.map(|(n, unit)| (n * unit) as Nanos)
        .context(want("a span such as 250ms or 3s"))
        .parse_next(input)
}

fn number(input: &mut &str) -> Res<f64> {
    float
        .verify(|n: &f64| n.is_finite() && (0.0..=1e6).contains(n))
        .context(want("a number that is not negative"))
        .parse_next(input)
}

fn share(input: &mut &str) -> Res<f64> {
    float
        .verify(|n: &f64| (0.0..=1.0).contains(n))
        .context(want("a share from 0 to 1"))
        .parse_next(input)
}

fn count(input: &mut &str) -> Res<usize> {
    dec_uint::<_, u32, _>
        .verify(|n| *n <= 100_000)
        .map(|n| n as usize)
        .context(want("a whole number up to 100000"))
        .parse_next(input)
}

/// ` word value`.
fn with<'a, T>(
    word: &'static str,
    value: impl Parser<&'a str, T, ErrMode<ContextError>>,
) -> impl Parser<&'a str, T, ErrMode<ContextError>> {
    preceded((space1, word, space1), cut_err(value))
}

/// Any of a fault's words, each with its value, in any order.
fn faults(input: &mut &str) -> Res<(Faults, Option<String>, Nanos, f64)> {
    let (mut all, mut group, mut late, mut shared) = (Faults::default(), None, 0, 1.0);
    loop {
        let start = *input;
        let word: Option<&str> = opt(preceded(space1, alphanumeric1)).parse_next(input)?;
        let Some(word) = word else {
            return Ok((all, group, late, shared));
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
                shared = preceded(space1, cut_err(number))
                    .parse_next(input)?
                    .max(1.0)
            }
            "connect" => all.slow_connect = preceded(space1, cut_err(span)).parse_next(input)?,
            "late" => late = preceded(space1, cut_err(span)).parse_next(input)?,
            "group" => group = Some(preceded(space1, cut_err(name)).parse_next(input)?),
            _ => {
                *input = start;
                return Ok((all, group, late, shared));
            }
        }
    }
}

fn what(input: &mut &str) -> Res<What> {
    let word = take_while(1.., |c: char| c.is_ascii_alphabetic());
    let known = "pods, zone, nodes, desk, rate, kill, roll, stop, drain or die";
    let word: &str = word.context(want(known)).parse_next(input)?;
    space1.context(want("a value")).parse_next(input)?;
    match word {
        "pods" => (count, faults)
            .map(|(count, (faults, ..))| What::Pods(count, faults))
            .parse_next(input),
        "zone" => (name, space1, "lost")
            .map(|(zone, ..)| What::ZoneLost(zone))
            .parse_next(input),
        "nodes" => alt((
            "away".value(What::NodesAway),
            with_span("stale").map(What::NodesStale),
        ))
        .context(want("away, or stale and a span"))
        .parse_next(input),
        "desk" => {
            let how = ("away".value(What::DeskAway), "mute".value(What::DeskMute));
            alt((how.0, how.1, with_span("late").map(What::DeskLate)))
                .context(want("away, mute, or late and a span"))
                .parse_next(input)
        }
        "rate" => number.map(What::Rate).parse_next(input),
        "kill" => (count, with("down", span))
            .map(|(n, down)| What::Kill(n, down))
            .parse_next(input),
        "roll" => (count, with("down", span))
            .map(|(n, down)| What::Roll(n, down))
            .parse_next(input),
        "stop" => (count, with("down", span))
            .map(|(n, down)| What::Stop(n, down))
            .parse_next(input),
        "drain" => count.map(What::Drain).parse_next(input),
        "die" => count.map(What::Die).parse_next(input),
        _ => {
            let mut error = ContextError::new();
            error.push(want(known));
            Err(ErrMode::Cut(error))
        }
    }
}

fn with_span<'a>(word: &'static str) -> impl Parser<&'a str, Nanos, ErrMode<ContextError>> {
    preceded((word, space1), cut_err(span))
}

fn event(input: &mut &str) -> Res<Event> {
    let (at, lasts, _, what) = (span, opt(with("for", span)), space1, what).parse_next(input)?;
    Ok(Event {
        at,
        lasts: lasts.unwrap_or(0),
        what,
    })
}

fn offer(input: &mut &str) -> Res<Offer> {
    let kind = alt(("good".value(false), "bad".value(true))).context(want("good or bad"));
    let (at, _, bad, (faults, group, late, shared)) =
        (span, space1, kind, faults).parse_next(input)?;
    Ok(Offer {
        at,
        bad,
        faults,
        group,
        late,
        shared,
    })
}

fn load(input: &mut &str) -> Res<Load> {
    let (group, _, work) = (name, space1, span).parse_next(input)?;
    let (share, keys) = (with("share", share), opt(with("keys", count))).parse_next(input)?;
    Ok(Load {
        group,
        work,
        share,
        keys: keys.unwrap_or(1_000).max(1) as u64,
    })
}

/// Reads one statement into the scenario.
fn statement(day: &mut Day, input: &mut &str) -> Res<()> {
    let word = take_while(1.., |c: char| c.is_ascii_alphabetic() || c == '_');
    let word: &str = word.context(want("a statement")).parse_next(input)?;
    space1.context(want("a value")).parse_next(input)?;
    match word {
        "settings" => day.settings = settings_path(input)?,
        "length" => day.length = span(input)?,
        "rate" => day.rate = number(input)?,
        "sidecars" => day.sidecars = count(input)?.max(1),
        "pods" => pods(day, input)?,
        "zones" => day.zones = one_or_more(name, input)?,
        "work" => day.loads.push(load(input)?),
        "stages" => day.stages = one_or_more(share, input)?,
        "offer" => day.offers.push(offer(input)?),
        "control" => control(day, input)?,
        "notice" => {
            let both = separated_pair(span, (space1, "period", space1), span);
            (day.notice, day.period) = { both }.parse_next(input)?;
        }
        "clients" => clients(day, input)?,
        "at" => day.events.push(event(input)?),
        _ => return Err(unknown_statement()),
    }
    Ok(())
}

fn settings_path(input: &mut &str) -> Res<String> {
    take_while(1..=256, |c: char| c.is_ascii_graphic())
        .map(str::to_string)
        .parse_next(input)
}

/// One value or more, with spaces between them.
fn one_or_more<'a, T>(
    mut value: impl FnMut(&mut &'a str) -> Res<T>,
    input: &mut &'a str,
) -> Res<Vec<T>> {
    let first = value(input)?;
    let more: Vec<T> = repeat(0.., preceded(space1, value)).parse_next(input)?;
    Ok(std::iter::once(first).chain(more).collect())
}

/// The pods' number and, where given, what each can do.
fn pods(day: &mut Day, input: &mut &str) -> Res<()> {
    day.pods = count(input)?.max(1);
    let more = (
        opt(with("cores", count)),
        opt(with("speed", number)),
        opt(with("queue", count)),
        opt(with("cold", share)),
        opt(with("warm", span)),
    );
    let (cores, speed, queue, cold, warm) = { more }.parse_next(input)?;
    day.cores = cores.unwrap_or(day.cores).max(1);
    day.speed = speed.unwrap_or(day.speed).max(0.01);
    day.queue = queue.unwrap_or(day.queue);
    day.initial_capacity = cold.unwrap_or(day.initial_capacity);
    day.warm_up = warm.unwrap_or(day.warm_up);
    Ok(())
}

/// Who moves the stages, and the quorums.
fn control(day: &mut Day, input: &mut &str) -> Res<()> {
    let kinds = alt(("any", "count", "clock")).context(want("any, count or clock"));
    day.control = { kinds }.map(str::to_string).parse_next(input)?;
    let quorums = (opt(with("on", share)), opt(with("back", share)));
    let (advance, rollback) = { quorums }.parse_next(input)?;
    day.advance_quorum = advance.unwrap_or(day.advance_quorum);
    day.rollback_quorum = rollback.unwrap_or(day.rollback_quorum);
    Ok(())
}

/// The shares of clients that retry, heed advice, leave early and report wrong answers.
fn clients(day: &mut Day, input: &mut &str) -> Res<()> {
    let shares = (
        share,
        with("honour", share),
        with("impatient", share),
        with("flagged", share),
    );
    (day.retries, day.honour, day.impatient, day.flagged) = { shares }.parse_next(input)?;
    Ok(())
}

fn unknown_statement() -> ErrMode<ContextError> {
    let known = "settings, length, rate, sidecars, pods, zones, work, stages, offer, control, notice, clients, at";
    let mut error = ContextError::new();
    error.push(want(known));
    ErrMode::Cut(error)
}

/// Reads a day file.
///
/// # Errors
/// Every line that is wrong, with its column and what was expected.
pub fn read(text: &str) -> Result<Day, Vec<String>> {
    let (mut day, mut problems) = (Day::default(), Vec::new());
    for (n, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or("").trim();
        if line.is_empty() {
            continue;
        }
        let mut rest = line;
        let said = statement(&mut day, &mut rest);
        let column = line.len() - rest.len() + 1;
        match said {
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
    if day.loads.is_empty() {
        problems.push("no work; expected a line such as work query 60ms share 0.8".to_string());
    }
    match problems.is_empty() {
        true => Ok(day),
        false => Err(problems),
    }
}

/// How many of `all` a share stands for, one at least.
pub fn part(share: f64, all: usize) -> usize {
    ((share * all as f64).ceil() as usize).clamp(1, all.max(1))
}

/// Builds are numbered from 1, the one that runs at the start.
pub const FIRST: Build = 1;
