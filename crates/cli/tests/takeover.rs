//! Takeover of requests between sidecar processes that are killed, paused and stopped with requests in flight.

use havenplank_emulator::relay::NetworkFaults;
use havenplank_emulator::sidecar_processes::{
    send_with_key, state, PendingRequest, SidecarGroup, STEP_TIMEOUT,
};
use oorandom::Rand64;
use rustix::process::Signal;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

/// Starts `count` sidecars that have joined each other, and runs `body` with them. If `relayed`, relays connect them.
fn run_test(count: usize, relayed: bool, body: impl AsyncFnOnce(SidecarGroup)) {
    let folder = tempfile::tempdir().expect("a folder");
    let program = Path::new(env!("CARGO_BIN_EXE_havenplank"));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(async {
        body(
            SidecarGroup::start(program, folder.path(), count, relayed)
                .await
                .expect("sidecars"),
        )
        .await
    }));
}

#[test]
fn requests_of_a_killed_sidecar_are_finished_by_others_and_any_sidecar_returns_the_response() {
    run_test(4, true, async |mut group| {
        let pending = group
            .start_requests(0, 16, 0)
            .await
            .expect("requests in flight");
        group.sidecars[0].signal(Signal::KILL).expect("killed");
        let mut retries = Vec::new();
        for (n, request) in pending.into_iter().enumerate() {
            let (name, path) = (request.name, request.path);
            assert_eq!(
                request.answer.await.expect("a task"),
                None,
                "{name}: the connection broke when the sidecar was killed"
            );
            // Some clients retry before the loss is noticed and some later, each at another sidecar.
            let (address, delay) = (
                group.sidecars[1 + n % 3].listen,
                Duration::from_millis(n as u64 % 4 * 400),
            );
            let key = name.clone();
            let answer = spawn_local(async move {
                sleep(delay).await;
                send_with_key(address, path, &key, vec![7; 20])
                    .await
                    .expect("a response")
            });
            retries.push((name, path, answer));
        }
        for (name, path, answer) in retries {
            let (status, body) = answer.await.expect("a task");
            assert_eq!(group.pods.run_count(&name), 1, "{name} ran once");
            match path {
                "/tagged" => assert_eq!((status, body), (200, format!("{name} done, 20 bytes"))),
                // The request ran and may not run again, so the response only says that it may have run.
                _ => assert_eq!(status, 502, "{name}: {body}"),
            }
        }
        let taken: usize = group.sidecars[1..]
            .iter_mut()
            .map(|sidecar| sidecar.count_log_lines("request taken over"))
            .sum();
        assert_eq!(taken, 16, "each request is taken over once");
    });
}

#[test]
fn a_paused_sidecar_finds_its_leases_lost_and_its_clients_get_the_response_of_the_new_owner() {
    run_test(4, true, async |mut group| {
        let pending = group
            .start_requests(2, 8, 0)
            .await
            .expect("requests in flight");
        group.sidecars[2].signal(Signal::STOP).expect("paused");
        let began = Instant::now();
        while [0, 1, 3]
            .iter()
            .map(|id| group.sidecars[*id].count_log_lines("finished a request that was taken over"))
            .sum::<usize>()
            < 8
        {
            assert!(
                began.elapsed() < STEP_TIMEOUT,
                "the other sidecars did not finish all requests"
            );
            sleep(Duration::from_millis(5)).await;
        }
        group.sidecars[2].signal(Signal::CONT).expect("resumed");
        for request in pending {
            let answer = request.answer.await.expect("a task").expect("a response");
            assert_eq!(
                group.pods.run_count(&request.name),
                1,
                "{} ran once",
                request.name
            );
            // Responses of the pods may have waited in the sockets of the paused sidecar; it may return these as well.
            assert!(
                answer.0 == 200 || request.path == "/mutating",
                "{}: {answer:?}",
                request.name
            );
        }
    });
}

#[test]
fn a_retry_joins_the_running_request_and_another_request_with_the_same_key_is_rejected() {
    // Without relays, and with bodies of 20,000 bytes, which do not fit into a datagram.
    run_test(4, false, async |group| {
        for path in ["/tagged", "/mutating"] {
            let name = format!("{}-twice", &path[1..]);
            let retries = (0..4).map(|id| {
                let (address, name) = (group.sidecars[id].listen, name.clone());
                spawn_local(async move {
                    sleep(Duration::from_millis(id as u64 * 60)).await;
                    send_with_key(address, path, &name, vec![7; 20_000]).await
                })
            });
            for answer in retries.collect::<Vec<_>>() {
                let expected = (200, format!("{name} done, 20000 bytes"));
                assert_eq!(answer.await.expect("a task"), Some(expected));
            }
            assert_eq!(group.pods.run_count(&name), 1);
            let other = send_with_key(group.sidecars[3].listen, path, &name, vec![8; 20_000])
                .await
                .expect("a response");
            assert_eq!(other.0, 422, "{other:?}");
        }
        let address = group.sidecars[0].listen;
        assert_eq!(
            send_with_key(address, "/behind", "query", Vec::new())
                .await
                .map(|answer| answer.0),
            Some(200)
        );
    });
}

#[test]
fn no_request_runs_twice_and_each_client_gets_one_response_when_sidecars_are_killed() {
    run_test(6, true, async |mut group| {
        group
            .relays
            .as_ref()
            .expect("relays")
            .set_faults(NetworkFaults {
                loss: 0.1,
                duplicate: 0.1,
                ..NetworkFaults::default()
            });
        group.pods.work.set(Duration::from_millis(150));
        let mut rng = Rand64::new(11);
        let mut answers = Vec::new();
        for n in 0..120 {
            let path = ["/tagged", "/mutating"][n % 2];
            let name = format!("{}-{n}", &path[1..]);
            // Kills one sidecar, and later two at the same moment, which may be the owner and a backup of a request.
            if n == 40 || n == 70 {
                let kill_count = if n == 40 { 1 } else { 2 };
                (0..kill_count).for_each(|k| {
                    group.sidecars[n / 20 + k]
                        .signal(Signal::KILL)
                        .expect("killed")
                });
            }
            let addresses: Vec<_> = group
                .sidecars
                .iter()
                .map(|sidecar| sidecar.listen)
                .collect();
            let mut next = rng.rand_range(0..6) as usize;
            answers.push((
                name.clone(),
                spawn_local(async move {
                    // The client tries one sidecar after the other with the same key, until a status is not 503.
                    loop {
                        match send_with_key(addresses[next % 6], path, &name, vec![1; 10]).await {
                            Some((status, _)) if status != 503 => return status,
                            _ => sleep(Duration::from_millis(30)).await,
                        }
                        next += 1;
                    }
                }),
            ));
            sleep(Duration::from_millis(rng.rand_range(1..10))).await;
        }
        let (mut delivered, mut failed) = (0, 0);
        for (name, answer) in answers {
            let status = answer.await.expect("a task");
            let ran = group.pods.run_count(&name);
            assert!(ran <= 1, "{name} ran {ran} times");
            match status {
                200 => assert_eq!(
                    (ran, delivered += 1).0,
                    1,
                    "{name} was delivered but never ran"
                ),
                502 | 504 => failed += 1,
                status => panic!("{name}: {status}"),
            }
        }
        let taken: usize = group
            .sidecars
            .iter_mut()
            .map(|sidecar| sidecar.count_log_lines("request taken over"))
            .sum();
        assert!(
            taken > 0,
            "no request was taken over, so the kills hit no request in flight"
        );
        assert!(
            delivered >= 100 && delivered + failed == 120,
            "{delivered} delivered, {failed} failed"
        );
    });
}

/// Retries these requests with their keys at these sidecars in turn, and returns the status of each response.
async fn retry_all(
    group: &SidecarGroup,
    pending: Vec<PendingRequest>,
    ids: &[usize],
) -> Vec<(String, &'static str, u16)> {
    let mut answers = Vec::new();
    for (n, request) in pending.into_iter().enumerate() {
        let (name, path, address) = (
            request.name,
            request.path,
            group.sidecars[ids[n % ids.len()]].listen,
        );
        let key = name.clone();
        let answer = spawn_local(async move {
            send_with_key(address, path, &key, vec![7; 20])
                .await
                .expect("a response")
        });
        answers.push((name, path, answer));
    }
    let mut statuses = Vec::new();
    for (name, path, answer) in answers {
        statuses.push((name, path, answer.await.expect("a task").0));
    }
    statuses
}

/// Checks that each request ran once, and that its status is 200, or 502 for a request that is not idempotent.
fn assert_each_ran_once(group: &SidecarGroup, statuses: &[(String, &str, u16)]) {
    for (name, path, status) in statuses {
        assert_eq!(group.pods.run_count(name), 1, "{name} ran once");
        assert!(
            *status == 200 || (*path == "/mutating" && *status == 502),
            "{name}: {status}"
        );
    }
}

#[test]
fn no_request_runs_twice_when_a_backup_dies_with_the_owner_and_another_dies_during_the_takeover() {
    run_test(6, true, async |mut group| {
        let pending = group
            .start_requests(0, 12, 0)
            .await
            .expect("requests in flight");
        // Two of six die together, so a request loses its owner and at most one of the 3 backups among the other five.
        [0, 1]
            .iter()
            .for_each(|id| group.sidecars[*id].signal(Signal::KILL).expect("killed"));
        let began = Instant::now();
        let new_owner = loop {
            assert!(began.elapsed() < STEP_TIMEOUT, "no sidecar took over");
            if let Some(id) =
                (2..6).find(|id| group.sidecars[*id].count_log_lines("request taken over") > 0)
            {
                break id;
            }
            sleep(Duration::from_millis(1)).await;
        };
        group.sidecars[new_owner]
            .signal(Signal::KILL)
            .expect("killed");
        let others: Vec<usize> = (2..6).filter(|id| *id != new_owner).collect();
        let statuses = retry_all(&group, pending, &others).await;
        // A request with two of its three backups dead is never taken over. The response to its client says that it may
        // have run, or that its state is unknown and a retry is harmless.
        for (name, path, status) in &statuses {
            assert!(group.pods.run_count(name) <= 1, "{name} ran twice");
            assert!(
                [200, 502, 503, 504].contains(status),
                "{name} at {path}: {status}"
            );
        }
        assert!(
            statuses
                .iter()
                .filter(|(_, path, status)| *path == "/tagged" && *status == 200)
                .count()
                >= 3
        );
    });
}

#[test]
fn a_sidecar_cut_off_in_both_directions_or_in_one_gives_up_its_requests() {
    run_test(5, true, async |group| {
        for (round, (id, only_inbound)) in [(1, false), (2, true)].into_iter().enumerate() {
            let pending = group
                .start_requests(id, 8, round)
                .await
                .expect("requests in flight");
            let relays = group.relays.as_ref().expect("relays");
            match only_inbound {
                true => (0..5)
                    .filter(|other| *other != id)
                    .for_each(|other| relays.cut(other, id)),
                false => relays.isolate(id),
            }
            // The pods still respond to the cut-off sidecar. Its clients get that response or the one of a takeover.
            let mut statuses = Vec::new();
            for request in pending {
                let (status, _) = request.answer.await.expect("a task").expect("a response");
                statuses.push((request.name, request.path, status));
            }
            assert_each_ran_once(&group, &statuses);
            // New requests get no backup and are counted as such. Keyed requests are served, since pods drop repeats.
            // Non-idempotent ones are rejected, since another sidecar may already run them.
            for (path, expected) in [("/tagged", (200, 1)), ("/mutating", (503, 0))] {
                let name = format!("alone-{round}-{}", &path[1..]);
                let response = send_with_key(group.sidecars[id].listen, path, &name, vec![7; 20])
                    .await
                    .expect("a response");
                assert_eq!(
                    (response.0, group.pods.run_count(&name)),
                    expected,
                    "{path}"
                );
            }
            let state = state(group.sidecars[id].admin)
                .await
                .expect("a state report");
            assert!(state["takeover"]["unguarded"].as_u64() > Some(0), "{state}");
            group.relays.as_ref().expect("relays").heal();
        }
    });
}

#[test]
fn no_request_runs_twice_when_all_sidecars_pause_in_turn_with_late_and_duplicated_datagrams() {
    run_test(4, true, async |group| {
        let faults = NetworkFaults {
            loss: 0.1,
            duplicate: 0.2,
            delay: Duration::from_millis(80),
        };
        group.relays.as_ref().expect("relays").set_faults(faults);
        let addresses: Vec<_> = group
            .sidecars
            .iter()
            .map(|sidecar| sidecar.listen)
            .collect();
        let mut answers = Vec::new();
        for (n, sidecar) in group.sidecars.iter().enumerate() {
            for k in 0..6 {
                let (path, address) = (["/tagged", "/mutating"][k % 2], addresses[(n + k) % 4]);
                let name = format!("{}-{n}-{k}", &path[1..]);
                let key = name.clone();
                answers.push((
                    name,
                    path,
                    spawn_local(
                        async move { send_with_key(address, path, &key, vec![7; 20]).await },
                    ),
                ));
            }
            sleep(Duration::from_millis(50)).await;
            // One pause is longer than a tenth of a lease, the other longer than a lease.
            for (pause_ms, run_ms) in [(60, 100), (900, 300)] {
                sidecar.signal(Signal::STOP).expect("paused");
                sleep(Duration::from_millis(pause_ms)).await;
                sidecar.signal(Signal::CONT).expect("resumed");
                sleep(Duration::from_millis(run_ms)).await;
            }
        }
        let mut delivered = 0;
        for (name, _, answer) in answers {
            let (status, _) = answer.await.expect("a task").expect("a response");
            assert!(group.pods.run_count(&name) <= 1, "{name} ran twice");
            assert!([200, 502, 503, 504].contains(&status), "{name}: {status}");
            delivered += (status == 200) as usize;
        }
        assert!(delivered >= 12, "{delivered} of 24 delivered");
    });
}

#[test]
fn a_rolling_restart_responds_to_all_accepted_requests_without_a_takeover() {
    run_test(4, true, async |mut group| {
        for id in 0..4 {
            let pending = group
                .start_requests(id, 6, id)
                .await
                .expect("requests in flight");
            group.sidecars[id]
                .signal(Signal::TERM)
                .expect("SIGTERM is sent");
            for request in pending {
                let answer = request.answer.await.expect("a task").expect("a response");
                assert_eq!(
                    (answer.0, group.pods.run_count(&request.name)),
                    (200, 1),
                    "{}",
                    request.name
                );
            }
            group.sidecars[id]
                .wait_for_exit()
                .await
                .expect("the process ends");
            let taken: usize = group
                .sidecars
                .iter_mut()
                .map(|sidecar| sidecar.count_log_lines("request taken over"))
                .sum();
            assert_eq!(taken, 0);
            let restarted = group.launch(id).await.expect("restarted");
            group.sidecars[id] = restarted;
            // Sidecar 0 has only its own address as the first contact; the others reconnect to it.
            group.sidecars[id]
                .wait_for_log("member joined", 3)
                .await
                .expect("all others joined");
        }
    });
}

#[test]
fn no_request_runs_twice_and_each_client_gets_a_response_when_seven_of_ten_are_killed_at_once() {
    run_test(10, true, async |group| {
        // Pods hold the requests that arrive before the kill for longer than a client waits. So none gets a response
        // before the kill, however long the requests take to start.
        let usual_work = group.pods.work.replace(Duration::from_secs(20));
        let mut pending = Vec::new();
        for id in 0..7 {
            pending.extend(
                group
                    .start_requests(id, 4, 0)
                    .await
                    .expect("requests in flight"),
            );
        }
        (0..7).for_each(|id| group.sidecars[id].signal(Signal::KILL).expect("killed"));
        group.pods.work.set(usual_work);
        let statuses = retry_all(&group, pending, &[7, 8, 9]).await;
        // Most requests lost two of their three backups. These may never be taken over, but none may run again.
        for (name, path, status) in &statuses {
            assert_eq!(
                group.pods.run_count(name),
                1,
                "{name} ran once, before the kill"
            );
            assert!(
                [200, 502, 503, 504].contains(status),
                "{name} at {path}: {status}"
            );
        }
        assert!(statuses
            .iter()
            .all(|(_, path, status)| *path == "/tagged" || *status != 200));
    });
}
