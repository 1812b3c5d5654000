//! Token buckets, which keep this controller's requests within its share of a service's rate
//! limits. They read no clock: the caller passes the time.

use jasperhill_wire::Micros;

/// Margin added to a computed wait. Without it, rounding could make the wait slightly too short and
/// cause a second wait.
const WAIT_MARGIN: Micros = Micros::from_millis(1);

/// A token bucket whose level may become negative.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Refill rate in tokens per second.
    rate: f64,
    /// Capacity of the bucket in tokens; at least 1.
    burst: f64,
    /// Number of tokens in the bucket at `refilled_at`; negative while in debt.
    level: f64,
    /// Time of the last refill, by the steady clock.
    refilled_at: Micros,
}

impl TokenBucket {
    /// Creates a full bucket with a refill rate of `rate` tokens per second and a capacity of
    /// `burst` tokens, which is raised to 1 if lower.
    pub fn new(rate: f64, burst: f64, now: Micros) -> Self {
        let burst = burst.max(1.0);
        Self {
            rate,
            burst,
            level: burst,
            refilled_at: now,
        }
    }

    /// Returns the bucket filled to a fraction (0 to 1) of its capacity.
    pub fn with_fill_fraction(mut self, fraction: f64) -> Self {
        self.level = self.burst * fraction.clamp(0.0, 1.0);
        self
    }

    /// Adds the tokens that have accrued since the last refill.
    fn refill(&mut self, now: Micros) {
        let elapsed = (now - self.refilled_at).as_secs_f64();
        self.level = (self.level + elapsed * self.rate).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes `tokens` from the bucket, but no more than its capacity.
    ///
    /// # Errors
    /// The time until there are enough tokens, if there are too few now; none are taken in this case.
    pub fn take(&mut self, tokens: f64, now: Micros) -> Result<(), Micros> {
        self.refill(now);
        let tokens = tokens.min(self.burst);
        if self.level >= tokens {
            self.level -= tokens;
            Ok(())
        } else {
            Err(self.accrual_time(tokens - self.level))
        }
    }

    /// Takes `tokens` even if the level becomes negative, down to minus the capacity. For requests
    /// that must not wait.
    pub fn take_into_debt(&mut self, tokens: f64, now: Micros) {
        self.refill(now);
        self.level = (self.level - tokens).max(-self.burst);
    }

    /// Returns the refill rate in tokens per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the capacity in tokens.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// Returns the time until the bucket holds `tokens` (or is full, if that is less); `None` if it
    /// does already.
    pub fn time_until_available(&mut self, tokens: f64, now: Micros) -> Option<Micros> {
        self.refill(now);
        let missing_tokens = tokens.min(self.burst) - self.level;
        (missing_tokens > 0.0).then(|| self.accrual_time(missing_tokens))
    }

    /// Returns the current number of tokens; negative while in debt.
    pub fn level(&mut self, now: Micros) -> f64 {
        self.refill(now);
        self.level
    }

    /// Returns the time in which the given number of tokens accrues, plus [`WAIT_MARGIN`].
    fn accrual_time(&self, tokens: f64) -> Micros {
        Micros::from_secs_f64(tokens / self.rate) + WAIT_MARGIN
    }
}
