//! The list of peers that are alive according to the membership, sorted by name.

use havenplank_membership::member::MemberId;
use oorandom::Rand64;
use std::sync::Arc;

/// Maximum number of random picks in search of a peer that matches the region filter.
const MAX_PICKS: usize = 16;

/// One peer and where it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The name and incarnation of the peer.
    pub member_id: MemberId,
    /// The zone in which the peer runs; the part before the first `/` is the region.
    pub zone: String,
}

/// A list of peers, sorted by name and cheap to clone. The membership limits its length.
#[derive(Clone, Debug, Default)]
pub struct Peers(Arc<Vec<Peer>>);

/// Which peers may be picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegionFilter {
    /// Peers of the own region.
    Same,
    /// Peers of other regions.
    Other,
    /// All peers.
    Any,
}

impl Peers {
    /// Returns the list of these peers. Of two peers with the same name, the one with the higher incarnation stays.
    pub fn new(mut peers: Vec<Peer>) -> Peers {
        peers.sort_by(|a, b| {
            (&a.member_id.name, b.member_id.incarnation)
                .cmp(&(&b.member_id.name, a.member_id.incarnation))
        });
        peers.dedup_by(|next, kept| next.member_id.name == kept.member_id.name);
        Peers(Arc::new(peers))
    }

    /// Returns the number of peers.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether the list is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the name of the peer at an index of the sorted list.
    pub fn name(&self, index: usize) -> &str {
        &self.0[index].member_id.name
    }

    /// Returns the name and incarnation of the peer at an index of the sorted list.
    pub fn member_id(&self, index: usize) -> &MemberId {
        &self.0[index].member_id
    }

    /// Returns a random peer other than `me`. It matches the filter if a few random picks find such a peer; otherwise
    /// it may be any peer.
    pub fn pick_random(
        &self,
        rng: &mut Rand64,
        me: &Peer,
        region_filter: RegionFilter,
    ) -> Option<MemberId> {
        let mut fallback = None;
        if self.is_empty() {
            return None;
        }
        for _ in 0..MAX_PICKS {
            let peer = &self.0[rng.rand_range(0..self.len() as u64) as usize];
            if peer.member_id.name == me.member_id.name {
                continue;
            }
            let is_same_region = region_of_zone(&peer.zone) == region_of_zone(&me.zone);
            if region_filter == RegionFilter::Any
                || is_same_region == (region_filter == RegionFilter::Same)
            {
                return Some(peer.member_id.clone());
            }
            fallback = Some(peer);
        }
        fallback.map(|peer| peer.member_id.clone())
    }
}

/// Returns the region of a zone.
pub fn region_of_zone(zone: &str) -> &str {
    zone.split('/').next().unwrap_or(zone)
}
