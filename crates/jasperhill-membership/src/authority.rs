//! Sessions and authority. A controller may act only while its session surely lives and its
//! watch cache is surely recent; both are judged from the *sending* of the requests that showed it.
//! Every change goes through [`Authority::apply`].

use jasperhill_wire::{Micros, Revision};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Session {
    /// None; nothing may be owned.
    None,
    /// Tied to the session's key, written at `version`.
    Held { lease: u64, version: Revision },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// A session was begun; its lease was asked for at `sent`.
    Begun {
        lease: u64,
        version: Revision,
        sent: Micros,
    },
    /// The renewal sent at `sent` succeeded.
    Renewed { lease: u64, sent: Micros },
    /// The state service says that the lease or its key is gone.
    Lost { lease: u64 },
    /// The watch cache holds everything up to `sent`.
    Fresh { sent: Micros },
}

#[derive(Clone, Debug)]
pub struct Authority {
    session: Session,
    renewed: Micros,
    fresh: Micros,
    ttl: Micros,
    age_max: Micros,
}

impl Authority {
    pub fn new(ttl: Micros, age_max: Micros) -> Self {
        Self {
            session: Session::None,
            renewed: Micros::ZERO,
            fresh: Micros::ZERO,
            ttl,
            age_max,
        }
    }
    pub fn session(&self) -> Session {
        self.session
    }
    pub fn ttl(&self) -> Micros {
        self.ttl
    }
    pub fn fresh(&self) -> Micros {
        self.fresh
    }

    /// The one function that changes the authority.
    pub fn apply(&mut self, input: Input) {
        match input {
            Input::Begun {
                lease,
                version,
                sent,
            } => {
                self.session = Session::Held { lease, version };
                self.renewed = sent;
            }
            Input::Renewed { lease, sent } => {
                if matches!(self.session, Session::Held { lease: held, .. } if held == lease) {
                    self.renewed = self.renewed.max(sent);
                }
            }
            Input::Lost { lease } => {
                if matches!(self.session, Session::Held { lease: held, .. } if held == lease) {
                    self.session = Session::None;
                }
            }
            Input::Fresh { sent } => self.fresh = self.fresh.max(sent),
        }
    }

    /// Drift of the clocks and late timers.
    fn margin(&self) -> Micros {
        self.ttl.scale(0.002) + Micros::from_millis(200)
    }

    pub fn until(&self) -> Micros {
        match self.session {
            Session::None => Micros::ZERO,
            Session::Held { .. } => {
                (self.renewed + self.ttl - self.margin()).min(self.fresh + self.age_max)
            }
        }
    }

    /// Asked again before every order and every answer, not once per round: a process may
    /// have been stalled in between.
    pub fn holds(&self, now: Micros) -> bool {
        now < self.until()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn input() -> impl Strategy<Value = Input> {
        let t = (0u64..100_000_000).prop_map(Micros);
        prop_oneof![
            (0u64..3, t.clone()).prop_map(|(lease, sent)| Input::Begun {
                lease,
                version: Revision(1),
                sent
            }),
            (0u64..3, t.clone()).prop_map(|(lease, sent)| Input::Renewed { lease, sent }),
            (0u64..3).prop_map(|lease| Input::Lost { lease }),
            t.prop_map(|sent| Input::Fresh { sent }),
        ]
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            rng_seed: proptest::test_runner::RngSeed::Fixed(5),
            failure_persistence: None,
            ..ProptestConfig::default()
        })]
        /// Whatever happens, authority never outlasts the lease counted from the last renewal
        /// that was sent, nor the bound on the watch cache's age.
        #[test]
        fn authority_ends_in_time(inputs in proptest::collection::vec(input(), 1..40)) {
            let (ttl, age) = (Micros::from_secs(10), Micros::from_secs(15));
            let mut authority = Authority::new(ttl, age);
            let (mut sent, mut fresh, mut held) = (Micros::ZERO, Micros::ZERO, None);
            for input in inputs {
                authority.apply(input);
                match input {
                    Input::Begun { lease, sent: s, .. } => { held = Some(lease); sent = s; }
                    Input::Renewed { lease, sent: s } if held == Some(lease) => sent = sent.max(s),
                    Input::Lost { lease } if held == Some(lease) => held = None,
                    Input::Fresh { sent: s } => fresh = fresh.max(s),
                    _ => {}
                }
                prop_assert!(authority.until() < sent + ttl);
                prop_assert!(authority.until() <= fresh + age);
                prop_assert!(held.is_some() || !authority.holds(Micros::ZERO));
            }
        }
    }
}
