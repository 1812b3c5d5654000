//! Fixed-point units: times in whole microseconds and resource amounts in whole millionths.

use serde::{Deserialize, Serialize};
use std::ops::{Add, AddAssign, Sub, SubAssign};

/// A point in time or a duration, in whole microseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Micros(pub u64);

impl Micros {
    /// Zero, as a duration or a point in time.
    pub const ZERO: Self = Self(0);
    /// The largest representable time.
    pub const MAX: Self = Self(u64::MAX);
    /// Converts from milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Converts from seconds.
    pub const fn from_secs(seconds: u64) -> Self {
        Self(seconds * 1_000_000)
    }

    /// Converts from seconds, rounded to the nearest microsecond. Negative values and NaN become
    /// zero; values too large to represent, including infinity, become [`Micros::MAX`].
    pub fn from_secs_f64(seconds: f64) -> Self {
        Self((seconds * 1e6).round().max(0.0) as u64)
    }

    /// Converts to seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Returns the difference, or zero if `other` is greater.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Multiplies by a factor, rounded to the nearest microsecond; the result saturates instead of
    /// overflowing.
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
    /// Returns the difference, or zero if `other` is greater.
    fn sub(self, other: Self) -> Self {
        self.saturating_sub(other)
    }
}

/// Amounts of CPUs, accelerators and memory. They are integers, in millionths of a unit, so that
/// sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// CPUs, in millionths of a CPU.
    pub cpus: u64,
    /// Accelerators, in millionths of an accelerator.
    pub gpus: u64,
    /// Memory, in millionths of a gigabyte.
    pub memory: u64,
}

/// The largest accepted amount, in whole units such as CPUs, gigabytes or seconds.
pub const AMOUNT_MAX: f64 = 1e9;

impl Resources {
    /// Converts from whole units: CPUs, accelerators and gigabytes. Amounts are clamped to 0 to
    /// [`AMOUNT_MAX`].
    pub fn from_units(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        let millionths = |units: f64| (units.clamp(0.0, AMOUNT_MAX) * 1e6).round() as u64;
        Self {
            cpus: millionths(cpus),
            gpus: millionths(gpus),
            memory: millionths(memory_gb),
        }
    }

    /// Returns whether these resources fit into the available ones, in every dimension.
    pub fn fits(&self, available: &Self) -> bool {
        self.cpus <= available.cpus
            && self.gpus <= available.gpus
            && self.memory <= available.memory
    }

    /// Returns these resources multiplied by a count; each dimension saturates instead of
    /// overflowing.
    pub fn times(&self, count: u64) -> Self {
        Self {
            cpus: self.cpus.saturating_mul(count),
            gpus: self.gpus.saturating_mul(count),
            memory: self.memory.saturating_mul(count),
        }
    }

    /// Returns how many times these resources fit into the available ones; `u64::MAX` if these
    /// resources are all zero.
    pub fn count_in(&self, available: &Self) -> u64 {
        let quotient =
            |needed: u64, available: u64| available.checked_div(needed).unwrap_or(u64::MAX);
        quotient(self.cpus, available.cpus)
            .min(quotient(self.gpus, available.gpus))
            .min(quotient(self.memory, available.memory))
    }

    /// Returns the dominant share: the largest fraction of the total that these resources take up
    /// in any dimension. A dimension whose total is zero is ignored.
    pub fn share_of(&self, total: &Self) -> f64 {
        let fraction = |used: u64, total: u64| {
            if total == 0 {
                0.0
            } else {
                used as f64 / total as f64
            }
        };
        fraction(self.cpus, total.cpus)
            .max(fraction(self.gpus, total.gpus))
            .max(fraction(self.memory, total.memory))
    }
}

impl Add for Resources {
    type Output = Self;
    fn add(mut self, other: Self) -> Self {
        self += other;
        self
    }
}
impl AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        self.cpus = self.cpus.saturating_add(other.cpus);
        self.gpus = self.gpus.saturating_add(other.gpus);
        self.memory = self.memory.saturating_add(other.memory);
    }
}
impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Self) {
        self.cpus = self.cpus.saturating_sub(other.cpus);
        self.gpus = self.gpus.saturating_sub(other.gpus);
        self.memory = self.memory.saturating_sub(other.memory);
    }
}
