//! Times in whole microseconds and amounts in whole millionths.

use serde::{Deserialize, Serialize};
use std::ops::{Add, AddAssign, Sub, SubAssign};

/// A point in time or a duration, in whole microseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Micros(pub u64);

impl Micros {
    /// No time.
    pub const ZERO: Self = Self(0);
    /// Longer than anything lasts.
    pub const MAX: Self = Self(u64::MAX);
    /// So many milliseconds.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// So many seconds.
    pub const fn from_secs(s: u64) -> Self {
        Self(s * 1_000_000)
    }

    /// So many seconds. Rounds; negative and non-finite values give zero.
    pub fn from_secs_f64(s: f64) -> Self {
        Self((s * 1e6).round().max(0.0) as u64)
    }

    /// In seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// The difference; never below zero.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Scaled by a factor; never overflows.
    pub fn scale(self, factor: f64) -> Self {
        Self((self.0 as f64 * factor).round().max(0.0) as u64)
    }
}

impl Add for Micros {
    type Output = Self;
    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Micros {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Micros {
    type Output = Self;
    /// Never below zero.
    fn sub(self, other: Self) -> Self {
        self.saturating_sub(other)
    }
}

/// CPUs, accelerators and memory, each in millionths of its unit, so that sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Millionths of a CPU.
    pub cpus: u64,
    /// Millionths of an accelerator.
    pub gpus: u64,
    /// Millionths of a gigabyte.
    pub memory: u64,
}

/// The largest amount that is taken seriously, in units.
pub const AMOUNT_MAX: f64 = 1e9;

impl Resources {
    /// From whole units: CPUs, accelerators and gigabytes.
    pub fn from_units(cpus: f64, gpus: f64, memory: f64) -> Self {
        let millionths = |x: f64| (x.clamp(0.0, AMOUNT_MAX) * 1e6).round() as u64;
        Self {
            cpus: millionths(cpus),
            gpus: millionths(gpus),
            memory: millionths(memory),
        }
    }

    /// Whether this fits into `room`, in every dimension.
    pub fn fits(&self, room: &Self) -> bool {
        self.cpus <= room.cpus && self.gpus <= room.gpus && self.memory <= room.memory
    }

    /// So many times this; never overflows.
    pub fn times(&self, n: u64) -> Self {
        Self {
            cpus: self.cpus.saturating_mul(n),
            gpus: self.gpus.saturating_mul(n),
            memory: self.memory.saturating_mul(n),
        }
    }

    /// How many of these fit into `room`.
    pub fn count_in(&self, room: &Self) -> u64 {
        let f = |need: u64, have: u64| have.checked_div(need).unwrap_or(u64::MAX);
        f(self.cpus, room.cpus)
            .min(f(self.gpus, room.gpus))
            .min(f(self.memory, room.memory))
    }

    /// The largest part of `whole` that this takes in any dimension.
    pub fn share_of(&self, whole: &Self) -> f64 {
        let f = |a: u64, b: u64| if b == 0 { 0.0 } else { a as f64 / b as f64 };
        f(self.cpus, whole.cpus)
            .max(f(self.gpus, whole.gpus))
            .max(f(self.memory, whole.memory))
    }
}

impl Add for Resources {
    type Output = Self;
    fn add(mut self, o: Self) -> Self {
        self += o;
        self
    }
}
impl AddAssign for Resources {
    fn add_assign(&mut self, o: Self) {
        self.cpus = self.cpus.saturating_add(o.cpus);
        self.gpus = self.gpus.saturating_add(o.gpus);
        self.memory = self.memory.saturating_add(o.memory);
    }
}
impl SubAssign for Resources {
    fn sub_assign(&mut self, o: Self) {
        self.cpus = self.cpus.saturating_sub(o.cpus);
        self.gpus = self.gpus.saturating_sub(o.gpus);
        self.memory = self.memory.saturating_sub(o.memory);
    }
}
