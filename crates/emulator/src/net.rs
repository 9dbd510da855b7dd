//! A simulated datagram network between state machines: loss, delay, duplicates, partitions, pauses, clock drift,
//! restarts.
//!
//! Nothing here sleeps or opens a socket: time is a number, randomness comes from a seed, and the same seed gives
//! the same run. The state machines are the very ones that run over sockets elsewhere.

use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Nanoseconds since the start of the run, or on a part's own clock.
pub type Nanos = u64;
/// A part's index, in the order of joining.
pub type Id = usize;

/// Datagrams that wait at a paused part, at most; more are dropped, as by a socket's buffer.
const MAX_BUFFERED: usize = 512;

/// A state machine with its codec. Times are on its own clock.
pub trait Part {
    /// Receives a datagram.
    fn heard(&mut self, now: Nanos, bytes: &[u8]);
    /// Runs the timers that are due.
    fn wake(&mut self, now: Nanos);
    /// When the next timer is due.
    fn next_wake(&self) -> Option<Nanos>;
    /// Takes the next datagram to send, with its destination.
    fn datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)>;
}

/// Faults of the network.
#[derive(Clone, Debug)]
pub struct Weather {
    /// Share of datagrams lost, from 0 to 1.
    pub loss: f64,
    /// Share of datagrams that arrive twice, from 0 to 1.
    pub repeat: f64,
    /// Least and greatest delay of a datagram.
    pub delay: (Nanos, Nanos),
}

impl Default for Weather {
    fn default() -> Weather {
        Weather {
            loss: 0.0,
            repeat: 0.0,
            delay: (100_000, 400_000),
        }
    }
}

/// A part's own clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    /// What it showed at the start of the run.
    pub began: Nanos,
    /// By how many parts per million it runs fast.
    pub drift_ppm: i64,
}

impl Clock {
    /// What the clock shows at a time of the run.
    fn own(&self, time: Nanos) -> Nanos {
        self.began + (time as i128 * (1_000_000 + self.drift_ppm as i128) / 1_000_000) as Nanos
    }

    /// The first moment at which the part's clock shows at least this.
    fn when(&self, own: Nanos) -> Nanos {
        let rate = 1_000_000 + self.drift_ppm as i128;
        let ran = own.saturating_sub(self.began) as i128;
        ((ran * 1_000_000 + rate - 1) / rate) as Nanos
    }
}

/// What became of a datagram, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Stopped by a partition, or no part has that address.
    Cut,
    /// Lost by the network.
    Lost,
    /// Sent; holds the number of copies.
    Goes(usize),
    /// Received by a part that runs.
    VoteReceipt,
    /// Buffered, as its receiver is paused.
    Waits,
    /// Dropped, as its receiver is dead or paused with a full buffer.
    Dropped,
}

/// An entry of [`Net::written`].
#[derive(Clone, Debug)]
pub struct Passed {
    /// When it happened.
    pub at: Nanos,
    /// The sender; none on arrival, as a datagram in transit does not name it.
    pub from: Option<Id>,
    /// The receiver, if a part has that address.
    pub to: Option<Id>,
    /// What became of the datagram.
    pub fate: Fate,
    /// The datagram.
    pub bytes: Vec<u8>,
}

/// Least and greatest delay of a datagram from the first part to the second.
pub type Delay = Box<dyn Fn(Id, Id) -> (Nanos, Nanos)>;

/// A part with its address and clock, dead or alive.
struct Place<P> {
    part: Option<P>,
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

/// The way from one part to another.
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

/// The simulated network with its parts.
pub struct Net<P> {
    now: Nanos,
    places: Vec<Place<P>>,
    by_address: BTreeMap<SocketAddr, Id>,
    /// Datagrams in transit, by arrival. Bounded by what the parts send within the greatest delay.
    in_transit: BTreeMap<Arrival, Datagram>,
    /// Copies sent so far.
    sequence: u64,
    /// When each part that is not paused wakes next; those in `touched` are updated before the next step.
    wakes: BTreeSet<(Nanos, Id)>,
    touched: Vec<Id>,
    /// Faults that apply to all datagrams.
    pub weather: Weather,
    /// Takes precedence over the delay in `weather`, as zones and regions lie apart.
    pub delay: Option<Delay>,
    /// One-way partitions.
    cut: BTreeSet<Link>,
    random: Rand64,
    /// Datagrams that parts sent.
    pub carried: u64,
    /// Bytes that parts sent.
    pub carried_bytes: u64,
    /// Datagrams that did not reach their receiver.
    pub lost: u64,
    /// What became of each datagram, if set; whoever sets it empties it.
    pub written: Option<Vec<Passed>>,
}

impl<P: Part> Net<P> {
    /// A network without parts.
    pub fn new(seed: u64, weather: Weather) -> Net<P> {
        Net {
            now: 0,
            places: Vec::new(),
            by_address: BTreeMap::new(),
            in_transit: BTreeMap::new(),
            sequence: 0,
            wakes: BTreeSet::new(),
            touched: Vec::new(),
            weather,
            delay: None,
            cut: BTreeSet::new(),
            random: Rand64::new(seed as u128),
            carried: 0,
            carried_bytes: 0,
            lost: 0,
            written: None,
        }
    }

    fn write(&mut self, from: Option<Id>, to: Option<Id>, fate: Fate, bytes: &[u8]) {
        if let Some(written) = &mut self.written {
            written.push(Passed {
                at: self.now,
                from,
                to,
                fate,
                bytes: bytes.to_vec(),
            });
        }
    }

    /// The address of the nth part, for whoever must name it before it joins.
    pub fn address(id: Id) -> SocketAddr {
        SocketAddr::from(([10, (id >> 16) as u8, (id >> 8) as u8, id as u8], 7_000))
    }

    /// The time of the run.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// What a part's clock shows.
    pub fn own_time(&self, id: Id) -> Nanos {
        self.places[id].clock.own(self.now)
    }

    /// Adds a part; `make` gets its own time and its address.
    pub fn join(&mut self, clock: Clock, make: impl FnOnce(Nanos, SocketAddr) -> P) -> Id {
        let (id, at) = (self.places.len(), Self::address(self.places.len()));
        let part = Some(make(clock.own(self.now), at));
        let buffer = VecDeque::new();
        self.places.push(Place {
            part,
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

    /// A part, unless it is dead.
    pub fn part(&self, id: Id) -> Option<&P> {
        self.places[id].part.as_ref()
    }

    /// A part, unless it is dead; its timers are read anew before the next step.
    pub fn part_mut(&mut self, id: Id) -> Option<&mut P> {
        self.touched.push(id);
        self.places[id].part.as_mut()
    }

    /// All parts, dead ones too.
    pub fn ids(&self) -> impl Iterator<Item = Id> + use<P> {
        0..self.places.len()
    }

    /// Kills a part, with what was buffered for it.
    pub fn kill(&mut self, id: Id) {
        self.places[id].part = None;
        self.places[id].buffer.clear();
        self.touched.push(id);
    }

    /// Starts a part anew at its address.
    pub fn restart(&mut self, id: Id, make: impl FnOnce(Nanos, SocketAddr) -> P) {
        let own = self.own_time(id);
        let place = &mut self.places[id];
        place.part = Some(make(own, place.at));
        place.paused = false;
        self.touched.push(id);
    }

    /// Pauses a part; datagrams that arrive meanwhile are buffered up to a bound.
    pub fn pause(&mut self, id: Id) {
        self.places[id].paused = true;
        self.touched.push(id);
    }

    /// Runs a paused part again, with what was buffered.
    pub fn unpause(&mut self, id: Id) {
        self.places[id].paused = false;
        let own = self.own_time(id);
        // As a loop does on waking: timers first, then what lies in the socket.
        if let Some(part) = &mut self.places[id].part {
            part.wake(own);
        }
        while let Some(bytes) = self.places[id].buffer.pop_front() {
            if let Some(part) = &mut self.places[id].part {
                part.heard(own, &bytes);
            }
        }
        self.post(id);
    }

    /// Partitions one way: nothing from the first reaches the second.
    pub fn cut(&mut self, from: Id, to: Id) {
        self.cut.insert(Link { from, to });
    }

    /// Partitions both ways between the groups; parts in no group reach all.
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

    /// Runs to a time. `look` is called after each step with the part that moved.
    pub fn run(&mut self, until: Nanos, mut look: impl FnMut(&mut Net<P>, Id)) {
        while let Some((time, next)) = self.next().filter(|(time, _)| *time <= until) {
            self.now = self.now.max(time);
            let moved = match next {
                Some(id) => {
                    let own = self.own_time(id);
                    if let Some(part) = &mut self.places[id].part {
                        part.wake(own);
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

    /// What comes next: a part's wake, or a datagram (no part) where that is due no later.
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

    /// Enters when the part wakes next, in place of what stood there.
    fn enter_wake(&mut self, id: Id) {
        let place = &mut self.places[id];
        let part = place.part.as_ref().filter(|_| !place.paused);
        let due = part
            .and_then(Part::next_wake)
            .map(|own| place.clock.when(own).max(self.now));
        if let Some(before) = std::mem::replace(&mut place.wakes_at, due) {
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
        let fate = match &self.places[to] {
            Place {
                part: Some(_),
                paused: false,
                ..
            } => Fate::VoteReceipt,
            Place {
                part: Some(_),
                buffer,
                ..
            } if buffer.len() < MAX_BUFFERED => Fate::Waits,
            _ => Fate::Dropped,
        };
        self.write(None, Some(to), fate, &bytes);
        let place = &mut self.places[to];
        match (&mut place.part, fate) {
            (Some(part), Fate::VoteReceipt) => part.heard(own, &bytes),
            (_, Fate::Waits) => place.buffer.push_back(bytes),
            _ => self.lost += 1,
        }
        to
    }

    /// Takes what a part has to send and sends it.
    pub fn post(&mut self, from: Id) {
        self.touched.push(from);
        while let Some((at, bytes)) = self.places[from].part.as_mut().and_then(Part::datagram) {
            self.carried += 1;
            self.carried_bytes += bytes.len() as u64;
            let named = self.by_address.get(&at).copied();
            let to = named.filter(|to| !self.cut.contains(&Link { from, to: *to }));
            let Some(to) = to.filter(|_| self.random.rand_float() >= self.weather.loss) else {
                self.lost += 1;
                let fate = if to.is_some() { Fate::Lost } else { Fate::Cut };
                self.write(Some(from), named, fate, &bytes);
                continue;
            };
            let copies = 1 + (self.random.rand_float() < self.weather.repeat) as usize;
            self.write(Some(from), Some(to), Fate::Goes(copies), &bytes);
            for _ in 0..copies {
                self.send_copy(from, to, bytes.clone());
            }
        }
    }

    fn send_copy(&mut self, from: Id, to: Id, bytes: Vec<u8>) {
        let (least, greatest) = match &self.delay {
            Some(delay) => delay(from, to),
            None => self.weather.delay,
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

    impl Part for Caller {
        fn heard(&mut self, now: Nanos, bytes: &[u8]) {
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

    fn pair(weather: Weather) -> Net<Caller> {
        let mut net = Net::new(3, weather);
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
            let mut net = pair(Weather {
                loss: 0.3,
                repeat: 0.2,
                ..Weather::default()
            });
            net.run(100 * second, |_, _| {});
            [0, 1].map(|id| net.part(id).unwrap().came.clone())
        };
        assert_eq!(play(), play());
        let mut net = pair(Weather::default());
        net.run(100 * second, |_, _| {});
        let came = |net: &Net<Caller>, id: Id| net.part(id).unwrap().came.len();
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
