//! Faults that a scenario injects into the simulated cluster.
//!
//! [`Fault`] describes a fault as it stands in a scenario. [`ActiveFaults`] holds the faults that
//! are in effect, is asked by the simulated network, services and workers on every message, and
//! counts in [`FaultCounts`] how often the faults took effect. Its random numbers come from its own
//! generator, so that drawing them doesn't change any other random choice of the run.

use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{collections::BTreeSet, time::Duration};
use tokio::time::Instant;

/// Sender or receiver of requests.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Endpoint {
    /// Controller with this index.
    Node(usize),
    /// The state service.
    State,
    /// The cloud that machines are rented from.
    Cloud,
    /// All workers of a zone.
    Zone(String),
}

/// Fault of a link in one direction, from the sender of requests to the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Requests are held back and delivered when the fault ends, after their senders have given up.
    Held,
    /// Connections are reset: half of the requests are executed, and none is answered.
    Reset,
    /// Connections can't be opened, so no request is executed.
    Refused,
    /// Requests are executed, but their answers are lost.
    NoAnswers,
    /// Requests are lost; answers to requests sent before the fault still arrive.
    NoRequests,
    /// Requests and answers each take this many milliseconds longer.
    Slow(u64),
    /// This percentage of requests is lost, and of answers as well.
    Lossy(u64),
}

impl LinkFault {
    /// All faults during which no request on the link is answered.
    pub const CUTTING: [Self; 5] = [
        Self::Held,
        Self::Reset,
        Self::Refused,
        Self::NoAnswers,
        Self::NoRequests,
    ];
}

/// Fault of a scenario. A `Duration` without a description of its own is how long the fault lasts.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Requests from the first endpoint to the second are affected; the other direction is not.
    Link(Endpoint, Endpoint, LinkFault, Duration),
    /// The controller crashes and is restarted after this long.
    Crash(usize, Duration),
    /// The controller that is the leader according to the state service crashes and is restarted
    /// after this long.
    CrashLeader(Duration),
    /// The controller crashes several times in a row.
    CrashLoop {
        /// Index of the controller.
        node: usize,
        /// Number of crashes.
        times: usize,
        /// Time from a restart to the next crash.
        life: Duration,
        /// Time from a crash to the restart.
        back: Duration,
    },
    /// Two endpoints are partitioned from each other in both directions; some requests are held
    /// back and delivered after the partition.
    Cut(Endpoint, Endpoint, Duration),
    /// The state service answers every request with 503; open watches stay open.
    StateOutage(Duration),
    /// The state service answers this controller's requests with 503, and serves the others.
    Refused(usize, Duration),
    /// The cloud answers every request with 503.
    CloudOutage(Duration),
    /// A machine drawn at random fails permanently, together with its tasks.
    MachineLoss,
    /// A machine that runs a task of this job fails permanently, together with its tasks.
    LossOfMachineOf(String),
    /// The machine that runs the job's task with this index can't send heartbeats to any
    /// controller, while direct commands reach it.
    NotSendingFrom(String, u32, Duration),
    /// The first machines, as many as the number says, that get a task of this job fail every task
    /// that they start.
    SickMachines(String, usize, Duration),
    /// The controller is stopped and started with the new version after this long.
    Upgrade(usize, Duration),
    /// The state service enforces its announced stricter limits from now on.
    LimitsFall,
    /// The controller's process pauses while its clocks run on: no request or answer is sent or
    /// received, and requests decided on before the pause are sent after it.
    Stall(usize, Duration),
    /// Machines rented meanwhile boot at once, late, or never.
    BadBoots(Duration),
    /// This percentage of all controllers' transactions gets no answer and is executed 2 to 12
    /// seconds later, after newer transactions.
    LateWrites(u64, Duration),
    /// This percentage of heartbeats is delivered a second time, 2 seconds to two lease durations
    /// later, to any controller.
    LateHeartbeats(u64, Duration),
    /// This percentage of workers receives nothing: their heartbeats arrive, but answers and direct
    /// commands are lost.
    NotReceiving(u64, Duration),
    /// This percentage of workers can't send heartbeats to any controller, while direct commands
    /// reach them.
    NotSending(u64, Duration),
    /// This many machines hang, together with their tasks, and resume afterwards.
    Hang(usize, Duration),
    /// Users cancel this many running jobs that are far from complete, within 200 ms; up to eight
    /// of the jobs' machines then hang for the duration.
    CancelNow(usize, Duration),
    /// This percentage of jobs is cancelled, queried and submitted again at the moment at which the
    /// job completes.
    CancelAtEnd(u64, Duration),
    /// Users repeat submissions of unfinished jobs, cancel jobs that have ended, and submit jobs
    /// that can never run or lack a field.
    InvalidRequests(Duration),
    /// This percentage of direct commands is affected: the command, or only its answer, is delayed
    /// by 2 to 90 seconds.
    DelayedCommands(u64, Duration),
    /// A copy of this percentage of direct commands that were carried out and answered reaches the
    /// worker once more, a fraction of a second to two minutes later, whatever happens to the
    /// controllers meanwhile.
    CommandCopies(u64, Duration),
    /// A copy of this percentage of answered transactions and lease requests reaches the state
    /// service once more, a fraction of a second to two minutes later.
    StoreCopies(u64, Duration),
    /// A copy of this percentage of answered requests between controllers reaches the receiver once
    /// more, a fraction of a second to two minutes later.
    MeshCopies(u64, Duration),
    /// The state service refuses writes of host records as too large, as happens when a block of
    /// records outgrows the limit on a value.
    NoHostWrites(Duration),
}

impl Fault {
    /// Returns how long the fault itself lasts; its consequences may last longer.
    pub fn lasts(&self) -> Duration {
        match self {
            Self::Link(.., time)
            | Self::Crash(_, time)
            | Self::CrashLeader(time)
            | Self::Cut(.., time)
            | Self::StateOutage(time)
            | Self::Refused(_, time)
            | Self::CloudOutage(time)
            | Self::Upgrade(_, time)
            | Self::Stall(_, time)
            | Self::BadBoots(time)
            | Self::LateWrites(_, time)
            | Self::LateHeartbeats(_, time)
            | Self::NotReceiving(_, time)
            | Self::DelayedCommands(_, time)
            | Self::CommandCopies(_, time)
            | Self::StoreCopies(_, time)
            | Self::MeshCopies(_, time)
            | Self::NotSending(_, time)
            | Self::NotSendingFrom(.., time)
            | Self::SickMachines(.., time)
            | Self::Hang(_, time)
            | Self::CancelNow(_, time)
            | Self::CancelAtEnd(_, time)
            | Self::InvalidRequests(time)
            | Self::NoHostWrites(time) => *time,
            Self::CrashLoop {
                times, life, back, ..
            } => (*life + *back) * *times as u32,
            Self::MachineLoss | Self::LossOfMachineOf(_) | Self::LimitsFall => Duration::ZERO,
        }
    }
}

/// Faults in effect. Every fault is stored with the time at which it ends.
#[derive(Default)]
pub struct ActiveFaults {
    /// Pairs of endpoints partitioned from each other in both directions.
    partitions: Vec<(Endpoint, Endpoint, Instant)>,
    /// Link faults, from sender to receiver.
    links: Vec<(Endpoint, Endpoint, LinkFault, Instant)>,
    /// Controllers that the state service refuses.
    refused: Vec<(usize, Instant)>,
    /// End of the state service's outage.
    pub state_until: Option<Instant>,
    /// End of the cloud's outage.
    pub cloud_until: Option<Instant>,
    /// End of abnormal boot times.
    pub bad_boots_until: Option<Instant>,
    /// Controllers whose process is paused.
    stalled: Vec<(usize, Instant)>,
    /// Percentage of transactions that are delayed.
    pub late_writes: ActivePercentage,
    /// Percentage of heartbeats that are delivered again later.
    pub late_reports: ActivePercentage,
    /// Percentage of direct commands that are delayed, or whose answers are.
    pub held_orders: ActivePercentage,
    /// Percentage of answered direct commands of which a copy arrives later.
    pub command_copies: ActivePercentage,
    /// Percentage of answered transactions and lease requests of which a copy arrives later.
    pub store_copies: ActivePercentage,
    /// Percentage of answered requests between controllers of which a copy arrives later.
    pub mesh_copies: ActivePercentage,
    /// End of the refusal of host record writes.
    pub no_host_writes_until: Option<Instant>,
    /// Workers that receive no answers or direct commands.
    not_receiving: Vec<(String, Instant)>,
    /// Workers that can't send heartbeats: name, start and end.
    not_sending: Vec<(String, Instant, Instant)>,
    /// Workers whose machine hangs.
    hung: Vec<(String, Instant)>,
    /// Machines that fail every task; `None` if the fault never began.
    pub sick: Option<SickMachines>,
    /// Percentage of completing jobs that are cancelled at that moment.
    pub cancel_at_end: ActivePercentage,
    /// How often each fault took effect.
    pub counts: FaultCounts,
    /// Generator of its own: numbers drawn from it change no other random choice of the run. `None`
    /// until it is seeded or first used.
    rng: Option<StdRng>,
}

/// Percentage of messages or jobs that a fault affects, and the time at which the fault ends;
/// `None` if it never began.
#[derive(Clone, Copy, Debug, Default)]
pub struct ActivePercentage(Option<(u64, Instant)>);

impl ActivePercentage {
    /// Starts the fault for this percentage, in place of an earlier one.
    pub fn begin(&mut self, percent: u64, until: Instant) {
        self.0 = Some((percent, until));
    }
    /// Returns the percentage in effect, 0 if the fault has ended.
    fn percent_at(&self, now: Instant) -> u64 {
        self.0.filter(|(_, t)| now < *t).map_or(0, |(p, _)| p)
    }
}

/// Machines that fail every task that they start: the first ones that get a task of one job.
#[derive(Clone, Debug)]
pub struct SickMachines {
    /// The job whose first machines are sick.
    pub job: String,
    /// Number of machines that are sick.
    pub count: usize,
    /// End of the fault.
    pub until: Instant,
    /// Names of the machines that are sick.
    pub machines: BTreeSet<String>,
}

/// How often faults took effect. Tests assert on these counts, because a test whose fault never
/// occurred would prove nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultCounts {
    /// Delayed transactions that were executed.
    pub late_writes: usize,
    /// Delayed transactions that were executed after a newer transaction of the same controller.
    pub writes_applied_after_newer: usize,
    /// Transactions counted in `writes_applied_after_newer` that were committed nevertheless.
    pub late_writes_with_effect: usize,
    /// Second copies of heartbeats that were delivered late.
    pub late_reports: usize,
    /// Heartbeat answers and direct commands lost on workers that receive nothing.
    pub messages_not_received: usize,
    /// Direct commands that were delayed, or whose answers were.
    pub delayed_commands: usize,
    /// Delayed direct commands that the worker accepted when they arrived. Includes commands
    /// delayed because the machine hung.
    pub delayed_commands_accepted: usize,
    /// Copies of answered direct commands that reached their worker.
    pub command_copies: usize,
    /// Copies counted in `command_copies` that the worker accepted.
    pub command_copies_accepted: usize,
    /// Copies counted in `command_copies` with a start of an attempt that the worker no longer
    /// listed, so that only the token or the incarnation kept it from starting the task again.
    pub command_copies_of_cleared_starts: usize,
    /// Copies counted in `command_copies_of_cleared_starts` after which the worker listed such an
    /// attempt again.
    pub command_copies_with_effect: usize,
    /// Copies of answered transactions and lease requests that reached the state service.
    pub store_copies: usize,
    /// Copies of transactions with changes that were committed once more.
    pub transaction_copies_with_effect: usize,
    /// Copies counted in `transaction_copies_with_effect` that changed other records than requests
    /// and grants of delegations and proposals, which are valid for seconds only.
    pub transaction_copies_with_lasting_effect: usize,
    /// Copies of answered requests between controllers that reached their receiver.
    pub mesh_copies: usize,
    /// Heartbeats for which a worker that is unable to send could not open a connection.
    pub unsent_heartbeats: usize,
    /// Direct command requests accepted by workers that are unable to send heartbeats.
    pub commands_while_not_sending: usize,
    /// Tasks that direct commands added on workers that had been unable to send heartbeats for
    /// longer than several heartbeat intervals.
    pub starts_while_not_sending: usize,
    /// Late copies of heartbeats from machines that no longer existed and had no host record.
    pub late_heartbeats_of_returned: usize,
    /// Copies counted in `late_heartbeats_of_returned` after which the machine had a host record
    /// again.
    pub records_of_returned: usize,
    /// Machines that were sick.
    pub sick_machines: usize,
    /// Machines that hung.
    pub hung: usize,
    /// Machines that still had tasks when they resumed from a hang, and had kept their lease.
    pub resumed_within_lease: usize,
    /// Jobs cancelled while they ran, by `Fault::CancelNow`.
    pub cancelled_while_running: usize,
    /// Jobs cancelled at the moment of their completion, by `Fault::CancelAtEnd`.
    pub cancelled_at_end: usize,
    /// Jobs counted in `cancelled_at_end` that were reported as done.
    pub done_despite_cancellation: usize,
    /// Repeated or invalid requests of `Fault::InvalidRequests` that were answered as they should
    /// be.
    pub invalid_requests_answered: usize,
    /// Heartbeats answered with 200 by a controller that the state service refuses.
    pub heartbeats_answered_while_refused: usize,
}

impl ActiveFaults {
    /// Returns true with this probability, in percent. Draws no number if it is 0.
    fn draw_percent(&mut self, percent: u64) -> bool {
        percent > 0 && self.draw(100) < percent
    }
    /// Returns a random number below `n`.
    pub fn draw(&mut self, n: u64) -> u64 {
        let rng = self.rng.get_or_insert_with(|| StdRng::seed_from_u64(1));
        rng.random_range(0..n)
    }
    /// Seeds the random number generator of the faults.
    pub fn seed(&mut self, seed: u64) {
        self.rng = Some(StdRng::seed_from_u64(seed));
    }
    /// Returns the delay of a transaction; `None` if it is not delayed.
    pub fn late_write(&mut self, now: Instant) -> Option<Duration> {
        let percent = self.late_writes.percent_at(now);
        self.draw_percent(percent)
            .then(|| Duration::from_millis(2_000 + self.draw(10_000)))
    }
    /// Returns the delay after which a heartbeat is delivered again; `None` if it is not.
    pub fn late_report(&mut self, now: Instant, lease: Duration) -> Option<Duration> {
        let percent = self.late_reports.percent_at(now);
        let range_ms = 2 * lease.as_millis() as u64 - 2_000;
        self.draw_percent(percent)
            .then(|| Duration::from_millis(2_000 + self.draw(range_ms)))
    }
    /// Returns the delay of a direct command and whether only its answer is delayed; `None` if
    /// neither is.
    pub fn held_order(&mut self, now: Instant) -> Option<(Duration, bool)> {
        let percent = self.held_orders.percent_at(now);
        self.draw_percent(percent).then(|| {
            let delay = Duration::from_millis(2_000 + self.draw(88_000));
            (delay, self.draw(3) == 0)
        })
    }
    /// Returns the delay after which a copy of an answered message arrives, if this percentage of
    /// messages selects it. Half of the copies arrive within three seconds.
    pub fn copy_delay(&mut self, copies: ActivePercentage, now: Instant) -> Option<Duration> {
        self.draw_percent(copies.percent_at(now)).then(|| {
            let range_ms = if self.draw(2) == 0 { 3_000 } else { 120_000 };
            Duration::from_millis(100 + self.draw(range_ms))
        })
    }
    /// Makes a worker receive nothing until this time.
    pub fn block_receiving(&mut self, worker: String, until: Instant) {
        self.not_receiving.push((worker, until));
    }
    /// Returns whether a worker receives nothing.
    pub fn is_not_receiving(&self, worker: &str, now: Instant) -> bool {
        self.not_receiving
            .iter()
            .any(|(w, t)| w == worker && now < *t)
    }

    /// Makes a worker unable to send heartbeats until this time.
    pub fn block_sending(&mut self, worker: String, now: Instant, until: Instant) {
        self.not_sending.push((worker, now, until));
    }
    /// Returns whether a worker is unable to send heartbeats.
    pub fn is_not_sending(&self, worker: &str, now: Instant) -> bool {
        self.not_sending_for(worker, now).is_some()
    }
    /// Returns how long a worker has been unable to send heartbeats; `None` if it can send.
    pub fn not_sending_for(&self, worker: &str, now: Instant) -> Option<Duration> {
        let active = self
            .not_sending
            .iter()
            .filter(|(w, _, t)| w == worker && now < *t);
        active.map(|(_, from, _)| now - *from).max()
    }
    /// Makes the first `count` machines that get a task of the job fail every task until this time.
    pub fn make_sick(&mut self, job: String, count: usize, until: Instant) {
        self.sick = Some(SickMachines {
            job,
            count,
            until,
            machines: BTreeSet::new(),
        });
    }
    /// Returns whether a machine fails the tasks that it starts. `jobs` are the jobs whose tasks it
    /// has.
    pub fn is_sick<'a>(
        &mut self,
        worker: &str,
        mut jobs: impl Iterator<Item = &'a str>,
        now: Instant,
    ) -> bool {
        let Some(sick) = self.sick.as_mut().filter(|sick| now < sick.until) else {
            return false;
        };
        if sick.machines.len() < sick.count
            && !sick.machines.contains(worker)
            && jobs.any(|job| job == sick.job)
        {
            sick.machines.insert(worker.to_owned());
            self.counts.sick_machines += 1;
        }
        sick.machines.contains(worker)
    }
    /// Makes a worker's machine hang until this time.
    pub fn hang(&mut self, worker: String, until: Instant) {
        self.hung.push((worker, until));
    }
    /// Returns the time at which a machine resumes; `None` if it does not hang.
    pub fn hangs_until(&self, worker: &str, now: Instant) -> Option<Instant> {
        let active = self.hung.iter().filter(|(w, t)| w == worker && now < *t);
        active.map(|(_, t)| *t).max()
    }
    /// Returns whether a job that completes now is cancelled at this moment; draws a random number.
    pub fn at_end(&mut self, now: Instant) -> bool {
        let percent = self.cancel_at_end.percent_at(now);
        self.draw_percent(percent)
    }

    /// Partitions two endpoints from each other until this time.
    pub fn cut(&mut self, a: Endpoint, b: Endpoint, until: Instant) {
        self.partitions.push((a, b, until));
    }
    /// Makes a link faulty in one direction until this time.
    pub fn link(&mut self, from: Endpoint, to: Endpoint, fault: LinkFault, until: Instant) {
        self.links.push((from, to, fault, until));
    }
    /// Returns the fault of a link in this direction and the time at which it ends; of several, the
    /// one that ends last.
    pub fn link_fault(
        &self,
        from: &Endpoint,
        to: &Endpoint,
        now: Instant,
    ) -> Option<(LinkFault, Instant)> {
        self.links
            .iter()
            .filter(|(a, b, _, until)| now < *until && a == from && b == to)
            .map(|(_, _, fault, until)| (*fault, *until))
            .max_by_key(|(_, until)| *until)
    }
    /// Returns whether there is neither a link fault nor a partition in this direction.
    pub fn is_link_intact(&self, from: &Endpoint, to: &Endpoint, now: Instant) -> bool {
        self.link_fault(from, to, now).is_none() && self.cut_until(from, to, now).is_none()
    }
    /// Makes the state service refuse a controller until this time.
    pub fn refuse(&mut self, node: usize, until: Instant) {
        self.refused.push((node, until));
    }
    /// Pauses a controller's process until this time.
    pub fn stall(&mut self, node: usize, until: Instant) {
        self.stalled.push((node, until));
    }
    /// Returns the time at which a controller's process resumes; `None` if it is not paused.
    pub fn stalled_until(&self, node: usize, now: Instant) -> Option<Instant> {
        self.stalled
            .iter()
            .filter(|(n, until)| *n == node && now < *until)
            .map(|(_, until)| *until)
            .max()
    }
    /// Returns the time at which the partition between two endpoints ends; `None` if there is none.
    pub fn cut_until(&self, a: &Endpoint, b: &Endpoint, now: Instant) -> Option<Instant> {
        self.partitions
            .iter()
            .filter(|(x, y, until)| now < *until && ((x == a && y == b) || (x == b && y == a)))
            .map(|(.., until)| *until)
            .max()
    }
    /// Returns whether the state service refuses a controller.
    pub fn is_refused(&self, node: usize, now: Instant) -> bool {
        self.refused
            .iter()
            .any(|(n, until)| *n == node && now < *until)
    }
}
