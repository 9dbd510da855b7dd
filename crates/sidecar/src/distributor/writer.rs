//! The writer: stores each version before any peer learns of it, publishes it, and reports who has it in force.

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

/// How often the last poll is looked at for the log.
const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// How long a writer that replaces another looks for the newest version.
pub(super) const REPLACE_PATIENCE: Duration = Duration::from_secs(30);
/// How long none newer may be announced before the newest counts as found.
const REPLACE_SETTLED: Duration = Duration::from_secs(2);
/// How often it looks.
const REPLACE_POLL: Duration = Duration::from_millis(50);

/// The newest version that peers brought; a writer publishes its own.
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
    /// The newest version of peers that is ahead of the store, once that was logged.
    ahead: Option<Version>,
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
            ahead: None,
        }
    }

    fn stored(&self) -> Version {
        self.store.snapshot().version()
    }

    /// Fetches the newest version that peers have, and becomes the writer of the next epoch.
    pub(super) async fn replace_other(
        &mut self,
        membership: &Membership,
    ) -> Result<(), DistributorError> {
        let newest = timeout(REPLACE_PATIENCE, self.settled_newest()).await;
        let newest = newest.map_err(|_| DistributorError::NoConfigurationFromPeers)?;
        if let Some(newest) = newest.filter(|newest| newest.version() > self.stored()) {
            self.store.replace(&newest)?;
        }
        let snapshot = self.store.snapshot().clone();
        self.epoch = snapshot.version().epoch.saturating_add(1);
        tracing::info!(epoch = self.epoch, after = %snapshot.version(), "replaces the writer");
        let installed = InstalledVersion {
            snapshot,
            deltas: Vec::new(),
        };
        let role = Role::Writer { epoch: self.epoch };
        self.replication
            .replace_replicator(replicator(membership, role, installed));
        Ok(())
    }

    /// Returns the newest version of the peers, once none newer was announced for a while.
    async fn settled_newest(&self) -> Option<Snapshot> {
        let (mut settled, mut last) = (Instant::now(), Version::NONE);
        loop {
            let status = self.replication.status();
            let is_unsettled = status.newest_heard != last
                || status.heard_at.is_none()
                || status.version != status.newest_heard;
            if is_unsettled {
                (settled, last) = (Instant::now(), status.newest_heard);
            }
            if settled.elapsed() >= REPLACE_SETTLED {
                return self.replication.installer().0.borrow().clone();
            }
            sleep(REPLACE_POLL).await;
        }
    }

    /// Publishes what was compiled where it differs from the newest version: on disk first, then to peers.
    pub(super) fn publish(&mut self, compiled: &Snapshot) -> Result<(), DistributorError> {
        self.check_is_writer()?;
        let before = self.store.snapshot().clone();
        if before.digest() == compiled.digest() && before.version().epoch == self.epoch {
            tracing::info!(version = %before.version(), "the script has not changed");
            return Ok(());
        }
        let version = Version {
            epoch: self.epoch,
            number: before.version().number.saturating_add(1),
        };
        let delta = before.delta_to(compiled, version);
        let changes = delta.changes.len();
        let snapshot = self.store.append(&delta)?.clone();
        tracing::info!(%version, digest = %snapshot.digest(), changes, "stored");
        self.replication
            .call(|replicator, now| replicator.publish(now, Arc::new(delta), snapshot))?;
        tracing::info!(%version, "published");
        Ok(())
    }

    /// Checks that no other writer has taken this one's place.
    fn check_is_writer(&self) -> Result<(), DistributorError> {
        let status = self.replication.status();
        if let Some(by) = status.writer.and_then(|writer| writer.superseded) {
            return Err(PublishError::Superseded { by }.into());
        }
        let (ours, theirs) = (self.stored(), status.newest_heard);
        if theirs > ours {
            return Err(DistributorError::StoreBehindPeers { ours, theirs });
        }
        Ok(())
    }

    /// Publishes again at each reload, and reports once a period; never ends.
    pub(super) async fn follow(&mut self, reloads: &mut Signal) {
        let mut reports = interval(REPORT_PERIOD);
        loop {
            tokio::select! {
                Some(()) = reloads.recv() => self.reload().await,
                _ = reports.tick() => self.report(),
            }
        }
    }

    /// Compiles the script again and publishes it. What cannot be published is logged, and the version before stays.
    async fn reload(&mut self) {
        let (script, given) = (self.settings.script.clone(), self.settings.given.clone());
        let compiled = spawn_blocking(move || compile(&script, &given, Version::NONE)).await;
        let published = match compiled {
            Ok(Ok(compiled)) => self.publish(&compiled),
            Ok(Err(problems)) => {
                for problem in &problems.0 {
                    tracing::error!(%problem, "script refused");
                }
                let (mistakes, version) = (problems.0.len(), self.stored());
                tracing::error!(mistakes, %version, "nothing published, the old version stays");
                return;
            }
            Err(error) => {
                tracing::error!(%error, "the script could not be compiled, the old version stays");
                return;
            }
        };
        if let Err(error) = published {
            tracing::error!(%error, "nothing published, the old version stays");
        }
    }

    /// Logs a finished poll that tells something new, and peers that are ahead.
    fn report(&mut self) {
        let status = self.replication.status();
        let (ours, theirs) = (self.stored(), status.newest_heard);
        if theirs > ours && self.ahead.replace(theirs) != Some(theirs) {
            let error = DistributorError::StoreBehindPeers { ours, theirs };
            tracing::error!(%error, "not the newest");
        }
        let Some(round) = status.writer.and_then(|writer| writer.round) else {
            return;
        };
        let last = self.last_round.as_ref();
        let is_known = last.is_some_and(|last| {
            (last.version, last.have, last.of) == (round.version, round.have, round.of)
        });
        if !is_known {
            log_round(&round);
        }
        self.last_round = Some(round);
    }
}

fn log_round(round: &RoundStatus) {
    let behind: Vec<&str> = round.behind.iter().map(|peer| peer.name.as_str()).collect();
    let (have, of, more) = (round.have, round.of, round.more);
    tracing::info!(version = %round.version, have, of, ?behind, more_behind = more, "in force");
}
