//! Who guards a piece of work: by rendezvous, so that whoever knows the fellows finds the same ones from the mark.

use crate::record::Mark;
use havenplank_fellows::wire::Life;

/// A fellow that may guard.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    pub who: &'a Life,
    pub zone: &'a str,
}

/// So many fellows in the order in which they guard this mark: the first of each zone before the second of any.
pub fn pick(mark: Mark, fellows: &[Candidate<'_>], many: usize) -> Vec<Life> {
    let weight = |fellow: &Candidate<'_>| {
        let mut hash = blake3::Hasher::new();
        hash.update(&mark.to_le_bytes()).update(fellow.who.name.as_bytes());
        *hash.finalize().as_bytes()
    };
    let mut ranked: Vec<([u8; 32], &Candidate<'_>)> = fellows.iter().map(|f| (weight(f), f)).collect();
    ranked.sort_by(|one, two| two.0.cmp(&one.0).then_with(|| one.1.who.cmp(two.1.who)));
    let mut picked: Vec<(usize, usize, &Life)> = Vec::new();
    for (rank, (_, fellow)) in ranked.iter().enumerate() {
        let before = ranked[..rank].iter().filter(|(_, other)| other.zone == fellow.zone).count();
        picked.push((before, rank, fellow.who));
    }
    picked.sort();
    picked.into_iter().take(many).map(|(_, _, who)| who.clone()).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn zones_come_in_turn_and_a_loss_moves_only_what_it_held() {
        let lives: Vec<Life> = (0..30).map(|n| Life { name: format!("s-{n}"), life: 1 }).collect();
        let fellows: Vec<Candidate<'_>> = lives
            .iter()
            .enumerate()
            .map(|(n, who)| Candidate { who, zone: ["a", "b", "c"][n % 3] })
            .collect();
        let zone = |who: &Life| fellows.iter().find(|f| f.who == who).map(|f| f.zone).unwrap();
        let mut moved = 0;
        for mark in 0..300 {
            let three = pick(mark, &fellows, 3);
            let mut zones: Vec<&str> = three.iter().map(zone).collect();
            zones.sort();
            assert_eq!(zones, ["a", "b", "c"]);
            let without: Vec<Candidate<'_>> =
                fellows.iter().filter(|f| f.who.name != "s-4").copied().collect();
            let left = pick(mark, &without, 3);
            if three.contains(&lives[4]) {
                moved += 1;
                assert_eq!(left.iter().filter(|who| three.contains(who)).count(), 2);
            } else {
                assert_eq!(left, three);
            }
        }
        assert!((10..=55).contains(&moved), "{moved} of 300 marks were guarded by one of thirty");
        assert_eq!(pick(1, &fellows[..2], 3).len(), 2);
    }
}
