//! Tests of `src/seats.rs`.

use super::*;

const MS: Duration = Duration::from_millis(1);

#[test]
fn silent_ones_go_first_newcomers_late_and_the_served_never() {
    let start = Instant::now();
    let now = start + 1000 * MS;
    let seat = |at: u32, asked, serving, half: bool| {
        let since = start + at * MS;
        Seat { connected: since, since, began: half.then_some(since), serving, write_by: None, asked }
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
    assert_eq!(seat.closes(None), Some(start + 2000 * MS));
    // Its first hit, however late it begins, is dealt with well within 3 s.
    seat.began = Some(start + 1900 * MS);
    assert_eq!(seat.closes(None), Some(start + 2500 * MS));
    seat.asked = true;
    assert_eq!(seat.closes(None), Some(start + 3900 * MS));
    seat.serving = true;
    assert_eq!(seat.closes(None), None);
}
