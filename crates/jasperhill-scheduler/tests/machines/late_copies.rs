//! Tests of late copies of direct commands that were carried out and answered, against a model of
//! the worker that follows the protocol.

use crate::support::{NOW, config, record, spec, task};
use jasperhill_scheduler::{HeartbeatSource, HostInput, Partition};
use jasperhill_wire::worker::{Command, ExitCause, Heartbeat, TaskPhase, TaskStatus};
use jasperhill_wire::{Attempt, FencingToken, HostId, Micros, Resources, Revision, TaskId};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A request with direct commands, or a response to a heartbeat.
#[derive(Clone, Debug)]
struct Message {
    token: FencingToken,
    incarnation: u64,
    commands: Vec<Command>,
}

/// A worker by the protocol, which also records the attempts that it has forgotten.
struct Worker {
    token: FencingToken,
    incarnation: u64,
    sequence: u64,
    tasks: BTreeMap<(TaskId, Attempt), TaskPhase>,
    cleared: BTreeSet<(TaskId, Attempt)>,
    /// Attempts that ran again after they were cleared.
    run_again: Vec<(TaskId, Attempt)>,
}

impl Worker {
    fn execute(&mut self, message: &Message) {
        if message.token < self.token || message.incarnation != self.incarnation {
            return;
        }
        self.token = message.token;
        for command in &message.commands {
            let (task, attempt) = command.key();
            let key = (task.clone(), attempt);
            match command {
                Command::Start(..) if self.tasks.contains_key(&key) => {}
                Command::Start(..) => {
                    if self.cleared.contains(&key) {
                        self.run_again.push(key.clone());
                    }
                    let is_busy = self.tasks.iter().any(|((other, _), phase)| {
                        other == task && !matches!(phase, TaskPhase::Exited(_))
                    });
                    let phase = if is_busy {
                        TaskPhase::Exited(ExitCause::Busy)
                    } else {
                        TaskPhase::Running
                    };
                    self.tasks.insert(key, phase);
                }
                Command::Stop(..) => self.exit(&key, ExitCause::Stopped { saved: false }),
                Command::Clear(..) => {
                    if matches!(self.tasks.get(&key), Some(TaskPhase::Exited(_))) {
                        self.tasks.remove(&key);
                        self.cleared.insert(key);
                    }
                }
            }
        }
    }

    fn exit(&mut self, key: &(TaskId, Attempt), cause: ExitCause) {
        if let Some(phase) = self.tasks.get_mut(key)
            && !matches!(phase, TaskPhase::Exited(_))
        {
            *phase = TaskPhase::Exited(cause);
        }
    }

    fn status(&mut self) -> Heartbeat {
        self.sequence += 1;
        let tasks = self
            .tasks
            .iter()
            .map(|((task, attempt), phase)| TaskStatus {
                task: task.clone(),
                attempt: *attempt,
                phase: *phase,
            });
        let (incarnation, sequence, token) = (self.incarnation, self.sequence, self.token.0);
        crate::support::heartbeat("n-1", incarnation, sequence, token, tasks.collect())
    }
}

/// One host with its worker, its owner, and the messages of which copies may still arrive.
struct Simulation {
    partition: Partition,
    worker: Worker,
    host: HostId,
    revision: u64,
    attempts: u64,
    direct_messages: Vec<Message>,
}

impl Simulation {
    fn new() -> Self {
        let worker = Worker {
            token: FencingToken(0),
            incarnation: 1,
            sequence: 0,
            tasks: BTreeMap::new(),
            cleared: BTreeSet::new(),
            run_again: Vec::new(),
        };
        let mut simulation = Self {
            partition: owner(5),
            worker,
            host: HostId::new("n-1"),
            revision: 5,
            attempts: 0,
            direct_messages: Vec::new(),
        };
        simulation.exchange_heartbeat();
        simulation.exchange_heartbeat();
        simulation
    }

    /// Another controller, or the same one after a restart, takes the partition over.
    fn take_over(&mut self) {
        self.revision += 1;
        self.partition = owner(self.revision);
    }

    fn start(&mut self, i: u32) {
        let is_on_host = self.partition.hosts[&self.host]
            .tasks
            .contains_key(&task(i));
        if !is_on_host && self.partition.hosts[&self.host].is_usable(NOW, &config()) {
            self.attempts += 1;
            let each = Resources::from_units(1.0, 0.0, 1.0);
            let start = HostInput::Start(task(i), Attempt(self.attempts), each, ("i".into(), 1.0));
            self.partition.apply(&self.host, start, NOW);
        }
    }

    /// Returns the next message to the worker, prepared as the controller does.
    fn next_message(&mut self) -> Message {
        let owned_at = Revision(self.revision);
        self.partition
            .raise_token_to_clear(&self.host, owned_at, NOW);
        Message {
            token: self.partition.hosts[&self.host].token,
            incarnation: self.worker.incarnation,
            commands: self.partition.commands(&self.host),
        }
    }

    fn exchange_heartbeat(&mut self) {
        let status = self.worker.status();
        self.partition
            .on_heartbeat(&status, HeartbeatSource::Heartbeat, NOW);
        let message = self.next_message();
        let answered = HostInput::Answered(&message.commands);
        self.partition.apply(&self.host, answered, NOW);
        self.worker.execute(&message);
    }

    fn send_directly(&mut self, is_answered: bool) {
        let host = &self.partition.hosts[&self.host];
        if host.has_request_in_flight() || host.awaits_raised_token() || host.incarnation.is_none()
        {
            return;
        }
        let message = self.next_message();
        let sent = HostInput::DirectRequestSent(message.commands.clone(), NOW);
        self.partition.apply(&self.host, sent, NOW);
        self.direct_messages.push(message.clone());
        if !is_answered {
            self.partition
                .apply(&self.host, HostInput::DirectRequestUnanswered, NOW);
            return;
        }
        self.worker.execute(&message);
        self.partition
            .apply(&self.host, HostInput::DirectRequestSettled, NOW);
        let status = self.worker.status();
        self.partition
            .on_heartbeat(&status, HeartbeatSource::Direct, NOW);
    }

    /// The state store gets a new revision, at which a needed rewrite of the record is done.
    fn write(&mut self) {
        self.revision += 1;
        if self.partition.hosts[&self.host].needs_raised_token() {
            let raised = HostInput::TokenRaised(FencingToken(self.revision));
            self.partition.apply(&self.host, raised, NOW);
        }
    }

    fn deliver_copy(&mut self, n: usize) {
        if let Some(message) = self
            .direct_messages
            .get(n % self.direct_messages.len().max(1))
        {
            let message = message.clone();
            self.worker.execute(&message);
        }
    }

    fn exit(&mut self, i: u32, cause: ExitCause) {
        let keys: Vec<_> = self
            .worker
            .tasks
            .keys()
            .filter(|k| k.0 == task(i))
            .cloned()
            .collect();
        for key in keys {
            self.worker.exit(&key, cause);
        }
    }
}

/// Returns a partition with one host whose ownership began at this revision.
fn owner(since: u64) -> Partition {
    let specs = Rc::new(BTreeMap::from([("box".into(), spec())]));
    let mut partition = Partition::new(0, Revision(since), config(), specs);
    partition.upsert_host(&HostId::new("n-1"), &record("a"), Revision(4), true, NOW);
    partition
}

/// Plays a direct start that is answered, the exit of its task, `between`, its clear, and then the
/// late copy. Returns the attempts that ran again.
fn attempts_run_again(between: impl Fn(&mut Simulation)) -> Vec<(TaskId, Attempt)> {
    let mut simulation = Simulation::new();
    simulation.start(0);
    simulation.send_directly(true);
    assert_eq!(simulation.worker.tasks.len(), 1);
    between(&mut simulation);
    simulation.exit(0, ExitCause::Error);
    simulation.write();
    simulation.exchange_heartbeat();
    simulation.exchange_heartbeat();
    simulation.write();
    simulation.exchange_heartbeat();
    assert_eq!(simulation.worker.tasks.len(), 0, "the attempt is cleared");
    simulation.deliver_copy(0);
    simulation.worker.run_again
}

#[test]
fn late_copy_of_an_answered_start_does_not_run_a_cleared_attempt_again() {
    assert_eq!(attempts_run_again(|_| {}), vec![]);
}

#[test]
fn late_copy_of_a_former_owners_start_does_not_run_a_cleared_attempt_again() {
    assert_eq!(attempts_run_again(Simulation::take_over), vec![]);
    let stop = |simulation: &mut Simulation| {
        let host = simulation.host.clone();
        simulation
            .partition
            .stop(&host, &task(0), Micros::ZERO, NOW);
    };
    assert_eq!(attempts_run_again(stop), vec![]);
}

/// An attempt that was started by a direct request is cleared under a later revision only, also if
/// the response to a heartbeat starts it as well.
#[test]
fn attempt_is_not_cleared_under_the_token_of_its_direct_start() {
    let mut simulation = Simulation::new();
    simulation.start(0);
    simulation.send_directly(true);
    simulation.exit(0, ExitCause::Done);
    simulation.exchange_heartbeat();
    assert_eq!(simulation.worker.tasks.len(), 1);
    let awaiting = simulation
        .partition
        .host_awaiting_revision(Revision(5), NOW);
    assert_eq!(awaiting, Some(&simulation.host));
    simulation.write();
    simulation.exchange_heartbeat();
    assert_eq!(simulation.worker.tasks.len(), 0);
    assert_eq!(
        simulation
            .partition
            .host_awaiting_revision(Revision(6), NOW),
        None
    );
}

/// A start that was only ever part of the response to a heartbeat can't arrive late, so its attempt
/// is cleared at once, also while the state store has no new revision.
#[test]
fn attempt_started_by_a_heartbeat_response_is_cleared_without_a_new_revision() {
    let mut simulation = Simulation::new();
    simulation.start(0);
    simulation.exchange_heartbeat();
    simulation.exit(0, ExitCause::Done);
    simulation.exchange_heartbeat();
    assert_eq!(simulation.worker.tasks.len(), 0);
    assert_eq!(simulation.worker.token, FencingToken(5));
}

#[test]
fn delegated_host_keeps_the_token_that_its_delegate_answers_with() {
    let mut simulation = Simulation::new();
    simulation.start(0);
    simulation.send_directly(true);
    simulation.exit(0, ExitCause::Error);
    let until = NOW + Micros::from_secs(9);
    let host = simulation.host.clone();
    simulation
        .partition
        .apply(&host, HostInput::LeaseDelegated(until), NOW);
    simulation.write();
    simulation.exchange_heartbeat();
    assert_eq!(simulation.worker.token, FencingToken(5));
    simulation
        .partition
        .raise_token_to_clear(&host, Revision(6), until);
    assert_eq!(simulation.partition.hosts[&host].token, FencingToken(6));
}

#[test]
fn report_of_a_cleared_attempt_raises_an_event() {
    let mut simulation = Simulation::new();
    simulation.start(0);
    simulation.send_directly(true);
    simulation.exit(0, ExitCause::Error);
    simulation.write();
    simulation.exchange_heartbeat();
    simulation.exchange_heartbeat();
    assert!(simulation.partition.events.is_empty());
    simulation
        .worker
        .tasks
        .insert((task(0), Attempt(1)), TaskPhase::Running);
    simulation.exchange_heartbeat();
    let events = format!("{:?}", simulation.partition.events);
    assert!(events.contains("ClearedAttemptReported"), "{events}");
}

#[test]
fn report_of_a_superseded_attempt_that_was_cleared_raises_an_event() {
    let mut simulation = Simulation::new();
    simulation.start(0);
    simulation.send_directly(true);
    simulation.exit(0, ExitCause::Error);
    simulation.exchange_heartbeat();
    let each = Resources::from_units(1.0, 0.0, 1.0);
    let next = HostInput::Start(task(0), Attempt(2), each, ("i".into(), 1.0));
    let host = simulation.host.clone();
    simulation.partition.apply(&host, next, NOW);
    simulation.write();
    simulation.exchange_heartbeat();
    simulation.exchange_heartbeat();
    assert!(simulation.worker.cleared.contains(&(task(0), Attempt(1))));
    let refused = TaskPhase::Exited(ExitCause::Busy);
    simulation
        .worker
        .tasks
        .insert((task(0), Attempt(1)), refused);
    simulation.exchange_heartbeat();
    let events = format!("{:?}", simulation.partition.events);
    assert!(events.contains("ClearedAttemptReported"), "{events}");
}

#[derive(Clone, Debug)]
enum Step {
    Start(u32),
    Stop(u32),
    Exit(u32, bool),
    Heartbeat,
    SendAnswered,
    SendUnanswered,
    Copy(usize),
    Write,
    TakeOver,
    NewIncarnation,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0u32..4).prop_map(Step::Start),
        2 => (0u32..4).prop_map(Step::Stop),
        4 => (0u32..4, any::<bool>()).prop_map(|(i, done)| Step::Exit(i, done)),
        6 => Just(Step::Heartbeat),
        6 => Just(Step::SendAnswered),
        1 => Just(Step::SendUnanswered),
        6 => (0usize..64).prop_map(Step::Copy),
        4 => Just(Step::Write),
        1 => Just(Step::TakeOver),
        1 => Just(Step::NewIncarnation),
    ]
}

fn play(simulation: &mut Simulation, step: &Step) {
    match step {
        Step::Start(i) => simulation.start(*i),
        Step::Stop(i) => {
            let host = simulation.host.clone();
            simulation
                .partition
                .stop(&host, &task(*i), Micros::ZERO, NOW);
        }
        Step::Exit(i, true) => simulation.exit(*i, ExitCause::Done),
        Step::Exit(i, false) => simulation.exit(*i, ExitCause::Error),
        Step::Heartbeat => simulation.exchange_heartbeat(),
        Step::SendAnswered => simulation.send_directly(true),
        Step::SendUnanswered => simulation.send_directly(false),
        Step::Copy(n) => simulation.deliver_copy(*n),
        Step::Write => simulation.write(),
        Step::TakeOver => simulation.take_over(),
        Step::NewIncarnation => {
            simulation.worker.incarnation += 1;
            simulation.worker.tasks.clear();
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(66),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// No attempt that was cleared runs again, and once all tasks have exited and the state store
    /// answers, every attempt is cleared.
    #[test]
    fn cleared_attempts_stay_cleared_and_exited_ones_are_cleared(
        steps in proptest::collection::vec(step(), 1..120),
    ) {
        let mut simulation = Simulation::new();
        for step in &steps {
            play(&mut simulation, step);
            prop_assert_eq!(&simulation.worker.run_again, &vec![]);
        }
        for _ in 0..6 {
            for i in 0..4 {
                play(&mut simulation, &Step::Stop(i));
            }
            play(&mut simulation, &Step::Heartbeat);
            play(&mut simulation, &Step::Write);
        }
        prop_assert!(simulation.worker.tasks.is_empty(), "{:?}", simulation.worker.tasks);
        prop_assert_eq!(simulation.partition.hosts[&simulation.host].listed_task_count(), 0);
    }
}
