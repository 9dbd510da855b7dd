//! What a trace comes to: by span, build, path group and pod.

use crate::file::{Reader, TraceError};
use crate::record::{Card, Record, What};
use crate::request_timelines::{Answer, RequestTimeline, RequestTimelines};
use havenplank::interface::*;
use havenplank_sidecar::engine::Effect;
use havenplank_sidecar::events::Event;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, HashMap};
use std::io::{Read, Seek};
use std::sync::Arc;

/// Spans of one summary.
const SPANS: u64 = 10_000;
/// Rows for pods and for builds and path groups, each; what comes after counts as "others".
const ROWS: usize = 20_000;

/// The figures of some hits and forwards.
#[derive(Clone, Debug)]
pub struct Figures {
    pub hits: u64,
    pub delivered: u64,
    /// Of those delivered, within their target latency.
    pub in_time: u64,
    pub bounced: u64,
    pub errored: u64,
    /// The client went away.
    pub left: u64,
    /// Forwards by how they ended; those without an end are not counted.
    pub forwards: BTreeMap<&'static str, u64>,
    /// From taken to delivered, in microseconds, to three digits.
    pub latency: Option<Histogram<u32>>,
}

impl Default for Figures {
    fn default() -> Figures {
        let forwards = BTreeMap::new();
        let latency = Histogram::new_with_max(600_000_000, 3)
            .ok()
            .map(|mut latency| {
                latency.auto(true);
                latency
            });
        Figures {
            hits: 0,
            delivered: 0,
            in_time: 0,
            bounced: 0,
            errored: 0,
            left: 0,
            forwards,
            latency,
        }
    }
}

impl Figures {
    fn answered(&mut self, timeline: &RequestTimeline, target: Nanos) {
        self.hits += 1;
        let Some((answer, at)) = timeline.answer else {
            return;
        };
        let took = at.saturating_sub(timeline.began);
        match answer {
            Answer::Delivered => {
                self.delivered += 1;
                self.in_time += (took <= target) as u64;
                self.latency
                    .iter_mut()
                    .for_each(|latency| latency.saturating_record(took / 1_000));
            }
            Answer::Rejected => self.bounced += 1,
            Answer::Failed => self.errored += 1,
            Answer::ClientLeft => self.left += 1,
        }
    }

    fn forward(&mut self, end: AttemptEnd) {
        *self.forwards.entry(ended(end)).or_default() += 1;
    }

    /// A quantile of the latency of what was delivered, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        let latency = self.latency.as_ref().filter(|latency| !latency.is_empty());
        latency.map_or(0.0, |latency| {
            latency.value_at_quantile(quantile) as f64 / 1_000.0
        })
    }
}

/// How a forward's end is called wherever one is shown.
pub fn ended(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Served => "delivered",
        AttemptEnd::Failed => "error",
        AttemptEnd::Rejected => "full",
        AttemptEnd::TimedOut => "time_out",
        AttemptEnd::ConnectFailed => "no_connection",
        AttemptEnd::Reset => "reset",
        AttemptEnd::Cancelled => "cancelled",
        AttemptEnd::NotSent => "not_sent",
    }
}

/// What an unreleased build got of one sidecar's hits, in windows of the exposure's own length side by side.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Exposed {
    pub hits: u64,
    /// All hits that were taken while it was unreleased.
    pub taken: u64,
    /// The most that a window used of what its cap left, 1 for all of it.
    pub most: f64,
    pub windows: u64,
}

/// Rows by name. Those of one span have no latencies, as these would take most of the memory.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    pub records: u64,
    pub hits: u64,
    /// Records of kinds that this program does not know.
    pub skipped: u64,
    /// Hits whose records end before they do: in flight at the end, or torn by lost records.
    pub unfinished: u64,
    pub lost_hits: u64,
    pub lost_records: u64,
    pub first: Nanos,
    pub last: Nanos,
    /// By build (0 where a hit got no forward) and path group.
    pub builds: BTreeMap<(Build, String), Figures>,
    /// By pod and its build: only its forwards.
    pub pods: BTreeMap<(String, Build), BTreeMap<&'static str, u64>>,
    /// By the span's beginning and build: hits, delivered, in time, bounced, errored.
    pub spans: BTreeMap<(Nanos, Build), [u64; 5]>,
    /// By sidecar and build.
    pub exposed: BTreeMap<(String, Build), Exposed>,
    /// By build, stage and voice.
    pub votes: BTreeMap<(Build, usize, &'static str), u64>,
}

/// One source's window of exposure that is open.
#[derive(Default)]
struct Window {
    began: Nanos,
    taken: HashMap<RouteClassId, f64>,
    exposed: HashMap<RouteClassId, f64>,
    least_cap: f64,
    build: Build,
}

/// Returns the word for a vote in summaries and in the JSON view.
pub fn vote_name(voice: Vote) -> &'static str {
    match voice {
        Vote::None => "none",
        Vote::Advance => "on",
        Vote::Hold => "hold",
        Vote::RollBack => "back",
    }
}

/// Reads a file to its end, or to where it is damaged. Holds a block, the hits in flight, and the rows.
///
/// # Errors
/// A span so short that the file has more than 10,000 of them.
pub fn summarise<R: Read + Seek>(
    reader: &mut Reader<R>,
    span: Option<Nanos>,
) -> Result<(Summary, Option<TraceError>), TraceError> {
    let mut summary = Summary::default();
    (summary.first, summary.last) = reader.span().unwrap_or_default();
    if span.is_some_and(|span| summary.last.saturating_sub(summary.first) / span.max(1) > SPANS) {
        let why = format!("more than {SPANS} spans; expected a longer one");
        return Err(TraceError::Unfit(why));
    }
    let mut timelines = RequestTimelines::new(&reader.head.sources);
    let mut windows: Vec<Window> = reader
        .head
        .sources
        .iter()
        .map(|_| Window::default())
        .collect();
    let damage = loop {
        let record = match reader.record() {
            Ok(Some(record)) => record,
            Ok(None) => break None,
            Err(error) => break Some(error),
        };
        summary.records += 1;
        summary.count(&record);
        windows[record.source].record(&record, reader, &timelines, &mut summary);
        if let Some(timeline) = timelines.record(&record) {
            let (name, rules) = match reader.head.sources[timeline.source]
                .terms
                .route_classes
                .get(timeline.route_class)
            {
                Some((name, rules)) => (name.as_str(), rules.latency_objective),
                None => ("unknown", 0),
            };
            summary.timeline(&timeline, name, rules, span);
        }
    };
    for (window, source) in windows.iter_mut().zip(&reader.head.sources) {
        window.close(&source.terms.name, &source.terms.exposure, &mut summary);
    }
    summary.unfinished = timelines.torn + timelines.in_flight() as u64;
    summary.skipped = reader.skipped();
    Ok((summary, damage))
}

/// The row of a name, or the one of all others where there are too many.
fn row<K: Ord, V: Default>(rows: &mut BTreeMap<K, V>, key: K, others: K) -> &mut V {
    let key = if rows.len() < ROWS || rows.contains_key(&key) {
        key
    } else {
        others
    };
    rows.entry(key).or_default()
}

impl Summary {
    fn count(&mut self, record: &Record) {
        match &record.what {
            What::Event(Event::RequestArrived { .. }) => self.hits += 1,
            What::Lost { hits, records } => {
                self.lost_hits += hits;
                self.lost_records += records;
            }
            What::Effect(Effect::CastVote {
                build,
                stage,
                vote: said,
                ..
            }) => {
                *row(
                    &mut self.votes,
                    (*build, *stage, vote_name(*said)),
                    (0, 0, "others"),
                ) += 1;
            }
            _ => {}
        }
    }

    fn timeline(
        &mut self,
        timeline: &RequestTimeline,
        group: &str,
        target: Nanos,
        span: Option<Nanos>,
    ) {
        let by = timeline
            .delivered_by
            .and_then(|nth| timeline.attempts.get(nth))
            .or(timeline.attempts.last());
        let build = by
            .and_then(|forward| forward.pod.as_ref())
            .map_or(0, |pod| pod.build);
        let others = || (0, "others".to_string());
        row(&mut self.builds, (build, group.to_string()), others()).answered(timeline, target);
        for forward in &timeline.attempts {
            let (Some(pod), Some((end, _))) = (&forward.pod, forward.end) else {
                continue;
            };
            row(&mut self.builds, (pod.build, group.to_string()), others()).forward(end);
            let ends = row(
                &mut self.pods,
                (pod.name.clone(), pod.build),
                ("others".to_string(), 0),
            );
            *ends.entry(ended(end)).or_default() += 1;
        }
        let (Some(span), Some((answer, at))) = (span, timeline.answer) else {
            return;
        };
        let span = span.max(1);
        let began = self
            .first
            .saturating_add(timeline.began.saturating_sub(self.first) / span * span);
        let figures = row(&mut self.spans, (began, build), (0, 0));
        figures[0] += 1;
        figures[1] += (answer == Answer::Delivered) as u64;
        figures[2] +=
            (answer == Answer::Delivered && at.saturating_sub(timeline.began) <= target) as u64;
        figures[3] += (answer == Answer::Rejected) as u64;
        figures[4] += (answer == Answer::Failed) as u64;
    }
}

impl Window {
    fn record<R: Read + Seek>(
        &mut self,
        record: &Record,
        reader: &Reader<R>,
        timelines: &RequestTimelines,
        summary: &mut Summary,
    ) {
        let source = &reader.head.sources[record.source];
        let (name, rules) = (&source.terms.name, &source.terms.exposure);
        let stage = reader
            .standing
            .iter()
            .find(|standing| standing.source == record.source);
        let trial = stage
            .map(|standing| standing.stage)
            .filter(|stage| stage.phase != Phase::Released);
        let build = trial.map_or(0, |stage| stage.build);
        if build != self.build || record.at.saturating_sub(self.began) >= rules.window.max(1) {
            self.close(name, rules, summary);
            (self.began, self.build) = (record.at, build);
            self.least_cap = trial.map_or(1.0, |stage| stage.cap);
        }
        let Some(stage) = trial else { return };
        // A cap that is lowered within a window is the one that counts from its news on: the lower is shown.
        self.least_cap = self.least_cap.min(stage.cap);
        let of = |group: RouteClassId| if rules.per_class { group } else { 0 };
        match &record.what {
            What::Event(Event::RequestArrived {
                attributes: asked, ..
            }) => *self.taken.entry(of(asked.route_class)).or_default() += 1.0,
            What::Effect(Effect::SendAttempt { request: hit, .. }) => {
                let is_trial =
                    |pod: &Option<Arc<Card>>| pod.as_ref().is_some_and(|pod| pod.build == build);
                let timeline = timelines.get(record.source, *hit);
                // A hit counts once, however many of its forwards go there.
                let first = |timeline: &&RequestTimeline| {
                    !timeline
                        .attempts
                        .iter()
                        .any(|forward| is_trial(&forward.pod))
                };
                if let Some(timeline) = timeline.filter(first).filter(|_| is_trial(&record.pod)) {
                    *self.exposed.entry(of(timeline.route_class)).or_default() += 1.0;
                }
            }
            _ => {}
        }
    }

    fn close(&mut self, name: &str, rules: &ExposureSettings, summary: &mut Summary) {
        let (taken, exposed): (f64, f64) = (self.taken.values().sum(), self.exposed.values().sum());
        if self.build != 0 && taken + exposed > 0.0 {
            let sum = row(
                &mut summary.exposed,
                (name.to_string(), self.build),
                ("others".to_string(), 0),
            );
            sum.hits += exposed as u64;
            sum.taken += taken as u64;
            sum.windows += 1;
            for (group, exposed) in &self.exposed {
                let taken = self.taken.get(group).copied().unwrap_or(0.0);
                sum.most = sum
                    .most
                    .max(exposed / (rules.free_attempts + self.least_cap * taken).max(1e-9));
            }
        }
        *self = Window::default();
    }
}
