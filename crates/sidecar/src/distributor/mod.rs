//! The distributor: the single writer of a configuration. It compiles the operator's script, stores each version before
//! any peer learns of it, and tracks how many peers have the version in force.

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
    /// The name of the distributor as a member.
    pub name: String,
    /// The file of the script that defines the configuration.
    pub script: PathBuf,
    /// Values given on the command line for the script to read.
    pub given: Given,
    /// The settings of the membership.
    pub membership: MembershipSettings,
    /// The address where operators read the state.
    pub admin: SocketAddr,
    /// The folder where versions are stored.
    pub store: PathBuf,
    /// The epoch to publish under.
    pub epoch: EpochChoice,
}

/// The addresses that a running distributor listens on.
#[derive(Clone, Copy, Debug)]
pub struct DistributorAddresses {
    /// The address for peers.
    pub membership: SocketAddr,
    /// The address for operators.
    pub admin: SocketAddr,
}

/// Runs a distributor on the current thread until `stop` completes. Calls `ready` with the addresses once it listens.
/// Compiles the script at the start and again at each SIGHUP. Script errors at the start are returned; later ones are
/// logged, and the current version stays in force.
///
/// # Errors
/// Fails if the script has errors, the store cannot be used, an address is in use, or the epoch is too low.
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
        writer.replace_other_writer(&membership).await?;
    }
    writer.publish(&compiled)?;
    tokio::select! {
        () = writer.run(&mut reloads) => {}
        () = stop => {}
    }
    membership.leave();
    Ok(())
}

/// Starts the replication in the role of the writer. A distributor that replaces another writer starts in the role of a
/// sidecar, to receive the newest version first.
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
            "removed an incomplete write from the end of the store"
        );
    }
    Ok(opened)
}

/// Builds the replicator of a distributor with the given role.
fn replicator(membership: &Membership, role: Role, installed: InstalledVersion) -> Replicator {
    let me = Peer {
        member_id: membership.me().clone(),
        zone: DISTRIBUTOR_ZONE.to_string(),
    };
    let seed = me.member_id.incarnation;
    Replicator::new(
        membership.now(),
        seed,
        me,
        role,
        installed,
        ReplicationSettings::default(),
    )
}
