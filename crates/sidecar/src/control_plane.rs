//! Subscribes to the control plane and passes its notifications to the engine.

use crate::shell::Shell;
use havenplank::interface::{Nanos, Stage, VoteReply};
use havenplank_line_protocol::client::{subscribe, Handler, Service};
use havenplank_line_protocol::control_plane::{
    ClassTally, Notification, NotificationParser, Subscriber, PROTOCOL,
};
use havenplank_line_protocol::ProtocolError;
use std::rc::Rc;
use tokio::sync::mpsc;

/// Subscribes to the control plane and sends it the lines from `lines`. Never returns.
pub async fn run(shell: Rc<Shell>, seed: u64, lines: mpsc::Receiver<String>) {
    let settings = &shell.site.control_plane;
    let service = Service {
        protocol: PROTOCOL,
        address: settings.address,
        max_line_bytes: settings.max_line_bytes,
    };
    let mut subscription = Subscription(shell.clone());
    let name = &shell.site.name;
    subscribe::<NotificationParser>(service, name, seed, lines, &mut subscription).await;
}

struct Subscription(Rc<Shell>);

impl Handler<Notification> for Subscription {
    fn connected(&mut self) {
        tracing::info!("control plane connected");
        self.0.control_plane_up.set(true);
    }

    fn received(&mut self, notification: Notification) {
        notification(self);
    }

    /// The last stage stays in force. Votes in flight may still be answered until their timeouts.
    fn disconnected(&mut self, reason: &ProtocolError) {
        tracing::warn!(reason = %reason, "control plane disconnected");
        self.0.control_plane_up.set(false);
    }

    fn unsent(&mut self, _line: String) {}
}

impl Subscriber for Subscription {
    fn update_stage(&mut self, stage: Stage) {
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

    fn vote_answered(&mut self, vote: u64, reply: VoteReply) {
        tracing::info!(vote, receipt = ?reply.receipt, "vote answered");
        self.0
            .call(|engine, now| engine.vote_answered(now, vote, reply));
    }

    fn update_tally(&mut self, tally: ClassTally) {
        let is_known = self.0.call(|engine, now| engine.update_tally(now, &tally));
        if !is_known {
            tracing::info!(
                route_class = tally.class,
                "ignored a tally of an unknown route class"
            );
        }
    }

    fn report_fault(&mut self, pod: String, route_class: String, ago: Nanos) {
        if !self.0.report_fault(&pod, &route_class, ago) {
            tracing::info!(
                pod,
                route_class,
                "ignored a report of a wrong response: unknown pod or route class"
            );
        }
    }
}
