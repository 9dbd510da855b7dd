//! What a trace holds: records, and the head that describes their sources.

use havenplank::interface::{Build, Nanos, PodId, RequestId, Stage};
use havenplank_sidecar::engine::{Effect, EngineSettings};
use havenplank_sidecar::events::Event;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One event that a sidecar's engine received, or one effect that it asked for.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Time in nanoseconds on the file's clock: the engine's own in a file of one source, since 1970 in merged files.
    pub at: Nanos,
    /// Time in nanoseconds on the engine's own clock.
    pub engine_time: Nanos,
    /// Index of the source in the head.
    pub source: usize,
    /// The payload.
    pub payload: Payload,
    /// The pod that it names, as the pod was then.
    pub pod: Option<Arc<PodSnapshot>>,
}

/// The payload of a record.
#[derive(Clone, Debug, PartialEq)]
pub enum Payload {
    /// What the engine received.
    Event(Event),
    /// What the engine asked for.
    Effect(Effect),
    /// Records missing since the last payload of this kind. Where `records` is not 0, requests that began before and
    /// whose end does not follow have lost records.
    Lost {
        /// Requests that were left out with all their records.
        requests: u64,
        /// Other records.
        records: u64,
    },
}

/// A pod as it was when a record named it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PodSnapshot {
    /// Its id in the engine of the source.
    pub pod: PodId,
    /// The build that it ran.
    pub build: Build,
    /// Its name in service discovery.
    pub name: String,
    /// The zone that it ran in.
    pub zone: String,
}

/// The stage in force at a source, and since when.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StageInForce {
    /// Index of the source in the head.
    pub source: usize,
    /// When the source received it, in nanoseconds on the file's clock.
    pub at: Nanos,
    /// The stage.
    pub stage: Stage,
}

/// One incarnation of one sidecar: from its start to its end.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Source {
    /// The settings of its engine.
    #[serde(rename = "terms")]
    pub settings: EngineSettings,
    /// Seed of the engine's random numbers.
    pub seed: u64,
    /// The incarnation's number, which no other has: parts with the same one belong together.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Number of the file among those of the incarnation, from 0.
    pub part: u64,
    /// Time on the engine's clock when the engine was made, in nanoseconds.
    #[serde(rename = "began")]
    pub engine_start: Nanos,
    /// Nanoseconds since 1970 when the engine was made.
    #[serde(rename = "wall")]
    pub wall_start: Nanos,
    /// Share of the requests that were recorded, 0 to 1.
    #[serde(rename = "share")]
    pub sample_share: f64,
    /// Whether nothing is missing between the first and the last record but what [`Payload::Lost`] counts.
    #[serde(rename = "whole")]
    pub is_complete: bool,
    /// Time on the engine's clock, in nanoseconds, from which records are missing, as the trace was cut.
    #[serde(rename = "until", default = "no_end")]
    pub records_end: Nanos,
}

fn no_end() -> Nanos {
    Nanos::MAX
}

/// The head of a file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Head {
    /// Name and version of the program that wrote it.
    pub program: String,
    /// Hash of all sources' settings, as 16 hexadecimal digits.
    #[serde(rename = "settings")]
    pub settings_hash: String,
    /// Whether names and log texts are pseudonyms.
    pub anonymised: bool,
    /// Whether times are nanoseconds since 1970 in place of the engine's own.
    #[serde(default)]
    pub merged: bool,
    /// The sources, which records name by their index.
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

    /// Whether this record is the first of a request: its arrival, or its resumption in front of it.
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

    /// Returns the stage that the record brings, if it brings one.
    pub fn stage(&self) -> Option<Stage> {
        match &self.payload {
            Payload::Event(Event::StageChanged(stage)) => Some(*stage),
            Payload::Event(Event::VoteAnswered { reply, .. }) => reply.stage,
            _ => None,
        }
    }

    /// Whether other sidecars receive the same event at about the same time.
    pub fn is_shared(&self) -> bool {
        matches!(
            self.payload,
            Payload::Event(Event::EndpointsListed { .. } | Event::StageChanged(_))
        )
    }
}
