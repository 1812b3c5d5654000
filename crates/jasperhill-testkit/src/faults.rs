//! Troubles: who can't reach whom, what is down, and what is delivered late.

use rand::{Rng, SeedableRng, rngs::StdRng};
use std::time::Duration;
use tokio::time::Instant;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Endpoint {
    Node(usize),
    State,
    Cloud,
    /// The workers of a zone.
    Zone(String),
}

/// What becomes of requests on a link, from the one who asks to the one who answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Held back, and delivered afterwards although nobody waits any more.
    Held,
    /// Connections end: some requests are executed, no answer comes.
    Reset,
    /// No connection comes about.
    Refused,
    /// Requests arrive, their answers don't.
    NoAnswers,
    /// Requests get lost; answers to those before arrive.
    NoRequests,
    /// Each way takes this many milliseconds longer.
    Slow(u64),
    /// So many of a hundred get lost.
    Lossy(u64),
}

impl LinkFault {
    /// Each that makes a link useless.
    pub const CUTTING: [Self; 5] = [
        Self::Held,
        Self::Reset,
        Self::Refused,
        Self::NoAnswers,
        Self::NoRequests,
    ];
}

#[derive(Clone, Debug)]
pub enum Fault {
    /// Requests from one place to another, in this direction alone.
    Link(Endpoint, Endpoint, LinkFault, Duration),
    /// The controller ends and is back after this long.
    Crash(usize, Duration),
    /// Whoever leads the fleet by the store ends and is back after this long.
    CrashLeader(Duration),
    /// The controller ends so many times: each life lasts so long, and the next one begins so soon.
    CrashLoop {
        node: usize,
        times: usize,
        life: Duration,
        back: Duration,
    },
    /// No packets between two places; some are held back and delivered afterwards.
    Cut(Endpoint, Endpoint, Duration),
    StateOutage(Duration),
    /// One controller alone is answered 503.
    Refused(usize, Duration),
    CloudOutage(Duration),
    /// A machine stops with all that is on it.
    MachineLoss,
    /// A controller is ended and comes back with the new version.
    Upgrade(usize, Duration),
    /// The state service has its coming limits from now on.
    LimitsFall,
    /// The controller stands still while its clocks run on: nothing goes out or comes in, and
    /// what was decided before goes out afterwards.
    Stall(usize, Duration),
    /// Machines rented meanwhile come up at once, late, or never.
    BadBoots(Duration),
    /// So many of a hundred transactions of any controller get no answer and are carried out 2 to 12
    /// seconds later, after newer ones.
    LateWrites(u64, Duration),
    /// Of so many of a hundred reports a copy comes again, 2 seconds to two leases later, at any
    /// controller.
    LateHeartbeats(u64, Duration),
    /// So many of a hundred workers are not reached: their reports arrive, answers and direct
    /// commands are lost.
    NotReceiving(u64, Duration),
    /// So many of a hundred workers reach no controller, while direct commands reach them.
    NotSending(u64, Duration),
    /// So many machines stand still, with all that is on them, and go on.
    Hang(usize, Duration),
    /// Users call off so many jobs that run and have long to go, within a fifth of a second; up to
    /// eight of their machines then hang that long.
    CancelNow(usize, Duration),
    /// So many of a hundred jobs that end are called off, asked about and submitted again at the
    /// moment of the end.
    CancelAtEnd(u64, Duration),
    /// Users repeat submissions of unfinished jobs, cancel what is over, and send jobs that can't run
    /// or lack a field.
    InvalidRequests(Duration),
    /// So many of a hundred direct commands, or their answers, are held up for 2 to 90 seconds.
    DelayedCommands(u64, Duration),
    /// Records of hosts can't be written, as when a block has outgrown what a value may hold.
    NoHostWrites(Duration),
}

impl Fault {
    /// How long it takes until nothing of it is left but its consequences.
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
            | Self::NotSending(_, time)
            | Self::Hang(_, time)
            | Self::CancelNow(_, time)
            | Self::CancelAtEnd(_, time)
            | Self::InvalidRequests(time)
            | Self::NoHostWrites(time) => *time,
            Self::CrashLoop {
                times, life, back, ..
            } => (*life + *back) * *times as u32,
            Self::MachineLoss | Self::LimitsFall => Duration::ZERO,
        }
    }
}

#[derive(Default)]
pub struct ActiveFaults {
    cuts: Vec<(Endpoint, Endpoint, Instant)>,
    links: Vec<(Endpoint, Endpoint, LinkFault, Instant)>,
    refused: Vec<(usize, Instant)>,
    pub state_until: Option<Instant>,
    pub cloud_until: Option<Instant>,
    pub bad_boots_until: Option<Instant>,
    frozen: Vec<(usize, Instant)>,
    /// What some part of the messages meets, until when.
    pub late_writes: Fraction,
    pub late_reports: Fraction,
    pub held_orders: Fraction,
    pub no_host_writes_until: Option<Instant>,
    /// Workers that hear nothing, that reach nobody, and that stand still.
    deaf: Vec<(String, Instant)>,
    mute: Vec<(String, Instant, Instant)>,
    hung: Vec<(String, Instant)>,
    pub cancel_at_end: Fraction,
    /// How often each of these was met with.
    pub met: FaultCounts,
    /// Luck of its own: what is drawn here changes nothing that is drawn elsewhere.
    rng: Option<StdRng>,
}

/// So many of a hundred, until then.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fraction(Option<(u64, Instant)>);

impl Fraction {
    pub fn begin(&mut self, percent: u64, until: Instant) {
        self.0 = Some((percent, until));
    }
    fn now(&self, now: Instant) -> u64 {
        self.0.filter(|(_, t)| now < *t).map_or(0, |(p, _)| p)
    }
}

/// A test that never met what it is about would prove nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultCounts {
    /// Transactions carried out late.
    pub late_writes: usize,
    /// Of those, after a newer one of the same controller, and such as changed something then.
    pub overtaken: usize,
    pub effective: usize,
    pub late_reports: usize,
    /// Answers and commands that deaf machines did not hear.
    pub unheard: usize,
    pub held_orders: usize,
    /// Of those, carried out by the worker when they came.
    pub held_done: usize,
    /// Reports of mute machines for which no connection came about, and direct commands that they
    /// carried out meanwhile.
    pub mute_reports: usize,
    pub mute_orders: usize,
    /// Starts on machines that had been mute for some reports.
    pub mute_starts: usize,
    /// Late copies of reports of machines that were gone, and such machines that got a record.
    pub late_of_gone: usize,
    pub taken_on_gone: usize,
    /// Machines that stood still with tasks, and such as went on within their lease.
    pub hung: usize,
    pub went_on: usize,
    /// Jobs called off while they ran, and at the moment of their end; of those, such as were done.
    pub called_off: usize,
    pub at_end: usize,
    pub at_end_done: usize,
    /// Odd requests that got a verdict.
    pub odd: usize,
    /// Reports answered 200 by a controller that the state service refuses.
    pub answered_refused: usize,
}

impl ActiveFaults {
    /// Draws from its own luck whether this message is among so many of a hundred.
    fn is_hit(&mut self, percent: u64) -> bool {
        percent > 0 && self.draw(100) < percent
    }
    pub fn draw(&mut self, n: u64) -> u64 {
        let luck = self.rng.get_or_insert_with(|| StdRng::seed_from_u64(1));
        luck.random_range(0..n)
    }
    pub fn seed(&mut self, seed: u64) {
        self.rng = Some(StdRng::seed_from_u64(seed));
    }
    /// How late a transaction, an order or a copy of a report is, if it is.
    pub fn late_write(&mut self, now: Instant) -> Option<Duration> {
        let percent = self.late_writes.now(now);
        self.is_hit(percent)
            .then(|| Duration::from_millis(2_000 + self.draw(10_000)))
    }
    pub fn late_report(&mut self, now: Instant, lease: Duration) -> Option<Duration> {
        let percent = self.late_reports.now(now);
        let most = 2 * lease.as_millis() as u64 - 2_000;
        self.is_hit(percent)
            .then(|| Duration::from_millis(2_000 + self.draw(most)))
    }
    /// With whether it is the answer that is held up.
    pub fn held_order(&mut self, now: Instant) -> Option<(Duration, bool)> {
        let percent = self.held_orders.now(now);
        self.is_hit(percent).then(|| {
            let by = Duration::from_millis(2_000 + self.draw(88_000));
            (by, self.draw(3) == 0)
        })
    }
    pub fn deafen(&mut self, worker: String, until: Instant) {
        self.deaf.push((worker, until));
    }
    pub fn is_deaf(&self, worker: &str, now: Instant) -> bool {
        self.deaf.iter().any(|(w, t)| w == worker && now < *t)
    }

    pub fn silence(&mut self, worker: String, now: Instant, until: Instant) {
        self.mute.push((worker, now, until));
    }
    pub fn is_mute(&self, worker: &str, now: Instant) -> bool {
        self.mute_for(worker, now).is_some()
    }
    /// How long a machine has been mute.
    pub fn mute_for(&self, worker: &str, now: Instant) -> Option<Duration> {
        let mute = self.mute.iter().filter(|(w, _, t)| w == worker && now < *t);
        mute.map(|(_, from, _)| now - *from).max()
    }
    pub fn hang(&mut self, worker: String, until: Instant) {
        self.hung.push((worker, until));
    }
    /// Until when a machine stands still.
    pub fn hangs_until(&self, worker: &str, now: Instant) -> Option<Instant> {
        let still = self.hung.iter().filter(|(w, t)| w == worker && now < *t);
        still.map(|(_, t)| *t).max()
    }
    pub fn at_end(&mut self, now: Instant) -> bool {
        let percent = self.cancel_at_end.now(now);
        self.is_hit(percent)
    }

    pub fn cut(&mut self, a: Endpoint, b: Endpoint, until: Instant) {
        self.cuts.push((a, b, until));
    }
    pub fn link(&mut self, from: Endpoint, to: Endpoint, kind: LinkFault, until: Instant) {
        self.links.push((from, to, kind, until));
    }
    /// What becomes of requests from one place to another, and until when.
    pub fn on_link(
        &self,
        from: &Endpoint,
        to: &Endpoint,
        now: Instant,
    ) -> Option<(LinkFault, Instant)> {
        self.links
            .iter()
            .filter(|(a, b, _, until)| now < *until && a == from && b == to)
            .map(|(_, _, kind, until)| (*kind, *until))
            .max_by_key(|(_, until)| *until)
    }
    /// Nothing speaks against requests from one place to another.
    pub fn is_whole(&self, from: &Endpoint, to: &Endpoint, now: Instant) -> bool {
        self.on_link(from, to, now).is_none() && self.cut_until(from, to, now).is_none()
    }
    pub fn refuse(&mut self, node: usize, until: Instant) {
        self.refused.push((node, until));
    }
    pub fn freeze(&mut self, node: usize, until: Instant) {
        self.frozen.push((node, until));
    }
    /// Until when a controller stands still.
    pub fn frozen_until(&self, node: usize, now: Instant) -> Option<Instant> {
        self.frozen
            .iter()
            .filter(|(n, until)| *n == node && now < *until)
            .map(|(_, until)| *until)
            .max()
    }
    /// Until when these two can't reach each other.
    pub fn cut_until(&self, a: &Endpoint, b: &Endpoint, now: Instant) -> Option<Instant> {
        self.cuts
            .iter()
            .filter(|(x, y, until)| now < *until && ((x == a && y == b) || (x == b && y == a)))
            .map(|(.., until)| *until)
            .max()
    }
    pub fn is_refused(&self, node: usize, now: Instant) -> bool {
        self.refused
            .iter()
            .any(|(n, until)| *n == node && now < *until)
    }
}
