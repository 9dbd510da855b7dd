//! What processes of the program believe of their own place while relays on loopback cut them off, and some are paused,
//! killed and started again.

use havenplank_emulator::sidecar_processes::{state, SidecarGroup, STEP_TIMEOUT};
use rustix::process::Signal;
use serde_json::Value;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::task::LocalSet;
use tokio::time::sleep;

fn test(many: usize, work: impl AsyncFnOnce(SidecarGroup)) {
    let folder = tempfile::tempdir().expect("a folder");
    let program = Path::new(env!("CARGO_BIN_EXE_havenplank"));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(async {
        work(
            SidecarGroup::start(program, folder.path(), many, true)
                .await
                .expect("sidecars"),
        )
        .await
    }));
}

/// Looks at these until each says so, and no longer than patience lasts.
async fn until(group: &SidecarGroup, ids: &[usize], what: &str, says: impl Fn(&Value) -> bool) {
    let began = Instant::now();
    loop {
        let mut last = Vec::new();
        for id in ids {
            let state = state(group.sidecars[*id].admin).await.expect("its state");
            last.push(state["standing"].clone());
        }
        if last.iter().all(&says) {
            return;
        }
        assert!(began.elapsed() < STEP_TIMEOUT, "{what}: {last:#?}");
        sleep(Duration::from_millis(50)).await;
    }
}

fn is(wanted: &'static str, belong: u64, missing: usize) -> impl Fn(&Value) -> bool {
    move |standing| {
        let missed = standing["missing"].as_array().map_or(0, Vec::len);
        standing["is"] == wanted && standing["belong"] == belong && missed == missing
    }
}

#[test]
fn a_minority_says_that_it_is_few_the_rest_agrees_and_all_do_when_it_is_whole_again() {
    test(6, async |mut group| {
        until(&group, &[0, 1, 2, 3, 4, 5], "whole", is("Agreed", 6, 0)).await;
        let relays = group.relays.as_ref().expect("relays");
        for few in [0, 1] {
            (2..6).for_each(|other| {
                relays.cut(few, other);
                relays.cut(other, few);
            });
        }
        until(&group, &[0, 1], "two of six", is("Few", 6, 4)).await;
        until(&group, &[2, 3, 4, 5], "four of six", is("Agreed", 6, 2)).await;
        // Half of all is no majority, wherever the rest is.
        group.sidecars[5].signal(Signal::STOP).expect("paused");
        until(&group, &[2, 3, 4], "three of six", is("Few", 6, 3)).await;
        group.sidecars[5].signal(Signal::CONT).expect("woken");
        group.relays.as_ref().expect("relays").heal();
        until(&group, &[0, 1, 2, 3, 4, 5], "healed", |standing| {
            standing["is"] == "Agreed" && standing["belong"] == 6
        })
        .await;
        assert!(
            group.sidecars[0].count_log_lines("standing was=Agreed is=Few") >= 1,
            "the fall is logged"
        );
    });
}

#[test]
fn a_goodbye_shrinks_the_fleet_a_kill_does_not_and_a_restart_belongs_as_before() {
    test(5, async |mut group| {
        until(&group, &[0, 1, 2, 3, 4], "whole", is("Agreed", 5, 0)).await;
        group.sidecars[4].signal(Signal::TERM).expect("stopped");
        group.sidecars[4].wait_for_exit().await.expect("its end");
        until(&group, &[0, 1, 2, 3], "one left", is("Agreed", 4, 0)).await;
        for id in [2, 3] {
            group.sidecars[id].signal(Signal::KILL).expect("killed");
        }
        until(&group, &[0, 1], "two of four", is("Few", 4, 2)).await;
        let again = group.launch(2).await.expect("started again");
        group.sidecars[2] = again;
        until(&group, &[0, 1], "three of four", |standing| {
            standing["is"] == "Agreed" && standing["belong"] == 4
        })
        .await;
        until(&group, &[2], "the one that began anew", |standing| {
            standing["is"] != "Alone"
        })
        .await;
    });
}
