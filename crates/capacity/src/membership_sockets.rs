//! Measures membership and view exchange over sockets: hundreds of sidecars in one process on loopback, each with a UDP
//! and a TCP socket of its own.

use crate::membership::{resident_bytes, Figures};
use crate::report::Section;
use crate::test_sidecar;
use havenplank_membership::node::NodeEvent;
use havenplank_membership::quorum::Rules as QuorumRules;
use havenplank_membership::swim::Rules;
use havenplank_membership::transport::Transport;
use havenplank_membership::view_exchange::{ViewExchange, VIEW_KIND};
use std::cell::RefCell;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{interval, sleep, MissedTickBehavior};

/// Number of seeds: the first sidecars, whose addresses every later sidecar is given at its start.
const SEEDS: usize = 3;
/// File descriptors of one sidecar: one for UDP, one for TCP, and one for a stream that may be open.
const DESCRIPTORS_PER_SIDECAR: u64 = 3;
/// Memory of one sidecar for each peer: the value from the simulation, rounded up.
const BYTES_PER_PEER: u64 = 3_000;
/// Memory of one sidecar that does not depend on the size of the fleet: the value from the simulation, rounded up.
const BYTES_PER_SIDECAR: u64 = 200_000;

/// The sizes and windows to measure.
#[derive(Clone, Debug)]
pub struct Options {
    /// The fleet sizes, in sidecars.
    pub sizes: Vec<usize>,
    /// The ends of the measured windows, in seconds after the common start.
    pub windows_s: Vec<u64>,
}

impl Options {
    /// Returns options that take half a minute for each size.
    pub fn quick() -> Options {
        Options {
            sizes: vec![50, 100],
            windows_s: vec![30],
        }
    }

    /// Returns options that take two minutes for each size.
    pub fn full() -> Options {
        Options {
            sizes: vec![50, 100, 200, 400],
            windows_s: vec![60, 120],
        }
    }
}

/// The reason why a size was not measured.
#[derive(Debug, thiserror::Error)]
pub enum SizeError {
    /// The fleet would use more than half of the available memory.
    #[error("{size} sidecars need {needed} bytes of memory, but half of the available memory is {half} bytes")]
    Memory {
        /// The fleet size, in sidecars.
        size: usize,
        /// The memory that they need, in bytes.
        needed: u64,
        /// Half of the available memory, in bytes.
        half: u64,
    },
    /// The fleet would use more than half of the file descriptors that this process may open.
    #[error("{size} sidecars need {needed} file descriptors, but half of the limit is {half}")]
    Descriptors {
        /// The fleet size, in sidecars.
        size: usize,
        /// The file descriptors that they need.
        needed: u64,
        /// Half of the limit of open files.
        half: u64,
    },
    /// A socket cannot be opened on loopback.
    #[error("cannot open a socket on loopback: {0}")]
    Socket(#[from] io::Error),
}

/// A sidecar that runs membership and view exchange over sockets.
struct SocketSidecar {
    transport: Rc<Transport>,
}

/// Returns the number after a prefix in the first line of a system file that begins with the prefix.
fn number_after(file: &str, prefix: &str) -> Option<u64> {
    let text = std::fs::read_to_string(file).ok()?;
    let rest = text.lines().find_map(|line| line.strip_prefix(prefix))?;
    rest.split_whitespace().next()?.parse().ok()
}

/// Checks that a fleet of this size fits into half of the memory and half of the file descriptors.
///
/// # Errors
/// The fleet would use more than half of the available memory or of the file descriptors.
pub fn check_resources(size: usize) -> Result<(), SizeError> {
    let count = size as u64;
    let half = number_after("/proc/meminfo", "MemAvailable:").unwrap_or(0) * 1_024 / 2;
    let needed = count * (BYTES_PER_SIDECAR + BYTES_PER_PEER * count);
    if needed > half {
        return Err(SizeError::Memory { size, needed, half });
    }
    let half = number_after("/proc/self/limits", "Max open files").unwrap_or(0) / 2;
    let needed = count * DESCRIPTORS_PER_SIDECAR;
    if needed > half {
        return Err(SizeError::Descriptors { size, needed, half });
    }
    Ok(())
}

impl SocketSidecar {
    async fn start(number: usize, seeds: Vec<SocketAddr>) -> io::Result<SocketSidecar> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let transport =
            Transport::bind(any, |now, at| test_sidecar::node(now, at, number, 1, seeds)).await?;
        let me = transport.call(|node, _| node.membership().me().id.clone());
        let views = Rc::new(RefCell::new(ViewExchange::new(
            transport.now(),
            me,
            QuorumRules::default(),
        )));
        let receiver = views.clone();
        spawn_local(
            transport
                .clone()
                .run(move |transport, node_event| match node_event {
                    NodeEvent::Message {
                        from,
                        kind: VIEW_KIND,
                        body,
                    } => {
                        let _ = receiver.borrow_mut().receive(transport.now(), &from, &body);
                    }
                    NodeEvent::Message { .. } => {}
                    NodeEvent::Membership(event) => {
                        receiver.borrow_mut().observe(transport.now(), &event)
                    }
                }),
        );
        spawn_local(run_view_exchange(transport.clone(), views));
        Ok(SocketSidecar { transport })
    }

    fn alive_peers(&self) -> usize {
        self.transport
            .call(|node, _| node.membership().alive().count())
    }

    /// Returns the messages received, the messages sent, and the bytes of the messages sent.
    fn counts(&self) -> [u64; 3] {
        self.transport
            .call(|node, _| [node.received, node.sent, node.sent_bytes])
    }
}

async fn run_view_exchange(transport: Rc<Transport>, views: Rc<RefCell<ViewExchange>>) {
    let mut ticks = interval(Duration::from_nanos(Rules::default().period));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        transport.call(|node, now| views.borrow_mut().tick(now, node));
    }
}

async fn measure(size: usize, windows_s: &[u64], figures: &mut Figures) -> Result<(), SizeError> {
    const SECTION: &str = "Membership on sockets: after a common start";
    let mut sidecars: Vec<SocketSidecar> = Vec::new();
    let mut seeds = Vec::new();
    for number in 0..size {
        let sidecar = SocketSidecar::start(number, seeds.clone()).await?;
        if seeds.len() < SEEDS {
            seeds.push(sidecar.transport.local_address()?);
        }
        sidecars.push(sidecar);
    }
    let totals = |sidecars: &[SocketSidecar]| {
        sidecars
            .iter()
            .map(SocketSidecar::counts)
            .fold([0; 3], |sum, each| [0, 1, 2].map(|n| sum[n] + each[n]))
    };
    let (mut start, mut before) = (0, totals(&sidecars));
    for end in windows_s {
        sleep(Duration::from_secs(end - start)).await;
        let after = totals(&sidecars);
        let rate = |n: usize| (after[n] - before[n]) as f64 / (end - start) as f64 / size as f64;
        let mut add = |name: &str, value: f64| {
            figures.add(SECTION, &format!("{start} to {end} s: {name}"), size, value);
        };
        add("received_messages_per_s", rate(0));
        add("sent_messages_per_s", rate(1));
        add("sent_bytes_per_s", rate(2));
        let seeing_all = sidecars
            .iter()
            .filter(|sidecar| sidecar.alive_peers() + 1 == size)
            .count();
        add("share_seeing_all", seeing_all as f64 / size as f64);
        (start, before) = (*end, after);
    }
    figures.add(
        SECTION,
        "resident_bytes_per_sidecar",
        size,
        resident_bytes() as f64 / size as f64,
    );
    Ok(())
}

/// Measures all sizes in turn. A size that would use too much of the machine is skipped, and the notes say why.
///
/// # Errors
/// The asynchronous runtime cannot be created.
pub fn membership_on_sockets(options: &Options) -> io::Result<Vec<Section>> {
    let mut figures = Figures::new("sockets");
    let mut notes = vec!["all sidecars in one thread of one process, on loopback".to_string()];
    for size in &options.sizes {
        // Each size has a runtime of its own, so that all its tasks end with it.
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let work = measure(*size, &options.windows_s, &mut figures);
        let result = check_resources(*size).and_then(|()| LocalSet::new().block_on(&runtime, work));
        notes.extend(
            result
                .err()
                .map(|error| format!("size not measured: {error}")),
        );
    }
    Ok(figures.sections(&notes))
}
