//! Request timelines: the records of each request joined from its arrival to its end.

use crate::record::{Payload, PodSnapshot, Record, Source};
use havenplank::interface::{AttemptEnd, Nanos, RequestId, RouteClassId};
use havenplank_sidecar::engine::Effect;
use havenplank_sidecar::events::Event;
use std::collections::HashMap;
use std::sync::Arc;

/// Requests in flight that are followed at once. Past it, those that should have ended long ago are dropped.
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
    /// The client left before it had an answer.
    ClientLeft,
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The pod that it was sent to.
    pub pod: Option<Arc<PodSnapshot>>,
    /// When it was sent, in nanoseconds.
    pub sent: Nanos,
    /// How it ended, and when in nanoseconds; `None` while it is in flight.
    pub end: Option<(AttemptEnd, Nanos)>,
}

/// What is known of one request.
#[derive(Clone, Debug)]
pub struct RequestTimeline {
    /// Index of its source in the head.
    pub source: usize,
    /// Its id, unique within the source.
    pub request: RequestId,
    /// Its route class, an index into the source's settings.
    pub route_class: RouteClassId,
    /// When it arrived, in nanoseconds.
    pub began: Nanos,
    /// Its attempts in the order in which they were sent.
    pub attempts: Vec<Attempt>,
    /// How it was answered, and when in nanoseconds.
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

/// The timelines of all requests in flight. A request leaves once it is answered and its attempts have ended.
#[derive(Default)]
pub struct RequestTimelines {
    open: HashMap<(usize, RequestId), RequestTimeline>,
    /// Longest that a request may last, in nanoseconds.
    longest_request: Nanos,
    /// Requests whose records end before they do.
    pub truncated: u64,
}

/// Returns the longest that a request of any source may last, in nanoseconds.
pub fn longest_request(sources: &[Source]) -> Nanos {
    let classes = sources
        .iter()
        .flat_map(|source| &source.settings.route_classes);
    classes
        .map(|(_, class)| class.client_timeout)
        .max()
        .unwrap_or(0)
}

impl RequestTimelines {
    /// Returns no timelines yet, for the sources of a file.
    pub fn new(sources: &[Source]) -> RequestTimelines {
        RequestTimelines {
            longest_request: longest_request(sources),
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

    /// Adds a record; returns the timeline of the request that it ended, if it did. Times are the file's.
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

    /// Drops the requests in flight of a source that lost records: their end may be among these.
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
            began: record.at,
            attempts: Vec::new(),
            answer: None,
            delivered_by: None,
        };
        self.open.insert((record.source, request), timeline);
    }

    /// Drops requests that should have ended long ago, and the older half where that leaves too many.
    fn drop_oldest(&mut self, now: Nanos) {
        let before = self.open.len();
        let longest = self.longest_request;
        self.open
            .retain(|_, timeline| now.saturating_sub(timeline.began) <= 2 * longest);
        if self.open.len() >= MAX_IN_FLIGHT {
            let mut began: Vec<Nanos> = self.open.values().map(|timeline| timeline.began).collect();
            let middle = began.len() / 2;
            let median = *began.select_nth_unstable(middle).1;
            self.open.retain(|_, timeline| timeline.began > median);
        }
        self.truncated += (before - self.open.len()) as u64;
    }
}
