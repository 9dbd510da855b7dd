//! The configuration file of the platform, decoded into what the parts take.

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

/// Descriptors of the process. With more, shares of them would not fit the counters of what may be open.
const DESCRIPTORS: RangeInclusive<usize> = 64..=1 << 20;
/// Memory of the process, in megabytes.
const MEMORY_MB: RangeInclusive<u64> = 16..=1 << 16;
const BYTES_PER_MB: usize = 1_000_000;
const SEED_RADIX: u32 = 16;

/// The settings of one sidecar, read at its start and again at SIGHUP.
pub struct Config {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is reached.
    pub discovery: SocketAddr,
    /// Where the control plane is reached.
    pub control_plane: SocketAddr,
    /// The state of the newest build, where it is known.
    pub stage: Option<Stage>,
    /// The endpoints as this sidecar last had them, with the list's version then.
    pub known: ListUpdate,
    /// Seed of the router's random choices and of the jitter between reconnections.
    pub seed: u64,
    /// Descriptors that the process may open.
    pub descriptors: usize,
    /// Bytes of memory, over which the platform ends the process.
    pub memory_bytes: usize,
    /// What the engine is built from.
    pub engine: EngineSettings,
    /// Fields of a load report; none where pods report nothing.
    pub load_fields: Vec<String>,
    /// Connections to pods.
    pub pod_connections: PodConnectionSettings,
    /// How long before a request's deadline its response must leave.
    pub response_margin: Nanos,
}

/// Connections to pods.
#[derive(Clone, Copy, Debug)]
pub struct PodConnectionSettings {
    /// Bound on getting a connection.
    pub connect_timeout: Duration,
    /// After which idle time the pod's machine closes a connection, at the latest.
    pub idle_limit: Duration,
}

/// Why a configuration file was refused.
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
    /// Something in it is missing or wrong.
    #[error("{}: {source}", file.display())]
    Invalid {
        /// The file.
        file: PathBuf,
        /// The field, and what was expected there.
        #[source]
        source: FieldError,
    },
}

impl Config {
    /// Reads a configuration file.
    ///
    /// # Errors
    /// A file that cannot be read, or the first field in it that is missing or wrong.
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
    /// The first field that is missing or wrong.
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
        let known = list_update::decode(&root.object("known")?, UnixTime::now())?;
        let name = root.text("name")?.to_string();
        let load_fields = setup.names.load_columns.clone();
        Ok(Config {
            listen: address(&root, "listen")?,
            discovery: address(&root, "discovery")?,
            control_plane: address(&deployer, "address")?,
            stage,
            known,
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
    if !DESCRIPTORS.contains(&descriptors) {
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
    if !MEMORY_MB.contains(&megabytes) {
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
