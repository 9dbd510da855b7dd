//! The single writer of a configuration: compiles the operator's script, stores each version before any peer hears of it,
//! and knows how many peers have it in force.

use crate::daemon::{listen, StartError};
use crate::membership::{Fellowship, FellowshipError};
use crate::replication::{Host, Spreading};
use bytes::Bytes;
use havenplank_configuration::compile::compile;
use havenplank_configuration::delta::Delta;
use havenplank_configuration::snapshot::Snapshot;
use havenplank_configuration::spread::{
    Kept, Peer, PublishError, Role, RoundGlance, Rules, Spreader,
};
use havenplank_configuration::store::{Opened, Store, StoreError};
use havenplank_configuration::version::Version;
use havenplank_settings::{Fellowship as Membership, Given, Problems, DISTRIBUTOR_ZONE};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::json;
use std::cell::RefCell;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::Semaphore;
use tokio::task::{spawn_blocking, spawn_local};
use tokio::time::{interval, sleep, timeout};

/// The epoch of the first writer of a fleet.
const FIRST_EPOCH: u64 = 1;
/// How often the last poll is looked at for the log.
const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// How long a writer that replaces another looks for the newest version, and how long it must hear of no newer one.
const REPLACE_PATIENCE: Duration = Duration::from_secs(30);
const REPLACE_SETTLED: Duration = Duration::from_secs(2);
const REPLACE_LOOK: Duration = Duration::from_millis(50);
/// Connections of operators at once, and how long one may last.
const ADMIN_CONNECTIONS: usize = 16;
const ADMIN_TIME: Duration = Duration::from_secs(10);

/// Which epoch a distributor publishes under.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EpochChoice {
    /// That of its store, or the first.
    AsStored,
    Number(u64),
    /// One above the newest that its peers have.
    ReplaceWriter,
}

/// All that a distributor is told before it starts.
#[derive(Clone, Debug)]
pub struct DistributorSettings {
    pub name: String,
    pub script: PathBuf,
    /// Values that the script reads.
    pub given: Given,
    pub membership: Membership,
    pub admin: SocketAddr,
    pub store: PathBuf,
    pub epoch: EpochChoice,
}

#[derive(Debug, thiserror::Error)]
pub enum DistributorError {
    #[error("{0}")]
    Script(#[from] Problems),
    #[error("--store: {0}")]
    Store(#[from] StoreError),
    #[error("{0}")]
    Fellowship(#[from] FellowshipError),
    #[error("{0}")]
    Listen(#[from] StartError),
    #[error(
        "--epoch {asked}: the store holds version {stored}; expected its epoch or a higher one"
    )]
    LowerEpoch { asked: u64, stored: Version },
    #[error(
        "--replace-writer: no peer told of a configuration within {} s; expected peers at --meet, or --epoch N above the \
         epoch of the writer that is replaced",
        REPLACE_PATIENCE.as_secs()
    )]
    NobodyHeard,
    #[error("{0}")]
    Publish(#[from] PublishError),
    #[error(
        "peers hold version {theirs}, the store of this distributor ends at {ours}: it is not the store of their writer; \
         start this one with --replace-writer"
    )]
    NewerElsewhere { ours: Version, theirs: Version },
    #[error("SIGHUP: {0}")]
    Signal(io::Error),
}

/// Where a running distributor listens.
#[derive(Clone, Copy, Debug)]
pub struct DistributorAddresses {
    pub membership: SocketAddr,
    pub admin: SocketAddr,
}

/// The newest version that peers brought; a writer publishes its own.
#[derive(Default)]
struct Newest(RefCell<Option<Snapshot>>);

impl Host for Newest {
    type Error = Infallible;

    fn install(&self, snapshot: &Snapshot) -> Result<(), Infallible> {
        self.0.replace(Some(snapshot.clone()));
        Ok(())
    }
}

struct Distributor {
    settings: DistributorSettings,
    store: Store,
    epoch: u64,
    spreading: Rc<Spreading<Newest>>,
    last_round: Option<RoundGlance>,
    /// The newest version of peers that is ahead of the store, once that was logged.
    ahead: Option<Version>,
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
    let Opened {
        store,
        deltas,
        torn_tail,
    } = Store::open(&settings.store)?;
    if let Some(torn) = torn_tail {
        tracing::info!(
            bytes = torn.bytes,
            "the end of an unfinished write was cut off the store"
        );
    }
    let stored = store.snapshot().version();
    let epoch = match settings.epoch {
        EpochChoice::Number(asked) if asked < stored.epoch => {
            return Err(DistributorError::LowerEpoch { asked, stored });
        }
        EpochChoice::Number(asked) => asked,
        EpochChoice::AsStored | EpochChoice::ReplaceWriter => stored.epoch.max(FIRST_EPOCH),
    };
    let (admin_listener, admin) = listen(settings.admin).await?;
    let membership = &settings.membership;
    let fellowship = Fellowship::bind(membership, &settings.name, DISTRIBUTOR_ZONE).await?;
    let mut reloads = signal(SignalKind::hangup()).map_err(DistributorError::Signal)?;
    let role = match settings.epoch {
        EpochChoice::ReplaceWriter => Role::Sidecar,
        EpochChoice::AsStored | EpochChoice::Number(_) => Role::Writer { epoch },
    };
    let kept = Kept {
        snapshot: store.snapshot().clone(),
        deltas,
    };
    let spreader = spreader(&fellowship, role, kept);
    let period = Duration::from_nanos(membership.period);
    let spreading = Spreading::start(&fellowship, spreader, Newest::default(), period);
    fellowship.run(membership.keys.clone());
    let replaces = settings.epoch == EpochChoice::ReplaceWriter;
    let mut distributor = Distributor {
        settings,
        store,
        epoch,
        spreading,
        last_round: None,
        ahead: None,
    };
    spawn_local(serve_operators(
        admin_listener,
        distributor.settings.name.clone(),
        distributor.spreading.clone(),
    ));
    if let Some(membership) = fellowship.at() {
        ready(DistributorAddresses { membership, admin });
    }
    if replaces {
        distributor.replace_writer(&fellowship).await?;
    }
    distributor.publish(&compiled)?;
    tokio::select! {
        () = distributor.follow(&mut reloads) => {}
        () = stop => {}
    }
    fellowship.leave();
    Ok(())
}

fn spreader(fellowship: &Fellowship, role: Role, kept: Kept) -> Spreader {
    let me = Peer {
        life: fellowship.me().clone(),
        zone: DISTRIBUTOR_ZONE.to_string(),
    };
    let seed = me.life.incarnation;
    Spreader::new(fellowship.now(), seed, me, role, kept, Rules::default())
}

impl Distributor {
    /// Fetches the newest version that peers have, and becomes the writer of the next epoch.
    async fn replace_writer(&mut self, fellowship: &Fellowship) -> Result<(), DistributorError> {
        let newest = timeout(REPLACE_PATIENCE, self.newest())
            .await
            .map_err(|_| DistributorError::NobodyHeard)?;
        if let Some(newest) =
            newest.filter(|newest| newest.version() > self.store.snapshot().version())
        {
            self.store.replace(&newest)?;
        }
        let snapshot = self.store.snapshot().clone();
        self.epoch = snapshot.version().epoch.saturating_add(1);
        tracing::info!(epoch = self.epoch, after = %snapshot.version(), "replaces the writer");
        let kept = Kept {
            snapshot,
            deltas: Vec::new(),
        };
        self.spreading.replace_spreader(spreader(
            fellowship,
            Role::Writer { epoch: self.epoch },
            kept,
        ));
        Ok(())
    }

    /// The newest version of the peers, once none newer was heard of for a while.
    async fn newest(&self) -> Option<Snapshot> {
        let (mut settled, mut last) = (Instant::now(), Version::NONE);
        loop {
            let glance = self.spreading.glance();
            if glance.newest_heard != last
                || glance.heard_at.is_none()
                || glance.version != glance.newest_heard
            {
                (settled, last) = (Instant::now(), glance.newest_heard);
            }
            if settled.elapsed() >= REPLACE_SETTLED {
                return self.spreading.host().0.borrow().clone();
            }
            sleep(REPLACE_LOOK).await;
        }
    }

    /// Publishes what was compiled where it differs from the newest version: on disk first, then told.
    fn publish(&mut self, compiled: &Snapshot) -> Result<(), DistributorError> {
        if let Some(by) = self
            .spreading
            .glance()
            .writer
            .and_then(|writer| writer.superseded)
        {
            return Err(PublishError::Superseded { by }.into());
        }
        let (ours, theirs) = (
            self.store.snapshot().version(),
            self.spreading.glance().newest_heard,
        );
        if theirs > ours {
            return Err(DistributorError::NewerElsewhere { ours, theirs });
        }
        let have = self.store.snapshot().clone();
        if have.digest() == compiled.digest() && have.version().epoch == self.epoch {
            tracing::info!(version = %have.version(), "the script has not changed");
            return Ok(());
        }
        let to = Version {
            epoch: self.epoch,
            number: have.version().number.saturating_add(1),
        };
        let delta = Delta::between(&have, compiled, to);
        let changes = delta.changes.len();
        let snapshot = self.store.append(&delta)?.clone();
        tracing::info!(version = %to, digest = %snapshot.digest(), changes, "stored");
        self.spreading
            .call(|spreader, now| spreader.published(now, Arc::new(delta), snapshot))?;
        tracing::info!(version = %to, "published");
        Ok(())
    }

    async fn follow(&mut self, reloads: &mut Signal) {
        let mut reports = interval(REPORT_PERIOD);
        loop {
            tokio::select! {
                Some(()) = reloads.recv() => self.reload().await,
                _ = reports.tick() => self.report(),
            }
        }
    }

    /// What cannot be published is told, and the version before stays.
    async fn reload(&mut self) {
        let (script, given) = (self.settings.script.clone(), self.settings.given.clone());
        let compiled = spawn_blocking(move || compile(&script, &given, Version::NONE)).await;
        let published = match compiled {
            Ok(Ok(compiled)) => self.publish(&compiled),
            Ok(Err(problems)) => {
                for problem in &problems.0 {
                    tracing::error!(%problem, "script refused");
                }
                let version = self.store.snapshot().version();
                tracing::error!(mistakes = problems.0.len(), %version, "nothing published, the old version stays");
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
        let (ours, theirs) = (
            self.store.snapshot().version(),
            self.spreading.glance().newest_heard,
        );
        if theirs > ours && self.ahead.replace(theirs) != Some(theirs) {
            let error = DistributorError::NewerElsewhere { ours, theirs };
            tracing::error!(%error, "not the newest");
        }
        let Some(round) = self
            .spreading
            .glance()
            .writer
            .and_then(|writer| writer.round)
        else {
            return;
        };
        let told = self.last_round.as_ref().is_some_and(|last| {
            (last.version, last.have, last.of) == (round.version, round.have, round.of)
        });
        if !told {
            let behind: Vec<&str> = round.behind.iter().map(|peer| peer.name.as_str()).collect();
            let (have, of, more) = (round.have, round.of, round.more);
            tracing::info!(version = %round.version, have, of, ?behind, more_behind = more, "in force");
        }
        self.last_round = Some(round);
    }
}

async fn serve_operators(listener: TcpListener, name: String, spreading: Rc<Spreading<Newest>>) {
    let permits = Arc::new(Semaphore::new(ADMIN_CONNECTIONS));
    loop {
        let permit = permits.clone().acquire_owned().await;
        let Ok((stream, _)) = listener.accept().await else {
            // No descriptors left, most likely.
            sleep(REPLACE_LOOK).await;
            continue;
        };
        let (name, spreading) = (name.clone(), spreading.clone());
        spawn_local(async move {
            let _ = timeout(ADMIN_TIME, operator(stream, &name, &spreading)).await;
            drop(permit);
        });
    }
}

async fn operator(stream: TcpStream, name: &str, spreading: &Spreading<Newest>) {
    let service =
        service_fn(|request| async move { Ok::<_, Infallible>(answer(&request, name, spreading)) });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        tracing::debug!(%error, "operator's connection ended");
    }
}

/// `GET /state`.
fn answer(
    request: &Request<Incoming>,
    name: &str,
    spreading: &Spreading<Newest>,
) -> Response<Full<Bytes>> {
    if (request.method(), request.uri().path()) != (&Method::GET, "/state") {
        let mut response = Response::new(Full::new(Bytes::from_static(b"expected GET /state\n")));
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    let state = json!({
        "name": name,
        "configuration": spreading.state(),
        "writer": spreading.writer_state(),
    });
    let mut response = Response::new(Full::new(Bytes::from(format!("{state}\n"))));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
