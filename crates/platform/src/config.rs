//! Decodes the configuration file of the platform into the settings of the engine and of the sockets.

use crate::control_plane::messages::decode_stage;
use crate::discovery::list_update::{self, ListUpdate};
use crate::fields::{self, parse_object, FieldError};
use crate::wall_clock::UnixTime;
use havenplank::interface::{Nanos, Stage};
use havenplank_adapter::line::Fields;
use havenplank_adapter::setup::{self, Setup};
use havenplank_sidecar::engine::EngineSettings;
use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Valid numbers of file descriptors of the process. The upper limit keeps the budgets derived from the number within
/// the range of the counters of open connections.
const DESCRIPTOR_RANGE: RangeInclusive<usize> = 64..=1 << 20;
/// Valid sizes of the memory of the process, in megabytes.
const MEMORY_MB_RANGE: RangeInclusive<u64> = 16..=1 << 16;
const BYTES_PER_MB: usize = 1_000_000;
const SEED_RADIX: u32 = 16;

/// The settings of one sidecar, read at its start and again at SIGHUP.
pub struct Config {
    /// Address to listen on for clients.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address of the control plane.
    pub control_plane: SocketAddr,
    /// The stage of the newest build; `None` if the file does not state it.
    pub stage: Option<Stage>,
    /// The endpoint list to start from, as this sidecar last received it.
    pub initial_list: ListUpdate,
    /// Seed of the engine's random choices and of the jitter between reconnections.
    pub seed: u64,
    /// File descriptors that the process may open.
    pub descriptors: usize,
    /// Memory limit in bytes; the platform kills the process if it exceeds the limit.
    pub memory_bytes: usize,
    /// Settings of the engine.
    pub engine: EngineSettings,
    /// Fields of a load report; empty if pods report no load.
    pub load_fields: Vec<String>,
    /// Settings of connections to pods.
    pub pod_connections: PodConnectionSettings,
    /// How long before a request's deadline its response must be sent, in nanoseconds.
    pub response_margin: Nanos,
}

/// Settings of connections to pods.
#[derive(Clone, Copy, Debug)]
pub struct PodConnectionSettings {
    /// Limit on acquiring a connection, which includes waiting for a permit and connecting.
    pub connect_timeout: Duration,
    /// Idle time after which the pod's machine closes a connection at the latest.
    pub idle_limit: Duration,
}

/// Why a configuration file was rejected.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{}: {source}", file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// Why it cannot be read.
        #[source]
        source: io::Error,
    },
    /// A field in the file is missing or invalid.
    #[error("{}: {source}", file.display())]
    Invalid {
        /// The file.
        file: PathBuf,
        /// The path to the field, and what was expected.
        #[source]
        source: FieldError,
    },
}

impl Config {
    /// Reads a configuration file.
    ///
    /// # Errors
    /// Fails if the file cannot be read, and at the first field that is missing or invalid.
    pub fn load(file: &Path) -> Result<Config, ConfigError> {
        let text = std::fs::read(file).map_err(|source| ConfigError::Read {
            file: file.to_path_buf(),
            source,
        })?;
        Config::parse(&text).map_err(|source| ConfigError::Invalid {
            file: file.to_path_buf(),
            source,
        })
    }

    /// Decodes the text of a configuration file.
    ///
    /// # Errors
    /// Fails at the first field that is missing or invalid.
    pub fn parse(text: &[u8]) -> Result<Config, FieldError> {
        let object = parse_object("configuration", text)?;
        let root = object.fields();
        let settings = root.object("settings")?;
        let setup = setup::decode(&settings)?;
        let descriptors = descriptors(&root)?;
        let memory_bytes = memory_bytes(&root)?;
        let seed = seed(&root)?;
        let deployer = root.object("deployer")?;
        let stage = stage(&deployer)?;
        let initial_list = list_update::decode(&root.object("known")?, UnixTime::now())?;
        let name = root.text("name")?.to_string();
        let load_fields = setup.names.load_columns.clone();
        Ok(Config {
            listen: address(&root, "listen")?,
            discovery: address(&root, "discovery")?,
            control_plane: address(&deployer, "address")?,
            stage,
            initial_list,
            seed,
            descriptors,
            memory_bytes,
            engine: engine_settings(name, setup),
            load_fields,
            pod_connections: pod_connections(&settings)?,
            response_margin: response_margin(&settings)?,
        })
    }
}

fn address(fields: &Fields, field: &str) -> Result<SocketAddr, FieldError> {
    let parsed = fields.text(field)?.parse();
    parsed.map_err(|_| fields::invalid(fields, field, "expected an IP address with a port"))
}

fn descriptors(root: &Fields) -> Result<usize, FieldError> {
    let limits = root.object("limits")?;
    let descriptors = limits.integer("sockets")? as usize;
    if !DESCRIPTOR_RANGE.contains(&descriptors) {
        return Err(fields::invalid(
            &limits,
            "sockets",
            "expected 64 to 1048576",
        ));
    }
    Ok(descriptors)
}

fn memory_bytes(root: &Fields) -> Result<usize, FieldError> {
    let limits = root.object("limits")?;
    let megabytes = limits.integer("memory_mb")?;
    if !MEMORY_MB_RANGE.contains(&megabytes) {
        return Err(fields::invalid(
            &limits,
            "memory_mb",
            "expected 16 to 65536",
        ));
    }
    Ok(megabytes as usize * BYTES_PER_MB)
}

fn seed(root: &Fields) -> Result<u64, FieldError> {
    let digits = root.text("seed")?;
    u64::from_str_radix(digits, SEED_RADIX)
        .map_err(|_| fields::invalid(root, "seed", "expected 16 hex digits"))
}

fn stage(deployer: &Fields) -> Result<Option<Stage>, FieldError> {
    if !deployer.has("news") {
        return Ok(None);
    }
    decode_stage(&deployer.object("news")?).map(Some)
}

fn pod_connections(settings: &Fields) -> Result<PodConnectionSettings, FieldError> {
    let limits = settings.object("limits")?;
    Ok(PodConnectionSettings {
        connect_timeout: Duration::from_nanos(limits.integer("dialTimeoutNs")?),
        idle_limit: Duration::from_nanos(limits.integer("connIdleNs")?),
    })
}

fn response_margin(settings: &Fields) -> Result<Nanos, FieldError> {
    let rules = settings.object("rules")?;
    Ok(rules.integer_or("answerSlackNs", 0)?)
}

fn engine_settings(name: String, setup: Setup) -> EngineSettings {
    let Setup { names, router } = setup;
    let class_names = names.route_classes.into_iter();
    EngineSettings {
        name,
        position: router.position,
        zones: names.zones,
        machines: names.machines,
        tenants: names.tenants,
        route_classes: class_names.zip(router.route_classes).collect(),
        attempts: router.attempts,
        pods: router.pods,
        exposure: router.exposure,
        votes: router.votes,
        endpoint_list: router.endpoint_list,
        reuse_pod_ids: true,
    }
}
