//! The content of a trace: records, and the head that describes their sources.

use havenplank::interface::{Build, Nanos, PodId, RequestId, Stage};
use havenplank_sidecar::engine::{Effect, EngineSettings};
use havenplank_sidecar::events::Event;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One event that a sidecar's engine received, or one effect that the engine requested.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Time in nanoseconds on the file's clock: the clock of the engine in the file of one source, nanoseconds since
    /// 1970 in a merged file.
    pub at: Nanos,
    /// Time in nanoseconds on the engine's clock.
    pub engine_time: Nanos,
    /// Index of the source in the head.
    pub source: usize,
    /// The event, the effect, or the count of lost records.
    pub payload: Payload,
    /// The pod that the record names, in its state at that time.
    pub pod: Option<Arc<PodSnapshot>>,
}

/// The payload of a record.
#[derive(Clone, Debug, PartialEq)]
pub enum Payload {
    /// An event that the engine received.
    Event(Event),
    /// An effect that the engine requested.
    Effect(Effect),
    /// The number of records that are missing since the previous payload of this kind. Where `records` is not 0, a
    /// request that began before this record and whose end does not follow it has lost records.
    Lost {
        /// Requests that the recorder omitted with all their records.
        requests: u64,
        /// Other lost records.
        records: u64,
    },
}

/// The state of a pod at the time when a record named it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PodSnapshot {
    /// The pod's id in the engine of the source.
    pub pod: PodId,
    /// The build that the pod ran.
    pub build: Build,
    /// The pod's name in service discovery.
    pub name: String,
    /// The zone that the pod ran in.
    pub zone: String,
}

/// The stage in force at a source, and the time since which it is in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StageInForce {
    /// Index of the source in the head.
    pub source: usize,
    /// When the source received the stage, in nanoseconds on the file's clock.
    pub at: Nanos,
    /// The stage.
    pub stage: Stage,
}

/// One incarnation of one sidecar: one process from its start to its end.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Source {
    /// The settings of the engine.
    #[serde(rename = "terms")]
    pub settings: EngineSettings,
    /// The seed of the engine's random numbers.
    pub seed: u64,
    /// The unique id of the incarnation. Files (parts) with the same sidecar name and the same id continue each other.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The position of this file among the files of the incarnation, counted from 0.
    pub part: u64,
    /// Time on the engine's clock at which the engine was created, in nanoseconds.
    #[serde(rename = "began")]
    pub engine_start: Nanos,
    /// Wall clock time at which the engine was created, in nanoseconds since 1970.
    #[serde(rename = "wall")]
    pub wall_start: Nanos,
    /// The share of the requests that were recorded, 0 to 1.
    #[serde(rename = "share")]
    pub sample_share: f64,
    /// Whether the file holds all records between the first and the last one, except those that [`Payload::Lost`]
    /// counts.
    #[serde(rename = "whole")]
    pub is_complete: bool,
    /// Time on the engine's clock, in nanoseconds, from which on records are missing because the trace was cut or not
    /// closed; `Nanos::MAX` where none are missing.
    #[serde(rename = "until", default = "no_end")]
    pub records_end: Nanos,
}

fn no_end() -> Nanos {
    Nanos::MAX
}

/// The head of a file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Head {
    /// Name and version of the program that wrote the file.
    pub program: String,
    /// The hash of all sources' settings, as 16 hexadecimal digits.
    #[serde(rename = "settings")]
    pub settings_hash: String,
    /// Whether names and log texts are pseudonyms.
    pub anonymised: bool,
    /// Whether the times of records are nanoseconds since 1970; they are times of the engine's clock in other files.
    #[serde(default)]
    pub merged: bool,
    /// The sources of the records; a record refers to its source by the index in this list.
    pub sources: Vec<Source>,
}

impl Head {
    /// Returns the head of a file that this program writes.
    pub fn new(sources: Vec<Source>) -> Head {
        let mut hash = blake3::Hasher::new();
        for source in &sources {
            let settings = serde_json::to_vec(&source.settings).unwrap_or_default();
            hash.update(&(settings.len() as u64).to_le_bytes())
                .update(&settings);
        }
        let settings_hash = hash.finalize().to_hex()[..16].to_string();
        let program = concat!("havenplank ", env!("CARGO_PKG_VERSION")).to_string();
        Head {
            program,
            settings_hash,
            anonymised: false,
            merged: false,
            sources,
        }
    }

    /// Converts nanoseconds since 1970 to the file's clock.
    pub fn file_time(&self, wall_time: Nanos) -> Nanos {
        match self.sources.first().filter(|_| !self.merged) {
            Some(source) => source
                .engine_start
                .saturating_add(wall_time.saturating_sub(source.wall_start)),
            None => wall_time,
        }
    }

    /// Converts nanoseconds on the file's clock to nanoseconds since 1970.
    pub fn wall_time(&self, at: Nanos) -> Nanos {
        match self.sources.first().filter(|_| !self.merged) {
            Some(source) => source
                .wall_start
                .saturating_add(at.saturating_sub(source.engine_start)),
            None => at,
        }
    }
}

impl Record {
    /// Returns the request that the record belongs to, if it belongs to one.
    pub fn request_id(&self) -> Option<RequestId> {
        match &self.payload {
            Payload::Event(
                Event::RequestArrived { request, .. }
                | Event::RequestResumed { request, .. }
                | Event::SendPermission { request, .. }
                | Event::AttemptEnded { request, .. }
                | Event::ClientLeft { request },
            )
            | Payload::Effect(
                Effect::SendAttempt { request, .. }
                | Effect::CancelAttempt { request, .. }
                | Effect::Reject { request, .. }
                | Effect::Fail { request, .. },
            ) => Some(*request),
            _ => None,
        }
    }

    /// Whether a request arrives with this record.
    pub fn is_arrival(&self) -> bool {
        matches!(self.payload, Payload::Event(Event::RequestArrived { .. }))
    }

    /// Whether this record is the first of a request: its arrival, or the resumption that comes before the arrival.
    pub fn begins_request(&self) -> bool {
        self.is_arrival() || matches!(self.payload, Payload::Event(Event::RequestResumed { .. }))
    }

    /// Returns the id of the pod that the record names, if it names one.
    pub fn pod_id(&self) -> Option<PodId> {
        match &self.payload {
            Payload::Effect(Effect::SendAttempt { pod, .. } | Effect::HealthCheck { pod, .. }) => {
                Some(*pod)
            }
            Payload::Event(Event::FaultReported { pod, .. }) => Some(*pod),
            _ => None,
        }
    }

    /// Returns the stage that the record announces, if it announces one.
    pub fn stage(&self) -> Option<Stage> {
        match &self.payload {
            Payload::Event(Event::StageChanged(stage)) => Some(*stage),
            Payload::Event(Event::VoteAnswered { reply, .. }) => reply.stage,
            _ => None,
        }
    }

    /// Whether other sidecars receive the same event at about the same time: endpoint lists and stage changes.
    pub fn is_shared(&self) -> bool {
        matches!(
            self.payload,
            Payload::Event(Event::EndpointsListed { .. } | Event::StageChanged(_))
        )
    }
}
