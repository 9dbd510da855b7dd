//! The single writer of a configuration: compiles the operator's script, stores each version before any peer learns of it,
//! and knows how many peers have it in force.

mod epoch;
mod error;
mod operators;
mod writer;

pub use epoch::EpochChoice;
pub use error::DistributorError;

use crate::listener::listen;
use crate::membership::Membership;
use crate::replication::Replication;
use havenplank_configuration::compile::compile;
use havenplank_configuration::replication::{
    CachedConfiguration as InstalledVersion, Peer, ReplicationSettings, Replicator, Role,
};
use havenplank_configuration::store::{Opened, Store};
use havenplank_configuration::version::Version;
use havenplank_settings::{Given, MembershipSettings, DISTRIBUTOR_ZONE};
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::spawn_local;
use writer::{NewestVersion, Writer};

/// The settings of a distributor.
#[derive(Clone, Debug)]
pub struct DistributorSettings {
    /// Its name among the members.
    pub name: String,
    /// The script that states the configuration.
    pub script: PathBuf,
    /// Values that the script reads.
    pub given: Given,
    /// Where and with whom it talks.
    pub membership: MembershipSettings,
    /// Where operators look at its state.
    pub admin: SocketAddr,
    /// The folder of its versions.
    pub store: PathBuf,
    /// The epoch that it publishes under.
    pub epoch: EpochChoice,
}

/// Where a running distributor listens.
#[derive(Clone, Copy, Debug)]
pub struct DistributorAddresses {
    /// Its peers.
    pub membership: SocketAddr,
    /// Its operators.
    pub admin: SocketAddr,
}

/// Runs a distributor on the present thread until `stop` is done. The script is compiled at the start and again at each
/// SIGHUP; mistakes at the start are an error, later ones leave the version that is in force.
///
/// # Errors
/// Mistakes of the script, a store that cannot be used, an address that is taken, an epoch that is too low.
pub async fn run(
    settings: DistributorSettings,
    ready: impl FnOnce(DistributorAddresses),
    stop: impl Future<Output = ()>,
) -> Result<(), DistributorError> {
    let compiled = compile(&settings.script, &settings.given, Version::NONE)?;
    let opened = open_store(&settings)?;
    let epoch = settings.epoch.resolve(opened.store.snapshot().version())?;
    let (operators, admin) = listen(settings.admin).await?;
    let membership =
        Membership::bind(&settings.membership, &settings.name, DISTRIBUTOR_ZONE).await?;
    let mut reloads = signal(SignalKind::hangup()).map_err(DistributorError::Signal)?;
    let replication = start_replication(&settings, &membership, &opened, epoch);
    membership.run(settings.membership.keys.clone());
    spawn_local(operators::serve(
        operators,
        settings.name.clone(),
        replication.clone(),
    ));
    if let Some(address) = membership.address() {
        ready(DistributorAddresses {
            membership: address,
            admin,
        });
    }
    let replaces = settings.epoch == EpochChoice::ReplaceWriter;
    let mut writer = Writer::new(settings, opened.store, epoch, replication);
    if replaces {
        writer.replace_other(&membership).await?;
    }
    writer.publish(&compiled)?;
    tokio::select! {
        () = writer.follow(&mut reloads) => {}
        () = stop => {}
    }
    membership.leave();
    Ok(())
}

/// Takes part in the replication: as the writer, or as one that only listens where it replaces another writer.
fn start_replication(
    settings: &DistributorSettings,
    membership: &Rc<Membership>,
    opened: &Opened,
    epoch: u64,
) -> Rc<Replication<NewestVersion>> {
    let role = match settings.epoch {
        EpochChoice::ReplaceWriter => Role::Sidecar,
        EpochChoice::AsStored | EpochChoice::Number(_) => Role::Writer { epoch },
    };
    let installed = InstalledVersion {
        snapshot: opened.store.snapshot().clone(),
        deltas: opened.deltas.clone(),
    };
    let replicator = replicator(membership, role, installed);
    let period = Duration::from_nanos(settings.membership.probe_interval);
    Replication::start(membership, replicator, NewestVersion::default(), period)
}

fn open_store(settings: &DistributorSettings) -> Result<Opened, DistributorError> {
    let opened = Store::open(&settings.store)?;
    if let Some(torn) = &opened.torn_tail {
        tracing::info!(
            bytes = torn.bytes,
            "the end of an unfinished write was cut off the store"
        );
    }
    Ok(opened)
}

/// Builds a distributor's replicator in this role.
fn replicator(membership: &Membership, role: Role, installed: InstalledVersion) -> Replicator {
    let me = Peer {
        life: membership.me().clone(),
        zone: DISTRIBUTOR_ZONE.to_string(),
    };
    let seed = me.life.incarnation;
    Replicator::new(
        membership.now(),
        seed,
        me,
        role,
        installed,
        ReplicationSettings::default(),
    )
}
