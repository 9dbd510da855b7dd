//! The quorum state that sidecar processes report while relays on loopback cut connections, and while processes are
//! paused, killed and restarted.

use havenplank_emulator::sidecar_processes::{state, SidecarGroup, STEP_TIMEOUT};
use rustix::process::Signal;
use serde_json::Value;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::task::LocalSet;
use tokio::time::sleep;

/// Starts `count` sidecars with relays between them, and runs `body` with them.
fn run_test(count: usize, body: impl AsyncFnOnce(SidecarGroup)) {
    let folder = tempfile::tempdir().expect("a folder");
    let program = Path::new(env!("CARGO_BIN_EXE_havenplank"));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(async {
        body(
            SidecarGroup::start(program, folder.path(), count, true)
                .await
                .expect("sidecars"),
        )
        .await
    }));
}

/// Waits until the quorum state that each of these sidecars reports meets the condition.
async fn wait_until(
    group: &SidecarGroup,
    ids: &[usize],
    what: &str,
    condition: impl Fn(&Value) -> bool,
) {
    let began = Instant::now();
    loop {
        let mut last = Vec::new();
        for id in ids {
            let state = state(group.sidecars[*id].admin)
                .await
                .expect("a state report");
            last.push(state["standing"].clone());
        }
        if last.iter().all(&condition) {
            return;
        }
        assert!(began.elapsed() < STEP_TIMEOUT, "{what}: {last:#?}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Returns a condition on the reported state: its name, the number of voters and the number of missing ones.
fn reports(state: &'static str, voters: u64, missing_count: usize) -> impl Fn(&Value) -> bool {
    move |standing| {
        let missing = standing["missing"].as_array().map_or(0, Vec::len);
        standing["is"] == state && standing["belong"] == voters && missing == missing_count
    }
}

#[test]
fn a_minority_reports_few_the_majority_agrees_and_all_agree_after_the_connections_are_restored() {
    run_test(6, async |mut group| {
        wait_until(
            &group,
            &[0, 1, 2, 3, 4, 5],
            "all connected",
            reports("Agreed", 6, 0),
        )
        .await;
        let relays = group.relays.as_ref().expect("relays");
        for minority in [0, 1] {
            (2..6).for_each(|other| {
                relays.cut(minority, other);
                relays.cut(other, minority);
            });
        }
        wait_until(&group, &[0, 1], "two of six", reports("Few", 6, 4)).await;
        wait_until(
            &group,
            &[2, 3, 4, 5],
            "four of six",
            reports("Agreed", 6, 2),
        )
        .await;
        // Half of the voters are no majority, whether the others are cut off or paused.
        group.sidecars[5].signal(Signal::STOP).expect("paused");
        wait_until(&group, &[2, 3, 4], "three of six", reports("Few", 6, 3)).await;
        group.sidecars[5].signal(Signal::CONT).expect("resumed");
        group.relays.as_ref().expect("relays").heal();
        wait_until(&group, &[0, 1, 2, 3, 4, 5], "restored", |standing| {
            standing["is"] == "Agreed" && standing["belong"] == 6
        })
        .await;
        assert!(
            group.sidecars[0].count_log_lines("standing was=Agreed is=Few") >= 1,
            "the change to a worse state is logged"
        );
    });
}

#[test]
fn a_graceful_stop_reduces_the_voters_a_kill_does_not_and_a_restarted_sidecar_is_the_same_voter() {
    run_test(5, async |mut group| {
        wait_until(
            &group,
            &[0, 1, 2, 3, 4],
            "all connected",
            reports("Agreed", 5, 0),
        )
        .await;
        group.sidecars[4].signal(Signal::TERM).expect("stopped");
        group.sidecars[4]
            .wait_for_exit()
            .await
            .expect("the process ends");
        wait_until(
            &group,
            &[0, 1, 2, 3],
            "one stopped",
            reports("Agreed", 4, 0),
        )
        .await;
        for id in [2, 3] {
            group.sidecars[id].signal(Signal::KILL).expect("killed");
        }
        wait_until(&group, &[0, 1], "two of four", reports("Few", 4, 2)).await;
        let restarted = group.launch(2).await.expect("restarted");
        group.sidecars[2] = restarted;
        wait_until(&group, &[0, 1], "three of four", |standing| {
            standing["is"] == "Agreed" && standing["belong"] == 4
        })
        .await;
        wait_until(&group, &[2], "the restarted sidecar", |standing| {
            standing["is"] != "Alone"
        })
        .await;
    });
}
