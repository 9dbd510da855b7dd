//! Processes of `havenplank member`, connected by relays on loopback, that are killed, paused, cut off and restarted.

use havenplank_emulator::relay::{NetworkFaults, Relays};
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};
use tokio::task::LocalSet;

/// Limit on each step of a test, far longer than any step takes.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);

/// A process of `havenplank member`; killed when dropped.
struct MemberProcess {
    process: Child,
    log: Receiver<String>,
    /// The log lines read so far.
    lines: Vec<String>,
}

impl MemberProcess {
    fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.process.id());
        assert!(Command::new("sh")
            .args(["-c", &kill])
            .status()
            .expect("a shell")
            .success());
    }

    /// Returns the number of log lines that contain `what` and concern the member of this name.
    fn count_log_lines(&self, what: &str, member: &str) -> usize {
        let member_field = format!("member=\"{member}\"");
        self.lines
            .iter()
            .filter(|line| line.contains(what) && line.contains(&member_field))
            .count()
    }

    /// Returns the members that its last state line lists as alive.
    fn alive_members(&self) -> Option<String> {
        let line = self
            .lines
            .iter()
            .rev()
            .find(|line| line.contains("living="))?;
        let list = line.split("living=\"").nth(1)?.split('"').next()?;
        Some(list.to_string())
    }
}

impl Drop for MemberProcess {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Members, and the relays between them.
struct Group {
    relays: Relays,
    keys: PathBuf,
    members: Vec<MemberProcess>,
}

impl Group {
    /// Starts members 0 to `count` - 1.
    async fn start(folder: &Path, count: usize) -> Group {
        let keys = folder.join("keys");
        std::fs::write(&keys, "0123456789abcdef".repeat(4)).expect("written");
        let relays = Relays::bind(count, 7).await.expect("relays");
        let mut group = Group {
            relays,
            keys,
            members: Vec::new(),
        };
        for id in 0..count {
            let member = group.launch(id).await;
            group.members.push(member);
        }
        group
    }

    /// Starts the member of this number, and waits until it listens.
    async fn launch(&self, id: usize) -> MemberProcess {
        let mut command = Command::new(env!("CARGO_BIN_EXE_havenplank"));
        command.args([
            "member",
            "--name",
            &format!("s-{id}"),
            "--listen",
            "127.0.0.1:0",
            "--period",
            "200ms",
        ]);
        command.args([
            "--advertise",
            &self.relays.address(id).to_string(),
            "--meet",
            &self.relays.address(0).to_string(),
        ]);
        command
            .arg("--keys")
            .arg(&self.keys)
            .env("NO_COLOR", "1")
            .stderr(Stdio::piped());
        let mut process = command.spawn().expect("the program starts");
        let (sender, log) = channel();
        let stderr = BufReader::new(process.stderr.take().expect("standard error"));
        std::thread::spawn(move || {
            stderr
                .lines()
                .map_while(Result::ok)
                .all(|line| sender.send(line).is_ok())
        });
        let mut member = MemberProcess {
            process,
            log,
            lines: Vec::new(),
        };
        self.wait(
            std::slice::from_mut(&mut member),
            "the member listens",
            |all| {
                all[0]
                    .lines
                    .iter()
                    .any(|line| line.contains("member listening"))
            },
        )
        .await;
        let line = member
            .lines
            .iter()
            .find(|line| line.contains("member listening"))
            .expect("the log line");
        let at = line
            .split("listen=")
            .nth(1)
            .and_then(|rest| rest.split_whitespace().next())
            .expect("an address");
        self.relays.set_target(id, at.parse().expect("an address"));
        member
    }

    /// Reads the logs of these members until the condition holds.
    async fn wait(
        &self,
        members: &mut [MemberProcess],
        what: &str,
        condition: impl Fn(&[MemberProcess]) -> bool,
    ) {
        let began = Instant::now();
        while !condition(members) {
            for member in members.iter_mut() {
                while let Ok(line) = member.log.try_recv() {
                    member.lines.push(line);
                }
            }
            let logs = || {
                members
                    .iter()
                    .map(|member| member.lines.join("\n"))
                    .collect::<Vec<_>>()
                    .join("\n--\n")
            };
            assert!(
                began.elapsed() < STEP_TIMEOUT,
                "timed out: {what}\n{}",
                logs()
            );
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Reads the logs of all members until the condition holds.
    async fn wait_until(&mut self, what: &str, condition: impl Fn(&[MemberProcess]) -> bool) {
        let mut members = std::mem::take(&mut self.members);
        self.wait(&mut members, what, condition).await;
        self.members = members;
    }

    /// Waits until each of these members lists exactly the others of them as alive.
    async fn wait_until_agreed(&mut self, ids: &[usize]) {
        let ids = ids.to_vec();
        self.wait_until(&format!("{ids:?} agree"), move |members| {
            ids.iter().all(|id| {
                let others: Vec<String> = ids
                    .iter()
                    .filter(|n| *n != id)
                    .map(|n| format!("s-{n}"))
                    .collect();
                members[*id].alive_members() == Some(others.join(","))
            })
        })
        .await;
    }
}

/// Runs a test with a temporary folder.
fn run_test(body: impl AsyncFnOnce(&Path)) {
    let folder = tempfile::tempdir().expect("a folder");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(body(folder.path())));
}

#[test]
fn a_killed_member_is_lost_and_joins_with_a_higher_incarnation_after_a_restart() {
    run_test(async |folder| {
        let mut group = Group::start(folder, 4).await;
        group.wait_until_agreed(&[0, 1, 2, 3]).await;
        group.members[2].signal("KILL");
        group.wait_until_agreed(&[0, 1, 3]).await;
        assert!([0, 1, 3]
            .iter()
            .all(|id| group.members[*id].count_log_lines("member lost", "s-2") == 1));
        group.members[2] = group.launch(2).await;
        group.wait_until_agreed(&[0, 1, 2, 3]).await;
        let incarnations = |member: &MemberProcess| -> Vec<String> {
            let joined = member
                .lines
                .iter()
                .filter(|line| line.contains("joined") && line.contains("\"s-2\""));
            joined
                .filter_map(|line| Some(line.split("incarnation=").nth(1)?.to_string()))
                .collect()
        };
        assert!([0, 1, 3].iter().all(|id| {
            let incarnations = incarnations(&group.members[*id]);
            incarnations.len() == 2 && incarnations[0] < incarnations[1]
        }));
        // A member that leaves gracefully is not logged as lost.
        group.members[1].signal("TERM");
        group.wait_until_agreed(&[0, 2, 3]).await;
        assert!([0, 2, 3]
            .iter()
            .all(|id| group.members[*id].count_log_lines("member lost", "s-1") == 0));
    });
}

#[test]
fn a_paused_member_is_lost_and_reports_no_other_member_lost_after_it_resumes() {
    run_test(async |folder| {
        let mut group = Group::start(folder, 4).await;
        group.wait_until_agreed(&[0, 1, 2, 3]).await;
        group.members[1].signal("STOP");
        group
            .wait_until("the paused member is lost", |members| {
                [0, 2, 3]
                    .iter()
                    .all(|id| members[*id].count_log_lines("member lost", "s-1") > 0)
            })
            .await;
        group.members[1].signal("CONT");
        group.wait_until_agreed(&[0, 1, 2, 3]).await;
        let resumed = &group.members[1];
        assert!(
            [0, 2, 3]
                .iter()
                .all(|id| resumed.count_log_lines("member lost", &format!("s-{id}")) == 0),
            "{:?}",
            resumed.lines
        );
    });
}

#[test]
fn an_isolated_member_rejoins_and_a_one_way_cut_with_a_third_of_datagrams_lost_keeps_all_agreed() {
    run_test(async |folder| {
        let mut group = Group::start(folder, 5).await;
        group.wait_until_agreed(&[0, 1, 2, 3, 4]).await;
        group.relays.isolate(4);
        group.wait_until_agreed(&[0, 1, 2, 3]).await;
        group.relays.heal();
        group.wait_until_agreed(&[0, 1, 2, 3, 4]).await;
        // No datagram from 1 reaches 2. Of all others 30% are lost, 10% are duplicated, and the delay reorders them.
        group.relays.cut(1, 2);
        let delay = Duration::from_millis(30);
        group.relays.set_faults(NetworkFaults {
            loss: 0.3,
            duplicate: 0.1,
            delay,
        });
        let (carried, _) = group.relays.counts();
        while group.relays.counts().0 < carried + 600 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        group.relays.set_faults(NetworkFaults::default());
        group.wait_until_agreed(&[0, 1, 2, 3, 4]).await;
    });
}

#[test]
fn invalid_keys_and_names_are_reported_with_exit_status_64() {
    run_test(async |folder| {
        let file = folder.join("keys");
        for (keys, name, message) in [
            ("not a key", "s", "line 1: expected a key of 64 hex digits"),
            ("", "s", "line 1"),
            (&*"0f".repeat(32), "", "--name: expected 1 to 64 bytes"),
        ] {
            std::fs::write(&file, keys).expect("written");
            let mut command = Command::new(env!("CARGO_BIN_EXE_havenplank"));
            command
                .args(["member", "--name", name, "--listen", "127.0.0.1:0"])
                .arg("--keys")
                .arg(&file);
            let output = command.output().expect("the program runs");
            let text = String::from_utf8_lossy(&output.stderr).into_owned();
            assert!(
                output.status.code() == Some(64) && text.contains(message),
                "{text}"
            );
        }
    });
}
