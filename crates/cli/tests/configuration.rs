//! Distribution of configurations between processes: six sidecars and distributors, with relays between them.

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
/// Relay of the first distributor. The relays from 0 up to this one are those of the sidecars.
const FIRST_DISTRIBUTOR: usize = SIDECARS;
/// Relay of the second distributor.
const SECOND_DISTRIBUTOR: usize = SIDECARS + 1;
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Sidecars, their pods, and the relays between sidecars and distributors.
struct Fleet {
    folder: PathBuf,
    relays: Relays,
    sidecars: Vec<Sidecar>,
    _pods: Rc<Pods>,
}

/// Starts sidecars that have joined each other and have no configuration yet, and runs `body` with them.
fn run_test(body: impl AsyncFnOnce(Fleet)) {
    let folder = tempfile::tempdir().expect("a folder");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(
        LocalSet::new().run_until(async { body(Fleet::start(folder.path()).await).await }),
    );
}

/// Waits until the condition holds.
async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let began = Instant::now();
    while !condition().await {
        assert!(began.elapsed() < STEP_TIMEOUT, "timed out: {what}");
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns a script of two routes with different paths. `swapped` decides which of the two needs a key. `note` is part
/// of the name of a tenant, so that any two scripts differ.
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
                .expect("all others joined");
        }
        fleet
    }

    /// Starts the sidecar of this number, and waits until it listens.
    async fn launch(&self, id: usize) -> Sidecar {
        let (folder, address, first_contact) = (
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
fellowship(listen = "127.0.0.1:0", advertise = "{address}", meet = ["{first_contact}"], keys = "{folder}/keys", period = "200ms")
configuration(keep = "{folder}/keep-{id}", fetch_bytes_per_s = "1MB", serve_bytes_per_s = "1MB")
"#
        );
        let file = self.folder.join(format!("s-{id}.star"));
        std::fs::write(&file, text).expect("written");
        let arguments = ["serve".to_string(), file.display().to_string()];
        let mut sidecar = Sidecar::spawn(Path::new(env!("CARGO_BIN_EXE_havenplank")), &arguments)
            .expect("a process");
        sidecar
            .wait_for_log("admin=", 1)
            .await
            .expect("the process listens");
        sidecar.listen = sidecar
            .logged_address("admin=", "listen=")
            .expect("an address");
        sidecar.admin = sidecar
            .logged_address("admin=", "admin=")
            .expect("an admin address");
        self.relays.set_target(
            id,
            sidecar
                .logged_address("fellowship", "listen=")
                .expect("an address for peers"),
        );
        sidecar
    }

    /// Replaces the script by a rename, as operators' tools do, so that no distributor reads half of it.
    fn write(&self, text: &str) {
        let (new, file) = (
            self.folder.join("fleet.star.new"),
            self.folder.join("fleet.star"),
        );
        std::fs::write(&new, text)
            .and_then(|()| std::fs::rename(new, file))
            .expect("written");
    }

    /// Starts a distributor with a store of its own, without waiting until it listens.
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

    /// Starts a distributor with a store of its own, and waits until it listens.
    async fn start_distributor(&self, relay: usize, options: &[&str]) -> Sidecar {
        let mut distributor = self.spawn_distributor(relay, options);
        distributor
            .wait_for_log("distributor listening", 1)
            .await
            .expect("the process listens");
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

    /// Returns the `configuration` section of a sidecar's state report.
    async fn configuration(&self, id: usize) -> Value {
        match state(self.sidecars[id].admin).await {
            Some(mut state) => state["configuration"].take(),
            None => Value::Null,
        }
    }

    /// Waits until the version is in force at these sidecars, and checks that all have the same digest.
    async fn wait_for_version_at(&self, ids: &[usize], version: &str) {
        let mut digests = Vec::new();
        for id in ids {
            wait_until(&format!("{version} at s-{id}"), async || {
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

    /// Waits until the version is in force at all sidecars, and checks that all have the same digest.
    async fn wait_for_version(&self, version: &str) {
        let all: Vec<usize> = (0..SIDECARS).collect();
        self.wait_for_version_at(&all, version).await;
    }

    /// Sends a request without a key to each of the two paths of a sidecar, and returns the statuses.
    async fn statuses_without_key(&self, id: usize) -> (u16, u16) {
        let address = self.sidecars[id].listen;
        let status = async |path| {
            send_without_key(address, path, "probe")
                .await
                .map_or(0, |(status, _)| status)
        };
        (status("/a").await, status("/b").await)
    }
}

/// Returns the `writer` section of a distributor's state report, with its polls about the newest version.
async fn writer_state(distributor: &Sidecar) -> Value {
    state(distributor.admin)
        .await
        .map_or(Value::Null, |mut state| state["writer"].take())
}

#[test]
fn changes_come_into_force_at_all_sidecars_and_each_request_is_served_by_a_single_version() {
    run_test(async |fleet| {
        assert_eq!(
            fleet.statuses_without_key(0).await,
            (503, 503),
            "no configuration yet"
        );
        fleet.write(&script(false, "0"));
        let distributor = fleet.start_distributor(FIRST_DISTRIBUTOR, &[]).await;
        fleet.wait_for_version("1.1").await;
        assert_eq!(fleet.statuses_without_key(3).await, (400, 200));
        let is_over = Rc::new(Cell::new(false));
        let clients: Vec<_> = (0..SIDECARS * 2)
            .map(|n| {
                let (address, path, is_over) = (
                    fleet.sidecars[n / 2].listen,
                    ["/a", "/b"][n % 2],
                    is_over.clone(),
                );
                spawn_local(async move {
                    let mut counts = [0, 0];
                    while !is_over.get() {
                        // A single version either rejects the request for lack of a key, or gives it a deadline that is
                        // longer than the work.
                        match send_without_key(address, path, "load").await {
                            Some((400, _)) => counts[0] += 1,
                            Some((200, _)) => counts[1] += 1,
                            other => panic!(
                                "{path}: lost, or served by a mixture of two versions: {other:?}"
                            ),
                        }
                    }
                    counts
                })
            })
            .collect();
        for change in 1..=8 {
            fleet.write(&script(change % 2 == 1, &change.to_string()));
            distributor.signal(Signal::HUP).expect("SIGHUP is sent");
            fleet.wait_for_version(&format!("1.{}", change + 1)).await;
            let expected = if change % 2 == 1 {
                (200, 400)
            } else {
                (400, 200)
            };
            assert_eq!(
                fleet.statuses_without_key(change % SIDECARS).await,
                expected
            );
        }
        is_over.set(true);
        for client in clients {
            let counts = client.await.expect("a client");
            assert!(
                counts.iter().all(|count| *count > 0),
                "not both versions served requests: {counts:?}"
            );
        }
        wait_until("a poll of all peers", async || {
            let round = writer_state(&distributor).await["round"].take();
            round["version"] == "1.9" && round["have"] == 7 && round["of"] == 7
        })
        .await;
    });
}

#[test]
fn a_distributor_killed_around_a_write_continues_with_the_same_or_the_next_version() {
    run_test(async |mut fleet| {
        fleet.write(&script(false, "0"));
        let mut distributor = fleet.start_distributor(FIRST_DISTRIBUTOR, &[]).await;
        fleet.wait_for_version("1.1").await;
        for kill in 0..6u64 {
            fleet.write(&script(kill % 2 == 0, &format!("kill-{kill}")));
            distributor.signal(Signal::HUP).expect("SIGHUP is sent");
            match kill {
                // Killed at once, after the version is stored, after it is published, and after other delays.
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
            distributor.wait_for_exit().await.expect("the process ends");
            distributor = fleet.start_distributor(FIRST_DISTRIBUTOR, &[]).await;
            fleet.wait_for_version(&format!("1.{}", kill + 2)).await;
            // A distributor whose script is already in force stores no version, so the next "stored version" in the log
            // belongs to the next change.
            distributor.signal(Signal::TERM).expect("stopped");
            assert_eq!(
                distributor.exit_code().await.expect("the process ends"),
                Some(0)
            );
            fleet.write(&script(kill % 2 == 0, &format!("kill-{kill}")));
            distributor = fleet.start_distributor(FIRST_DISTRIBUTOR, &[]).await;
            distributor
                .wait_for_log("the script has not changed", 1)
                .await
                .expect("no new version");
        }
        // The version that a sidecar keeps on disk is in force after its restart, also without contact to any peer.
        distributor.signal(Signal::KILL).expect("killed");
        wait_until("1.7 on disk", async || {
            fleet.configuration(5).await["kept"] == "1.7"
        })
        .await;
        fleet.relays.isolate(5);
        fleet.sidecars[5].signal(Signal::KILL).expect("killed");
        fleet.sidecars[5]
            .wait_for_exit()
            .await
            .expect("the process ends");
        fleet.sidecars[5] = fleet.launch(5).await;
        assert_eq!(fleet.configuration(5).await["version"], "1.7");
        assert_eq!(fleet.statuses_without_key(5).await, (400, 200));
    });
}

#[test]
fn a_paused_sidecar_and_one_that_receives_nothing_catch_up_with_the_others() {
    run_test(async |fleet| {
        fleet.relays.set_faults(NetworkFaults {
            loss: 0.1,
            duplicate: 0.2,
            delay: Duration::from_millis(20),
        });
        fleet.write(&script(false, "0"));
        let distributor = fleet.start_distributor(FIRST_DISTRIBUTOR, &[]).await;
        fleet.wait_for_version("1.1").await;
        let (paused, cut_off) = (2, 4);
        fleet.sidecars[paused].signal(Signal::STOP).expect("paused");
        (0..SIDECARS + 2)
            .filter(|from| *from != cut_off)
            .for_each(|from| fleet.relays.cut(from, cut_off));
        for change in 1..=10 {
            fleet.write(&script(change % 2 == 1, &change.to_string()));
            distributor.signal(Signal::HUP).expect("SIGHUP is sent");
            fleet
                .wait_for_version_at(&[0, 1, 3, 5], &format!("1.{}", change + 1))
                .await;
        }
        assert_eq!(fleet.configuration(cut_off).await["version"], "1.1");
        assert_eq!(
            fleet.statuses_without_key(cut_off).await,
            (400, 200),
            "the version that it has stays in force"
        );
        fleet.relays.heal();
        fleet.sidecars[paused]
            .signal(Signal::CONT)
            .expect("resumed");
        fleet.wait_for_version("1.11").await;
    });
}

#[test]
fn a_bad_script_is_rejected_and_a_version_that_sidecars_cannot_apply_leaves_the_previous_one_in_force(
) {
    run_test(async |fleet| {
        fleet
            .write("service(name = \"search\")\nroute(name = \"a\", service = \"serch\", paths = [\"a\"])\n");
        let mut rejected = fleet.spawn_distributor(FIRST_DISTRIBUTOR, &[]);
        assert_eq!(
            rejected.exit_code().await.expect("the process ends"),
            Some(64)
        );
        wait_until("the mistake with its line", async || {
            rejected.count_log_lines("fleet.star:2: route.service") == 1
        })
        .await;
        fleet.write(&script(false, "0"));
        let mut distributor = fleet.start_distributor(FIRST_DISTRIBUTOR, &[]).await;
        fleet.wait_for_version("1.1").await;
        fleet.write(&format!("{}nonsense(\n", script(true, "1")));
        distributor.signal(Signal::HUP).expect("SIGHUP is sent");
        distributor
            .wait_for_log("nothing published", 1)
            .await
            .expect("rejected");
        // No sidecar has zone room-9, and none has a takeover section. Each sidecar reports its rejection, and the
        // writer knows that all have rejected the version.
        for (number, bad) in [("1.2", "room-1\", \"room-9"), ("1.3", "")] {
            let text = match bad {
                "" => script(true, "2").replace("/b\"],", "/b\"], backup = \"before-attempt\","),
                zones => script(true, "2").replace("room-1", zones),
            };
            fleet.write(&text);
            distributor.signal(Signal::HUP).expect("SIGHUP is sent");
            wait_until(&format!("{number} rejected"), async || {
                fleet.configuration(1).await["rejected"]["version"] == number
            })
            .await;
            assert_eq!(fleet.configuration(1).await["version"], "1.1");
            assert_eq!(fleet.statuses_without_key(1).await, (400, 200));
        }
        wait_until(
            "the writer knows which sidecars rejected the version",
            async || {
                let round = writer_state(&distributor).await["round"].take();
                let rejected = round["behind"].as_array().is_some_and(|behind| {
                    behind.len() == SIDECARS
                        && behind.iter().all(|peer| peer["standing"] == "Rejected")
                });
                round["version"] == "1.3" && rejected
            },
        )
        .await;
        fleet.write(&script(true, "3"));
        distributor.signal(Signal::HUP).expect("SIGHUP is sent");
        fleet.wait_for_version("1.4").await;
        assert_eq!(fleet.statuses_without_key(1).await, (200, 400));
        assert_eq!(fleet.configuration(1).await["rejected"], Value::Null);
    });
}

#[test]
fn a_distributor_of_a_lower_epoch_changes_nothing_and_sidecars_follow_one_that_replaces_the_writer()
{
    run_test(async |fleet| {
        fleet.write(&script(false, "0"));
        let mut first = fleet
            .start_distributor(FIRST_DISTRIBUTOR, &["--epoch", "2"])
            .await;
        fleet.wait_for_version("2.1").await;
        fleet.write(&script(true, "1"));
        let mut second = fleet
            .start_distributor(SECOND_DISTRIBUTOR, &["--epoch", "1"])
            .await;
        second
            .wait_for_log("superseded", 1)
            .await
            .expect("the second distributor learns of the higher epoch");
        assert_eq!(writer_state(&second).await["superseded_by"], "2.1");
        second.signal(Signal::HUP).expect("SIGHUP is sent");
        fleet.wait_for_version("2.1").await;
        second.signal(Signal::TERM).expect("stopped");
        assert_eq!(second.exit_code().await.expect("the process ends"), Some(0));
        let mut third = fleet
            .start_distributor(SECOND_DISTRIBUTOR, &["--replace-writer"])
            .await;
        fleet.wait_for_version("3.2").await;
        assert_eq!(fleet.statuses_without_key(0).await, (200, 400));
        first
            .wait_for_log("superseded", 1)
            .await
            .expect("the first distributor is replaced");
        fleet.write(&script(false, "4"));
        first.signal(Signal::HUP).expect("SIGHUP is sent");
        first
            .wait_for_log("nothing published", 1)
            .await
            .expect("the replaced distributor publishes nothing");
        third.signal(Signal::HUP).expect("SIGHUP is sent");
        fleet.wait_for_version("3.3").await;
        assert_eq!(fleet.statuses_without_key(0).await, (400, 200));
        // A distributor that has lost its store numbers its versions from 1 again. No sidecar follows it, and it logs
        // what the operator must do.
        third.signal(Signal::TERM).expect("stopped");
        assert_eq!(third.exit_code().await.expect("the process ends"), Some(0));
        std::fs::remove_dir_all(fleet.folder.join(format!("store-{SECOND_DISTRIBUTOR}")))
            .expect("lost");
        fleet.write(&script(true, "5"));
        let mut lost = fleet
            .start_distributor(SECOND_DISTRIBUTOR, &["--epoch", "3"])
            .await;
        lost.wait_for_log("start this one with --replace-writer", 1)
            .await
            .expect("the distributor learns of the newer version");
        lost.signal(Signal::HUP).expect("SIGHUP is sent");
        lost.wait_for_log("nothing published", 1)
            .await
            .expect("rejected");
        fleet.wait_for_version("3.3").await;
    });
}
