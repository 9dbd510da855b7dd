//! A simulated datagram network between state machines: loss, delay, duplicates, partitions, pauses, clock drift,
//! restarts.
//!
//! Nothing here sleeps or opens a socket: time is a number, randomness comes from a seed, and the same seed gives
//! the same run. The state machines are the very ones that run over sockets elsewhere.

use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Nanoseconds since the start of the run, or on a host's own clock.
pub type Nanos = u64;
/// A host's index, in the order of joining.
pub type Id = usize;

/// Datagrams that wait at a paused host, at most; more are dropped, as by a socket's buffer.
const MAX_BUFFERED: usize = 512;

/// A state machine with its codec. Times are on its own clock.
pub trait Host {
    /// Receives a datagram.
    fn receive_datagram(&mut self, now: Nanos, bytes: &[u8]);
    /// Runs the timers that are due.
    fn wake(&mut self, now: Nanos);
    /// When the next timer is due.
    fn next_wake(&self) -> Option<Nanos>;
    /// Takes the next datagram to send, with its destination.
    fn datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)>;
}

/// Faults of the network.
#[derive(Clone, Debug)]
pub struct NetworkFaults {
    /// Share of datagrams lost, from 0 to 1.
    pub loss: f64,
    /// Share of datagrams that arrive twice, from 0 to 1.
    pub duplicate: f64,
    /// Least and greatest delay of a datagram.
    pub delay: (Nanos, Nanos),
}

impl Default for NetworkFaults {
    fn default() -> NetworkFaults {
        NetworkFaults {
            loss: 0.0,
            duplicate: 0.0,
            delay: (100_000, 400_000),
        }
    }
}

/// A host's own clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    /// What it showed at the start of the run.
    pub began: Nanos,
    /// By how many hosts per million it runs fast.
    pub drift_ppm: i64,
}

impl Clock {
    /// What the clock shows at a time of the run.
    fn own(&self, time: Nanos) -> Nanos {
        self.began + (time as i128 * (1_000_000 + self.drift_ppm as i128) / 1_000_000) as Nanos
    }

    /// The first moment at which the host's clock shows at least this.
    fn when(&self, own: Nanos) -> Nanos {
        let rate = 1_000_000 + self.drift_ppm as i128;
        let ran = own.saturating_sub(self.began) as i128;
        ((ran * 1_000_000 + rate - 1) / rate) as Nanos
    }
}

/// What became of a datagram, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramOutcome {
    /// Stopped by a partition, or no host has that address.
    Partitioned,
    /// Lost by the network.
    Lost,
    /// Sent; holds the number of copies.
    Sent(usize),
    /// Received by a host that runs.
    Received,
    /// Buffered, as its receiver is paused.
    Buffered,
    /// Dropped, as its receiver is dead or paused with a full buffer.
    Dropped,
}

/// An entry of [`Net::datagram_log`].
#[derive(Clone, Debug)]
pub struct DatagramEvent {
    /// When it happened.
    pub at: Nanos,
    /// The sender; none on arrival, as a datagram in transit does not name it.
    pub from: Option<Id>,
    /// The receiver, if a host has that address.
    pub to: Option<Id>,
    /// What became of the datagram.
    pub outcome: DatagramOutcome,
    /// The datagram.
    pub bytes: Vec<u8>,
}

/// Least and greatest delay of a datagram from the first host to the second.
pub type Delay = Box<dyn Fn(Id, Id) -> (Nanos, Nanos)>;

/// A host with its address and clock, dead or alive.
struct Slot<P> {
    host: Option<P>,
    at: SocketAddr,
    clock: Clock,
    paused: bool,
    buffer: VecDeque<Vec<u8>>,
    /// Its entry in [`Net::wakes`].
    wakes_at: Option<Nanos>,
}

/// When a datagram arrives; those of one moment in the order of sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Arrival {
    at: Nanos,
    sequence: u64,
}

/// The way from one host to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Link {
    from: Id,
    to: Id,
}

/// A datagram in transit.
struct Datagram {
    to: Id,
    bytes: Vec<u8>,
}

/// The simulated network with its hosts.
pub struct Net<P> {
    now: Nanos,
    slots: Vec<Slot<P>>,
    by_address: BTreeMap<SocketAddr, Id>,
    /// Datagrams in transit, by arrival. Bounded by what the hosts send within the greatest delay.
    in_transit: BTreeMap<Arrival, Datagram>,
    /// Copies sent so far.
    sequence: u64,
    /// When each host that is not paused wakes next; those in `touched` are updated before the next step.
    wakes: BTreeSet<(Nanos, Id)>,
    touched: Vec<Id>,
    /// Faults that apply to all datagrams.
    pub faults: NetworkFaults,
    /// Takes precedence over the delay in `faults`, as zones and regions lie apart.
    pub delay: Option<Delay>,
    /// One-way partitions.
    cut: BTreeSet<Link>,
    random: Rand64,
    /// Datagrams that hosts sent.
    pub sent: u64,
    /// Bytes that hosts sent.
    pub sent_bytes: u64,
    /// Datagrams that did not reach their receiver.
    pub lost: u64,
    /// What became of each datagram, if set; whoever sets it empties it.
    pub datagram_log: Option<Vec<DatagramEvent>>,
}

impl<P: Host> Net<P> {
    /// A network without hosts.
    pub fn new(seed: u64, faults: NetworkFaults) -> Net<P> {
        Net {
            now: 0,
            slots: Vec::new(),
            by_address: BTreeMap::new(),
            in_transit: BTreeMap::new(),
            sequence: 0,
            wakes: BTreeSet::new(),
            touched: Vec::new(),
            faults,
            delay: None,
            cut: BTreeSet::new(),
            random: Rand64::new(seed as u128),
            sent: 0,
            sent_bytes: 0,
            lost: 0,
            datagram_log: None,
        }
    }

    fn write(&mut self, from: Option<Id>, to: Option<Id>, outcome: DatagramOutcome, bytes: &[u8]) {
        if let Some(datagram_log) = &mut self.datagram_log {
            datagram_log.push(DatagramEvent {
                at: self.now,
                from,
                to,
                outcome,
                bytes: bytes.to_vec(),
            });
        }
    }

    /// The address of the nth host, for whoever must name it before it joins.
    pub fn address(id: Id) -> SocketAddr {
        SocketAddr::from(([10, (id >> 16) as u8, (id >> 8) as u8, id as u8], 7_000))
    }

    /// The time of the run.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// What a host's clock shows.
    pub fn own_time(&self, id: Id) -> Nanos {
        self.slots[id].clock.own(self.now)
    }

    /// Adds a host; `make` gets its own time and its address.
    pub fn join(&mut self, clock: Clock, make: impl FnOnce(Nanos, SocketAddr) -> P) -> Id {
        let (id, at) = (self.slots.len(), Self::address(self.slots.len()));
        let host = Some(make(clock.own(self.now), at));
        let buffer = VecDeque::new();
        self.slots.push(Slot {
            host,
            at,
            clock,
            paused: false,
            buffer,
            wakes_at: None,
        });
        self.by_address.insert(at, id);
        self.touched.push(id);
        id
    }

    /// A host, unless it is dead.
    pub fn host(&self, id: Id) -> Option<&P> {
        self.slots[id].host.as_ref()
    }

    /// A host, unless it is dead; its timers are read anew before the next step.
    pub fn host_mut(&mut self, id: Id) -> Option<&mut P> {
        self.touched.push(id);
        self.slots[id].host.as_mut()
    }

    /// All hosts, dead ones too.
    pub fn ids(&self) -> impl Iterator<Item = Id> + use<P> {
        0..self.slots.len()
    }

    /// Kills a host, with what was buffered for it.
    pub fn kill(&mut self, id: Id) {
        self.slots[id].host = None;
        self.slots[id].buffer.clear();
        self.touched.push(id);
    }

    /// Starts a host anew at its address.
    pub fn restart(&mut self, id: Id, make: impl FnOnce(Nanos, SocketAddr) -> P) {
        let own = self.own_time(id);
        let slot = &mut self.slots[id];
        slot.host = Some(make(own, slot.at));
        slot.paused = false;
        self.touched.push(id);
    }

    /// Pauses a host; datagrams that arrive meanwhile are buffered up to a bound.
    pub fn pause(&mut self, id: Id) {
        self.slots[id].paused = true;
        self.touched.push(id);
    }

    /// Runs a paused host again, with what was buffered.
    pub fn unpause(&mut self, id: Id) {
        self.slots[id].paused = false;
        let own = self.own_time(id);
        // As a loop does on waking: timers first, then what lies in the socket.
        if let Some(host) = &mut self.slots[id].host {
            host.wake(own);
        }
        while let Some(bytes) = self.slots[id].buffer.pop_front() {
            if let Some(host) = &mut self.slots[id].host {
                host.receive_datagram(own, &bytes);
            }
        }
        self.post(id);
    }

    /// Partitions one way: nothing from the first reaches the second.
    pub fn cut(&mut self, from: Id, to: Id) {
        self.cut.insert(Link { from, to });
    }

    /// Partitions both ways between the groups; hosts in no group reach all.
    pub fn split(&mut self, groups: &[&[Id]]) {
        for (n, group) in groups.iter().enumerate() {
            for other in groups.iter().skip(n + 1) {
                for (a, b) in group
                    .iter()
                    .flat_map(|a| other.iter().map(move |b| (*a, *b)))
                {
                    self.cut.insert(Link { from: a, to: b });
                    self.cut.insert(Link { from: b, to: a });
                }
            }
        }
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// Runs to a time. `look` is called after each step with the host that moved.
    pub fn run(&mut self, until: Nanos, mut look: impl FnMut(&mut Net<P>, Id)) {
        while let Some((time, next)) = self.next().filter(|(time, _)| *time <= until) {
            self.now = self.now.max(time);
            let moved = match next {
                Some(id) => {
                    let own = self.own_time(id);
                    if let Some(host) = &mut self.slots[id].host {
                        host.wake(own);
                    }
                    id
                }
                None => self.arrive(),
            };
            self.post(moved);
            look(self, moved);
        }
        self.now = self.now.max(until);
    }

    /// What comes next: a host's wake, or a datagram (no host) where that is due no later.
    fn next(&mut self) -> Option<(Nanos, Option<Id>)> {
        while let Some(id) = self.touched.pop() {
            self.enter_wake(id);
        }
        let wake = self.wakes.first().map(|(time, id)| (*time, Some(*id)));
        let arrival = self.in_transit.keys().next().map(|next| (next.at, None));
        match (wake, arrival) {
            (Some(wake), Some(arrival)) if arrival.0 <= wake.0 => Some(arrival),
            (wake, arrival) => wake.or(arrival),
        }
    }

    /// Enters when the host wakes next, in slot of what stood there.
    fn enter_wake(&mut self, id: Id) {
        let slot = &mut self.slots[id];
        let host = slot.host.as_ref().filter(|_| !slot.paused);
        let due = host
            .and_then(Host::next_wake)
            .map(|own| slot.clock.when(own).max(self.now));
        if let Some(before) = std::mem::replace(&mut slot.wakes_at, due) {
            self.wakes.remove(&(before, id));
        }
        if let Some(due) = due {
            self.wakes.insert((due, id));
        }
    }

    /// Delivers the next datagram and returns its receiver.
    fn arrive(&mut self) -> Id {
        let Some((_, Datagram { to, bytes })) = self.in_transit.pop_first() else {
            return 0;
        };
        let own = self.own_time(to);
        let outcome = match &self.slots[to] {
            Slot {
                host: Some(_),
                paused: false,
                ..
            } => DatagramOutcome::Received,
            Slot {
                host: Some(_),
                buffer,
                ..
            } if buffer.len() < MAX_BUFFERED => DatagramOutcome::Buffered,
            _ => DatagramOutcome::Dropped,
        };
        self.write(None, Some(to), outcome, &bytes);
        let slot = &mut self.slots[to];
        match (&mut slot.host, outcome) {
            (Some(host), DatagramOutcome::Received) => host.receive_datagram(own, &bytes),
            (_, DatagramOutcome::Buffered) => slot.buffer.push_back(bytes),
            _ => self.lost += 1,
        }
        to
    }

    /// Takes what a host has to send and sends it.
    pub fn post(&mut self, from: Id) {
        self.touched.push(from);
        while let Some((at, bytes)) = self.slots[from].host.as_mut().and_then(Host::datagram) {
            self.sent += 1;
            self.sent_bytes += bytes.len() as u64;
            let named = self.by_address.get(&at).copied();
            let to = named.filter(|to| !self.cut.contains(&Link { from, to: *to }));
            let Some(to) = to.filter(|_| self.random.rand_float() >= self.faults.loss) else {
                self.lost += 1;
                let outcome = if to.is_some() {
                    DatagramOutcome::Lost
                } else {
                    DatagramOutcome::Partitioned
                };
                self.write(Some(from), named, outcome, &bytes);
                continue;
            };
            let copies = 1 + (self.random.rand_float() < self.faults.duplicate) as usize;
            self.write(Some(from), Some(to), DatagramOutcome::Sent(copies), &bytes);
            for _ in 0..copies {
                self.send_copy(from, to, bytes.clone());
            }
        }
    }

    fn send_copy(&mut self, from: Id, to: Id, bytes: Vec<u8>) {
        let (least, greatest) = match &self.delay {
            Some(delay) => delay(from, to),
            None => self.faults.delay,
        };
        let delay = self.random.rand_range(least..greatest.max(least) + 1);
        self.sequence += 1;
        let arrival = Arrival {
            at: self.now + delay,
            sequence: self.sequence,
        };
        self.in_transit.insert(arrival, Datagram { to, bytes });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Sends its own number to a partner each second and keeps what comes.
    struct Caller {
        to: SocketAddr,
        next: Nanos,
        out: VecDeque<(SocketAddr, Vec<u8>)>,
        came: Vec<(Nanos, u8)>,
        says: u8,
    }

    impl Host for Caller {
        fn receive_datagram(&mut self, now: Nanos, bytes: &[u8]) {
            self.came.push((now, bytes[0]));
        }
        fn wake(&mut self, now: Nanos) {
            while self.next <= now {
                self.out.push_back((self.to, vec![self.says]));
                self.next += 1_000_000_000;
            }
        }
        fn next_wake(&self) -> Option<Nanos> {
            Some(self.next)
        }
        fn datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
            self.out.pop_front()
        }
    }

    fn pair(faults: NetworkFaults) -> Net<Caller> {
        let mut net = Net::new(3, faults);
        for n in 0..2 {
            let to = Net::<Caller>::address(1 - n);
            let clock = Clock {
                began: 5_000_000_000 * n as Nanos,
                drift_ppm: 100_000 * n as i64,
            };
            net.join(clock, |now, _| Caller {
                to,
                next: now,
                out: VecDeque::new(),
                came: vec![],
                says: n as u8,
            });
        }
        net
    }

    #[test]
    fn faults_do_what_they_say_and_a_seed_plays_the_same_run() {
        let second = 1_000_000_000;
        let play = || {
            let mut net = pair(NetworkFaults {
                loss: 0.3,
                duplicate: 0.2,
                ..NetworkFaults::default()
            });
            net.run(100 * second, |_, _| {});
            [0, 1].map(|id| net.host(id).unwrap().came.clone())
        };
        assert_eq!(play(), play());
        let mut net = pair(NetworkFaults::default());
        net.run(100 * second, |_, _| {});
        let came = |net: &Net<Caller>, id: Id| net.host(id).unwrap().came.len();
        // The second one's clock runs a tenth fast; what was sent at the last moment is under way.
        assert_eq!((came(&net, 0), came(&net, 1)), (110, 100));
        net.cut(0, 1);
        net.run(110 * second, |_, _| {});
        assert_eq!((came(&net, 0), came(&net, 1)), (121, 101));
        net.heal();
        net.pause(1);
        net.run(120 * second, |_, _| {});
        assert_eq!((came(&net, 0), came(&net, 1)), (122, 101));
        net.unpause(1);
        // It hears at once what lay there, and says late what was due.
        net.run(121 * second, |_, _| {});
        assert_eq!((came(&net, 0), came(&net, 1)), (134, 111));
        net.kill(1);
        net.run(130 * second, |_, _| {});
        assert!(net.lost >= 9);
    }
}
