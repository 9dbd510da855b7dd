//! The configuration file of the platform, decoded into what the parts take.

use crate::{control_plane, discovery};
use havenplank::interface::{Nanos, Stage};
use havenplank_adapter::line::{Fields, Line};
use havenplank_adapter::setup;
use havenplank_line_protocol::endpoint_list::ListedEndpoint;
use havenplank_sidecar::told::Terms;
use serde_json::{Map, Value};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// What one sidecar is told at its start, and again at SIGHUP.
pub struct Config {
    pub listen: SocketAddr,
    pub nodes: SocketAddr,
    pub desk: SocketAddr,
    pub stage: Option<Stage>,
    /// The pods as this sidecar last held them, and the list's version then.
    pub known: (u64, Vec<ListedEndpoint>),
    pub seed: u64,
    pub sockets: usize,
    /// Bytes of memory, over which the platform ends us.
    pub memory: usize,
    pub terms: Terms,
    /// The columns of a load report; none where pods report nothing.
    pub load: Vec<String>,
    pub links: Links,
    /// How long before a hit's time is up its answer must leave.
    pub answer_margin: Nanos,
}

/// Connections to pods.
#[derive(Clone, Copy, Debug)]
pub struct Links {
    pub connect_time: Duration,
    /// After which idle time the pod's machine closes a connection, at the latest.
    pub idle: Duration,
}

/// Why a configuration was refused: file, field and what was wrong there.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct Refused(String);

/// Takes a JSON object apart field by field; `what` names it in complaints.
pub fn object(what: &str, text: &[u8]) -> Result<Line, String> {
    let value: Value =
        serde_json::from_slice(text).map_err(|e| format!("{what}: not JSON ({e})"))?;
    match value {
        Value::Object(fields) => Ok(line(what, fields)),
        _ => Err(format!("{what}: expected a JSON object")),
    }
}

pub fn line(what: &str, fields: Map<String, Value>) -> Line {
    Line {
        number: 1,
        verb: what.to_string(),
        fields,
    }
}

fn address(fields: &Fields, field: &str) -> Result<SocketAddr, String> {
    fields
        .text(field)?
        .parse()
        .map_err(|_| fields.complain(field, "expected an IP address with a port"))
}

impl Config {
    /// # Errors
    /// A file that cannot be read, or the first field in it that is missing or wrong.
    pub fn load(file: &Path) -> Result<Config, Refused> {
        let refused = |why: String| Refused(format!("{}: {why}", file.display()));
        let text = std::fs::read(file).map_err(|error| refused(error.to_string()))?;
        Config::read(&text).map_err(refused)
    }

    /// # Errors
    /// The first field that is missing or wrong.
    pub fn read(text: &[u8]) -> Result<Config, String> {
        let whole = object("configuration", text)?;
        let f = whole.of();
        let settings = f.object("settings")?;
        let setup = setup::read(&settings)?;
        let (limits, rules) = (settings.object("limits")?, settings.object("rules")?);
        let machine = f.object("limits")?;
        let sockets = machine.whole("sockets")? as usize;
        // Above, shares of it would not fit the counters of what may be open.
        if !(64..=1 << 20).contains(&sockets) {
            return Err(machine.complain("sockets", "expected 64 to 1048576"));
        }
        let memory = machine.whole("memory_mb")?;
        if !(16..=1 << 16).contains(&memory) {
            return Err(machine.complain("memory_mb", "expected 16 to 65536"));
        }
        let seed = f.text("seed")?;
        let seed = u64::from_str_radix(seed, 16)
            .map_err(|_| f.complain("seed", "expected 16 hex digits"))?;
        let deployer = f.object("deployer")?;
        let stage = match deployer.maybe_has("news") {
            true => Some(control_plane::stage(&deployer.object("news")?)?),
            false => None,
        };
        let known = discovery::read(&f.object("known")?, discovery::wall())?;
        let names = setup.names;
        let terms = Terms {
            name: f.text("name")?.to_string(),
            place: setup.place,
            zones: names.zones,
            machines: names.machines,
            tenants: names.tenants,
            groups: names.groups.into_iter().zip(setup.groups).collect(),
            forwards: setup.forwards,
            pods: setup.pods,
            exposure: setup.exposure,
            votes: setup.votes,
            list: setup.list,
            reuse: true,
        };
        Ok(Config {
            listen: address(&f, "listen")?,
            nodes: address(&f, "discovery")?,
            desk: address(&deployer, "address")?,
            stage,
            known: (known.seq, known.pods),
            seed,
            sockets,
            memory: memory as usize * 1_000_000,
            terms,
            load: names.load,
            links: Links {
                connect_time: Duration::from_nanos(limits.whole("dialTimeoutNs")?),
                idle: Duration::from_nanos(limits.whole("connIdleNs")?),
            },
            answer_margin: rules.whole_or("answerSlackNs", 0)?,
        })
    }
}
