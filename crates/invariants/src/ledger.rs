//! The ledger: one JSON object a line, each with the time that its writer saw it, in nanoseconds.

use havenplank::interface::{
    Build, DedupScope, ExposureSettings, Idempotency, Nanos, Phase, PodState,
};
use serde::{Deserialize, Serialize};
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::path::Path;

/// Entries that one ledger may hold: some ten times what a long day writes. One more is refused.
pub const MOST: usize = 20_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    Delivered,
    Bounced,
    Errored,
    /// Told before the hit was taken: not found, too large, malformed.
    NotTaken,
    /// The connection broke while the answer was owed.
    Broken,
    /// None came while the client waited, and some beyond.
    Missing,
    /// The client went away by itself: nothing more was owed.
    Left,
}

/// The figures that the rules are checked by.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    pub groups: Vec<Group>,
    pub drain_grace: Nanos,
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    #[serde(rename = "fall_window")]
    pub overload_window: Nanos,
    pub exposure: Exposure,
    /// How long after its time is up a final answer still counts.
    pub answer_slack: Nanos,
    /// How much later than it was sent the other side may see something.
    pub transit: Nanos,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Group {
    pub name: String,
    pub kind: u8,
    pub scope: u8,
    #[serde(rename = "repeat_window")]
    pub dedup_window: Nanos,
}

impl Group {
    pub fn new(name: &str, kind: Idempotency, scope: DedupScope, dedup_window: Nanos) -> Group {
        Group {
            name: name.to_string(),
            kind: kind as u8,
            scope: scope as u8,
            dedup_window,
        }
    }

    pub fn is(&self, kind: Idempotency) -> bool {
        self.kind == kind as u8
    }

    pub fn scoped(&self, scope: DedupScope) -> bool {
        self.scope == scope as u8
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Exposure {
    pub window: Nanos,
    pub free: f64,
    #[serde(rename = "per_group")]
    pub per_class: bool,
    #[serde(rename = "guarded_stages")]
    pub idempotent_only_stages: usize,
    #[serde(rename = "one_way")]
    pub sticky_keys: bool,
    pub caps: Vec<f64>,
}

impl From<&ExposureSettings> for Exposure {
    fn from(rules: &ExposureSettings) -> Exposure {
        let ExposureSettings {
            window,
            free_attempts: free,
            per_class,
            idempotent_only_stages,
            sticky_keys,
            caps,
            ..
        } = rules.clone();
        Exposure {
            window,
            free,
            per_class,
            idempotent_only_stages,
            sticky_keys,
            caps,
        }
    }
}

/// Something that crossed a socket, or happened to a process. `ask` numbers one try of a client: a hit that
/// is tried again by its client is asked anew.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Seen {
    Figures(Figures),
    SidecarUp {
        sidecar: String,
    },
    /// Killed: the hits that it held are no longer its duty.
    SidecarKilled {
        sidecar: String,
    },
    /// Told to stop: what reaches it from now on it need not take.
    SidecarStops {
        sidecar: String,
    },
    /// A client wrote a hit to a sidecar. `hit` stays the same over its tries.
    Asked {
        ask: u64,
        hit: u64,
        sidecar: String,
        group: usize,
        key: u64,
        left: Nanos,
    },
    Answered {
        ask: u64,
        answer: Answer,
        #[serde(rename = "come_back")]
        retry_after: Nanos,
    },
    PodUp {
        pod: String,
        life: u64,
        build: Build,
        zone: String,
        cell: i64,
        cold: Cold,
    },
    /// A cold pod was pushed over.
    PodFell {
        pod: String,
        life: u64,
    },
    /// A forward was read whole by a pod, whatever came of it; `work` in nanoseconds of one core.
    Arrived {
        ask: u64,
        sidecar: String,
        pod: String,
        life: u64,
        work: Nanos,
    },
    /// It was turned away with the proof that it never ran.
    Unseen {
        ask: u64,
        pod: String,
        life: u64,
    },
    /// It took effect; not written for a repeat that was dropped.
    Ran {
        ask: u64,
        pod: String,
        life: u64,
    },
    /// The pod's answer of success left.
    Gave {
        ask: u64,
        pod: String,
        life: u64,
    },
    /// The node list told a sidecar of a pod; `Gone` also where a whole list no longer names it.
    Told {
        sidecar: String,
        pod: String,
        life: u64,
        state: String,
    },
    News {
        sidecar: String,
        build: Build,
        stage: usize,
        phase: String,
        cap: f64,
    },
}

/// How a pod warms up: its capacity in nanoseconds of work a second, the share it starts with, the time
/// until it is warm.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cold {
    pub capacity: f64,
    pub share: f64,
    pub warm_up: Nanos,
}

impl Cold {
    /// Work a second, at an age.
    pub fn at(&self, age: Nanos) -> f64 {
        let warm = (age as f64 / self.warm_up.max(1) as f64).min(1.0);
        self.capacity * (self.share + (1.0 - self.share) * warm)
    }
}

pub fn state_name(state: PodState) -> String {
    format!("{state:?}").to_lowercase()
}

/// Returns the ledger's word for a phase of a release.
pub fn phase_name(phase: Phase) -> String {
    let name = match phase {
        Phase::Trial => "trial",
        Phase::RollingBack => "goingback",
        Phase::Released => "released",
        Phase::Withdrawn => "withdrawn",
    };
    name.to_string()
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub at: Nanos,
    // Neither flattened nor tagged within: numbers read by way of a buffer fail wherever another crate turns
    // on serde_json's arbitrary precision.
    pub seen: Seen,
}

#[derive(Debug, thiserror::Error)]
pub enum LedgerError {
    #[error("{0}: {1}")]
    Io(String, std::io::Error),
    #[error("{file}:{line}: {what}; expected a ledger entry")]
    Line {
        file: String,
        line: usize,
        what: String,
    },
    #[error("more than {MOST} entries")]
    TooLong,
    #[error("{0}: no ledger there; expected files that end in .ledger")]
    Empty(String),
}

/// Reads all files of a folder that end in `.ledger`, in order of time.
///
/// # Errors
/// The first line that is no entry, with its file.
pub fn read(folder: &Path) -> Result<Vec<Entry>, LedgerError> {
    let shown = folder.display().to_string();
    let io = |error| LedgerError::Io(shown.clone(), error);
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .map_err(io)?
        .filter_map(|entry| Some(entry.ok()?.path()))
        .filter(|path| path.extension().is_some_and(|ending| ending == "ledger"))
        .collect();
    files.sort();
    let mut entries: Vec<Entry> = Vec::new();
    for path in files {
        let file = path.display().to_string();
        let reader = BufReader::new(std::fs::File::open(&path).map_err(io)?);
        for (n, line) in reader.lines().enumerate() {
            let line = line.map_err(|error| LedgerError::Io(file.clone(), error))?;
            let entry = serde_json::from_str(&line).map_err(|error| LedgerError::Line {
                file: file.clone(),
                line: n + 1,
                what: error.to_string(),
            })?;
            if entries.len() >= MOST {
                return Err(LedgerError::TooLong);
            }
            entries.push(entry);
        }
    }
    if entries.is_empty() {
        return Err(LedgerError::Empty(shown));
    }
    entries.sort_by_key(|entry| entry.at);
    Ok(entries)
}

/// Writes entries to one file of a folder, which is made where it is missing.
///
/// # Errors
/// A file that cannot be written.
pub fn write(folder: &Path, name: &str, entries: &[Entry]) -> Result<(), LedgerError> {
    let io = |error| LedgerError::Io(folder.display().to_string(), error);
    std::fs::create_dir_all(folder).map_err(io)?;
    let file = std::fs::File::create(folder.join(format!("{name}.ledger"))).map_err(io)?;
    let mut out = BufWriter::new(file);
    for entry in entries {
        let line = serde_json::to_string(entry).map_err(|error| io(error.into()))?;
        writeln!(out, "{line}").map_err(io)?;
    }
    out.flush().map_err(io)
}
