//! What the control plane says on its line protocol, handed to the engine.

use crate::shell::Shell;
use havenplank::interface::{Build, Nanos, Stage, VoteReply};
use havenplank_line_protocol::desk;
use havenplank_line_protocol::follow::{follow, Link};
use havenplank_line_protocol::FeedError;
use std::rc::Rc;
use tokio::sync::mpsc;

/// Follows the control plane, sending it the lines that come; never ends.
pub async fn run(shell: Rc<Shell>, seed: u64, lines: mpsc::Receiver<String>) {
    let (server, name) = (&shell.site.desk, &shell.site.name);
    let feed = (desk::FEED, server.address, server.line_bytes);
    let mut link = ControlPlaneLink(shell.clone());
    follow::<desk::Telling>(feed, name, seed, lines, &mut link).await;
}

struct ControlPlaneLink(Rc<Shell>);

impl Link<desk::Call> for ControlPlaneLink {
    fn up(&mut self) {
        tracing::info!("release desk connected");
        self.0.control_plane_up.set(true);
    }

    fn said(&mut self, call: desk::Call) {
        call(self);
    }

    /// The last stage stays in force; votes that wait have their time to be answered.
    fn down(&mut self, why: &FeedError) {
        tracing::warn!(%why, "release desk lost");
        self.0.control_plane_up.set(false);
    }

    fn unsent(&mut self, _line: String) {}
}

impl desk::Hears for ControlPlaneLink {
    fn stage(&mut self, stage: Stage) {
        let Stage {
            build,
            stage: number,
            phase,
            cap,
            ..
        } = stage;
        tracing::info!(build, stage = number, ?phase, cap, "stage");
        self.0.call(|engine, now| engine.update_stage(now, stage));
    }

    fn voted(&mut self, vote: u64, reply: VoteReply) {
        tracing::info!(vote, receipt = ?reply.receipt, "vote answered");
        self.0
            .call(|engine, now| engine.vote_answered(now, vote, reply));
    }

    fn tally(
        &mut self,
        build: Build,
        route_class: String,
        counts: (u64, u64),
        mean_latency: Nanos,
        age: Nanos,
    ) {
        let is_known = self.0.call(|engine, now| {
            engine.update_tally(now, build, &route_class, counts, mean_latency, age)
        });
        if !is_known {
            tracing::info!(route_class, "tally of an unknown path group passed over");
        }
    }

    fn flagged(&mut self, pod: String, route_class: String, ago: Nanos) {
        if !self.0.report_fault(&pod, &route_class, ago) {
            tracing::info!(
                pod,
                route_class,
                "flagged answer of an unknown pod or path group passed over"
            );
        }
    }
}
