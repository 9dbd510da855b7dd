//! The ledger of a scenario: one JSON object per line, each with the time at which its writer observed the event, in
//! nanoseconds.
//!
//! Stored ledgers keep the names of an earlier version. Where the code has another name, a `serde` attribute states the
//! stored one.

use havenplank::interface::{
    Build, DedupScope, ExposureSettings, Idempotency, Nanos, Phase, PodState,
};
use serde::{Deserialize, Serialize};
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};

/// Limit on the entries of one ledger, about ten times what a long scenario writes; a longer ledger is refused.
pub const MAX_ENTRIES: usize = 20_000_000;

/// How a request ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// Served by a pod.
    Delivered,
    /// Rejected by the sidecar, which promises that a retry is harmless.
    Bounced,
    /// Failed; the request may have run.
    Errored,
    /// Refused before admission: not found, too large or malformed.
    NotTaken,
    /// The connection broke before the answer was complete.
    Broken,
    /// No answer came while the client waited, nor for some time after.
    Missing,
    /// The client left before its timeout, so no answer was due any more.
    Left,
}

/// The parameters of the rules: limits and tolerances that the checks apply.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RuleParameters {
    /// The route classes; entries refer to one by its index here.
    #[serde(rename = "groups")]
    pub classes: Vec<ClassRules>,
    /// How long attempts may still reach a pod after a notice that it is draining or gone, in nanoseconds.
    pub drain_grace: Nanos,
    /// A pod that warms up fails at this multiple of its capacity.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// The window over which the work of a warming pod is summed, in nanoseconds.
    #[serde(rename = "fall_window")]
    pub overload_window: Nanos,
    /// The rules for builds on trial.
    pub exposure: Exposure,
    /// How long after the client's timeout a final answer is still accepted, in nanoseconds.
    pub answer_slack: Nanos,
    /// Longest delay between sending something and its receipt by the other side, in nanoseconds.
    pub transit: Nanos,
}

/// What the rules need to know of a route class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassRules {
    /// Its name in the settings.
    pub name: String,
    /// Its [`Idempotency`], as the variant's index.
    #[serde(rename = "kind")]
    pub idempotency: u8,
    /// Its [`DedupScope`], as the variant's index.
    #[serde(rename = "scope")]
    pub dedup_scope: u8,
    /// How long pods drop repeats, counted from the first attempt that may have run, in nanoseconds.
    #[serde(rename = "repeat_window")]
    pub dedup_window: Nanos,
}

impl ClassRules {
    /// Returns the rules of a class; `dedup_window` is in nanoseconds.
    pub fn new(
        name: &str,
        idempotency: Idempotency,
        scope: DedupScope,
        dedup_window: Nanos,
    ) -> ClassRules {
        ClassRules {
            name: name.to_string(),
            idempotency: idempotency as u8,
            dedup_scope: scope as u8,
            dedup_window,
        }
    }

    /// Returns whether the requests of this class have the given idempotency.
    pub fn has_idempotency(&self, idempotency: Idempotency) -> bool {
        self.idempotency == idempotency as u8
    }

    /// Returns whether repeats are dropped within this scope.
    pub fn has_scope(&self, scope: DedupScope) -> bool {
        self.dedup_scope == scope as u8
    }
}

/// The rules for builds on trial.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Exposure {
    /// The window over which requests and attempts are counted, in nanoseconds.
    pub window: Nanos,
    /// Attempts allowed in each window on top of the cap's share.
    pub free: f64,
    /// Whether each class is counted separately.
    #[serde(rename = "per_group")]
    pub per_class: bool,
    /// Number of first stages that get idempotent requests only.
    #[serde(rename = "guarded_stages")]
    pub idempotent_only_stages: usize,
    /// Whether a key that a newer build has answered may not go back to an older one.
    #[serde(rename = "one_way")]
    pub sticky_keys: bool,
    /// The share of a window's requests that a build on trial may get, by stage, from 0 to 1.
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

/// Something that crossed a socket, or happened to a process.
///
/// `ask` is the number of one request as a client sent it. When the client retries, the new request has a new `ask` and
/// the same `operation`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerEvent {
    /// The parameters of the rules; the first entry of a ledger.
    #[serde(rename = "figures")]
    Parameters(RuleParameters),
    /// A sidecar process started.
    #[serde(rename = "sidecar_up")]
    SidecarStarted {
        /// The sidecar's name.
        sidecar: String,
    },
    /// A sidecar was killed; it owes no answers to its requests in flight.
    SidecarKilled {
        /// The sidecar's name.
        sidecar: String,
    },
    /// A sidecar was asked to stop; it need not admit requests that reach it from now on.
    #[serde(rename = "sidecar_stops")]
    SidecarStopRequested {
        /// The sidecar's name.
        sidecar: String,
    },
    /// A client sent a request to a sidecar.
    #[serde(rename = "asked")]
    RequestSent {
        /// The number of the request.
        ask: u64,
        /// The number of the client's operation, which all its retries share.
        #[serde(rename = "hit")]
        operation: u64,
        /// The sidecar that the request was sent to.
        sidecar: String,
        /// The index of its route class in [`RuleParameters::classes`].
        #[serde(rename = "group")]
        class: usize,
        /// Its idempotency key as a number; 0 for none.
        key: u64,
        /// How long the client waits, in nanoseconds.
        #[serde(rename = "left")]
        remaining: Nanos,
    },
    /// A client got the answer to a request, or stopped waiting for it.
    Answered {
        /// The number of the request.
        ask: u64,
        /// How the request ended.
        answer: Answer,
        /// How long a rejected client is advised to wait before it retries, in nanoseconds.
        #[serde(rename = "come_back")]
        retry_after: Nanos,
    },
    /// A pod started.
    #[serde(rename = "pod_up")]
    PodStarted {
        /// The pod's name.
        pod: String,
        /// Its incarnation: the number of this start, counted over all pods.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The build that it runs.
        build: Build,
        /// The zone that it runs in.
        zone: String,
        /// The cell within which pods share idempotency keys.
        cell: i64,
        /// How its capacity grows after the start.
        #[serde(rename = "cold")]
        slow_start: SlowStart,
    },
    /// A pod failed under load while it warmed up.
    #[serde(rename = "pod_fell")]
    PodOverloaded {
        /// The pod's name.
        pod: String,
        /// The pod's incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
    },
    /// A pod received an attempt completely, however it ended.
    Arrived {
        /// The number of the request.
        ask: u64,
        /// The sidecar that sent the attempt.
        sidecar: String,
        /// The pod that received it.
        pod: String,
        /// The pod's incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The work that it needs, in nanoseconds of one core.
        work: Nanos,
    },
    /// A pod rejected an attempt with the proof that it did not run.
    #[serde(rename = "unseen")]
    Unprocessed {
        /// The number of the request.
        ask: u64,
        /// The pod's name.
        pod: String,
        /// The pod's incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
    },
    /// An attempt took effect; not written for a repeat that was dropped.
    #[serde(rename = "ran")]
    TookEffect {
        /// The number of the request.
        ask: u64,
        /// The pod's name.
        pod: String,
        /// The pod's incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
    },
    /// A pod sent an answer of success.
    #[serde(rename = "gave")]
    Succeeded {
        /// The number of the request.
        ask: u64,
        /// The pod's name.
        pod: String,
        /// The pod's incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
    },
    /// Service discovery sent a sidecar the state of a pod.
    #[serde(rename = "told")]
    EndpointAnnounced {
        /// The sidecar that the state was sent to.
        sidecar: String,
        /// The pod's name.
        pod: String,
        /// The pod's incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
        /// As [`state_name`] writes it; also `gone` where a complete list no longer names the pod.
        state: String,
    },
    /// The control plane sent a sidecar the stage of a release.
    #[serde(rename = "news")]
    StageAnnounced {
        /// The sidecar that the stage was sent to.
        sidecar: String,
        /// The build on trial.
        build: Build,
        /// The stage, counted from 0.
        stage: usize,
        /// As [`phase_name`] writes it.
        phase: String,
        /// The share of a window's requests that the build may get, from 0 to 1.
        cap: f64,
    },
}

/// How the capacity of a pod grows after its start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlowStart {
    /// Its capacity when warm, in nanoseconds of work per second.
    pub capacity: f64,
    /// The share of that capacity with which it starts, from 0 to 1.
    #[serde(rename = "share")]
    pub initial_share: f64,
    /// How long it takes to reach full capacity, in nanoseconds.
    pub warm_up: Nanos,
}

impl SlowStart {
    /// Returns the capacity at an age in nanoseconds, in nanoseconds of work per second.
    pub fn capacity_at(&self, age: Nanos) -> f64 {
        let warm = (age as f64 / self.warm_up.max(1) as f64).min(1.0);
        self.capacity * (self.initial_share + (1.0 - self.initial_share) * warm)
    }
}

/// Returns the ledger's name of a pod's state.
pub fn state_name(state: PodState) -> String {
    format!("{state:?}").to_lowercase()
}

/// Returns the ledger's name of a release's phase.
pub fn phase_name(phase: Phase) -> String {
    let name = match phase {
        Phase::Trial => "trial",
        Phase::RollingBack => "goingback",
        Phase::Released => "released",
        Phase::Withdrawn => "withdrawn",
    };
    name.to_string()
}

/// One line of a ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// When the event was observed, on the ledger's clock, in nanoseconds.
    pub at: Nanos,
    /// What was observed.
    // Neither flattened nor internally tagged: serde then reads numbers through a buffer, which fails where another
    // crate turns on the `arbitrary_precision` feature of `serde_json`.
    #[serde(rename = "seen")]
    pub event: LedgerEvent,
}

/// Why a ledger cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum LedgerError {
    /// The disk or the file system failed.
    #[error("{path}: {source}")]
    Io {
        /// The file or folder.
        path: String,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// A line is not a valid entry.
    #[error("{file}:{line}: {source}; expected a ledger entry")]
    Line {
        /// The file.
        file: String,
        /// The line, counted from 1.
        line: usize,
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
    /// The ledger has more entries than [`MAX_ENTRIES`].
    #[error("the ledger has more than {MAX_ENTRIES} entries")]
    TooLong,
    /// The folder holds no entry.
    #[error("{folder}: no ledger found; expected files that end in .ledger")]
    Empty {
        /// The folder.
        folder: String,
    },
}

/// Reads all files of a folder that end in `.ledger`, and returns their entries in order of time.
///
/// # Errors
/// A file cannot be read, a line is not an entry, or the folder holds too many entries or none.
pub fn read(folder: &Path) -> Result<Vec<Entry>, LedgerError> {
    let mut entries = Vec::new();
    for path in ledger_files(folder)? {
        read_file(&path, &mut entries)?;
    }
    if entries.is_empty() {
        let folder = folder.display().to_string();
        return Err(LedgerError::Empty { folder });
    }
    entries.sort_by_key(|entry| entry.at);
    Ok(entries)
}

fn ledger_files(folder: &Path) -> Result<Vec<PathBuf>, LedgerError> {
    let listed = std::fs::read_dir(folder).map_err(failed_at(folder))?;
    let paths = listed.filter_map(|entry| Some(entry.ok()?.path()));
    let mut files: Vec<PathBuf> = paths
        .filter(|path| path.extension().is_some_and(|ending| ending == "ledger"))
        .collect();
    files.sort();
    Ok(files)
}

fn read_file(path: &Path, entries: &mut Vec<Entry>) -> Result<(), LedgerError> {
    let file = std::fs::File::open(path).map_err(failed_at(path))?;
    for (line, text) in (1..).zip(BufReader::new(file).lines()) {
        let text = text.map_err(failed_at(path))?;
        let entry = serde_json::from_str(&text).map_err(|source| LedgerError::Line {
            file: path.display().to_string(),
            line,
            source,
        })?;
        if entries.len() >= MAX_ENTRIES {
            return Err(LedgerError::TooLong);
        }
        entries.push(entry);
    }
    Ok(())
}

/// Writes entries to one file of a folder, and creates the folder if it is missing.
///
/// # Errors
/// The folder or the file cannot be written.
pub fn write(folder: &Path, name: &str, entries: &[Entry]) -> Result<(), LedgerError> {
    std::fs::create_dir_all(folder).map_err(failed_at(folder))?;
    let path = folder.join(format!("{name}.ledger"));
    let file = std::fs::File::create(&path).map_err(failed_at(&path))?;
    let mut out = BufWriter::new(file);
    for entry in entries {
        let line = serde_json::to_string(entry)
            .map_err(std::io::Error::from)
            .map_err(failed_at(&path))?;
        writeln!(out, "{line}").map_err(failed_at(&path))?;
    }
    out.flush().map_err(failed_at(&path))
}

/// Returns a function that adds the path to an error of the file system.
fn failed_at(path: &Path) -> impl FnOnce(std::io::Error) -> LedgerError + '_ {
    move |source| LedgerError::Io {
        path: path.display().to_string(),
        source,
    }
}
