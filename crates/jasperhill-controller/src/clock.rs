//! The two clocks: a steady one for durations, the time of day for deadlines that must mean
//! the same to all controllers.

use jasperhill_wire::Micros;
use std::{rc::Rc, time::Duration};
use tokio::time::Instant;

#[derive(Clone)]
pub struct Clock {
    origin: Instant,
    wall: Rc<dyn Fn() -> Micros>,
}

impl Clock {
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
    /// Steady. Begins an hour up, so that subtracting never reaches below zero.
    pub fn now(&self) -> Micros {
        let since = Instant::now() - self.origin;
        Micros::from_secs(3_600) + Micros(since.as_micros().try_into().unwrap_or(u64::MAX))
    }
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
