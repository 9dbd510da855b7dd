//! `havenplank distribute`: signals, log and runtime around the distributor of a configuration.

use anyhow::Context;
use havenplank_settings::MembershipSettings;
use havenplank_sidecar::distributor::{
    run, DistributorAddresses, DistributorError, DistributorSettings, EpochChoice,
};
use std::net::SocketAddr;
use std::path::PathBuf;
use tokio::runtime::LocalOptions;
use tokio::signal::unix::{signal, SignalKind};

#[derive(clap::Args)]
pub struct Distribute {
    /// The script with services, routes and tenants; read again at SIGHUP.
    script: PathBuf,
    /// A value that the script reads with given(NAME, otherwise); may be repeated.
    #[arg(long, value_name = "NAME=VALUE")]
    given: Vec<String>,
    /// Its name among the sidecars.
    #[arg(long)]
    name: String,
    /// Where peers reach it, for UDP and TCP.
    #[arg(long)]
    listen: SocketAddr,
    /// Where peers reach it, if that is another address.
    #[arg(long)]
    advertise: Option<SocketAddr>,
    /// Sidecars to begin with; may be repeated.
    #[arg(long, value_name = "ADDRESS")]
    meet: Vec<SocketAddr>,
    /// File with the keys of the sidecars, read again at SIGHUP.
    #[arg(long)]
    keys: PathBuf,
    /// Between two questions to a peer whether it lives; that of the sidecars.
    #[arg(long, default_value = "500ms")]
    period: humantime::Duration,
    /// Where operators look: GET /state.
    #[arg(long, default_value = "127.0.0.1:0")]
    admin: SocketAddr,
    /// Folder with all versions; a restart goes on from there.
    #[arg(long)]
    store: PathBuf,
    /// The epoch of its versions, where it is another than that of its store.
    #[arg(long, conflicts_with = "replace_writer")]
    epoch: Option<u64>,
    /// Take the newest version from the sidecars and publish under the next epoch: the writer before is fenced off.
    #[arg(long)]
    replace_writer: bool,
}

pub fn distribute(args: Distribute) -> anyhow::Result<u8> {
    let settings = settings_of(args)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(LocalOptions::default())?;
    let ended = runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).context("SIGTERM")?;
        let mut interrupt = signal(SignalKind::interrupt()).context("SIGINT")?;
        let name = settings.name.clone();
        let ready = |at: DistributorAddresses| {
            tracing::info!(name, peers = %at.membership, admin = %at.admin, "distributor listening");
        };
        let stop = async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        };
        anyhow::Ok(run(settings, ready, stop).await)
    })?;
    match ended {
        Ok(()) => Ok(0),
        Err(error @ (DistributorError::Script(_) | DistributorError::LowerEpoch { .. })) => {
            eprintln!("{error}");
            Ok(crate::USAGE)
        }
        Err(error) => Err(error.into()),
    }
}

fn settings_of(args: Distribute) -> anyhow::Result<DistributorSettings> {
    let epoch = match (args.epoch, args.replace_writer) {
        (Some(number), _) => EpochChoice::Number(number),
        (None, true) => EpochChoice::ReplaceWriter,
        (None, false) => EpochChoice::AsStored,
    };
    let period = u64::try_from(args.period.as_nanos()).context("--period: too long")?;
    let membership = MembershipSettings {
        listen: args.listen,
        advertise: args.advertise,
        seeds: args.meet,
        keys: args.keys,
        probe_interval: period,
    };
    Ok(DistributorSettings {
        name: args.name,
        script: args.script,
        given: crate::settings::parse_given(&args.given)?,
        membership,
        admin: args.admin,
        store: args.store,
        epoch,
    })
}
