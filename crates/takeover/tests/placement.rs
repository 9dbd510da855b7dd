//! Tests that backups are spread over zones, and that the loss of a peer changes the backups of few requests.

use havenplank_membership::member::MemberId;
use havenplank_takeover::placement::{choose_backups, Candidate};

#[test]
fn backups_are_spread_over_zones_and_a_lost_peer_changes_only_the_requests_it_backs_up() {
    let ids: Vec<MemberId> = (0..30)
        .map(|n| MemberId {
            name: format!("s-{n}"),
            incarnation: 1,
        })
        .collect();
    let candidates: Vec<Candidate<'_>> = ids
        .iter()
        .enumerate()
        .map(|(n, member_id)| Candidate {
            id: member_id,
            zone: ["a", "b", "c"][n % 3],
        })
        .collect();
    let zone = |member_id: &MemberId| {
        candidates
            .iter()
            .find(|candidate| candidate.id == member_id)
            .map(|candidate| candidate.zone)
            .unwrap()
    };
    let mut changed = 0;
    for request in 0..300 {
        let backups = choose_backups(request, &candidates, 3);
        let mut zones: Vec<&str> = backups.iter().map(zone).collect();
        zones.sort();
        assert_eq!(zones, ["a", "b", "c"]);
        let without_lost_peer: Vec<Candidate<'_>> = candidates
            .iter()
            .filter(|candidate| candidate.id.name != "s-4")
            .copied()
            .collect();
        let new_backups = choose_backups(request, &without_lost_peer, 3);
        if backups.contains(&ids[4]) {
            changed += 1;
            assert_eq!(
                new_backups
                    .iter()
                    .filter(|member_id| backups.contains(member_id))
                    .count(),
                2
            );
        } else {
            assert_eq!(new_backups, backups);
        }
    }
    assert!(
        (10..=55).contains(&changed),
        "{changed} of 300 requests had the lost peer, 1 of 30, as a backup; expected 10 to 55"
    );
    assert_eq!(choose_backups(1, &candidates[..2], 3).len(), 2);
}
