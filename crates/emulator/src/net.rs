//! A simulated datagram network between state machines: loss, delay, duplicates, partitions, pauses, clock drift,
//! restarts.
//!
//! Nothing here sleeps or opens a socket: time is a number, randomness comes from a seed, and the same seed gives
//! the same run. The state machines are the same ones that run over sockets in production.

use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Nanoseconds since the start of the run, or on the clock of one host.
pub type Nanos = u64;
/// The index of a host, in the order of joining.
pub type Id = usize;

/// Maximum number of datagrams that are buffered for a paused host; further ones are dropped, as by a full socket
/// buffer.
const MAX_BUFFERED: usize = 512;

/// A state machine with its codec, as the network runs it. All times are on the clock of its host.
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
    /// Smallest and largest delay of a datagram, in nanoseconds.
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

/// The clock of a host.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    /// Its reading at the start of the run.
    pub began: Nanos,
    /// How fast it runs, in parts per million; negative where it is slow.
    pub drift_ppm: i64,
}

impl Clock {
    /// The clock's reading at a time of the run.
    fn reading_at(&self, time: Nanos) -> Nanos {
        self.began + (time as i128 * (1_000_000 + self.drift_ppm as i128) / 1_000_000) as Nanos
    }

    /// The first time of the run at which the clock reads at least this.
    fn time_of(&self, reading: Nanos) -> Nanos {
        let rate = 1_000_000 + self.drift_ppm as i128;
        let elapsed = reading.saturating_sub(self.began) as i128;
        ((elapsed * 1_000_000 + rate - 1) / rate) as Nanos
    }
}

/// How one step in the delivery of a datagram ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramOutcome {
    /// Stopped by a partition, or no host has that address.
    Partitioned,
    /// Lost by the network.
    Lost,
    /// Sent; holds the number of copies.
    Sent(usize),
    /// Received by a running host.
    Received,
    /// Buffered, as its receiver is paused.
    Buffered,
    /// Dropped, as its receiver is dead or paused with a full buffer.
    Dropped,
}

/// An entry of [`Net::datagram_log`].
#[derive(Clone, Debug)]
pub struct DatagramEvent {
    /// When it happened, as a time of the run.
    pub at: Nanos,
    /// The sender; none on arrival, as a datagram in transit does not name it.
    pub from: Option<Id>,
    /// The receiver, if a host has that address.
    pub to: Option<Id>,
    /// How the step ended.
    pub outcome: DatagramOutcome,
    /// The datagram.
    pub bytes: Vec<u8>,
}

/// Smallest and largest delay of a datagram from the first host to the second, in nanoseconds.
pub type Delay = Box<dyn Fn(Id, Id) -> (Nanos, Nanos)>;

/// A host's address, clock and buffer, whether it runs or not.
struct Slot<P> {
    host: Option<P>,
    address: SocketAddr,
    clock: Clock,
    paused: bool,
    buffer: VecDeque<Vec<u8>>,
    /// The time of its entry in [`Net::wakes`].
    wakes_at: Option<Nanos>,
}

/// When a datagram arrives; datagrams with the same time arrive in the order of sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Arrival {
    at: Nanos,
    sequence: u64,
}

/// A direction between two hosts.
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
    /// Datagrams in transit, by arrival. Bounded by what the hosts send within the largest delay.
    in_transit: BTreeMap<Arrival, Datagram>,
    /// Copies sent so far.
    sequence: u64,
    /// When the next timer of each host that is not paused is due; entries of `touched` hosts are updated before the
    /// next step.
    wakes: BTreeSet<(Nanos, Id)>,
    touched: Vec<Id>,
    /// Faults that apply to all datagrams.
    pub faults: NetworkFaults,
    /// Takes precedence over the delay in `faults`, so that delays can depend on zones and regions.
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
    /// Records the delivery of each datagram, if set. The caller that sets it must also empty it.
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

    fn record(&mut self, from: Option<Id>, to: Option<Id>, outcome: DatagramOutcome, bytes: &[u8]) {
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

    /// The address of the host with this index, also before it joins.
    pub fn address(id: Id) -> SocketAddr {
        SocketAddr::from(([10, (id >> 16) as u8, (id >> 8) as u8, id as u8], 7_000))
    }

    /// The time of the run.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// The reading of a host's clock.
    pub fn own_time(&self, id: Id) -> Nanos {
        self.slots[id].clock.reading_at(self.now)
    }

    /// Adds a host; `make` gets the reading of its clock and its address.
    pub fn join(&mut self, clock: Clock, make: impl FnOnce(Nanos, SocketAddr) -> P) -> Id {
        let (id, address) = (self.slots.len(), Self::address(self.slots.len()));
        let host = Some(make(clock.reading_at(self.now), address));
        let buffer = VecDeque::new();
        self.slots.push(Slot {
            host,
            address,
            clock,
            paused: false,
            buffer,
            wakes_at: None,
        });
        self.by_address.insert(address, id);
        self.touched.push(id);
        id
    }

    /// A host, unless it is dead.
    pub fn host(&self, id: Id) -> Option<&P> {
        self.slots[id].host.as_ref()
    }

    /// A host, unless it is dead. The caller may change its next timer, whose time is read again before the next step.
    pub fn host_mut(&mut self, id: Id) -> Option<&mut P> {
        self.touched.push(id);
        self.slots[id].host.as_mut()
    }

    /// All hosts, including dead ones.
    pub fn ids(&self) -> impl Iterator<Item = Id> + use<P> {
        0..self.slots.len()
    }

    /// Kills a host and drops what was buffered for it.
    pub fn kill(&mut self, id: Id) {
        self.slots[id].host = None;
        self.slots[id].buffer.clear();
        self.touched.push(id);
    }

    /// Restarts a host at its address.
    pub fn restart(&mut self, id: Id, make: impl FnOnce(Nanos, SocketAddr) -> P) {
        let own = self.own_time(id);
        let slot = &mut self.slots[id];
        slot.host = Some(make(own, slot.address));
        slot.paused = false;
        self.touched.push(id);
    }

    /// Pauses a host; datagrams that arrive meanwhile are buffered up to a bound.
    pub fn pause(&mut self, id: Id) {
        self.slots[id].paused = true;
        self.touched.push(id);
    }

    /// Resumes a paused host and delivers what was buffered.
    pub fn unpause(&mut self, id: Id) {
        self.slots[id].paused = false;
        let own = self.own_time(id);
        // As an event loop does when it resumes: timers first, then the datagrams in the socket buffer.
        if let Some(host) = &mut self.slots[id].host {
            host.wake(own);
        }
        while let Some(bytes) = self.slots[id].buffer.pop_front() {
            if let Some(host) = &mut self.slots[id].host {
                host.receive_datagram(own, &bytes);
            }
        }
        self.send_ready(id);
    }

    /// Partitions one direction: nothing from the first host reaches the second.
    pub fn cut(&mut self, from: Id, to: Id) {
        self.cut.insert(Link { from, to });
    }

    /// Partitions both directions between the groups; hosts in no group reach all others.
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

    /// Runs until a time. `observe` is called after each step with the host that ran.
    pub fn run(&mut self, until: Nanos, mut observe: impl FnMut(&mut Net<P>, Id)) {
        while let Some((time, next)) = self.next().filter(|(time, _)| *time <= until) {
            self.now = self.now.max(time);
            let id = match next {
                Some(id) => {
                    let own = self.own_time(id);
                    if let Some(host) = &mut self.slots[id].host {
                        host.wake(own);
                    }
                    id
                }
                None => self.arrive(),
            };
            self.send_ready(id);
            observe(self, id);
        }
        self.now = self.now.max(until);
    }

    /// The next step: a host's timer, or the arrival of a datagram (`None`) if that is due no later.
    fn next(&mut self) -> Option<(Nanos, Option<Id>)> {
        while let Some(id) = self.touched.pop() {
            self.schedule_wake(id);
        }
        let wake = self.wakes.first().map(|(time, id)| (*time, Some(*id)));
        let arrival = self.in_transit.keys().next().map(|next| (next.at, None));
        match (wake, arrival) {
            (Some(wake), Some(arrival)) if arrival.0 <= wake.0 => Some(arrival),
            (wake, arrival) => wake.or(arrival),
        }
    }

    /// Replaces the entry for the host's next timer.
    fn schedule_wake(&mut self, id: Id) {
        let slot = &mut self.slots[id];
        let host = slot.host.as_ref().filter(|_| !slot.paused);
        let due = host
            .and_then(Host::next_wake)
            .map(|reading| slot.clock.time_of(reading).max(self.now));
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
        self.record(None, Some(to), outcome, &bytes);
        let slot = &mut self.slots[to];
        match (&mut slot.host, outcome) {
            (Some(host), DatagramOutcome::Received) => host.receive_datagram(own, &bytes),
            (_, DatagramOutcome::Buffered) => slot.buffer.push_back(bytes),
            _ => self.lost += 1,
        }
        to
    }

    /// Sends all datagrams that a host has ready.
    pub fn send_ready(&mut self, from: Id) {
        self.touched.push(from);
        while let Some((at, bytes)) = self.slots[from].host.as_mut().and_then(Host::datagram) {
            self.sent += 1;
            self.sent_bytes += bytes.len() as u64;
            let destination = self.by_address.get(&at).copied();
            let to = destination.filter(|to| !self.cut.contains(&Link { from, to: *to }));
            let Some(to) = to.filter(|_| self.random.rand_float() >= self.faults.loss) else {
                self.lost += 1;
                let outcome = if to.is_some() {
                    DatagramOutcome::Lost
                } else {
                    DatagramOutcome::Partitioned
                };
                self.record(Some(from), destination, outcome, &bytes);
                continue;
            };
            let copies = 1 + (self.random.rand_float() < self.faults.duplicate) as usize;
            self.record(Some(from), Some(to), DatagramOutcome::Sent(copies), &bytes);
            for _ in 0..copies {
                self.send_copy(from, to, bytes.clone());
            }
        }
    }

    fn send_copy(&mut self, from: Id, to: Id, bytes: Vec<u8>) {
        let (min, max) = match &self.delay {
            Some(delay) => delay(from, to),
            None => self.faults.delay,
        };
        let delay = self.random.rand_range(min..max.max(min) + 1);
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

    /// Sends its own number to a peer each second and keeps what it receives.
    struct PeriodicSender {
        to: SocketAddr,
        next: Nanos,
        out: VecDeque<(SocketAddr, Vec<u8>)>,
        received: Vec<(Nanos, u8)>,
        number: u8,
    }

    impl Host for PeriodicSender {
        fn receive_datagram(&mut self, now: Nanos, bytes: &[u8]) {
            self.received.push((now, bytes[0]));
        }
        fn wake(&mut self, now: Nanos) {
            while self.next <= now {
                self.out.push_back((self.to, vec![self.number]));
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

    fn pair(faults: NetworkFaults) -> Net<PeriodicSender> {
        let mut net = Net::new(3, faults);
        for n in 0..2 {
            let to = Net::<PeriodicSender>::address(1 - n);
            let clock = Clock {
                began: 5_000_000_000 * n as Nanos,
                drift_ppm: 100_000 * n as i64,
            };
            net.join(clock, |now, _| PeriodicSender {
                to,
                next: now,
                out: VecDeque::new(),
                received: vec![],
                number: n as u8,
            });
        }
        net
    }

    #[test]
    fn faults_affect_delivery_and_a_seed_repeats_the_same_run() {
        let second = 1_000_000_000;
        let run = || {
            let mut net = pair(NetworkFaults {
                loss: 0.3,
                duplicate: 0.2,
                ..NetworkFaults::default()
            });
            net.run(100 * second, |_, _| {});
            [0, 1].map(|id| net.host(id).unwrap().received.clone())
        };
        assert_eq!(run(), run());
        let mut net = pair(NetworkFaults::default());
        net.run(100 * second, |_, _| {});
        let received_count =
            |net: &Net<PeriodicSender>, id: Id| net.host(id).unwrap().received.len();
        // The clock of the second host runs a tenth fast; datagrams sent at the last moment are in transit.
        assert_eq!(
            (received_count(&net, 0), received_count(&net, 1)),
            (110, 100)
        );
        net.cut(0, 1);
        net.run(110 * second, |_, _| {});
        assert_eq!(
            (received_count(&net, 0), received_count(&net, 1)),
            (121, 101)
        );
        net.heal();
        net.pause(1);
        net.run(120 * second, |_, _| {});
        assert_eq!(
            (received_count(&net, 0), received_count(&net, 1)),
            (122, 101)
        );
        net.unpause(1);
        // The host receives the buffered datagrams at once, and sends the overdue ones late.
        net.run(121 * second, |_, _| {});
        assert_eq!(
            (received_count(&net, 0), received_count(&net, 1)),
            (134, 111)
        );
        net.kill(1);
        net.run(130 * second, |_, _| {});
        assert!(net.lost >= 9);
    }
}
