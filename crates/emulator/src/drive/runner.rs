//! Runs a drive: starts the emulated services, the sidecar and the clients, and collects the result.

use super::error::DriveError;
use super::outcome::DriveOutcome;
use super::recording::read_script;
use super::replay::{PodKey, Replay};
use super::requests::Clients;
use super::script::Notification;
use super::settings::settings_script;
use super::sidecar::Sidecar;
use super::{control_plane, endpoint_list, pods};
use havenplank::interface::Nanos;
use havenplank_trace::Reader;
use std::io::{Read, Seek};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, Instant};

/// Delay of the first request, so that the sidecar gets the endpoint list and the stage before it, as in the recording.
const FIRST_REQUEST_DELAY: Duration = Duration::from_millis(100);
const NANOS_PER_SECOND: Nanos = 1_000_000_000;
/// A port that the system chooses.
const ANY_PORT: &str = "127.0.0.1:0";

/// Drives one source of a trace.
///
/// `program` is the program that runs the sidecar, `folder` holds the sidecar's settings and log. `on_progress` is
/// called once a second with the time of the script and its length.
///
/// # Errors
/// The trace is damaged or has no requests or too many, a socket cannot be bound, or the sidecar does not start.
pub async fn drive<R: Read + Seek>(
    reader: &mut Reader<R>,
    number: usize,
    program: PathBuf,
    folder: &Path,
    on_progress: impl FnMut(Nanos, Nanos),
) -> Result<DriveOutcome, DriveError> {
    let script = read_script(reader, number)?;
    let discovery = TcpListener::bind(ANY_PORT).await?;
    let control = TcpListener::bind(ANY_PORT).await?;
    let engine_settings = &script.source.settings;
    let text = settings_script(
        engine_settings,
        discovery.local_addr()?,
        control.local_addr()?,
    );
    let settings = folder.join("drive.star");
    std::fs::write(&settings, text)?;
    let seed = script.source.seed;
    let replay = Rc::new(Replay::new(script));
    let mut tasks = JoinSet::new();
    start_pods(&replay, &mut tasks).await?;
    tasks.spawn_local(endpoint_list::serve(replay.clone(), discovery));
    tasks.spawn_local(control_plane::serve(replay.clone(), control));
    let log = folder.join("drive.log");
    let sidecar = Sidecar::start(program, &settings, seed, log, &mut tasks).await?;
    send_requests(&replay, Clients::new(sidecar.address), on_progress).await;
    let ended = sidecar.stop().await?;
    tasks.abort_all();
    let mut driven = std::mem::take(&mut *replay.counts.borrow_mut());
    driven.recorded = replay.script.recorded.clone();
    if let Some(status) = ended {
        let fault = format!("the sidecar ended during the drive: {status}");
        driven.unexpected_faults.push(fault);
    }
    Ok(driven)
}

/// Starts an emulated pod for each pod of the script's endpoint lists.
async fn start_pods(replay: &Rc<Replay>, tasks: &mut JoinSet<()>) -> Result<(), DriveError> {
    for timed in &replay.script.notifications {
        let Notification::Endpoints { pods, .. } = &timed.notification else {
            continue;
        };
        for pod in pods {
            let key = PodKey::of(pod);
            if replay.pods.borrow().contains_key(&key) {
                continue;
            }
            let listener = TcpListener::bind(ANY_PORT).await?;
            let address = listener.local_addr()?;
            replay.pods.borrow_mut().insert(key, address);
            tasks.spawn_local(pods::serve(replay.clone(), pod.build, listener));
        }
    }
    Ok(())
}

/// Begins the drive, sends each request at its time and waits for the last answer.
async fn send_requests(
    replay: &Rc<Replay>,
    clients: Clients,
    mut on_progress: impl FnMut(Nanos, Nanos),
) {
    let began = Instant::now();
    replay.began.set(Some(began));
    sleep(FIRST_REQUEST_DELAY).await;
    let clients = Rc::new(clients);
    let mut in_flight = JoinSet::new();
    let mut reported_second = 0;
    for recorded in &replay.script.requests {
        let due = recorded.at;
        sleep_until(began + FIRST_REQUEST_DELAY + Duration::from_nanos(due)).await;
        let (replay, clients, recorded) = (replay.clone(), clients.clone(), recorded.clone());
        let length = replay.script.length;
        in_flight.spawn_local(async move { clients.send(&replay, &recorded).await });
        while in_flight.try_join_next().is_some() {}
        if due / NANOS_PER_SECOND > reported_second {
            reported_second = due / NANOS_PER_SECOND;
            on_progress(due, length);
        }
    }
    while in_flight.join_next().await.is_some() {}
}
