//! Configurations over processes of the program: six sidecars and a distributor, with relays between them.

use havenplank::interface::PodState;
use havenplank_emulator::relay::{NetworkFaults, Relays};
use havenplank_emulator::sidecar_processes::{
    send_without_key, state, Pods, Sidecar, STEP_TIMEOUT,
};
use havenplank_line_protocol::endpoint_list::{encode_cached, ListedEndpoint};
use rustix::process::Signal;
use serde_json::Value;
use std::cell::Cell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

const SIDECARS: usize = 6;
/// Relays 0 and up are the sidecars'; these are the distributors'.
const FIRST: usize = SIDECARS;
const SECOND: usize = SIDECARS + 1;
const LOOK: Duration = Duration::from_millis(10);

struct Fleet {
    folder: PathBuf,
    relays: Relays,
    sidecars: Vec<Sidecar>,
    _pods: Rc<Pods>,
}

/// Runs with sidecars that know each other and have no configuration yet.
fn test(work: impl AsyncFnOnce(Fleet)) {
    let folder = tempfile::tempdir().expect("a folder");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(
        LocalSet::new().run_until(async { work(Fleet::start(folder.path()).await).await }),
    );
}

/// Waits until it holds.
async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let began = Instant::now();
    while !holds().await {
        assert!(began.elapsed() < STEP_TIMEOUT, "never came: {what}");
        sleep(LOOK).await;
    }
}

/// Two routes on paths of their own; which of them needs a key is swapped by every second version. `note` is a tenant, so
/// that any two scripts differ.
fn script(swapped: bool, note: &str) -> String {
    let keyed =
        "kind = \"keyed\", idempotency_window = \"30s\", latency_target = \"50ms\", deadline = \"60ms\"";
    let free = "kind = \"idempotent\", latency_target = \"3s\", deadline = \"8s\"";
    let (a, b) = if swapped {
        (free, keyed)
    } else {
        (keyed, free)
    };
    format!(
        "service(name = \"search\", zones = [\"room-1\"])\n\
         route(name = \"a\", service = \"search\", paths = [\"/a\"], {a})\n\
         route(name = \"b\", service = \"search\", paths = [\"/b\"], {b})\n\
         tenant(name = \"note-{note}\")\n"
    )
}

impl Fleet {
    async fn start(folder: &Path) -> Fleet {
        let pods = Pods::new(Duration::from_millis(120));
        let mut listed = Vec::new();
        for n in 0..3 {
            listed.push(ListedEndpoint {
                name: format!("pod-{n}"),
                address: pods.start().await.expect("a pod"),
                state: PodState::Running,
                build: 1,
                incarnation: 1,
                age: 600_000_000_000,
                zone: "room-1".to_string(),
                machine: "any".to_string(),
                cell: 0,
                size: 1.0,
            });
        }
        std::fs::write(folder.join("keys"), "0123456789abcdef".repeat(4)).expect("written");
        std::fs::write(folder.join("pods"), encode_cached(&listed)).expect("written");
        let relays = Relays::bind_with_streams(SIDECARS + 2, 7)
            .await
            .expect("relays of streams");
        let folder = folder.to_path_buf();
        let mut fleet = Fleet {
            folder,
            relays,
            sidecars: Vec::new(),
            _pods: pods,
        };
        for id in 0..SIDECARS {
            let sidecar = fleet.launch(id).await;
            fleet.sidecars.push(sidecar);
        }
        for sidecar in &mut fleet.sidecars {
            sidecar
                .wait_for_log("member joined", SIDECARS - 1)
                .await
                .expect("all meet");
        }
        fleet
    }

    async fn launch(&self, id: usize) -> Sidecar {
        let (folder, at, first) = (
            self.folder.display(),
            self.relays.address(id),
            self.relays.address(0),
        );
        let text = format!(
            r#"
sidecar(name = "s-{id}", instances = 8, rank = {id}, zones = ["room-1"], zone = "room-1",
    listen = "127.0.0.1:0", admin = "127.0.0.1:0")
pods(drain_grace = "500ms", cold_share = 0.3, warm_up = "1s", fall_multiple = 3.0, fall_window = "2s")
exposure(window = "6s", caps = [0.1, 1.0])
votes(control = "any", life = "6s")
nodes(address = "127.0.0.1:1", keep = "{folder}/pods")
desk(address = "127.0.0.1:1")
fellowship(listen = "127.0.0.1:0", advertise = "{at}", meet = ["{first}"], keys = "{folder}/keys", period = "200ms")
configuration(keep = "{folder}/keep-{id}", fetch_bytes_per_s = "1MB", serve_bytes_per_s = "1MB")
"#
        );
        let file = self.folder.join(format!("s-{id}.star"));
        std::fs::write(&file, text).expect("written");
        let arguments = ["serve".to_string(), file.display().to_string()];
        let mut sidecar = Sidecar::spawn(Path::new(env!("CARGO_BIN_EXE_havenplank")), &arguments)
            .expect("a process");
        sidecar.wait_for_log("admin=", 1).await.expect("it listens");
        sidecar.listen = sidecar
            .logged_address("admin=", "listen=")
            .expect("its address");
        sidecar.admin = sidecar
            .logged_address("admin=", "admin=")
            .expect("its admin address");
        self.relays.set_target(
            id,
            sidecar
                .logged_address("fellowship", "listen=")
                .expect("its peers' address"),
        );
        sidecar
    }

    fn write(&self, text: &str) {
        // At once, as an operator's tools would.
        let (new, file) = (
            self.folder.join("fleet.star.new"),
            self.folder.join("fleet.star"),
        );
        std::fs::write(&new, text)
            .and_then(|()| std::fs::rename(new, file))
            .expect("written");
    }

    /// A process that may end at once, with a store of its own.
    fn spawn_distributor(&self, relay: usize, options: &[&str]) -> Sidecar {
        let folder = self.folder.display();
        let mut arguments: Vec<String> = format!(
            "distribute {folder}/fleet.star --name d-{relay} --listen 127.0.0.1:0 --advertise {} --meet {} \
             --keys {folder}/keys --period 200ms --store {folder}/store-{relay}",
            self.relays.address(relay),
            self.relays.address(0)
        )
        .split(' ')
        .map(str::to_string)
        .collect();
        arguments.extend(options.iter().map(|option| option.to_string()));
        Sidecar::spawn(Path::new(env!("CARGO_BIN_EXE_havenplank")), &arguments).expect("a process")
    }

    async fn distributor(&self, relay: usize, options: &[&str]) -> Sidecar {
        let mut distributor = self.spawn_distributor(relay, options);
        distributor
            .wait_for_log("distributor listening", 1)
            .await
            .expect("it listens");
        let address = |name: &str| {
            distributor
                .logged_address("distributor listening", name)
                .expect(name)
        };
        let (peers, admin) = (address("peers="), address("admin="));
        self.relays.set_target(relay, peers);
        distributor.admin = admin;
        distributor
    }

    async fn configuration(&self, id: usize) -> Value {
        match state(self.sidecars[id].admin).await {
            Some(mut state) => state["configuration"].take(),
            None => Value::Null,
        }
    }

    /// Waits until these have the version in force, and checks that all have the same digest.
    async fn all_at(&self, ids: &[usize], version: &str) {
        let mut digests = Vec::new();
        for id in ids {
            until(&format!("{version} at s-{id}"), async || {
                self.configuration(*id).await["version"] == version
            })
            .await;
            digests.push(self.configuration(*id).await["digest"].clone());
        }
        assert!(
            digests.windows(2).all(|pair| pair[0] == pair[1]),
            "{digests:?}"
        );
    }

    async fn everybody_at(&self, version: &str) {
        let all: Vec<usize> = (0..SIDECARS).collect();
        self.all_at(&all, version).await;
    }

    /// The statuses of both paths at a sidecar, without a key.
    async fn routed(&self, id: usize) -> (u16, u16) {
        let at = self.sidecars[id].listen;
        let status = async |path| {
            send_without_key(at, path, "probe")
                .await
                .map_or(0, |(status, _)| status)
        };
        (status("/a").await, status("/b").await)
    }
}

/// What the distributor's polls say of its newest version.
async fn writer(distributor: &Sidecar) -> Value {
    state(distributor.admin)
        .await
        .map_or(Value::Null, |mut state| state["writer"].take())
}

#[test]
fn changes_are_in_force_everywhere_and_each_request_is_served_by_one_version_whole() {
    test(async |fleet| {
        assert_eq!(fleet.routed(0).await, (503, 503), "no configuration yet");
        fleet.write(&script(false, "0"));
        let distributor = fleet.distributor(FIRST, &[]).await;
        fleet.everybody_at("1.1").await;
        assert_eq!(fleet.routed(3).await, (400, 200));
        let over = Rc::new(Cell::new(false));
        let clients: Vec<_> = (0..SIDECARS * 2)
            .map(|n| {
                let (at, path, over) = (
                    fleet.sidecars[n / 2].listen,
                    ["/a", "/b"][n % 2],
                    over.clone(),
                );
                spawn_local(async move {
                    let mut seen = [0, 0];
                    while !over.get() {
                        // Under a version whole: refused for want of a key, or its deadline is longer than the work.
                        match send_without_key(at, path, "load").await {
                            Some((400, _)) => seen[0] += 1,
                            Some((200, _)) => seen[1] += 1,
                            other => panic!("{path} lost or served by a mixture: {other:?}"),
                        }
                    }
                    seen
                })
            })
            .collect();
        for change in 1..=8 {
            fleet.write(&script(change % 2 == 1, &change.to_string()));
            distributor.signal(Signal::HUP).expect("told");
            fleet.everybody_at(&format!("1.{}", change + 1)).await;
            let wanted = if change % 2 == 1 {
                (200, 400)
            } else {
                (400, 200)
            };
            assert_eq!(fleet.routed(change % SIDECARS).await, wanted);
        }
        over.set(true);
        for client in clients {
            let seen = client.await.expect("a client");
            assert!(
                seen.iter().all(|count| *count > 0),
                "both versions were seen: {seen:?}"
            );
        }
        until("a poll of all", async || {
            let round = writer(&distributor).await["round"].take();
            round["version"] == "1.9" && round["have"] == 7 && round["of"] == 7
        })
        .await;
    });
}

#[test]
fn a_distributor_killed_before_and_after_its_write_goes_on_with_the_same_or_the_next_version() {
    test(async |mut fleet| {
        fleet.write(&script(false, "0"));
        let mut distributor = fleet.distributor(FIRST, &[]).await;
        fleet.everybody_at("1.1").await;
        for kill in 0..6u64 {
            fleet.write(&script(kill % 2 == 0, &format!("kill-{kill}")));
            distributor.signal(Signal::HUP).expect("told");
            match kill {
                // Before anything, right after the write, and at whatever point lies between.
                0 => {}
                1 => distributor
                    .wait_for_log("stored version", 1)
                    .await
                    .expect("stored"),
                2 => distributor
                    .wait_for_log("published version", 1)
                    .await
                    .expect("published"),
                later => sleep(Duration::from_millis(2 * later)).await,
            }
            distributor.signal(Signal::KILL).expect("killed");
            distributor.wait_for_exit().await.expect("gone");
            distributor = fleet.distributor(FIRST, &[]).await;
            fleet.everybody_at(&format!("1.{}", kill + 2)).await;
            // One that finds its script in force stores nothing anew, so that the next "stored" is that of a change.
            distributor.signal(Signal::TERM).expect("stopped");
            assert_eq!(distributor.exit_code().await.expect("over"), Some(0));
            fleet.write(&script(kill % 2 == 0, &format!("kill-{kill}")));
            distributor = fleet.distributor(FIRST, &[]).await;
            distributor
                .wait_for_log("the script has not changed", 1)
                .await
                .expect("nothing new");
        }
        // What a sidecar kept is in force at its next start, whoever else is there.
        distributor.signal(Signal::KILL).expect("killed");
        until("1.7 on disk", async || {
            fleet.configuration(5).await["kept"] == "1.7"
        })
        .await;
        fleet.relays.isolate(5);
        fleet.sidecars[5].signal(Signal::KILL).expect("killed");
        fleet.sidecars[5].wait_for_exit().await.expect("gone");
        fleet.sidecars[5] = fleet.launch(5).await;
        assert_eq!(fleet.configuration(5).await["version"], "1.7");
        assert_eq!(fleet.routed(5).await, (400, 200));
    });
}

#[test]
fn a_stopped_sidecar_and_one_that_hears_nothing_end_where_all_others_are() {
    test(async |fleet| {
        fleet.relays.set_faults(NetworkFaults {
            loss: 0.1,
            duplicate: 0.2,
            delay: Duration::from_millis(20),
        });
        fleet.write(&script(false, "0"));
        let distributor = fleet.distributor(FIRST, &[]).await;
        fleet.everybody_at("1.1").await;
        let (stopped, deaf) = (2, 4);
        fleet.sidecars[stopped]
            .signal(Signal::STOP)
            .expect("stopped");
        (0..SIDECARS + 2)
            .filter(|from| *from != deaf)
            .for_each(|from| fleet.relays.cut(from, deaf));
        for change in 1..=10 {
            fleet.write(&script(change % 2 == 1, &change.to_string()));
            distributor.signal(Signal::HUP).expect("told");
            fleet
                .all_at(&[0, 1, 3, 5], &format!("1.{}", change + 1))
                .await;
        }
        assert_eq!(fleet.configuration(deaf).await["version"], "1.1");
        assert_eq!(
            fleet.routed(deaf).await,
            (400, 200),
            "what it had stays in force"
        );
        fleet.relays.heal();
        fleet.sidecars[stopped]
            .signal(Signal::CONT)
            .expect("goes on");
        fleet.everybody_at("1.11").await;
    });
}

#[test]
fn a_bad_script_is_refused_and_what_a_sidecar_cannot_take_in_leaves_the_version_before() {
    test(async |fleet| {
        fleet
            .write("service(name = \"search\")\nroute(name = \"a\", service = \"serch\", paths = [\"a\"])\n");
        let mut refused = fleet.spawn_distributor(FIRST, &[]);
        assert_eq!(refused.exit_code().await.expect("over"), Some(64));
        until("the mistake with its line", async || {
            refused.count_log_lines("fleet.star:2: route.service") == 1
        })
        .await;
        fleet.write(&script(false, "0"));
        let mut distributor = fleet.distributor(FIRST, &[]).await;
        fleet.everybody_at("1.1").await;
        fleet.write(&format!("{}nonsense(\n", script(true, "1")));
        distributor.signal(Signal::HUP).expect("told");
        distributor
            .wait_for_log("nothing published", 1)
            .await
            .expect("refused");
        // No sidecar has such a zone, nor a takeover: each says so, and the writer knows of all.
        for (number, bad) in [("1.2", "room-1\", \"room-9"), ("1.3", "")] {
            let text = match bad {
                "" => script(true, "2").replace("/b\"],", "/b\"], backup = \"before-attempt\","),
                zones => script(true, "2").replace("room-1", zones),
            };
            fleet.write(&text);
            distributor.signal(Signal::HUP).expect("told");
            until(&format!("{number} rejected"), async || {
                fleet.configuration(1).await["rejected"]["version"] == number
            })
            .await;
            assert_eq!(fleet.configuration(1).await["version"], "1.1");
            assert_eq!(fleet.routed(1).await, (400, 200));
        }
        until("the writer knows who has rejected it", async || {
            let round = writer(&distributor).await["round"].take();
            let rejected = round["behind"].as_array().is_some_and(|behind| {
                behind.len() == SIDECARS && behind.iter().all(|peer| peer["standing"] == "Rejected")
            });
            round["version"] == "1.3" && rejected
        })
        .await;
        fleet.write(&script(true, "3"));
        distributor.signal(Signal::HUP).expect("told");
        fleet.everybody_at("1.4").await;
        assert_eq!(fleet.routed(1).await, (200, 400));
        assert_eq!(fleet.configuration(1).await["rejected"], Value::Null);
    });
}

#[test]
fn a_distributor_of_a_lower_epoch_changes_nothing_and_one_that_replaces_it_is_followed() {
    test(async |fleet| {
        fleet.write(&script(false, "0"));
        let mut first = fleet.distributor(FIRST, &["--epoch", "2"]).await;
        fleet.everybody_at("2.1").await;
        fleet.write(&script(true, "1"));
        let mut second = fleet.distributor(SECOND, &["--epoch", "1"]).await;
        second
            .wait_for_log("superseded", 1)
            .await
            .expect("it hears of the higher epoch");
        assert_eq!(writer(&second).await["superseded_by"], "2.1");
        second.signal(Signal::HUP).expect("told");
        fleet.everybody_at("2.1").await;
        second.signal(Signal::TERM).expect("stopped");
        assert_eq!(second.exit_code().await.expect("over"), Some(0));
        let mut third = fleet.distributor(SECOND, &["--replace-writer"]).await;
        fleet.everybody_at("3.2").await;
        assert_eq!(fleet.routed(0).await, (200, 400));
        first
            .wait_for_log("superseded", 1)
            .await
            .expect("it is replaced");
        fleet.write(&script(false, "4"));
        first.signal(Signal::HUP).expect("told");
        first
            .wait_for_log("nothing published", 1)
            .await
            .expect("it publishes no more");
        third.signal(Signal::HUP).expect("told");
        fleet.everybody_at("3.3").await;
        assert_eq!(fleet.routed(0).await, (400, 200));
        // One that has lost its store numbers anew: nobody follows it, and it says what to do.
        third.signal(Signal::TERM).expect("stopped");
        assert_eq!(third.exit_code().await.expect("over"), Some(0));
        std::fs::remove_dir_all(fleet.folder.join(format!("store-{SECOND}"))).expect("lost");
        fleet.write(&script(true, "5"));
        let mut lost = fleet.distributor(SECOND, &["--epoch", "3"]).await;
        lost.wait_for_log("start this one with --replace-writer", 1)
            .await
            .expect("it hears of the newer one");
        lost.signal(Signal::HUP).expect("told");
        lost.wait_for_log("nothing published", 1)
            .await
            .expect("refused");
        fleet.everybody_at("3.3").await;
    });
}
