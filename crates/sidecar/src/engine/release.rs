//! What the control plane tells the engine of releases.

use super::Engine;
use crate::events::Event;
use havenplank::interface::{Build, Nanos, Stage, Tally, VoteReply};

impl Engine {
    /// Takes in the stage that a release has come to.
    pub fn update_stage(&mut self, now: Nanos, stage: Stage) {
        self.advance(now);
        self.observe(|| Event::StageChanged(stage));
        self.stage = Some(stage);
        self.router.update_stage(&mut self.host, stage);
    }

    /// Takes in the reply to a vote; one that was answered before, or never cast, is passed over.
    pub fn vote_answered(&mut self, now: Nanos, vote: u64, reply: VoteReply) {
        self.advance(now);
        if let Some(on_done) = self.host.votes.remove(&vote) {
            self.observe(|| Event::VoteAnswered {
                vote,
                reply: reply.clone(),
            });
            self.stage = reply.stage.or(self.stage);
            on_done(&mut self.router, &mut self.host, reply);
        }
    }

    /// Takes in what the control plane counted of a build: all and failed requests, their mean latency and the count's
    /// age. Returns false where the route class is not one of the settings.
    pub fn update_tally(
        &mut self,
        now: Nanos,
        build: Build,
        route_class: &str,
        (count, failed): (u64, u64),
        mean_latency: Nanos,
        age: Nanos,
    ) -> bool {
        let Some(group) = self.route_class(route_class) else {
            return false;
        };
        let tally = Tally {
            build,
            group,
            count,
            failed,
            mean_latency,
            age,
        };
        self.record_tally(now, tally);
        true
    }

    pub(super) fn record_tally(&mut self, now: Nanos, tally: Tally) {
        self.advance(now);
        self.observe(|| Event::TallyReported(tally.clone()));
        self.router.update_tally(&mut self.host, tally);
    }
}
