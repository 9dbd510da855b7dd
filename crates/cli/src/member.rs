//! `havenplank member`: one member of the membership protocol by itself, to test its network and key before sidecars
//! use them.

use crate::{DONE, USAGE};
use anyhow::Context;
use havenplank_membership::keys::{read_keys, Key};
use havenplank_membership::member::{Member, MemberId, MemberState, MAX_NAME_BYTES};
use havenplank_membership::node::{Node, NodeEvent};
use havenplank_membership::swim::Rules;
use havenplank_membership::transport::{log_event, new_incarnation, Transport};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::runtime::LocalOptions;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::interval;

/// Time between two log lines with the state of the member.
const STATE_INTERVAL: Duration = Duration::from_secs(1);
/// Values of `--period` that are accepted, in milliseconds.
const PERIOD_MS: RangeInclusive<u128> = 10..=60_000;

/// Arguments of `havenplank member`.
#[derive(clap::Args)]
pub struct MemberArgs {
    /// Name of the member, 1 to 64 bytes.
    #[arg(long)]
    name: String,
    #[arg(long, default_value = "")]
    zone: String,
    /// UDP address to bind.
    #[arg(long)]
    listen: SocketAddr,
    /// Address at which other members reach this one; by default the bound address.
    #[arg(long)]
    advertise: Option<SocketAddr>,
    /// Address of a member to contact first; may be repeated.
    #[arg(long = "meet")]
    meet: Vec<SocketAddr>,
    /// File with the members' keys, read again at SIGHUP.
    #[arg(long)]
    keys: PathBuf,
    /// Time between two pings that this member sends.
    #[arg(long, default_value = "500ms")]
    period: humantime::Duration,
}

impl MemberArgs {
    /// Returns a message about the first invalid argument, if there is one.
    fn problem(&self) -> Option<&'static str> {
        if self.name.is_empty() || self.name.len() > MAX_NAME_BYTES {
            return Some("--name: expected 1 to 64 bytes");
        }
        if self.zone.len() > MAX_NAME_BYTES {
            return Some("--zone: expected 64 bytes at most");
        }
        if !PERIOD_MS.contains(&self.period.as_millis()) {
            return Some("--period: expected 10ms to 60s");
        }
        None
    }
}

/// Runs a member until it is stopped by SIGTERM or SIGINT.
///
/// # Errors
/// An address that cannot be bound and signals that cannot be handled.
pub fn member(args: MemberArgs) -> anyhow::Result<u8> {
    if let Some(problem) = args.problem() {
        eprintln!("havenplank: {problem}");
        return Ok(USAGE);
    }
    let keys = match read_keys(&args.keys) {
        Ok(keys) => keys,
        Err(error) => {
            eprintln!("havenplank: {error}");
            return Ok(USAGE);
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(LocalOptions::default())?;
    runtime.block_on(run(args, keys))
}

async fn run(args: MemberArgs, keys: Vec<Key>) -> anyhow::Result<u8> {
    let mut terminate = signal(SignalKind::terminate()).context("SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("SIGINT")?;
    let mut reload = signal(SignalKind::hangup()).context("SIGHUP")?;
    let transport = bind(&args, keys).await?;
    tracing::info!(name = args.name, listen = %transport.local_address()?, "member listening");
    tokio::task::spawn_local(transport.clone().run(|_, event| log_membership(event)));
    let mut state_interval = interval(STATE_INTERVAL);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => reload_keys(&transport, &args.keys),
            _ = state_interval.tick() => log_state(&transport),
        }
    }
    transport.call(|node, _| node.leave());
    tracing::info!("left the group");
    Ok(DONE)
}

async fn bind(args: &MemberArgs, keys: Vec<Key>) -> anyhow::Result<Rc<Transport>> {
    let id = MemberId {
        name: args.name.clone(),
        incarnation: new_incarnation(),
    };
    let period = args.period.as_nanos() as u64;
    let rules = Rules {
        period,
        ping_timeout: period * 3 / 10,
        ..Rules::default()
    };
    let transport = Transport::bind(args.listen, |now, bound| {
        let seed = id.incarnation ^ u64::from(bound.port()) << 48;
        let member = Member {
            id,
            address: args.advertise.unwrap_or(bound),
            zone: args.zone.clone(),
            refutations: 0,
            state: MemberState::Alive,
        };
        Node::new(now, seed, member, args.meet.clone(), rules, keys)
    });
    transport.await.with_context(|| args.listen.to_string())
}

/// Reads the keys again. If they cannot be read, the old keys stay in use.
fn reload_keys(transport: &Transport, file: &Path) {
    match read_keys(file) {
        Ok(keys) => {
            tracing::info!(keys = keys.len(), "keys read again");
            transport.call(|node, _| node.replace_keys(keys));
        }
        Err(error) => tracing::warn!(why = %error, "keys rejected; the old keys stay in use"),
    }
}

fn log_membership(event: NodeEvent) {
    if let NodeEvent::Membership(event) = event {
        log_event(event);
    }
}

/// Logs the member's view of the group and its traffic counters.
fn log_state(transport: &Transport) {
    transport.call(|node, _| {
        let alive = node.membership().alive();
        let alive_names: Vec<&str> = alive.map(|member| member.id.name.as_str()).collect();
        tracing::info!(
            living = alive_names.join(","),
            slowness = node.membership().health_score(),
            sent = node.sent,
            sent_bytes = node.sent_bytes,
            came = node.received,
            refused = node.rejected.total(),
            "state"
        );
    });
}
