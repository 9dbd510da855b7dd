//! Request timelines: the records of each request joined from its arrival to its end.

use crate::record::{Payload, PodSnapshot, Record, Source};
use havenplank::interface::{AttemptEnd, Nanos, RequestId, RouteClassId};
use havenplank_sidecar::engine::Effect;
use havenplank_sidecar::events::Event;
use std::collections::HashMap;
use std::sync::Arc;

/// Requests in flight that are tracked at the same time. At this number, requests that should have ended long ago are
/// dropped.
const MAX_IN_FLIGHT: usize = 1 << 20;

/// How a request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// An attempt's answer was delivered.
    Delivered,
    /// The sidecar rejected the request.
    Rejected,
    /// The sidecar answered with an error.
    Failed,
    /// The client disconnected before it had an answer.
    ClientLeft,
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The pod that the attempt was sent to.
    pub pod: Option<Arc<PodSnapshot>>,
    /// When the attempt was sent, in nanoseconds.
    pub sent: Nanos,
    /// How and when the attempt ended, in nanoseconds; `None` while it is in flight.
    pub end: Option<(AttemptEnd, Nanos)>,
}

/// The attempts and the answer of one request.
#[derive(Clone, Debug)]
pub struct RequestTimeline {
    /// Index of the source in the head.
    pub source: usize,
    /// The request's id, unique within the source.
    pub request: RequestId,
    /// The request's route class, an index into the source's settings.
    pub route_class: RouteClassId,
    /// When the request arrived, in nanoseconds.
    pub arrived_at: Nanos,
    /// The attempts in the order in which they were sent.
    pub attempts: Vec<Attempt>,
    /// How and when the request was answered, in nanoseconds.
    pub answer: Option<(Answer, Nanos)>,
    /// Index of the attempt whose answer was delivered.
    pub delivered_by: Option<usize>,
}

impl RequestTimeline {
    fn is_over(&self) -> bool {
        self.answer.is_some() && self.attempts.iter().all(|attempt| attempt.end.is_some())
    }

    fn record(&mut self, record: &Record) {
        let at = record.at;
        match &record.payload {
            Payload::Effect(Effect::SendAttempt { .. }) => self.attempts.push(Attempt {
                pod: record.pod.clone(),
                sent: at,
                end: None,
            }),
            Payload::Event(Event::AttemptEnded {
                attempt,
                end,
                delivered,
                ..
            }) => self.end_attempt(at, *attempt as usize, *end, *delivered),
            Payload::Effect(Effect::Reject { .. }) => self.answer = Some((Answer::Rejected, at)),
            Payload::Effect(Effect::Fail { .. }) => self.answer = Some((Answer::Failed, at)),
            Payload::Event(Event::ClientLeft { .. }) => {
                self.answer.get_or_insert((Answer::ClientLeft, at));
            }
            _ => {}
        }
    }

    fn end_attempt(&mut self, at: Nanos, attempt: usize, end: AttemptEnd, delivered: bool) {
        if let Some(attempt) = self.attempts.get_mut(attempt) {
            attempt.end = Some((end, at));
        }
        if delivered {
            self.answer = Some((Answer::Delivered, at));
            self.delivered_by = Some(attempt);
        }
    }
}

/// The timelines of all requests in flight. A request is removed once it is answered and its attempts have ended.
#[derive(Default)]
pub struct RequestTimelines {
    open: HashMap<(usize, RequestId), RequestTimeline>,
    /// The longest duration of a request, in nanoseconds.
    max_request_duration: Nanos,
    /// Requests that were dropped before their end was read.
    pub truncated: u64,
}

/// Returns the longest client timeout of any route class of the sources, in nanoseconds.
pub fn max_request_duration(sources: &[Source]) -> Nanos {
    let classes = sources
        .iter()
        .flat_map(|source| &source.settings.route_classes);
    classes
        .map(|(_, class)| class.client_timeout)
        .max()
        .unwrap_or(0)
}

impl RequestTimelines {
    /// Creates an empty set of timelines for the sources of a file.
    pub fn new(sources: &[Source]) -> RequestTimelines {
        RequestTimelines {
            max_request_duration: max_request_duration(sources),
            ..RequestTimelines::default()
        }
    }

    /// Whether a request is in flight.
    pub fn contains(&self, source: usize, request: RequestId) -> bool {
        self.open.contains_key(&(source, request))
    }

    /// Returns the timeline of a request in flight.
    pub fn get(&self, source: usize, request: RequestId) -> Option<&RequestTimeline> {
        self.open.get(&(source, request))
    }

    /// Returns how many requests are in flight.
    pub fn in_flight(&self) -> usize {
        self.open.len()
    }

    /// Adds a record; returns the timeline of the request that ends with it, if one does. Times are on the file's
    /// clock.
    pub fn record(&mut self, record: &Record) -> Option<RequestTimeline> {
        match &record.payload {
            Payload::Lost { records: 1.., .. } => {
                self.drop_source(record.source);
                None
            }
            Payload::Event(Event::RequestArrived {
                request,
                attributes,
            }) => {
                self.begin(record, *request, attributes.route_class);
                None
            }
            _ => {
                let key = (record.source, record.request_id()?);
                let timeline = self.open.get_mut(&key)?;
                timeline.record(record);
                if timeline.is_over() {
                    self.open.remove(&key)
                } else {
                    None
                }
            }
        }
    }

    /// Drops the requests in flight of a source that lost records: their ends may be among the lost records.
    fn drop_source(&mut self, source: usize) {
        let before = self.open.len();
        self.open.retain(|(of, _), _| *of != source);
        self.truncated += (before - self.open.len()) as u64;
    }

    fn begin(&mut self, record: &Record, request: RequestId, route_class: RouteClassId) {
        if self.open.len() >= MAX_IN_FLIGHT {
            self.drop_oldest(record.at);
        }
        let timeline = RequestTimeline {
            source: record.source,
            request,
            route_class,
            arrived_at: record.at,
            attempts: Vec::new(),
            answer: None,
            delivered_by: None,
        };
        self.open.insert((record.source, request), timeline);
    }

    /// Drops the requests that began more than twice the longest duration ago; where too many remain, also drops the
    /// older half.
    fn drop_oldest(&mut self, now: Nanos) {
        let before = self.open.len();
        let max_duration = self.max_request_duration;
        self.open
            .retain(|_, timeline| now.saturating_sub(timeline.arrived_at) <= 2 * max_duration);
        if self.open.len() >= MAX_IN_FLIGHT {
            let mut arrived_at: Vec<Nanos> = self
                .open
                .values()
                .map(|timeline| timeline.arrived_at)
                .collect();
            let middle = arrived_at.len() / 2;
            let median = *arrived_at.select_nth_unstable(middle).1;
            self.open.retain(|_, timeline| timeline.arrived_at > median);
        }
        self.truncated += (before - self.open.len()) as u64;
    }
}
