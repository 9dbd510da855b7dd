//! The decision: what a sidecar may believe of its own place. Who belongs, how many of those it reaches, whether they
//! see the same. No I/O; time is handed in.
//!
//! Membership says who is likely there now; it forgets who is gone, so that of any part of the fleet it makes a whole.
//! The roster does not: who met the others once belongs until it says goodbye, or until more than half of all who
//! belong have missed it for a stated time. So no minority shrinks its world until it is a majority.
//!
//! Of the three promises (docs/fellows.md) this is none of the first kind: it says what a sidecar knows, and leases say
//! what it may do. Standing falls at once and rises only after a while.

use crate::member::{MemberId, MAX_NAME_BYTES};
pub use crate::voters::VoterRecord;
use crate::voters::{Difference, Digests, Voter, VoterTable};
use crate::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Rows of the roster in one word, those missing that it names, and those it would have go. The rest goes by digest, or
/// with a later word.
const ROWS: usize = 12;
const NAMED: usize = 8;
/// How often one may have come and gone and still make its wait longer.
const FLAPS: u32 = 6;

#[derive(Clone, Debug)]
pub struct Rules {
    /// How long views may differ before that is a dispute: news takes its time. Only a second view that differs, heard
    /// this long after the first or later, shows that they still do.
    pub settles: Nanos,
    /// How long a better standing must hold before it is believed, and one that came back stay before it counts.
    pub calms: Nanos,
    /// How long one must be missed before it may be voted out of the roster.
    pub leaves: Nanos,
    /// A word counts for so long.
    pub word: Nanos,
    /// Rows of the roster, at most; further ones are passed over and counted.
    pub most: usize,
}

impl Default for Rules {
    fn default() -> Rules {
        let s = 1_000_000_000;
        Rules {
            settles: 10 * s,
            calms: 3 * s,
            leaves: 600 * s,
            word: 300 * s,
            most: 4_096,
        }
    }
}

/// From the best to the worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum QuorumState {
    /// More than half of those who belong are reached, and see the same.
    Agreed,
    /// More than half are reached, and some see it otherwise.
    Disputed,
    /// Half or less are reached.
    Few,
    /// Nobody is reached.
    Alone,
}

/// What one says of its view, in one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Digests of all who belong, and of those of them that live by its membership.
    pub voters: u64,
    pub living: u64,
    /// Who belongs and does not live, the first of them; and how many there are.
    pub missing: Vec<String>,
    pub missed: u32,
    /// Whom I would have go.
    pub out: Vec<(String, u64, u32)>,
    /// Its own row; while rosters differ, or that is not known, also a part of the table, another one each time.
    pub rows: Vec<VoterRecord>,
}

/// Who sees what otherwise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispute {
    pub with: String,
    pub since: Nanos,
    /// Whom it misses and we reach, and whom we miss and it reaches, as far as named.
    pub it_misses: Vec<String>,
    pub we_miss: Vec<String>,
    /// Whether it has another roster.
    pub voters: bool,
}

pub struct Quorum {
    me: VoterRecord,
    rules: Rules,
    /// By name, those that went among them for `Rules::leaves`; `Rules::most` bounds it.
    voters: VoterTable,
    state: QuorumState,
    since: Nanos,
    /// A better standing than ours, and since when it holds.
    better: Option<(QuorumState, Nanos)>,
    /// Where the next part of the roster begins.
    told: String,
    pub rejected_voters: u64,
}

impl Quorum {
    pub fn new(now: Nanos, me: MemberId, rules: Rules) -> Quorum {
        let me = VoterRecord {
            id: me,
            entry: 0,
            belongs: true,
        };
        Quorum {
            me,
            rules,
            voters: VoterTable::default(),
            state: QuorumState::Alone,
            since: now,
            better: None,
            told: String::new(),
            rejected_voters: 0,
        }
    }

    /// The state in force.
    pub fn state(&self) -> QuorumState {
        self.state
    }

    /// Since when that state is in force.
    pub fn state_since(&self) -> Nanos {
        self.since
    }

    /// How many belong, ourselves among them.
    pub fn voter_count(&self) -> usize {
        1 + self.voters.count_belonging()
    }

    /// Rows of the roster that were visited so far: a measure of work that is the same on every machine.
    pub fn rows_visited(&self) -> u64 {
        self.voters.rows_visited()
    }

    /// Who belongs and is not reached.
    pub fn missing(&self, now: Nanos) -> impl Iterator<Item = &str> {
        self.members()
            .filter(move |m| !self.reaches(now, m))
            .map(|m| m.row.id.name.as_str())
    }

    /// Who is heard here but says that it does not hear us.
    pub fn deaf_to_us(&self, now: Nanos) -> impl Iterator<Item = &str> {
        self.members()
            .filter(move |m| m.lives && self.misses_us(now, m))
            .map(|m| m.row.id.name.as_str())
    }

    /// Who came back too often or too lately to count.
    pub fn flapping(&self, now: Nanos) -> impl Iterator<Item = &str> {
        self.members()
            .filter(move |m| m.lives && !self.steady(now, m))
            .map(|m| m.row.id.name.as_str())
    }

    pub fn disputes(&self, now: Nanos) -> Vec<Dispute> {
        let missing = self.members().filter(|member| !member.lives);
        let ours: BTreeSet<&str> = missing.map(|member| member.row.id.name.as_str()).collect();
        let voters = self.voters.digest_roster(&self.me);
        let of = |member: &Voter| {
            let (since, (_, view)) = (member.differs?.since, member.said.as_ref()?);
            let theirs: BTreeSet<&str> = view.missing.iter().map(String::as_str).collect();
            let only = |one: &BTreeSet<&str>, other: &BTreeSet<&str>| {
                one.difference(other)
                    .take(NAMED)
                    .map(|name| name.to_string())
                    .collect()
            };
            let with = member.row.id.name.clone();
            let (it_misses, we_miss) = (only(&theirs, &ours), only(&ours, &theirs));
            Some(Dispute {
                with,
                since,
                it_misses,
                we_miss,
                voters: view.voters != voters,
            })
        };
        self.members()
            .filter(|member| self.disputes_with(now, member))
            .filter_map(of)
            .collect()
    }

    /// Whether one that is reached has seen it otherwise for long enough, and said so again.
    fn disputes_with(&self, now: Nanos, member: &Voter) -> bool {
        member
            .differs
            .is_some_and(|difference| difference.confirmed)
            && self.reaches(now, member)
    }

    /// Whether its last view differed when it was heard, and is what we see by now.
    fn has_settled(&self, member: &Voter) -> bool {
        let said = member.said.as_ref().map(|(_, view)| Digests::from(view));
        member.differs.is_some() && said == Some(self.voters.digests(&self.me))
    }

    /// Differences that our own news has ended since.
    fn drop_settled(&mut self) {
        let settled = self
            .voters
            .notable()
            .filter(|member| self.has_settled(member));
        let settled: Vec<String> = settled.map(|member| member.row.id.name.clone()).collect();
        for name in settled {
            self.voters.update(&name, |member| member.differs = None);
        }
    }

    /// The difference with this peer, now that it said another view that differs.
    fn difference(&self, now: Nanos, member: &Voter) -> Difference {
        let earlier = member.differs.filter(|_| !self.has_settled(member));
        let since = earlier.map_or(now, |difference| difference.since);
        let confirmed = earlier.is_some_and(|difference| difference.confirmed)
            || now.saturating_sub(since) >= self.rules.settles;
        Difference { since, confirmed }
    }

    /// Those who belong and of whom there is something to see; of the others, all is as it should be.
    fn members(&self) -> impl Iterator<Item = &Voter> {
        self.voters.notable().filter(|member| member.row.belongs)
    }

    fn steady(&self, now: Nanos, member: &Voter) -> bool {
        now.saturating_sub(member.since) >= self.steady_after(member)
    }

    /// How long one must stay after it came back, so often as it came and went.
    fn steady_after(&self, member: &Voter) -> Nanos {
        self.rules.calms * ((1 << member.flaps) - 1)
    }

    fn misses_us(&self, now: Nanos, member: &Voter) -> bool {
        member
            .misses_us
            .is_some_and(|at| now.saturating_sub(at) < self.rules.word)
    }

    fn reaches(&self, now: Nanos, member: &Voter) -> bool {
        member.lives && self.steady(now, member) && !self.misses_us(now, member)
    }

    /// Who lives, by membership: all of them.
    pub fn set_alive<'a>(&mut self, now: Nanos, living: impl Iterator<Item = &'a MemberId>) {
        let living: BTreeMap<&str, &MemberId> = living.map(|id| (id.name.as_str(), id)).collect();
        for id in living.values() {
            self.meet(now, id);
        }
        for name in self.voters.names() {
            self.set_lives(now, &name, living.get(name.as_str()).copied());
        }
        self.forgive(now);
    }

    /// What membership says of some: who of a name lives, if any.
    pub fn update_alive<'a>(
        &mut self,
        now: Nanos,
        changed: impl Iterator<Item = (&'a str, Option<&'a MemberId>)>,
    ) {
        for (name, id) in changed {
            if let Some(id) = id {
                self.meet(now, id);
            }
            self.set_lives(now, name, id);
        }
        self.forgive(now);
    }

    /// One that lives belongs, unless its row says otherwise.
    fn meet(&mut self, now: Nanos, id: &MemberId) {
        let known = self
            .voters
            .get(&id.name)
            .is_some_and(|member| member.row.id.incarnation >= id.incarnation);
        if !known {
            self.learn(
                now,
                VoterRecord {
                    id: id.clone(),
                    entry: 0,
                    belongs: true,
                },
            );
        }
    }

    fn set_lives(&mut self, now: Nanos, name: &str, id: Option<&MemberId>) {
        let Some(member) = self.voters.get(name) else {
            return;
        };
        let lives = id.is_some_and(|id| *id == member.row.id);
        if lives == member.lives {
            return;
        }
        self.voters.update(name, |member| {
            // What was never met here has not come back.
            if !lives {
                member.flaps = (member.flaps + 1).min(FLAPS);
                (member.said, member.differs, member.misses_us) = (None, None, None);
            }
            (member.lives, member.since) = (lives, now);
        });
    }

    /// Who lives need not go; who has been steady for far longer than it had to be is forgiven a step.
    fn forgive(&mut self, now: Nanos) {
        for name in self.voters.notable_names() {
            let Some(member) = self.voters.get(&name).filter(|member| member.lives) else {
                continue;
            };
            let wait = self.steady_after(member);
            let steady = member.flaps > 0 && now.saturating_sub(member.since) > 8 * wait;
            if !steady && member.out.is_empty() {
                continue;
            }
            self.voters.update(&name, |member| {
                member.out.clear();
                if steady {
                    (member.flaps, member.since) = (member.flaps - 1, now - wait);
                }
            });
        }
    }

    /// Our name was known under a later life: ours is this one now.
    pub fn set_own_id(&mut self, id: &MemberId) {
        self.me = VoterRecord {
            id: id.clone(),
            entry: 0,
            belongs: true,
        };
        self.voters.forget_digests(true);
    }

    /// It said goodbye.
    pub fn left(&mut self, now: Nanos, id: &MemberId) {
        let row = self
            .voters
            .get(&id.name)
            .map(|member| member.row.clone())
            .filter(|row| row.id == *id);
        if let Some(row) = row {
            self.learn(
                now,
                VoterRecord {
                    belongs: false,
                    ..row
                },
            );
        }
    }

    fn learn(&mut self, now: Nanos, row: VoterRecord) {
        if row.id.name == self.me.id.name {
            // Voted out while we were away, maybe: we are here.
            if row.id.incarnation == self.me.id.incarnation
                && !row.belongs
                && row.entry >= self.me.entry
            {
                self.me.entry = row.entry.saturating_add(1);
                self.voters.forget_digests(true);
            }
            return;
        }
        if row.id.name.is_empty() || row.id.name.len() > MAX_NAME_BYTES {
            return;
        }
        match self.voters.get(&row.id.name) {
            Some(member) if row.newer(&member.row) => self.replace(now, row),
            Some(_) => {}
            None if self.voters.len() >= self.rules.most => self.rejected_voters += 1,
            None => self.voters.insert(Voter::new(now, row)),
        }
    }

    fn replace(&mut self, now: Nanos, row: VoterRecord) {
        let name = row.id.name.clone();
        self.voters.update(&name, |member| {
            if member.row.id != row.id {
                // A start after a goodbye is no coming and going.
                member.flaps *= member.row.belongs as u32;
                member.lives = false;
            }
            if member.row.belongs != row.belongs {
                member.since = now;
            }
            member.out.clear();
            member.row = row;
        });
    }

    /// What a fellow says of its view.
    /// Of a view longer than any that we say only as much is read and kept, whatever its sender had the key for.
    ///
    /// Returns when that peer is to be told our view out of turn, if it is: after [`Rules::settles`] where the views
    /// differ, so that both learn whether they still do; at once where they agree and what we told it last does not, so
    /// that it learns that they do.
    pub fn receive_view(&mut self, now: Nanos, from: &MemberId, mut view: View) -> Option<Nanos> {
        view.rows
            .drain(..)
            .take(ROWS)
            .for_each(|row| self.learn(now, row));
        view.missing.truncate(NAMED);
        view.missing.retain(|name| name.len() <= MAX_NAME_BYTES);
        for (name, life, entry) in std::mem::take(&mut view.out).into_iter().take(NAMED) {
            let meant =
                |member: &Voter| (member.row.id.incarnation, member.row.entry) == (life, entry);
            if self
                .voters
                .get(&name)
                .is_some_and(|member| !member.lives && meant(member))
            {
                self.voters.update(&name, |member| {
                    member.out.insert(from.name.clone(), now);
                });
            }
        }
        let member = self
            .voters
            .get(&from.name)
            .filter(|member| member.row.id == *from)?;
        let misses_us = view.missing.contains(&self.me.id.name);
        let ours = self.voters.digests(&self.me);
        let differs = Digests::from(&view) != ours;
        let difference = differs.then(|| self.difference(now, member));
        let outdated = member.told.is_some_and(|told| told != ours);
        self.voters.update(&from.name, |member| {
            member.misses_us = misses_us.then_some(now);
            member.differs = difference;
            member.said = Some((now, view));
        });
        if differs {
            Some(now + self.rules.settles)
        } else {
            outdated.then_some(now)
        }
    }

    /// What to say to this fellow now.
    pub fn view_for(&mut self, now: Nanos, to: &MemberId) -> View {
        let missing = self.members().filter(|member| !member.lives);
        let missing: Vec<String> = missing.map(|member| member.row.id.name.clone()).collect();
        let out = self
            .members()
            .filter(|member| self.long_missed(now, member));
        let out = out
            .take(NAMED)
            .map(|m| (m.row.id.name.clone(), m.row.id.incarnation, m.row.entry))
            .collect();
        let digests = self.voters.digests(&self.me);
        let Digests { voters, living } = digests;
        let said = self
            .voters
            .get(&to.name)
            .and_then(|member| member.said.as_ref());
        let alike = said.is_some_and(|(_, view)| view.voters == voters);
        let many = if alike { 1 } else { ROWS };
        let mut rows = vec![self.me.clone()];
        let behind = self.voters.behind(&self.told);
        rows.extend(behind.take(many - 1).map(|member| member.row.clone()));
        if !alike {
            let through = rows.len() < ROWS;
            self.told = if through {
                String::new()
            } else {
                rows[ROWS - 1].id.name.clone()
            };
        }
        self.voters
            .update(&to.name, |member| member.told = Some(digests));
        let missed = missing.len() as u32;
        View {
            voters,
            living,
            missing: missing.into_iter().take(NAMED).collect(),
            missed,
            out,
            rows,
        }
    }

    fn long_missed(&self, now: Nanos, member: &Voter) -> bool {
        !member.lives && now.saturating_sub(member.since) >= self.rules.leaves
    }

    /// Looks again, and tells a change: what was before, and what is.
    pub fn update(&mut self, now: Nanos) -> Option<(QuorumState, QuorumState)> {
        self.vote_out(now);
        self.expire(now);
        self.drop_settled();
        let seen = self.seen(now);
        let was = self.state;
        if seen >= was {
            self.better = None;
        } else {
            let (_, since) = *self.better.get_or_insert((seen, now));
            // The worst of what held since then is what has held all along.
            self.better = self.better.map(|(held, since)| (held.max(seen), since));
            let held = self.better.map_or(seen, |(held, _)| held);
            if now.saturating_sub(since) < self.rules.calms {
                return None;
            }
            self.better = None;
            (self.state, self.since) = (held, now);
            return Some((was, held));
        }
        if seen == was {
            return None;
        }
        (self.state, self.since) = (seen, now);
        Some((was, seen))
    }

    /// Rows that went long ago leave, and words that are too old.
    fn expire(&mut self, now: Nanos) {
        let (leaves, word) = (self.rules.leaves, self.rules.word);
        let old = |at: Nanos| now.saturating_sub(at) >= word;
        for name in self.voters.notable_names() {
            let Some(member) = self.voters.get(&name) else {
                continue;
            };
            if !member.row.belongs && now.saturating_sub(member.since) >= leaves {
                self.voters.remove(&name);
            } else if member.out.values().any(|at| old(*at)) {
                self.voters
                    .update(&name, |member| member.out.retain(|_, at| !old(*at)));
            }
        }
        while let Some(name) = self
            .voters
            .oldest_view()
            .filter(|(at, _)| old(*at))
            .map(|(_, name)| name)
        {
            self.voters
                .update(&name, |member| (member.said, member.differs) = (None, None));
        }
    }

    fn seen(&self, now: Nanos) -> QuorumState {
        let unreached = self
            .members()
            .filter(|member| member.lives && !self.reaches(now, member))
            .count();
        let reached = 1 + self.voters.count_living() - unreached;
        if reached == 1 {
            QuorumState::Alone
        } else if 2 * reached <= self.voter_count() {
            QuorumState::Few
        } else if !self.members().any(|member| self.disputes_with(now, member)) {
            QuorumState::Agreed
        } else {
            QuorumState::Disputed
        }
    }

    /// Who has been missed for long by more than half of all who belong, the missed ones among them, goes.
    fn vote_out(&mut self, now: Nanos) {
        let (belong, word) = (self.voter_count(), self.rules.word);
        let lasts = |at: &Nanos| now.saturating_sub(*at) < word;
        let belongs = |name: &str| {
            self.voters
                .get(name)
                .is_some_and(|member| member.row.belongs)
        };
        let out = self
            .members()
            .filter(|member| self.long_missed(now, member))
            .filter(|member| {
                let by = member
                    .out
                    .iter()
                    .filter(|(name, at)| belongs(name) && lasts(at));
                2 * (1 + by.count()) > belong
            });
        let out: Vec<VoterRecord> = out
            .map(|member| VoterRecord {
                belongs: false,
                ..member.row.clone()
            })
            .collect();
        out.into_iter().for_each(|row| self.learn(now, row));
    }
}
