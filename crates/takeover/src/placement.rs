//! Chooses the backups of a request by rendezvous hashing, so that every sidecar with the same peers finds the same ones.

use crate::record::RequestId;
use havenplank_membership::wire::Life;

/// A peer that may be chosen as a backup.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    pub who: &'a Life,
    pub zone: &'a str,
}

/// The first `many` peers in this request's order: the first of each zone before the second of any.
pub fn pick(request: RequestId, fellows: &[Candidate<'_>], many: usize) -> Vec<Life> {
    let weight = |fellow: &Candidate<'_>| {
        let mut hash = blake3::Hasher::new();
        hash.update(&request.to_le_bytes())
            .update(fellow.who.name.as_bytes());
        *hash.finalize().as_bytes()
    };
    let mut ranked: Vec<([u8; 32], &Candidate<'_>)> =
        fellows.iter().map(|f| (weight(f), f)).collect();
    ranked.sort_by(|one, two| two.0.cmp(&one.0).then_with(|| one.1.who.cmp(two.1.who)));
    let mut picked: Vec<(usize, usize, &Life)> = Vec::new();
    for (rank, (_, fellow)) in ranked.iter().enumerate() {
        let before = ranked[..rank]
            .iter()
            .filter(|(_, other)| other.zone == fellow.zone)
            .count();
        picked.push((before, rank, fellow.who));
    }
    picked.sort();
    picked
        .into_iter()
        .take(many)
        .map(|(_, _, who)| who.clone())
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn zones_come_in_turn_and_a_loss_moves_only_what_it_held() {
        let lives: Vec<Life> = (0..30)
            .map(|n| Life {
                name: format!("s-{n}"),
                life: 1,
            })
            .collect();
        let fellows: Vec<Candidate<'_>> = lives
            .iter()
            .enumerate()
            .map(|(n, who)| Candidate {
                who,
                zone: ["a", "b", "c"][n % 3],
            })
            .collect();
        let zone = |who: &Life| {
            fellows
                .iter()
                .find(|f| f.who == who)
                .map(|f| f.zone)
                .unwrap()
        };
        let mut moved = 0;
        for request in 0..300 {
            let three = pick(request, &fellows, 3);
            let mut zones: Vec<&str> = three.iter().map(zone).collect();
            zones.sort();
            assert_eq!(zones, ["a", "b", "c"]);
            let without: Vec<Candidate<'_>> = fellows
                .iter()
                .filter(|f| f.who.name != "s-4")
                .copied()
                .collect();
            let remaining = pick(request, &without, 3);
            if three.contains(&lives[4]) {
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
            "{moved} of 300 requests were guarded by one of thirty"
        );
        assert_eq!(pick(1, &fellows[..2], 3).len(), 2);
    }
}
