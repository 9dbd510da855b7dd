//! What a trace holds, as data: tools turn records into other records, so here they are values and not calls.

use havenplank::interface::{Build, Nanos, PodId, RequestId, Stage};
use havenplank_sidecar::engine::{Effect, EngineSettings};
use havenplank_sidecar::events::Event;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One thing that a sidecar's engine was told or did.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// On the file's clock: the engine's own in a file of one source, in merged ones nanoseconds since 1970.
    pub at: Nanos,
    /// On the engine's own clock.
    pub own: Nanos,
    /// Which of the head's sources.
    pub source: usize,
    pub what: What,
    /// The pod that it is about, where it names one.
    pub pod: Option<Arc<Card>>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum What {
    Event(Event),
    Effect(Effect),
    /// So many hits, and so many of other records, are missing since the last such line. Hits that were begun
    /// before it and whose end does not follow have lost records where `records` is not 0.
    Lost {
        hits: u64,
        records: u64,
    },
}

/// A pod as it was when a record named it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Card {
    pub pod: PodId,
    pub build: Build,
    pub name: String,
    pub zone: String,
}

/// The stage in force at some source, and when that was told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Standing {
    pub source: usize,
    pub at: Nanos,
    pub stage: Stage,
}

/// One life of one sidecar.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Source {
    pub terms: EngineSettings,
    /// Where its chance started.
    pub seed: u64,
    /// A number that no other life has: parts with the same one belong together.
    pub life: u64,
    /// 0 for the file with the life's beginning, then counted on.
    pub part: u64,
    /// The engine's clock when it was made, and the time since 1970 then, both in nanoseconds.
    pub began: Nanos,
    pub wall: Nanos,
    /// The share of hits that are in.
    pub share: f64,
    /// Whether everything between its first and last record is in, apart from what `Lost` records tell.
    pub whole: bool,
    /// On the engine's clock: from here on records are missing, as the trace was cut.
    #[serde(default = "never")]
    pub until: Nanos,
}

fn never() -> Nanos {
    Nanos::MAX
}

/// The greeting of a file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Head {
    /// What wrote it.
    pub program: String,
    /// Hash of all sources' terms, as 16 hexadecimal digits.
    pub settings: String,
    /// Names are stand-ins, and log texts too.
    pub anonymised: bool,
    /// Times are nanoseconds since 1970, not the engines' own.
    #[serde(default)]
    pub merged: bool,
    pub sources: Vec<Source>,
}

impl Head {
    pub fn new(sources: Vec<Source>) -> Head {
        let mut hash = blake3::Hasher::new();
        for source in &sources {
            let terms = serde_json::to_vec(&source.terms).unwrap_or_default();
            hash.update(&(terms.len() as u64).to_le_bytes())
                .update(&terms);
        }
        let settings = hash.finalize().to_hex()[..16].to_string();
        let program = concat!("havenplank ", env!("CARGO_PKG_VERSION")).to_string();
        Head {
            program,
            settings,
            anonymised: false,
            merged: false,
            sources,
        }
    }
}

impl Head {
    /// A time since 1970 on the file's clock.
    pub fn clock(&self, wall: Nanos) -> Nanos {
        match self.sources.first().filter(|_| !self.merged) {
            Some(source) => source
                .began
                .saturating_add(wall.saturating_sub(source.wall)),
            None => wall,
        }
    }

    /// A time of the file as one since 1970.
    pub fn wall(&self, at: Nanos) -> Nanos {
        match self.sources.first().filter(|_| !self.merged) {
            Some(source) => source.wall.saturating_add(at.saturating_sub(source.began)),
            None => at,
        }
    }
}

impl Record {
    /// The hit it belongs to; `None` for what is about none.
    pub fn hit(&self) -> Option<RequestId> {
        match &self.what {
            What::Event(
                Event::RequestArrived { request: hit, .. }
                | Event::SendPermission { request: hit, .. },
            )
            | What::Event(
                Event::AttemptEnded { request: hit, .. }
                | Event::ClientLeft { request: hit }
                | Event::RequestResumed { request: hit, .. },
            )
            | What::Effect(
                Effect::SendAttempt { request: hit, .. }
                | Effect::CancelAttempt { request: hit, .. },
            )
            | What::Effect(
                Effect::Reject { request: hit, .. } | Effect::Fail { request: hit, .. },
            ) => Some(*hit),
            _ => None,
        }
    }

    pub fn begins_hit(&self) -> bool {
        matches!(self.what, What::Event(Event::RequestArrived { .. }))
    }

    /// A hit begins with it or right after it.
    pub fn opens_hit(&self) -> bool {
        self.begins_hit() || matches!(self.what, What::Event(Event::RequestResumed { .. }))
    }

    /// The pod's index, where it names one.
    pub fn pod_index(&self) -> Option<PodId> {
        match &self.what {
            What::Effect(Effect::SendAttempt { pod, .. } | Effect::HealthCheck { pod, .. }) => {
                Some(*pod)
            }
            What::Event(Event::FaultReported { pod, .. }) => Some(*pod),
            _ => None,
        }
    }

    /// The stage that it tells of.
    pub fn stage(&self) -> Option<Stage> {
        match &self.what {
            What::Event(Event::StageChanged(stage)) => Some(*stage),
            What::Event(Event::VoteAnswered { reply: news, .. }) => news.stage,
            _ => None,
        }
    }

    /// Whether other sidecars were told the same at about the same time.
    pub fn is_shared(&self) -> bool {
        matches!(
            self.what,
            What::Event(Event::EndpointsListed { .. } | Event::StageChanged(_))
        )
    }
}
