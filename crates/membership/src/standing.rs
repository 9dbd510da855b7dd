//! The decision: what a sidecar may believe of its own place. Who belongs, how many of those it reaches, whether they
//! see the same. No I/O; time is handed in.
//!
//! Membership says who is likely there now; it forgets who is gone, so that of any part of the fleet it makes a whole.
//! The roster does not: who met the others once belongs until it says goodbye, or until more than half of all who
//! belong have missed it for a stated time. So no minority shrinks its world until it is a majority.
//!
//! Of the three promises (docs/fellows.md) this is none of the first kind: it says what a sidecar knows, and leases say
//! what it may do. Standing falls at once and rises only after a while.

pub use crate::roster::Row;
use crate::roster::{Difference, Digests, Member, Roster};
use crate::wire::{Life, NAME};
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
pub enum Standing {
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
    pub roster: u64,
    pub living: u64,
    /// Who belongs and does not live, the first of them; and how many there are.
    pub missing: Vec<String>,
    pub missed: u32,
    /// Whom I would have go.
    pub out: Vec<(String, u64, u32)>,
    /// Its own row; while rosters differ, or that is not known, also a part of the table, another one each time.
    pub rows: Vec<Row>,
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
    pub roster: bool,
}

pub struct Place {
    me: Row,
    rules: Rules,
    /// By name, those that went among them for `Rules::leaves`; `Rules::most` bounds it.
    roster: Roster,
    standing: Standing,
    since: Nanos,
    /// A better standing than ours, and since when it holds.
    better: Option<(Standing, Nanos)>,
    /// Where the next part of the roster begins.
    told: String,
    pub turned_away: u64,
}

impl Place {
    pub fn new(now: Nanos, me: Life, rules: Rules) -> Place {
        let me = Row {
            who: me,
            entry: 0,
            belongs: true,
        };
        Place {
            me,
            rules,
            roster: Roster::default(),
            standing: Standing::Alone,
            since: now,
            better: None,
            told: String::new(),
            turned_away: 0,
        }
    }

    /// What holds now, and since when.
    pub fn standing(&self) -> (Standing, Nanos) {
        (self.standing, self.since)
    }

    /// How many belong, ourselves among them.
    pub fn belong(&self) -> usize {
        1 + self.roster.count_belonging()
    }

    /// Rows of the roster that were visited so far: a measure of work that is the same on every machine.
    pub fn rows_visited(&self) -> u64 {
        self.roster.rows_visited()
    }

    /// Who belongs and is not reached.
    pub fn missing(&self, now: Nanos) -> impl Iterator<Item = &str> {
        self.members()
            .filter(move |m| !self.reaches(now, m))
            .map(|m| m.row.who.name.as_str())
    }

    /// Who is heard here but says that it does not hear us.
    pub fn deaf_to_us(&self, now: Nanos) -> impl Iterator<Item = &str> {
        self.members()
            .filter(move |m| m.lives && self.misses_us(now, m))
            .map(|m| m.row.who.name.as_str())
    }

    /// Who came back too often or too lately to count.
    pub fn unsteady(&self, now: Nanos) -> impl Iterator<Item = &str> {
        self.members()
            .filter(move |m| m.lives && !self.steady(now, m))
            .map(|m| m.row.who.name.as_str())
    }

    pub fn disputes(&self, now: Nanos) -> Vec<Dispute> {
        let missing = self.members().filter(|member| !member.lives);
        let ours: BTreeSet<&str> = missing.map(|member| member.row.who.name.as_str()).collect();
        let roster = self.roster.digest_roster(&self.me);
        let of = |member: &Member| {
            let (since, (_, view)) = (member.differs?.since, member.said.as_ref()?);
            let theirs: BTreeSet<&str> = view.missing.iter().map(String::as_str).collect();
            let only = |one: &BTreeSet<&str>, other: &BTreeSet<&str>| {
                one.difference(other)
                    .take(NAMED)
                    .map(|name| name.to_string())
                    .collect()
            };
            let with = member.row.who.name.clone();
            let (it_misses, we_miss) = (only(&theirs, &ours), only(&ours, &theirs));
            Some(Dispute {
                with,
                since,
                it_misses,
                we_miss,
                roster: view.roster != roster,
            })
        };
        self.members()
            .filter(|member| self.disputes_with(now, member))
            .filter_map(of)
            .collect()
    }

    /// Whether one that is reached has seen it otherwise for long enough, and said so again.
    fn disputes_with(&self, now: Nanos, member: &Member) -> bool {
        member
            .differs
            .is_some_and(|difference| difference.confirmed)
            && self.reaches(now, member)
    }

    /// Whether its last view differed when it was heard, and is what we see by now.
    fn has_settled(&self, member: &Member) -> bool {
        let said = member.said.as_ref().map(|(_, view)| Digests::from(view));
        member.differs.is_some() && said == Some(self.roster.digests(&self.me))
    }

    /// Differences that our own news has ended since.
    fn drop_settled(&mut self) {
        let settled = self
            .roster
            .notable()
            .filter(|member| self.has_settled(member));
        let settled: Vec<String> = settled.map(|member| member.row.who.name.clone()).collect();
        for name in settled {
            self.roster.update(&name, |member| member.differs = None);
        }
    }

    /// The difference with this peer, now that it said another view that differs.
    fn difference(&self, now: Nanos, member: &Member) -> Difference {
        let earlier = member.differs.filter(|_| !self.has_settled(member));
        let since = earlier.map_or(now, |difference| difference.since);
        let confirmed = earlier.is_some_and(|difference| difference.confirmed)
            || now.saturating_sub(since) >= self.rules.settles;
        Difference { since, confirmed }
    }

    /// Those who belong and of whom there is something to see; of the others, all is as it should be.
    fn members(&self) -> impl Iterator<Item = &Member> {
        self.roster.notable().filter(|member| member.row.belongs)
    }

    fn steady(&self, now: Nanos, member: &Member) -> bool {
        now.saturating_sub(member.since) >= self.steady_after(member)
    }

    /// How long one must stay after it came back, so often as it came and went.
    fn steady_after(&self, member: &Member) -> Nanos {
        self.rules.calms * ((1 << member.flaps) - 1)
    }

    fn misses_us(&self, now: Nanos, member: &Member) -> bool {
        member
            .misses_us
            .is_some_and(|at| now.saturating_sub(at) < self.rules.word)
    }

    fn reaches(&self, now: Nanos, member: &Member) -> bool {
        member.lives && self.steady(now, member) && !self.misses_us(now, member)
    }

    /// Who lives, by membership: all of them.
    pub fn living<'a>(&mut self, now: Nanos, living: impl Iterator<Item = &'a Life>) {
        let living: BTreeMap<&str, &Life> = living.map(|who| (who.name.as_str(), who)).collect();
        for who in living.values() {
            self.meet(now, who);
        }
        for name in self.roster.names() {
            self.set_lives(now, &name, living.get(name.as_str()).copied());
        }
        self.forgive(now);
    }

    /// What membership says of some: who of a name lives, if any.
    pub fn living_changed<'a>(
        &mut self,
        now: Nanos,
        changed: impl Iterator<Item = (&'a str, Option<&'a Life>)>,
    ) {
        for (name, who) in changed {
            if let Some(who) = who {
                self.meet(now, who);
            }
            self.set_lives(now, name, who);
        }
        self.forgive(now);
    }

    /// One that lives belongs, unless its row says otherwise.
    fn meet(&mut self, now: Nanos, who: &Life) {
        let known = self
            .roster
            .get(&who.name)
            .is_some_and(|member| member.row.who.life >= who.life);
        if !known {
            self.learn(
                now,
                Row {
                    who: who.clone(),
                    entry: 0,
                    belongs: true,
                },
            );
        }
    }

    fn set_lives(&mut self, now: Nanos, name: &str, who: Option<&Life>) {
        let Some(member) = self.roster.get(name) else {
            return;
        };
        let lives = who.is_some_and(|who| *who == member.row.who);
        if lives == member.lives {
            return;
        }
        self.roster.update(name, |member| {
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
        for name in self.roster.notable_names() {
            let Some(member) = self.roster.get(&name).filter(|member| member.lives) else {
                continue;
            };
            let wait = self.steady_after(member);
            let steady = member.flaps > 0 && now.saturating_sub(member.since) > 8 * wait;
            if !steady && member.out.is_empty() {
                continue;
            }
            self.roster.update(&name, |member| {
                member.out.clear();
                if steady {
                    (member.flaps, member.since) = (member.flaps - 1, now - wait);
                }
            });
        }
    }

    /// Our name was known under a later life: ours is this one now.
    pub fn reborn(&mut self, who: &Life) {
        self.me = Row {
            who: who.clone(),
            entry: 0,
            belongs: true,
        };
        self.roster.forget_digests(true);
    }

    /// It said goodbye.
    pub fn left(&mut self, now: Nanos, who: &Life) {
        let row = self
            .roster
            .get(&who.name)
            .map(|member| member.row.clone())
            .filter(|row| row.who == *who);
        if let Some(row) = row {
            self.learn(
                now,
                Row {
                    belongs: false,
                    ..row
                },
            );
        }
    }

    fn learn(&mut self, now: Nanos, row: Row) {
        if row.who.name == self.me.who.name {
            // Voted out while we were away, maybe: we are here.
            if row.who.life == self.me.who.life && !row.belongs && row.entry >= self.me.entry {
                self.me.entry = row.entry.saturating_add(1);
                self.roster.forget_digests(true);
            }
            return;
        }
        if row.who.name.is_empty() || row.who.name.len() > NAME {
            return;
        }
        match self.roster.get(&row.who.name) {
            Some(member) if row.newer(&member.row) => self.replace(now, row),
            Some(_) => {}
            None if self.roster.len() >= self.rules.most => self.turned_away += 1,
            None => self.roster.insert(Member::new(now, row)),
        }
    }

    fn replace(&mut self, now: Nanos, row: Row) {
        let name = row.who.name.clone();
        self.roster.update(&name, |member| {
            if member.row.who != row.who {
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
    pub fn heard(&mut self, now: Nanos, from: &Life, mut view: View) -> Option<Nanos> {
        view.rows
            .drain(..)
            .take(ROWS)
            .for_each(|row| self.learn(now, row));
        view.missing.truncate(NAMED);
        view.missing.retain(|name| name.len() <= NAME);
        for (name, life, entry) in std::mem::take(&mut view.out).into_iter().take(NAMED) {
            let meant = |member: &Member| (member.row.who.life, member.row.entry) == (life, entry);
            if self
                .roster
                .get(&name)
                .is_some_and(|member| !member.lives && meant(member))
            {
                self.roster.update(&name, |member| {
                    member.out.insert(from.name.clone(), now);
                });
            }
        }
        let member = self
            .roster
            .get(&from.name)
            .filter(|member| member.row.who == *from)?;
        let misses_us = view.missing.contains(&self.me.who.name);
        let ours = self.roster.digests(&self.me);
        let differs = Digests::from(&view) != ours;
        let difference = differs.then(|| self.difference(now, member));
        let outdated = member.told.is_some_and(|told| told != ours);
        self.roster.update(&from.name, |member| {
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
    pub fn view(&mut self, now: Nanos, to: &Life) -> View {
        let missing = self.members().filter(|member| !member.lives);
        let missing: Vec<String> = missing.map(|member| member.row.who.name.clone()).collect();
        let out = self
            .members()
            .filter(|member| self.long_missed(now, member));
        let out = out
            .take(NAMED)
            .map(|m| (m.row.who.name.clone(), m.row.who.life, m.row.entry))
            .collect();
        let digests = self.roster.digests(&self.me);
        let Digests { roster, living } = digests;
        let said = self
            .roster
            .get(&to.name)
            .and_then(|member| member.said.as_ref());
        let alike = said.is_some_and(|(_, view)| view.roster == roster);
        let many = if alike { 1 } else { ROWS };
        let mut rows = vec![self.me.clone()];
        let behind = self.roster.behind(&self.told);
        rows.extend(behind.take(many - 1).map(|member| member.row.clone()));
        if !alike {
            let through = rows.len() < ROWS;
            self.told = if through {
                String::new()
            } else {
                rows[ROWS - 1].who.name.clone()
            };
        }
        self.roster
            .update(&to.name, |member| member.told = Some(digests));
        let missed = missing.len() as u32;
        View {
            roster,
            living,
            missing: missing.into_iter().take(NAMED).collect(),
            missed,
            out,
            rows,
        }
    }

    fn long_missed(&self, now: Nanos, member: &Member) -> bool {
        !member.lives && now.saturating_sub(member.since) >= self.rules.leaves
    }

    /// Looks again, and tells a change: what was before, and what is.
    pub fn look(&mut self, now: Nanos) -> Option<(Standing, Standing)> {
        self.vote_out(now);
        self.expire(now);
        self.drop_settled();
        let seen = self.seen(now);
        let was = self.standing;
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
            (self.standing, self.since) = (held, now);
            return Some((was, held));
        }
        if seen == was {
            return None;
        }
        (self.standing, self.since) = (seen, now);
        Some((was, seen))
    }

    /// Rows that went long ago leave, and words that are too old.
    fn expire(&mut self, now: Nanos) {
        let (leaves, word) = (self.rules.leaves, self.rules.word);
        let old = |at: Nanos| now.saturating_sub(at) >= word;
        for name in self.roster.notable_names() {
            let Some(member) = self.roster.get(&name) else {
                continue;
            };
            if !member.row.belongs && now.saturating_sub(member.since) >= leaves {
                self.roster.remove(&name);
            } else if member.out.values().any(|at| old(*at)) {
                self.roster
                    .update(&name, |member| member.out.retain(|_, at| !old(*at)));
            }
        }
        while let Some(name) = self
            .roster
            .oldest_view()
            .filter(|(at, _)| old(*at))
            .map(|(_, name)| name)
        {
            self.roster
                .update(&name, |member| (member.said, member.differs) = (None, None));
        }
    }

    fn seen(&self, now: Nanos) -> Standing {
        let unreached = self
            .members()
            .filter(|member| member.lives && !self.reaches(now, member))
            .count();
        let reached = 1 + self.roster.count_living() - unreached;
        if reached == 1 {
            Standing::Alone
        } else if 2 * reached <= self.belong() {
            Standing::Few
        } else if !self.members().any(|member| self.disputes_with(now, member)) {
            Standing::Agreed
        } else {
            Standing::Disputed
        }
    }

    /// Who has been missed for long by more than half of all who belong, the missed ones among them, goes.
    fn vote_out(&mut self, now: Nanos) {
        let (belong, word) = (self.belong(), self.rules.word);
        let lasts = |at: &Nanos| now.saturating_sub(*at) < word;
        let belongs = |name: &str| {
            self.roster
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
        let out: Vec<Row> = out
            .map(|member| Row {
                belongs: false,
                ..member.row.clone()
            })
            .collect();
        out.into_iter().for_each(|row| self.learn(now, row));
    }
}
