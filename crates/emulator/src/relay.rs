//! Relays of datagrams between processes on loopback: what a network does to them, without any privilege.
//!
//! Each process tells others the address of its relay and gets from there what is meant for it. Who sent a datagram
//! shows from its source, so that every direction between two processes can be cut, slowed or thinned by itself. Streams
//! are carried on demand; who opened one does not show, so that any cut towards a process cuts all streams to it.

use havenplank_membership::port_pair::PortPair;
use oorandom::Rand64;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// On loopback, at a port that the system chooses.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const LONGEST: usize = 65_536;
/// Datagrams that are held back at once, at most; what comes on top is lost.
const HELD: usize = 10_000;

/// How soon a cut ends the streams that are open.
const CUT_LOOK: Duration = Duration::from_millis(5);

/// What happens to datagrams that are not cut.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetworkFaults {
    /// Share lost, and share that comes twice.
    pub loss: f64,
    pub duplicate: f64,
    /// Each waits up to this long, by chance, and so overtakes others.
    pub delay: Duration,
}

struct Table {
    /// Which process a source address belongs to, and where each has its own socket.
    sources: HashMap<SocketAddr, usize>,
    targets: Vec<Option<SocketAddr>>,
    cut: HashSet<(usize, usize)>,
    faults: NetworkFaults,
    chance: Rand64,
    held: usize,
    carried: u64,
    lost: u64,
}

/// The relays of a group of processes, one each, numbered from 0.
pub struct Relays {
    table: Rc<RefCell<Table>>,
    at: Vec<SocketAddr>,
}

impl Relays {
    /// Binds relays that carry datagrams and refuse streams. Needs a `LocalSet` or `LocalRuntime`; the relays end with it.
    ///
    /// # Errors
    /// No sockets to be had.
    pub async fn bind(many: usize, seed: u64) -> io::Result<Relays> {
        let mut relays = Relays::new(many, seed);
        for to in 0..many {
            let socket = UdpSocket::bind(ANY_PORT).await?;
            relays.carry_datagrams(socket, to)?;
        }
        Ok(relays)
    }

    /// Binds relays that carry datagrams and, on the same ports, streams.
    ///
    /// # Errors
    /// No sockets to be had.
    pub async fn bind_with_streams(many: usize, seed: u64) -> io::Result<Relays> {
        let mut relays = Relays::new(many, seed);
        for to in 0..many {
            let pair = PortPair::bind(ANY_PORT).await?;
            relays.carry_datagrams(pair.datagrams, to)?;
            spawn_local(relay_streams(relays.table.clone(), pair.streams, to));
        }
        Ok(relays)
    }

    fn new(many: usize, seed: u64) -> Relays {
        let table = Table {
            sources: HashMap::new(),
            targets: vec![None; many],
            cut: HashSet::new(),
            faults: NetworkFaults::default(),
            chance: Rand64::new(seed as u128),
            held: 0,
            carried: 0,
            lost: 0,
        };
        Relays {
            table: Rc::new(RefCell::new(table)),
            at: Vec::new(),
        }
    }

    fn carry_datagrams(&mut self, socket: UdpSocket, to: usize) -> io::Result<()> {
        self.at.push(socket.local_addr()?);
        spawn_local(relay(self.table.clone(), Rc::new(socket), to));
        Ok(())
    }

    /// What others must be told as the address of a process.
    pub fn address(&self, id: usize) -> SocketAddr {
        self.at[id]
    }

    /// Where a process has its own socket now; a later life of it may have another.
    pub fn set_target(&self, id: usize, own: SocketAddr) {
        let mut table = self.table.borrow_mut();
        table.sources.retain(|_, known| *known != id);
        table.sources.insert(own, id);
        table.targets[id] = Some(own);
    }

    /// From the first nothing reaches the second.
    pub fn cut(&self, from: usize, to: usize) {
        self.table.borrow_mut().cut.insert((from, to));
    }

    /// Both ways, between one and all others.
    pub fn isolate(&self, id: usize) {
        for other in (0..self.at.len()).filter(|other| *other != id) {
            self.cut(id, other);
            self.cut(other, id);
        }
    }

    pub fn heal(&self) {
        self.table.borrow_mut().cut.clear();
    }

    pub fn set_faults(&self, faults: NetworkFaults) {
        self.table.borrow_mut().faults = faults;
    }

    /// Datagrams carried and lost so far.
    pub fn counts(&self) -> (u64, u64) {
        let table = self.table.borrow();
        (table.carried, table.lost)
    }
}

async fn relay_streams(table: Rc<RefCell<Table>>, listener: TcpListener, to: usize) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let table = table.clone();
        spawn_local(async move {
            tokio::select! {
                () = carry(&table, stream, to) => {}
                () = until_cut(&table, to) => {}
            }
        });
    }
}

async fn carry(table: &RefCell<Table>, mut stream: TcpStream, to: usize) {
    let target = table.borrow().targets[to];
    let Some(target) = target else { return };
    if let Ok(mut onwards) = TcpStream::connect(target).await {
        // A stream that breaks is the loss of what it carried, which the processes are to bear.
        let _ = copy_bidirectional(&mut stream, &mut onwards).await;
    }
}

async fn until_cut(table: &RefCell<Table>, to: usize) {
    while !table.borrow().cut.iter().any(|(_, target)| *target == to) {
        sleep(CUT_LOOK).await;
    }
}

async fn relay(table: Rc<RefCell<Table>>, socket: Rc<UdpSocket>, to: usize) {
    let mut bytes = vec![0; LONGEST];
    loop {
        // An error tells of an earlier datagram that found nobody.
        let Ok((length, source)) = socket.recv_from(&mut bytes).await else {
            continue;
        };
        let (target, copies, delay) = {
            let mut table = table.borrow_mut();
            let from = table.sources.get(&source).copied();
            let through = from
                .filter(|from| !table.cut.contains(&(*from, to)))
                .and(table.targets[to]);
            let lost = table.chance.rand_float() < table.faults.loss || table.held >= HELD;
            let Some(target) = through.filter(|_| !lost) else {
                table.lost += 1;
                continue;
            };
            table.carried += 1;
            let copies = 1 + (table.chance.rand_float() < table.faults.duplicate) as usize;
            let delays: Vec<Duration> = (0..copies)
                .map(|_| table.faults.delay.mul_f64(table.chance.rand_float()))
                .collect();
            table.held += copies;
            (target, copies, delays)
        };
        let all = bytes[..length].to_vec();
        for delay in delay.into_iter().take(copies) {
            let (table, socket, all) = (table.clone(), socket.clone(), all.clone());
            let send = async move {
                if !delay.is_zero() {
                    sleep(delay).await;
                }
                let _ = socket.send_to(&all, target).await;
                table.borrow_mut().held -= 1;
            };
            spawn_local(send);
        }
    }
}
