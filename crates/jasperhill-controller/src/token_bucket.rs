//! Token buckets, which keep this controller's requests below its share of a service's limits. Pure: the
//! caller gives the time.

use jasperhill_wire::Micros;

/// What a computed wait is lengthened by. Guards against a wait that rounding makes a little too short,
/// and a second one after it.
const WAIT_MARGIN: Micros = Micros::from_millis(1);

/// A token bucket that may go into debt.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Tokens a second.
    rate: f64,
    /// Tokens that it holds, at most; 1 or more.
    burst: f64,
    /// Tokens that it holds as of `filled_at`; negative while in debt.
    level: f64,
    /// When it was last filled, by the steady clock.
    filled_at: Micros,
}

impl TokenBucket {
    /// A full bucket: `rate` tokens a second, `burst` tokens at once.
    pub fn new(rate: f64, burst: f64, now: Micros) -> Self {
        let burst = burst.max(1.0);
        Self {
            rate,
            burst,
            level: burst,
            filled_at: now,
        }
    }

    /// The same bucket, filled to this part (0 to 1) of the burst.
    pub fn filled_to(mut self, part: f64) -> Self {
        self.level = self.burst * part.clamp(0.0, 1.0);
        self
    }

    /// Adds the tokens that have come since it was last filled.
    fn fill(&mut self, now: Micros) {
        let elapsed = (now - self.filled_at).as_secs_f64();
        self.level = (self.level + elapsed * self.rate).min(self.burst);
        self.filled_at = self.filled_at.max(now);
    }

    /// Takes `tokens`, or as many as the burst if that is less.
    ///
    /// # Errors
    /// How long to wait for them, if there are not enough; none are taken then.
    pub fn take(&mut self, tokens: f64, now: Micros) -> Result<(), Micros> {
        self.fill(now);
        let tokens = tokens.min(self.burst);
        if self.level >= tokens {
            self.level -= tokens;
            Ok(())
        } else {
            Err(self.time_to_gain(tokens - self.level))
        }
    }

    /// Takes `tokens` even if that leaves a debt, which is at most a burst: for what must not wait.
    pub fn take_into_debt(&mut self, tokens: f64, now: Micros) {
        self.fill(now);
        self.level = (self.level - tokens).max(-self.burst);
    }

    /// Tokens a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Tokens that it holds, at most.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// How long until it holds `tokens`, if it does not.
    pub fn wait_for(&mut self, tokens: f64, now: Micros) -> Option<Micros> {
        self.fill(now);
        let missing = tokens.min(self.burst) - self.level;
        (missing > 0.0).then(|| self.time_to_gain(missing))
    }

    /// Tokens that it holds; negative while in debt.
    pub fn level(&mut self, now: Micros) -> f64 {
        self.fill(now);
        self.level
    }

    /// How long it takes until so many more tokens have come.
    fn time_to_gain(&self, tokens: f64) -> Micros {
        Micros::from_secs_f64(tokens / self.rate) + WAIT_MARGIN
    }
}
