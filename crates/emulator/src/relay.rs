//! Relays between processes on loopback that inject network faults, without any privilege.
//!
//! Each process advertises the address of its relay, and the relay forwards to the process what arrives there. The
//! source address of a datagram identifies its sender, so datagrams can be cut in each direction between two processes.
//! Streams are relayed on demand. The relay cannot tell which process opened a stream, so any cut towards a process
//! cuts all streams to it.

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

/// A loopback address with a port that the system chooses.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Size of the receive buffer, which holds the longest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Maximum number of datagrams that are delayed at one time; further ones are lost.
const MAX_DELAYED: usize = 10_000;

/// How often an open stream checks whether it has been cut.
const CUT_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Faults of the network, for datagrams that are not cut.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetworkFaults {
    /// Share of datagrams that are lost, from 0 to 1.
    pub loss: f64,
    /// Share of datagrams that arrive twice, from 0 to 1.
    pub duplicate: f64,
    /// Largest delay. Each datagram gets a random one up to it, so datagrams may arrive out of order.
    pub delay: Duration,
}

/// The state that all relays share.
struct Table {
    /// The process that sends from each source address.
    sources: HashMap<SocketAddr, usize>,
    /// The address of each process's own socket.
    targets: Vec<Option<SocketAddr>>,
    /// Cut directions, as sender and receiver.
    cut: HashSet<(usize, usize)>,
    faults: NetworkFaults,
    random: Rand64,
    /// Datagrams that are being delayed.
    delayed: usize,
    forwarded: u64,
    lost: u64,
}

/// The relays of a group of processes, one for each, numbered from 0.
pub struct Relays {
    table: Rc<RefCell<Table>>,
    addresses: Vec<SocketAddr>,
}

impl Relays {
    /// Binds relays that forward datagrams and refuse streams. Needs a `LocalSet` or `LocalRuntime`; the relays end
    /// with it.
    ///
    /// # Errors
    /// A socket cannot be bound.
    pub async fn bind(count: usize, seed: u64) -> io::Result<Relays> {
        let mut relays = Relays::new(count, seed);
        for to in 0..count {
            let socket = UdpSocket::bind(ANY_PORT).await?;
            relays.forward_datagrams(socket, to)?;
        }
        Ok(relays)
    }

    /// Binds relays that forward datagrams and, on the same ports, streams.
    ///
    /// # Errors
    /// A socket cannot be bound.
    pub async fn bind_with_streams(count: usize, seed: u64) -> io::Result<Relays> {
        let mut relays = Relays::new(count, seed);
        for to in 0..count {
            let pair = PortPair::bind(ANY_PORT).await?;
            relays.forward_datagrams(pair.datagrams, to)?;
            spawn_local(relay_streams(relays.table.clone(), pair.streams, to));
        }
        Ok(relays)
    }

    fn new(count: usize, seed: u64) -> Relays {
        let table = Table {
            sources: HashMap::new(),
            targets: vec![None; count],
            cut: HashSet::new(),
            faults: NetworkFaults::default(),
            random: Rand64::new(seed as u128),
            delayed: 0,
            forwarded: 0,
            lost: 0,
        };
        Relays {
            table: Rc::new(RefCell::new(table)),
            addresses: Vec::new(),
        }
    }

    fn forward_datagrams(&mut self, socket: UdpSocket, to: usize) -> io::Result<()> {
        self.addresses.push(socket.local_addr()?);
        spawn_local(relay(self.table.clone(), Rc::new(socket), to));
        Ok(())
    }

    /// The address that a process advertises to others: that of its relay.
    pub fn address(&self, id: usize) -> SocketAddr {
        self.addresses[id]
    }

    /// Sets the address of a process's own socket; after a restart it may be another.
    pub fn set_target(&self, id: usize, address: SocketAddr) {
        let mut table = self.table.borrow_mut();
        table.sources.retain(|_, known| *known != id);
        table.sources.insert(address, id);
        table.targets[id] = Some(address);
    }

    /// Cuts one direction: nothing from the first process reaches the second.
    pub fn cut(&self, from: usize, to: usize) {
        self.table.borrow_mut().cut.insert((from, to));
    }

    /// Cuts both directions between one process and all others.
    pub fn isolate(&self, id: usize) {
        for other in (0..self.addresses.len()).filter(|other| *other != id) {
            self.cut(id, other);
            self.cut(other, id);
        }
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        self.table.borrow_mut().cut.clear();
    }

    /// Replaces the faults of the network.
    pub fn set_faults(&self, faults: NetworkFaults) {
        self.table.borrow_mut().faults = faults;
    }

    /// Datagrams forwarded and lost so far.
    pub fn counts(&self) -> (u64, u64) {
        let table = self.table.borrow();
        (table.forwarded, table.lost)
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
                () = forward_stream(&table, stream, to) => {}
                () = until_cut(&table, to) => {}
            }
        });
    }
}

async fn forward_stream(table: &RefCell<Table>, mut stream: TcpStream, to: usize) {
    let target = table.borrow().targets[to];
    let Some(target) = target else { return };
    if let Ok(mut upstream) = TcpStream::connect(target).await {
        // An error breaks the stream on both sides, which the processes must cope with.
        let _ = copy_bidirectional(&mut stream, &mut upstream).await;
    }
}

/// Waits until some direction towards a process is cut.
async fn until_cut(table: &RefCell<Table>, to: usize) {
    while !table.borrow().cut.iter().any(|(_, target)| *target == to) {
        sleep(CUT_CHECK_INTERVAL).await;
    }
}

async fn relay(table: Rc<RefCell<Table>>, socket: Rc<UdpSocket>, to: usize) {
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // The error belongs to an earlier datagram, whose receiver had no socket.
        let Ok((length, source)) = socket.recv_from(&mut bytes).await else {
            continue;
        };
        let (target, copies, delays) = {
            let mut table = table.borrow_mut();
            let from = table.sources.get(&source).copied();
            let target = from
                .filter(|from| !table.cut.contains(&(*from, to)))
                .and(table.targets[to]);
            let lost =
                table.random.rand_float() < table.faults.loss || table.delayed >= MAX_DELAYED;
            let Some(target) = target.filter(|_| !lost) else {
                table.lost += 1;
                continue;
            };
            table.forwarded += 1;
            let copies = 1 + (table.random.rand_float() < table.faults.duplicate) as usize;
            let delays: Vec<Duration> = (0..copies)
                .map(|_| table.faults.delay.mul_f64(table.random.rand_float()))
                .collect();
            table.delayed += copies;
            (target, copies, delays)
        };
        let datagram = bytes[..length].to_vec();
        for delay in delays.into_iter().take(copies) {
            let (table, socket, datagram) = (table.clone(), socket.clone(), datagram.clone());
            let send = async move {
                if !delay.is_zero() {
                    sleep(delay).await;
                }
                let _ = socket.send_to(&datagram, target).await;
                table.borrow_mut().delayed -= 1;
            };
            spawn_local(send);
        }
    }
}
