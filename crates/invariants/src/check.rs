//! The verdict on each of the five rules, from a ledger in order of time.

use crate::ledger::{Answer, Cold, Entry, Figures, Seen};
use havenplank::interface::{Build, DedupScope, Idempotency, Nanos};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// Broken cases kept with their words; more are only counted.
const CASES: usize = 20;

/// Where a rule was broken.
#[derive(Clone, Debug, Serialize)]
pub struct Case {
    pub at_ms: f64,
    pub what: String,
}

/// What the ledger says of one rule.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    pub rule: &'static str,
    /// How often something came under the rule at all: a rule that nothing tested proves nothing.
    pub tested: u64,
    pub broken: u64,
    /// The nearest approach as a share of the limit; above 1 is broken.
    pub nearest: f64,
    pub cases: Vec<Case>,
}

impl Verdict {
    fn new(rule: &'static str) -> Verdict {
        Verdict {
            rule,
            tested: 0,
            broken: 0,
            nearest: 0.0,
            cases: Vec::new(),
        }
    }

    fn near(&mut self, share: f64) {
        self.tested += 1;
        self.nearest = self.nearest.max(share);
    }

    fn break_it(&mut self, at: Nanos, what: String) {
        self.broken += 1;
        if self.cases.len() < CASES {
            self.cases.push(Case {
                at_ms: at as f64 / 1e6,
                what,
            });
        }
    }
}

struct Ask {
    at: Nanos,
    hit: u64,
    sidecar: String,
    group: usize,
    key: u64,
    left: Nanos,
    answered: Option<(Nanos, Answer)>,
    /// Its forwards, in the order that pods read them, and whether each was turned away unseen.
    forwards: Vec<Forward>,
}

struct Forward {
    at: Nanos,
    pod: (String, u64),
    unseen: bool,
}

struct Pod {
    build: Build,
    zone: String,
    cell: i64,
    up: Nanos,
    cold: Cold,
    /// Work that reached it within the last window.
    work: VecDeque<(Nanos, Nanos)>,
    sum: f64,
}

/// What a sidecar was told and did, by its name: a restart forgets what it was told, not what it sent.
#[derive(Default)]
struct Sidecar {
    /// By pod and life: since when it has been told that nothing new may go there.
    closed: HashMap<(String, u64), Nanos>,
    /// The life last told of each pod.
    lives: HashMap<String, u64>,
    oldest: Option<Build>,
    news: Option<News>,
    /// The cap before it was lowered, and until when it may still be used; forwards count anew from then.
    before: Option<(Build, f64, Nanos)>,
    taken: BTreeMap<usize, VecDeque<Nanos>>,
    sent: HashMap<(Build, usize), VecDeque<Nanos>>,
    bound: HashMap<u64, (Build, Nanos)>,
    killed: Vec<Nanos>,
    stops: Vec<Nanos>,
}

#[derive(Clone)]
struct News {
    build: Build,
    stage: usize,
    phase: String,
    cap: f64,
}

impl Sidecar {
    /// Whether a hit that got no answer was no longer its duty: it was killed while the answer was owed, or
    /// had been told to stop before it could have taken the hit.
    fn excuses(&self, ask: &Ask, figures: &Figures) -> bool {
        let owed = ask.at..=ask.at + ask.left + figures.answer_slack;
        let stopped = |stop: &Nanos| *stop <= ask.at + figures.transit && ask.at <= stop + ask.left;
        self.killed.iter().any(|kill| owed.contains(kill)) || self.stops.iter().any(stopped)
    }

    /// The cap that binds a build now; `None` where it is not on trial.
    fn cap(&self, figures: &Figures, build: Build) -> Option<f64> {
        let first = figures.exposure.caps.first().copied().unwrap_or(0.0);
        match &self.news {
            Some(news) if build > news.build => Some(first),
            Some(news) if build == news.build && news.phase != "released" => Some(news.cap),
            Some(_) => None,
            None => self.oldest.filter(|oldest| build > *oldest).map(|_| first),
        }
    }
}

fn forget(times: &mut VecDeque<Nanos>, before: Nanos) {
    while times.front().is_some_and(|at| *at < before) {
        times.pop_front();
    }
}

struct Court {
    figures: Figures,
    asks: HashMap<u64, Ask>,
    pods: HashMap<(String, u64), Pod>,
    sidecars: HashMap<String, Sidecar>,
    /// Mutating hits that took effect.
    ran: HashSet<u64>,
    answered: Verdict,
    once: Verdict,
    drains: Verdict,
    cold: Verdict,
    exposed: Verdict,
    end: Nanos,
}

/// Checks a ledger that is in order of time and begins with its figures.
///
/// # Errors
/// A ledger without figures, or one that names what it never introduced.
pub fn check(entries: &[Entry]) -> Result<Vec<Verdict>, String> {
    let figures = entries.iter().find_map(|entry| match &entry.seen {
        Seen::Figures(figures) => Some(figures.clone()),
        _ => None,
    });
    let mut court = Court {
        figures: figures.ok_or("no figures; expected an entry of them")?,
        asks: HashMap::new(),
        pods: HashMap::new(),
        sidecars: HashMap::new(),
        ran: HashSet::new(),
        answered: Verdict::new("answered"),
        once: Verdict::new("once"),
        drains: Verdict::new("drains"),
        cold: Verdict::new("cold"),
        exposed: Verdict::new("exposed"),
        end: entries.last().map_or(0, |entry| entry.at),
    };
    for entry in entries {
        court
            .hear(entry)
            .map_err(|what| format!("at {} ns: {what}", entry.at))?;
    }
    court.close();
    let Court {
        answered,
        once,
        drains,
        cold,
        exposed,
        ..
    } = court;
    Ok(vec![answered, once, drains, cold, exposed])
}

impl Court {
    fn hear(&mut self, Entry { at, seen }: &Entry) -> Result<(), String> {
        let at = *at;
        match seen {
            Seen::Figures(_) => {}
            Seen::SidecarUp { sidecar } => {
                let sidecar = self.sidecars.entry(sidecar.clone()).or_default();
                (sidecar.news, sidecar.before, sidecar.oldest) = (None, None, None);
                sidecar.closed.clear();
                sidecar.lives.clear();
                sidecar.bound.clear();
            }
            Seen::SidecarKilled { sidecar } => {
                self.sidecars
                    .entry(sidecar.clone())
                    .or_default()
                    .killed
                    .push(at);
            }
            Seen::SidecarStops { sidecar } => {
                self.sidecars
                    .entry(sidecar.clone())
                    .or_default()
                    .stops
                    .push(at);
            }
            Seen::Asked {
                ask,
                hit,
                sidecar,
                group,
                key,
                left,
            } => {
                if *group >= self.figures.groups.len() {
                    return Err(format!("path group {group}, which the figures do not name"));
                }
                let taken = &mut self.sidecars.entry(sidecar.clone()).or_default().taken;
                let bucket = if self.figures.exposure.per_class {
                    *group
                } else {
                    0
                };
                taken.entry(bucket).or_default().push_back(at);
                let (hit, group, key, left) = (*hit, *group, *key, *left);
                let (sidecar, answered, forwards) = (sidecar.clone(), None, Vec::new());
                self.asks.insert(
                    *ask,
                    Ask {
                        at,
                        hit,
                        sidecar,
                        group,
                        key,
                        left,
                        answered,
                        forwards,
                    },
                );
            }
            Seen::Answered {
                ask,
                answer,
                retry_after,
            } => self.answered(at, *ask, *answer, *retry_after)?,
            Seen::PodUp {
                pod,
                life,
                build,
                zone,
                cell,
                cold,
            } => {
                let (zone, work) = (zone.clone(), VecDeque::new());
                let new = Pod {
                    build: *build,
                    zone,
                    cell: *cell,
                    up: at,
                    cold: *cold,
                    work,
                    sum: 0.0,
                };
                self.pods.insert((pod.clone(), *life), new);
            }
            Seen::PodFell { pod, life } => {
                self.cold.break_it(
                    at,
                    format!("{pod} (life {life}) was pushed over while cold"),
                );
            }
            Seen::Arrived {
                ask,
                sidecar,
                pod,
                life,
                work,
            } => {
                self.arrived(at, *ask, sidecar, &(pod.clone(), *life), *work)?;
            }
            Seen::Unseen { ask, pod, life } => {
                let ask = self.asks.get_mut(ask).ok_or("a forward of nothing asked")?;
                let place = (pod.clone(), *life);
                let found = ask
                    .forwards
                    .iter_mut()
                    .rev()
                    .find(|forward| forward.pod == place);
                found.ok_or("turned away, but never arrived")?.unseen = true;
            }
            Seen::Ran { ask, pod, .. } => {
                let ask = self.asks.get(ask).ok_or("an effect of nothing asked")?;
                // Clients ask again for such a hit only after a bounce, so that one effect is all it may have.
                if self.figures.groups[ask.group].is(Idempotency::NonIdempotent)
                    && !self.ran.insert(ask.hit)
                {
                    self.once
                        .break_it(at, format!("hit {}: took effect again, at {pod}", ask.hit));
                }
            }
            Seen::Gave { ask, pod, life } => self.gave(at, *ask, &(pod.clone(), *life))?,
            Seen::Told {
                sidecar,
                pod,
                life,
                state,
            } => {
                let place = (pod.clone(), *life);
                let build = self.pods.get(&place).map(|pod| pod.build);
                let sidecar = self.sidecars.entry(sidecar.clone()).or_default();
                if let Some(before) = sidecar
                    .lives
                    .insert(pod.clone(), *life)
                    .filter(|before| before != life)
                {
                    // Its place is another's now: whoever goes there by the old address goes to a gone pod.
                    sidecar.closed.entry((pod.clone(), before)).or_insert(at);
                }
                match state.as_str() {
                    "running" => {
                        sidecar.closed.remove(&place);
                        let least = |oldest: Build| build.map_or(oldest, |build| oldest.min(build));
                        sidecar.oldest = sidecar.oldest.map(least).or(build);
                    }
                    _ => {
                        // Told is tested: that nothing came after it is what the rule asks for.
                        self.drains.tested += 1;
                        sidecar.closed.entry(place).or_insert(at);
                    }
                }
            }
            Seen::News {
                sidecar,
                build,
                stage,
                phase,
                cap,
            } => {
                let grace = self.figures.drain_grace;
                let figures = &self.figures;
                let sidecar = self.sidecars.entry(sidecar.clone()).or_default();
                let was = sidecar.cap(figures, *build);
                let (stage, phase) = (*stage, phase.clone());
                sidecar.news = Some(News {
                    build: *build,
                    stage,
                    phase: phase.clone(),
                    cap: *cap,
                });
                let now = sidecar.cap(figures, *build).unwrap_or(1.0);
                let was = was.unwrap_or(1.0);
                if now < was {
                    sidecar.before = Some((*build, was, at + grace));
                }
                if phase == "goingback" || phase == "withdrawn" {
                    sidecar.bound.clear();
                }
            }
        }
        Ok(())
    }

    fn answered(
        &mut self,
        at: Nanos,
        ask: u64,
        answer: Answer,
        retry_after: Nanos,
    ) -> Result<(), String> {
        let number = ask;
        let ask = self
            .asks
            .get_mut(&ask)
            .ok_or("an answer to nothing asked")?;
        if let Some((_, first)) = ask.answered {
            self.answered
                .break_it(at, format!("ask {number}: {answer:?} after {first:?}"));
            return Ok(());
        }
        ask.answered = Some((at, answer));
        let group = &self.figures.groups[ask.group];
        let mut ran = ask.forwards.iter().filter(|forward| !forward.unseen);
        if let (Answer::Bounced, Some(first)) = (answer, ran.next()) {
            let again = at + retry_after;
            let harmless = group.is(Idempotency::Idempotent)
                || (group.is(Idempotency::Keyed)
                    && group.scoped(DedupScope::All)
                    && again < first.at + group.dedup_window + self.figures.transit);
            if !harmless {
                self.once.break_it(
                    at,
                    format!(
                        "ask {number} ({}): bounced, but it may have run",
                        group.name
                    ),
                );
            }
        }
        match answer {
            Answer::Left | Answer::NotTaken => {}
            Answer::Broken | Answer::Missing => {
                let excused = self
                    .sidecars
                    .get(&ask.sidecar)
                    .is_some_and(|s| s.excuses(ask, &self.figures));
                if !excused {
                    let what = format!("ask {number} to {}: {answer:?}", ask.sidecar);
                    self.answered.break_it(at, what);
                }
            }
            Answer::Delivered | Answer::Bounced | Answer::Errored => {
                let took = at - ask.at;
                let most = ask.left + self.figures.answer_slack;
                self.answered.near(took as f64 / most as f64);
                if took > most {
                    let what =
                        format!("ask {number}: {answer:?} {} us late", (took - most) / 1_000);
                    self.answered.break_it(at, what);
                }
            }
        }
        Ok(())
    }

    fn arrived(
        &mut self,
        at: Nanos,
        ask: u64,
        name: &str,
        place: &(String, u64),
        work: Nanos,
    ) -> Result<(), String> {
        let transit = self.figures.transit;
        let number = ask;
        let ask = self
            .asks
            .get_mut(&ask)
            .ok_or("a forward of nothing asked")?;
        let pod = self
            .pods
            .get_mut(place)
            .ok_or("a forward to a pod that never started")?;
        let group = &self.figures.groups[ask.group];
        if ask
            .answered
            .is_some_and(|(answered, how)| how != Answer::Left && at > answered + transit)
        {
            self.answered.break_it(
                at,
                format!("ask {number}: forwarded to {} after its answer", place.0),
            );
        }

        let ran: Vec<&Forward> = ask
            .forwards
            .iter()
            .filter(|forward| !forward.unseen)
            .collect();
        if !group.is(Idempotency::Idempotent) {
            self.once.tested += 1;
        }
        if let Some(first) = ran.first().filter(|_| !group.is(Idempotency::Idempotent)) {
            let whole = group.dedup_window.max(1);
            let (zone, cell) = (pod.zone.clone(), pod.cell);
            let old = self
                .pods
                .get(&first.pod)
                .ok_or("a forward to a pod that never started")?;
            let shares = group.scoped(DedupScope::All)
                || (group.scoped(DedupScope::Zone) && old.zone == zone)
                || (group.scoped(DedupScope::Cell) && old.cell == cell);
            let late = at.saturating_sub(first.at);
            if group.is(Idempotency::Keyed) {
                self.once.nearest = self.once.nearest.max(late as f64 / whole as f64);
            }
            if group.is(Idempotency::NonIdempotent) || !shares || late > whole + transit {
                let what = format!(
                    "ask {number} ({}): again at {} {} us later",
                    group.name,
                    place.0,
                    late / 1_000
                );
                self.once.break_it(at, what);
            }
        }
        ask.forwards.push(Forward {
            at,
            pod: place.clone(),
            unseen: false,
        });

        let sidecar = self.sidecars.entry(name.to_string()).or_default();
        if let Some(told) = sidecar.closed.get(place) {
            let since = at.saturating_sub(*told);
            self.drains
                .near(since as f64 / (self.figures.drain_grace + transit).max(1) as f64);
            if since > self.figures.drain_grace + transit {
                let what = format!(
                    "ask {number}: {name} to {} {} us after it was told",
                    place.0,
                    since / 1_000
                );
                self.drains.break_it(at, what);
            }
        }

        let (window, multiple) = (self.figures.overload_window, self.figures.overload_multiple);
        let pod = self
            .pods
            .get_mut(place)
            .ok_or("a forward to a pod that never started")?;
        pod.work.push_back((at, work));
        pod.sum += work as f64;
        while let Some((_, old)) = pod.work.pop_front_if(|(then, _)| *then + window < at) {
            pod.sum -= old as f64;
        }
        let age = at.saturating_sub(pod.up);
        if age < pod.cold.warm_up {
            let budget = multiple * pod.cold.at(age) * window as f64 / 1e9;
            self.cold.near(pod.sum / budget.max(1.0));
            if pod.sum > budget {
                let over = pod.sum / budget.max(1.0);
                self.cold.break_it(
                    at,
                    format!("{}: {over:.2} times what a cold pod bears", place.0),
                );
            }
        }
        let (build, group, key) = (pod.build, ask.group, ask.key);
        self.exposure(at, number, name, build, group, key);
        Ok(())
    }

    fn exposure(&mut self, at: Nanos, ask: u64, name: &str, build: Build, group: usize, key: u64) {
        let Figures {
            exposure,
            transit,
            groups,
            ..
        } = &self.figures;
        let sidecar = self.sidecars.entry(name.to_string()).or_default();
        let newer = sidecar
            .bound
            .get(&key)
            .filter(|(bound, since)| build < *bound && at > since + transit);
        if let Some((bound, _)) = newer.filter(|_| exposure.sticky_keys && key != 0) {
            self.exposed.break_it(
                at,
                format!("ask {ask}: key {key} to build {build}, answered by {bound}"),
            );
        }
        let Some(cap) = sidecar.cap(&self.figures, build) else {
            return;
        };
        let before = sidecar
            .before
            .filter(|(lowered, _, until)| *lowered == build && at <= until + transit);
        let cap = before.map_or(cap, |(_, was, _)| was.max(cap));
        let news = sidecar.news.as_ref().filter(|news| news.build == build);
        let stage = news.map_or(0, |news| news.stage);
        if stage < exposure.idempotent_only_stages
            && !groups[group].is(Idempotency::Idempotent)
            && before.is_none()
        {
            let what = format!(
                "ask {ask} ({}): to build {build} in stage {stage}",
                groups[group].name
            );
            self.exposed.break_it(at, what);
        }
        if cap <= 0.0 {
            self.exposed.break_it(
                at,
                format!("ask {ask}: {name} to build {build}, which is closed"),
            );
            return;
        }
        let bucket = if exposure.per_class { group } else { 0 };
        let from = at.saturating_sub(exposure.window);
        let taken = sidecar.taken.entry(bucket).or_default();
        forget(taken, from.saturating_sub(*transit));
        let most = exposure.free + cap * taken.len() as f64;
        let sent = sidecar.sent.entry((build, bucket)).or_default();
        sent.push_back(at);
        // A lower cap counts anew from where it began to bind.
        let lowered = sidecar
            .before
            .filter(|(lowered, ..)| *lowered == build)
            .map_or(0, |(.., until)| until);
        forget(sent, from.max(if at > lowered { lowered } else { 0 }));
        let count = sent.len() as f64;
        self.exposed.near(count / most.max(1e-9));
        if count > most {
            let what = format!(
                "ask {ask}: {name} sent {count} to build {build}, {most:.1} allowed (cap {cap})"
            );
            self.exposed.break_it(at, what);
        }
    }

    fn gave(&mut self, at: Nanos, ask: u64, place: &(String, u64)) -> Result<(), String> {
        if !self.figures.exposure.sticky_keys {
            return Ok(());
        }
        let ask = self.asks.get(&ask).ok_or("an answer to nothing asked")?;
        let build = self
            .pods
            .get(place)
            .ok_or("an answer of a pod that never started")?
            .build;
        let sidecar = self.sidecars.entry(ask.sidecar.clone()).or_default();
        let bound = sidecar
            .news
            .as_ref()
            .is_some_and(|news| build >= news.build);
        if bound && ask.key != 0 {
            sidecar.bound.entry(ask.key).or_insert((build, at));
        }
        Ok(())
    }

    /// What only the end shows: hits never answered.
    fn close(&mut self) {
        let mut owed: Vec<(&u64, &Ask)> = self
            .asks
            .iter()
            .filter(|(_, ask)| ask.answered.is_none())
            .collect();
        owed.sort_by_key(|(_, ask)| ask.at);
        for (number, ask) in owed {
            let due = ask.at + ask.left + self.figures.answer_slack;
            let excused = self
                .sidecars
                .get(&ask.sidecar)
                .is_some_and(|s| s.excuses(ask, &self.figures));
            if due < self.end && !excused {
                self.answered
                    .break_it(due, format!("ask {number} to {}: no answer", ask.sidecar));
            }
        }
    }
}
