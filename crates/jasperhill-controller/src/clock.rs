//! The clocks of a controller: a steady (monotonic) clock for durations, and the time of day for
//! deadlines that must mean the same to all controllers. Has no mutable state; tests can replace
//! the source of the time of day.

use jasperhill_wire::Micros;
use std::{rc::Rc, time::Duration};
use tokio::time::Instant;

/// The steady clock and the time of day of a process.
#[derive(Clone)]
pub struct Clock {
    /// When this clock was created, at the start of the process.
    origin: Instant,
    /// Returns the time of day since the Unix epoch.
    wall: Rc<dyn Fn() -> Micros>,
}

/// The steady time at the start of the process. Durations up to this long can be subtracted from
/// any steady time without reaching zero.
const STEADY_START: Micros = Micros::from_secs(3_600);

impl Clock {
    /// Creates clocks with the given source of the time of day.
    pub fn new(wall: impl Fn() -> Micros + 'static) -> Self {
        Self {
            origin: Instant::now(),
            wall: Rc::new(wall),
        }
    }

    /// Creates clocks that use the time of day of the operating system.
    pub fn system() -> Self {
        Self::new(|| {
            let since_epoch = std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .unwrap_or_default();
            Micros(since_epoch.as_micros().try_into().unwrap_or(u64::MAX))
        })
    }

    /// Returns the steady time, which is not comparable between processes.
    pub fn now(&self) -> Micros {
        let since_origin = Instant::now() - self.origin;
        STEADY_START + Micros(since_origin.as_micros().try_into().unwrap_or(u64::MAX))
    }

    /// Returns the time of day since the Unix epoch.
    pub fn wall(&self) -> Micros {
        (self.wall)()
    }

    /// Converts a time of day to steady time.
    pub fn steady(&self, wall: Micros) -> Micros {
        let (now, now_wall) = (self.now(), self.wall());
        if wall >= now_wall {
            now + (wall - now_wall)
        } else {
            now - (now_wall - wall)
        }
    }
}

/// Converts a duration to the type that tokio's timers take.
pub(crate) fn to_duration(duration: Micros) -> Duration {
    Duration::from_micros(duration.0)
}
