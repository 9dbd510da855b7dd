//! Chooses the backups of a request by rendezvous hashing, so that sidecars with the same list of peers choose the same
//! backups.

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

/// Returns the `count` highest-ranked peers for this request. The best peer of each zone comes before the second best
/// of any zone.
///
/// When a peer joins or leaves, only the requests that it backs up get different backups. Returns fewer than `count`
/// peers if there are fewer candidates.
pub fn choose_backups(
    request: RequestId,
    candidates: &[Candidate<'_>],
    count: usize,
) -> Vec<MemberId> {
    let mut chosen: Vec<Ranked<'_>> = rank_within_zones(&rank(request, candidates));
    chosen.sort_by_key(|ranked| (ranked.earlier_in_zone, ranked.rank));
    chosen.truncate(count);
    chosen.into_iter().map(|ranked| ranked.id.clone()).collect()
}

/// A candidate with its rank for one request.
struct Ranked<'a> {
    id: &'a MemberId,
    /// The rank among all candidates, from 0.
    rank: usize,
    /// The number of candidates in the same zone with a better rank.
    earlier_in_zone: usize,
}

/// Sorts the candidates by their weight for the request, highest first.
fn rank<'a>(request: RequestId, candidates: &[Candidate<'a>]) -> Vec<Candidate<'a>> {
    let mut weighted: Vec<([u8; blake3::OUT_LEN], Candidate<'a>)> = candidates
        .iter()
        .map(|candidate| (weight(request, candidate), *candidate))
        .collect();
    weighted.sort_by(|(left_weight, left), (right_weight, right)| {
        right_weight
            .cmp(left_weight)
            .then_with(|| left.id.cmp(right.id))
    });
    weighted
        .into_iter()
        .map(|(_, candidate)| candidate)
        .collect()
}

/// Returns the weight of a candidate for a request. The hash covers the name but not the incarnation, so a restarted
/// peer keeps its weight.
fn weight(request: RequestId, candidate: &Candidate<'_>) -> [u8; blake3::OUT_LEN] {
    let mut hash = blake3::Hasher::new();
    hash.update(&request.to_le_bytes());
    hash.update(candidate.id.name.as_bytes());
    *hash.finalize().as_bytes()
}

/// Adds to each candidate its overall rank and the number of better-ranked candidates in its zone.
fn rank_within_zones<'a>(candidates: &[Candidate<'a>]) -> Vec<Ranked<'a>> {
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
