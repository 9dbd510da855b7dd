//! Chooses the backups of a request by rendezvous hashing, so that every sidecar with the same peers finds the same ones.

use crate::record::RequestId;
use havenplank_membership::member::MemberId;
use std::collections::HashMap;

/// A peer that may be chosen as a backup.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The peer.
    pub id: &'a MemberId,
    /// The zone that it runs in.
    pub zone: &'a str,
}

/// Returns the first `count` peers in this request's order: the first of each zone before the second of any.
///
/// A peer that joins or leaves changes the choice of those requests alone that it backs up. Fewer than `count` are
/// returned where there are fewer candidates.
pub fn choose_backups(
    request: RequestId,
    candidates: &[Candidate<'_>],
    count: usize,
) -> Vec<MemberId> {
    let mut chosen: Vec<Ranked<'_>> = spread_over_zones(&rank(request, candidates));
    chosen.sort_by_key(|ranked| (ranked.earlier_in_zone, ranked.rank));
    chosen.truncate(count);
    chosen.into_iter().map(|ranked| ranked.id.clone()).collect()
}

/// A candidate's place in the order of a request.
struct Ranked<'a> {
    id: &'a MemberId,
    /// Its rank among all candidates, from 0.
    rank: usize,
    /// Candidates of its zone with a better rank.
    earlier_in_zone: usize,
}

/// Sorts the candidates by the request's hash weights, the heaviest first.
fn rank<'a>(request: RequestId, candidates: &[Candidate<'a>]) -> Vec<Candidate<'a>> {
    let mut weighted: Vec<([u8; blake3::OUT_LEN], Candidate<'a>)> = candidates
        .iter()
        .map(|candidate| (weight(request, candidate), *candidate))
        .collect();
    weighted.sort_by(|(one, first), (other, second)| {
        other.cmp(one).then_with(|| first.id.cmp(second.id))
    });
    weighted
        .into_iter()
        .map(|(_, candidate)| candidate)
        .collect()
}

/// The weight of a candidate for a request. The name alone counts: a restarted peer keeps its weight.
fn weight(request: RequestId, candidate: &Candidate<'_>) -> [u8; blake3::OUT_LEN] {
    let mut hash = blake3::Hasher::new();
    hash.update(&request.to_le_bytes());
    hash.update(candidate.id.name.as_bytes());
    *hash.finalize().as_bytes()
}

fn spread_over_zones<'a>(candidates: &[Candidate<'a>]) -> Vec<Ranked<'a>> {
    let mut in_zone: HashMap<&str, usize> = HashMap::new();
    let ranked = |(rank, candidate): (usize, &Candidate<'a>)| {
        let count = in_zone.entry(candidate.zone).or_default();
        let earlier_in_zone = *count;
        *count += 1;
        Ranked {
            id: candidate.id,
            rank,
            earlier_in_zone,
        }
    };
    candidates.iter().enumerate().map(ranked).collect()
}
