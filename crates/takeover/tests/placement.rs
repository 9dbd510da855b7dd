//! Whether backups are spread over zones, and how few requests a lost peer moves.

use havenplank_membership::member::MemberId;
use havenplank_takeover::placement::{choose_backups, Candidate};

#[test]
fn backups_alternate_over_zones_and_a_lost_peer_moves_only_its_own_requests() {
    let ids: Vec<MemberId> = (0..30)
        .map(|n| MemberId {
            name: format!("s-{n}"),
            incarnation: 1,
        })
        .collect();
    let candidates: Vec<Candidate<'_>> = ids
        .iter()
        .enumerate()
        .map(|(n, who)| Candidate {
            id: who,
            zone: ["a", "b", "c"][n % 3],
        })
        .collect();
    let zone = |who: &MemberId| {
        candidates
            .iter()
            .find(|f| f.id == who)
            .map(|f| f.zone)
            .unwrap()
    };
    let mut moved = 0;
    for request in 0..300 {
        let three = choose_backups(request, &candidates, 3);
        let mut zones: Vec<&str> = three.iter().map(zone).collect();
        zones.sort();
        assert_eq!(zones, ["a", "b", "c"]);
        let without: Vec<Candidate<'_>> = candidates
            .iter()
            .filter(|f| f.id.name != "s-4")
            .copied()
            .collect();
        let remaining = choose_backups(request, &without, 3);
        if three.contains(&ids[4]) {
            moved += 1;
            assert_eq!(
                remaining.iter().filter(|who| three.contains(who)).count(),
                2
            );
        } else {
            assert_eq!(remaining, three);
        }
    }
    assert!(
        (10..=55).contains(&moved),
        "{moved} of 300 requests were backed up by one of thirty"
    );
    assert_eq!(choose_backups(1, &candidates[..2], 3).len(), 2);
}
