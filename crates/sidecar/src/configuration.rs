//! Routes and tenants that change while a sidecar runs: a version that peers bring is checked, put in force between two
//! requests, and kept for the next start.

use crate::persister::Persister;
use crate::replication::{Host, Spreading};
use crate::routes::{routes_of, RouteTable};
use crate::transport::Shell;
use havenplank::interface::RouteClass;
use havenplank_configuration::delta::Delta;
use havenplank_configuration::record::BackupMode;
use havenplank_configuration::snapshot::Snapshot;
use havenplank_configuration::spread::{Kept as Held, Peer, Role, Rules, Spreader};
use havenplank_configuration::store::{Opened, Store, StoreError};
use havenplank_settings::Site;
use serde_json::Value;
use std::path::Path;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

/// Why a version cannot be put in force here.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InstallError {
    #[error(
        "route {route:?} asks for backups, but the settings of this sidecar have no takeover(...)"
    )]
    NoTakeover { route: String },
    #[error("service {service:?} names zone {zone:?}, which is none of this sidecar's zones")]
    UnknownZone { service: String, zone: String },
    #[error("this sidecar is stopping")]
    Stopping,
}

/// The version that an earlier run kept, with the store that holds it.
pub struct Kept {
    store: Store,
    deltas: Vec<Arc<Delta>>,
}

impl Kept {
    /// # Errors
    /// A folder that another process uses, or that cannot be read.
    pub fn open(folder: &Path) -> Result<Kept, StoreError> {
        let Opened {
            store,
            deltas,
            torn_tail,
        } = Store::open(folder)?;
        if let Some(torn) = torn_tail {
            tracing::info!(
                bytes = torn.bytes,
                "the end of an unfinished write was cut off the kept configuration"
            );
        }
        Ok(Kept { store, deltas })
    }
}

/// The configuration of one sidecar.
pub struct Configuration {
    spreading: Rc<Spreading<InForce>>,
}

impl Configuration {
    /// What an operator sees.
    pub fn state(&self) -> Value {
        let mut state = self.spreading.state();
        state["kept"] = self.spreading.host().keeper.kept().to_string().into();
        state
    }
}

/// Puts the kept version in force and takes newer ones from peers from now on. Nothing happens where the settings have
/// no configuration or no peers.
pub fn start(shell: &Rc<Shell>, kept: Kept, seed: u64) {
    let site = &shell.site;
    let settings = (
        site.configuration.as_ref(),
        site.fellowship.as_ref(),
        shell.fellowship.as_ref(),
    );
    let (Some(settings), Some(membership), Some(fellowship)) = settings else {
        return;
    };
    let held = begin(shell, &kept);
    let zone = site.zones.get(site.place.zone).cloned().unwrap_or_default();
    let me = Peer {
        life: fellowship.me().clone(),
        zone,
    };
    let rules = Rules {
        fetch_bytes_per_s: settings.fetch_bytes_per_s,
        serve_bytes_per_s: settings.serve_bytes_per_s,
        ..Rules::default()
    };
    let spreader = Spreader::new(
        fellowship.now(),
        seed ^ me.life.incarnation,
        me,
        Role::Sidecar,
        held,
        rules,
    );
    let host = InForce {
        shell: Rc::downgrade(shell),
        keeper: Persister::start(kept.store),
    };
    let period = Duration::from_nanos(membership.period);
    let spreading = Spreading::start(fellowship, spreader, host, period);
    let _ = shell
        .configuration
        .set(Rc::new(Configuration { spreading }));
}

/// Puts the kept version in force; an empty one where that is not possible any more, so that it is fetched and offered
/// again.
fn begin(shell: &Rc<Shell>, kept: &Kept) -> Held {
    let snapshot = kept.store.snapshot().clone();
    let version = snapshot.version();
    match install(shell, &snapshot) {
        Ok(()) => {
            tracing::info!(%version, digest = %snapshot.digest(), "kept configuration in force");
            Held {
                snapshot,
                deltas: kept.deltas.clone(),
            }
        }
        Err(reason) => {
            tracing::error!(%version, %reason, "the kept configuration cannot be put in force");
            let empty = Snapshot::empty();
            if let Err(reason) = install(shell, &empty) {
                tracing::error!(%reason, "no configuration");
            }
            Held {
                snapshot: empty,
                deltas: Vec::new(),
            }
        }
    }
}

/// What puts versions in force in a sidecar.
struct InForce {
    /// The shell owns the configuration, and so is not owned by it.
    shell: Weak<Shell>,
    keeper: Persister,
}

impl Host for InForce {
    type Error = InstallError;

    fn install(&self, snapshot: &Snapshot) -> Result<(), InstallError> {
        let shell = self.shell.upgrade().ok_or(InstallError::Stopping)?;
        install(&shell, snapshot)?;
        self.keeper.keep(snapshot.clone());
        Ok(())
    }
}

/// Swaps routes and tenants whole, with their rules in the decisions, in one call between two requests.
fn install(shell: &Shell, snapshot: &Snapshot) -> Result<(), InstallError> {
    check(&shell.site, snapshot)?;
    let groups = routes_of(snapshot);
    let rules: Vec<(String, RouteClass)> = groups
        .iter()
        .map(|group| (group.name.clone(), group.rules))
        .collect();
    let slots = shell.set_routes(&rules);
    let table = RouteTable::from_snapshot(snapshot.clone(), &groups, slots);
    shell.routes.replace(Rc::new(table));
    Ok(())
}

/// Whether this sidecar has all that the version asks of it.
fn check(site: &Site, snapshot: &Snapshot) -> Result<(), InstallError> {
    let backed_up = snapshot
        .routes()
        .find(|route| route.rules.backup != BackupMode::Off);
    if let Some(route) = backed_up.filter(|_| site.takeover.is_none()) {
        return Err(InstallError::NoTakeover {
            route: route.name.clone(),
        });
    }
    for service in snapshot.services() {
        if let Some(zone) = service.zones.iter().find(|zone| !site.zones.contains(zone)) {
            let (service, zone) = (service.name.clone(), zone.clone());
            return Err(InstallError::UnknownZone { service, zone });
        }
    }
    Ok(())
}
