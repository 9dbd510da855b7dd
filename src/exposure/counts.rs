//! Counts over the window of the exposure cap: the attempts by build and route class, and the requests by route
//! class.

use crate::interface::{Build, ExposureSettings, Nanos, RouteClassId};
use crate::window::SlidingWindow;

/// The sliding windows of the attempts to one build, one for each bucket.
struct BuildAttempts {
    build: Build,
    windows: Vec<SlidingWindow>,
}

/// The counts that the cap is compared with. A bucket is the window of one route class, or of all classes where the
/// cap applies to all together. Successive classes of one name share a bucket: the cap counts by name, whichever
/// version of the rules a request arrived with.
pub(crate) struct ExposureCounts {
    per_class: bool,
    window: Nanos,
    slices: usize,
    /// The bucket of each route class; used only where the cap applies to each class separately.
    bucket_of_class: Vec<usize>,
    requests: Vec<SlidingWindow>,
    /// The counts of a build are removed once no running pod has it and it is no longer on trial.
    attempts: Vec<BuildAttempts>,
}

impl ExposureCounts {
    pub(crate) fn new(settings: &ExposureSettings, classes: usize, slices: usize) -> Self {
        let bucket_count = if settings.per_class { classes } else { 1 };
        ExposureCounts {
            per_class: settings.per_class,
            window: settings.window,
            slices,
            bucket_of_class: (0..classes).collect(),
            requests: vec![SlidingWindow::new(settings.window, slices); bucket_count],
            attempts: Vec::new(),
        }
    }

    /// Sets the bucket of a route class: that of its predecessor, or a new one, which is emptied.
    pub(crate) fn set_bucket(&mut self, class: RouteClassId, bucket: usize, is_new: bool) {
        if self.bucket_of_class.len() <= class {
            self.bucket_of_class.resize(class + 1, 0);
        }
        self.bucket_of_class[class] = bucket;
        if !(self.per_class && is_new) {
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
        self.bucket_of_class[class] * self.per_class as usize
    }

    pub(crate) fn add_request(&mut self, now: Nanos, class: RouteClassId) {
        let bucket = self.bucket(class);
        self.requests[bucket].add(now);
    }

    pub(crate) fn add_attempt(&mut self, now: Nanos, build: Build, class: RouteClassId) {
        let bucket = self.bucket(class);
        self.windows_of(build)[bucket].add(now);
    }

    /// Returns the requests in the bucket of a class. The count is never too high.
    pub(crate) fn requests(&mut self, now: Nanos, class: RouteClassId) -> u32 {
        let bucket = self.bucket(class);
        self.requests[bucket].lower_bound(now)
    }

    /// Returns the requests in all buckets. The count is never too high.
    pub(crate) fn all_requests(&mut self, now: Nanos) -> u32 {
        let counts = self.requests.iter_mut();
        counts.map(|window| window.lower_bound(now)).sum()
    }

    /// Returns the attempts to a build in the bucket of a class. The count is never too low.
    pub(crate) fn attempts(&mut self, now: Nanos, build: Build, class: RouteClassId) -> u32 {
        let bucket = self.bucket(class);
        self.windows_of(build)[bucket].upper_bound(now)
    }

    /// Removes the counts of the builds for which `keep` is false.
    pub(crate) fn retain_builds(&mut self, keep: impl Fn(Build) -> bool) {
        self.attempts.retain(|counts| keep(counts.build));
    }

    fn windows_of(&mut self, build: Build) -> &mut Vec<SlidingWindow> {
        let existing = self
            .attempts
            .iter()
            .position(|counts| counts.build == build);
        let index = existing.unwrap_or_else(|| {
            let windows = self.requests.iter().map(SlidingWindow::emptied).collect();
            self.attempts.push(BuildAttempts { build, windows });
            self.attempts.len() - 1
        });
        &mut self.attempts[index].windows
    }
}
