//! The writer: stores each version before any peer learns of it, publishes it, and logs which peers have it in force.

use super::{replicator, DistributorError, DistributorSettings};
use crate::membership::Membership;
use crate::replication::{Installer, Replication};
use havenplank_configuration::compile::compile;
use havenplank_configuration::replication::{
    CachedConfiguration as InstalledVersion, PublishError, Role, RoundStatus,
};
use havenplank_configuration::snapshot::Snapshot;
use havenplank_configuration::store::Store;
use havenplank_configuration::version::Version;
use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::signal::unix::Signal;
use tokio::task::spawn_blocking;
use tokio::time::{interval, sleep, timeout};

/// The interval at which the result of the last poll is logged if it has changed.
const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// The time within which a writer that replaces another must find the newest version of the peers.
pub(super) const REPLACE_TIMEOUT: Duration = Duration::from_secs(30);
/// The newest version counts as found if peers announce no newer one for this time.
const REPLACE_SETTLE_TIME: Duration = Duration::from_secs(2);
/// The interval at which a writer that replaces another checks for a newer version of the peers.
const REPLACE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Holds the newest version received from peers, for a distributor that replaces a writer. A writer itself receives no
/// versions.
#[derive(Default)]
pub(super) struct NewestVersion(RefCell<Option<Snapshot>>);

impl Installer for NewestVersion {
    type Error = Infallible;

    fn install(&self, snapshot: &Snapshot) -> Result<(), Infallible> {
        self.0.replace(Some(snapshot.clone()));
        Ok(())
    }
}

/// The writer of one fleet.
pub(super) struct Writer {
    settings: DistributorSettings,
    store: Store,
    epoch: u64,
    replication: Rc<Replication<NewestVersion>>,
    last_round: Option<RoundStatus>,
    /// The last version of the peers that was logged as newer than the stored one.
    logged_announced: Option<Version>,
}

impl Writer {
    pub(super) fn new(
        settings: DistributorSettings,
        store: Store,
        epoch: u64,
        replication: Rc<Replication<NewestVersion>>,
    ) -> Writer {
        Writer {
            settings,
            store,
            epoch,
            replication,
            last_round: None,
            logged_announced: None,
        }
    }

    fn stored(&self) -> Version {
        self.store.snapshot().version()
    }

    /// Stores the newest version that peers have, and becomes the writer of the next epoch.
    pub(super) async fn replace_other_writer(
        &mut self,
        membership: &Membership,
    ) -> Result<(), DistributorError> {
        let newest = timeout(REPLACE_TIMEOUT, self.settled_newest()).await;
        let newest = newest.map_err(|_| DistributorError::NoConfigurationFromPeers)?;
        if let Some(newest) = newest.filter(|newest| newest.version() > self.stored()) {
            self.store.replace(&newest)?;
        }
        let snapshot = self.store.snapshot().clone();
        self.epoch = snapshot.version().epoch.saturating_add(1);
        tracing::info!(epoch = self.epoch, newest = %snapshot.version(), "replacing the writer");
        let installed = InstalledVersion {
            snapshot,
            deltas: Vec::new(),
        };
        let role = Role::Writer { epoch: self.epoch };
        self.replication
            .replace_replicator(replicator(membership, role, installed));
        Ok(())
    }

    /// Returns the newest version of the peers once no newer one was announced for [`REPLACE_SETTLE_TIME`].
    async fn settled_newest(&self) -> Option<Snapshot> {
        let (mut settled, mut last) = (Instant::now(), Version::NONE);
        loop {
            let status = self.replication.status();
            let is_unsettled = status.newest_known != last
                || status.last_message_at.is_none()
                || status.version != status.newest_known;
            if is_unsettled {
                (settled, last) = (Instant::now(), status.newest_known);
            }
            if settled.elapsed() >= REPLACE_SETTLE_TIME {
                return self.replication.installer().0.borrow().clone();
            }
            sleep(REPLACE_POLL_INTERVAL).await;
        }
    }

    /// Publishes the compiled configuration if it differs from the newest version: stores it first, then sends it to
    /// peers.
    pub(super) fn publish(&mut self, compiled: &Snapshot) -> Result<(), DistributorError> {
        self.check_is_writer()?;
        let previous = self.store.snapshot().clone();
        if previous.digest() == compiled.digest() && previous.version().epoch == self.epoch {
            tracing::info!(version = %previous.version(), "the script has not changed");
            return Ok(());
        }
        let version = Version {
            epoch: self.epoch,
            number: previous.version().number.saturating_add(1),
        };
        let delta = previous.delta_to(compiled, version);
        let changes = delta.changes.len();
        let snapshot = self.store.append(&delta)?.clone();
        tracing::info!(%version, digest = %snapshot.digest(), changes, "stored");
        self.replication
            .call(|replicator, now| replicator.publish(now, Arc::new(delta), snapshot))?;
        tracing::info!(%version, "published");
        Ok(())
    }

    /// Checks that no other writer has replaced this one.
    fn check_is_writer(&self) -> Result<(), DistributorError> {
        let status = self.replication.status();
        if let Some(by) = status.writer.and_then(|writer| writer.superseded) {
            return Err(PublishError::Superseded { by }.into());
        }
        let (stored, announced) = (self.stored(), status.newest_known);
        if announced > stored {
            return Err(DistributorError::StoreBehindPeers { stored, announced });
        }
        Ok(())
    }

    /// Compiles and publishes the script at each reload signal, and logs the results of polls. Never returns.
    pub(super) async fn run(&mut self, reloads: &mut Signal) {
        let mut reports = interval(REPORT_PERIOD);
        loop {
            tokio::select! {
                Some(()) = reloads.recv() => self.reload().await,
                _ = reports.tick() => self.report(),
            }
        }
    }

    /// Compiles the script again and publishes it. Logs any error; the current version then stays in force.
    async fn reload(&mut self) {
        let (script, given) = (self.settings.script.clone(), self.settings.given.clone());
        let compiled = spawn_blocking(move || compile(&script, &given, Version::NONE)).await;
        let published = match compiled {
            Ok(Ok(compiled)) => self.publish(&compiled),
            Ok(Err(problems)) => {
                for problem in &problems.0 {
                    tracing::error!(%problem, "script error");
                }
                let (errors, version) = (problems.0.len(), self.stored());
                tracing::error!(errors, %version, "nothing published; the current version stays in force");
                return;
            }
            Err(error) => {
                tracing::error!(%error, "the script compiler did not finish; the current version stays in force");
                return;
            }
        };
        if let Err(error) = published {
            tracing::error!(%error, "nothing published; the current version stays in force");
        }
    }

    /// Logs the last finished poll if its result is new, and an error if peers have a newer version than the store.
    fn report(&mut self) {
        let status = self.replication.status();
        let (stored, announced) = (self.stored(), status.newest_known);
        if announced > stored && self.logged_announced.replace(announced) != Some(announced) {
            let error = DistributorError::StoreBehindPeers { stored, announced };
            tracing::error!(%error, "the store is behind the peers");
        }
        let Some(round) = status.writer.and_then(|writer| writer.round) else {
            return;
        };
        let last = self.last_round.as_ref();
        let is_logged = last.is_some_and(|last| {
            (last.version, last.up_to_date, last.total)
                == (round.version, round.up_to_date, round.total)
        });
        if !is_logged {
            log_round(&round);
        }
        self.last_round = Some(round);
    }
}

fn log_round(round: &RoundStatus) {
    let behind: Vec<&str> = round.behind.iter().map(|peer| peer.name.as_str()).collect();
    let (have, of, more) = (round.up_to_date, round.total, round.unnamed_behind);
    tracing::info!(version = %round.version, have, of, ?behind, more_behind = more, "poll of peers finished");
}
