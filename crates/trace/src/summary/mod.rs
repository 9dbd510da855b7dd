//! Summarises a trace: counts and latencies by build, route class, pod and time span.

mod exposure;
mod figures;

pub use exposure::BuildExposure;
pub use figures::{attempt_end_name, vote_name, Figures};

use crate::file::{Reader, TraceError};
use crate::record::{Payload, Record};
use crate::request_timelines::{Answer, RequestTimeline, RequestTimelines};
use exposure::ExposureWindow;
use havenplank::interface::{Build, Nanos};
use havenplank_sidecar::engine::Effect;
use havenplank_sidecar::events::Event;
use std::collections::BTreeMap;
use std::io::{Read, Seek};

/// The largest number of time spans of a summary.
const MAX_SPANS: u64 = 10_000;
/// The largest number of rows of a table; further rows are added up in the row "others".
const MAX_ROWS: usize = 20_000;
/// The name for a route class that is not in the settings.
const UNKNOWN_CLASS: &str = "unknown";

/// The counts and latencies of a trace, in tables.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Records read.
    pub records: u64,
    /// Requests that arrived.
    pub requests: u64,
    /// Records that were skipped because this program does not know their kind or a value in them.
    pub skipped: u64,
    /// Requests whose end is missing: in flight at the end of the file, or dropped because records were lost.
    pub unfinished: u64,
    /// Requests that the recorder omitted.
    pub lost_requests: u64,
    /// Other records that the recorder lost.
    pub lost_records: u64,
    /// Time of the first record, in nanoseconds on the file's clock.
    pub first: Nanos,
    /// Time of the last record, in nanoseconds on the file's clock.
    pub last: Nanos,
    /// Counts and latencies by build (0 where a request got no attempt) and route class.
    pub builds: BTreeMap<(Build, String), Figures>,
    /// Attempts by pod and its build, by how they ended.
    pub pods: BTreeMap<(String, Build), BTreeMap<&'static str, u64>>,
    /// By start of the span and by build: the requests, and of these the delivered, the delivered in time, the rejected
    /// and the failed. Spans have no latencies, which would need most of the memory.
    pub spans: BTreeMap<(Nanos, Build), [u64; 5]>,
    /// Exposure by sidecar and build.
    pub exposure: BTreeMap<(String, Build), BuildExposure>,
    /// Votes by build, stage and vote.
    pub votes: BTreeMap<(Build, usize, &'static str), u64>,
}

/// Reads a file to its end, or to the damage that is returned, and summarises it. `span` is the length of the time
/// spans in nanoseconds; `None` means no spans. Keeps one block, the requests in flight and the tables in memory.
///
/// # Errors
/// The span is so short that the file has more than 10,000 spans.
pub fn summarise<R: Read + Seek>(
    reader: &mut Reader<R>,
    span: Option<Nanos>,
) -> Result<(Summary, Option<TraceError>), TraceError> {
    let (first, last) = reader.span().unwrap_or_default();
    let length = last.saturating_sub(first);
    if span.is_some_and(|span| length / span.max(1) > MAX_SPANS) {
        let message = format!("the trace has more than {MAX_SPANS} spans; expected a longer span");
        return Err(TraceError::Unusable(message));
    }
    let mut summary = Summary {
        first,
        last,
        ..Summary::default()
    };
    let mut timelines = RequestTimelines::new(&reader.head.sources);
    let mut windows: Vec<ExposureWindow> = Vec::new();
    windows.resize_with(reader.head.sources.len(), ExposureWindow::default);
    let damage = loop {
        let record = match reader.record() {
            Ok(Some(record)) => record,
            Ok(None) => break None,
            Err(error) => break Some(error),
        };
        summary.count_record(&record);
        windows[record.source].record(&record, reader, &timelines, &mut summary);
        if let Some(timeline) = timelines.record(&record) {
            let (class, objective) = class_of(reader, &timeline);
            summary.count_request(&timeline, class, objective, span);
        }
    };
    for (window, source) in windows.iter_mut().zip(&reader.head.sources) {
        window.close(
            &source.settings.name,
            &source.settings.exposure,
            &mut summary,
        );
    }
    summary.unfinished = timelines.truncated + timelines.in_flight() as u64;
    summary.skipped = reader.skipped();
    Ok((summary, damage))
}

/// Returns the name and the latency objective, in nanoseconds, of a request's route class.
fn class_of<'a, R: Read + Seek>(
    reader: &'a Reader<R>,
    timeline: &RequestTimeline,
) -> (&'a str, Nanos) {
    let settings = &reader.head.sources[timeline.source].settings;
    match settings.route_classes.get(timeline.route_class) {
        Some((name, class)) => (name, class.latency_objective),
        None => (UNKNOWN_CLASS, 0),
    }
}

/// Returns the row of a key, or the row `others` where the table is full.
fn row_or_others<K: Ord, V: Default>(rows: &mut BTreeMap<K, V>, key: K, others: K) -> &mut V {
    let has_room = rows.len() < MAX_ROWS || rows.contains_key(&key);
    rows.entry(if has_room { key } else { others }).or_default()
}

impl Summary {
    fn count_record(&mut self, record: &Record) {
        self.records += 1;
        match &record.payload {
            Payload::Event(Event::RequestArrived { .. }) => self.requests += 1,
            Payload::Lost { requests, records } => {
                self.lost_requests += requests;
                self.lost_records += records;
            }
            Payload::Effect(Effect::CastVote {
                build, stage, vote, ..
            }) => {
                let key = (*build, *stage, vote_name(*vote));
                *row_or_others(&mut self.votes, key, (0, 0, "others")) += 1;
            }
            _ => {}
        }
    }

    fn count_request(
        &mut self,
        timeline: &RequestTimeline,
        class: &str,
        objective: Nanos,
        span: Option<Nanos>,
    ) {
        let build = answering_build(timeline);
        self.build_row(build, class)
            .count_request(timeline, objective);
        self.count_attempts(timeline, class);
        if let Some(span) = span {
            self.count_in_span(timeline, build, objective, span.max(1));
        }
    }

    fn build_row(&mut self, build: Build, class: &str) -> &mut Figures {
        let others = (0, "others".to_string());
        row_or_others(&mut self.builds, (build, class.to_string()), others)
    }

    fn count_attempts(&mut self, timeline: &RequestTimeline, class: &str) {
        for attempt in &timeline.attempts {
            let (Some(pod), Some((end, _))) = (&attempt.pod, attempt.end) else {
                continue;
            };
            self.build_row(pod.build, class).count_attempt(end);
            let key = (pod.name.clone(), pod.build);
            let ends = row_or_others(&mut self.pods, key, ("others".to_string(), 0));
            *ends.entry(attempt_end_name(end)).or_default() += 1;
        }
    }

    fn count_in_span(
        &mut self,
        timeline: &RequestTimeline,
        build: Build,
        objective: Nanos,
        span: Nanos,
    ) {
        let Some((answer, at)) = timeline.answer else {
            return;
        };
        let since_first = timeline.arrived_at.saturating_sub(self.first);
        let start = self.first.saturating_add(since_first / span * span);
        let is_delivered = answer == Answer::Delivered;
        let is_in_time = is_delivered && at.saturating_sub(timeline.arrived_at) <= objective;
        let [requests, delivered, in_time, rejected, failed] =
            row_or_others(&mut self.spans, (start, build), (0, 0));
        *requests += 1;
        *delivered += is_delivered as u64;
        *in_time += is_in_time as u64;
        *rejected += (answer == Answer::Rejected) as u64;
        *failed += (answer == Answer::Failed) as u64;
    }
}

/// Returns the build whose answer was delivered, otherwise the build of the last attempt; 0 without an attempt.
fn answering_build(timeline: &RequestTimeline) -> Build {
    let delivering = timeline.delivered_by;
    let attempt = delivering
        .and_then(|index| timeline.attempts.get(index))
        .or(timeline.attempts.last());
    let pod = attempt.and_then(|attempt| attempt.pod.as_ref());
    pod.map_or(0, |pod| pod.build)
}
