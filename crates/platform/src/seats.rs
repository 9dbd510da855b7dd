//! Which clients' connections are kept and which give their place up; how descriptors are shared out.
//!
//! Free of I/O; time is handed in. A door that is full must still take those who ask, whoever holds the places.

use std::time::{Duration, Instant};

/// Descriptors for what is neither a client's connection nor a pod's: log, runtime, listener, node list and
/// release desk with their successors, and those that close just now.
const OTHERS: usize = 28;
/// Parts in a hundred of the rest that clients' connections may take.
const CLIENTS: usize = 45;
/// The protocol wants a bad client dealt with within 3 s of connecting.
const FIRST_HIT: Duration = Duration::from_millis(2500);
/// So long a connection that asked nothing yet counts as one that is about to.
const NEW: Duration = Duration::from_millis(200);
/// From a hit's first byte to its last.
const READING: Duration = Duration::from_secs(2);
/// The protocol lets a connection with no hit on it close after 2 s.
const IDLE: Duration = Duration::from_secs(2);

/// How many connections there may be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shares {
    pub clients: usize,
    /// Clients' connections that asked, from which on those idle the longest go. All clients together hold no
    /// more than a third of our descriptors for hits, and where those that ask once and stay hold them all the
    /// others cannot come: so four fifths of that third.
    pub asked: usize,
    pub pods: usize,
}

impl Shares {
    pub fn of(sockets: usize) -> Shares {
        let places = sockets.saturating_sub(OTHERS);
        let clients = places * CLIENTS / 100;
        Shares { clients, asked: sockets * 4 / 15, pods: places - clients }
    }
}

/// A client's connection as it stands.
#[derive(Clone, Copy, Debug)]
pub struct Seat {
    pub connected: Instant,
    /// Since when no hit is on it.
    pub since: Instant,
    /// When the first byte came of a hit that is not read yet.
    pub began: Option<Instant>,
    pub serving: bool,
    /// Some hit of it was read whole.
    pub asked: bool,
}

impl Seat {
    pub fn new(now: Instant) -> Seat {
        Seat { connected: now, since: now, began: None, serving: false, asked: false }
    }

    /// By when a hit that began then must be read whole.
    pub fn read_by(&self, began: Instant) -> Instant {
        let patience = began + READING;
        if self.asked {
            patience
        } else {
            patience.min(self.connected + FIRST_HIT)
        }
    }

    /// When it closes if nothing more is heard; none while a hit is served.
    pub fn closes(&self) -> Option<Instant> {
        match self.began {
            _ if self.serving => None,
            Some(began) => Some(self.read_by(began)),
            None if self.asked => Some(self.since + IDLE),
            None => Some((self.since + IDLE).min(self.connected + FIRST_HIT)),
        }
    }

    fn is_idle(&self) -> bool {
        !self.serving && self.began.is_none()
    }
}

/// The one idle the longest, where those that asked are too many.
pub fn longest_idle(seats: &[(u64, Seat)], shares: Shares) -> Option<u64> {
    let asked = || seats.iter().filter(|(_, seat)| seat.asked);
    let many = asked().count() >= shares.asked;
    let idle = asked().filter(|(_, seat)| many && seat.is_idle());
    idle.min_by_key(|(_, seat)| seat.since).map(|(id, _)| *id)
}

/// Who makes room at a full door, if anyone can: of those that were silent from the start the oldest, else the
/// one idle the longest since its answer. One that came just now is about to ask, and one in the middle of its
/// next hit has begun to: they come last, and one whose hit is served never.
pub fn turned_out(seats: &[(u64, Seat)], now: Instant) -> Option<u64> {
    let class = |seat: &Seat| match (seat.asked, seat.began.is_some()) {
        (false, _) if now.saturating_duration_since(seat.connected) >= NEW => 0,
        (true, false) => 1,
        (false, _) => 2,
        (true, true) => 3,
    };
    let free = seats.iter().filter(|(_, seat)| !seat.serving);
    free.min_by_key(|(_, seat)| (class(seat), seat.since)).map(|(id, _)| *id)
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    #[test]
    fn silent_ones_go_first_newcomers_late_and_the_served_never() {
        let start = Instant::now();
        let now = start + 1000 * MS;
        let seat = |at: u32, asked, serving, half: bool| {
            let since = start + at * MS;
            Seat { connected: since, since, began: half.then_some(since), serving, asked }
        };
        let mut seats = vec![
            (1, seat(990, false, false, false)),
            (2, seat(600, true, false, false)),
            (3, seat(0, true, true, false)),
            (4, seat(700, false, false, true)),
            (5, seat(500, false, false, false)),
            (6, seat(100, true, false, true)),
            (7, seat(400, true, false, false)),
        ];
        for wanted in [5, 4, 7, 2, 1, 6] {
            assert_eq!(turned_out(&seats, now), Some(wanted));
            seats.retain(|(id, _)| *id != wanted);
        }
        assert_eq!(turned_out(&seats, now), None);
    }

    #[test]
    fn those_that_stay_thin_out_before_they_hold_the_clients_third() {
        let start = Instant::now();
        let shares = Shares::of(384);
        assert_eq!(shares, Shares { clients: 160, asked: 102, pods: 196 });
        let asked = |n: u32| Seat { since: start + n * MS, asked: true, ..Seat::new(start) };
        let mut seats: Vec<(u64, Seat)> = (0..101).map(|n| (n as u64, asked(n))).collect();
        seats.push((200, Seat::new(start)));
        assert_eq!(longest_idle(&seats, shares), None);
        seats.push((300, asked(300)));
        seats[0].1.serving = true;
        assert_eq!(longest_idle(&seats, shares), Some(1));
    }

    #[test]
    fn times_by_which_a_connection_closes() {
        let start = Instant::now();
        let mut seat = Seat::new(start);
        assert_eq!(seat.closes(), Some(start + 2000 * MS));
        // Its first hit, however late it begins, is dealt with well within 3 s.
        seat.began = Some(start + 1900 * MS);
        assert_eq!(seat.closes(), Some(start + 2500 * MS));
        seat.asked = true;
        assert_eq!(seat.closes(), Some(start + 3900 * MS));
        seat.serving = true;
        assert_eq!(seat.closes(), None);
    }
}
