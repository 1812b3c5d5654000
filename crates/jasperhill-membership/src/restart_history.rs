//! Detection of crash loops: processes that restart quickly several times in a row.
//!
//! A crash-looping controller would take its roles back after every restart without ever serving
//! them, although other controllers could. After a few quick restarts, [`RestartHistory`] makes the
//! controller leave its roles to other controllers for a back-off that grows with each further
//! quick restart. The module reads no clock and does no I/O; every change goes through
//! [`RestartHistory::apply`].
//!
//! Safety does not depend on this module. The record of a role that was left names a session that
//! no longer exists, and another controller takes the role as it takes any orphaned role: by a
//! guarded write at a new revision.

use jasperhill_wire::Micros;

/// A run shorter than this, by wall-clock time, counts as followed by a quick restart.
const QUICK_RUN_MAX: Micros = Micros::from_secs(10);
/// The back-off when the number of quick restarts reaches the threshold.
const BACKOFF_BASE: Micros = Micros::from_secs(4);
/// The increase of the back-off for each quick restart above the threshold.
const BACKOFF_STEP: Micros = Micros::from_secs(2);
/// The longest back-off.
const BACKOFF_MAX: Micros = Micros::from_secs(30);
/// The highest value of the quick-restart counter (count).
const QUICK_RESTARTS_MAX: u32 = 100;

/// The start time and restart count of a process, as stored in its session record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessRun {
    /// The wall-clock time at which the process started its session.
    pub started_at: Micros,
    /// The number of consecutive quick restarts that led to this run.
    pub quick_restarts: u32,
}

impl ProcessRun {
    /// Returns how long the process has to run to count as stable. `threshold` is the number of
    /// quick restarts from which on the process is in a crash loop; 0 disables the detection.
    pub fn backoff(&self, threshold: u32) -> Micros {
        if threshold == 0 || self.quick_restarts < threshold {
            return Micros::ZERO;
        }
        let restarts_above_threshold = u64::from(self.quick_restarts - threshold);
        (BACKOFF_BASE + Micros(BACKOFF_STEP.0.saturating_mul(restarts_above_threshold)))
            .min(BACKOFF_MAX)
    }

    /// Returns whether the process has reached `threshold` quick restarts and has not yet run for
    /// its back-off at wall-clock time `wall_clock`. The wall clocks of machines may differ by
    /// about a second, which only shifts the end of the back-off by as much.
    pub fn is_crash_looping(&self, threshold: u32, wall_clock: Micros) -> bool {
        wall_clock - self.started_at < self.backoff(threshold)
    }
}

/// Whether this process may hold roles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The process has no session yet.
    NotStarted,
    /// The process has restarted quickly too often and leaves its roles to other controllers.
    CrashLooping {
        /// The end of the back-off, by the monotonic clock.
        until: Micros,
    },
    /// The process may hold any role.
    Stable,
}

/// An event that may change the phase.
#[derive(Clone, Copy, Debug)]
pub enum Input {
    /// The process is about to start a session.
    SessionStarting {
        /// The run stored in the record of the previous session; `None` if there is no record.
        previous_run: Option<ProcessRun>,
        /// The current wall-clock time.
        wall_clock: Micros,
    },
    /// Time has passed.
    Tick,
}

/// Tracks whether this process is in a crash loop. Updated when a session starts and whenever roles
/// are evaluated.
#[derive(Clone, Debug)]
pub struct RestartHistory {
    /// The number of quick restarts from which on the process is in a crash loop; 0 disables the
    /// detection.
    threshold: u32,
    phase: Phase,
    /// The run to store in the session record of this process.
    current_run: ProcessRun,
    /// The time at which this process started, by the monotonic clock.
    process_started: Micros,
}

impl RestartHistory {
    /// Creates the history of a process that starts at `now`, by the monotonic clock. `threshold`
    /// is the number of quick restarts from which on the process is in a crash loop; 0 disables the
    /// detection.
    pub fn new(threshold: u32, now: Micros) -> Self {
        Self {
            threshold,
            phase: Phase::NotStarted,
            current_run: ProcessRun::default(),
            process_started: now,
        }
    }

    /// Returns whether this process may hold roles.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the run to store in the session record of this process.
    pub fn current_run(&self) -> ProcessRun {
        self.current_run
    }

    /// Returns the number of quick restarts from which on the process is in a crash loop; 0 if the
    /// detection is disabled.
    pub fn threshold(&self) -> u32 {
        self.threshold
    }

    /// Returns whether this process can be expected to keep running at `now`, by the monotonic
    /// clock: its session started without a preceding quick restart, or it has run for longer than
    /// a quick run.
    pub fn is_stable(&self, now: Micros) -> bool {
        let no_quick_restart_before =
            self.phase != Phase::NotStarted && self.current_run.quick_restarts == 0;
        no_quick_restart_before || now - self.process_started >= QUICK_RUN_MAX
    }

    /// Applies one input at `now`, by the monotonic clock, and returns the resulting phase. No
    /// other function changes the history.
    pub fn apply(&mut self, input: Input, now: Micros) -> Phase {
        match (self.phase, input) {
            (
                Phase::NotStarted,
                Input::SessionStarting {
                    previous_run,
                    wall_clock,
                },
            ) => {
                let was_quick_run = |run: &ProcessRun| {
                    wall_clock - run.started_at < QUICK_RUN_MAX + run.backoff(self.threshold)
                };
                let quick_restarts = previous_run
                    .filter(was_quick_run)
                    .map_or(0, |run| run.quick_restarts + 1);
                self.current_run = ProcessRun {
                    started_at: wall_clock,
                    quick_restarts: quick_restarts.min(QUICK_RESTARTS_MAX),
                };
                let backoff_end = self.process_started + self.current_run.backoff(self.threshold);
                self.phase = if now < backoff_end {
                    Phase::CrashLooping { until: backoff_end }
                } else {
                    Phase::Stable
                };
            }
            // A later session of the same process does not count as a restart; only the end of the
            // back-off changes the phase.
            (Phase::CrashLooping { until }, _) if now >= until => self.phase = Phase::Stable,
            (Phase::NotStarted | Phase::CrashLooping { .. } | Phase::Stable, _) => {}
        }
        self.phase
    }
}
