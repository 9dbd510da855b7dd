//! The peers that are thought to live, shared and sorted by name.

use havenplank_membership::member::MemberId;
use oorandom::Rand64;
use std::sync::Arc;

/// Draws before a peer that fits is given up.
const DRAWS: usize = 16;

/// One peer and where it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name and incarnation.
    pub member_id: MemberId,
    /// The part before the first `/` is its region.
    pub zone: String,
}

/// A list of peers that is cheap to clone. Its bound is that of the membership.
#[derive(Clone, Debug, Default)]
pub struct Peers(Arc<Vec<Peer>>);

/// Which peers fit a draw.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// Of the own region.
    Near,
    /// Of another region.
    Far,
    Any,
}

impl Peers {
    /// Returns the list of these peers. Of two with one name the later life stays.
    pub fn new(mut peers: Vec<Peer>) -> Peers {
        peers.sort_by(|a, b| {
            (&a.member_id.name, b.member_id.incarnation)
                .cmp(&(&b.member_id.name, a.member_id.incarnation))
        });
        peers.dedup_by(|later, first| later.member_id.name == first.member_id.name);
        Peers(Arc::new(peers))
    }

    /// Returns how many there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the name of the peer at a place in the order of names.
    pub fn name(&self, place: usize) -> &str {
        &self.0[place].member_id.name
    }

    /// Returns the name and incarnation of the peer at a place in the order of names.
    pub fn member_id(&self, place: usize) -> &MemberId {
        &self.0[place].member_id
    }

    /// Draws a random peer other than `me`, of the wished reach where a few draws find one, else any.
    pub fn draw(&self, rng: &mut Rand64, me: &Peer, reach: Reach) -> Option<MemberId> {
        let mut fallback = None;
        if self.is_empty() {
            return None;
        }
        for _ in 0..DRAWS {
            let peer = &self.0[rng.rand_range(0..self.len() as u64) as usize];
            if peer.member_id.name == me.member_id.name {
                continue;
            }
            let near = region_of_zone(&peer.zone) == region_of_zone(&me.zone);
            if reach == Reach::Any || near == (reach == Reach::Near) {
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
