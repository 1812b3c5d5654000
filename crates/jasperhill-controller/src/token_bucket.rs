//! Token buckets that keep this controller's requests below its share of a service's limits.

use jasperhill_wire::Micros;

#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Micros,
}

impl TokenBucket {
    pub fn new(rate: f64, burst: f64, now: Micros) -> Self {
        let burst = burst.max(1.0);
        Self {
            rate,
            burst,
            level: burst,
            at: now,
        }
    }
    /// As full as this part of the burst.
    pub fn filled_to(mut self, part: f64) -> Self {
        self.level = self.burst * part.clamp(0.0, 1.0);
        self
    }
    fn fill(&mut self, now: Micros) {
        self.level = (self.level + (now - self.at).as_secs_f64() * self.rate).min(self.burst);
        self.at = self.at.max(now);
    }
    /// Takes `n`, or says how long to wait for it.
    pub fn take(&mut self, n: f64, now: Micros) -> Result<(), Micros> {
        self.fill(now);
        let n = n.min(self.burst);
        if self.level >= n {
            self.level -= n;
            Ok(())
        } else {
            Err(Micros::from_secs_f64((n - self.level) / self.rate) + Micros::from_millis(1))
        }
    }
    /// Takes `n` even if that leaves a debt: for what must not wait.
    pub fn take_into_debt(&mut self, n: f64, now: Micros) {
        self.fill(now);
        self.level = (self.level - n).max(-self.burst);
    }
    pub fn rate(&self) -> f64 {
        self.rate
    }
    pub fn burst(&self) -> f64 {
        self.burst
    }
    /// How long until the level is at least `n`, if it is not.
    pub fn wait_for(&mut self, n: f64, now: Micros) -> Option<Micros> {
        self.fill(now);
        let lack = n.min(self.burst) - self.level;
        (lack > 0.0).then(|| Micros::from_secs_f64(lack / self.rate) + Micros::from_millis(1))
    }
    pub fn level(&mut self, now: Micros) -> f64 {
        self.fill(now);
        self.level
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_bucket_never_lets_more_through_than_its_rate_and_burst() {
        let mut bucket = TokenBucket::new(10.0, 5.0, Micros::ZERO);
        let (mut now, mut taken) = (Micros::ZERO, 0);
        while now < Micros::from_secs(10) {
            match bucket.take(1.0, now) {
                Ok(()) => taken += 1,
                Err(wait) => now += wait,
            }
        }
        assert!((100..=106).contains(&taken), "{taken}");
    }
}
