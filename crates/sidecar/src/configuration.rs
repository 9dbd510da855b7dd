//! Changes routes and tenants while a sidecar runs. A configuration version received from peers is checked, installed
//! between two requests, and cached on disk for the next start.

use crate::persister::Persister;
use crate::replication::{Installer, Replication};
use crate::routes::{routes_of, RouteTable};
use crate::shell::{ConfigurationSource, Shell};
use havenplank::interface::RouteClass;
use havenplank_configuration::delta::Delta;
use havenplank_configuration::record::BackupMode;
use havenplank_configuration::replication::{
    CachedConfiguration as InstalledVersion, Peer, ReplicationSettings, Replicator, Role,
};
use havenplank_configuration::snapshot::Snapshot;
use havenplank_configuration::store::{Opened, Store, StoreError};
use havenplank_settings::Site;
use serde_json::Value;
use std::path::Path;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

/// The reason why this sidecar cannot install a version.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InstallError {
    /// A route requires backups, but this sidecar has no settings for takeover.
    #[error(
        "route {route:?} asks for backups, but the settings of this sidecar have no takeover(...)"
    )]
    NoTakeover {
        /// The route's name.
        route: String,
    },
    /// A service is in a zone that this sidecar does not know.
    #[error("service {service:?} names zone {zone:?}, which is none of this sidecar's zones")]
    UnknownZone {
        /// The service's name.
        service: String,
        /// The zone's name.
        zone: String,
    },
    /// The sidecar is stopping.
    #[error("this sidecar is stopping")]
    Stopping,
}

/// The version that an earlier run cached, and the store that holds it.
pub struct CachedConfiguration {
    store: Store,
    deltas: Vec<Arc<Delta>>,
}

impl CachedConfiguration {
    /// Opens the folder in which versions are cached.
    ///
    /// # Errors
    /// Fails if another process uses the folder, or if its content cannot be read.
    pub fn open(folder: &Path) -> Result<CachedConfiguration, StoreError> {
        let Opened {
            store,
            deltas,
            torn_tail,
        } = Store::open(folder)?;
        if let Some(torn) = torn_tail {
            tracing::info!(
                bytes = torn.bytes,
                "removed an incomplete write from the end of the cached configuration"
            );
        }
        Ok(CachedConfiguration { store, deltas })
    }
}

/// The configuration of one sidecar, as the source of its reported state.
struct Configuration {
    replication: Rc<Replication<ShellInstaller>>,
}

impl ConfigurationSource for Configuration {
    fn state(&self) -> Value {
        let mut state = self.replication.state();
        let persisted = self.replication.installer().persister.persisted();
        state["kept"] = persisted.to_string().into();
        state
    }
}

/// Installs the cached version, and newer versions as peers send them. Does nothing if the settings have no
/// configuration or no membership.
pub fn start(shell: &Rc<Shell>, cached: CachedConfiguration, seed: u64) {
    let site = &shell.site;
    let settings = site.configuration.as_ref().zip(site.membership.as_ref());
    let Some(((settings, peers), membership)) = settings.zip(shell.membership.as_ref()) else {
        return;
    };
    let installed = install_cached(shell, &cached);
    let me = Peer {
        member_id: membership.me().clone(),
        zone: site
            .zones
            .get(site.position.zone)
            .cloned()
            .unwrap_or_default(),
    };
    let rules = ReplicationSettings {
        fetch_bytes_per_s: settings.fetch_bytes_per_s,
        serve_bytes_per_s: settings.serve_bytes_per_s,
        ..ReplicationSettings::default()
    };
    let seed = seed ^ me.member_id.incarnation;
    let replicator = Replicator::new(membership.now(), seed, me, Role::Sidecar, installed, rules);
    let installer = ShellInstaller {
        shell: Rc::downgrade(shell),
        persister: Persister::start(cached.store),
    };
    let period = Duration::from_nanos(peers.probe_interval);
    let replication = Replication::start(membership, replicator, installer, period);
    let _ = shell
        .configuration
        .set(Box::new(Configuration { replication }));
}

/// Installs the cached version. If this sidecar can no longer install it, installs an empty one instead, so that the
/// replicator fetches the version from peers and offers it for installation again.
fn install_cached(shell: &Shell, cached: &CachedConfiguration) -> InstalledVersion {
    let snapshot = cached.store.snapshot().clone();
    let version = snapshot.version();
    match install(shell, &snapshot) {
        Ok(()) => {
            tracing::info!(%version, digest = %snapshot.digest(), "installed the cached configuration");
            InstalledVersion {
                snapshot,
                deltas: cached.deltas.clone(),
            }
        }
        Err(reason) => {
            tracing::error!(%version, %reason, "could not install the cached configuration");
            install_empty(shell)
        }
    }
}

fn install_empty(shell: &Shell) -> InstalledVersion {
    let snapshot = Snapshot::empty();
    if let Err(reason) = install(shell, &snapshot) {
        tracing::error!(%reason, "could not install an empty configuration");
    }
    InstalledVersion {
        snapshot,
        deltas: Vec::new(),
    }
}

/// Installs versions in a sidecar and caches them on disk.
struct ShellInstaller {
    /// Weak, because the shell owns the configuration.
    shell: Weak<Shell>,
    persister: Persister,
}

impl Installer for ShellInstaller {
    type Error = InstallError;

    fn install(&self, snapshot: &Snapshot) -> Result<(), InstallError> {
        let shell = self.shell.upgrade().ok_or(InstallError::Stopping)?;
        install(&shell, snapshot)?;
        self.persister.persist(snapshot.clone());
        Ok(())
    }
}

/// Replaces all routes and tenants, and their rules in the engine, in one call between two requests: no request sees a
/// mixture of two versions.
fn install(shell: &Shell, snapshot: &Snapshot) -> Result<(), InstallError> {
    check(&shell.site, snapshot)?;
    let route_classes = routes_of(snapshot);
    let rules: Vec<(String, RouteClass)> = route_classes
        .iter()
        .map(|route_class| (route_class.name.clone(), route_class.rules))
        .collect();
    let slots = shell.set_routes(&rules);
    let table = RouteTable::from_snapshot(snapshot.clone(), &route_classes, slots);
    shell.routes.replace(Rc::new(table));
    Ok(())
}

/// Checks that this sidecar has the settings that the version requires.
fn check(site: &Site, snapshot: &Snapshot) -> Result<(), InstallError> {
    let mut routes = snapshot.routes();
    let backed_up = routes.find(|route| route.rules.backup != BackupMode::Off);
    if let Some(route) = backed_up.filter(|_| site.takeover.is_none()) {
        return Err(InstallError::NoTakeover {
            route: route.name.clone(),
        });
    }
    for service in snapshot.services() {
        let unknown = service.zones.iter().find(|zone| !site.zones.contains(zone));
        if let Some(zone) = unknown {
            return Err(InstallError::UnknownZone {
                service: service.name.clone(),
                zone: zone.clone(),
            });
        }
    }
    Ok(())
}
