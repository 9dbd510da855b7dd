//! Work in hand over processes of the program: sidecars killed, paused and stopped in the middle of hits.

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

/// Runs with so many sidecars that know each other.
fn test(many: usize, relayed: bool, work: impl AsyncFnOnce(SidecarGroup)) {
    let folder = tempfile::tempdir().expect("a folder");
    let program = Path::new(env!("CARGO_BIN_EXE_havenplank"));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(async {
        work(
            SidecarGroup::start(program, folder.path(), many, relayed)
                .await
                .expect("sidecars"),
        )
        .await
    }));
}

#[test]
fn work_of_a_killed_sidecar_is_finished_by_another_and_its_client_finds_the_answer_anywhere() {
    test(4, true, async |mut group| {
        let asked = group.start_requests(0, 16, 0).await.expect("hits");
        group.sidecars[0].signal(Signal::KILL).expect("killed");
        let mut back = Vec::new();
        for (n, asked) in asked.into_iter().enumerate() {
            let (name, path) = (asked.name, asked.path);
            assert_eq!(
                asked.answer.await.expect("a task"),
                None,
                "{name}: killed in the middle"
            );
            // Some come back before the loss is noticed, some later, each to another sidecar.
            let (at, after) = (
                group.sidecars[1 + n % 3].listen,
                Duration::from_millis(n as u64 % 4 * 400),
            );
            let sent = name.clone();
            let answer = spawn_local(async move {
                sleep(after).await;
                send_with_key(at, path, &sent, vec![7; 20])
                    .await
                    .expect("an answer")
            });
            back.push((name, path, answer));
        }
        for (name, path, answer) in back {
            let (status, body) = answer.await.expect("a task");
            assert_eq!(group.pods.run_count(&name), 1, "{name} ran once");
            match path {
                "/tagged" => assert_eq!((status, body), (200, format!("{name} done, 20 bytes"))),
                // It ran, and nobody may run it again, so that all that can be said is that it may have.
                _ => assert_eq!(status, 502, "{name}: {body}"),
            }
        }
        let taken: usize = group.sidecars[1..]
            .iter_mut()
            .map(|sidecar| sidecar.count_log_lines("request taken over"))
            .sum();
        assert_eq!(taken, 16, "each once");
    });
}

#[test]
fn a_paused_sidecar_finds_its_right_lost_and_its_clients_get_the_answer_of_who_took_over() {
    test(4, true, async |mut group| {
        let asked = group.start_requests(2, 8, 0).await.expect("hits");
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
                "not all was finished by the others"
            );
            sleep(Duration::from_millis(5)).await;
        }
        group.sidecars[2].signal(Signal::CONT).expect("goes on");
        for asked in asked {
            let answer = asked.answer.await.expect("a task").expect("an answer");
            assert_eq!(
                group.pods.run_count(&asked.name),
                1,
                "{} ran once",
                asked.name
            );
            // What the pods had answered lay in its sockets when it woke, and is as good.
            assert!(
                answer.0 == 200 || asked.path == "/mutating",
                "{}: {answer:?}",
                asked.name
            );
        }
    });
}

#[test]
fn a_client_that_comes_back_joins_the_work_and_another_hit_under_its_key_is_refused() {
    // Without relays, and with hits that no datagram takes.
    test(4, false, async |group| {
        for path in ["/tagged", "/mutating"] {
            let name = format!("{}-twice", &path[1..]);
            let all = (0..4).map(|id| {
                let (at, name) = (group.sidecars[id].listen, name.clone());
                spawn_local(async move {
                    sleep(Duration::from_millis(id as u64 * 60)).await;
                    send_with_key(at, path, &name, vec![7; 20_000]).await
                })
            });
            for answer in all.collect::<Vec<_>>() {
                let wanted = (200, format!("{name} done, 20000 bytes"));
                assert_eq!(answer.await.expect("a task"), Some(wanted));
            }
            assert_eq!(group.pods.run_count(&name), 1);
            let other = send_with_key(group.sidecars[3].listen, path, &name, vec![8; 20_000])
                .await
                .expect("an answer");
            assert_eq!(other.0, 422, "{other:?}");
        }
        let at = group.sidecars[0].listen;
        assert_eq!(
            send_with_key(at, "/behind", "query", Vec::new())
                .await
                .map(|answer| answer.0),
            Some(200)
        );
    });
}

#[test]
fn whatever_is_killed_at_whatever_moment_no_hit_runs_twice_and_each_client_gets_one_answer() {
    test(6, true, async |mut group| {
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
        let mut chance = Rand64::new(11);
        let mut answers = Vec::new();
        for n in 0..120 {
            let path = ["/tagged", "/mutating"][n % 2];
            let name = format!("{}-{n}", &path[1..]);
            // Two at one moment die together in the middle, which may be a holder and its guardian.
            if n == 40 || n == 70 {
                let many = if n == 40 { 1 } else { 2 };
                (0..many).for_each(|k| {
                    group.sidecars[n / 20 + k]
                        .signal(Signal::KILL)
                        .expect("killed")
                });
            }
            let ats: Vec<_> = group
                .sidecars
                .iter()
                .map(|sidecar| sidecar.listen)
                .collect();
            let mut at = chance.rand_range(0..6) as usize;
            answers.push((
                name.clone(),
                spawn_local(async move {
                    // A client tries one sidecar after the other, always with its key, until one has its answer.
                    loop {
                        match send_with_key(ats[at % 6], path, &name, vec![1; 10]).await {
                            Some((status, _)) if status != 503 => return status,
                            _ => sleep(Duration::from_millis(30)).await,
                        }
                        at += 1;
                    }
                }),
            ));
            sleep(Duration::from_millis(chance.rand_range(1..10))).await;
        }
        let (mut delivered, mut errored) = (0, 0);
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
                502 | 504 => errored += 1,
                status => panic!("{name}: {status}"),
            }
        }
        let taken: usize = group
            .sidecars
            .iter_mut()
            .map(|sidecar| sidecar.count_log_lines("request taken over"))
            .sum();
        assert!(taken > 0, "the kills found no work in hand");
        assert!(
            delivered >= 100 && delivered + errored == 120,
            "{delivered} delivered, {errored} errored"
        );
    });
}

/// Clients of these hits come back with their keys at these sidecars, by turns; the status of each.
async fn back(
    group: &SidecarGroup,
    asked: Vec<PendingRequest>,
    ats: &[usize],
) -> Vec<(String, &'static str, u16)> {
    let mut answers = Vec::new();
    for (n, asked) in asked.into_iter().enumerate() {
        let (name, path, at) = (
            asked.name,
            asked.path,
            group.sidecars[ats[n % ats.len()]].listen,
        );
        let sent = name.clone();
        let answer = spawn_local(async move {
            send_with_key(at, path, &sent, vec![7; 20])
                .await
                .expect("an answer")
        });
        answers.push((name, path, answer));
    }
    let mut statuses = Vec::new();
    for (name, path, answer) in answers {
        statuses.push((name, path, answer.await.expect("a task").0));
    }
    statuses
}

fn once(group: &SidecarGroup, statuses: &[(String, &str, u16)]) {
    for (name, path, status) in statuses {
        assert_eq!(group.pods.run_count(name), 1, "{name} ran once");
        assert!(
            *status == 200 || (*path == "/mutating" && *status == 502),
            "{name}: {status}"
        );
    }
}

#[test]
fn a_guardian_that_dies_with_the_holder_and_one_that_dies_in_the_middle_of_a_takeover() {
    test(6, true, async |mut group| {
        let asked = group.start_requests(0, 12, 0).await.expect("hits");
        // Two of six die together: three guardians of five others lose one at most.
        [0, 1]
            .iter()
            .for_each(|id| group.sidecars[*id].signal(Signal::KILL).expect("killed"));
        let began = Instant::now();
        let taking = loop {
            assert!(began.elapsed() < STEP_TIMEOUT, "nobody took over");
            if let Some(id) =
                (2..6).find(|id| group.sidecars[*id].count_log_lines("request taken over") > 0)
            {
                break id;
            }
            sleep(Duration::from_millis(1)).await;
        };
        group.sidecars[taking].signal(Signal::KILL).expect("killed");
        let others: Vec<usize> = (2..6).filter(|id| *id != taking).collect();
        let statuses = back(&group, asked, &others).await;
        // With two of its three guardians dead work waits for ever, and its clients hear that it may have run, or that
        // nobody can say and a retry does no harm.
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
fn a_sidecar_cut_off_from_its_fellows_gives_its_work_up_and_one_way_is_enough() {
    test(5, true, async |group| {
        for (round, (id, sticky_keys)) in [(1, false), (2, true)].into_iter().enumerate() {
            let asked = group.start_requests(id, 8, round).await.expect("hits");
            let relays = group.relays.as_ref().expect("relays");
            match sticky_keys {
                true => (0..5)
                    .filter(|other| *other != id)
                    .for_each(|other| relays.cut(other, id)),
                false => relays.isolate(id),
            }
            // Its pods answer all the same, and its clients get that, or what the others made of it.
            let mut statuses = Vec::new();
            for asked in asked {
                let (status, _) = asked.answer.await.expect("a task").expect("an answer");
                statuses.push((asked.name, asked.path, status));
            }
            once(&group, &statuses);
            // What it takes now nobody guards: counted, and served where pods drop a repeat. What must not run twice
            // may be in hand elsewhere, for all that it knows.
            for (path, wanted) in [("/tagged", (200, 1)), ("/mutating", (503, 0))] {
                let name = format!("alone-{round}-{}", &path[1..]);
                let alone = send_with_key(group.sidecars[id].listen, path, &name, vec![7; 20])
                    .await
                    .expect("an answer");
                assert_eq!((alone.0, group.pods.run_count(&name)), wanted, "{path}");
            }
            let state = state(group.sidecars[id].admin).await.expect("its state");
            assert!(state["takeover"]["unguarded"].as_u64() > Some(0), "{state}");
            group.relays.as_ref().expect("relays").heal();
        }
    });
}

#[test]
fn a_fellowship_paused_one_after_the_other_under_late_and_repeated_letters_runs_nothing_twice() {
    test(4, true, async |group| {
        let late = NetworkFaults {
            loss: 0.1,
            duplicate: 0.2,
            delay: Duration::from_millis(80),
        };
        group.relays.as_ref().expect("relays").set_faults(late);
        let ats: Vec<_> = group
            .sidecars
            .iter()
            .map(|sidecar| sidecar.listen)
            .collect();
        let mut answers = Vec::new();
        for (n, sidecar) in group.sidecars.iter().enumerate() {
            for k in 0..6 {
                let (path, at) = (["/tagged", "/mutating"][k % 2], ats[(n + k) % 4]);
                let name = format!("{}-{n}-{k}", &path[1..]);
                let sent = name.clone();
                answers.push((
                    name,
                    path,
                    spawn_local(async move { send_with_key(at, path, &sent, vec![7; 20]).await }),
                ));
            }
            sleep(Duration::from_millis(50)).await;
            // Longer than a lease, and than a tenth of one.
            for (span, rest) in [(60, 100), (900, 300)] {
                sidecar.signal(Signal::STOP).expect("paused");
                sleep(Duration::from_millis(span)).await;
                sidecar.signal(Signal::CONT).expect("goes on");
                sleep(Duration::from_millis(rest)).await;
            }
        }
        let mut delivered = 0;
        for (name, _, answer) in answers {
            let (status, _) = answer.await.expect("a task").expect("an answer");
            assert!(group.pods.run_count(&name) <= 1, "{name} ran twice");
            assert!([200, 502, 503, 504].contains(&status), "{name}: {status}");
            delivered += (status == 200) as usize;
        }
        assert!(delivered >= 12, "{delivered} of 24 delivered");
    });
}

#[test]
fn a_rolling_restart_answers_what_was_taken_and_nobody_takes_it_over() {
    test(4, true, async |mut group| {
        for id in 0..4 {
            let asked = group.start_requests(id, 6, id).await.expect("hits");
            group.sidecars[id]
                .signal(Signal::TERM)
                .expect("told to stop");
            for asked in asked {
                let answer = asked.answer.await.expect("a task").expect("an answer");
                assert_eq!(
                    (answer.0, group.pods.run_count(&asked.name)),
                    (200, 1),
                    "{}",
                    asked.name
                );
            }
            group.sidecars[id].wait_for_exit().await.expect("it ends");
            let taken: usize = group
                .sidecars
                .iter_mut()
                .map(|sidecar| sidecar.count_log_lines("request taken over"))
                .sum();
            assert_eq!(taken, 0);
            let next = group.launch(id).await.expect("its next life");
            group.sidecars[id] = next;
            // The first one has nobody but itself to meet; the others find it again by themselves.
            group.sidecars[id]
                .wait_for_log("member joined", 3)
                .await
                .expect("known again");
        }
    });
}

#[test]
fn seven_of_ten_killed_at_once_leave_no_hit_that_runs_twice_and_none_without_an_answer() {
    test(10, true, async |group| {
        // Pods hold what arrives before the kill for longer than a client waits, so that none is answered before it
        // however long the requests take to begin.
        let usual = group.pods.work.replace(Duration::from_secs(20));
        let mut asked = Vec::new();
        for id in 0..7 {
            asked.extend(group.start_requests(id, 4, 0).await.expect("hits"));
        }
        (0..7).for_each(|id| group.sidecars[id].signal(Signal::KILL).expect("killed"));
        group.pods.work.set(usual);
        let statuses = back(&group, asked, &[7, 8, 9]).await;
        // Most work lost two of its three guardians: it may wait in vain, but nobody runs it again in doubt.
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
