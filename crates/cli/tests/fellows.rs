//! The fellowship as processes of the program: killed, paused, cut off and started again, through relays on loopback.

use havenplank_emulator::relay::{NetworkFaults, Relays};
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};
use tokio::task::LocalSet;

/// No step takes nearly as long; a test that waits so long has failed.
const PATIENCE: Duration = Duration::from_secs(60);

struct Fellow {
    process: Child,
    log: Receiver<String>,
    /// All that it said in this life.
    told: Vec<String>,
}

impl Fellow {
    fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.process.id());
        assert!(Command::new("sh")
            .args(["-c", &kill])
            .status()
            .expect("a shell")
            .success());
    }

    fn said(&self, what: &str, of: &str) -> usize {
        let of = format!("member=\"{of}\"");
        self.told
            .iter()
            .filter(|line| line.contains(what) && line.contains(&of))
            .count()
    }

    /// Those that it took for living in its last state line.
    fn living(&self) -> Option<String> {
        let line = self
            .told
            .iter()
            .rev()
            .find(|line| line.contains("living="))?;
        let list = line.split("living=\"").nth(1)?.split('"').next()?;
        Some(list.to_string())
    }
}

impl Drop for Fellow {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

struct Group {
    relays: Relays,
    keys: PathBuf,
    fellows: Vec<Fellow>,
}

impl Group {
    async fn start(folder: &Path, many: usize) -> Group {
        let keys = folder.join("keys");
        std::fs::write(&keys, "0123456789abcdef".repeat(4)).expect("written");
        let relays = Relays::bind(many, 7).await.expect("relays");
        let mut group = Group {
            relays,
            keys,
            fellows: Vec::new(),
        };
        for id in 0..many {
            let fellow = group.launch(id).await;
            group.fellows.push(fellow);
        }
        group
    }

    async fn launch(&self, id: usize) -> Fellow {
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
        let (lines, log) = channel();
        let from = BufReader::new(process.stderr.take().expect("its log"));
        std::thread::spawn(move || {
            from.lines()
                .map_while(Result::ok)
                .all(|line| lines.send(line).is_ok())
        });
        let mut fellow = Fellow {
            process,
            log,
            told: Vec::new(),
        };
        self.wait(std::slice::from_mut(&mut fellow), "it listens", |all| {
            all[0]
                .told
                .iter()
                .any(|line| line.contains("member listening"))
        })
        .await;
        let line = fellow
            .told
            .iter()
            .find(|line| line.contains("member listening"))
            .expect("that line");
        let at = line
            .split("listen=")
            .nth(1)
            .and_then(|rest| rest.split_whitespace().next())
            .expect("an address");
        self.relays.set_target(id, at.parse().expect("an address"));
        fellow
    }

    /// Reads logs until this holds, while the relays run.
    async fn wait(&self, fellows: &mut [Fellow], what: &str, holds: impl Fn(&[Fellow]) -> bool) {
        let began = Instant::now();
        while !holds(fellows) {
            for fellow in fellows.iter_mut() {
                while let Ok(line) = fellow.log.try_recv() {
                    fellow.told.push(line);
                }
            }
            let told = || {
                fellows
                    .iter()
                    .map(|fellow| fellow.told.join("\n"))
                    .collect::<Vec<_>>()
                    .join("\n--\n")
            };
            assert!(began.elapsed() < PATIENCE, "never came: {what}\n{}", told());
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    async fn until(&mut self, what: &str, holds: impl Fn(&[Fellow]) -> bool) {
        let mut fellows = std::mem::take(&mut self.fellows);
        self.wait(&mut fellows, what, holds).await;
        self.fellows = fellows;
    }

    /// Each of these takes just these for living.
    async fn agree(&mut self, ids: &[usize]) {
        let ids = ids.to_vec();
        self.until(&format!("{ids:?} agree"), move |fellows| {
            ids.iter().all(|id| {
                let others: Vec<String> = ids
                    .iter()
                    .filter(|n| *n != id)
                    .map(|n| format!("s-{n}"))
                    .collect();
                fellows[*id].living() == Some(others.join(","))
            })
        })
        .await;
    }
}

fn test(work: impl AsyncFnOnce(&Path)) {
    let folder = tempfile::tempdir().expect("a folder");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(work(folder.path())));
}

#[test]
fn a_killed_fellow_is_lost_and_its_next_life_is_another() {
    test(async |folder| {
        let mut group = Group::start(folder, 4).await;
        group.agree(&[0, 1, 2, 3]).await;
        group.fellows[2].signal("KILL");
        group.agree(&[0, 1, 3]).await;
        assert!([0, 1, 3]
            .iter()
            .all(|id| group.fellows[*id].said("member lost", "s-2") == 1));
        group.fellows[2] = group.launch(2).await;
        group.agree(&[0, 1, 2, 3]).await;
        let lives = |fellow: &Fellow| -> Vec<String> {
            let joined = fellow
                .told
                .iter()
                .filter(|line| line.contains("joined") && line.contains("\"s-2\""));
            joined
                .filter_map(|line| Some(line.split("incarnation=").nth(1)?.to_string()))
                .collect()
        };
        assert!([0, 1, 3].iter().all(|id| {
            let lives = lives(&group.fellows[*id]);
            lives.len() == 2 && lives[0] < lives[1]
        }));
        // One that says goodbye is known to have left, not lost.
        group.fellows[1].signal("TERM");
        group.agree(&[0, 2, 3]).await;
        assert!([0, 2, 3]
            .iter()
            .all(|id| group.fellows[*id].said("member lost", "s-1") == 0));
    });
}

#[test]
fn a_paused_fellow_is_lost_and_on_waking_blames_nobody() {
    test(async |folder| {
        let mut group = Group::start(folder, 4).await;
        group.agree(&[0, 1, 2, 3]).await;
        group.fellows[1].signal("STOP");
        group
            .until("it is lost", |fellows| {
                [0, 2, 3]
                    .iter()
                    .all(|id| fellows[*id].said("member lost", "s-1") > 0)
            })
            .await;
        group.fellows[1].signal("CONT");
        group.agree(&[0, 1, 2, 3]).await;
        let woken = &group.fellows[1];
        assert!(
            [0, 2, 3]
                .iter()
                .all(|id| woken.said("member lost", &format!("s-{id}")) == 0),
            "{:?}",
            woken.told
        );
    });
}

#[test]
fn one_that_is_cut_off_comes_back_and_a_one_way_cut_or_a_third_lost_keeps_all_together() {
    test(async |folder| {
        let mut group = Group::start(folder, 5).await;
        group.agree(&[0, 1, 2, 3, 4]).await;
        group.relays.isolate(4);
        group.agree(&[0, 1, 2, 3]).await;
        group.relays.heal();
        group.agree(&[0, 1, 2, 3, 4]).await;
        // Nothing from 1 reaches 2, and of all the rest a third is lost, some twice, none in order.
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
        group.agree(&[0, 1, 2, 3, 4]).await;
    });
}

#[test]
fn bad_keys_and_names_are_told_and_exit_with_64() {
    test(async |folder| {
        let file = folder.join("keys");
        for (keys, name, wanted) in [
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
                output.status.code() == Some(64) && text.contains(wanted),
                "{text}"
            );
        }
    });
}
