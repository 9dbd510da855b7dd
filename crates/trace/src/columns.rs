//! The body of a block: each field of each kind of record in a column of its own, so that likes stand beside
//! likes, and so that a reader passes over the columns it does not know.

use crate::record::{Card, Record, Standing, What};
use havenplank::interface::*;
use havenplank_line_protocol::codec::MAX_ENDPOINTS;
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use havenplank_sidecar::engine::{Effect, RequestAttributes};
use havenplank_sidecar::events::Event;
use integer_encoding::VarInt;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Columns of a kind of record; its first is 16 times its number.
/// Forwards of a hit before it was gone on with here; no sidecar sends as many.
const MOST_PAST: usize = 64;
const FIELDS: u16 = 16;
const COLUMNS: usize = 512;
/// Bytes of text in one record at most; the largest list with names of usual length takes a quarter.
const TEXT: usize = 16 << 20;

#[derive(Debug, thiserror::Error, PartialEq)]
pub enum Wrong {
    #[error("column {0} ends before its last value")]
    Short(u16),
    #[error("column {0} holds a value out of range")]
    Range(u16),
    #[error("column {0} names an entry that its dictionary lacks")]
    Entry(u16),
}

/// One way over the fields of a record, writing or reading: what is written and what is read cannot differ,
/// as both are told by the same walk.
trait Way {
    fn number(&mut self, column: u16, value: &mut u64) -> Result<(), Wrong>;
    fn float(&mut self, column: u16, value: &mut f64) -> Result<(), Wrong>;
    fn key(&mut self, column: u16, value: &mut u64) -> Result<(), Wrong>;
    fn text(&mut self, column: u16, value: &mut String) -> Result<(), Wrong>;
    fn card(
        &mut self,
        column: u16,
        pod: &mut PodId,
        card: &mut Option<Arc<Card>>,
    ) -> Result<(), Wrong>;
    /// What was last seen in a place, to tell a value by its distance from it.
    fn last(&mut self, place: (u16, u64)) -> &mut u64;
    /// Something newer than this program: the record is passed over once it is walked.
    fn strange(&mut self);

    fn near(&mut self, column: u16, slot: u64, value: &mut u64) -> Result<(), Wrong> {
        let last = *self.last((column, slot));
        let mut apart = zigzag(value.wrapping_sub(last) as i64);
        self.number(column, &mut apart)?;
        *value = last.wrapping_add(unzigzag(apart) as u64);
        *self.last((column, slot)) = *value;
        Ok(())
    }

    /// A hit, by how far it lies behind the newest one named before.
    fn hit(&mut self, column: u16, source: u64, hit: &mut RequestId) -> Result<(), Wrong> {
        let newest = *self.last((0, source));
        let mut apart = zigzag(newest.wrapping_sub(*hit) as i64);
        self.number(column, &mut apart)?;
        *hit = newest.wrapping_sub(unzigzag(apart) as u64);
        *self.last((0, source)) = newest.max(*hit);
        Ok(())
    }

    fn index(&mut self, column: u16, value: &mut usize) -> Result<(), Wrong> {
        let mut wide = *value as u64;
        self.number(column, &mut wide)?;
        *value = usize::try_from(wide).map_err(|_| Wrong::Range(column))?;
        Ok(())
    }

    fn small(&mut self, column: u16, value: &mut u32) -> Result<(), Wrong> {
        let mut wide = *value as u64;
        self.number(column, &mut wide)?;
        *value = u32::try_from(wide).map_err(|_| Wrong::Range(column))?;
        Ok(())
    }

    fn flag(&mut self, column: u16, value: &mut bool) -> Result<(), Wrong> {
        let mut wide = *value as u64;
        self.number(column, &mut wide)?;
        *value = wide != 0;
        Ok(())
    }

    /// One of a list of choices, by its place there; the list may grow at its end with minor versions.
    fn one<T: Copy + PartialEq>(
        &mut self,
        column: u16,
        value: &mut T,
        all: &[T],
    ) -> Result<(), Wrong> {
        let mut at = all.iter().position(|one| one == value).unwrap_or(0) as u64;
        self.number(column, &mut at)?;
        match usize::try_from(at).ok().and_then(|at| all.get(at)) {
            Some(one) => *value = *one,
            None => self.strange(),
        }
        Ok(())
    }

    /// Whether there is one, then `walk` over it.
    fn maybe<T>(
        &mut self,
        column: u16,
        value: &mut Option<T>,
        blank: T,
        walk: impl FnOnce(&mut Self, &mut T) -> Result<(), Wrong>,
    ) -> Result<(), Wrong> {
        let mut there = value.is_some();
        self.flag(column, &mut there)?;
        if !there {
            *value = None;
            return Ok(());
        }
        walk(self, value.get_or_insert(blank))
    }
}

/// Slots of a column that are held side by side; a path group or source beyond goes by hash.
const SLOTS: u64 = 64;

/// What was last seen, by column and slot.
#[derive(Default)]
struct Last {
    near: Vec<Vec<u64>>,
    far: HashMap<(u16, u64), u64>,
}

impl Last {
    fn of(&mut self, (column, slot): (u16, u64)) -> &mut u64 {
        if slot >= SLOTS {
            return self.far.entry((column, slot)).or_default();
        }
        let (column, slot) = (column as usize, slot as usize);
        if self.near.len() <= column {
            self.near.resize(column + 1, Vec::new());
        }
        let slots = &mut self.near[column];
        if slots.len() <= slot {
            slots.resize(slot + 1, 0);
        }
        &mut slots[slot]
    }
}

fn zigzag(value: i64) -> u64 {
    ((value << 1) ^ (value >> 63)) as u64
}

fn unzigzag(value: u64) -> i64 {
    (value >> 1) as i64 ^ -((value & 1) as i64)
}

const ENDS: [AttemptEnd; 8] = [
    AttemptEnd::Served,
    AttemptEnd::Failed,
    AttemptEnd::Rejected,
    AttemptEnd::TimedOut,
    AttemptEnd::ConnectFailed,
    AttemptEnd::Reset,
    AttemptEnd::Cancelled,
    AttemptEnd::NotSent,
];
const STATES: [PodState; 3] = [PodState::Running, PodState::Draining, PodState::Gone];
const PHASES: [Phase; 4] = [
    Phase::Trial,
    Phase::RollingBack,
    Phase::Released,
    Phase::Withdrawn,
];
const VOICES: [Vote; 4] = [Vote::None, Vote::Advance, Vote::Hold, Vote::RollBack];
const HEARD: [VoteReceipt; 4] = [
    VoteReceipt::Counted,
    VoteReceipt::Stale,
    VoteReceipt::Unknown,
    VoteReceipt::Rejected,
];
const NO_STAGE: Stage = Stage {
    build: 0,
    stage: 0,
    phase: Phase::Trial,
    cap: 0.0,
    age: 0,
};

fn load(w: &mut impl Way, c: u16, load: &mut Option<LoadReport>) -> Result<(), Wrong> {
    w.maybe(c, load, LoadReport::default(), |w, load| {
        let fields = [
            &mut load.in_flight,
            &mut load.queued,
            &mut load.busy,
            &mut load.latency_ms,
            &mut load.delivered_per_s,
            &mut load.failed_per_s,
        ];
        let there = fields
            .iter()
            .enumerate()
            .map(|(n, field)| (field.is_some() as u64) << n);
        let mut there: u64 = there.sum();
        w.number(c + 1, &mut there)?;
        for (n, field) in fields.into_iter().enumerate() {
            *field = (there >> n & 1 == 1).then_some(field.unwrap_or(0.0));
            if let Some(value) = field {
                w.float(c + 2 + n as u16, value)?;
            }
        }
        Ok(())
    })
}

fn stage(w: &mut impl Way, c: u16, stage: &mut Stage) -> Result<(), Wrong> {
    w.small(c, &mut stage.build)?;
    w.index(c + 1, &mut stage.stage)?;
    w.one(c + 2, &mut stage.phase, &PHASES)?;
    w.float(c + 3, &mut stage.cap)?;
    w.number(c + 4, &mut stage.age)
}

/// Everything but the time: the kind is known on both ways.
fn walk(w: &mut impl Way, kind: u16, source: u64, record: &mut Record) -> Result<(), Wrong> {
    let (c, own) = (kind * FIELDS, record.own);
    match &mut record.what {
        What::Event(told) => match told {
            Event::Started | Event::EndpointWatchFailed => Ok(()),
            Event::RequestArrived {
                request: hit,
                attributes: asked,
            } => {
                w.hit(c, source, hit)?;
                w.index(c + 1, &mut asked.route_class)?;
                w.maybe(c + 2, &mut asked.tenant, 0, |w, tenant| {
                    w.index(c + 3, tenant)
                })?;
                w.key(c + 4, &mut asked.key)?;
                w.near(c + 5, asked.route_class as u64, &mut asked.remaining)?;
                *w.last((1, source)) = asked.remaining;
                w.maybe(c + 6, &mut asked.cost_hint, 0, |w, cost| {
                    w.number(c + 7, cost)
                })?;
                w.flag(c + 8, &mut asked.is_retry)
            }
            Event::RequestResumed {
                request: hit,
                prior_attempts: past,
            } => {
                w.hit(c, source, hit)?;
                let mut count = past.len();
                w.index(c + 1, &mut count)?;
                if count > MOST_PAST {
                    return Err(Wrong::Range(c + 1));
                }
                past.resize(
                    count,
                    PriorAttempt {
                        pod: None,
                        ago: 0,
                        may_have_run: false,
                    },
                );
                for earlier in past {
                    w.maybe(c + 2, &mut earlier.pod, 0, |w, pod| w.index(c + 3, pod))?;
                    w.number(c + 4, &mut earlier.ago)?;
                    w.flag(c + 5, &mut earlier.may_have_run)?;
                }
                Ok(())
            }
            Event::SendPermission {
                request: hit,
                attempt: nth,
                allowed: may,
            } => {
                w.hit(c, source, hit)?;
                w.small(c + 1, nth)?;
                w.flag(c + 2, may)
            }
            Event::AttemptEnded {
                request: hit,
                attempt: nth,
                end,
                took,
                load: said,
                delivered: passed,
            } => {
                w.hit(c, source, hit)?;
                w.small(c + 1, nth)?;
                w.one(c + 2, end, &ENDS)?;
                let sent = *w.last((SENT, forward_slot(source, *hit, *nth)));
                // What it took is about the time since it was sent, where the block knows that.
                let about = if sent == 0 { 0 } else { own.wrapping_sub(sent) };
                let mut apart = zigzag(took.wrapping_sub(about) as i64);
                w.number(c + 3, &mut apart)?;
                *took = about.wrapping_add(unzigzag(apart) as u64);
                w.flag(c + 4, passed)?;
                load(w, c + 5, said)
            }
            Event::ClientLeft { request: hit } => w.hit(c, source, hit),
            Event::EndpointsListed {
                complete: whole,
                pods,
                pod_ids: given,
            } => {
                w.flag(c, whole)?;
                let mut count = pods.len();
                w.index(c + 1, &mut count)?;
                if count > MAX_ENDPOINTS {
                    return Err(Wrong::Range(c + 1));
                }
                for n in 0..count {
                    if n == pods.len() {
                        pods.push(blank_pod());
                        given.push(None);
                    }
                    listed(w, c + 2, &mut pods[n])?;
                    w.maybe(c + 12, &mut given[n], 0, |w, given| w.index(c + 13, given))?;
                }
                Ok(())
            }
            Event::StageChanged(news) => stage(w, c, news),
            Event::VoteAnswered { vote, reply: news } => {
                w.number(c, vote)?;
                w.one(c + 1, &mut news.receipt, &HEARD)?;
                w.maybe(c + 2, &mut news.stage, NO_STAGE, |w, news| {
                    stage(w, c + 3, news)
                })
            }
            Event::HealthCheckEnded {
                check: probe,
                result: end,
            } => {
                w.near(c, 0, probe)?;
                w.one(c + 1, &mut end.end, &ENDS)?;
                w.number(c + 2, &mut end.took)?;
                load(w, c + 3, &mut end.load)
            }
            Event::TallyReported(tally) => {
                w.small(c, &mut tally.build)?;
                w.index(c + 1, &mut tally.group)?;
                w.number(c + 2, &mut tally.count)?;
                w.number(c + 3, &mut tally.failed)?;
                w.number(c + 4, &mut tally.mean_latency)?;
                w.number(c + 5, &mut tally.age)
            }
            Event::FaultReported {
                pod,
                route_class: group,
                ago,
            } => {
                w.card(c, pod, &mut record.pod)?;
                w.index(c + 1, group)?;
                w.number(c + 2, ago)
            }
            Event::TimerFired(wake) => w.near(c, source, wake),
        },
        What::Effect(effect) => match effect {
            Effect::SendAttempt {
                request: hit,
                attempt: nth,
                pod,
                timeout: time_out,
            } => {
                w.hit(c, source, hit)?;
                w.small(c + 1, nth)?;
                w.card(c + 2, pod, &mut record.pod)?;
                *w.last((SENT, forward_slot(source, *hit, *nth))) = own;
                // Most go out when their hit comes, with all the time that it has.
                *w.last((c + 3, source)) = *w.last((1, source));
                w.near(c + 3, source, time_out)
            }
            Effect::CancelAttempt {
                request: hit,
                attempt: nth,
            } => {
                w.hit(c, source, hit)?;
                w.small(c + 1, nth)
            }
            Effect::Reject {
                request: hit,
                retry_after,
            } => {
                w.hit(c, source, hit)?;
                w.number(c + 1, retry_after)
            }
            Effect::Fail {
                request: hit,
                timed_out: late,
            } => {
                w.hit(c, source, hit)?;
                w.flag(c + 1, late)
            }
            Effect::CastVote {
                id: vote,
                build,
                stage,
                vote: voice,
            } => {
                w.number(c, vote)?;
                w.small(c + 1, build)?;
                w.index(c + 2, stage)?;
                w.one(c + 3, voice, &VOICES)
            }
            Effect::HealthCheck { check: probe, pod } => {
                w.near(c, 0, probe)?;
                w.card(c + 1, pod, &mut record.pod)
            }
            Effect::PollEndpoints => Ok(()),
            Effect::WatchEndpoints(on) => w.flag(c, on),
            Effect::Log(line) => w.text(c, line),
        },
        What::Lost { hits, records } => {
            w.number(c, hits)?;
            w.number(c + 1, records)
        }
    }
}

/// Where the time of a forward is kept until its end: no column has this number.
const SENT: u16 = 5;

fn forward_slot(source: u64, hit: RequestId, nth: u32) -> u64 {
    hit.wrapping_mul(64)
        .wrapping_add(nth as u64)
        .wrapping_add(source << 52)
}

fn blank_pod() -> ListedEndpoint {
    ListedEndpoint {
        name: String::new(),
        address: SocketAddr::from(([0, 0, 0, 0], 0)),
        state: PodState::Running,
        build: 0,
        incarnation: 0,
        age: 0,
        zone: String::new(),
        machine: String::new(),
        cell: 0,
        size: 0.0,
    }
}

fn listed(w: &mut impl Way, c: u16, pod: &mut ListedEndpoint) -> Result<(), Wrong> {
    w.text(c, &mut pod.name)?;
    let mut address = pod.address.to_string();
    w.text(c + 1, &mut address)?;
    pod.address = address.parse().map_err(|_| Wrong::Range(c + 1))?;
    w.one(c + 2, &mut pod.state, &STATES)?;
    w.small(c + 3, &mut pod.build)?;
    w.near(c + 4, 0, &mut pod.incarnation)?;
    w.near(c + 5, 0, &mut pod.age)?;
    w.text(c + 6, &mut pod.zone)?;
    w.text(c + 7, &mut pod.machine)?;
    let mut cell = zigzag(pod.cell);
    w.number(c + 8, &mut cell)?;
    pod.cell = unzigzag(cell);
    w.float(c + 9, &mut pod.size)
}

/// The number of each kind; new kinds get new numbers, and none is ever given twice.
fn kind_of(what: &What) -> u16 {
    match what {
        What::Event(told) => match told {
            Event::Started => 1,
            Event::RequestArrived { .. } => 2,
            Event::SendPermission { .. } => 3,
            Event::AttemptEnded { .. } => 4,
            Event::ClientLeft { .. } => 5,
            Event::EndpointsListed { .. } => 6,
            Event::EndpointWatchFailed => 7,
            Event::StageChanged(_) => 8,
            Event::VoteAnswered { .. } => 9,
            Event::HealthCheckEnded { .. } => 10,
            Event::TallyReported(_) => 11,
            Event::FaultReported { .. } => 12,
            Event::TimerFired(_) => 13,
            Event::RequestResumed { .. } => 14,
        },
        What::Effect(effect) => match effect {
            Effect::SendAttempt { .. } => 16,
            Effect::CancelAttempt { .. } => 17,
            Effect::Reject { .. } => 18,
            Effect::Fail { .. } => 19,
            Effect::CastVote { .. } => 20,
            Effect::HealthCheck { .. } => 21,
            Effect::PollEndpoints => 22,
            Effect::WatchEndpoints(_) => 23,
            Effect::Log(_) => 24,
        },
        What::Lost { .. } => 25,
    }
}

fn blank(kind: u64) -> Option<What> {
    let asked = || RequestAttributes {
        route_class: 0,
        tenant: None,
        key: 0,
        remaining: 0,
        cost_hint: None,
        is_retry: false,
    };
    let tally = || Tally {
        build: 0,
        group: 0,
        count: 0,
        failed: 0,
        mean_latency: 0,
        age: 0,
    };
    let ended = || Event::AttemptEnded {
        request: 0,
        attempt: 0,
        end: AttemptEnd::Failed,
        took: 0,
        load: None,
        delivered: false,
    };
    let news = || VoteReply {
        receipt: VoteReceipt::Unknown,
        stage: None,
    };
    let end = || HealthCheckResult {
        end: AttemptEnd::Failed,
        took: 0,
        load: None,
    };
    Some(match kind {
        1 => What::Event(Event::Started),
        2 => What::Event(Event::RequestArrived {
            request: 0,
            attributes: asked(),
        }),
        3 => What::Event(Event::SendPermission {
            request: 0,
            attempt: 0,
            allowed: false,
        }),
        4 => What::Event(ended()),
        5 => What::Event(Event::ClientLeft { request: 0 }),
        6 => What::Event(Event::EndpointsListed {
            complete: false,
            pods: Vec::new(),
            pod_ids: Vec::new(),
        }),
        7 => What::Event(Event::EndpointWatchFailed),
        8 => What::Event(Event::StageChanged(NO_STAGE)),
        9 => What::Event(Event::VoteAnswered {
            vote: 0,
            reply: news(),
        }),
        10 => What::Event(Event::HealthCheckEnded {
            check: 0,
            result: end(),
        }),
        11 => What::Event(Event::TallyReported(tally())),
        12 => What::Event(Event::FaultReported {
            pod: 0,
            route_class: 0,
            ago: 0,
        }),
        13 => What::Event(Event::TimerFired(0)),
        14 => What::Event(Event::RequestResumed {
            request: 0,
            prior_attempts: Vec::new(),
        }),
        16 => What::Effect(Effect::SendAttempt {
            request: 0,
            attempt: 0,
            pod: 0,
            timeout: 0,
        }),
        17 => What::Effect(Effect::CancelAttempt {
            request: 0,
            attempt: 0,
        }),
        18 => What::Effect(Effect::Reject {
            request: 0,
            retry_after: 0,
        }),
        19 => What::Effect(Effect::Fail {
            request: 0,
            timed_out: false,
        }),
        20 => What::Effect(Effect::CastVote {
            id: 0,
            build: 0,
            stage: 0,
            vote: Vote::None,
        }),
        21 => What::Effect(Effect::HealthCheck { check: 0, pod: 0 }),
        22 => What::Effect(Effect::PollEndpoints),
        23 => What::Effect(Effect::WatchEndpoints(false)),
        24 => What::Effect(Effect::Log(String::new())),
        25 => What::Lost {
            hits: 0,
            records: 0,
        },
        _ => return None,
    })
}

const KIND: u16 = 0;
const TIME: u16 = 1;
const SOURCE: u16 = 2;
const OWN: u16 = 3;

/// What a block says before its records.
#[derive(Serialize, Deserialize)]
struct Body<'a> {
    pods: Vec<Card>,
    keys: Vec<u64>,
    texts: Vec<String>,
    standing: Vec<Standing>,
    #[serde(borrow)]
    columns: Vec<(u16, &'a [u8])>,
}

/// Records on their way into a block. Holds no more than the block does: the writer empties it at its size.
pub struct Filling {
    columns: Vec<Vec<u8>>,
    last: Last,
    pods: Vec<Card>,
    pod_places: HashMap<(usize, PodId), (Arc<Card>, u64)>,
    keys: Vec<u64>,
    key_places: HashMap<u64, u64>,
    texts: Vec<String>,
    text_places: HashMap<String, u64>,
    standing: Vec<Standing>,
    source: usize,
    pub bytes: usize,
    pub records: u32,
    pub hits: u32,
    pub shared: u32,
    pub first: Nanos,
    pub at: Nanos,
}

impl Filling {
    /// Begins a block; `standing` is what is in force before its first record.
    pub fn new(standing: Vec<Standing>) -> Filling {
        Filling {
            columns: vec![Vec::new(); COLUMNS],
            last: Last::default(),
            pods: Vec::new(),
            pod_places: HashMap::new(),
            keys: Vec::new(),
            key_places: HashMap::new(),
            texts: Vec::new(),
            text_places: HashMap::new(),
            standing,
            source: 0,
            bytes: 0,
            records: 0,
            hits: 0,
            shared: 0,
            first: 0,
            at: 0,
        }
    }

    /// Adds a record; `at` never goes back within a block, and an earlier one counts as the last.
    pub fn put(&mut self, mut record: Record) {
        if self.records == 0 {
            self.first = record.at;
            self.at = record.at;
        }
        let at = record.at.max(self.at);
        let kind = kind_of(&record.what);
        self.source = record.source;
        let source = record.source as u64;
        // Writing fails nowhere.
        let mut step = at - self.at;
        let _ = self.number(KIND, &mut (kind as u64));
        let _ = self.number(TIME, &mut step);
        let _ = self.number(SOURCE, &mut { source });
        let _ = self.near(OWN, source, &mut record.own.wrapping_sub(at));
        let _ = walk(self, kind, source, &mut record);
        self.at = at;
        self.records += 1;
        self.hits += record.begins_hit() as u32;
        self.shared += record.is_shared() as u32;
    }

    pub fn body(&self) -> Vec<u8> {
        let full = self
            .columns
            .iter()
            .enumerate()
            .filter(|(_, bytes)| !bytes.is_empty());
        let body = Body {
            pods: self.pods.clone(),
            keys: self.keys.clone(),
            texts: self.texts.clone(),
            standing: self.standing.clone(),
            columns: full.map(|(n, bytes)| (n as u16, &bytes[..])).collect(),
        };
        postcard::to_stdvec(&body).unwrap_or_default()
    }
}

impl Way for Filling {
    fn number(&mut self, column: u16, value: &mut u64) -> Result<(), Wrong> {
        let mut space = [0; 10];
        let used = value.encode_var(&mut space);
        self.columns[column as usize].extend_from_slice(&space[..used]);
        self.bytes += used;
        Ok(())
    }

    /// Whole thousandths, which is how most loads are told, or else the bits.
    fn float(&mut self, column: u16, value: &mut f64) -> Result<(), Wrong> {
        let thousandths = (*value * 1000.0).round();
        let fits = (0.0..1e15).contains(&thousandths) && thousandths / 1000.0 == *value;
        if fits && value.is_sign_positive() {
            return self.number(column, &mut ((thousandths as u64) << 1));
        }
        self.number(column, &mut 1)?;
        self.columns[column as usize].extend_from_slice(&value.to_bits().to_le_bytes());
        self.bytes += 8;
        Ok(())
    }

    fn key(&mut self, column: u16, value: &mut u64) -> Result<(), Wrong> {
        let next = self.keys.len() as u64;
        let mut place = *self.key_places.entry(*value).or_insert(next);
        if place == next {
            self.keys.push(*value);
            self.bytes += 10;
        }
        self.number(column, &mut place)
    }

    fn text(&mut self, column: u16, value: &mut String) -> Result<(), Wrong> {
        let mut place = match self.text_places.get(value.as_str()) {
            Some(place) => *place,
            None => {
                let place = self.texts.len() as u64;
                self.texts.push(value.clone());
                self.text_places.insert(value.clone(), place);
                self.bytes += value.len() + 4;
                place
            }
        };
        self.number(column, &mut place)
    }

    fn card(
        &mut self,
        column: u16,
        pod: &mut PodId,
        card: &mut Option<Arc<Card>>,
    ) -> Result<(), Wrong> {
        let nobody = || Card {
            pod: *pod,
            build: 0,
            name: String::new(),
            zone: String::new(),
        };
        let card = card.get_or_insert_with(|| Arc::new(nobody()));
        let place = (self.source, *pod);
        let known = self
            .pod_places
            .get(&place)
            .filter(|(known, _)| Arc::ptr_eq(known, card) || known == card);
        let mut at = match known {
            Some((_, at)) => *at,
            None => {
                let at = self.pods.len() as u64;
                self.pods.push((**card).clone());
                self.pod_places.insert(place, (card.clone(), at));
                self.bytes += card.name.len() + card.zone.len() + 8;
                at
            }
        };
        self.number(column, &mut at)
    }

    fn last(&mut self, place: (u16, u64)) -> &mut u64 {
        self.last.of(place)
    }

    fn strange(&mut self) {}
}

/// A block being read, one record at a time.
pub struct Emptying {
    /// The block's bytes, each column as a part of them that is not read yet.
    bytes: Vec<u8>,
    columns: Vec<(usize, usize)>,
    pods: Vec<Arc<Card>>,
    keys: Vec<u64>,
    texts: Vec<String>,
    pub standing: Vec<Standing>,
    last: Last,
    at: Nanos,
    strange: bool,
    /// How much text the present record may still take: a lying one could name the same entry a million times.
    room: usize,
    /// Records of kinds or with values that this program does not know.
    pub skipped: u64,
}

impl Emptying {
    /// # Errors
    /// Not the body of a block.
    pub fn new(bytes: Vec<u8>, first: Nanos) -> Result<Emptying, String> {
        // Fields that a newer minor version adds at the end are left unread.
        let (body, _) =
            postcard::take_from_bytes::<Body>(&bytes).map_err(|error| error.to_string())?;
        let mut columns = vec![(0, 0); COLUMNS];
        let base = bytes.as_ptr() as usize;
        for (column, part) in &body.columns {
            let from = part.as_ptr() as usize - base;
            if let Some(place) = columns.get_mut(*column as usize) {
                *place = (from, from + part.len());
            }
        }
        let Body {
            pods,
            keys,
            texts,
            standing,
            ..
        } = body;
        let pods = pods.into_iter().map(Arc::new).collect();
        let (last, at) = (Last::default(), first);
        let (strange, room, skipped) = (false, 0, 0);
        Ok(Emptying {
            bytes,
            columns,
            pods,
            keys,
            texts,
            standing,
            last,
            at,
            strange,
            room,
            skipped,
        })
    }

    /// The next record that this program knows; `None` at the block's end.
    ///
    /// # Errors
    /// The block is not what its format asks for, though its checksum holds.
    pub fn next(&mut self) -> Result<Option<Record>, Wrong> {
        loop {
            let (from, to) = self.columns[KIND as usize];
            if from == to {
                return Ok(None);
            }
            let (mut kind, mut step, mut source, mut own) = (0, 0, 0, 0);
            self.number(KIND, &mut kind)?;
            self.number(TIME, &mut step)?;
            self.number(SOURCE, &mut source)?;
            self.near(OWN, source, &mut own)?;
            self.at = self.at.checked_add(step).ok_or(Wrong::Range(TIME))?;
            let place = usize::try_from(source)
                .ok()
                .filter(|source| *source <= u16::MAX as usize);
            let source_place = place.ok_or(Wrong::Range(SOURCE))?;
            (self.strange, self.room) = (false, TEXT);
            let Some(what) = blank(kind) else {
                self.skipped += 1;
                continue;
            };
            let own = self.at.wrapping_add(own);
            let mut record = Record {
                at: self.at,
                own,
                source: source_place,
                what,
                pod: None,
            };
            walk(self, kind as u16, source, &mut record)?;
            if !self.strange {
                return Ok(Some(record));
            }
            self.skipped += 1;
        }
    }
}

impl Way for Emptying {
    fn number(&mut self, column: u16, value: &mut u64) -> Result<(), Wrong> {
        let (from, to) = self.columns[column as usize];
        let (read, used) = u64::decode_var(&self.bytes[from..to]).ok_or(Wrong::Short(column))?;
        self.columns[column as usize].0 += used;
        *value = read;
        Ok(())
    }

    fn float(&mut self, column: u16, value: &mut f64) -> Result<(), Wrong> {
        let mut told = 0;
        self.number(column, &mut told)?;
        if told != 1 {
            *value = (told >> 1) as f64 / 1000.0;
            return Ok(());
        }
        let (from, to) = self.columns[column as usize];
        let bits = self.bytes[from..to]
            .first_chunk::<8>()
            .ok_or(Wrong::Short(column))?;
        *value = f64::from_bits(u64::from_le_bytes(*bits));
        self.columns[column as usize].0 += 8;
        Ok(())
    }

    fn key(&mut self, column: u16, value: &mut u64) -> Result<(), Wrong> {
        let mut place = 0;
        self.index(column, &mut place)?;
        *value = *self.keys.get(place).ok_or(Wrong::Entry(column))?;
        Ok(())
    }

    fn text(&mut self, column: u16, value: &mut String) -> Result<(), Wrong> {
        let mut place = 0;
        self.index(column, &mut place)?;
        let found = self.texts.get(place).ok_or(Wrong::Entry(column))?;
        self.room = self
            .room
            .checked_sub(found.len())
            .ok_or(Wrong::Range(column))?;
        value.clone_from(found);
        Ok(())
    }

    fn card(
        &mut self,
        column: u16,
        pod: &mut PodId,
        card: &mut Option<Arc<Card>>,
    ) -> Result<(), Wrong> {
        let mut place = 0;
        self.index(column, &mut place)?;
        let found = self.pods.get(place).ok_or(Wrong::Entry(column))?;
        *pod = found.pod;
        *card = Some(found.clone());
        Ok(())
    }

    fn last(&mut self, place: (u16, u64)) -> &mut u64 {
        self.last.of(place)
    }

    fn strange(&mut self) {
        self.strange = true;
    }
}
