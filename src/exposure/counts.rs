//! Attempts by build and requests taken, by route class, over the cap's window. State only.

use crate::interface::{Build, ExposureSettings, Nanos, RouteClassId};
use crate::window::SlidingWindow;

/// The windows of one build's attempts, one for each bucket.
struct BuildAttempts {
    build: Build,
    windows: Vec<SlidingWindow>,
}

/// What a cap is counted by. A bucket is the window of a route class, or of all where the cap holds for all
/// together. Classes that follow one another under one name share a bucket: a cap counts by name, whatever
/// version of the rules a request began with.
pub(crate) struct ExposureCounts {
    per_class: bool,
    window: Nanos,
    slices: usize,
    buckets: Vec<usize>,
    requests: Vec<SlidingWindow>,
    /// Emptied of a build when no listed pod runs it and it is no longer on trial.
    attempts: Vec<BuildAttempts>,
}

impl ExposureCounts {
    pub(crate) fn new(settings: &ExposureSettings, classes: usize, slices: usize) -> Self {
        let counted = if settings.per_class { classes } else { 1 };
        ExposureCounts {
            per_class: settings.per_class,
            window: settings.window,
            slices,
            buckets: (0..classes).collect(),
            requests: vec![SlidingWindow::new(settings.window, slices); counted],
            attempts: Vec::new(),
        }
    }

    /// Counts a route class in this bucket: its predecessor's, or a fresh one.
    pub(crate) fn set_bucket(&mut self, class: RouteClassId, bucket: usize, fresh: bool) {
        if self.buckets.len() <= class {
            self.buckets.resize(class + 1, 0);
        }
        self.buckets[class] = bucket;
        if !(self.per_class && fresh) {
            return;
        }
        let empty = SlidingWindow::new(self.window, self.slices);
        let attempts = self.attempts.iter_mut().map(|counts| &mut counts.windows);
        for windows in attempts.chain([&mut self.requests]) {
            if windows.len() <= bucket {
                windows.resize(bucket + 1, empty.clone());
            }
            windows[bucket] = empty.clone();
        }
    }

    fn bucket(&self, class: RouteClassId) -> usize {
        self.buckets[class] * self.per_class as usize
    }

    pub(crate) fn add_request(&mut self, now: Nanos, class: RouteClassId) {
        let bucket = self.bucket(class);
        self.requests[bucket].add(now);
    }

    pub(crate) fn add_attempt(&mut self, now: Nanos, build: Build, class: RouteClassId) {
        let bucket = self.bucket(class);
        self.windows_of(build)[bucket].add(now);
    }

    /// Requests of a class's bucket, never more than were taken.
    pub(crate) fn requests(&mut self, now: Nanos, class: RouteClassId) -> u32 {
        let bucket = self.bucket(class);
        self.requests[bucket].lower_bound(now)
    }

    /// Requests of all buckets, never more than were taken.
    pub(crate) fn all_requests(&mut self, now: Nanos) -> u32 {
        let counts = self.requests.iter_mut();
        counts.map(|window| window.lower_bound(now)).sum()
    }

    /// Attempts to a build in a class's bucket, never fewer than were sent.
    pub(crate) fn attempts(&mut self, now: Nanos, build: Build, class: RouteClassId) -> u32 {
        let bucket = self.bucket(class);
        self.windows_of(build)[bucket].upper_bound(now)
    }

    /// Keeps the counts of the given builds only.
    pub(crate) fn retain_builds(&mut self, keep: impl Fn(Build) -> bool) {
        self.attempts.retain(|counts| keep(counts.build));
    }

    fn windows_of(&mut self, build: Build) -> &mut Vec<SlidingWindow> {
        let known = self
            .attempts
            .iter()
            .position(|counts| counts.build == build);
        let index = known.unwrap_or_else(|| {
            let windows = self.requests.iter().map(SlidingWindow::emptied).collect();
            self.attempts.push(BuildAttempts { build, windows });
            self.attempts.len() - 1
        });
        &mut self.attempts[index].windows
    }
}
