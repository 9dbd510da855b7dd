//! The decision: who lives, by SWIM with the mends of Lifeguard. No I/O; time and chance are handed in.
//!
//! Each period one fellow is asked in turn, and through helpers where it does not answer; who stays silent is
//! suspected, can refute that with a higher round, and counts as gone otherwise. What is new rides on the pings.
//! Whoever notices that it is slow itself waits longer before it blames others. Nobody is let in on a word alone:
//! a stranger must answer a number drawn for it, so that a repeat of what it once said lets nobody in.
//!
//! Of the three promises (docs/fellows.md) everything here belongs to the last: it holds while enough can talk.

use crate::gossip::{Gossip, Offer};
pub use crate::news::{Effect, Event, News, State, Talk};
use crate::peers::{Changes, Peer, Peers};
use crate::wire::Life;
use crate::Nanos;
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Times that a piece of news is sent on, for each doubling of the fellowship.
const SENT_ON: u32 = 3;
/// Periods for which a fellow is suspected at least, for each tenfold of the fellowship, and at most.
const SUSPECTED: f64 = 5.0;
const SUSPECTED_AT_MOST: f64 = 6.0;
/// Others whose suspicion shortens that, each by itself.
const CONFIRM: usize = 3;
/// Levels of own slowness: periods and waits are so many times longer, and one more.
const SLOWEST: u32 = 8;
/// Periods between two looks for who is gone or was never met, and between two askings for a piece of the table.
const LOOK: u64 = 5;
const REFRESH: u64 = 10;
/// Strangers and others' questions that wait for an answer; beyond these a new one is passed over.
const WAITING: usize = 64;

#[derive(Clone, Debug)]
pub struct Rules {
    /// One fellow is asked in each.
    pub period: Nanos,
    /// How long a direct answer may take; under half of the period.
    pub answer: Nanos,
    /// Fellows that are asked to ask, where one does not answer.
    pub helpers: usize,
    /// Fellows known at most, those that are gone among them. Beyond it the longest gone is forgotten, and where
    /// none is gone a newcomer is passed over and counted.
    pub most: usize,
    /// How long one that is gone stays known, so that old news does not bring it back.
    pub keep_gone: Nanos,
}

impl Default for Rules {
    fn default() -> Rules {
        let ms = 1_000_000;
        Rules {
            period: 500 * ms,
            answer: 150 * ms,
            helpers: 3,
            most: 4_096,
            keep_gone: 600_000 * ms,
        }
    }
}

/// What comes due; in the order of time, then of asking.
enum Due {
    Period,
    NoAnswer(u64),
    Suspicion(Life, u32),
    Nack(u64),
    Expires(u64),
    Forget(String),
}

/// The one that is being asked in this period.
struct Probe {
    nonce: u64,
    who: Life,
    answered: bool,
    /// Helpers that said nothing at all, neither yes nor no.
    unheard: usize,
}

/// A question that waits for a stranger's or another's answer.
enum Waits {
    Stranger(Life),
    For { asker: Life, nonce: u64 },
}

pub struct Fellows {
    rules: Rules,
    me: News,
    /// By name, those that are gone among them; `Rules::most` bounds it.
    peers: Peers,
    /// Addresses from the settings.
    seeds: Vec<SocketAddr>,
    /// The order in which fellows are asked, shuffled anew when it is through.
    turn: Vec<String>,
    probe: Option<Probe>,
    /// By nonce; emptied by an answer or a period later, `WAITING` at most.
    waits: BTreeMap<u64, Waits>,
    /// Peers whose whole table is being fetched, piece by piece, `WAITING` at most. A refresh is one piece alone: the
    /// rest of the table behind it would cost more the larger the fleet is.
    catching_up: BTreeSet<Life>,
    /// News that ride on pings.
    gossip: Gossip,
    due: BTreeMap<(Nanos, u64), Due>,
    asked: u64,
    periods: u64,
    slow: u32,
    chance: Rand64,
    effects: VecDeque<Effect>,
    /// Newcomers passed over as the table was full.
    pub turned_away: u64,
}

impl Fellows {
    /// `me` begins as living, in round 0.
    pub fn new(now: Nanos, seed: u64, me: News, seeds: Vec<SocketAddr>, rules: Rules) -> Fellows {
        let peers = Peers::new(rules.most);
        let mut fellows = Fellows {
            rules,
            me: News {
                round: 0,
                state: State::Lives,
                ..me
            },
            peers,
            seeds,
            turn: Vec::new(),
            probe: None,
            waits: BTreeMap::new(),
            catching_up: BTreeSet::new(),
            gossip: Gossip::default(),
            due: BTreeMap::new(),
            asked: 0,
            periods: 0,
            slow: 0,
            chance: Rand64::new(seed as u128),
            effects: VecDeque::new(),
            turned_away: 0,
        };
        // Scattered, lest all that start together ask together.
        let first = fellows.chance.rand_range(0..fellows.rules.period.max(1));
        fellows.at(now + first, Due::Period);
        fellows
    }

    pub fn me(&self) -> &News {
        &self.me
    }

    /// Those that live, suspected ones among them, by name; not ourselves.
    pub fn living(&self) -> impl Iterator<Item = &News> {
        self.peers.living()
    }

    /// The one that lives and follows this name; behind the last one, the first.
    pub fn living_after(&self, name: &str) -> Option<&News> {
        let next = self
            .peers
            .living_after(name)
            .chain(self.peers.living_after(""))
            .next();
        next.map(|(news, _)| news)
    }

    pub fn get(&self, name: &str) -> Option<&News> {
        self.peers.get(name).map(|peer| &peer.news)
    }

    /// Whether this life is known and not gone.
    pub fn lives(&self, who: &Life) -> bool {
        self.get(&who.name)
            .is_some_and(|news| news.who == *who && news.is_there())
    }

    /// Of whom something changed since this was last asked.
    pub fn take_changes(&mut self) -> Changes {
        self.peers.take_changes()
    }

    /// Rows of the table that were visited so far: a measure of work that is the same on every machine.
    pub fn rows_visited(&self) -> u64 {
        self.peers.rows_visited()
    }

    /// How slow this sidecar takes itself to be, 0 to 8.
    pub fn slowness(&self) -> u32 {
        self.slow
    }

    pub fn effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    pub fn next_wake(&self) -> Option<Nanos> {
        self.due.keys().next().map(|(at, _)| *at)
    }

    /// Carries out what is due. Where we come late ourselves, nobody is blamed for an answer that may lie unread.
    pub fn wake(&mut self, now: Nanos) {
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((at, _), due) = entry.remove_entry();
            let late = now - at > self.rules.answer;
            match due {
                Due::Period => self.period(now, late),
                Due::NoAnswer(nonce) => self.no_answer(nonce, late),
                Due::Suspicion(who, round) => self.condemn(now, who, round, late),
                Due::Nack(nonce) => self.nack(nonce),
                Due::Expires(nonce) => {
                    self.waits.remove(&nonce);
                }
                Due::Forget(name) => self.forget(now, &name),
            }
        }
    }

    /// Says goodbye: the helpers of this moment pass it on.
    pub fn leave(&mut self) {
        self.me.state = State::Left;
        let about = vec![self.me.clone()];
        for (to, at) in self.some(self.rules.helpers.max(3), None) {
            self.say(
                to,
                at,
                Talk::Table {
                    about: about.clone(),
                    more: false,
                },
            );
        }
    }

    /// What a fellow or a stranger said; false where only fellows have a word in that.
    pub fn heard(&mut self, now: Nanos, from: &Life, talk: Talk) -> bool {
        let fellow = self.lives(from);
        match talk {
            Talk::Hello { me } if me.who == *from => self.challenge(now, from, me.at),
            Talk::Ping { nonce, me, about } if me.who == *from => {
                let (to, at) = (from.clone(), me.at);
                if fellow {
                    self.learn(now, me, from);
                    about
                        .into_iter()
                        .for_each(|news| self.learn(now, news, from));
                } else {
                    self.challenge(now, from, at);
                    // What a stranger holds against us may be refuted all the same.
                    let us = self.me.who.name.clone();
                    about
                        .into_iter()
                        .filter(|news| news.who.name == us)
                        .for_each(|news| self.learn_of_us(news));
                }
                let about = self.pack(&to);
                self.say(
                    to,
                    at,
                    Talk::Ack {
                        nonce,
                        me: self.me.clone(),
                        about,
                    },
                );
            }
            Talk::Ack { nonce, me, about } if me.who == *from => {
                return self.answered(now, from, nonce, me, about)
            }
            _ if !fellow => return false,
            Talk::Ask { nonce, who, at } => self.ask_for(now, from, nonce, who, at),
            Talk::Nack { nonce } => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.nonce == nonce) {
                    probe.unheard = probe.unheard.saturating_sub(1);
                }
            }
            Talk::Want { after } => self.tell_table(from, &after),
            Talk::Table { about, more } => {
                let last = about.last().map(|news| news.who.name.clone());
                about
                    .into_iter()
                    .for_each(|news| self.learn(now, news, from));
                self.fetch_next(from, last.filter(|_| more));
            }
            Talk::Hello { .. } | Talk::Ping { .. } | Talk::Ack { .. } => return false,
        }
        true
    }

    fn at(&mut self, time: Nanos, due: Due) {
        self.asked += 1;
        self.due.insert((time, self.asked), due);
    }

    fn say(&mut self, to: Life, at: SocketAddr, talk: Talk) {
        self.effects.push_back(Effect::Say { to, at, talk });
    }

    fn told(&mut self, event: Event) {
        self.effects.push_back(Effect::Told(event));
    }

    fn slower(&mut self, by: u32) {
        self.slow = (self.slow + by).min(SLOWEST);
    }

    fn stretched(&self, time: Nanos) -> Nanos {
        time * (1 + self.slow as Nanos)
    }

    fn nonce(&mut self) -> u64 {
        self.chance.rand_u64()
    }

    /// Ends the last question, then asks the next in turn.
    fn period(&mut self, now: Nanos, late: bool) {
        if let Some(probe) = self.probe.take() {
            if probe.answered {
                self.slow = self.slow.saturating_sub(1);
            } else if late {
                self.slower(1);
            } else {
                self.slower(1 + probe.unheard as u32);
                let by = State::Suspected(self.me.who.name.clone());
                if let Some(news) = self
                    .get(&probe.who.name)
                    .filter(|news| news.who == probe.who)
                    .cloned()
                {
                    let by_us = self.me.who.clone();
                    self.learn(now, News { state: by, ..news }, &by_us);
                }
            }
        } else if late {
            self.slower(1);
        }
        self.periods += 1;
        self.look_round();
        if let Some((who, at)) = self.next_in_turn() {
            let (nonce, about) = (self.nonce(), self.pack(&who));
            self.say(
                who.clone(),
                at,
                Talk::Ping {
                    nonce,
                    me: self.me.clone(),
                    about,
                },
            );
            self.probe = Some(Probe {
                nonce,
                who,
                answered: false,
                unheard: 0,
            });
            self.at(
                now + self.stretched(self.rules.answer),
                Due::NoAnswer(nonce),
            );
        }
        self.at(now + self.stretched(self.rules.period), Due::Period);
    }

    fn next_in_turn(&mut self) -> Option<(Life, SocketAddr)> {
        for _ in 0..2 {
            while let Some(name) = self.turn.pop() {
                if let Some(news) = self.get(&name).filter(|news| news.is_there()) {
                    return Some((news.who.clone(), news.at));
                }
            }
            let mut names: Vec<String> = self.peers.living_names().to_vec();
            for n in (1..names.len()).rev() {
                names.swap(n, self.chance.rand_range(0..n as u64 + 1) as usize);
            }
            self.turn = names;
        }
        None
    }

    /// One address that no living fellow has, of the seeds and of those that are gone, gets a hello: each period
    /// while we are alone, else now and then. So a split that heals is noticed from either side.
    fn look_round(&mut self) {
        let alone = self.peers.count_living() == 0;
        if alone || self.periods.is_multiple_of(LOOK) {
            let gone = self
                .peers
                .gone()
                .filter(|peer| peer.news.state == State::Gone);
            let places = self
                .seeds
                .iter()
                .copied()
                .chain(gone.map(|peer| peer.news.at));
            let met = |at: &SocketAddr| *at == self.me.at || self.peers.lives_at(at);
            let places: Vec<SocketAddr> = places.filter(|at| !met(at)).collect();
            if let Some(at) = self.pick(&places) {
                let nobody = Life {
                    name: String::new(),
                    life: 0,
                };
                self.say(
                    nobody,
                    at,
                    Talk::Hello {
                        me: self.me.clone(),
                    },
                );
            }
        }
        if self.periods.is_multiple_of(REFRESH) {
            // From a name drawn by chance on, so that all of the table comes round.
            // A fetch that lost a message ends here.
            self.catching_up.clear();
            let from = self.some(1, None);
            let after = from
                .into_iter()
                .next()
                .map(|(who, _)| who.name)
                .unwrap_or_default();
            for (to, at) in self.some(1, None) {
                self.say(
                    to,
                    at,
                    Talk::Want {
                        after: after.clone(),
                    },
                );
            }
        }
    }

    fn pick<T: Clone>(&mut self, all: &[T]) -> Option<T> {
        let at = self.chance.rand_range(0..all.len().max(1) as u64) as usize;
        all.get(at).cloned()
    }

    /// So many living fellows by chance, without one.
    fn some(&mut self, many: usize, without: Option<&Life>) -> Vec<(Life, SocketAddr)> {
        let without = without.map(|who| who.name.as_str());
        let drawn = self.peers.draw(&mut self.chance, many, without);
        drawn
            .into_iter()
            .map(|news| (news.who.clone(), news.at))
            .collect()
    }

    fn no_answer(&mut self, nonce: u64, late: bool) {
        let Some(probe) = self
            .probe
            .as_ref()
            .filter(|probe| probe.nonce == nonce && !probe.answered)
        else {
            return;
        };
        if late {
            return;
        }
        let who = probe.who.clone();
        let Some(at) = self.get(&who.name).map(|news| news.at) else {
            return;
        };
        let helpers = self.some(self.rules.helpers, Some(&who));
        if let Some(probe) = &mut self.probe {
            probe.unheard = helpers.len();
        }
        for (helper, its) in helpers {
            self.say(
                helper,
                its,
                Talk::Ask {
                    nonce,
                    who: who.clone(),
                    at,
                },
            );
        }
    }

    fn ask_for(&mut self, now: Nanos, asker: &Life, nonce: u64, who: Life, at: SocketAddr) {
        if self.waits.len() >= WAITING || who.name.len() > crate::wire::NAME {
            return;
        }
        let (own, about) = (self.nonce(), self.pack(&who));
        self.waits.insert(
            own,
            Waits::For {
                asker: asker.clone(),
                nonce,
            },
        );
        self.say(
            who,
            at,
            Talk::Ping {
                nonce: own,
                me: self.me.clone(),
                about,
            },
        );
        self.at(now + self.rules.answer, Due::Nack(own));
        self.at(now + 4 * self.rules.period, Due::Expires(own));
    }

    fn nack(&mut self, own: u64) {
        if let Some(Waits::For { asker, nonce }) = self.waits.get(&own) {
            let (asker, nonce) = (asker.clone(), *nonce);
            if let Some(at) = self.get(&asker.name).map(|news| news.at) {
                self.say(asker, at, Talk::Nack { nonce });
            }
        }
    }

    /// A stranger, a new life or one thought gone must answer a number that nobody could know before.
    fn challenge(&mut self, now: Nanos, who: &Life, at: SocketAddr) {
        let known = self.get(&who.name);
        let old = known.is_some_and(|news| who.life < news.who.life);
        let there = known.is_some_and(|news| news.who == *who && news.is_there());
        if old || who.name == self.me.who.name || self.waits.len() >= WAITING {
            return;
        }
        let (nonce, about) = (self.nonce(), self.pack(who));
        if there {
            // It does not know us, or thinks us gone: our ping is its reason to ask us.
            return self.say(
                who.clone(),
                at,
                Talk::Ping {
                    nonce,
                    me: self.me.clone(),
                    about,
                },
            );
        }
        self.waits.insert(nonce, Waits::Stranger(who.clone()));
        self.say(
            who.clone(),
            at,
            Talk::Ping {
                nonce,
                me: self.me.clone(),
                about,
            },
        );
        self.at(now + 4 * self.rules.period, Due::Expires(nonce));
    }

    fn answered(
        &mut self,
        now: Nanos,
        from: &Life,
        nonce: u64,
        me: News,
        about: Vec<News>,
    ) -> bool {
        match self.waits.remove(&nonce) {
            Some(Waits::Stranger(who)) if who == *from => {
                let at = me.at;
                self.learn(now, me, from);
                if self
                    .get(&from.name)
                    .is_some_and(|news| news.who == *from && news.is_there())
                {
                    about
                        .into_iter()
                        .for_each(|news| self.learn(now, news, from));
                    // What happened while we did not know each other.
                    if self.catching_up.len() < WAITING {
                        self.catching_up.insert(from.clone());
                    }
                    self.say(
                        from.clone(),
                        at,
                        Talk::Want {
                            after: String::new(),
                        },
                    );
                }
                return true;
            }
            Some(Waits::For { asker, nonce }) => {
                if let Some(at) = self.get(&asker.name).map(|news| news.at) {
                    self.say(
                        asker,
                        at,
                        Talk::Ack {
                            nonce,
                            me: self.me.clone(),
                            about: vec![me],
                        },
                    );
                }
                return true;
            }
            Some(other) => {
                self.waits.insert(nonce, other);
                return false;
            }
            None => {}
        }
        let Some(probe) = self.probe.as_mut().filter(|probe| probe.nonce == nonce) else {
            return false;
        };
        // From itself, or a helper's word for it.
        let itself = probe.who == *from;
        let for_it = about.first().is_some_and(|news| news.who == probe.who);
        if !itself && !for_it {
            return false;
        }
        probe.answered = true;
        self.learn(now, me, from);
        about
            .into_iter()
            .for_each(|news| self.learn(now, news, from));
        true
    }

    /// The next piece of a table that is fetched whole, if there is one.
    fn fetch_next(&mut self, from: &Life, after: Option<String>) {
        if !self.catching_up.contains(from) {
            return;
        }
        match after.zip(self.get(&from.name).map(|news| news.at)) {
            Some((after, at)) => self.say(from.clone(), at, Talk::Want { after }),
            None => {
                self.catching_up.remove(from);
            }
        }
    }

    fn tell_table(&mut self, to: &Life, after: &str) {
        let Some(at) = self.get(&to.name).map(|news| news.at) else {
            return;
        };
        let mut left = crate::wire::room(&self.me.who, to);
        let mut about = Vec::new();
        let mut rest = self.peers.living_after(after).peekable();
        while let Some((news, _)) = rest.next_if(|(_, size)| take(&mut left, *size)) {
            about.push(news.clone());
        }
        let more = rest.peek().is_some() && !about.is_empty();
        drop(rest);
        self.say(to.clone(), at, Talk::Table { about, more });
    }

    /// News that have been sent least, as many as fit, what the receiver must refute before all.
    fn pack(&mut self, to: &Life) -> Vec<News> {
        // Two news of the largest size stay free, for `me` and what stands round it.
        let mut left = crate::wire::room(&self.me.who, to).saturating_sub(400);
        let often = SENT_ON * (self.peers.len() as f64 + 2.0).log2().ceil() as u32;
        let mut about = Vec::new();
        let peers = &self.peers;
        if let Some((news, size)) = peers.news_with_size(&to.name) {
            let refute = news.state != State::Lives && news.who.life >= to.life;
            if refute && take(&mut left, size) {
                about.push(news.clone());
            }
        }
        self.gossip.fill(often, |name| {
            let Some((news, size)) = peers.news_with_size(name) else {
                return Offer::Obsolete;
            };
            if name == to.name {
                return Offer::Skipped;
            }
            if !take(&mut left, size) {
                return Offer::Misfit;
            }
            about.push(news.clone());
            Offer::Taken
        });
        about
    }

    /// Takes one piece of news in; what says nothing new changes nothing.
    fn learn(&mut self, now: Nanos, news: News, by: &Life) {
        if news.who.name == self.me.who.name {
            return self.learn_of_us(news);
        }
        if news.who.name.is_empty() || news.who.name.len() > crate::wire::NAME {
            return;
        }
        let Some(known) = self.peers.get(&news.who.name) else {
            if news.is_there() && self.make_room() {
                self.enter(now, news);
            }
            return;
        };
        if news.who.life > known.news.who.life {
            if known.news.is_there() {
                let old = known.news.who.clone();
                self.told(Event::Lost(old));
            }
            return self.enter(now, news);
        }
        if news.who.life < known.news.who.life {
            return;
        }
        if confirms(&news, known) {
            return self.confirm(now, news);
        }
        if !news.overrides(&known.news) {
            return;
        }
        let (was, who) = (known.news.is_there(), news.who.clone());
        let was_doubted = matches!(known.news.state, State::Suspected(_));
        let there = news.is_there();
        let (state, round) = (news.state.clone(), news.round);
        // Only its own word moves an address.
        let at = if *by == who { news.at } else { known.news.at };
        self.peers.update(&who.name, |peer| {
            if was != there {
                peer.since = now;
            }
            peer.doubted.clear();
            peer.news = News { at, ..news };
            if let State::Suspected(one) = &peer.news.state {
                peer.doubted.insert(one.clone());
                peer.doubted_at = now;
            }
        });
        self.gossip.add(&who.name);
        if was && !there {
            self.forget_later(now, &who.name);
        }
        match state {
            State::Lives if !was => self.told(Event::Joined(who)),
            State::Lives if was_doubted => self.told(Event::Cleared(who)),
            State::Lives => {}
            State::Suspected(_) => {
                self.told(Event::Suspected(who.clone()));
                self.suspicion(now, who, round);
            }
            State::Gone if was => self.told(Event::Lost(who)),
            State::Left if was => self.told(Event::Left(who)),
            State::Gone | State::Left => {}
        }
    }

    /// One more who suspects the same: passed on as it was heard, so that others can count it, too.
    fn confirm(&mut self, now: Nanos, news: News) {
        let (who, round) = (news.who, news.round);
        self.peers.update(&who.name, |peer| {
            if let State::Suspected(one) = &news.state {
                peer.doubted.insert(one.clone());
            }
            peer.news.state = news.state;
        });
        self.gossip.add(&who.name);
        self.suspicion(now, who, round);
    }

    fn learn_of_us(&mut self, news: News) {
        if news.who.life > self.me.who.life {
            self.me.who.life = news.who.life.saturating_add(1);
            self.me.round = 0;
            let us = self.me.who.clone();
            return self.told(Event::Reborn(us));
        }
        let refutes = matches!(news.state, State::Suspected(_) | State::Gone)
            && self.me.state == State::Lives;
        if news.who.life == self.me.who.life && refutes && news.round >= self.me.round {
            // Our own pings and answers carry it from now on.
            self.me.round = news.round.saturating_add(1);
            self.slower(1);
        }
    }

    fn enter(&mut self, now: Nanos, news: News) {
        let (who, round, state) = (news.who.clone(), news.round, news.state.clone());
        let there = news.is_there();
        let doubted = match &state {
            State::Suspected(by) => BTreeSet::from([by.clone()]),
            _ => BTreeSet::new(),
        };
        self.peers.insert(Peer {
            news,
            since: now,
            doubted,
            doubted_at: now,
        });
        self.gossip.add(&who.name);
        if !there {
            self.forget_later(now, &who.name);
        }
        if there {
            // Somewhere in this round's order, so that it need not wait for the next.
            let at = self.chance.rand_range(0..self.turn.len() as u64 + 1) as usize;
            self.turn.insert(at, who.name.clone());
            self.told(Event::Joined(who.clone()));
        }
        if matches!(state, State::Suspected(_)) {
            self.suspicion(now, who, round);
        }
    }

    /// Whether one more fits; the longest gone makes way.
    fn make_room(&mut self) -> bool {
        if self.peers.len() < self.rules.most {
            return true;
        }
        let longest = self
            .peers
            .gone()
            .min_by_key(|peer| peer.since)
            .map(|peer| peer.news.who.name.clone());
        match longest {
            Some(name) => {
                self.remove(&name);
                true
            }
            None => {
                self.turned_away += 1;
                false
            }
        }
    }

    fn remove(&mut self, name: &str) {
        if self.peers.remove(name) {
            self.effects.push_back(Effect::Forgot(name.to_string()));
        }
    }

    fn forget_later(&mut self, now: Nanos, name: &str) {
        self.at(now + self.rules.keep_gone, Due::Forget(name.to_string()));
    }

    /// Unless it came back, or went again, meanwhile.
    fn forget(&mut self, now: Nanos, name: &str) {
        let keep = self.rules.keep_gone;
        let gone = |peer: &Peer| !peer.news.is_there() && now.saturating_sub(peer.since) >= keep;
        if self.peers.get(name).is_some_and(gone) {
            self.remove(name);
        }
    }

    /// Until when one is suspected: the more others confirm it, the shorter, by Lifeguard's logarithm.
    fn suspicion(&mut self, now: Nanos, who: Life, round: u32) {
        let Some(peer) = self.peers.get(&who.name) else {
            return;
        };
        let many = self.peers.count_living() as f64 + 1.0;
        let least = SUSPECTED * many.log10().max(1.0) * self.rules.period as f64;
        let most = SUSPECTED_AT_MOST * least;
        let confirm = CONFIRM.min((many as usize).saturating_sub(2));
        let others = peer.doubted.len().saturating_sub(1) as f64;
        let shorter = if confirm == 0 {
            1.0
        } else {
            (others + 1.0).ln() / (confirm as f64 + 1.0).ln()
        };
        let wait = (most - (most - least) * shorter).max(least);
        let until = (peer.doubted_at + wait as Nanos).max(now);
        self.at(until, Due::Suspicion(who, round));
    }

    fn condemn(&mut self, now: Nanos, who: Life, round: u32, late: bool) {
        let Some(news) = self
            .get(&who.name)
            .filter(|news| news.who == who && news.round == round)
        else {
            return;
        };
        if !matches!(news.state, State::Suspected(_)) {
            return;
        }
        if late {
            // A refutation may lie unread: one more period.
            return self.at(now + self.rules.period, Due::Suspicion(who, round));
        }
        let (gone, us) = (
            News {
                state: State::Gone,
                ..news.clone()
            },
            self.me.who.clone(),
        );
        self.learn(now, gone, &us);
    }
}

/// Whether this is one more suspicion of the same life and round, of the first few.
fn confirms(news: &News, known: &Peer) -> bool {
    let (State::Suspected(one), State::Suspected(_)) = (&news.state, &known.news.state) else {
        return false;
    };
    news.round == known.news.round && known.doubted.len() < CONFIRM && !known.doubted.contains(one)
}

/// Takes so many bytes of what is left, where they fit.
fn take(left: &mut usize, size: usize) -> bool {
    let fits = size <= *left;
    *left -= if fits { size } else { 0 };
    fits
}
