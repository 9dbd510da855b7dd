//! Hits followed from their first record to their last.

use crate::record::{Card, Record, Source, What};
use havenplank::interface::{AttemptEnd, Nanos, RequestId, RouteClassId};
use havenplank_sidecar::engine::Effect;
use havenplank_sidecar::events::Event;
use std::collections::HashMap;
use std::sync::Arc;

/// Hits in flight that are followed at once. Past it, those that should have ended long ago are given up.
const MOST: usize = 1 << 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Delivered,
    Bounced,
    Errored,
    /// The client left before it had one.
    Left,
}

#[derive(Clone, Debug)]
pub struct Forward {
    pub pod: Option<Arc<Card>>,
    pub sent: Nanos,
    pub end: Option<(AttemptEnd, Nanos)>,
}

#[derive(Clone, Debug)]
pub struct Trip {
    pub source: usize,
    pub hit: RequestId,
    pub group: RouteClassId,
    pub began: Nanos,
    pub forwards: Vec<Forward>,
    pub answer: Option<(Answer, Nanos)>,
    /// The forward whose answer went to the client.
    pub delivered_by: Option<usize>,
}

impl Trip {
    fn is_over(&self) -> bool {
        self.answer.is_some() && self.forwards.iter().all(|forward| forward.end.is_some())
    }
}

/// All hits in flight. A hit leaves once it is answered and its forwards have ended.
#[derive(Default)]
pub struct Trips {
    open: HashMap<(usize, RequestId), Trip>,
    longest: Nanos,
    /// Hits whose records end before they do.
    pub torn: u64,
}

/// The longest that a hit of any source may last.
pub fn longest(sources: &[Source]) -> Nanos {
    let groups = sources
        .iter()
        .flat_map(|source| &source.terms.route_classes);
    groups
        .map(|(_, rules)| rules.client_timeout)
        .max()
        .unwrap_or(0)
}

impl Trips {
    pub fn new(sources: &[Source]) -> Trips {
        Trips {
            longest: longest(sources),
            ..Trips::default()
        }
    }

    pub fn holds(&self, source: usize, hit: RequestId) -> bool {
        self.open.contains_key(&(source, hit))
    }

    pub fn get(&self, source: usize, hit: RequestId) -> Option<&Trip> {
        self.open.get(&(source, hit))
    }

    pub fn in_flight(&self) -> usize {
        self.open.len()
    }

    /// Takes a record; the hit that it ended, if it did. Times are the file's.
    pub fn record(&mut self, record: &Record) -> Option<Trip> {
        let at = record.at;
        if let What::Lost { records: 1.., .. } = record.what {
            let lost: Vec<_> = self
                .open
                .keys()
                .filter(|(source, _)| *source == record.source)
                .copied()
                .collect();
            lost.iter().for_each(|key| drop(self.open.remove(key)));
            self.torn += lost.len() as u64;
            return None;
        }
        let key = (record.source, record.hit()?);
        if let What::Event(Event::RequestArrived {
            request: hit,
            attributes: asked,
        }) = &record.what
        {
            if self.open.len() >= MOST {
                self.give_up(at);
            }
            let (source, hit, group) = (record.source, *hit, asked.route_class);
            let trip = Trip {
                source,
                hit,
                group,
                began: at,
                forwards: Vec::new(),
                answer: None,
                delivered_by: None,
            };
            self.open.insert(key, trip);
            return None;
        }
        let trip = self.open.get_mut(&key)?;
        match &record.what {
            What::Effect(Effect::SendAttempt { .. }) => {
                trip.forwards.push(Forward {
                    pod: record.pod.clone(),
                    sent: at,
                    end: None,
                });
            }
            What::Event(Event::AttemptEnded {
                attempt: nth,
                end,
                delivered: passed,
                ..
            }) => {
                if let Some(forward) = trip.forwards.get_mut(*nth as usize) {
                    forward.end = Some((*end, at));
                }
                if *passed {
                    trip.answer = Some((Answer::Delivered, at));
                    trip.delivered_by = Some(*nth as usize);
                }
            }
            What::Effect(Effect::Reject { .. }) => trip.answer = Some((Answer::Bounced, at)),
            What::Effect(Effect::Fail { .. }) => trip.answer = Some((Answer::Errored, at)),
            What::Event(Event::ClientLeft { .. }) => {
                trip.answer.get_or_insert((Answer::Left, at));
            }
            _ => {}
        }
        if !trip.is_over() {
            return None;
        }
        self.open.remove(&key)
    }

    fn give_up(&mut self, now: Nanos) {
        let before = self.open.len();
        let longest = self.longest;
        self.open
            .retain(|_, trip| now.saturating_sub(trip.began) <= 2 * longest);
        // A crowd this large within twice a hit's life: the oldest half goes.
        if self.open.len() >= MOST {
            let mut began: Vec<Nanos> = self.open.values().map(|trip| trip.began).collect();
            let half = began.len() / 2;
            let middle = *began.select_nth_unstable(half).1;
            self.open.retain(|_, trip| trip.began > middle);
        }
        self.torn += (before - self.open.len()) as u64;
    }
}
