use super::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

fn id(n: usize) -> JobId {
    JobId::new(&format!("job-{n}"))
}

/// What happens to a job, in the order in which the service lets it happen.
#[derive(Clone, Debug)]
enum Event {
    Submit(usize, Vec<usize>),
    End(usize, bool),
}

/// A plain reading of the rules: every question walks the whole graph.
#[derive(Default)]
struct Plain {
    needs: BTreeMap<usize, Vec<usize>>,
    ended: BTreeMap<usize, bool>,
}

impl Plain {
    fn cancelled(&self, n: usize) -> bool {
        self.ended.get(&n) == Some(&false)
            || (!self.ended.contains_key(&n) && self.needs[&n].iter().any(|m| self.cancelled(*m)))
    }
    fn standing(&self, n: usize) -> DependencyState {
        if self.cancelled(n) {
            DependencyState::Doomed
        } else if self.needs[&n]
            .iter()
            .all(|m| self.ended.get(m) == Some(&true))
        {
            DependencyState::Ready
        } else {
            DependencyState::Waiting
        }
    }
    fn due(&self, n: usize) -> Option<Micros> {
        terms(n).due
    }
    /// What the unfinished jobs after this one leave it.
    fn claim(&self, n: usize) -> InheritedUrgency {
        let open = |m: &usize| !self.ended.contains_key(m) && !self.cancelled(*m);
        let after = self
            .needs
            .keys()
            .filter(|m| open(m) && self.needs[m].contains(&n));
        after.fold(InheritedUrgency::default(), |all, m| {
            let own = InheritedUrgency {
                due: self.due(*m),
                priority: Some(terms(*m).priority),
            };
            let mut leaves = self.claim(*m).with(own);
            leaves.due = leaves.due.map(|d| d - terms(*m).span);
            all.with(leaves)
        })
    }
}

fn terms(n: usize) -> JobUrgency {
    let priorities = [Priority::Low, Priority::Normal, Priority::High];
    JobUrgency {
        due: (n % 3 == 2).then(|| Micros::from_secs(1_000 + n as u64 * 7 % 50)),
        span: Micros::from_secs(1 + n as u64 % 5),
        priority: priorities[n % 3],
    }
}

/// A history that keeps the rules: jobs name earlier ones, end once, and are done only when
/// they were ready.
fn history() -> impl Strategy<Value = Vec<Event>> {
    proptest::collection::vec((any::<u8>(), any::<u16>(), any::<u16>()), 1..60).prop_map(|steps| {
        let (mut plain, mut events) = (Plain::default(), Vec::new());
        for (kind, a, b) in steps {
            let jobs = plain.needs.len();
            if kind % 3 == 0 || jobs == 0 {
                let mut needs: Vec<usize> = [a, b]
                    .iter()
                    .take(usize::from(kind) / 3 % 3)
                    .filter_map(|x| (usize::from(*x)).checked_rem(jobs))
                    .collect();
                needs.sort_unstable();
                needs.dedup();
                plain.needs.insert(jobs, needs.clone());
                events.push(Event::Submit(jobs, needs));
            } else {
                let n = usize::from(a) % jobs;
                let done = kind % 3 == 1;
                if plain.ended.contains_key(&n)
                    || (done && plain.standing(n) != DependencyState::Ready)
                {
                    continue;
                }
                plain.ended.insert(n, done);
                events.push(Event::End(n, done));
            }
        }
        events
    })
}

/// The records as one controller sees them: a final record may be the first it sees of a job.
#[derive(Default)]
struct Seen {
    chain: DependencyGraph,
    fates: BTreeMap<usize, RecordedOutcome>,
    outputs: Vec<Output>,
}

impl Seen {
    fn see(&mut self, event: &Event) {
        let fates = &self.fates;
        let fate = |j: &JobId| {
            let n: usize = j.as_str()[4..].parse().unwrap();
            fates.get(&n).copied().unwrap_or(RecordedOutcome::Open)
        };
        let outputs = match event {
            Event::Submit(n, _) if fates.contains_key(n) => Vec::new(),
            Event::Submit(n, needs) => {
                let needs: Vec<JobId> = needs.iter().map(|m| id(*m)).collect();
                self.chain.apply(Input::Accepted {
                    id: &id(*n),
                    needs: &needs,
                    terms: terms(*n),
                    fate: &fate,
                })
            }
            Event::End(n, done) => {
                let out = self.chain.apply(Input::Ended {
                    id: &id(*n),
                    done: *done,
                });
                let to = if *done {
                    RecordedOutcome::Done
                } else {
                    RecordedOutcome::Cancelled
                };
                self.fates.insert(*n, to);
                out
            }
        };
        self.outputs.extend(outputs);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(41),
        failure_persistence: None,
        cases: 400,
        ..ProptestConfig::default()
    })]
    /// Whatever happens, and in whatever order the records are seen, every unfinished job
    /// stands as the rules say, and nothing is kept of what is over.
    #[test]
    fn every_order_comes_to_what_the_rules_say(
        events in history(),
        shuffle in proptest::collection::vec(any::<u16>(), 60),
    ) {
        let mut plain = Plain::default();
        let mut in_order = Seen::default();
        for event in &events {
            match event {
                Event::Submit(n, needs) => { plain.needs.insert(*n, needs.clone()); }
                Event::End(n, done) => { plain.ended.insert(*n, *done); }
            }
            in_order.see(event);
            for n in plain.needs.keys().filter(|n| !plain.ended.contains_key(n)) {
                prop_assert_eq!(in_order.chain.state_of(&id(*n)), plain.standing(*n), "{}", n);
            }
        }
        // A release or a doom is told once, and only of what waited.
        let mut told = BTreeSet::new();
        for output in &in_order.outputs {
            if let Output::Released(j) | Output::Doomed(j) = output {
                prop_assert!(told.insert(j.clone()), "{} told twice", j);
            }
        }
        let mut other = Seen::default();
        let mut order: Vec<usize> = (0..events.len()).collect();
        order.sort_by_key(|i| shuffle[*i]);
        for i in order {
            other.see(&events[i]);
        }
        for seen in [&in_order, &other] {
            for n in plain.needs.keys().filter(|n| !plain.ended.contains_key(n)) {
                prop_assert_eq!(seen.chain.state_of(&id(*n)), plain.standing(*n), "{}", n);
            }
            let doomed: Vec<JobId> = seen.chain.cancelled_upstream().cloned().collect();
            let meant: BTreeSet<JobId> = plain.needs.keys()
                .filter(|n| !plain.ended.contains_key(n) && plain.cancelled(**n))
                .map(|n| id(*n)).collect();
            prop_assert_eq!(doomed, meant.into_iter().collect::<Vec<_>>());
            let over = plain.ended.keys().filter(|n| seen.chain.nodes.contains_key(&id(**n)));
            prop_assert_eq!(over.count(), 0);
        }
        // Without cancellations, what passes backwards is what the graph says.
        if plain.ended.values().all(|done| *done) {
            for n in plain.needs.keys().filter(|n| !plain.ended.contains_key(n)) {
                prop_assert_eq!(in_order.chain.inherited_urgency(&id(*n)), plain.claim(*n), "{}", n);
            }
        }
    }
}

fn submit(chain: &mut DependencyGraph, n: usize, needs: &[usize]) -> Vec<Output> {
    let needs: Vec<JobId> = needs.iter().map(|m| id(*m)).collect();
    chain.apply(Input::Accepted {
        id: &id(n),
        needs: &needs,
        terms: terms(n),
        fate: &|_| RecordedOutcome::Open,
    })
}

/// A deep chain, a diamond and a fan cost no depth of the stack and are done with at once.
#[test]
fn deep_chains_and_wide_fans_are_cancelled_whole() {
    let mut chain = DependencyGraph::default();
    for n in 1..=20_000 {
        submit(&mut chain, n, &[n - 1]);
    }
    for n in 20_001..=20_800 {
        submit(&mut chain, n, &[20_000]);
    }
    submit(&mut chain, 20_801, &(20_001..=20_800).collect::<Vec<_>>());
    let rest = chain.time_until_ready(&[id(20_000)], |_| Micros(1));
    assert!(rest >= Micros(1_000) && rest <= Micros(20_001));
    let outputs = chain.apply(Input::Ended {
        id: &id(0),
        done: false,
    });
    assert_eq!(outputs.len(), 20_801);
    assert_eq!(chain.cancelled_upstream().count(), 20_801);
}

#[test]
fn the_wait_is_the_longest_path() {
    let mut chain = DependencyGraph::default();
    submit(&mut chain, 1, &[0]);
    submit(&mut chain, 2, &[0]);
    submit(&mut chain, 3, &[1, 2]);
    let rest = |j: &JobId| Micros([5, 10, 30, 7][j.as_str()[4..].parse::<usize>().unwrap()]);
    assert_eq!(chain.time_until_ready(&[id(3)], rest), Micros(5 + 30 + 7));
    chain.apply(Input::Ended {
        id: &id(0),
        done: true,
    });
    assert_eq!(chain.time_until_ready(&[id(3)], rest), Micros(30 + 7));
    assert_eq!(chain.time_until_ready(&[], rest), Micros::ZERO);
}
