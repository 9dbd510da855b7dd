//! The ledger: one JSON object a line, each with the time that its writer saw it, in nanoseconds.
//!
//! Names of entries and fields are those of stored ledgers; where the code has another name, the derive states the stored
//! one.

use havenplank::interface::{
    Build, DedupScope, ExposureSettings, Idempotency, Nanos, Phase, PodState,
};
use serde::{Deserialize, Serialize};
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};

/// Entries that one ledger may hold: some ten times what a long day writes. One more is refused.
pub const MAX_ENTRIES: usize = 20_000_000;

/// How a request ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// Served by a pod.
    Delivered,
    /// Rejected: a retry is harmless.
    Bounced,
    /// Failed: it may have run.
    Errored,
    /// Refused before it was admitted: not found, too large, malformed.
    NotTaken,
    /// The connection broke before the answer was whole.
    Broken,
    /// None came while the client waited, and some time beyond.
    Missing,
    /// The client went away by itself: no answer was due any more.
    Left,
}

/// The figures that the rules are checked by.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// The route classes; entries name one by its place here.
    pub groups: Vec<Group>,
    /// How long after a notice that a pod drains or is gone attempts may still reach it, in nanoseconds.
    pub drain_grace: Nanos,
    /// A pod that warms up fails at this multiple of its capacity.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// Over which its work is summed, in nanoseconds.
    #[serde(rename = "fall_window")]
    pub overload_window: Nanos,
    /// The rules for builds on trial.
    pub exposure: Exposure,
    /// How long after its time is up a final answer still counts, in nanoseconds.
    pub answer_slack: Nanos,
    /// How much later than it was sent the other side may see something, in nanoseconds.
    pub transit: Nanos,
}

/// A route class, as far as the rules need it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// Its name in the settings.
    pub name: String,
    /// The place of its [`Idempotency`] among the variants.
    pub kind: u8,
    /// The place of its [`DedupScope`] among the variants.
    pub scope: u8,
    /// How long, from the first attempt that may have run, pods drop repeats, in nanoseconds.
    #[serde(rename = "repeat_window")]
    pub dedup_window: Nanos,
}

impl Group {
    /// Returns the class of these rules; `dedup_window` in nanoseconds.
    pub fn new(name: &str, kind: Idempotency, scope: DedupScope, dedup_window: Nanos) -> Group {
        Group {
            name: name.to_string(),
            kind: kind as u8,
            scope: scope as u8,
            dedup_window,
        }
    }

    /// Returns whether its requests are of this idempotency.
    pub fn is(&self, kind: Idempotency) -> bool {
        self.kind == kind as u8
    }

    /// Returns whether this scope drops its repeats.
    pub fn scoped(&self, scope: DedupScope) -> bool {
        self.scope == scope as u8
    }
}

/// The rules for builds on trial.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Exposure {
    /// Over which requests and attempts are counted, in nanoseconds.
    pub window: Nanos,
    /// Attempts in each window beyond the cap's share.
    pub free: f64,
    /// Whether each class is counted by itself.
    #[serde(rename = "per_group")]
    pub per_class: bool,
    /// The first stages, which get idempotent requests only.
    #[serde(rename = "guarded_stages")]
    pub idempotent_only_stages: usize,
    /// Whether a key that a newer build has answered may not go back to an older one.
    #[serde(rename = "one_way")]
    pub sticky_keys: bool,
    /// The share of a window's requests that each stage may get, from 0 to 1.
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

/// Something that crossed a socket, or happened to a process. `ask` numbers one request as a client sends it: what its
/// client retries has a new `ask` and the same `hit`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Seen {
    /// The figures that the rules are checked by; before all others.
    Figures(Figures),
    /// A sidecar began.
    SidecarUp {
        /// Its name.
        sidecar: String,
    },
    /// Killed: its requests in flight are no longer its duty.
    SidecarKilled {
        /// Its name.
        sidecar: String,
    },
    /// Told to stop: what reaches it from now on it need not admit.
    SidecarStops {
        /// Its name.
        sidecar: String,
    },
    /// A client wrote a request to a sidecar.
    Asked {
        /// Its number.
        ask: u64,
        /// The same over all retries of its client.
        hit: u64,
        /// To whom it was written.
        sidecar: String,
        /// The place of its route class among the figures.
        group: usize,
        /// Its idempotency key; 0 for none.
        key: u64,
        /// How long the client waits, in nanoseconds.
        left: Nanos,
    },
    /// A client got the answer to a request, or what stands for one.
    Answered {
        /// The request.
        ask: u64,
        /// What it got.
        answer: Answer,
        /// When a rejected client may retry, from now, in nanoseconds.
        #[serde(rename = "come_back")]
        retry_after: Nanos,
    },
    /// A pod began.
    PodUp {
        /// Its name.
        pod: String,
        /// Which start of it, counted over all pods.
        life: u64,
        /// The build that it runs.
        build: Build,
        /// Where it runs.
        zone: String,
        /// The cell within which pods share idempotency keys.
        cell: i64,
        /// How it warms up.
        cold: Cold,
    },
    /// A pod failed under load while it warmed up.
    PodFell {
        /// Its name.
        pod: String,
        /// Which start of it.
        life: u64,
    },
    /// A pod read an attempt whole, whatever came of it.
    Arrived {
        /// The request.
        ask: u64,
        /// Who sent it.
        sidecar: String,
        /// Who read it.
        pod: String,
        /// Which start of the pod.
        life: u64,
        /// What it takes, in nanoseconds of one core.
        work: Nanos,
    },
    /// The pod turned an attempt away with the proof that it never ran.
    Unseen {
        /// The request.
        ask: u64,
        /// The pod\'s name.
        pod: String,
        /// Which start of the pod.
        life: u64,
    },
    /// An attempt took effect; not written for a repeat that was dropped.
    Ran {
        /// The request.
        ask: u64,
        /// The pod\'s name.
        pod: String,
        /// Which start of the pod.
        life: u64,
    },
    /// The pod's answer of success left.
    Gave {
        /// The request.
        ask: u64,
        /// The pod\'s name.
        pod: String,
        /// Which start of the pod.
        life: u64,
    },
    /// Service discovery told a sidecar of a pod.
    Told {
        /// Who was told.
        sidecar: String,
        /// The pod's name.
        pod: String,
        /// Which start of the pod.
        life: u64,
        /// As [`state_name`] writes it; `gone` also where a whole list no longer names the pod.
        state: String,
    },
    /// The control plane told a sidecar of a release's stage.
    News {
        /// Who was told.
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

/// How a pod warms up.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cold {
    /// What it bears when warm, in nanoseconds of work a second.
    pub capacity: f64,
    /// The share of it with which it starts, from 0 to 1.
    pub share: f64,
    /// How long until it is warm, in nanoseconds.
    pub warm_up: Nanos,
}

impl Cold {
    /// Returns the nanoseconds of work a second that it bears at an age in nanoseconds.
    pub fn at(&self, age: Nanos) -> f64 {
        let warm = (age as f64 / self.warm_up.max(1) as f64).min(1.0);
        self.capacity * (self.share + (1.0 - self.share) * warm)
    }
}

/// Returns the ledger's word for a state of a pod.
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

/// One line of a ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// When it was seen, on the ledger's clock, in nanoseconds.
    pub at: Nanos,
    /// What was seen.
    // Neither flattened nor tagged within: numbers read by way of a buffer fail wherever another crate turns
    // on serde_json's arbitrary precision.
    pub seen: Seen,
}

/// Why a ledger cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum LedgerError {
    /// The disk or the file system failed.
    #[error("{path}: {source}")]
    Io {
        /// The file or folder.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// A line that is no entry.
    #[error("{file}:{line}: {source}; expected a ledger entry")]
    Line {
        /// The file.
        file: String,
        /// Counted from 1.
        line: usize,
        /// Why it is none.
        source: serde_json::Error,
    },
    /// More entries than [`MAX_ENTRIES`].
    #[error("more than {MAX_ENTRIES} entries")]
    TooLong,
    /// The folder holds no entry.
    #[error("{folder}: no ledger there; expected files that end in .ledger")]
    Empty {
        /// The folder.
        folder: String,
    },
}

/// Reads all files of a folder that end in `.ledger`, in order of time.
///
/// # Errors
/// A file that cannot be read, the first line that is no entry, too many entries, or none.
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

/// Writes entries to one file of a folder, which is made where it is missing.
///
/// # Errors
/// A folder or file that cannot be written.
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

/// Returns what turns an error of the file system at a path into one of the ledger.
fn failed_at(path: &Path) -> impl FnOnce(std::io::Error) -> LedgerError + '_ {
    move |source| LedgerError::Io {
        path: path.display().to_string(),
        source,
    }
}
