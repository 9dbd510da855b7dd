//! The same hollow sidecars on sockets: hundreds in one process on loopback, each with its own UDP and TCP socket.

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

const SEEDS: usize = 3;
/// One for UDP, one for TCP, and one for a stream that may be open.
const DESCRIPTORS_EACH: u64 = 3;
/// Memory of one sidecar for each peer of its fleet, and whatever the fleet: what the simulation showed, rounded up.
const BYTES_PER_PEER: u64 = 3_000;
const BYTES_EACH: u64 = 200_000;

/// What is measured.
#[derive(Clone, Debug)]
pub struct Options {
    /// Sizes of the fleet.
    pub sizes: Vec<usize>,
    /// Ends of the windows after the common start, in seconds.
    pub windows_s: Vec<u64>,
}

impl Options {
    /// Half a minute for each size.
    pub fn quick() -> Options {
        Options {
            sizes: vec![50, 100],
            windows_s: vec![30],
        }
    }

    /// Two minutes for each size.
    pub fn full() -> Options {
        Options {
            sizes: vec![50, 100, 200, 400],
            windows_s: vec![60, 120],
        }
    }
}

/// Why a size was not measured.
#[derive(Debug, thiserror::Error)]
pub enum SizeError {
    /// More than half of the available memory would be taken.
    #[error("{size} sidecars need {needed} bytes of memory; half of what is available is {half}")]
    Memory {
        /// Sidecars.
        size: usize,
        /// Bytes that they need.
        needed: u64,
        /// Half of the bytes available.
        half: u64,
    },
    /// More than half of the descriptors would be taken.
    #[error("{size} sidecars need {needed} descriptors; half of the limit is {half}")]
    Descriptors {
        /// Sidecars.
        size: usize,
        /// Descriptors that they need.
        needed: u64,
        /// Half of the limit.
        half: u64,
    },
    /// The system gives no socket.
    #[error("no socket on loopback: {0}")]
    Socket(#[from] io::Error),
}

struct Running {
    transport: Rc<Transport>,
}

/// A number in a file of the system, in the line that begins so.
fn number_of(file: &str, line: &str) -> Option<u64> {
    let text = std::fs::read_to_string(file).ok()?;
    let rest = text.lines().find_map(|found| found.strip_prefix(line))?;
    rest.split_whitespace().next()?.parse().ok()
}

/// Checks that a size fits this machine.
///
/// # Errors
/// A size that would take more than half of the memory or of the descriptors.
pub fn check_resources(size: usize) -> Result<(), SizeError> {
    let count = size as u64;
    let half = number_of("/proc/meminfo", "MemAvailable:").unwrap_or(0) * 1_024 / 2;
    let needed = count * (BYTES_EACH + BYTES_PER_PEER * count);
    if needed > half {
        return Err(SizeError::Memory { size, needed, half });
    }
    let half = number_of("/proc/self/limits", "Max open files").unwrap_or(0) / 2;
    let needed = count * DESCRIPTORS_EACH;
    if needed > half {
        return Err(SizeError::Descriptors { size, needed, half });
    }
    Ok(())
}

impl Running {
    async fn start(number: usize, seeds: Vec<SocketAddr>) -> io::Result<Running> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let transport =
            Transport::bind(any, |now, at| test_sidecar::node(now, at, number, 1, seeds)).await?;
        let me = transport.call(|node, _| node.membership().me().id.clone());
        let views = Rc::new(RefCell::new(ViewExchange::new(
            transport.now(),
            me,
            QuorumRules::default(),
        )));
        let heard = views.clone();
        spawn_local(
            transport
                .clone()
                .run(move |transport, happened| match happened {
                    NodeEvent::Message {
                        from,
                        kind: VIEW_KIND,
                        body,
                    } => {
                        let _ = heard.borrow_mut().receive(transport.now(), &from, &body);
                    }
                    NodeEvent::Message { .. } => {}
                    NodeEvent::Membership(event) => {
                        heard.borrow_mut().observe(transport.now(), &event)
                    }
                }),
        );
        spawn_local(tell_views(transport.clone(), views));
        Ok(Running { transport })
    }

    fn alive_peers(&self) -> usize {
        self.transport
            .call(|node, _| node.membership().alive().count())
    }

    /// Messages that came, messages sent, and their bytes.
    fn counts(&self) -> [u64; 3] {
        self.transport
            .call(|node, _| [node.received, node.sent, node.sent_bytes])
    }
}

async fn tell_views(transport: Rc<Transport>, views: Rc<RefCell<ViewExchange>>) {
    let mut periods = interval(Duration::from_nanos(Rules::default().period));
    periods.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        periods.tick().await;
        transport.call(|node, now| views.borrow_mut().tick(now, node));
    }
}

async fn measure(size: usize, windows_s: &[u64], figures: &mut Figures) -> Result<(), SizeError> {
    const SECTION: &str = "Membership on sockets: after a common start";
    let mut running: Vec<Running> = Vec::new();
    let mut seeds = Vec::new();
    for number in 0..size {
        let sidecar = Running::start(number, seeds.clone()).await?;
        if seeds.len() < SEEDS {
            seeds.push(sidecar.transport.local_address()?);
        }
        running.push(sidecar);
    }
    let sums = |running: &[Running]| {
        running
            .iter()
            .map(Running::counts)
            .fold([0; 3], |sum, each| [0, 1, 2].map(|n| sum[n] + each[n]))
    };
    let (mut from, mut before) = (0, sums(&running));
    for until in windows_s {
        sleep(Duration::from_secs(until - from)).await;
        let after = sums(&running);
        let each = |n: usize| (after[n] - before[n]) as f64 / (until - from) as f64 / size as f64;
        let mut add = |name: &str, value: f64| {
            figures.add(
                SECTION,
                &format!("{from} to {until} s: {name}"),
                size,
                value,
            );
        };
        add("received_messages_per_s", each(0));
        add("sent_messages_per_s", each(1));
        add("sent_bytes_per_s", each(2));
        let whole = running
            .iter()
            .filter(|sidecar| sidecar.alive_peers() + 1 == size)
            .count();
        add("share_seeing_all", whole as f64 / size as f64);
        (from, before) = (*until, after);
    }
    figures.add(
        SECTION,
        "resident_bytes_per_sidecar",
        size,
        resident_bytes() as f64 / size as f64,
    );
    Ok(())
}

/// All sizes in turn; one that would take too much of the machine is refused and named in the notes.
///
/// # Errors
/// A runtime that the system does not give.
pub fn membership_on_sockets(options: &Options) -> io::Result<Vec<Section>> {
    let mut figures = Figures::new("sockets");
    let mut notes = vec!["all sidecars in one thread of one process, on loopback".to_string()];
    for size in &options.sizes {
        // A runtime for each size: whatever runs in it ends with it.
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let work = measure(*size, &options.windows_s, &mut figures);
        let done = check_resources(*size).and_then(|()| LocalSet::new().block_on(&runtime, work));
        notes.extend(done.err().map(|refusal| format!("not measured: {refusal}")));
    }
    Ok(figures.sections(&notes))
}
