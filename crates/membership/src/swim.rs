//! The decision: who lives, by SWIM with the mends of Lifeguard. No I/O; time and chance are handed in.
//!
//! Each period one fellow is asked in turn, and through helpers where it does not answer; who stays silent is
//! suspected, can refute that with a higher round, and counts as gone otherwise. What is new rides on the pings.
//! Whoever notices that it is slow itself waits longer before it blames others. Nobody is let in on a word alone:
//! a stranger must answer a number drawn for it, so that a repeat of what it once said lets nobody in.
//!
//! Of the three promises (docs/fellows.md) everything here belongs to the last: it holds while enough can talk.

pub use crate::member::{Member, MemberState};
use crate::member::{MemberId, MAX_NAME_BYTES};
use crate::member_table::{Changes, KnownMember, MemberTable};
pub use crate::message::{Effect, MemberEvent, Message};
use crate::update_queue::{Offer, UpdateQueue};
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
    pub ping_timeout: Nanos,
    /// Fellows that are asked to ask, where one does not answer.
    pub indirect_probes: usize,
    /// Fellows known at most, those that are gone among them. Beyond it the longest gone is forgotten, and where
    /// none is gone a newcomer is passed over and counted.
    pub max_members: usize,
    /// How long one that is gone stays known, so that old news does not bring it back.
    pub dead_retention: Nanos,
}

impl Default for Rules {
    fn default() -> Rules {
        let ms = 1_000_000;
        Rules {
            period: 500 * ms,
            ping_timeout: 150 * ms,
            indirect_probes: 3,
            max_members: 4_096,
            dead_retention: 600_000 * ms,
        }
    }
}

/// What comes due; in the order of time, then of asking.
enum Due {
    Period,
    NoAnswer(u64),
    Suspicion(MemberId, u32),
    Nack(u64),
    Expires(u64),
    Forget(String),
}

/// The one that is being asked in this period.
struct Probe {
    nonce: u64,
    id: MemberId,
    answered: bool,
    /// Helpers that said nothing at all, neither yes nor no.
    unheard: usize,
}

/// A question that waits for a stranger's or another's answer.
enum Waits {
    Stranger(MemberId),
    For { asker: MemberId, nonce: u64 },
}

pub struct Membership {
    rules: Rules,
    me: Member,
    /// By name, those that are gone among them; `Rules::max_members` bounds it.
    member_table: MemberTable,
    /// Addresses from the settings.
    seeds: Vec<SocketAddr>,
    /// The order in which fellows are asked, shuffled anew when it is through.
    turn: Vec<String>,
    probe: Option<Probe>,
    /// By nonce; emptied by an answer or a period later, `WAITING` at most.
    waits: BTreeMap<u64, Waits>,
    /// Peers whose whole table is being fetched, piece by piece, `WAITING` at most. A refresh is one piece alone: the
    /// rest of the table behind it would cost more the larger the fleet is.
    catching_up: BTreeSet<MemberId>,
    /// News that ride on pings.
    gossip: UpdateQueue,
    due: BTreeMap<(Nanos, u64), Due>,
    asked: u64,
    periods: u64,
    slow: u32,
    chance: Rand64,
    effects: VecDeque<Effect>,
    /// Newcomers passed over as the table was full.
    pub rejected_joins: u64,
}

impl Membership {
    /// `me` begins as living, in round 0.
    pub fn new(
        now: Nanos,
        seed: u64,
        me: Member,
        seeds: Vec<SocketAddr>,
        rules: Rules,
    ) -> Membership {
        let member_table = MemberTable::new(rules.max_members);
        let mut membership = Membership {
            rules,
            me: Member {
                refutations: 0,
                state: MemberState::Alive,
                ..me
            },
            member_table,
            seeds,
            turn: Vec::new(),
            probe: None,
            waits: BTreeMap::new(),
            catching_up: BTreeSet::new(),
            gossip: UpdateQueue::default(),
            due: BTreeMap::new(),
            asked: 0,
            periods: 0,
            slow: 0,
            chance: Rand64::new(seed as u128),
            effects: VecDeque::new(),
            rejected_joins: 0,
        };
        // Scattered, lest all that start together ask together.
        let first = membership
            .chance
            .rand_range(0..membership.rules.period.max(1));
        membership.schedule(now + first, Due::Period);
        membership
    }

    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Those that live, suspected ones among them, by name; not ourselves.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.member_table.living()
    }

    /// The one that lives and follows this name; behind the last one, the first.
    pub fn alive_after(&self, name: &str) -> Option<&Member> {
        let next = self
            .member_table
            .living_after(name)
            .chain(self.member_table.living_after(""))
            .next();
        next.map(|(member, _)| member)
    }

    pub fn get(&self, name: &str) -> Option<&Member> {
        self.member_table.get(name).map(|peer| &peer.member)
    }

    /// Whether this life is known and not gone.
    pub fn is_alive(&self, id: &MemberId) -> bool {
        self.get(&id.name)
            .is_some_and(|member| member.id == *id && member.is_alive())
    }

    /// Of whom something changed since this was last asked.
    pub fn take_changes(&mut self) -> Changes {
        self.member_table.take_changes()
    }

    /// Rows of the table that were visited so far: a measure of work that is the same on every machine.
    pub fn rows_visited(&self) -> u64 {
        self.member_table.rows_visited()
    }

    /// How slow this sidecar takes itself to be, 0 to 8.
    pub fn health_score(&self) -> u32 {
        self.slow
    }

    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    pub fn next_wake(&self) -> Option<Nanos> {
        self.due.keys().next().map(|(address, _)| *address)
    }

    /// Carries out what is due. Where we come late ourselves, nobody is blamed for an answer that may lie unread.
    pub fn wake(&mut self, now: Nanos) {
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((address, _), due) = entry.remove_entry();
            let late = now - address > self.rules.ping_timeout;
            match due {
                Due::Period => self.period(now, late),
                Due::NoAnswer(nonce) => self.no_answer(nonce, late),
                Due::Suspicion(id, refutations) => self.condemn(now, id, refutations, late),
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
        self.me.state = MemberState::Left;
        let about = vec![self.me.clone()];
        for (to, address) in self.some(self.rules.indirect_probes.max(3), None) {
            self.say(
                to,
                address,
                Message::Table {
                    about: about.clone(),
                    more: false,
                },
            );
        }
    }

    /// What a fellow or a stranger said; false where only fellows have a word in that.
    pub fn heard(&mut self, now: Nanos, from: &MemberId, message: Message) -> bool {
        let fellow = self.is_alive(from);
        match message {
            Message::Join { me } if me.id == *from => self.challenge(now, from, me.address),
            Message::Ping { nonce, me, about } if me.id == *from => {
                let (to, address) = (from.clone(), me.address);
                if fellow {
                    self.learn(now, me, from);
                    about
                        .into_iter()
                        .for_each(|member| self.learn(now, member, from));
                } else {
                    self.challenge(now, from, address);
                    // What a stranger holds against us may be refuted all the same.
                    let us = self.me.id.name.clone();
                    about
                        .into_iter()
                        .filter(|member| member.id.name == us)
                        .for_each(|member| self.learn_of_us(member));
                }
                let about = self.pack(&to);
                self.say(
                    to,
                    address,
                    Message::Ack {
                        nonce,
                        me: self.me.clone(),
                        about,
                    },
                );
            }
            Message::Ack { nonce, me, about } if me.id == *from => {
                return self.answered(now, from, nonce, me, about)
            }
            _ if !fellow => return false,
            Message::PingRequest { nonce, id, address } => {
                self.ask_for(now, from, nonce, id, address)
            }
            Message::Nack { nonce } => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.nonce == nonce) {
                    probe.unheard = probe.unheard.saturating_sub(1);
                }
            }
            Message::TableRequest { after } => self.tell_table(from, &after),
            Message::Table { about, more } => {
                let last = about.last().map(|member| member.id.name.clone());
                about
                    .into_iter()
                    .for_each(|member| self.learn(now, member, from));
                self.fetch_next(from, last.filter(|_| more));
            }
            Message::Join { .. } | Message::Ping { .. } | Message::Ack { .. } => return false,
        }
        true
    }

    fn schedule(&mut self, time: Nanos, due: Due) {
        self.asked += 1;
        self.due.insert((time, self.asked), due);
    }

    fn say(&mut self, to: MemberId, address: SocketAddr, message: Message) {
        self.effects.push_back(Effect::Send {
            to,
            address,
            message,
        });
    }

    fn told(&mut self, event: MemberEvent) {
        self.effects.push_back(Effect::Event(event));
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
                let by = MemberState::Suspected(self.me.id.name.clone());
                if let Some(member) = self
                    .get(&probe.id.name)
                    .filter(|member| member.id == probe.id)
                    .cloned()
                {
                    let by_us = self.me.id.clone();
                    self.learn(
                        now,
                        Member {
                            state: by,
                            ..member
                        },
                        &by_us,
                    );
                }
            }
        } else if late {
            self.slower(1);
        }
        self.periods += 1;
        self.look_round();
        if let Some((id, address)) = self.next_in_turn() {
            let (nonce, about) = (self.nonce(), self.pack(&id));
            self.say(
                id.clone(),
                address,
                Message::Ping {
                    nonce,
                    me: self.me.clone(),
                    about,
                },
            );
            self.probe = Some(Probe {
                nonce,
                id,
                answered: false,
                unheard: 0,
            });
            self.schedule(
                now + self.stretched(self.rules.ping_timeout),
                Due::NoAnswer(nonce),
            );
        }
        self.schedule(now + self.stretched(self.rules.period), Due::Period);
    }

    fn next_in_turn(&mut self) -> Option<(MemberId, SocketAddr)> {
        for _ in 0..2 {
            while let Some(name) = self.turn.pop() {
                if let Some(member) = self.get(&name).filter(|member| member.is_alive()) {
                    return Some((member.id.clone(), member.address));
                }
            }
            let mut names: Vec<String> = self.member_table.living_names().to_vec();
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
        let alone = self.member_table.count_living() == 0;
        if alone || self.periods.is_multiple_of(LOOK) {
            let gone = self
                .member_table
                .gone()
                .filter(|peer| peer.member.state == MemberState::Dead);
            let places = self
                .seeds
                .iter()
                .copied()
                .chain(gone.map(|peer| peer.member.address));
            let met = |address: &SocketAddr| {
                *address == self.me.address || self.member_table.lives_at(address)
            };
            let places: Vec<SocketAddr> = places.filter(|address| !met(address)).collect();
            if let Some(address) = self.pick(&places) {
                let nobody = MemberId {
                    name: String::new(),
                    incarnation: 0,
                };
                self.say(
                    nobody,
                    address,
                    Message::Join {
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
                .map(|(id, _)| id.name)
                .unwrap_or_default();
            for (to, address) in self.some(1, None) {
                self.say(
                    to,
                    address,
                    Message::TableRequest {
                        after: after.clone(),
                    },
                );
            }
        }
    }

    fn pick<T: Clone>(&mut self, all: &[T]) -> Option<T> {
        let address = self.chance.rand_range(0..all.len().max(1) as u64) as usize;
        all.get(address).cloned()
    }

    /// So many living fellows by chance, without one.
    fn some(&mut self, many: usize, without: Option<&MemberId>) -> Vec<(MemberId, SocketAddr)> {
        let without = without.map(|id| id.name.as_str());
        let drawn = self.member_table.draw(&mut self.chance, many, without);
        drawn
            .into_iter()
            .map(|member| (member.id.clone(), member.address))
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
        let id = probe.id.clone();
        let Some(address) = self.get(&id.name).map(|member| member.address) else {
            return;
        };
        let helpers = self.some(self.rules.indirect_probes, Some(&id));
        if let Some(probe) = &mut self.probe {
            probe.unheard = helpers.len();
        }
        for (helper, its) in helpers {
            self.say(
                helper,
                its,
                Message::PingRequest {
                    nonce,
                    id: id.clone(),
                    address,
                },
            );
        }
    }

    fn ask_for(
        &mut self,
        now: Nanos,
        asker: &MemberId,
        nonce: u64,
        id: MemberId,
        address: SocketAddr,
    ) {
        if self.waits.len() >= WAITING || id.name.len() > MAX_NAME_BYTES {
            return;
        }
        let (own, about) = (self.nonce(), self.pack(&id));
        self.waits.insert(
            own,
            Waits::For {
                asker: asker.clone(),
                nonce,
            },
        );
        self.say(
            id,
            address,
            Message::Ping {
                nonce: own,
                me: self.me.clone(),
                about,
            },
        );
        self.schedule(now + self.rules.ping_timeout, Due::Nack(own));
        self.schedule(now + 4 * self.rules.period, Due::Expires(own));
    }

    fn nack(&mut self, own: u64) {
        if let Some(Waits::For { asker, nonce }) = self.waits.get(&own) {
            let (asker, nonce) = (asker.clone(), *nonce);
            if let Some(address) = self.get(&asker.name).map(|member| member.address) {
                self.say(asker, address, Message::Nack { nonce });
            }
        }
    }

    /// A stranger, a new life or one thought gone must answer a number that nobody could know before.
    fn challenge(&mut self, now: Nanos, id: &MemberId, address: SocketAddr) {
        let known = self.get(&id.name);
        let old = known.is_some_and(|member| id.incarnation < member.id.incarnation);
        let there = known.is_some_and(|member| member.id == *id && member.is_alive());
        if old || id.name == self.me.id.name || self.waits.len() >= WAITING {
            return;
        }
        let (nonce, about) = (self.nonce(), self.pack(id));
        if there {
            // It does not know us, or thinks us gone: our ping is its reason to ask us.
            return self.say(
                id.clone(),
                address,
                Message::Ping {
                    nonce,
                    me: self.me.clone(),
                    about,
                },
            );
        }
        self.waits.insert(nonce, Waits::Stranger(id.clone()));
        self.say(
            id.clone(),
            address,
            Message::Ping {
                nonce,
                me: self.me.clone(),
                about,
            },
        );
        self.schedule(now + 4 * self.rules.period, Due::Expires(nonce));
    }

    fn answered(
        &mut self,
        now: Nanos,
        from: &MemberId,
        nonce: u64,
        me: Member,
        about: Vec<Member>,
    ) -> bool {
        match self.waits.remove(&nonce) {
            Some(Waits::Stranger(id)) if id == *from => {
                let address = me.address;
                self.learn(now, me, from);
                if self
                    .get(&from.name)
                    .is_some_and(|member| member.id == *from && member.is_alive())
                {
                    about
                        .into_iter()
                        .for_each(|member| self.learn(now, member, from));
                    // What happened while we did not know each other.
                    if self.catching_up.len() < WAITING {
                        self.catching_up.insert(from.clone());
                    }
                    self.say(
                        from.clone(),
                        address,
                        Message::TableRequest {
                            after: String::new(),
                        },
                    );
                }
                return true;
            }
            Some(Waits::For { asker, nonce }) => {
                if let Some(address) = self.get(&asker.name).map(|member| member.address) {
                    self.say(
                        asker,
                        address,
                        Message::Ack {
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
        let itself = probe.id == *from;
        let for_it = about.first().is_some_and(|member| member.id == probe.id);
        if !itself && !for_it {
            return false;
        }
        probe.answered = true;
        self.learn(now, me, from);
        about
            .into_iter()
            .for_each(|member| self.learn(now, member, from));
        true
    }

    /// The next piece of a table that is fetched whole, if there is one.
    fn fetch_next(&mut self, from: &MemberId, after: Option<String>) {
        if !self.catching_up.contains(from) {
            return;
        }
        match after.zip(self.get(&from.name).map(|member| member.address)) {
            Some((after, address)) => {
                self.say(from.clone(), address, Message::TableRequest { after })
            }
            None => {
                self.catching_up.remove(from);
            }
        }
    }

    fn tell_table(&mut self, to: &MemberId, after: &str) {
        let Some(address) = self.get(&to.name).map(|member| member.address) else {
            return;
        };
        let mut left = crate::frame::room(&self.me.id, to);
        let mut about = Vec::new();
        let mut rest = self.member_table.living_after(after).peekable();
        while let Some((member, _)) = rest.next_if(|(_, size)| take(&mut left, *size)) {
            about.push(member.clone());
        }
        let more = rest.peek().is_some() && !about.is_empty();
        drop(rest);
        self.say(to.clone(), address, Message::Table { about, more });
    }

    /// News that have been sent least, as many as fit, what the receiver must refute before all.
    fn pack(&mut self, to: &MemberId) -> Vec<Member> {
        // Two news of the largest size stay free, for `me` and what stands round it.
        let mut left = crate::frame::room(&self.me.id, to).saturating_sub(400);
        let often = SENT_ON * (self.member_table.len() as f64 + 2.0).log2().ceil() as u32;
        let mut about = Vec::new();
        let member_table = &self.member_table;
        if let Some((member, size)) = member_table.news_with_size(&to.name) {
            let refute =
                member.state != MemberState::Alive && member.id.incarnation >= to.incarnation;
            if refute && take(&mut left, size) {
                about.push(member.clone());
            }
        }
        self.gossip.fill(often, |name| {
            let Some((member, size)) = member_table.news_with_size(name) else {
                return Offer::Obsolete;
            };
            if name == to.name {
                return Offer::Skipped;
            }
            if !take(&mut left, size) {
                return Offer::Misfit;
            }
            about.push(member.clone());
            Offer::Taken
        });
        about
    }

    /// Takes one piece of news in; what says nothing new changes nothing.
    fn learn(&mut self, now: Nanos, member: Member, by: &MemberId) {
        if member.id.name == self.me.id.name {
            return self.learn_of_us(member);
        }
        if member.id.name.is_empty() || member.id.name.len() > MAX_NAME_BYTES {
            return;
        }
        let Some(known) = self.member_table.get(&member.id.name) else {
            if member.is_alive() && self.make_room() {
                self.enter(now, member);
            }
            return;
        };
        if member.id.incarnation > known.member.id.incarnation {
            if known.member.is_alive() {
                let old = known.member.id.clone();
                self.told(MemberEvent::Lost(old));
            }
            return self.enter(now, member);
        }
        if member.id.incarnation < known.member.id.incarnation {
            return;
        }
        if confirms(&member, known) {
            return self.confirm(now, member);
        }
        if !member.overrides(&known.member) {
            return;
        }
        let (was, id) = (known.member.is_alive(), member.id.clone());
        let was_doubted = matches!(known.member.state, MemberState::Suspected(_));
        let there = member.is_alive();
        let (state, refutations) = (member.state.clone(), member.refutations);
        // Only its own word moves an address.
        let address = if *by == id {
            member.address
        } else {
            known.member.address
        };
        self.member_table.update(&id.name, |peer| {
            if was != there {
                peer.since = now;
            }
            peer.doubted.clear();
            peer.member = Member { address, ..member };
            if let MemberState::Suspected(one) = &peer.member.state {
                peer.doubted.insert(one.clone());
                peer.doubted_at = now;
            }
        });
        self.gossip.add(&id.name);
        if was && !there {
            self.forget_later(now, &id.name);
        }
        match state {
            MemberState::Alive if !was => self.told(MemberEvent::Joined(id)),
            MemberState::Alive if was_doubted => self.told(MemberEvent::Refuted(id)),
            MemberState::Alive => {}
            MemberState::Suspected(_) => {
                self.told(MemberEvent::Suspected(id.clone()));
                self.suspicion(now, id, refutations);
            }
            MemberState::Dead if was => self.told(MemberEvent::Lost(id)),
            MemberState::Left if was => self.told(MemberEvent::Left(id)),
            MemberState::Dead | MemberState::Left => {}
        }
    }

    /// One more who suspects the same: passed on as it was heard, so that others can count it, too.
    fn confirm(&mut self, now: Nanos, member: Member) {
        let (id, refutations) = (member.id, member.refutations);
        self.member_table.update(&id.name, |peer| {
            if let MemberState::Suspected(one) = &member.state {
                peer.doubted.insert(one.clone());
            }
            peer.member.state = member.state;
        });
        self.gossip.add(&id.name);
        self.suspicion(now, id, refutations);
    }

    fn learn_of_us(&mut self, member: Member) {
        if member.id.incarnation > self.me.id.incarnation {
            self.me.id.incarnation = member.id.incarnation.saturating_add(1);
            self.me.refutations = 0;
            let us = self.me.id.clone();
            return self.told(MemberEvent::IncarnationRaised(us));
        }
        let refutes = matches!(member.state, MemberState::Suspected(_) | MemberState::Dead)
            && self.me.state == MemberState::Alive;
        if member.id.incarnation == self.me.id.incarnation
            && refutes
            && member.refutations >= self.me.refutations
        {
            // Our own pings and answers carry it from now on.
            self.me.refutations = member.refutations.saturating_add(1);
            self.slower(1);
        }
    }

    fn enter(&mut self, now: Nanos, member: Member) {
        let (id, refutations, state) =
            (member.id.clone(), member.refutations, member.state.clone());
        let there = member.is_alive();
        let doubted = match &state {
            MemberState::Suspected(by) => BTreeSet::from([by.clone()]),
            _ => BTreeSet::new(),
        };
        self.member_table.insert(KnownMember {
            member,
            since: now,
            doubted,
            doubted_at: now,
        });
        self.gossip.add(&id.name);
        if !there {
            self.forget_later(now, &id.name);
        }
        if there {
            // Somewhere in this round's order, so that it need not wait for the next.
            let address = self.chance.rand_range(0..self.turn.len() as u64 + 1) as usize;
            self.turn.insert(address, id.name.clone());
            self.told(MemberEvent::Joined(id.clone()));
        }
        if matches!(state, MemberState::Suspected(_)) {
            self.suspicion(now, id, refutations);
        }
    }

    /// Whether one more fits; the longest gone makes way.
    fn make_room(&mut self) -> bool {
        if self.member_table.len() < self.rules.max_members {
            return true;
        }
        let longest = self
            .member_table
            .gone()
            .min_by_key(|peer| peer.since)
            .map(|peer| peer.member.id.name.clone());
        match longest {
            Some(name) => {
                self.remove(&name);
                true
            }
            None => {
                self.rejected_joins += 1;
                false
            }
        }
    }

    fn remove(&mut self, name: &str) {
        if self.member_table.remove(name) {
            self.effects.push_back(Effect::Forget(name.to_string()));
        }
    }

    fn forget_later(&mut self, now: Nanos, name: &str) {
        self.schedule(
            now + self.rules.dead_retention,
            Due::Forget(name.to_string()),
        );
    }

    /// Unless it came back, or went again, meanwhile.
    fn forget(&mut self, now: Nanos, name: &str) {
        let keep = self.rules.dead_retention;
        let gone =
            |peer: &KnownMember| !peer.member.is_alive() && now.saturating_sub(peer.since) >= keep;
        if self.member_table.get(name).is_some_and(gone) {
            self.remove(name);
        }
    }

    /// Until when one is suspected: the more others confirm it, the shorter, by Lifeguard's logarithm.
    fn suspicion(&mut self, now: Nanos, id: MemberId, refutations: u32) {
        let Some(peer) = self.member_table.get(&id.name) else {
            return;
        };
        let many = self.member_table.count_living() as f64 + 1.0;
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
        self.schedule(until, Due::Suspicion(id, refutations));
    }

    fn condemn(&mut self, now: Nanos, id: MemberId, refutations: u32, late: bool) {
        let Some(member) = self
            .get(&id.name)
            .filter(|member| member.id == id && member.refutations == refutations)
        else {
            return;
        };
        if !matches!(member.state, MemberState::Suspected(_)) {
            return;
        }
        if late {
            // A refutation may lie unread: one more period.
            return self.schedule(now + self.rules.period, Due::Suspicion(id, refutations));
        }
        let (gone, us) = (
            Member {
                state: MemberState::Dead,
                ..member.clone()
            },
            self.me.id.clone(),
        );
        self.learn(now, gone, &us);
    }
}

/// Whether this is one more suspicion of the same life and round, of the first few.
fn confirms(member: &Member, known: &KnownMember) -> bool {
    let (MemberState::Suspected(one), MemberState::Suspected(_)) =
        (&member.state, &known.member.state)
    else {
        return false;
    };
    member.refutations == known.member.refutations
        && known.doubted.len() < CONFIRM
        && !known.doubted.contains(one)
}

/// Takes so many bytes of what is left, where they fit.
fn take(left: &mut usize, size: usize) -> bool {
    let fits = size <= *left;
    *left -= if fits { size } else { 0 };
    fits
}
