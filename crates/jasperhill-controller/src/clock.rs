//! The two clocks: a steady one for durations, the time of day for deadlines that must mean
//! the same to all controllers. Owns no state that changes; tests put a time of day of their own
//! behind it.

use jasperhill_wire::Micros;
use std::{rc::Rc, time::Duration};
use tokio::time::Instant;

/// The clocks of a process.
#[derive(Clone)]
pub struct Clock {
    /// When the process began.
    origin: Instant,
    /// The time of day.
    wall: Rc<dyn Fn() -> Micros>,
}

/// What the steady clock shows when the process begins: so much may be subtracted from any time
/// without reaching zero.
const STEADY_START: Micros = Micros::from_secs(3_600);

impl Clock {
    /// Clocks with this source of the time of day.
    pub fn new(wall: impl Fn() -> Micros + 'static) -> Self {
        Self {
            origin: Instant::now(),
            wall: Rc::new(wall),
        }
    }

    /// The system's clocks.
    pub fn system() -> Self {
        Self::new(|| {
            let since = std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .unwrap_or_default();
            Micros(since.as_micros().try_into().unwrap_or(u64::MAX))
        })
    }

    /// The steady clock. Means nothing to other processes.
    pub fn now(&self) -> Micros {
        let since = Instant::now() - self.origin;
        STEADY_START + Micros(since.as_micros().try_into().unwrap_or(u64::MAX))
    }

    /// The time of day, since the Unix epoch.
    pub fn wall(&self) -> Micros {
        (self.wall)()
    }

    /// The steady time of a moment given as time of day.
    pub fn steady(&self, wall: Micros) -> Micros {
        let (now, now_wall) = (self.now(), self.wall());
        if wall >= now_wall {
            now + (wall - now_wall)
        } else {
            now - (now_wall - wall)
        }
    }
}

/// A length of time as timers take it.
pub(crate) fn to_duration(length: Micros) -> Duration {
    Duration::from_micros(length.0)
}
