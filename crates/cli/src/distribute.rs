//! `havenplank distribute`: runs the distributor of a configuration with signal handling, a log and a runtime.

use anyhow::Context;
use havenplank_settings::MembershipSettings;
use havenplank_sidecar::distributor::{
    run, DistributorAddresses, DistributorError, DistributorSettings, EpochChoice,
};
use std::net::SocketAddr;
use std::path::PathBuf;
use tokio::runtime::LocalOptions;
use tokio::signal::unix::{signal, SignalKind};

/// Arguments of `havenplank distribute`.
#[derive(clap::Args)]
pub struct DistributeArgs {
    /// The script with services, routes and tenants; read again at SIGHUP.
    script: PathBuf,
    /// Value that the script reads with given(NAME, DEFAULT); may be repeated.
    #[arg(long, value_name = "NAME=VALUE")]
    given: Vec<String>,
    /// Name of the distributor among the sidecars.
    #[arg(long)]
    name: String,
    /// Address to bind, for UDP and TCP.
    #[arg(long)]
    listen: SocketAddr,
    /// Address at which peers reach the distributor; by default the bound address.
    #[arg(long)]
    advertise: Option<SocketAddr>,
    /// Address of a sidecar to contact first; may be repeated.
    #[arg(long, value_name = "ADDRESS")]
    meet: Vec<SocketAddr>,
    /// File with the keys of the sidecars, read again at SIGHUP.
    #[arg(long)]
    keys: PathBuf,
    /// Time between two pings to peers; must be that of the sidecars.
    #[arg(long, default_value = "500ms")]
    period: humantime::Duration,
    /// Address to bind for operators, who query GET /state.
    #[arg(long, default_value = "127.0.0.1:0")]
    admin: SocketAddr,
    /// Folder that stores all versions; a restarted distributor continues with them.
    #[arg(long)]
    store: PathBuf,
    /// Epoch of the published versions; by default the stored epoch.
    #[arg(long, conflicts_with = "replace_writer")]
    epoch: Option<u64>,
    /// Fetch the newest version from the sidecars and publish under the next epoch, which fences off the previous
    /// writer.
    #[arg(long)]
    replace_writer: bool,
}

/// Runs the distributor until it is stopped by SIGTERM or SIGINT.
///
/// # Errors
/// Invalid arguments, signals that cannot be handled, and faults of the distributor other than a bad script or a
/// lower epoch, which give the exit status `USAGE`.
pub fn distribute(args: DistributeArgs) -> anyhow::Result<u8> {
    let settings = distributor_settings(args)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(LocalOptions::default())?;
    let result = runtime.block_on(async {
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
    match result {
        Ok(()) => Ok(0),
        Err(error @ (DistributorError::Script(_) | DistributorError::LowerEpoch { .. })) => {
            eprintln!("{error}");
            Ok(crate::USAGE)
        }
        Err(error) => Err(error.into()),
    }
}

fn distributor_settings(args: DistributeArgs) -> anyhow::Result<DistributorSettings> {
    let epoch = match (args.epoch, args.replace_writer) {
        (Some(number), _) => EpochChoice::Number(number),
        (None, true) => EpochChoice::ReplaceWriter,
        (None, false) => EpochChoice::AsStored,
    };
    let period = u64::try_from(args.period.as_nanos())
        .context("--period: expected less than 2^64 nanoseconds")?;
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
