//! Events about releases, from the control plane.

use super::events::Event;
use super::Engine;
use havenplank::interface::{Nanos, Stage, Tally, VoteReply};
use havenplank_line_protocol::control_plane::ClassTally;

impl Engine {
    /// Applies a stage that the control plane announced.
    pub fn update_stage(&mut self, now: Nanos, stage: Stage) {
        self.advance(now);
        self.observe(|| Event::StageChanged(stage));
        self.stage = Some(stage);
        self.router.update_stage(&mut self.host, stage);
    }

    /// Applies the reply to a vote. Ignores a reply to a vote that was answered before or never cast.
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

    /// Applies the control plane's sampled count of the attempts of all sidecars to a build in one route class. Returns
    /// false if the route class is unknown.
    pub fn update_tally(&mut self, now: Nanos, tally: &ClassTally) -> bool {
        let Some(class) = self.route_class(&tally.class) else {
            return false;
        };
        let tally = Tally {
            build: tally.build,
            class,
            count: tally.count,
            failed: tally.failed,
            mean_latency: tally.mean_latency,
            age: tally.age,
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
