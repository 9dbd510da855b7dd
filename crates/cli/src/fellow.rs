//! `havenplank fellow`: one member of the fellowship by itself, to try its network and key before sidecars use it.

use anyhow::Context;
use havenplank_membership::keys::read_keys;
use havenplank_membership::member::{Member, MemberId, MemberState, MAX_NAME_BYTES};
use havenplank_membership::node::{Node, NodeEvent};
use havenplank_membership::swim::Rules;
use havenplank_membership::transport::{log_event, new_incarnation, Transport};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::runtime::LocalOptions;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::interval;

#[derive(clap::Args)]
pub struct Fellow {
    /// Its name in the fellowship, 1 to 64 bytes.
    #[arg(long)]
    name: String,
    #[arg(long, default_value = "")]
    zone: String,
    /// UDP address to bind.
    #[arg(long)]
    listen: SocketAddr,
    /// Where others reach it; the bound address where left out.
    #[arg(long)]
    advertise: Option<SocketAddr>,
    /// Address of a fellow to begin with; several may be given.
    #[arg(long = "meet")]
    meet: Vec<SocketAddr>,
    /// File with the fellowship's keys, read again at SIGHUP.
    #[arg(long)]
    keys: PathBuf,
    /// Time between two questions.
    #[arg(long, default_value = "500ms")]
    period: humantime::Duration,
}

pub fn fellow(args: Fellow) -> anyhow::Result<u8> {
    let period = Duration::from(args.period);
    let wrong = [
        (
            args.name.is_empty() || args.name.len() > MAX_NAME_BYTES,
            "--name: expected 1 to 64 bytes",
        ),
        (
            args.zone.len() > MAX_NAME_BYTES,
            "--zone: expected 64 bytes at most",
        ),
        (
            !(10..=60_000).contains(&period.as_millis()),
            "--period: expected 10ms to 60s",
        ),
    ];
    if let Some((_, why)) = wrong.iter().find(|(wrong, _)| *wrong) {
        eprintln!("havenplank: {why}");
        return Ok(crate::USAGE);
    }
    let read = match read_keys(&args.keys) {
        Ok(read) => read,
        Err(why) => {
            eprintln!("havenplank: {why}");
            return Ok(crate::USAGE);
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(LocalOptions::default())?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).context("SIGTERM")?;
        let mut interrupt = signal(SignalKind::interrupt()).context("SIGINT")?;
        let mut reload = signal(SignalKind::hangup()).context("SIGHUP")?;
        let (period, who) = (
            period.as_nanos() as u64,
            MemberId {
                name: args.name.clone(),
                incarnation: new_incarnation(),
            },
        );
        let rules = Rules {
            period,
            ping_timeout: period * 3 / 10,
            ..Rules::default()
        };
        let transport = Transport::bind(args.listen, |now, bound| {
            let at = args.advertise.unwrap_or(bound);
            let me = Member {
                id: who,
                address: at,
                zone: args.zone.clone(),
                refutations: 0,
                state: MemberState::Alive,
            };
            let seed = me.id.incarnation ^ u64::from(bound.port()) << 48;
            Node::new(now, seed, me, args.meet.clone(), rules, read)
        });
        let transport = transport.await.with_context(|| args.listen.to_string())?;
        tracing::info!(name = args.name, listen = %transport.local_address()?, "fellow listening");
        tokio::task::spawn_local(transport.clone().run(|_, happened| tell(happened)));
        let mut beat = interval(Duration::from_secs(1));
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = reload.recv() => match read_keys(&args.keys) {
                    Ok(read) => {
                        tracing::info!(keys = read.len(), "keys read again");
                        transport.call(|node, _| node.replace_keys(read));
                    }
                    Err(why) => tracing::warn!(%why, "keys refused, the old ones stay"),
                },
                _ = beat.tick() => state(&transport),
            }
        }
        transport.call(|node, _| node.leave());
        tracing::info!("fellow left");
        Ok(0)
    })
}

fn tell(happened: NodeEvent) {
    if let NodeEvent::Membership(event) = happened {
        log_event(event);
    }
}

/// Once a second, what this one believes beside what came over the wire.
fn state(transport: &Rc<Transport>) {
    transport.call(|node, _| {
        let living: Vec<&str> = node
            .membership()
            .alive()
            .map(|news| news.id.name.as_str())
            .collect();
        tracing::info!(
            living = living.join(","),
            slowness = node.membership().health_score(),
            sent = node.sent,
            sent_bytes = node.sent_bytes,
            came = node.received,
            refused = node.rejected.total(),
            "state"
        );
    });
}
